"""Request of a caller that is being forwarded, and its reader."""

from typing import Final, final

from cornelbeam_core.attempt_order import AttemptOrder
from cornelbeam_core.call_origins import CallOrigins
from cornelbeam_core.caller_wait import CallerWaitEstimator
from cornelbeam_core.deadlines import (
    MS_PER_S,
    StopDeadline,
    check_deadline,
    remaining_ms,
)
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.routes import RouteRule, RouteTable
from cornelbeam_core.tenants import TenantRule
from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.bodies import RequestBody
from cornelbeam_daemon.calls import Answer
from cornelbeam_daemon.http_message import HttpRequest, malformed, read_number
from cornelbeam_daemon.request_fingerprint import compute_fingerprint
from cornelbeam_daemon.request_head import InputLimits

from cornelbeam_mesh.caller_identity import CallerIdentifier
from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_mesh.platform_adapter import PlatformAdapter

# Bodies up to this size are buffered, so that a refused request can be sent to
# another target.
MAX_REPLAYABLE_BODY_BYTES: Final = 1_048_576
# Allowance for the network round trip between caller and daemon.
CALLER_ROUND_TRIP_S: Final = 0.02
_MAX_DIGITS: Final = 9


@final
class ForwardedRequest:
    """Request of a caller and the state of its attempts."""

    __slots__ = (
        'body',
        'caller_spent_ms',
        'configuration_version',
        'deadline_s',
        'fallback',
        'fingerprint',
        'headers',
        'is_nested',
        'is_suspect',
        'order',
        'quota_granted_s',
        'reached_targets',
        'request',
        'request_id',
        'route',
        'run_targets',
        'service',
        'started_s',
        'tenant',
    )

    def __init__(
        self,
        request: HttpRequest,
        route: RouteRule,
        service: str,
        started_s: float,
    ) -> None:
        """Create a request without attempts that arrived at ``started_s``."""
        self.request = request
        self.route = route
        self.service = service
        self.started_s = started_s
        self.deadline_s = started_s
        self.body = RequestBody(request.body, MAX_REPLAYABLE_BODY_BYTES)
        self.headers: list[bytes] = []
        self.request_id = ''
        self.is_nested = False
        self.tenant: TenantRule | None = None
        # Identifies repetitions of the request; set once its body is here.
        self.fingerprint = b''
        # True if a target broke off while it ran the request.
        self.is_suspect = False
        # Version of the configuration that it is routed by.
        self.configuration_version = 0
        # Time of the grant of its token of the quota of the tenant.
        self.quota_granted_s: float | None = None
        # Time that the caller has spent on earlier attempts.
        self.caller_spent_ms = 0
        # Targets that received the request.
        self.reached_targets: set[str] = set()
        # Targets that may have run it.
        self.run_targets: set[str] = set()
        self.order = AttemptOrder()
        # Error answer of a target, used if no other target answers better.
        self.fallback: Answer | None = None

    @property
    def priority(self) -> int:
        """Return the rank of the request; zero is served first."""
        if self.tenant is None or self.tenant.priority is None:
            return self.route.priority
        return self.tenant.priority

    @property
    def tenant_name(self) -> str:
        """Return the name of the tenant, empty without one."""
        return '' if self.tenant is None else self.tenant.name

    @property
    def is_retryable(self) -> bool:
        """Return whether another target may get the request after a failure."""
        return (
            self.route.is_idempotent
            and self.body.is_replayable
            and len(self.run_targets) < self.route.max_target_count
        )

    def may_try_next(self, error: CornelbeamError) -> bool:
        """Return whether another target may get the request after an error."""
        if error.code is ErrorCode.REQUEST_QUARANTINED:
            return False
        if error.run_state is RunState.NOT_RUN:
            # A target may refuse a long body after a part of it was dropped.
            return self.body.is_intact
        return self.is_retryable

    def final_error(
        self, last_error: CornelbeamError | None
    ) -> CornelbeamError:
        """Return the error to answer with when no target is left."""
        if last_error is None:
            return CornelbeamError(
                ErrorCode.NO_ELIGIBLE_TARGET,
                'placement',
                detail=f'no target of {self.service}',
            )
        if self.run_targets and last_error.run_state is RunState.NOT_RUN:
            # The last attempt did not run, but an earlier one may have.
            last_error.run_state = RunState.UNKNOWN
        return last_error

    def objective_remaining_ms(self, now_s: float) -> int:
        """Return the milliseconds in which an answer meets the objective.

        Time that the caller spent on earlier attempts is deducted.
        """
        objective_s = (
            self.route.objective_ms - self.caller_spent_ms
        ) / MS_PER_S
        return remaining_ms(
            self.started_s + objective_s - CALLER_ROUND_TRIP_S,
            now_s,
        )

    def keep_fallback(self, answer: Answer) -> None:
        """Keep an error answer in case that no other target answers better."""
        if self.fallback is not None:
            self.fallback.close()
        self.fallback = answer

    async def buffer_body(self) -> None:
        """Wait for the body unless it is too long to be buffered.

        Raise ``deadline_passed`` if it does not arrive in time.
        """
        if not self.body.is_whole:
            await self.body.buffer_until(self.deadline_s)
        self.fingerprint = compute_fingerprint(
            self.request, self.body, MAX_REPLAYABLE_BODY_BYTES
        )


@final
class RequestReader:
    """Reads request heads and applies the current configuration."""

    __slots__ = (
        '_adapter',
        '_caller_service',
        '_caller_wait',
        '_host',
        '_identifier',
        '_limits',
        '_origins',
        '_state',
        '_stop',
    )

    def __init__(
        self,
        adapter: PlatformAdapter,
        state: FleetState,
        caller_service: str,
        host: str,
        origins: CallOrigins,
        stop: StopDeadline,
        identifier: CallerIdentifier,
        limits: InputLimits,
    ) -> None:
        """Read requests of callers on an instance of ``caller_service``.

        ``host`` is the IP address of the backend server, and ``origins`` knows
        the requests that it runs. No deadline is later than that of ``stop``,
        and no body may be announced as larger than ``limits`` say.
        ``identifier`` knows the tenants of callers.
        """
        self._identifier = identifier
        self._limits = limits
        self._stop = stop
        self._adapter = adapter
        self._state = state
        self._caller_service = caller_service.encode()
        self._host = host
        self._origins = origins
        self._caller_wait = CallerWaitEstimator()

    def may_overlap(self, request: HttpRequest) -> bool:
        """Return whether a pipelined request may run beside others."""
        table = self._state.route_table
        try:
            return (
                table is not None and _find_route(request, table).is_idempotent
            )
        except CornelbeamError:
            # It is refused in its turn.
            return False

    def read(self, request: HttpRequest, started_s: float) -> ForwardedRequest:
        """Determine the route, service and deadline of a request.

        Raise ``CornelbeamError`` with run state ``NOT_RUN``.
        """
        table = self._state.route_table
        if table is None:
            raise CornelbeamError(
                ErrorCode.NO_ELIGIBLE_TARGET,
                'routing',
                detail='no configuration yet',
            )
        self._limits.check_announced(request.headers)
        route = _find_route(request, table)
        if not route.is_supported:
            raise CornelbeamError(
                ErrorCode.UNSUPPORTED_ROUTE,
                'routing',
                detail=f'the kind of route {route.name} is not supported',
            )
        forwarded = ForwardedRequest(
            request,
            route,
            table.pick_service(route),
            started_s,
        )
        forwarded.configuration_version = table.version
        names = self._adapter.headers
        headers = request.headers
        forwarded.request_id = (
            fields.find(headers, names.attempt_id) or b''
        ).decode('latin-1')
        left_ms = read_number(
            headers,
            names.remaining_ms,
            route.timeout_ms,
            _MAX_DIGITS,
        )
        forwarded.deadline_s = self._stop.limit(
            started_s + min(left_ms, route.timeout_ms) / MS_PER_S
        )
        check_deadline(forwarded.deadline_s, started_s, 'routing')
        own_deadline_s = self._own_deadline_s(forwarded)
        forwarded.tenant = self._identifier.identify(
            request, route, table, own_deadline_s
        )
        forwarded.headers = self._replace_control_fields(forwarded, table)
        forwarded.is_nested = self._is_nested(forwarded, table, own_deadline_s)
        forwarded.order = AttemptOrder(
            is_nested=forwarded.is_nested,
            has_tenant=forwarded.tenant is not None,
        )
        if not forwarded.is_nested:
            # A nested call inherits the remaining time of its parent, which
            # says nothing about earlier attempts.
            forwarded.caller_spent_ms = self._caller_wait.note(
                route.name, left_ms
            )
        return forwarded

    def _own_deadline_s(self, forwarded: ForwardedRequest) -> float:
        """Return the deadline that a request states itself.

        The limit of the route says nothing about that of a parent request.
        """
        left_ms = read_number(
            forwarded.request.headers,
            self._adapter.headers.remaining_ms,
            0,
            _MAX_DIGITS,
        )
        return min(
            forwarded.deadline_s, forwarded.started_s + left_ms / MS_PER_S
        )

    def _is_nested(
        self,
        forwarded: ForwardedRequest,
        table: RouteTable,
        own_deadline_s: float,
    ) -> bool:
        """Return whether the backend server made this request.

        It calls from its own address, which other callers may have too. It
        shows no API key.
        """
        if forwarded.request.peer_host != self._host:
            return False
        if forwarded.tenant is not None:
            return False
        if table.tenants is not None and not forwarded.route.is_public:
            # The identifier has admitted it as a call of the backend server.
            return True
        return self._origins.is_nested(forwarded.route.name, own_deadline_s)

    def _replace_control_fields(
        self, forwarded: ForwardedRequest, table: RouteTable
    ) -> list[bytes]:
        """Replace the fields that only daemons may set."""
        names = self._adapter.headers
        control_fields = {
            names.remaining_ms,
            names.caller_service,
            names.expected_instance,
        }
        if table.tenants is not None:
            control_fields |= {fields.AUTHORIZATION, names.tenant}
        stripped = fields.strip(forwarded.request.headers)
        kept: list[bytes] = []
        for index in range(0, len(stripped), 2):
            if stripped[index] not in control_fields:
                kept += stripped[index : index + 2]
        if forwarded.tenant is not None:
            kept += (names.tenant, forwarded.tenant_name.encode())
        return [*kept, names.caller_service, self._caller_service]


def _find_route(request: HttpRequest, table: RouteTable) -> RouteRule:
    try:
        target = request.target.decode('ascii')
        host = (fields.find(request.headers, b'host') or b'').decode('ascii')
    except UnicodeDecodeError as error:
        raise malformed('the head is not ASCII') from error
    route = table.find(
        host.partition(':')[0].lower(),
        target.partition('?')[0],
    )
    if route is None:
        raise CornelbeamError(
            ErrorCode.UNKNOWN_SERVICE,
            'routing',
            detail=f'no route, configuration {table.version}',
        )
    return route
