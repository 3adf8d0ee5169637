"""Pipelined requests of callers at a sidecar."""

import asyncio
import contextlib

import pytest
from fake_target import read_message
from mesh_harness import WAIT_LIMIT_S, head, wait_until

pytestmark = pytest.mark.anyio


# Time for which a booking is held before the read behind it.
HELD_S = 0.2
MS_PER_S = 1000


def book(attempt) -> bytes:
    """Render a booking with its body."""
    return b''.join(
        (head('/book/1', 'POST', b'x', x_attempt=attempt), b'x'),
    )


class HeldTarget:
    """Keeps requests until they are answered by hand, in any order."""

    def __init__(self, node) -> None:
        """Replace the script of the target of a node."""
        self.target = node.target
        self.held: dict[bytes, asyncio.StreamWriter] = {}
        node.target.script = self._hold

    async def _hold(self, writer, attempt) -> None:
        self.held[attempt] = writer

    def answer(self, attempt) -> None:
        """Answer a request that is held."""
        body = b'of %b' % attempt
        self.held[attempt].write(self.target.whole(attempt, body=body))


@contextlib.asynccontextmanager
async def connection(node):
    """Yield the streams of a caller's connection."""
    reader, writer = await asyncio.open_connection(
        *node.addresses['callers'].split(':')
    )
    try:
        async with asyncio.timeout(WAIT_LIMIT_S):
            yield reader, writer
    finally:
        writer.close()


class TestPipelinedReads:
    """Guards against reads that wait for the reads sent before them."""

    async def test_they_run_at_the_same_time(self, harness):
        node = await harness.add_node()
        held = HeldTarget(node)
        async with connection(node) as (reader, writer):
            for attempt in ('a1', 'a2', 'a3'):
                writer.write(head('/read/1', x_attempt=attempt))
            await wait_until(lambda: len(held.held) == 3)
            for attempt in (b'a3', b'a1', b'a2'):
                held.answer(attempt)
            bodies = [(await read_message(reader))[2] for _ in range(3)]
        assert bodies == [b'of a1', b'of a2', b'of a3']

    async def test_booking_waits_for_the_read_before_it(self, harness):
        node = await harness.add_node()
        held = HeldTarget(node)
        async with connection(node) as (reader, writer):
            writer.write(head('/read/1', x_attempt='a1'))
            writer.write(book('a2'))
            await wait_until(lambda: held.held)
            assert set(held.held) == {b'a1'}
            held.answer(b'a1')
            assert (await read_message(reader))[2] == b'of a1'
            await wait_until(lambda: b'a2' in held.held)
            held.answer(b'a2')
            assert (await read_message(reader))[2] == b'of a2'

    async def test_time_left_counts_from_the_arrival(self, harness):
        """A read behind a booking gets no more time than its caller has."""
        node = await harness.add_node()
        held = HeldTarget(node)
        loop = asyncio.get_running_loop()
        async with connection(node) as (_, writer):
            sent_s = loop.time()
            writer.write(book('a1'))
            writer.write(head('/read/1', x_attempt='a2', x_remaining='3000'))
            await wait_until(lambda: held.held)
            started_s = loop.time()
            await wait_until(lambda: loop.time() - started_s >= HELD_S)
            held.answer(b'a1')
            await wait_until(lambda: b'a2' in held.held)
            spent_ms = (loop.time() - sent_s) * MS_PER_S
            left_ms = int(node.target.requests[-1][1][b'x-remaining'])
        assert left_ms <= 3000 - HELD_S * MS_PER_S
        assert left_ms >= 3000 - spent_ms - 1
