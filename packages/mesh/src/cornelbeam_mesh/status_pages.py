"""Pages for readiness checks and for metrics."""

from collections.abc import Callable
from typing import Final, final

from cornelbeam_daemon.http_message import HttpRequest, Responder

from cornelbeam_mesh.metrics import MeshMetrics

_OK: Final = 200
_UNAVAILABLE: Final = 503


@final
class StatusPages:
    """Answers what the platform asks about this daemon."""

    __slots__ = ('_is_ready', '_metrics', '_unsupported_routes')

    def __init__(
        self,
        metrics: MeshMetrics,
        is_ready: Callable[[], bool],
        unsupported_routes: Callable[[], list[str]],
    ) -> None:
        """Export ``metrics``; ``is_ready`` decides about new callers.

        ``unsupported_routes`` returns the names of the routes whose requests
        are refused.
        """
        self._metrics = metrics
        self._is_ready = is_ready
        self._unsupported_routes = unsupported_routes

    async def answer_readiness(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        """Answer 200 if callers may connect, 503 otherwise.

        The body names the routes whose requests are refused.
        """
        status = _OK if self._is_ready() else _UNAVAILABLE
        names = ', '.join(self._unsupported_routes())
        content = f'unsupported routes: {names}\n'.encode() if names else b''
        responder.send_whole(status, [], content)

    async def answer_metrics(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        """Answer with all metrics in the Prometheus text format."""
        headers = [b'content-type', b'text/plain; version=0.0.4']
        responder.send_whole(_OK, headers, self._metrics.render())
