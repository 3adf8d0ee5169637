"""Targets that repeat a refusal or break off within the head of an answer."""

import pytest
from mesh_harness import wait_until

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'
REFUSED = 'HTTP/1.1 503 Service Unavailable'
BOOKING = ('/book/1', 'POST', b'sand')


def refuse_once_more(target) -> None:
    """Refuse the first request, and once more when the next one runs."""
    refused: list[bytes] = []
    refusing_writers = []

    async def answer(writer, attempt) -> None:
        if not refused:
            refused.append(attempt)
            refusing_writers.append(writer)
            await target.shed(writer, attempt)
            return
        if writer in refusing_writers:
            await target.shed(writer, refused[0])
        await target.answer(writer, attempt)

    target.script = answer


class TestRepeatedRefusal:
    """Guards against callers who are told that a running request has not run.

    The target writes an earlier refusal once more on a kept connection.
    """

    @pytest.mark.parametrize('next_attempt', ['a2', 'a1'])
    async def test_next_booking_gets_its_own_answer(
        self, harness, next_attempt
    ):
        node = await harness.add_node()
        refuse_once_more(node.target)
        status, _, _ = await node.send_request(*BOOKING, x_attempt='a1')
        assert status == REFUSED
        status, _, _ = await node.send_request(*BOOKING, x_attempt=next_attempt)
        assert status == OK
        assert len(node.target.requests) == 2

    async def test_booking_does_not_run_at_a_second_target(self, harness):
        near = await harness.add_node()
        far = await harness.add_node('south')
        refuse_once_more(near.target)
        await near.send_request(*BOOKING)
        assert len(far.target.requests) == 1
        assert (await near.send_request(*BOOKING))[0] == OK
        assert len(near.target.requests) == 2
        assert len(far.target.requests) == 1

    async def test_late_health_answer_is_not_that_of_a_request(self, harness):
        """A refusal has no cold time, so it would end that of the target."""
        node = await harness.add_node()
        target = node.target
        target.state_in_health(b'x-cold: 60000')
        now_s = node.sidecar.admission._loop.time
        gate = node.sidecar.admission._gate
        await wait_until(lambda: gate.is_cold(now_s()))
        whole_health = target.whole_health((b'x-cold: 60000',))
        answered = []

        async def refuse_first(writer, attempt) -> None:
            refusal = target.whole(b'a1', b'503 Full', (b'x-not-run: 1',))
            writer.write(refusal + whole_health)
            answered.append(writer)

        target.health_script = refuse_first
        await wait_until(lambda: len(answered) > 2)
        assert gate.is_cold(now_s())


class TestHeadThatBreaksOff:
    """Guards against short answers that look whole."""

    @pytest.mark.parametrize('kept_share', [0.05, 0.2, 0.5, 0.9, 0.99])
    async def test_it_is_no_success(self, harness, kept_share):
        node = await harness.add_node()
        target = node.target

        async def break_off(writer, attempt) -> None:
            head, _, _ = target.whole(attempt).partition(b'\r\n\r\n')
            writer.write(head[: int(len(head) * kept_share)])
            writer.close()

        target.script = break_off
        status, fields, _ = await node.send_request(*BOOKING)
        assert status.startswith('HTTP/1.1 502')
        assert b'x-signature' not in fields

    async def test_read_is_answered_elsewhere(self, harness):
        near = await harness.add_node()
        await harness.add_node('south')
        near.target.script = break_off_after_status
        status, _, body = await near.send_request()
        assert (status, body) == (OK, b'whole body')


async def break_off_after_status(writer, attempt) -> None:
    """Close the connection within the head of an answer."""
    writer.write(b'HTTP/1.1 200 OK\r\nx-attempt: a1\r\ncontent-le')
    writer.close()
