"""Statuses that HTTP does not define, and answers that are reset."""

import asyncio
from types import SimpleNamespace

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_daemon.convert import load_to_wire
from cornelbeam_daemon.remote_call import RemoteCall
from cornelbeam_wire.gen import messages

pytestmark = pytest.mark.anyio
INVALID = ['000', '099', '20', '2000', '', '600', '999']
FIRST = b'HTTP/1.1 200 OK\r\n'
GET = b'GET /a HTTP/1.1\r\nhost: windows.mesh\r\n'
BODY_BYTES = 280_000
LINGER_NOTHING = b'\1\0\0\0\0\0\0\0'
UPLOADS = {
    'length': (
        b'PUT /a HTTP/1.1\r\nhost: windows.mesh\r\n'
        b'content-length: %d\r\n\r\n' % BODY_BYTES
    ),
    'chunks': (
        b'PUT /a HTTP/1.1\r\nhost: windows.mesh\r\n'
        b'transfer-encoding: chunked\r\n\r\n%x\r\n' % BODY_BYTES
    ),
}


def make_answer(bed, status: int) -> messages.Frame:
    """Return the whole answer of another daemon with this status."""
    start = messages.AnswerStart(
        status=status,
        headers=[],
        body=b'',
        is_complete=True,
        load=load_to_wire(bed.backend_side.load),
    )
    return messages.Frame(stream_id=1, answer_start=start)


class TestStatuses:
    """Guards against answers whose status has no meaning."""

    @pytest.mark.parametrize('status', INVALID)
    @pytest.mark.parametrize('version', ['1.0', '1.1'])
    async def test_backend_server_has_failed(self, bed, status, version):
        bed.backend.answer = (
            b'HTTP/%b %b Odd\r\ncontent-length: 2\r\n\r\nok'
            % (version.encode(), status.encode())
        )
        answer = await bed.ask(GET, b'connection: close\r\n\r\n')
        assert answer.startswith(b'HTTP/1.1 502 '), answer
        assert b'cornelbeam-code: backend_failed' in answer

    @pytest.mark.parametrize('status', [0, 99, 199, 1000])
    async def test_peer_violates_the_protocol(self, bed, status):
        remote = RemoteCall(0)
        remote.stream = object()
        with pytest.raises(CornelbeamError, match='malformed head'):
            remote.on_frame(make_answer(bed, status))

    @pytest.mark.parametrize('status', [600, 999])
    async def test_earlier_release_fails_only_its_call(self, bed, status):
        """It passes such statuses on, and other calls use the connection."""
        remote = RemoteCall(0)
        remote.stream = SimpleNamespace(
            connection=SimpleNamespace(peer_name='yard-1')
        )
        remote.on_frame(make_answer(bed, status))
        error = remote.head.exception()
        assert error.code is ErrorCode.BACKEND_FAILED
        assert (error.step, error.peer) == ('answer', 'yard-1')
        assert error.run_state is RunState.UNKNOWN

    @pytest.mark.parametrize('status', [200, 299, 418, 599])
    async def test_all_others_are_passed_on(self, bed, status):
        bed.backend.answer = (
            b'HTTP/1.1 %d Odd\r\ncontent-length: 2\r\n\r\nok' % status
        )
        answer = await bed.ask(GET, b'connection: close\r\n\r\n')
        assert answer.startswith(b'HTTP/1.1 %d ' % status), answer


class TestResetBesideABody:
    """Guards against cut answers that look complete.

    An answer without a length ends with its connection. It is reset while the
    body of the request is still being written.
    """

    @pytest.mark.parametrize('framing', UPLOADS)
    @pytest.mark.parametrize('is_body_read', [True, False])
    async def test_it_never_looks_complete(self, bed, framing, is_body_read):
        async def reset(reader, writer) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'%b\r\nabc' % FIRST)
            await writer.drain()
            if is_body_read:
                await reader.readexactly(1000)
            await asyncio.sleep(0.01)
            writer.get_extra_info('socket').setsockopt(1, 13, LINGER_NOTHING)
            writer.transport.abort()

        bed.backend.script = reset
        reader, writer = await bed.open()
        writer.write(UPLOADS[framing])
        writer.write(bytes(BODY_BYTES // 2))
        async with asyncio.timeout(20):
            answer = await reader.read()
        writer.transport.abort()
        # A body in chunks is complete with its last chunk only.
        assert not answer.endswith(b'0\r\n\r\n')
        if answer.startswith(FIRST):
            assert b'transfer-encoding: chunked' in answer
        else:
            assert not answer or answer.startswith(b'HTTP/1.1 50'), answer
