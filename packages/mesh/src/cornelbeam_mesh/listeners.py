"""Listening sockets of the daemon."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, final

from cornelbeam_daemon.http_message import HttpRequest, Responder
from cornelbeam_daemon.http_server import HttpServerConnection
from cornelbeam_daemon.listening import LISTEN_BACKLOG, bind_listener
from cornelbeam_daemon.memory_budget import MemoryBudget
from cornelbeam_daemon.pipelining import PipelineRules

from cornelbeam_mesh.settings import split_address

# Above any limit that operators configure: the configured limits may change
# while connections are open.
HEAD_LIMIT_BYTES: Final = 65_536
BODY_LIMIT_BYTES: Final = 268_435_456

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


@final
class Listeners:
    """Bound sockets with their servers and HTTP connections."""

    __slots__ = ('_budget', '_servers', '_sockets', 'internal_connections')

    def __init__(self, addresses: Iterable[str], budget: MemoryBudget) -> None:
        """Bind all addresses; raise ``OSError`` if one is unavailable.

        What HTTP connections buffer is counted in ``budget``.
        """
        self._budget = budget
        self._sockets = {
            address: bind_listener(*split_address(address))
            for address in addresses
        }
        self._servers: list[asyncio.Server] = []
        # HTTP connections other than those of callers.
        self.internal_connections: set[HttpServerConnection] = set()

    async def serve_http(
        self,
        address: str,
        handler: Handler,
        connections: set[HttpServerConnection] | None = None,
        on_open: Callable[[HttpServerConnection], None] | None = None,
        pipeline_rules: PipelineRules | None = None,
    ) -> None:
        """Serve HTTP requests at an address with ``handler``.

        Open connections are kept in ``connections``; ``on_open`` is called
        for each new one before anything is read from it.
        """
        tracked = (
            self.internal_connections if connections is None else connections
        )
        await self.serve(
            address,
            lambda: HttpServerConnection(
                handler,
                HEAD_LIMIT_BYTES,
                BODY_LIMIT_BYTES,
                tracked,
                on_open,
                pipeline_rules,
                self._budget,
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
        """Stop listening and abort all connections except those of callers."""
        for server in self._servers:
            server.close()
        for connection in tuple(self.internal_connections):
            connection.abort()
