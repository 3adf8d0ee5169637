"""Requests that the caller side is handling."""

import secrets
from typing import Final, final

from cornelbeam_core.deadlines import check_deadline, check_hop_count
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.requests import RequestFacts, is_idempotent_method
from cornelbeam_core.selectors import Route
from cornelbeam_settings import LimitsSettings

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.bodies import REPLAY_LIMIT_BYTES, RequestBody
from cornelbeam_daemon.http_message import HttpRequest, malformed, read_number
from cornelbeam_daemon.request_fingerprint import compute_fingerprint
from cornelbeam_daemon.routing_table import RoutingTable

_MS_PER_S: Final = 1000
_REQUEST_ID_BYTES: Final = 8
_MAX_REQUEST_ID_CHARACTERS: Final = 64
_MAX_DIGITS: Final = 18


@final
class PendingRequest:
    """Request that the caller side is handling, and what is known of it."""

    __slots__ = (
        'attempt_count',
        'body',
        'deadline_s',
        'facts',
        'failed',
        'fingerprint',
        'has_possibly_run',
        'headers',
        'hop_count',
        'is_suspect',
        'request',
        'request_id',
        'route',
        'started_s',
    )

    def __init__(self, request: HttpRequest, started_s: float) -> None:
        """Create a pending request; ``read_head`` fills in the rest."""
        self.request = request
        self.started_s = started_s
        self.body = RequestBody(request.body)
        self.headers: list[bytes] = []
        self.request_id = ''
        self.hop_count = 0
        self.deadline_s = started_s
        self.attempt_count = 0
        # Failed targets; True if only the connection to the target was lost.
        self.failed: dict[str, bool] = {}
        self.has_possibly_run = False
        # Identifies repetitions of the request, empty if its body was not
        # buffered.
        self.fingerprint = b''
        # True if a backend server broke off while it ran the request.
        self.is_suspect = False
        self.facts = RequestFacts('', '', '', {})
        self.route = Route((), {}, False, None)

    def note_run_state(self, run_state: RunState) -> None:
        """Record whether an attempt may have run."""
        if run_state is not RunState.NOT_RUN:
            self.has_possibly_run = True

    def note_body(self) -> None:
        """Compute the fingerprint, once ``buffer_body`` has returned."""
        if self.body.is_whole or not self.route.is_repeatable:
            self.fingerprint = compute_fingerprint(
                self.request, self.body, REPLAY_LIMIT_BYTES
            )

    @property
    def is_idempotent(self) -> bool:
        """Return whether the method is idempotent."""
        return is_idempotent_method(self.facts.method)


def read_head(
    pending: PendingRequest,
    table: RoutingTable,
    limits: LimitsSettings,
) -> None:
    """Validate the head of a request and set its route and deadline.

    Raise ``CornelbeamError`` with run state ``NOT_RUN`` if it is refused.
    """
    request = pending.request
    headers = request.headers
    pending.facts = read_facts(request)
    pending.request_id = _read_request_id(headers)
    pending.hop_count = read_number(headers, fields.HOPS, 0, _MAX_DIGITS) + 1
    check_hop_count(pending.hop_count)
    body_bytes = read_number(headers, b'content-length', 0, _MAX_DIGITS)
    if body_bytes > limits.body_bytes:
        raise CornelbeamError(ErrorCode.BODY_TOO_LARGE, 'request head')
    pending.headers = fields.strip(headers)
    pending.route = table.route(pending.facts)
    pending.deadline_s = pending.started_s + _timeout_s(pending, table, limits)
    check_deadline(pending.deadline_s, pending.started_s, 'routing')


def read_facts(request: HttpRequest) -> RequestFacts:
    """Return what routing depends on.

    Raise ``malformed_request`` if the head does not say it.
    """
    headers = request.headers
    try:
        path = request.target.decode('ascii')
        method = request.method.decode('ascii')
        host = (fields.find(headers, b'host') or b'').decode('ascii')
    except UnicodeDecodeError as error:
        raise malformed('the head is not ASCII') from error
    if method == 'CONNECT' or not (path.startswith('/') or path == '*'):
        raise malformed('only origin-form targets are supported')
    service = host.partition(':')[0].partition('.')[0]
    if not service:
        raise malformed('the Host header does not name a service')
    return RequestFacts(
        service.lower(),
        method,
        path,
        fields.HeaderView(headers),
    )


def _timeout_s(
    pending: PendingRequest,
    table: RoutingTable,
    limits: LimitsSettings,
) -> float:
    configured_ms = (
        pending.route.timeout_ms
        or table.timeout_ms(pending.facts.service)
        or limits.default_timeout_ms
    )
    requested_ms = read_number(
        pending.request.headers,
        fields.DEADLINE,
        configured_ms,
        _MAX_DIGITS,
    )
    return min(requested_ms, configured_ms) / _MS_PER_S


async def buffer_body(pending: PendingRequest) -> None:
    """Wait for the body if it is short or if the request must not repeat.

    A request that is sent in parts has an unknown outcome when the connection
    breaks in between, and a slow caller would occupy a slot.
    """
    size_bytes = read_number(
        pending.request.headers,
        b'content-length',
        REPLAY_LIMIT_BYTES + 1,
        _MAX_DIGITS,
    )
    is_short = size_bytes <= REPLAY_LIMIT_BYTES
    if pending.route.is_repeatable and not is_short:
        return
    await pending.body.buffer_until(pending.deadline_s)


def _read_request_id(headers: list[bytes]) -> str:
    value = fields.find(headers, fields.REQUEST_ID)
    if value is None:
        return secrets.token_hex(_REQUEST_ID_BYTES)
    if value.isalnum() and len(value) <= _MAX_REQUEST_ID_CHARACTERS:
        return value.decode('ascii')
    return secrets.token_hex(_REQUEST_ID_BYTES)
