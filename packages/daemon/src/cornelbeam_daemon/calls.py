"""Calls and answers as the caller side and the backend side see them."""

from collections.abc import Callable
from typing import Protocol, final

from cornelbeam_core.attempts import AttemptLedger
from cornelbeam_core.targets import LoadReport

from cornelbeam_daemon.bodies import BodyBuffer, RequestBody


@final
class Call:
    """One attempt to serve a request at one target.

    ``headers`` alternates names and values, without hop-by-hop and control
    fields. ``deadline_s`` is a time of the local event loop. ``priority`` ranks
    requests, 0 being the most important. ``is_nested`` marks a call that a
    backend server makes while it works on another request, and ``is_repeat``
    a request that was sent to a target before. The attempt waits for a slot
    for at most ``max_slot_wait_ms``; ``is_last_resort`` says that no other
    target of the service has room. ``route`` identifies the kind of work,
    and ``objective_ms`` is its latency objective. ``fingerprint`` is the same
    for all repetitions of a request, empty if unknown, and ``is_suspect`` says
    that a target may have crashed while it ran the request. ``tenant`` is the
    name of the tenant whose request it is, empty without one.
    """

    __slots__ = (
        'attempt_id',
        'body',
        'caller',
        'deadline_s',
        'fingerprint',
        'headers',
        'hop_count',
        'is_last_resort',
        'is_nested',
        'is_repeat',
        'is_repeatable',
        'is_suspect',
        'max_slot_wait_ms',
        'method',
        'objective_ms',
        'path',
        'priority',
        'request_id',
        'route',
        'service',
        'target_incarnation',
        'tenant',
    )

    def __init__(  # noqa: PLR0913
        self,
        *,
        attempt_id: bytes,
        target_incarnation: int,
        service: str,
        method: bytes,
        path: bytes,
        headers: list[bytes],
        deadline_s: float,
        is_repeatable: bool,
        caller: str,
        hop_count: int,
        request_id: str,
        body: RequestBody,
        priority: int = 0,
        is_nested: bool = False,
        is_repeat: bool = False,
        max_slot_wait_ms: int = 0,
        objective_ms: int = 0,
        route: str = '',
        is_last_resort: bool = False,
        fingerprint: bytes = b'',
        is_suspect: bool = False,
        tenant: str = '',
    ) -> None:
        """Create a call; see the class for the parameters."""
        self.priority = priority
        self.is_nested = is_nested
        self.is_repeat = is_repeat
        self.max_slot_wait_ms = max_slot_wait_ms
        self.objective_ms = objective_ms
        self.route = route
        self.is_last_resort = is_last_resort
        self.fingerprint = fingerprint
        self.is_suspect = is_suspect
        self.tenant = tenant
        self.attempt_id = attempt_id
        self.target_incarnation = target_incarnation
        self.service = service
        self.method = method
        self.path = path
        self.headers = headers
        self.deadline_s = deadline_s
        self.is_repeatable = is_repeatable
        self.caller = caller
        self.hop_count = hop_count
        self.request_id = request_id
        self.body = body


@final
class Answer:
    """Head of an answer and its streaming body.

    The receiver of an answer must call ``close``, also after a failure, to
    free the slot or to cancel the rest of the work.
    """

    __slots__ = ('_on_close', 'body', 'headers', 'load', 'status')

    def __init__(
        self,
        status: int,
        headers: list[bytes],
        body: BodyBuffer,
        load: LoadReport | None,
        on_close: Callable[[], None],
    ) -> None:
        """Create an answer; the first ``close`` calls ``on_close``."""
        self.status = status
        self.headers = headers
        self.body = body
        self.load = load
        self._on_close: Callable[[], None] | None = on_close

    def notify_closed(self, notify: Callable[[], None]) -> None:
        """Call ``notify`` once the answer has been closed.

        At once if it is closed already.
        """
        on_close = self._on_close
        if on_close is None:
            notify()
            return

        def close() -> None:  # noqa: WPS430
            on_close()
            notify()

        self._on_close = close

    def close(self) -> None:
        """Release what the answer holds; later calls do nothing.

        What has not been read of the body is dropped: its connection or call
        refers to it in a cycle, which may be collected much later.
        """
        on_close = self._on_close
        self._on_close = None
        if on_close is not None and not self.body.is_ended:
            self.body.drop()
        if on_close is not None:
            on_close()


class CallServer(Protocol):
    """Serves calls of other daemons with the local backend server."""

    @property
    def ledger(self) -> AttemptLedger:
        """Ledger of attempts that must not run twice."""

    def load_for(self, route: str) -> LoadReport:
        """Return the load report to send with answers to calls of a route."""

    async def serve(self, call: Call) -> Answer:
        """Serve a call; raise ``CornelbeamError`` with its run state."""
