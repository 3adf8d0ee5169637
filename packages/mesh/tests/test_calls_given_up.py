"""Calls that a daemon gives up or loses though their target is at work."""

import asyncio
import contextlib

import pytest
from anyio.lowlevel import checkpoint
from cornelbeam_daemon import peer_client
from cornelbeam_daemon.control_messages import PendingReply
from cornelbeam_daemon.peer_server import PeerServer
from cornelbeam_mesh import sidecar
from cornelbeam_wire import pool
from cornelbeam_wire.gen import messages
from fake_target import read_message
from mesh_harness import wait_until
from test_silent_peers import (
    BOOK,
    OK,
    READ,
    accepted_connections,
    add_far_target,
    first_hanging,
    opened_connections,
    paused,
    sent,
)

pytestmark = pytest.mark.anyio
STOP_ITERATION_COUNT = 20
UPLOAD = bytes(600_000)
# Longer than the answers that are kept, within the credit of a stream.
UNKEPT_BODY = bytes(100_000)
# Longer than the credit of a stream.
STREAMED_BODY = bytes(400_000)


def hold_attempt(target, held_attempt):
    """Hold back the answer to one attempt until the event is set."""
    may_answer = asyncio.Event()

    async def answer_late(writer, attempt) -> None:
        if attempt == held_attempt:
            target.is_hanging.set()
            await may_answer.wait()
        await target.answer(writer, attempt)

    target.script = answer_late
    return may_answer


def answer_with(target, body):
    """Answer all requests with a body."""

    async def answer(writer, attempt) -> None:
        writer.write(target.whole(attempt, body=body))

    target.script = answer


@pytest.fixture
def queried(monkeypatch):
    """Return an event that is set when a daemon has answered a query."""
    event = asyncio.Event()
    answer_query = PeerServer.answer_query

    def answer(server, stream, query):
        served = answer_query(server, stream, query)
        event.set()
        return served

    monkeypatch.setattr(PeerServer, 'answer_query', answer)
    return event


class TestRetiredConnections:
    """Guards against calls that are lost on a connection that is retired."""

    async def test_delayed_query_leaves_newer_connection_in_use(self, harness):
        near, far = await add_far_target(harness)
        may_answer = hold_attempt(far.target, b'a2')
        older = opened_connections(near)[0]
        query = PendingReply()
        stream = older.open_stream(query)
        older.note_silent()
        async with sent(near, *READ, x_attempt='a2') as held:
            # This call has opened a newer connection.
            await far.target.is_hanging.wait()
            stream.send(
                outcome_query=messages.OutcomeQuery(
                    attempt_id=b'delayed',
                    target_incarnation=far.sidecar.admission.ledger.incarnation,
                    is_forbidding=True,
                    remaining_ms=4000,
                ),
            )
            await query.reply
            status, _, _ = await near.send_request(x_attempt='a3')
            may_answer.set()
            assert (await read_message(held))[0] == OK
        assert status == OK

    async def test_call_that_arrives_after_a_query_is_answered(
        self, harness, queried
    ):
        near, far = await add_far_target(harness)
        may_answer = hold_attempt(far.target, b'a2')
        async with contextlib.AsyncExitStack() as stack:
            held = await stack.enter_async_context(
                sent(near, *READ, x_attempt='a2'),
            )
            await far.target.is_hanging.wait()
            with paused(accepted_connections(far)):
                await stack.enter_async_context(
                    sent(near, *BOOK, x_attempt='a4'),
                )
                delayed = await stack.enter_async_context(
                    sent(near, *READ, x_attempt='a3'),
                )
                await wait_until(queried.is_set)
            status = (await read_message(delayed))[0]
            may_answer.set()
            assert (await read_message(held))[0] == OK
        assert status == OK

    async def test_quiet_retired_connection_is_not_taken_for_silent(
        self, harness, queried
    ):
        near, far = await add_far_target(harness)
        may_answer = hold_attempt(far.target, b'a2')
        older = opened_connections(near)[0]
        pinged = near.sidecar._silence_monitor._pinged
        async with sent(near, *READ, x_attempt='a2') as held:
            await far.target.is_hanging.wait()
            with paused([older]):
                async with sent(near, *BOOK, x_attempt='a3') as booked:
                    await wait_until(queried.is_set)
                    assert (await read_message(booked))[0] == OK
            await wait_until(lambda: not older.is_silent)
            await wait_until(lambda: older in pinged)
            await wait_until(lambda: older not in pinged)
            is_taken_for_silent = older.is_silent
            may_answer.set()
            assert (await read_message(held))[0] == OK
        assert not is_taken_for_silent


class TestQueriedCall:
    """Guards against outcome queries that end the call that they ask for."""

    async def test_upload_goes_on_after_a_query(
        self, harness, queried, monkeypatch
    ):
        # Only a body that was sent unasked may be on its way already.
        monkeypatch.setattr(peer_client, 'is_worth_holding', lambda _: False)
        near, _ = await add_far_target(harness)
        path, method = BOOK
        with paused(opened_connections(near)):
            request = asyncio.ensure_future(
                near.send_request(path, method, UPLOAD)
            )
            await wait_until(queried.is_set)
        assert (await request)[0] == OK

    @pytest.mark.parametrize('body', [UNKEPT_BODY, STREAMED_BODY])
    async def test_long_answer_arrives_after_a_query(
        self, harness, queried, body
    ):
        near, far = await add_far_target(harness)
        answer_with(far.target, body)
        async with sent(near, *BOOK) as reader:
            with paused(opened_connections(near)):
                await wait_until(queried.is_set)
            status, _, received = await read_message(reader)
        assert (status, len(received)) == (OK, len(body))

    async def test_booking_in_work_outlasts_a_query_without_reply(
        self, harness, monkeypatch
    ):
        monkeypatch.setattr(pool, 'CONNECT_TIMEOUT_S', 0.05)
        near, far = await add_far_target(harness)
        may_answer = hold_attempt(far.target, b'a2')
        is_given_up = asyncio.Event()
        query_outcome = peer_client.PeerClient._query_outcome

        async def query(*facts):
            try:
                return await query_outcome(*facts)
            finally:
                is_given_up.set()

        monkeypatch.setattr(peer_client.PeerClient, '_query_outcome', query)

        def is_unread_and_given_up() -> bool:
            for each in accepted_connections(far):
                if each._transport is not None:
                    each._transport.pause_reading()
            return is_given_up.is_set()

        async with sent(near, *BOOK, x_attempt='a2') as reader:
            await far.target.is_hanging.wait()
            await wait_until(is_unread_and_given_up)
            for each in accepted_connections(far):
                each._transport.resume_reading()
            may_answer.set()
            assert (await read_message(reader))[0] == OK


class TestOtherTargets:
    """Guards against more attempts than needed while a target is silent."""

    async def test_failure_at_silent_target_leaves_other_attempt_in_work(
        self, harness
    ):
        near, far = await add_far_target(harness)
        nodes = (far, await harness.add_node('south'))
        may_fail, may_answer = asyncio.Event(), asyncio.Event()
        for node in nodes:
            fail_first(node, nodes, may_fail, may_answer)
        async with sent(near, *READ, x_attempt='a2') as reader:
            first, other = await first_hanging(*nodes)
            record = near.sidecar.state.members.record(first.name)
            with paused([connection_to(near, first)]):
                await other.target.is_hanging.wait()
            failure_count = record.failure_streak
            may_fail.set()
            await wait_until(lambda: record.failure_streak > failure_count)
            may_answer.set()
            assert (await read_message(reader))[0] == OK
        assert len(other.target.requests) == 1


def connection_to(node, peer):
    """Return the connection that a node has opened to another one."""
    by_name = {each.peer_name: each for each in opened_connections(node)}
    return by_name[peer.name]


def fail_first(node, nodes, may_fail, may_answer):
    """Fail late at the node that is asked first, answer late elsewhere."""

    async def answer_late(writer, attempt) -> None:
        is_first = not any(each.target.is_hanging.is_set() for each in nodes)
        node.target.is_hanging.set()
        if is_first:
            await may_fail.wait()
            await node.target.fail(writer, attempt)
        else:
            await may_answer.wait()
            await node.target.answer(writer, attempt)

    node.target.script = answer_late


class TestPlannedStop:
    """Guards against answers that are cut by the stop of their daemon."""

    async def test_stop_waits_for_a_long_answer(self, harness, monkeypatch):
        monkeypatch.setattr(sidecar, 'READINESS_FAILURE_S', 0)
        near, far = await add_far_target(harness)
        may_go_on = asyncio.Event()

        async def answer_in_parts(writer, attempt) -> None:
            whole = far.target.whole(attempt, body=STREAMED_BODY)
            writer.write(whole[:300_000])
            await may_go_on.wait()
            writer.write(whole[300_000:])

        far.target.script = answer_in_parts
        async with sent(near, *READ) as reader:
            await reader.readuntil(b'\r\n\r\n')
            far.sidecar.stop()
            await wait_until(lambda: far.sidecar._is_refusing_callers)
            for _ in range(STOP_ITERATION_COUNT):
                await checkpoint()
            may_go_on.set()
            body = await reader.readexactly(len(STREAMED_BODY))
        assert body == STREAMED_BODY
