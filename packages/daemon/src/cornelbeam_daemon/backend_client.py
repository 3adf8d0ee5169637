"""Connection pool of the local backend server."""

import asyncio
from typing import Final, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

from cornelbeam_daemon.backend_connection import BackendConnection
from cornelbeam_daemon.memory_budget import MemoryBudget, unlimited_budget

CONNECT_TIMEOUT_S: Final = 1.0
# A backend server may close an idle connection at any time, and a request that
# crosses with the close has an unknown outcome. A request that must not repeat
# is therefore sent only over a connection that was used within this time.
FRESH_S: Final = 1.0


@final
class BackendClient:
    """Connection pool that reuses connections last in, first out."""

    __slots__ = ('_account', '_host', '_idle', '_in_use', '_limit', '_port')

    def __init__(
        self,
        host: str,
        port: int,
        connection_limit: int,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Create an empty pool; limit the connections that are in use.

        The answers that are received are counted in ``budget``.
        """
        self._account = (budget or unlimited_budget()).open_account()
        self._host = host
        self._port = port
        self._limit = connection_limit
        self._idle: list[BackendConnection] = []
        self._in_use: set[BackendConnection] = set()

    def take_idle(self, *, is_fresh: bool) -> BackendConnection | None:
        """Return an idle connection, or None when one must be opened.

        With ``is_fresh``, skip connections that were idle for more than
        ``FRESH_S`` or that the server has closed since.
        """
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if is_fresh and now_s - connection.idle_since_s > FRESH_S:
                # The others have been idle for even longer.
                self._idle.append(connection)
                return None
            if connection.is_closed:
                continue
            if is_fresh and connection.has_input():
                connection.close()
            else:
                connection.is_reused = True
                self._in_use.add(connection)
                return connection
        return None

    async def acquire(self, *, is_fresh: bool = False) -> BackendConnection:
        """Return an idle connection or open one; see ``open`` for errors."""
        return self.take_idle(is_fresh=is_fresh) or await self.open()

    async def open(self) -> BackendConnection:
        """Open a connection.

        Raise ``backend_unreachable`` with run state ``NOT_RUN`` on failure, as
        nothing was sent.
        """
        if len(self._in_use) >= self._limit:
            raise _unreachable(f'all {self._limit} connections are in use')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, opened = await asyncio.get_running_loop().create_connection(
                    lambda: BackendConnection(self._account),
                    self._host,
                    self._port,
                )
        except OSError as error:
            raise _unreachable(str(error)) from error
        self._in_use.add(opened)
        return opened

    async def open_replacement(self) -> BackendConnection:
        """Open a connection for a request that was sent over another one.

        Raise ``backend_unreachable`` with run state ``UNKNOWN`` on failure.
        """
        try:
            return await self.open()
        except CornelbeamError as error:
            error.run_state = RunState.UNKNOWN
            raise

    async def is_refusing(self) -> bool:
        """Return whether the server refuses connections."""
        try:
            connection = await self.open()
        except CornelbeamError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        connection.close()
        self.release(connection)
        return False

    def release(self, connection: BackendConnection) -> None:
        """Put a connection back, or close it if it cannot be reused."""
        self._in_use.discard(connection)
        if connection.can_be_reused():
            connection.idle_since_s = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close all connections, including those in use."""
        for connection in (*self._idle, *self._in_use):
            connection.close()
        self._idle.clear()


def _unreachable(detail: str) -> CornelbeamError:
    return CornelbeamError(
        ErrorCode.BACKEND_UNREACHABLE,
        'backend connection',
        detail=detail,
    )
