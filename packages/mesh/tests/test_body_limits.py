"""Bodies above the limit that operators configure."""

import asyncio

import msgspec
import pytest
from cornelbeam_core.routes import RequestKind, RequestLimits
from cornelbeam_core.shared_objects import SharedKind
from mesh_harness import configuration, head, route, wait_until

pytestmark = pytest.mark.anyio
# Above what is buffered before a part is passed on.
LIMIT_BYTES = 1_500_000
UPLOAD = route('upload', RequestKind.UPLOAD)
NOT_RUN = 'HTTP/1.1 413'


def with_limits(version, body_bytes) -> bytes:
    """Encode a configuration with a limit of bodies."""
    stated = msgspec.json.decode(configuration(version, (UPLOAD,)))
    stated['limits'] = msgspec.to_builtins(RequestLimits(None, body_bytes))
    return msgspec.json.encode(stated)


async def start_limited(harness, body_bytes):
    """Start a node under a limit."""
    harness.store.put(
        SharedKind.CONFIGURATION, 'main', with_limits(2, body_bytes)
    )
    node = await harness.add_node()
    await wait_until(
        lambda: node.sidecar._input_limits.body_bytes == body_bytes
    )
    return node


async def send_chunks(node, path, size_bytes):
    """Send a chunked body that never ends; return the first line."""
    reader, writer = await asyncio.open_connection(
        *node.addresses['callers'].split(':')
    )
    fields = {'transfer-encoding': 'chunked', 'content-length': ''}
    raw = head(path, 'POST', b'', **fields).replace(
        b'content-length: \r\n', b''
    )
    try:
        writer.write(raw + b'%x\r\n%b\r\n' % (size_bytes, bytes(size_bytes)))
        async with asyncio.timeout(20):
            return (await reader.readline()).decode()
    except ConnectionError:
        return ''
    finally:
        writer.transport.abort()


class TestLimits:
    """Guards against bodies that are read and passed on whatever their size."""

    @pytest.mark.parametrize('path', ['/read/1', '/book/1', '/upload/1'])
    async def test_announced_body_is_refused_at_once(self, harness, path):
        node = await start_limited(harness, LIMIT_BYTES)
        stated = {'content-length': '100000000000'}
        status, _, _ = await node.send_request(path, 'POST', b'', **stated)
        assert status.startswith(NOT_RUN)
        assert not node.target.begun_count

    async def test_body_of_the_limit_is_served(self, harness):
        node = await start_limited(harness, LIMIT_BYTES)
        status, _, _ = await node.send_request(
            '/upload/1', 'POST', bytes(LIMIT_BYTES)
        )
        assert status == 'HTTP/1.1 200 OK'
        assert len(node.target.requests[0][2]) == LIMIT_BYTES

    @pytest.mark.parametrize('path', ['/read/1', '/book/1', '/upload/1'])
    async def test_short_chunked_body_above_it_has_not_run(self, harness, path):
        node = await start_limited(harness, 100_000)
        assert (await send_chunks(node, path, 100_001)).startswith(NOT_RUN)
        assert not node.target.begun_count

    @pytest.mark.parametrize('path', ['/book/1', '/upload/1'])
    async def test_no_promise_once_a_part_was_passed_on(self, harness, path):
        node = await start_limited(harness, LIMIT_BYTES)
        line = await send_chunks(node, path, 2 * LIMIT_BYTES)
        assert (
            not line
            or line.startswith('HTTP/1.1 502')
            or (line.startswith(NOT_RUN) and not node.target.begun_count)
        )
        assert not node.target.requests

    async def test_changed_limit_holds_for_open_connections(self, harness):
        node = await start_limited(harness, 100_000)
        harness.store.put(
            SharedKind.CONFIGURATION, 'main', with_limits(3, 200_000)
        )
        await wait_until(
            lambda: node.sidecar._input_limits.body_bytes == 200_000
        )
        status, _, _ = await node.send_request(
            '/book/1', 'POST', bytes(200_000)
        )
        assert status == 'HTTP/1.1 200 OK'
