"""A loopback TCP relay that stands for the network between two daemons.

It can hold the bytes of the connections that exist while new ones work, as
happens when a middlebox forgets connections, and deliver them much later.
"""

import enum
from types import TracebackType
from typing import Final, Self, final

import anyio
from anyio.abc import (
    Listener,
    SocketAttribute,
    SocketStream,
    TaskGroup,
)

_MS_PER_S: Final = 1000
_READ_BYTES: Final = 65_536


@final
class Direction(enum.Enum):
    """Which way bytes flow; the target is the daemon that accepts."""

    TO_TARGET = enum.auto()
    TO_CLIENT = enum.auto()


@final
class _Connection:
    """One relayed connection; a cleared way holds its bytes."""

    __slots__ = ('opener', 'open_ways', 'target')

    def __init__(self, opener: SocketStream, target: SocketStream) -> None:
        self.opener = opener
        self.target = target
        self.open_ways = {way: anyio.Event() for way in Direction}
        for event in self.open_ways.values():
            event.set()


@final
class TcpLink:
    """Relays connections from one loopback port to another address.

    Use it as an asynchronous context manager. ``connection_count`` counts
    all connections so far.
    """

    __slots__ = (
        '_connections',
        '_group',
        '_listener',
        '_target',
        'connection_count',
        'delay_ms',
        'port',
    )

    def __init__(self, port: int, target_address: str) -> None:
        """Listen at ``port`` once entered; ``target_address`` is ip:port.

        Port 0 takes any free one, which ``port`` gives then.
        """
        self.connection_count = 0
        # Added to each piece of data, in both directions.
        self.delay_ms = 0
        self.port = port
        self._target = target_address
        self._connections: set[_Connection] = set()
        self._group: TaskGroup | None = None
        self._listener: Listener[SocketStream] | None = None

    async def __aenter__(self) -> Self:
        """Start to listen."""
        self._listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1',
            local_port=self.port,
        )
        self.port = self._listener.extra(SocketAttribute.local_port)
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._listener.serve, self._relay)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        """Close the listener and all connections."""
        if self._group is None or self._listener is None:
            return None
        self._group.cancel_scope.cancel()
        try:
            return await self._group.__aexit__(exc_type, exc, traceback)
        finally:
            await self._listener.aclose()

    def hold(self, *ways: Direction) -> int:
        """Hold what the existing connections carry; both ways by default.

        New connections work. Gives the number of silenced connections.
        """
        for connection in self._connections:
            for way in ways or tuple(Direction):
                connection.open_ways[way] = anyio.Event()
        return len(self._connections)

    def release(self) -> None:
        """Deliver what was held and let it flow again."""
        for connection in self._connections:
            for event in connection.open_ways.values():
                event.set()

    async def cut(self) -> None:
        """Close the existing connections."""
        for connection in tuple(self._connections):
            await connection.opener.aclose()
            await connection.target.aclose()

    async def _relay(self, opener: SocketStream) -> None:
        host, _, port = self._target.rpartition(':')
        try:
            target = await anyio.connect_tcp(host, int(port))
        except OSError:
            await opener.aclose()
            return
        self.connection_count += 1
        connection = _Connection(opener, target)
        self._connections.add(connection)
        try:
            async with opener, target, anyio.create_task_group() as group:
                group.start_soon(self._pump, connection, Direction.TO_TARGET)
                await self._pump(connection, Direction.TO_CLIENT)
                group.cancel_scope.cancel()
        finally:
            self._connections.discard(connection)

    async def _pump(self, connection: _Connection, way: Direction) -> None:
        source, sink = connection.target, connection.opener
        if way is Direction.TO_TARGET:
            source, sink = sink, source
        try:
            while True:
                data = await source.receive(_READ_BYTES)
                await anyio.sleep(self.delay_ms / _MS_PER_S)
                await connection.open_ways[way].wait()
                await sink.send(data)
        except (
            anyio.EndOfStream,
            anyio.ClosedResourceError,
            anyio.BrokenResourceError,
        ):
            # The end of a silent connection is held like its bytes.
            await connection.open_ways[way].wait()
            await sink.aclose()
