"""Answers over two daemons whose end arrives after their last bytes."""

import asyncio
import random

import pytest
from cornelbeam_wire import MAX_BODY_PART_BYTES, STREAM_CREDIT_BYTES
from mesh_harness import WAIT_LIMIT_S, head, wait_until

pytestmark = pytest.mark.anyio
SEED = 3
SIZES_BYTES = (
    0,
    1,
    MAX_BODY_PART_BYTES,
    MAX_BODY_PART_BYTES + 1,
    STREAM_CREDIT_BYTES - 1,
    STREAM_CREDIT_BYTES,
    STREAM_CREDIT_BYTES + 1,
    STREAM_CREDIT_BYTES + MAX_BODY_PART_BYTES,
    500_000,
    2_000_000,
)
FRAMINGS = ('length', 'chunks', 'close')


class LateEnd:
    """Script that sends a body, and its end some iterations later."""

    def __init__(self, framing, body, iteration_count) -> None:
        """Wait for ``iteration_count`` iterations of the event loop."""
        self.framing = framing
        self.body = body
        self.iteration_count = iteration_count

    async def send(self, writer, attempt) -> None:
        """Answer a request."""
        lines = [b'HTTP/1.1 200 OK', b'x-attempt: %b' % attempt]
        if self.framing == 'length':
            lines.append(b'content-length: %d' % len(self.body))
        if self.framing == 'chunks':
            lines.append(b'transfer-encoding: chunked')
        writer.write(b'\r\n'.join((*lines, b'', b'')))
        if self.framing == 'chunks' and self.body:
            writer.write(b'%x\r\n%b\r\n' % (len(self.body), self.body))
        else:
            writer.write(self.body)
        await writer.drain()
        for _ in range(self.iteration_count):
            await asyncio.sleep(0)
        if self.framing == 'chunks':
            writer.write(b'0\r\n\r\n')
        if self.framing == 'close':
            writer.close()


async def read_whole(reader) -> bytes:
    """Return the body of an answer; raise an error if it has no end."""
    lower = (await reader.readuntil(b'\r\n\r\n')).lower()
    if b'content-length: ' in lower:
        size = lower.split(b'content-length: ')[1].split(b'\r\n')[0]
        return await reader.readexactly(int(size))
    assert b'transfer-encoding: chunked' in lower
    content = b''
    size_bytes = int(await reader.readuntil(b'\r\n'), 16)
    while size_bytes:
        content += (await reader.readexactly(size_bytes + 2))[:-2]
        size_bytes = int(await reader.readuntil(b'\r\n'), 16)
    return content


@pytest.mark.parametrize('path', ['/read/1', '/book/1'])
@pytest.mark.parametrize('framing', FRAMINGS)
class TestEndOfAnswer:
    """Guards against whole answers that never end for their caller."""

    async def test_end_of_every_size_arrives(self, harness, framing, path):
        near = await harness.add_node()
        far = await harness.add_node('south')
        near.send_heartbeat(is_draining=True)
        await wait_until(lambda: not near.sidecar.admission.is_open())
        rng = random.Random(SEED)
        method = 'GET' if path == '/read/1' else 'POST'
        for size_bytes in SIZES_BYTES:
            for iteration_count in (0, 1, 30):
                late = LateEnd(
                    framing, rng.randbytes(size_bytes), iteration_count
                )
                far.target.script = late.send
                reader, writer = await asyncio.open_connection(
                    *near.addresses['callers'].split(':')
                )
                writer.write(head(path, method))
                async with asyncio.timeout(WAIT_LIMIT_S):
                    content = await read_whole(reader)
                writer.close()
                assert content == late.body, (size_bytes, iteration_count)
