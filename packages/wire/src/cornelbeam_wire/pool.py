"""Pool of connections to other daemons, one in use per address."""

import asyncio
from typing import Final, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode

from cornelbeam_wire.backlog import OnBacklog
from cornelbeam_wire.connection import Acceptor, PeerConnection
from cornelbeam_wire.identity import Identity
from cornelbeam_wire.revisions import RevisionExchange

CONNECT_TIMEOUT_S: Final = 1.0
# The last two are those of a port that is no number or out of range.
_CONNECT_ERRORS: Final = (OSError, CornelbeamError, ValueError, OverflowError)


@final
class PeerPool:
    """Opens and keeps the connections that this daemon uses as a caller.

    A silent connection is replaced: the old one stays open for answers that
    may still arrive, and new streams use the new one.
    """

    __slots__ = (
        '_acceptor',
        '_connecting',
        '_connections',
        '_identity',
        '_on_backlog',
        '_replaced',
        '_revisions',
    )

    def __init__(
        self,
        identity: Identity,
        acceptor: Acceptor,
        revisions: RevisionExchange | None = None,
        on_backlog: OnBacklog | None = None,
    ) -> None:
        """Start without connections; ``acceptor`` gets streams of peers.

        All connections exchange store positions by ``revisions`` and tell
        ``on_backlog`` of the bytes that wait for a slow peer.
        """
        self._on_backlog = on_backlog
        self._revisions = revisions
        self._identity = identity
        self._acceptor = acceptor
        self._connections: dict[str, PeerConnection] = {}
        self._connecting: dict[str, asyncio.Task[PeerConnection]] = {}
        # Silent connections with streams that wait for an answer.
        self._replaced: set[PeerConnection] = set()

    def ready_connection(self, address: str) -> PeerConnection | None:
        """Return the connection in use, or ``None`` if one must be opened."""
        connection = self._connections.get(address)
        if connection is None or connection.is_closed or connection.is_silent:
            return None
        return connection

    async def connection(self, address: str) -> PeerConnection:
        """Return the connection in use, opening one when there is none.

        Raise ``peer_unreachable`` when none can be opened within
        ``CONNECT_TIMEOUT_S``.
        """
        connection = self.ready_connection(address)
        if connection is not None:
            return connection
        task = self._connecting.get(address)
        if task is None:
            task = asyncio.ensure_future(self._open(address))
            self._connecting[address] = task
            task.add_done_callback(
                lambda done: self._on_open_done(address, done)
            )
        return await asyncio.shield(task)

    def connections(self) -> list[PeerConnection]:
        """Return the connections in use and those that were replaced."""
        return [*self._connections.values(), *self._replaced]

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections():
            connection.close()

    async def _open(self, address: str) -> PeerConnection:
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        connection = PeerConnection(
            self._identity,
            self._acceptor,
            self._remove,
            is_opener=True,
            revisions=self._revisions,
            on_backlog=self._on_backlog,
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: connection,
                    host,
                    int(port),
                )
                await asyncio.shield(connection.ready)
        except _CONNECT_ERRORS as error:
            connection.close()
            raise CornelbeamError(
                ErrorCode.PEER_UNREACHABLE,
                'connect',
                address,
                str(error),
            ) from error
        replaced = self._connections.get(address)
        self._connections[address] = connection
        if replaced is not None:
            self._replaced.add(replaced)
            replaced.retire()
        return connection

    def _on_open_done(
        self,
        address: str,
        task: asyncio.Task[PeerConnection],
    ) -> None:
        self._connecting.pop(address, None)
        if not task.cancelled():
            # Marks the exception as retrieved, as no caller may wait any more.
            task.exception()

    def _remove(self, connection: PeerConnection) -> None:
        self._replaced.discard(connection)
        for address, pooled in tuple(self._connections.items()):
            if pooled is connection:
                self._connections.pop(address)
