"""Tests of malformed and unusual requests of callers."""

# The tests concatenate raw HTTP messages.
# flake8: noqa: WPS336

import asyncio

import pytest
from cornelbeam_daemon import caller_side, http_server

pytestmark = pytest.mark.anyio
HEAD = b'POST /a HTTP/1.1\r\nhost: windows.mesh\r\n'
GET = b'GET /a HTTP/1.1\r\nhost: windows.mesh\r\n'
LAST = b'connection: close\r\n\r\n'


def assert_refused(answer: bytes, status: int, code: str, step: str) -> None:
    """Check that the only answer is a refusal with these details."""
    assert answer.count(b'HTTP/1.1 ') == 1, answer
    assert answer.startswith(b'HTTP/1.1 %d ' % status), answer
    assert b'\r\ncornelbeam-code: %b\r\n' % code.encode() in answer, answer
    assert b'\r\ncornelbeam-ran: no\r\n' in answer, answer
    assert b'\r\ncornelbeam-step: %b\r\n' % step.encode() in answer, answer


class TestMalformed:
    """Guards against accepting requests that parsers read differently."""

    @pytest.mark.parametrize(
        'raw',
        [
            b'nonsense\r\n\r\n',
            HEAD + b'content-length: 3\r\ncontent-length: 3\r\n\r\nabc',
            HEAD + b'content-length: 3\r\ncontent-length: 4\r\n\r\nabc',
            HEAD + b'content-length: 3, 3\r\n\r\nabc',
            HEAD + b'content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n',
            HEAD + b'transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
            HEAD + b'transfer-encoding: gzip\r\n\r\n',
            HEAD + b'x: a\r\n b\r\n\r\n',
            HEAD + b'x: a\ny: b\r\n\r\n',
            HEAD + b'x : a\r\n\r\n',
            HEAD + b'host: bookings.mesh\r\n\r\n',
            HEAD + b'host: windows.mesh\r\n\r\n',
            b'GET /a HTTP/1.1\r\n\r\n',
            b'GET http://windows.mesh/a HTTP/1.1\r\nhost: windows\r\n\r\n',
            b'CONNECT windows.mesh:80 HTTP/1.1\r\nhost: windows\r\n\r\nabc',
            b'GET *a HTTP/1.1\r\nhost: windows\r\n\r\n',
            GET + b'cornelbeam-deadline-ms: soon\r\n\r\n',
            GET + b'cornelbeam-deadline-ms: -5\r\n\r\n',
            GET + b'cornelbeam-hops: many\r\n\r\n',
        ],
    )
    async def test_refused(self, bed, raw: bytes) -> None:
        """The request is refused without running, and the connection closes."""
        if raw.endswith(b'\r\n\r\n'):
            raw = raw.replace(b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n', 1)
        answer = await bed.ask(raw)
        assert_refused(answer, 400, 'malformed_request', 'request head')
        assert not bed.backend.requests

    async def test_trailer_is_no_header(self, bed) -> None:
        """Trailer fields do not reach the backend server."""
        await bed.ask(
            HEAD + b'transfer-encoding: chunked\r\n' + LAST + b'1\r\na\r\n0\r\n'
            b'x-role: clerk\r\ncornelbeam-hops: 99\r\n\r\n',
        )
        head, content = bed.backend.requests[0]
        assert b'x-role' not in head
        assert content == b'a'

    async def test_malformed_chunk(self, bed) -> None:
        """A body with a malformed chunk is not sent to the backend server."""
        answer = await bed.ask(
            HEAD + b'transfer-encoding: chunked\r\n\r\n1\r\na\r\nzz\r\n',
        )
        assert_refused(answer, 400, 'malformed_request', 'request head')
        assert not bed.backend.requests


class TestRouting:
    """Guards against running a request that routing must refuse."""

    @pytest.mark.parametrize(
        ('field', 'status', 'code', 'step'),
        [
            (b'cornelbeam-deadline-ms: 0', 504, 'deadline_passed', 'routing'),
            (b'cornelbeam-hops: 13', 508, 'too_many_hops', 'routing'),
        ],
    )
    async def test_refused(self, bed, field, status, code, step) -> None:
        """Requests without time left or with too many hops are refused."""
        answer = await bed.ask(GET + field + b'\r\n' + LAST)
        assert_refused(answer, status, code, step)
        assert not bed.backend.requests

    async def test_unknown_service(self, bed) -> None:
        """A service without targets is reported as unknown."""
        answer = await bed.ask(b'GET / HTTP/1.1\r\nhost: sand\r\n' + LAST)
        assert_refused(answer, 404, 'unknown_service', 'routing')

    async def test_upgrade_is_ignored(self, bed) -> None:
        """The request runs once and gets one answer (RFC 9110, 7.8)."""
        answer = await bed.ask(
            GET + b'connection: upgrade\r\nupgrade: h2c\r\n\r\n',
        )
        assert answer.count(b'HTTP/1.1 ') == 1
        assert answer.endswith(b'\r\n\r\nok')
        assert b'upgrade' not in bed.backend.requests[0][0]

    async def test_forged_fields(self, bed) -> None:
        """Control and hop-by-hop fields do not reach the backend server."""
        await bed.ask(
            GET + b'cornelbeam-ran: no\r\nconnection: x-a\r\nx-a: 1\r\n'
            b'connection: x-b, host, close\r\nx-b: 2\r\nte: gzip\r\n\r\n',
        )
        head = bed.backend.requests[0][0]
        assert b'\r\nhost: windows.mesh\r\n' in head
        for field in (b'cornelbeam-ran', b'x-a', b'x-b', b'te:', b'connection'):
            assert field not in head


class TestSizes:
    """Guards against unbounded heads and bodies."""

    @pytest.mark.parametrize('piece_bytes', [100_000, 64, 1])
    async def test_endless_header(self, bed, piece_bytes: int) -> None:
        """An endless header line is refused at the limit."""
        raw = GET + b'x: ' + b'a' * 6000
        pieces = [
            raw[start : start + piece_bytes]
            for start in range(0, len(raw), piece_bytes)
        ]
        answer = await bed.ask(*pieces)
        assert_refused(answer, 431, 'head_too_large', 'request head')

    async def test_many_short_fields(self, bed) -> None:
        """The separators of each header line count towards the limit."""
        answer = await bed.ask(GET + b'a:\r\n' * 1200 + b'\r\n')
        assert_refused(answer, 431, 'head_too_large', 'request head')

    @pytest.mark.parametrize('piece_bytes', [100_000, 7])
    async def test_head_within_limit(self, bed, piece_bytes: int) -> None:
        """A head within the limit is accepted even if it arrives in pieces."""
        raw = GET + b'x: ' + b'a' * 3000 + b'\r\n' + LAST
        pieces = [
            raw[start : start + piece_bytes]
            for start in range(0, len(raw), piece_bytes)
        ]
        answer = await bed.ask(*pieces)
        assert answer.startswith(b'HTTP/1.1 200 ')

    async def test_endless_trailer(self, bed) -> None:
        """Trailer fields are limited like a head."""
        answer = await bed.ask(
            HEAD + b'transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\nx: ',
            *(b'a' * 1000 for _ in range(8)),
        )
        assert_refused(answer, 431, 'head_too_large', 'request head')

    async def test_announced_body(self, bed) -> None:
        """A caller that sends the whole oversized body can read the refusal."""
        answer = await bed.ask(
            HEAD + b'content-length: 2000000\r\n\r\n' + b'a' * 2_000_000,
        )
        assert_refused(answer, 413, 'body_too_large', 'request head')

    async def test_chunked_body(self, bed) -> None:
        """A chunked body ends at the limit.

        413 promises that the request has not run, so it is only sent if no
        part was passed on: on a slow machine the limit may be reached before.
        """
        chunk = b'8000\r\n' + b'a' * 0x8000 + b'\r\n'
        answer = await bed.ask(
            HEAD + b'transfer-encoding: chunked\r\n\r\n',
            *(chunk for _ in range(20)),
        )
        ran = {b'502': b'unknown', b'413': b'no'}[answer[9:12]]
        assert b'cornelbeam-code: body_too_large' in answer
        assert b'cornelbeam-ran: %b' % ran in answer
        await bed.wait_idle()
        assert not bed.backend.requests


class TestTimes:
    """Guards against connections that occupy the daemon forever."""

    async def test_head_never_ends(self, bed, monkeypatch) -> None:
        """A head that is incomplete at the timeout is refused."""
        monkeypatch.setattr(http_server, 'HEAD_TIMEOUT_S', 0.05)
        answer = await bed.ask(GET)
        assert_refused(answer, 504, 'deadline_passed', 'request head')

    async def test_body_never_ends(self, bed) -> None:
        """A body that is incomplete at the deadline is refused."""
        answer = await bed.ask(
            HEAD + b'cornelbeam-deadline-ms: 50\r\ncontent-length: 9\r\n\r\nab',
        )
        assert_refused(answer, 504, 'deadline_passed', 'request body')

    async def test_idle_connection(self, bed, monkeypatch) -> None:
        """A connection without requests is closed without an answer."""
        monkeypatch.setattr(http_server, 'IDLE_TIMEOUT_S', 0.05)
        assert not await bed.ask()
        answer = await bed.ask(GET + b'\r\n')
        assert answer.count(b'HTTP/1.1 ') == 1
        assert not bed.callers

    async def test_caller_never_reads(self, bed, monkeypatch) -> None:
        """An answer that the caller never reads is aborted and frees the slot."""
        monkeypatch.setattr(http_server, 'WRITE_TIMEOUT_S', 0.2)
        size = 30_000_000
        bed.backend.answer = (
            b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % size
        ) + b'a' * size
        _, writer = await bed.open()
        writer.write(GET + b'\r\n')
        await bed.wait(lambda: bool(bed.backend.requests))
        await bed.wait(lambda: not bed.callers)


class TestOrder:
    """Guards against answers that are delivered to the wrong request."""

    async def test_pipelined(self, bed) -> None:
        """Pipelined requests are answered in order."""

        async def echo(reader, writer) -> None:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                path = head.split()[1]
                writer.write(
                    b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n' + path,
                )
                await asyncio.sleep(0.005)
                writer.write(path)

        bed.backend.script = echo
        raw = b''.join(
            GET.replace(b'/a', b'/%d' % number) + b'\r\n' for number in range(5)
        )
        answer = await bed.ask(raw + GET + LAST)
        positions = [answer.find(b'/%d/%d' % (n, n)) for n in range(5)]
        assert -1 not in positions
        assert positions == sorted(positions)
        assert answer.count(b'HTTP/1.1 ') == 6

    async def test_interim_answer_waits(self, bed) -> None:
        """100 Continue is not sent in the middle of another answer."""

        async def slow(reader, writer) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nab')
            await asyncio.sleep(0.02)
            writer.write(b'cd')
            await bed.backend.answer_all(reader, writer)

        bed.backend.script = slow
        reader, writer = await bed.open()
        writer.write(
            GET + b'\r\n' + HEAD + b'expect: 100-continue\r\n'
            b'content-length: 1\r\n' + LAST,
        )
        answer = await reader.readuntil(b'HTTP/1.1 100 Continue\r\n\r\n')
        assert b'\r\n\r\nabcd' in answer
        writer.write(b'a')
        assert (await reader.read()).endswith(b'ok')

    async def test_handler_fails(self, bed, monkeypatch) -> None:
        """After an internal error, no later answer is sent in its place."""

        async def fail(pending):
            raise ValueError('fault')

        monkeypatch.setattr(type(bed.caller_side), '_serve', fail)
        monkeypatch.setattr(caller_side, 'read_head', lambda *_: None)
        assert not await bed.ask(GET + b'\r\n' + GET + LAST)

    async def test_planned_stop(self, bed) -> None:
        """A busy connection closes only after its answer."""
        reader, writer = await bed.open()
        bed.backend.script = bed.backend.hang
        writer.write(GET + b'cornelbeam-deadline-ms: 100\r\n\r\n')
        await bed.wait(lambda: bool(bed.backend.requests))
        for connection in tuple(bed.callers):
            connection.close_when_idle()
        assert b'HTTP/1.1 504 ' in await reader.read()
        await bed.wait(lambda: not bed.callers)


class TestDisconnect:
    """Guards against abandoned work and leaked slots."""

    @pytest.mark.parametrize('method', [b'GET', b'POST'])
    async def test_cancelled(self, bed, method: bytes) -> None:
        """The connection to the backend server closes and the slot is freed."""
        bed.backend.script = bed.backend.hang
        _, writer = await bed.open()
        writer.write(GET.replace(b'GET', method) + b'\r\n')
        await bed.wait(lambda: bool(bed.backend.requests))
        writer.transport.abort()
        await bed.wait(lambda: not bed.backend.open_count)
        await bed.wait_idle()

    async def test_within_body(self, bed) -> None:
        """A partial body is not sent to the backend server as a complete one."""
        _, writer = await bed.open()
        writer.write(HEAD + b'content-length: 9\r\n\r\nabc')
        await bed.wait(lambda: bed.caller_side.in_flight == 1)
        writer.transport.abort()
        await bed.wait_idle()
        assert not bed.backend.requests

    async def test_slow_sender(self, bed) -> None:
        """A body that is sent in small pieces arrives completely."""
        raw = HEAD + b'content-length: 300\r\n' + LAST + b'a' * 300
        await bed.ask(*(raw[at : at + 1] for at in range(len(raw))))
        assert bed.backend.requests[0][1] == b'a' * 300

    async def test_answers_not_read(self, bed) -> None:
        """Pipelined requests wait while the caller does not read answers."""
        size = 60_000
        bed.backend.answer = (
            b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % size
        ) + b'a' * size
        _, writer = await bed.open()
        sent_count = 0
        while sent_count < 2000 and not bed.backend.requests[400:]:
            writer.write(GET + b'\r\n')
            sent_count += 1
            await asyncio.sleep(0)
            if not sent_count % 100:
                await asyncio.sleep(0.01)
        buffered = [
            each._transport.get_write_buffer_size() for each in bed.callers
        ]
        assert max(buffered, default=0) < 1_000_000
        writer.transport.abort()
