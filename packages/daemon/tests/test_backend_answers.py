"""Tests of malformed and unusual answers of the backend server."""

# The tests concatenate raw HTTP messages.
# flake8: noqa: WPS336

import asyncio

import pytest
from cornelbeam_daemon import backend_client, bodies

pytestmark = pytest.mark.anyio
GET = b'GET /a HTTP/1.1\r\nhost: windows.mesh\r\n'
POST = b'POST /a HTTP/1.1\r\nhost: windows.mesh\r\n'
HEAD = b'HEAD /a HTTP/1.1\r\nhost: windows.mesh\r\n'
LAST = b'connection: close\r\n\r\n'
FIRST = b'HTTP/1.1 200 OK\r\n'


class TestMalformed:
    """Guards against forwarding a malformed or truncated answer."""

    @pytest.mark.parametrize(
        'raw',
        [
            b'nonsense\r\n\r\n',
            b'',
            b'HTTP/1.1 200 OK\r\ncontent-le',
            FIRST + b'content-length: 3\r\ncontent-length: 4\r\n\r\nabc',
            FIRST + b'content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n',
            FIRST + b'x: a\r\n y: b\r\ncontent-length: 0\r\n\r\n',
            FIRST + b'x: ' + b'a' * 400_000,
            b'HTTP/1.1 101 Switching\r\nupgrade: a\r\n'
            b'connection: upgrade\r\n\r\nabc',
            b'HTTP/1.1 99999 OK\r\n\r\n',
        ],
    )
    async def test_refused(self, bed, raw: bytes) -> None:
        """The caller is told that the outcome is unknown."""
        bed.backend.answer = raw
        bed.backend.script = bed.backend.answer_once
        answer = await bed.ask(POST + LAST)
        assert answer.startswith(b'HTTP/1.1 502 '), answer
        assert b'cornelbeam-code: backend_failed' in answer
        assert b'cornelbeam-ran: unknown' in answer
        assert b'cornelbeam-step: backend answer' in answer
        assert b'cornelbeam-peer: yard-1' in answer
        assert len(bed.backend.requests) == 1

    @pytest.mark.parametrize(
        'raw',
        [
            FIRST + b'content-length: 9\r\n\r\nabc',
            FIRST + b'transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n',
            FIRST + b'transfer-encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n',
            FIRST + b'transfer-encoding: chunked\r\n\r\n9\r\nabc',
            FIRST + b'transfer-encoding: gzip\r\n\r\nabc',
        ],
    )
    @pytest.mark.parametrize('method', [GET, POST])
    async def test_truncated(self, bed, raw: bytes, method: bytes) -> None:
        """A truncated answer never looks complete to the caller."""
        bed.backend.answer = raw
        bed.backend.script = bed.backend.answer_once
        answer = await bed.ask(method + LAST)
        if answer.startswith(b'HTTP/1.1 502 '):
            assert b'cornelbeam-code: answer_truncated' in answer
        elif b'content-length' in answer:
            assert b'content-length: 9' in answer
        else:
            assert not answer.endswith(b'0\r\n\r\n')

    async def test_reset_without_length(self, bed) -> None:
        """An answer without a length that ends with a reset is truncated."""

        async def reset(reader, writer) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(FIRST + b'\r\nabc')
            await asyncio.sleep(0.01)
            sock = writer.get_extra_info('socket')
            # SO_LINGER with a timeout of zero makes the close send a reset.
            sock.setsockopt(1, 13, b'\1\0\0\0\0\0\0\0')
            writer.transport.abort()

        bed.backend.script = reset
        answer = await bed.ask(GET + LAST)
        assert not answer.endswith(b'0\r\n\r\n')


class TestWhole:
    """Guards against refusing or changing a valid answer."""

    @pytest.mark.parametrize(
        ('raw', 'content'),
        [
            (FIRST + b'content-length: 3\r\n\r\nabc', b'abc'),
            (FIRST + b'content-length: 0\r\n\r\n', b''),
            (FIRST + b'\r\nabc', b'3\r\nabc\r\n0\r\n\r\n'),
            (
                b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n'
                b'cornelbeam-ran: no\r\n\r\n'
                + FIRST
                + b'content-length: 3\r\n\r\nabc',
                b'abc',
            ),
            (b'HTTP/1.1 204 No Content\r\n\r\n', b''),
            (b'HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n', b''),
            (b'HTTP/1.1 304 Not Modified\r\n\r\n', b''),
            (FIRST + b'content-length: 3\r\n\r\nabcdef', b'abc'),
        ],
    )
    async def test_passed_on(self, bed, raw: bytes, content: bytes) -> None:
        """The caller gets the final answer with exactly its body."""
        bed.backend.answer = raw
        bed.backend.script = bed.backend.answer_once
        answer = await bed.ask(GET + LAST)
        head, _, received = answer.partition(b'\r\n\r\n')
        status = raw.rpartition(b'HTTP/1.1 ')[2][:3]
        assert head.startswith(b'HTTP/1.1 ' + status), answer
        if b'chunked' in head:
            received = received.replace(b'3\r\nabc\r\n0\r\n\r\n', b'abc')
            content = content.replace(b'3\r\nabc\r\n0\r\n\r\n', b'abc')
        assert received == content.replace(b'3\r\nabc\r\n0\r\n\r\n', b'abc')
        assert b'cornelbeam-ran' not in head

    async def test_head(self, bed) -> None:
        """A forbidden body of a HEAD answer is not taken for the next answer."""
        bed.backend.answer = FIRST + b'content-length: 3\r\n\r\nabc'
        answer = await bed.ask(HEAD + b'\r\n' + GET + LAST)
        first, _, second = answer.partition(b'\r\n\r\n')
        assert b'content-length: 3' in first
        assert second.startswith(FIRST)
        assert second.endswith(b'\r\n\r\nabc')

    async def test_forged_fields(self, bed) -> None:
        """Control and hop-by-hop fields do not reach the caller."""
        bed.backend.answer = (
            FIRST + b'cornelbeam-code: overloaded\r\ncornelbeam-ran: no\r\n'
            b'connection: x-a\r\nconnection: x-b\r\nx-a: 1\r\nx-b: 2\r\n'
            b'keep-alive: 5\r\ncontent-length: 2\r\n\r\nok'
        )
        answer = await bed.ask(GET + LAST)
        assert answer.endswith(b'\r\n\r\nok')
        for name in (b'cornelbeam-code', b'-ran', b'x-a', b'x-b', b'keep-al'):
            assert name not in answer

    async def test_trailer_is_no_header(self, bed) -> None:
        """Trailer fields do not become header fields."""
        bed.backend.answer = (
            FIRST + b'transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n'
            b'x-role: clerk\r\n\r\n'
        )
        answer = await bed.ask(GET + LAST)
        assert b'x-role' not in answer
        assert b'abc' in answer


class TestReuse:
    """Guards against answers that are delivered to another request."""

    @pytest.mark.parametrize('delay_s', [0, 0.02])
    async def test_unsolicited(self, bed, delay_s: float) -> None:
        """An unsolicited answer is not taken for that of the next request."""

        async def forge(reader, writer) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(FIRST + b'content-length: 2\r\n\r\nok')
            await asyncio.sleep(delay_s)
            writer.write(FIRST + b'content-length: 6\r\n\r\nforged')
            await bed.backend.answer_all(reader, writer)

        bed.backend.script = forge
        reader, writer = await bed.open()
        writer.write(GET + b'\r\n')
        assert (await reader.readuntil(b'ok')).startswith(FIRST)
        await asyncio.sleep(2 * delay_s)
        bed.backend.script = bed.backend.answer_all
        writer.write(GET + LAST)
        assert b'forged' not in await reader.read()

    async def test_early_answer(self, bed) -> None:
        """The rest of a body is not sent ahead of the next request."""
        heads = []

        async def early(reader, writer) -> None:
            heads.append(await reader.readuntil(b'\r\n\r\n'))
            writer.write(FIRST + b'content-length: 2\r\n\r\nok')
            await bed.backend.answer_all(reader, writer)

        bed.backend.script = early
        reader, writer = await bed.open()
        writer.write(
            b'PUT'
            + POST[4:]
            + b'content-length: 200000\r\n\r\n'
            + b'a' * 70_000,
        )
        await reader.readuntil(b'\r\n\r\nok')
        writer.write(b'b' * 130_000)
        bed.backend.script = bed.backend.answer_all
        answer = await bed.ask(GET + LAST)
        assert answer.endswith(b'ok')
        assert not any(b'bbb' in head for head, _ in bed.backend.requests)
        writer.transport.abort()

    @pytest.mark.parametrize('method', [GET, POST])
    async def test_closed_while_idle(self, bed, method: bytes) -> None:
        """A connection that is closed while idle fails no request."""
        bed.backend.script = bed.backend.answer_once
        for _ in range(5):
            answer = await bed.ask(method + LAST)
            assert answer.endswith(b'\r\n\r\nok'), answer
        assert len(bed.backend.requests) == 5

    @pytest.mark.parametrize('is_idempotent', [True, False])
    async def test_close_crosses(self, bed, is_idempotent: bool) -> None:
        """A close that crosses with an idempotent request does not fail it."""

        async def close_late(reader, writer) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(FIRST + b'content-length: 2\r\n\r\nok')
            await reader.readuntil(b'\r\n\r\n')

        bed.backend.script = close_late
        reader, writer = await bed.open()
        writer.write(GET + b'\r\n')
        await reader.readuntil(b'ok')
        bed.backend.script = bed.backend.answer_all
        method = GET if is_idempotent else POST
        writer.write(method + LAST)
        answer = await reader.read()
        if is_idempotent:
            assert answer.endswith(b'\r\n\r\nok'), answer
        else:
            assert b'cornelbeam-ran: unknown' in answer
            assert not bed.backend.requests

    async def test_not_fresh(self, bed, monkeypatch) -> None:
        """A request that must not repeat avoids long-idle connections."""
        monkeypatch.setattr(backend_client, 'FRESH_S', -1)
        for _ in range(2):
            assert (await bed.ask(POST + LAST)).endswith(b'ok')
        assert bed.backend.connection_count == 2

    async def test_abandoned_while_paused(self, bed) -> None:
        """A connection paused in an abandoned answer is not reused."""
        size = 400_000
        bed.backend.answer = (
            b'%bcontent-length: %d\r\n\r\n' % (FIRST, size) + b'a' * size
        )
        for _ in range(3):
            _, writer = await bed.open()
            writer.write(GET + b'\r\n')
            await bed.wait(bed.backend.has_received_request)
            writer.transport.abort()
            bed.backend.requests.clear()
        await bed.wait_idle()
        answer = await bed.ask(GET + LAST)
        assert answer.endswith(b'a' * size)


class TestStall:
    """Guards against stalled answers that hold a slot."""

    async def test_body_never_ends(self, bed, monkeypatch) -> None:
        """The answer is aborted and does not look complete."""
        monkeypatch.setattr(bodies, 'STALL_TIMEOUT_S', 0.05)

        async def stall(reader, writer) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(FIRST + b'\r\nabc')
            await reader.read()

        bed.backend.script = stall
        answer = await bed.ask(GET + LAST)
        assert not answer.endswith(b'0\r\n\r\n')
        await bed.wait(lambda: not bed.backend.open_count)
