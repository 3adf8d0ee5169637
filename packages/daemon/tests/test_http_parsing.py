"""Property tests of HTTP parsing with arbitrary and split input."""

# The tests concatenate raw HTTP messages.
# flake8: noqa: WPS336

import asyncio
from collections.abc import Iterable

from cornelbeam_daemon.http_server import HttpServerConnection
from hypothesis import example, given, settings
from hypothesis import strategies as st

HEAD_LIMIT_BYTES = 400
BODY_LIMIT_BYTES = 200
HOST = b'host: windows\r\n'
PATHS = st.text('abc/', max_size=5).map(lambda path: b'/' + path.encode())
FIELDS = st.lists(
    st.tuples(st.sampled_from([b'x', b'accept']), st.text('ab', max_size=9)),
    max_size=3,
).map(lambda pairs: b''.join(b'%b: %b\r\n' % (n, v.encode()) for n, v in pairs))
BODIES = st.binary(max_size=40)
REQUESTS = st.one_of(
    st.builds(
        lambda path, more: (
            b'GET %b HTTP/1.1\r\n' % path + HOST + more + b'\r\n'
        ),
        PATHS,
        FIELDS,
    ),
    st.builds(
        lambda path, more, body: (
            b'PUT %b HTTP/1.1\r\n' % path
            + HOST
            + more
            + b'content-length: %d\r\n\r\n' % len(body)
            + body
        ),
        PATHS,
        FIELDS,
        BODIES,
    ),
    st.builds(
        lambda path, parts: (
            b'PUT %b HTTP/1.1\r\n' % path
            + HOST
            + b'transfer-encoding: chunked\r\n\r\n'
            + b''.join(b'%x\r\n%b\r\n' % (len(p), p) for p in parts)
            + b'0\r\nx-last: 1\r\n\r\n'
        ),
        PATHS,
        st.lists(st.binary(min_size=1, max_size=20), max_size=3),
    ),
)


class RecordingTransport(asyncio.Transport):
    """Transport that records what is written."""

    def __init__(self) -> None:
        """Create an open transport."""
        super().__init__()
        self.written = b''
        self.is_open = True

    def write(self, data) -> None:
        """Record bytes."""
        self.written += data

    def can_write_eof(self) -> bool:
        """Return that half-close is supported, as for TCP."""
        return True

    def write_eof(self) -> None:
        """Do nothing."""

    def pause_reading(self) -> None:
        """Do nothing; the test feeds the input."""

    def resume_reading(self) -> None:
        """Do nothing; the test feeds the input."""

    def is_closing(self) -> bool:
        """Return whether the transport was closed."""
        return not self.is_open

    def close(self) -> None:
        """Close."""
        self.is_open = False

    def abort(self) -> None:
        """Close."""
        self.is_open = False


async def serve(pieces: Iterable[bytes]) -> tuple[list[object], bytes]:
    """Feed pieces; return the handled requests and the output."""
    handled = []

    async def handle(request, responder) -> None:
        content = b''
        part = await request.body.read()
        while part:
            content += part
            part = await request.body.read()
        handled.append((request.method, request.target, content))
        handled.append(tuple(request.headers))
        responder.send_whole(200, [], content)

    transport = RecordingTransport()
    server = HttpServerConnection(
        handle,
        HEAD_LIMIT_BYTES,
        BODY_LIMIT_BYTES,
        set(),
    )
    server.connection_made(transport)
    for piece in pieces:
        if transport.is_open:
            server.data_received(piece)
        for _ in range(8):
            await asyncio.sleep(0)
    server.connection_lost(None)
    return handled, transport.written


def cut(stream: bytes, sizes: list[int]) -> list[bytes]:
    """Split a stream into pieces of the given sizes and the rest."""
    pieces = []
    for size in sizes:
        pieces.append(stream[:size])
        stream = stream[size:]
    return [piece for piece in (*pieces, stream) if piece]


class TestCuts:
    """Guards against parsing that depends on how the input is split."""

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.lists(REQUESTS, min_size=1, max_size=4),
        st.lists(st.integers(1, 60), max_size=30),
    )
    def test_any_cut(self, requests, sizes) -> None:
        """The same requests are handled in the same order for any split."""
        stream = b''.join(requests)
        whole = asyncio.run(serve([*requests, b'']))
        assert len(whole[0]) == 2 * len(requests)
        assert asyncio.run(serve([*cut(stream, sizes), b'', b''])) == whole


class TestArbitrary:
    """Guards against input that raises an exception or exceeds a limit."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(REQUESTS, st.integers(0, 200), st.binary(max_size=4))
    @example(b'GET / HTTP/1.1\r\n' + HOST + b'x: ' + b'a' * 900, 0, b'')
    def test_damaged(self, request, position: int, damage: bytes) -> None:
        """A damaged request is handled or refused, but at most once."""
        position %= len(request)
        damaged = request[:position] + damage + request[position + 1 :]
        handled, written = asyncio.run(serve([damaged, b'']))
        assert written.count(b'cornelbeam-code') <= 1
        assert len(handled) <= 2 * written.count(b'HTTP/1.1 200')

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(st.binary(max_size=300), max_size=6))
    def test_any_bytes(self, pieces) -> None:
        """Arbitrary bytes are never handled as a request."""
        handled, written = asyncio.run(serve(pieces))
        assert not handled
        assert written.count(b'cornelbeam-code') <= 1
