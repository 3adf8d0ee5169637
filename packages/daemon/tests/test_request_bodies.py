"""Tests of request bodies that are read more than once."""

import random

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_daemon.bodies import (
    REPLAY_LIMIT_BYTES,
    BodyBuffer,
    RequestBody,
)

pytestmark = pytest.mark.anyio
LIMIT_BYTES = 100
MAX_PART_BYTES = 60
SEEDS = range(200)
TAKE_FIRST_PERCENT = 30
GET = b'GET /a HTTP/1.1\r\nhost: windows.mesh\r\nconnection: close\r\n\r\n'
PUT = b'PUT /a HTTP/1.1\r\nhost: windows.mesh\r\nconnection: close\r\n'
CHUNK_BYTES = 10_000
# The part that exceeds the limit is still kept.
LONG_PART = b'a' * (LIMIT_BYTES + 1)


def arriving(*parts: bytes, limit_bytes: int = LIMIT_BYTES):
    """Return the buffer of a caller's body with some parts, and the body."""
    buffer = BodyBuffer()
    for part in parts:
        buffer.feed(part)
    return buffer, RequestBody(buffer, limit_bytes)


async def read_to_end(reader) -> bytes:
    """Return what a reader yields until the end of the body."""
    content = b''
    part = await reader.read()
    while part:
        content += part
        part = await reader.read()
    return content


class TestReadAgain:
    """Guards against a second copy of a body that lacks a part."""

    async def test_short_body_is_read_twice(self):
        buffer, body = arriving(b'a' * LIMIT_BYTES)
        buffer.finish()
        assert await read_to_end(body.reader()) == b'a' * LIMIT_BYTES
        assert body.is_intact
        assert await read_to_end(body.reader()) == b'a' * LIMIT_BYTES

    async def test_start_is_read_again_while_nothing_was_dropped(self):
        buffer, body = arriving(LONG_PART)
        first = body.reader()
        assert await first.read() == LONG_PART
        assert body.is_intact
        buffer.feed(b'c')
        buffer.finish()
        assert await read_to_end(body.reader()) == b'%bc' % LONG_PART

    async def test_only_a_part_that_follows_is_announced_as_dropped(self):
        buffer, body = arriving(LONG_PART)
        first = body.reader()
        assert not first.is_next_dropped
        await first.read()
        assert first.is_next_dropped
        assert not body.reader().is_next_dropped
        buffer.finish()
        assert not first.is_next_dropped

    @pytest.mark.parametrize('is_finished', [True, False])
    async def test_dropped_part_is_an_error(self, is_finished):
        buffer, body = arriving(LONG_PART)
        first = body.reader()
        await first.read()
        buffer.feed(b'dropped')
        await first.read()
        buffer.feed(b'later')
        if is_finished:
            buffer.finish()
        assert not body.is_intact
        second = body.reader()
        assert await second.read() == LONG_PART
        with pytest.raises(CornelbeamError) as caught:
            await second.read()
        assert caught.value.code is ErrorCode.PROTOCOL_VIOLATION
        with pytest.raises(CornelbeamError):
            body.reader().take_first()
        assert await first.read() == b'later'

    @pytest.mark.parametrize('seed', SEEDS)
    async def test_readers_never_skip_a_part(self, seed):
        """Whatever the order of events, a reader yields a start of the body."""
        rng = random.Random(seed)
        whole = rng.randbytes(rng.randrange(1, 4 * LIMIT_BYTES))
        buffer, body = arriving()
        fed_bytes = 0
        while fed_bytes < len(whole):
            content, reader = b'', body.reader()
            for _ in range(rng.randrange(1, 6)):
                part = whole[
                    fed_bytes : fed_bytes + rng.randrange(1, MAX_PART_BYTES)
                ]
                buffer.feed(part)
                fed_bytes += len(part)
                if fed_bytes == len(whole):
                    buffer.finish()
                try:
                    content += await self._read_some(rng, reader)
                except CornelbeamError:
                    assert not body.is_intact
                    break
                assert whole.startswith(content)
        last = body.reader()
        if body.is_intact:
            assert await read_to_end(last) == whole
        else:
            with pytest.raises(CornelbeamError):
                await read_to_end(last)

    async def _read_some(self, rng, reader) -> bytes:
        if rng.randrange(100) < TAKE_FIRST_PERCENT:
            return reader.take_first()[0]
        return await reader.read()


def put(body: bytes, framing: str) -> list[bytes]:
    """Return the pieces of a request with a body in chunks or with a length."""
    chunks = [
        body[start : start + CHUNK_BYTES]
        for start in range(0, len(body), CHUNK_BYTES)
    ]
    if framing == 'length':
        return [PUT, b'content-length: %d\r\n\r\n' % len(body), *chunks]
    framed = [b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks]
    return [PUT, b'transfer-encoding: chunked\r\n\r\n', *framed, b'0\r\n\r\n']


class TestLostAnswer:
    """Guards against a second run with a hole after a lost answer."""

    @pytest.mark.parametrize('framing', ['chunks', 'length'])
    @pytest.mark.parametrize('size_bytes', [1000, 4 * REPLAY_LIMIT_BYTES])
    async def test_backend_server_gets_whole_bodies(
        self, bed, framing, size_bytes
    ):
        # A connection that has been used is taken for one that was closed.
        await bed.ask(GET)
        bed.backend.requests.clear()
        body = random.Random(size_bytes).randbytes(size_bytes)
        bed.backend.drop_count = 1
        answer = await bed.ask(*put(body, framing))
        is_kept = size_bytes <= REPLAY_LIMIT_BYTES
        assert answer.startswith(
            b'HTTP/1.1 200' if is_kept else b'HTTP/1.1 502'
        )
        bodies = [content for _, content in bed.backend.requests]
        assert set(bodies) == {body}
        assert len(bodies) == 1 + is_kept
