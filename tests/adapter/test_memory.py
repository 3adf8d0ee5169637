"""Memory of the daemons under clients that keep to no limit.

Only the memory, the descriptors and an ordinary request afterwards are
checked: how much of the crowd's load is served and when is not.
"""

import asyncio
import contextlib
import itertools

import pytest
from memory_fleet import (
    DaemonPair,
    MeshPair,
    count_descriptors,
    read_peak_bytes,
)
from soak_messages import BROKEN, exchange

pytestmark = pytest.mark.anyio
CLIENT_COUNT = 16
# Each client sends this much, over several connections if they are closed.
CLIENT_BYTES = 16 * 1_048_576
CLIENT_CONNECTION_COUNT = 4
# A connection that takes nothing for this long is kept open until all clients
# have ended.
STALL_S = 2
# An idle daemon takes 44 MB, and the smallest machine has 200 MB. The limits in
# the tests are far below those of such a machine, so that a small crowd shows
# whether they hold: with them, 28 MiB are left for buffers and the allocator.
MEMORY_BOUND_BYTES = 72 * 1_048_576
# The smallest machine has 4,100.
DESCRIPTOR_BOUND = 256
# A daemon that does not answer within this time hangs.
HANG_S = 120
# The limit of bodies in the example of a configuration.
LARGE_BODY = bytes(64 * 1_048_576)
_PART = b'b' * 65_536
_REQUEST_IDS = itertools.count()


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the daemon does."""
    return 'asyncio'


def head(pair, method, path, *fields) -> bytes:
    """Return the head of a request with an id of its own."""
    request_id = f'x-attempt-id: m-{next(_REQUEST_IDS)}'
    lines = (f'{method} {path} HTTP/1.1', *pair.fields, request_id, *fields)
    return '\r\n'.join((*lines, '', '')).encode()


def endless_chunks(pair, method, path):
    """Yield a request whose body has no end."""
    yield head(pair, method, path, 'transfer-encoding: chunked')
    while True:
        yield b'%x\r\n%b\r\n' % (len(_PART), _PART)


def announced_body(pair, method, path):
    """Yield a request with a body of 100 GB."""
    yield head(pair, method, path, 'content-length: 100000000000')
    while True:
        yield _PART


def pipelined(pair, method, path, body_bytes):
    """Yield requests without end."""
    while True:
        yield head(pair, method, path, f'content-length: {body_bytes}')
        for start in range(0, body_bytes, len(_PART)):
            yield _PART[: body_bytes - start]


FORMS = {
    'chunks to an upload': lambda pair: endless_chunks(
        pair, 'POST', '/upload/1'
    ),
    'chunks to an idempotent route': lambda pair: endless_chunks(
        pair, pair.method, '/idempotent/1'
    ),
    'announced as 100 GB': lambda pair: announced_body(
        pair, 'POST', '/upload/1'
    ),
    'pipelined GETs with bodies': lambda pair: pipelined(
        pair, 'GET', '/idempotent/big', 1_000_000
    ),
    'pipelined uploads': lambda pair: pipelined(
        pair, 'POST', '/upload/big', 100_000
    ),
    'pipelined GETs': lambda pair: pipelined(pair, 'GET', '/idempotent/big', 0),
}


class Crowd:
    """Clients that send and don't read, each over one connection at a time."""

    def __init__(self, pair, make_parts) -> None:
        """Send what ``make_parts`` yields for each connection."""
        self._pair = pair
        self._make_parts = make_parts
        self._writers: list[asyncio.StreamWriter] = []

    async def run(self) -> None:
        """Send until all clients have ended or stalled."""
        await asyncio.gather(*(self._send() for _ in range(CLIENT_COUNT)))

    def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _send(self) -> None:
        left_bytes = CLIENT_BYTES
        for _ in range(CLIENT_CONNECTION_COUNT):
            with contextlib.suppress(*BROKEN):
                left_bytes = await self._send_once(left_bytes)
            if left_bytes <= 0:
                return

    async def _send_once(self, left_bytes) -> int:
        reader, writer = await asyncio.open_connection(
            *self._pair.address.split(':'), limit=1024
        )
        # Answers are not read.
        reader._transport.pause_reading()  # noqa: SLF001
        self._writers.append(writer)
        for part in self._make_parts(self._pair):
            writer.write(part)
            try:
                async with asyncio.timeout(STALL_S):
                    await writer.drain()
            except TimeoutError:
                return 0
            left_bytes -= len(part)
            if left_bytes <= 0:
                break
        return left_bytes


async def watch_descriptors(pids, most) -> None:
    """Note the highest number of descriptors until cancelled."""
    while True:
        for index, pid in enumerate(pids):
            most[index] = max(most[index], count_descriptors(pid))
        await asyncio.sleep(0.1)


async def ask_until_answered(pair) -> None:
    """Send an ordinary request until it is answered."""
    async with asyncio.timeout(HANG_S):
        while True:
            with contextlib.suppress(*BROKEN):
                status, content = await exchange(
                    pair.address,
                    'GET /idempotent/ordinary',
                    fields=(
                        *pair.fields,
                        f'x-attempt-id: o-{next(_REQUEST_IDS)}',
                    ),
                )
                if (status, content) == (200, b'ok'):
                    return
            await asyncio.sleep(0.1)


@pytest.mark.parametrize('make_pair', [MeshPair, DaemonPair])
class TestCrowd:
    """Guards against a few clients that make a daemon run out of memory."""

    @pytest.mark.parametrize('form', FORMS)
    async def test_daemons_stay_within_their_memory(
        self, make_pair, form, tmp_path
    ):
        pair = make_pair(tmp_path)
        crowd = Crowd(pair, FORMS[form])
        try:
            await pair.start()
            await ask_until_answered(pair)
            descriptors = [0 for _ in pair.pids]
            watch = asyncio.ensure_future(
                watch_descriptors(pair.pids, descriptors)
            )
            async with asyncio.timeout(HANG_S):
                await crowd.run()
            watch.cancel()
            crowd.close()
            await ask_until_answered(pair)
            peaks = [read_peak_bytes(pid) for pid in pair.pids]
        finally:
            crowd.close()
            await pair.stop()
        figures = [peak // 1_048_576 for peak in peaks], descriptors
        print(make_pair.__name__, form, *figures)  # noqa: T201, WPS421
        assert max(peaks) <= MEMORY_BOUND_BYTES
        assert max(descriptors) <= DESCRIPTOR_BOUND


@pytest.mark.parametrize('make_pair', [MeshPair, DaemonPair])
class TestLargeBody:
    """Guards against a budget that refuses a request within the limits."""

    @pytest.mark.parametrize('kind', ['upload', 'idempotent'])
    async def test_it_is_served_alone(self, make_pair, kind, tmp_path):
        pair = make_pair(tmp_path, len(LARGE_BODY))
        method = 'POST' if kind == 'upload' else pair.method
        try:
            await pair.start()
            await ask_until_answered(pair)
            async with asyncio.timeout(HANG_S):
                status, content = await exchange(
                    pair.address,
                    f'{method} /{kind}/1',
                    LARGE_BODY,
                    fields=(
                        *pair.fields,
                        f'x-attempt-id: l-{next(_REQUEST_IDS)}',
                    ),
                )
            peaks = [read_peak_bytes(pid) for pid in pair.pids]
        finally:
            await pair.stop()
        assert (status, content) == (200, b'ok')
        assert max(peaks) <= MEMORY_BOUND_BYTES
