"""Drain the work in flight at a planned stop."""

from collections.abc import Callable
from typing import Final

import anyio

from cornelbeam_daemon.http_server import HttpServerConnection

STOP_POLL_S: Final = 0.05


async def drain_callers(
    callers: set[HttpServerConnection],
    count_work: Callable[[], int],
) -> None:
    """Close idle connections, then wait for the others and for all work.

    ``count_work`` returns how many calls the backend server is working on.
    """
    for connection in tuple(callers):
        connection.close_when_idle()
    while callers or count_work():
        await anyio.sleep(STOP_POLL_S)
