"""Sockets that the daemon accepts connections at."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, final

from cornelbeam_daemon.http_message import HttpRequest, Responder
from cornelbeam_daemon.http_server import HttpServerConnection
from cornelbeam_daemon.listening import LISTEN_BACKLOG, bind_listener

from cornelbeam_mesh.settings import split_address

# Larger heads and bodies than any that operators allow; the configuration
# may change these limits while connections are open.
HEAD_LIMIT_BYTES: Final = 65_536
BODY_LIMIT_BYTES: Final = 268_435_456

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


@final
class Listeners:
    """Bound sockets, their servers and the HTTP connections on them."""

    __slots__ = ('_servers', '_sockets', 'internal_connections')

    def __init__(self, addresses: Iterable[str]) -> None:
        """Bind all addresses; raises ``OSError`` when one can't be."""
        self._sockets = {
            address: bind_listener(*split_address(address))
            for address in addresses
        }
        self._servers: list[asyncio.Server] = []
        # Connections other than those of callers.
        self.internal_connections: set[HttpServerConnection] = set()

    async def serve_http(
        self,
        address: str,
        handler: Handler,
        connections: set[HttpServerConnection] | None = None,
        on_open: Callable[[HttpServerConnection], None] | None = None,
    ) -> None:
        """Answer requests at an address by ``handler``.

        Connections are held in ``connections``; ``on_open`` is called for
        each of them before anything is read.
        """
        held = self.internal_connections if connections is None else connections
        await self.serve(
            address,
            lambda: HttpServerConnection(
                handler,
                HEAD_LIMIT_BYTES,
                BODY_LIMIT_BYTES,
                held,
                on_open,
            ),
        )

    async def serve(
        self,
        address: str,
        make_protocol: Callable[[], asyncio.Protocol],
    ) -> None:
        """Accept connections at an address."""
        server = await asyncio.get_running_loop().create_server(
            make_protocol,
            sock=self._sockets[address],
            backlog=LISTEN_BACKLOG,
        )
        self._servers.append(server)

    def close(self) -> None:
        """Accept nothing more, and end connections other than of callers."""
        for server in self._servers:
            server.close()
        for connection in tuple(self.internal_connections):
            connection.abort()
