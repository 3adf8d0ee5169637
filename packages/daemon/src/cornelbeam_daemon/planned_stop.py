"""The end of a planned stop: what is in flight is finished."""

from collections.abc import Callable
from typing import Final

import anyio

from cornelbeam_daemon.http_server import HttpServerConnection

STOP_POLL_S: Final = 0.05


async def drain_callers(
    callers: set[HttpServerConnection],
    count_work: Callable[[], int],
) -> None:
    """Close idle connections and wait for the others and for all work.

    ``count_work`` tells how many calls the backend server still works on.
    """
    for connection in tuple(callers):
        connection.close_when_idle()
    while callers or count_work():
        await anyio.sleep(STOP_POLL_S)
