"""Measures the cost of connections and control messages to a daemon."""

import asyncio
import time
from collections.abc import Iterator
from contextlib import ExitStack
from typing import Final

from cornelbeam_wire import Identity, PeerPool, Stream
from cornelbeam_wire.gen import messages

from cornelbeam_standins.bench_fleet import BenchFleet
from cornelbeam_standins.process_stats import read_cpu_s, read_rss_kb

_SERVICE: Final = 'measuring'
_US_PER_S: Final = 1_000_000


class _Reply:
    """Stream handler that receives a single reply frame."""

    __slots__ = ('frame',)

    def __init__(self) -> None:
        self.frame: asyncio.Future[messages.Frame] = (
            asyncio.get_running_loop().create_future()
        )

    def on_frame(self, frame: messages.Frame) -> None:
        if not self.frame.done():
            self.frame.set_result(frame)

    def on_silent(self) -> None:
        """Do nothing: the peer of this measurement is never silent."""

    def on_lost(self) -> None:
        if not self.frame.done():
            self.frame.set_exception(ConnectionError('connection lost'))


async def measure_connections(
    fleet: BenchFleet,
    connection_count: int,
    ping_count: int,
) -> tuple[float, float, float]:
    """Return the costs of connections and pings to the first daemon.

    These are the memory in KB per connection, the CPU time in us to accept a
    connection, and the CPU time in us for a ping and its ack.
    """
    node = fleet.nodes[0]
    rss_before_kb, cpu_before_s = read_rss_kb(node.pid), read_cpu_s(node.pid)
    with ExitStack() as stack:
        pools: list[PeerPool] = []
        for pool in _make_pools(fleet.secret, connection_count):
            stack.callback(pool.close)
            pools.append(pool)
            await pool.connection(node.addresses['peer'])
        accept_cpu_s = read_cpu_s(node.pid) - cpu_before_s
        size_kb = (read_rss_kb(node.pid) - rss_before_kb) / connection_count
        cpu_before_s = read_cpu_s(node.pid)
        for index in range(ping_count):
            await _ping(pools[index % len(pools)], node.addresses['peer'])
        ping_cpu_s = read_cpu_s(node.pid) - cpu_before_s
    return (
        size_kb,
        _US_PER_S * accept_cpu_s / connection_count,
        _US_PER_S * ping_cpu_s / ping_count,
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
    """Ignore streams that the daemon opens."""
