"""Calls that a daemon gives up or loses though their target is at work."""

import asyncio

import pytest
from cornelbeam_daemon.control_messages import PendingReply
from cornelbeam_wire.gen import messages
from fake_target import read_message
from test_silent_peers import (
    OK,
    READ,
    add_far_target,
    opened_connections,
    sent,
)

pytestmark = pytest.mark.anyio


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
