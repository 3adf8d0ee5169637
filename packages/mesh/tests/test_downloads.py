"""Long answers, which are passed on while they arrive."""

import asyncio

import pytest
from cornelbeam_core.routes import RequestKind
from cornelbeam_core.shared_objects import SharedKind
from mesh_harness import WAIT_LIMIT_S, configuration, head, route, wait_until

pytestmark = pytest.mark.anyio
PART = bytes(range(250)) * 200
PART_COUNT = 40
# More than the buffers of the kernel hold on loopback.
ENDLESS_COUNT = 2000
HEAD = (
    b'HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-signature: s\r\n'
    b'content-length: %d\r\n\r\n'
)


class Depot:
    """Target whose answers are long, and a caller's connection."""

    def __init__(self, near, target) -> None:
        """Answer at ``target`` what callers of the node ``near`` ask."""
        self.near = near
        self.target = target
        self.part_count = PART_COUNT
        # The connection breaks off after this many parts.
        self.break_after = PART_COUNT
        self.written_count = 0
        target.script = self._answer

    async def open(self):
        """Send the request and return the streams of its connection."""
        reader, writer = await asyncio.open_connection(
            *self.near.addresses['callers'].split(':')
        )
        writer.write(head('/pull/1'))
        return reader, writer

    async def _answer(self, writer, attempt) -> None:
        writer.write(HEAD % (len(PART) * self.part_count))
        for number in range(self.part_count):
            if number == self.break_after:
                writer.close()
                return
            writer.write(PART)
            await writer.drain()
            self.written_count += 1


@pytest.fixture(params=['own target', 'other target'])
async def depot(request, harness):
    """Yield a depot beside the caller's daemon, or beside another one."""
    harness.store.put(
        SharedKind.CONFIGURATION,
        'main',
        configuration(
            1,
            (route('pull', RequestKind.DOWNLOAD, timeout_ms=60_000),),
        ),
    )
    near = await harness.add_node()
    far = await harness.add_node('south')
    if request.param == 'own target':
        return Depot(near, near.target)
    near.send_heartbeat(is_draining=True)
    return Depot(near, far.target)


class TestDownload:
    """Guards against long answers that are damaged or kept in memory."""

    async def test_it_arrives_whole(self, depot):
        reader, writer = await depot.open()
        async with asyncio.timeout(WAIT_LIMIT_S):
            await reader.readuntil(b'\r\n\r\n')
            content = await reader.readexactly(len(PART) * PART_COUNT)
        writer.close()
        assert content == PART * PART_COUNT

    async def test_broken_one_is_not_whole_and_not_repeated(
        self, harness, depot
    ):
        depot.break_after = PART_COUNT - 1
        reader, writer = await depot.open()
        async with asyncio.timeout(WAIT_LIMIT_S):
            await reader.readuntil(b'\r\n\r\n')
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readexactly(len(PART) * PART_COUNT)
        writer.close()
        assert sum(len(each.target.requests) for each in harness.nodes) == 1

    async def test_caller_that_does_not_read_holds_the_target_back(self, depot):
        depot.part_count = ENDLESS_COUNT
        depot.break_after = ENDLESS_COUNT
        reader, writer = await depot.open()
        await wait_until(lambda: depot.written_count > 0)
        last_count = 0
        while depot.written_count > last_count:
            last_count = depot.written_count
            for _ in range(2000):
                await asyncio.sleep(0)
        assert depot.written_count < ENDLESS_COUNT / 2
        assert not reader.at_eof()
        writer.transport.abort()
        admission = depot.near.sidecar.admission
        await wait_until(lambda: not admission.work_count)
