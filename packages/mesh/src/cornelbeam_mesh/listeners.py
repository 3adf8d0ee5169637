"""Listening sockets of the daemon."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, final

from cornelbeam_core.routes import RequestLimits
from cornelbeam_daemon.http_message import HttpRequest, Responder
from cornelbeam_daemon.http_server import HttpServerConnection
from cornelbeam_daemon.listening import LISTEN_BACKLOG, bind_listener
from cornelbeam_daemon.memory_budget import MemoryBudget
from cornelbeam_daemon.pipelining import PipelineRules
from cornelbeam_daemon.request_head import InputLimits

from cornelbeam_mesh.settings import split_address

# Limits of callers if operators configure none, and of other connections. A
# head must fit into a frame between daemons whatever operators configure.
HEAD_LIMIT_BYTES: Final = 65_536
BODY_LIMIT_BYTES: Final = 268_435_456


def default_limits() -> InputLimits:
    """Return the limits of callers if operators configure none."""
    return InputLimits(HEAD_LIMIT_BYTES, BODY_LIMIT_BYTES)


def apply_limits(limits: InputLimits, stated: RequestLimits) -> None:
    """Set the limits of callers to those that operators state."""
    head_bytes, body_bytes = stated.head_bytes, stated.body_bytes
    limits.head_bytes = min(head_bytes or HEAD_LIMIT_BYTES, HEAD_LIMIT_BYTES)
    limits.body_bytes = BODY_LIMIT_BYTES if body_bytes is None else body_bytes


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
        limits: InputLimits | None = None,
    ) -> None:
        """Serve HTTP requests at an address with ``handler``.

        Open connections are kept in ``connections``; ``on_open`` is called
        for each new one before anything is read from it. Without ``limits``
        those of this module hold.
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
                limits,
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
