"""Loopback TCP relay that simulates the network between two daemons.

It can hold the data of existing connections while new connections work, as
when a middlebox loses its connection state, and deliver the data much later.
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
    """Direction of data; the target is the daemon that accepts."""

    TO_TARGET = enum.auto()
    TO_CLIENT = enum.auto()


@final
class _Connection:
    """One relayed connection; data waits while its flow event is unset."""

    __slots__ = ('client', 'flow_events', 'target')

    def __init__(self, client: SocketStream, target: SocketStream) -> None:
        self.client = client
        self.target = target
        self.flow_events = {direction: anyio.Event() for direction in Direction}
        for event in self.flow_events.values():
            event.set()


@final
class TcpLink:
    """Relays connections from one loopback port to another address.

    Use it as an asynchronous context manager. ``connection_count`` is the
    number of connections relayed so far, including closed ones.
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
        """Set the port to listen on and the target address as ip:port.

        Listening starts when the context is entered. Port 0 picks a free port,
        which the attribute ``port`` then holds.
        """
        self.connection_count = 0
        # Delay of each chunk of data, in both directions.
        self.delay_ms = 0
        self.port = port
        self._target = target_address
        self._connections: set[_Connection] = set()
        self._group: TaskGroup | None = None
        self._listener: Listener[SocketStream] | None = None

    async def __aenter__(self) -> Self:
        """Start listening."""
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

    def hold(self, *directions: Direction) -> int:
        """Hold the data of existing connections, by default both ways.

        New connections are not affected. Return the number of connections
        held.
        """
        for connection in self._connections:
            for direction in directions or tuple(Direction):
                connection.flow_events[direction] = anyio.Event()
        return len(self._connections)

    def release(self) -> None:
        """Deliver the held data and let data flow again."""
        for connection in self._connections:
            for event in connection.flow_events.values():
                event.set()

    async def close_connections(self) -> None:
        """Close the existing connections."""
        for connection in tuple(self._connections):
            await connection.client.aclose()
            await connection.target.aclose()

    async def _relay(self, client: SocketStream) -> None:
        host, _, port = self._target.rpartition(':')
        try:
            target = await anyio.connect_tcp(host, int(port))
        except OSError:
            await client.aclose()
            return
        self.connection_count += 1
        connection = _Connection(client, target)
        self._connections.add(connection)
        try:
            async with client, target, anyio.create_task_group() as group:
                group.start_soon(self._pump, connection, Direction.TO_TARGET)
                await self._pump(connection, Direction.TO_CLIENT)
                group.cancel_scope.cancel()
        finally:
            self._connections.discard(connection)

    async def _pump(
        self,
        connection: _Connection,
        direction: Direction,
    ) -> None:
        source, sink = connection.target, connection.client
        if direction is Direction.TO_TARGET:
            source, sink = sink, source
        try:
            while True:
                data = await source.receive(_READ_BYTES)
                await anyio.sleep(self.delay_ms / _MS_PER_S)
                await connection.flow_events[direction].wait()
                await sink.send(data)
        except (
            anyio.EndOfStream,
            anyio.ClosedResourceError,
            anyio.BrokenResourceError,
        ):
            # A held connection also holds its end of stream.
            await connection.flow_events[direction].wait()
            await sink.aclose()
