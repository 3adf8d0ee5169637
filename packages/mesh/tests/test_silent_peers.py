"""Calls that wait at a daemon whose connection has gone silent."""

import asyncio
import contextlib

import pytest
from cornelbeam_daemon import control_messages
from fake_target import read_message
from mesh_harness import WAIT_LIMIT_S, head, paused, wait_until

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'
READ = ('/read/1', 'GET')
BOOK = ('/book/1', 'POST')
# An outcome query that takes longer than this was once given up.
OLD_QUERY_LIMIT_S = 0.6


def opened_connections(node):
    """Return the connections that a daemon has opened to others."""
    return node.sidecar._pool.connections()


def accepted_connections(node):
    """Return the connections that a daemon has accepted."""
    return tuple(node.sidecar._peer_endpoint.acceptor.connections)


@contextlib.asynccontextmanager
async def sent(node, path, method, **fields):
    """Send a request of a caller and yield the reader of its answer."""
    reader, writer = await asyncio.open_connection(
        *node.addresses['callers'].split(':'),
    )
    writer.write(head(path, method, **fields))
    try:
        yield reader
    finally:
        writer.close()


async def add_far_target(harness):
    """Return a node without a target of its own, and the node that has one.

    The connection between their daemons is open.
    """
    near = await harness.add_node()
    far = await harness.add_node('south')
    near.send_heartbeat(is_draining=True)
    assert (await near.send_request())[0] == OK
    return near, far


async def wait_for_silence(node, connections):
    """Wait until a daemon no longer uses connections for new calls."""
    pool = node.sidecar._pool

    def is_noticed() -> bool:
        return all(
            each.is_closed or each.is_silent or each not in pool.connections()
            for each in connections
        )

    await wait_until(is_noticed)


class TestSlowDaemon:
    """Guards against giving up calls that the other daemon still serves."""

    async def test_read_is_answered_after_a_silence(self, harness):
        near, far = await add_far_target(harness)
        opened = opened_connections(near)
        async with sent(near, *READ) as reader:
            with paused(accepted_connections(far)):
                await wait_for_silence(near, opened)
            assert (await read_message(reader))[0] == OK

    async def test_booking_in_work_is_answered_after_a_silence(self, harness):
        near, far = await add_far_target(harness)
        may_answer = asyncio.Event()

        async def answer_late(writer, attempt) -> None:
            far.target.is_hanging.set()
            await may_answer.wait()
            await far.target.answer(writer, attempt)

        far.target.script = answer_late
        opened = opened_connections(near)
        loop = asyncio.get_running_loop()
        async with sent(near, *BOOK) as reader:
            await far.target.is_hanging.wait()
            with paused(opened):
                await wait_for_silence(near, opened)
                later_s = loop.time() + OLD_QUERY_LIMIT_S
                await wait_until(lambda: loop.time() > later_s)
                may_answer.set()
                assert (await read_message(reader))[0] == OK
        assert len(far.target.requests) == 2

    async def test_answer_that_is_ready_is_fetched(self, harness):
        near, far = await add_far_target(harness)
        with paused(opened_connections(near)):
            async with sent(near, *BOOK) as reader:
                assert (await read_message(reader))[0] == OK
        assert len(far.target.requests) == 2

    async def test_outcome_query_leaves_other_calls_in_work(self, harness):
        near, far = await add_far_target(harness)
        may_answer = asyncio.Event()

        async def answer_late(writer, attempt) -> None:
            if attempt == b'a2':
                far.target.is_hanging.set()
                await may_answer.wait()
            await far.target.answer(writer, attempt)

        far.target.script = answer_late
        opened = opened_connections(near)
        async with sent(near, *READ, x_attempt='a2') as read_reader:
            await far.target.is_hanging.wait()
            with paused(opened):
                async with sent(near, *BOOK) as book_reader:
                    assert (await read_message(book_reader))[0] == OK
                may_answer.set()
            assert (await read_message(read_reader))[0] == OK
        assert len(far.target.requests) == 3

    async def test_unanswered_ping_leaves_calls_in_work(
        self, harness, monkeypatch
    ):
        monkeypatch.setattr(control_messages, 'REPLY_TIMEOUT_S', 0.05)
        near, far = await add_far_target(harness)
        opened = opened_connections(near)
        async with sent(near, *READ) as reader:
            with paused(accepted_connections(far)):
                await near.sidecar.peer_sync.pull(
                    far.name, far.addresses['peers']
                )
                assert all(each.is_silent for each in opened)
            assert (await read_message(reader))[0] == OK


class TestGoneDaemon:
    """Guards against calls that wait for a daemon that will not answer."""

    async def test_read_is_answered_by_another_target(self, harness):
        near, far = await add_far_target(harness)
        other = await harness.add_node('south')
        opened = opened_connections(near)
        far.target.script = far.target.hang
        other.target.script = other.target.hang
        async with sent(near, *READ) as reader:
            chosen, spare = await first_hanging(far, other)
            spare.target.script = spare.target.answer
            with paused(opened), paused(accepted_connections(chosen)):
                assert (await read_message(reader))[0] == OK
            await wait_until(lambda: not chosen.sidecar.admission.work_count)

    async def test_read_ends_at_its_deadline(self, harness):
        near, far = await add_far_target(harness)
        # No attempt over a new connection is answered in time either.
        far.target.script = far.target.hang
        with paused(opened_connections(near)):
            async with sent(near, *READ, x_remaining='600') as reader:
                async with asyncio.timeout(WAIT_LIMIT_S):
                    status, _, _ = await read_message(reader)
        assert status.startswith('HTTP/1.1 504')

    async def test_read_is_answered_over_a_new_connection(self, harness):
        near, _ = await add_far_target(harness)
        with paused(opened_connections(near)):
            async with sent(near, *READ) as reader:
                async with asyncio.timeout(WAIT_LIMIT_S):
                    status, _, _ = await read_message(reader)
        assert status == OK

    async def test_read_is_sent_again_only_once(self, harness):
        near, far = await add_far_target(harness)
        far.target.requests.clear()
        far.target.script = far.target.drop
        with paused(opened_connections(near)):
            async with sent(near, *READ, x_remaining='2500') as reader:
                async with asyncio.timeout(WAIT_LIMIT_S):
                    status, _, _ = await read_message(reader)
        assert status != OK
        # Over the silent connection and over the new one, and each of them a
        # second time if it was sent over a kept connection of the target.
        assert len(far.target.requests) <= 4

    async def test_booking_that_has_not_arrived_runs_elsewhere(self, harness):
        near, far = await add_far_target(harness)
        other = await harness.add_node('south')
        with paused(accepted_connections(far)):
            with paused(accepted_connections(other)):
                async with sent(near, *BOOK) as reader:
                    assert (await read_message(reader))[0] == OK
        await wait_until(lambda: not far.sidecar.admission.work_count)
        runs = [
            line
            for node in (far, other)
            for line, _, _ in node.target.requests
            if line.startswith('POST')
        ]
        assert len(runs) == 1


async def first_hanging(*nodes):
    """Return the node whose target got a request, then the other one."""
    await wait_until(
        lambda: any(node.target.is_hanging.is_set() for node in nodes)
    )
    return sorted(nodes, key=lambda node: not node.target.is_hanging.is_set())
