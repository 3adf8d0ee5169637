"""Tests of refusals under overload and while leaving, over 1 and 2 hops."""

# The tests concatenate raw HTTP messages.
# flake8: noqa: WPS336

import asyncio
from functools import partial

import pytest
from cornelbeam_core.admission import AdmissionSettings
from cornelbeam_core.attempts import AttemptLedger

pytestmark = pytest.mark.anyio
GET = b'GET /a HTTP/1.1\r\nhost: windows.mesh\r\nconnection: close\r\n'
POST = GET.replace(b'GET', b'POST')
SLOT_COUNT = 2
QUEUE_COUNT = 4


def assert_refused(answer: bytes, code: bytes, step: bytes) -> None:
    """Check the code, run state, step and peer of a refusal."""
    assert answer.startswith(b'HTTP/1.1 50'), answer
    assert b'\r\ncornelbeam-code: %b\r\n' % code in answer, answer
    assert b'\r\ncornelbeam-ran: no\r\n' in answer, answer
    assert b'\r\ncornelbeam-step: %b\r\n' % step in answer, answer
    assert b'\r\ncornelbeam-peer: yard-1\r\n' in answer, answer


class Gate:
    """Backend server script that delays answers until the gate opens."""

    def __init__(self, bed) -> None:
        """Replace the script of the backend server in ``bed``."""
        self.opened = asyncio.Event()
        self._backend = bed.backend
        bed.backend.script = self.serve

    async def serve(self, reader, writer) -> None:
        """Answer one request after the gate opens."""
        self._backend.requests.append(
            (await reader.readuntil(b'\r\n\r\n'), b''),
        )
        await self.opened.wait()
        writer.write(self._backend.answer)


@pytest.fixture
async def gate(bed) -> Gate:
    """Return a closed gate in front of the backend server."""
    return Gate(bed)


async def fill(bed, call_count: int) -> list['asyncio.Task[bytes]']:
    """Send calls that occupy the slots and then the queue."""
    tasks = []
    for count in range(1, call_count + 1):
        tasks.append(asyncio.create_task(bed.ask(GET + b'\r\n')))
        await bed.wait(partial(is_used, bed, count))
    return tasks


def is_used(bed, call_count: int) -> bool:
    """Return whether this many calls run or wait at the backend side."""
    admission = bed.admission
    return admission.in_flight + admission.queue_length == call_count


class TestQueue:
    """Guards against calls that wait past their deadline or forever."""

    async def test_full(self, bed, gate: Gate) -> None:
        """A call is refused at once, with Retry-After, if the queue is full."""
        waiting = await fill(bed, SLOT_COUNT + QUEUE_COUNT)
        answer = await bed.ask(POST + b'\r\n')
        assert_refused(answer, b'overloaded', b'admission')
        assert b'\r\nretry-after: ' in answer
        gate.opened.set()
        answers = await asyncio.gather(*waiting)
        assert all(each.endswith(b'ok') for each in answers)
        assert len(bed.backend.requests) == SLOT_COUNT + QUEUE_COUNT

    async def test_short_deadline(self, bed, gate: Gate) -> None:
        """A call queued behind one with more time ends at its own deadline."""
        waiting = await fill(bed, SLOT_COUNT + 1)
        answer = await bed.ask(POST + b'cornelbeam-deadline-ms: 60\r\n\r\n')
        assert answer.startswith(b'HTTP/1.1 50'), answer
        assert bed.admission.queue_length == 1
        assert len(bed.backend.requests) == SLOT_COUNT
        gate.opened.set()
        await asyncio.gather(*waiting)

    async def test_turns(self, bed, gate: Gate, make_call) -> None:
        """Queued callers take turns, however many calls each has queued."""
        waiting = await fill(bed, SLOT_COUNT)
        tasks = []
        for number, caller in enumerate(('a', 'a', 'a', 'b')):
            call = make_call(caller, b'/%d' % number)
            tasks.append(asyncio.create_task(bed.backend_side.serve(call)))
            await bed.wait(partial(is_used, bed, SLOT_COUNT + number + 1))
        bed.admission._settings = AdmissionSettings(1, 1)
        bed.admission._limit = 1
        gate.opened.set()
        for done in asyncio.as_completed(tasks):
            (await done).close()
        await asyncio.gather(*waiting)
        paths = [head.split()[1] for head, _ in bed.backend.requests]
        assert paths[SLOT_COUNT:] == [b'/0', b'/3', b'/1', b'/2']

    async def test_cancelled_in_queue(self, bed, gate: Gate) -> None:
        """A caller that disconnects frees its place in the queue."""
        waiting = await fill(bed, SLOT_COUNT + QUEUE_COUNT)
        for connection in tuple(bed.callers):
            connection.abort()
        await bed.wait_idle()
        await asyncio.gather(*waiting, return_exceptions=True)
        gate.opened.set()
        assert (await bed.ask(GET + b'\r\n')).endswith(b'ok')


class TestRefusals:
    """Guards against refusals that do not report that nothing ran."""

    async def test_leaving(self, bed) -> None:
        """A leaving daemon refuses new calls."""
        bed.backend_side.is_leaving = True
        answer = await bed.ask(POST + b'\r\n')
        assert_refused(answer, b'target_leaving', b'admission')
        assert not bed.backend.requests

    async def test_out_of_service(self, bed) -> None:
        """A daemon refuses calls if its failure domain is out of service."""
        bed.is_in_service = False
        answer = await bed.ask(POST + b'\r\n')
        assert_refused(answer, b'domain_out_of_service', b'admission')
        assert not bed.backend.requests

    async def test_full_ledger(self, bed) -> None:
        """An attempt that the full ledger cannot record is not sent."""
        bed.backend_side.ledger = AttemptLedger(1, 0, 30)
        answer = await bed.ask(POST + b'\r\n')
        assert_refused(answer, b'overloaded', b'attempt ledger')
        assert b'\r\nretry-after: ' in answer
        assert not bed.backend.requests

    async def test_backend_gone(self, bed) -> None:
        """An attempt did not run if the backend server refused to connect."""
        bed.client._port = 1
        answer = await bed.ask(POST + b'\r\n')
        assert_refused(answer, b'backend_unreachable', b'backend connection')

    async def test_deadline_at_backend(self, bed) -> None:
        """A call without an answer at the deadline has an unknown outcome."""
        bed.backend.script = bed.backend.hang
        answer = await bed.ask(POST + b'cornelbeam-deadline-ms: 60\r\n\r\n')
        assert answer.startswith(b'HTTP/1.1 504 ')
        assert b'cornelbeam-code: deadline_passed' in answer
        assert b'cornelbeam-ran: unknown' in answer
        await bed.wait(lambda: not bed.backend.open_count)
