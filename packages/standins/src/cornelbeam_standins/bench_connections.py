"""Measures what an open connection and a control message cost a daemon."""

import asyncio
import time
from collections.abc import Iterator
from contextlib import ExitStack
from typing import Final

from cornelbeam_wire import Identity, PeerPool, Stream
from cornelbeam_wire.gen import messages

from cornelbeam_standins.bench_fleet import BenchFleet
from cornelbeam_standins.process_figures import read_cpu_s, read_rss_kb

_SERVICE: Final = 'measuring'
_US_PER_S: Final = 1_000_000


class _Reply:
    """Receives the one frame that answers a message."""

    __slots__ = ('frame',)

    def __init__(self) -> None:
        self.frame: asyncio.Future[messages.Frame] = (
            asyncio.get_running_loop().create_future()
        )

    def on_frame(self, frame: messages.Frame) -> None:
        if not self.frame.done():
            self.frame.set_result(frame)

    def on_lost(self) -> None:
        if not self.frame.done():
            self.frame.set_exception(ConnectionError('connection lost'))


async def measure_connections(
    fleet: BenchFleet,
    connection_count: int,
    ping_count: int,
) -> tuple[float, float, float]:
    """Give KB per connection, us to accept one and us per ping and ack.

    All are those of the first daemon of the fleet.
    """
    node = fleet.nodes[0]
    before_kb, before_s = read_rss_kb(node.pid), read_cpu_s(node.pid)
    with ExitStack() as stack:
        pools: list[PeerPool] = []
        for pool in _make_pools(fleet.secret, connection_count):
            stack.callback(pool.close)
            pools.append(pool)
            await pool.connection(node.addresses['peer'])
        opened_s = read_cpu_s(node.pid) - before_s
        size_kb = (read_rss_kb(node.pid) - before_kb) / connection_count
        before_s = read_cpu_s(node.pid)
        for index in range(ping_count):
            await _ping(pools[index % len(pools)], node.addresses['peer'])
        pinged_s = read_cpu_s(node.pid) - before_s
    return (
        size_kb,
        _US_PER_S * opened_s / connection_count,
        _US_PER_S * pinged_s / ping_count,
    )


def _make_pools(secret: bytes, count: int) -> Iterator[PeerPool]:
    started_ns = time.time_ns()
    for index in range(count):
        identity = Identity(
            f'caller-{index}',
            _SERVICE,
            'domain-0',
            started_ns,
            f'127.0.0.1:{index + 1}',
            secret,
        )
        yield PeerPool(identity, _ignore)


async def _ping(pool: PeerPool, address: str) -> None:
    connection = await pool.connection(address)
    reply = _Reply()
    stream = connection.open_stream(reply)
    stream.send(
        ping=messages.Ping(updates=[], revision=0, service_name=_SERVICE),
    )
    await reply.frame
    stream.close()


def _ignore(stream: Stream, frame: messages.Frame) -> None:
    """Take no streams of the daemon."""
