"""Requests that crash the backend servers which run them."""

import operator
from functools import partial

import pytest

pytestmark = pytest.mark.anyio
DEADLY = (
    b'GET /deadly HTTP/1.1\r\nhost: windows.mesh\r\nconnection: close\r\n\r\n'
)
CREDENTIALS = b'authorization: other\r\nconnection'
# What operators of the platform tolerate.
MAX_CRASH_COUNT = 3


class Crasher:
    """Crashes the backend server at deadly requests."""

    def __init__(self, bed) -> None:
        """Replace the script of the backend server."""
        self.bed = bed
        self.heads: list[bytes] = []
        bed.backend.script = self._crash

    async def send(self, raw=DEADLY) -> bytes:
        """Send a request and return the answer once all has settled."""
        answer = await self.bed.ask(raw)
        crashes = self.bed.backend_side.crashes
        await self.bed.wait(lambda: not crashes._tasks)
        if not self.bed.is_backend_listening:
            await self.bed.restart_backend()
        return answer

    async def _crash(self, reader, writer) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        if b'/deadly' not in head:
            writer.write(self.bed.backend.answer)
            return
        self.heads.append(head)
        await self.bed.stop_backend()


class TestDeadlyRequest:
    """Guards against a request that crashes backend servers without an end."""

    async def test_it_is_refused_after_three_crashes(self, remote):
        crasher = Crasher(remote)
        for _ in range(MAX_CRASH_COUNT + 2):
            await crasher.send()
        assert len(crasher.heads) <= MAX_CRASH_COUNT

    async def test_its_caller_learns_when_to_come_back(self, bed):
        crasher = Crasher(bed)
        for _ in range(MAX_CRASH_COUNT):
            await crasher.send()
        answer = await bed.ask(DEADLY)
        assert answer.startswith(b'HTTP/1.1 503 ')
        assert b'\r\ncornelbeam-code: request_quarantined\r\n' in answer
        assert b'\r\ncornelbeam-ran: no\r\n' in answer
        delay = answer.split(b'retry-after: ')[1].split(b'\r\n')[0]
        assert 0 < int(delay) <= 60

    async def test_other_callers_are_served(self, bed):
        crasher = Crasher(bed)
        for _ in range(MAX_CRASH_COUNT):
            await crasher.send()
        other = DEADLY.replace(b'/deadly', b'/other')
        assert (await bed.ask(other)).startswith(b'HTTP/1.1 200 ')

    async def test_credentials_tell_callers_apart(self, bed):
        crasher = Crasher(bed)
        for _ in range(MAX_CRASH_COUNT):
            await crasher.send()
        count = len(crasher.heads)
        await crasher.send(DEADLY.replace(b'connection', CREDENTIALS))
        assert len(crasher.heads) == count + 1

    async def test_answer_that_breaks_off_is_no_crash(self, bed):
        async def drop(reader, writer) -> None:
            bed.backend.requests.append(await reader.readuntil(b'\r\n\r\n'))

        bed.backend.script = drop
        crashes = bed.backend_side.crashes
        for _ in range(MAX_CRASH_COUNT + 1):
            await bed.ask(DEADLY)
            await bed.wait(partial(operator.not_, crashes._tasks))
        assert len(bed.backend.requests) == MAX_CRASH_COUNT + 1
