"""Statuses that HTTP does not define, and answers that are reset."""

import asyncio

import pytest
from cornelbeam_core.routes import RequestKind
from fake_target import SIGNATURE
from mesh_harness import head, route, start_serving

pytestmark = pytest.mark.anyio
INVALID = ['000', '099', '20', '2000', '', '600', '999']
UPLOAD = route('upload', RequestKind.UPLOAD)
BODY_BYTES = 3_000_000
FRAMINGS = {
    'length': b'content-length: %d\r\n\r\n' % BODY_BYTES,
    'chunks': b'transfer-encoding: chunked\r\n\r\n%x\r\n' % BODY_BYTES,
}
LINGER_NOTHING = b'\1\0\0\0\0\0\0\0'


@pytest.mark.parametrize('placement', ['local', 'remote'])
class TestStatuses:
    """Guards against answers whose status has no meaning."""

    @pytest.mark.parametrize('status', INVALID)
    async def test_target_has_failed(self, harness, placement, status):
        node, *targets = await start_serving(harness, placement, UPLOAD)

        async def answer(writer, attempt) -> None:
            target = targets[0].target
            writer.write(target.whole(attempt, f'{status} Odd'.encode()))

        for each in targets:
            each.target.script = answer
        first, _, _ = await node.send_request('/book/1', 'POST', b'sand')
        assert first.startswith('HTTP/1.1 502'), first


@pytest.mark.parametrize('placement', ['local', 'remote'])
class TestResetBesideABody:
    """Guards against cut answers that look complete.

    An answer without a length ends with its connection. It is reset while the
    body of the request is still being written.
    """

    @pytest.mark.parametrize('framing', FRAMINGS)
    async def test_it_never_looks_complete(self, harness, placement, framing):
        node, *targets = await start_serving(harness, placement, UPLOAD)
        for each in targets:
            each.target._serve_one = answer_and_reset
        reader, writer = await asyncio.open_connection(
            *node.addresses['callers'].split(':')
        )
        start, _, _ = head('/upload/1', 'POST').partition(b'content-length')
        writer.write(start + FRAMINGS[framing] + bytes(BODY_BYTES // 2))
        try:
            async with asyncio.timeout(20):
                answer = await reader.read()
        except ConnectionError:
            answer = b''
        writer.transport.abort()
        assert not answer.endswith(b'0\r\n\r\n')
        if answer.startswith(b'HTTP/1.1 200'):
            assert b'transfer-encoding: chunked' in answer
        else:
            assert not answer or answer.startswith(b'HTTP/1.1 50'), answer


async def answer_and_reset(reader, writer) -> None:
    """Answer an upload without a length, and reset the connection."""
    received = await reader.readuntil(b'\r\n\r\n')
    if b' /health ' in received:
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
        return
    writer.write(
        b'HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-load: 100\r\n%b\r\n\r\nabc'
        % SIGNATURE
    )
    await writer.drain()
    await asyncio.sleep(0.01)
    writer.get_extra_info('socket').setsockopt(1, 13, LINGER_NOTHING)
    writer.transport.abort()
