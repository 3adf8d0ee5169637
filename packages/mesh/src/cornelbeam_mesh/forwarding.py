"""Forwards requests of callers on this instance to a target."""

import asyncio
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, final

from cornelbeam_core.deadlines import MS_PER_S, check_deadline, remaining_ms
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.placement import (
    US_PER_MS,
    Candidate,
    PlacementRequest,
    TargetRecord,
    fastest_service_ms,
    patience_ms,
    rank_targets,
)
from cornelbeam_core.refusals import refusal_status, return_delay_s
from cornelbeam_core.routes import RouteRule, RouteTable
from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.bodies import RequestBody
from cornelbeam_daemon.calls import Answer, Call
from cornelbeam_daemon.http_message import (
    BODILESS,
    HttpRequest,
    Responder,
    broken_answer,
    malformed,
)
from cornelbeam_daemon.logs import get_log
from cornelbeam_daemon.peer_client import PeerClient

from cornelbeam_mesh.edge import Edge
from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_mesh.gate_keeper import GateKeeper
from cornelbeam_mesh.members import MemberEntry, peer_target
from cornelbeam_mesh.metrics import MeshMetrics

_log = get_log('caller')
# Bodies up to this size are kept, so that a refused request can go elsewhere.
KEPT_BODY_BYTES: Final = 1_048_576
# The least time that an attempt waits for a slot before it goes elsewhere:
# two crossings of a failure domain boundary.
MIN_PATIENCE_MS: Final = 10
# A daemon that has lost a connection only answers within this time; one that
# is gone would make the caller wait in vain.
ASK_TIMEOUT_S: Final = 0.6
# Refused attempts of one request; then the load is everywhere.
MAX_REFUSAL_COUNT: Final = 12
# Time that a request and its answer need between caller and daemon.
CALLER_TRIP_S: Final = 0.02
_ATTEMPT_ID_BYTES: Final = 16
_MAX_DIGITS: Final = 9


@final
class Forwarded:
    """A request on its way."""

    __slots__ = (
        'body',
        'deadline_s',
        'fallback',
        'headers',
        'is_nested',
        'request',
        'request_id',
        'route',
        'run_count',
        'service',
        'started_s',
        'used',
        'waited',
    )

    def __init__(
        self,
        request: HttpRequest,
        route: RouteRule,
        service: str,
        started_s: float,
    ) -> None:
        """Start without attempts."""
        self.request = request
        self.route = route
        self.service = service
        self.started_s = started_s
        self.deadline_s = started_s
        self.body = RequestBody(request.body, KEPT_BODY_BYTES)
        self.headers: list[bytes] = []
        self.request_id = ''
        self.is_nested = False
        # Targets that it reached, and how often one may have run it.
        self.used: set[str] = set()
        self.run_count = 0
        # Targets at whose gate it waited for a slot.
        self.waited: set[str] = set()
        # A failure that a target answered, for want of something better.
        self.fallback: Answer | None = None

    @property
    def may_repeat(self) -> bool:
        """Tell whether it may be sent to another target after a failure."""
        return (
            self.route.is_idempotent
            and self.body.is_replayable
            and self.run_count < self.route.max_target_count
        )


@final
class Forwarder:
    """Serves the callers on this instance."""

    __slots__ = (
        '_caller_service',
        '_client',
        '_domain',
        '_edge',
        '_host',
        '_keeper',
        '_loop',
        '_metrics',
        '_name',
        '_on_stale_peer',
        '_rng',
        '_state',
        'in_flight_count',
    )

    def __init__(
        self,
        name: str,
        domain: str,
        host: str,
        caller_service: str,
        edge: Edge,
        state: FleetState,
        keeper: GateKeeper,
        client: PeerClient,
        metrics: MeshMetrics,
        on_stale_peer: Callable[[MemberEntry], None],
        rng: random.Random,
    ) -> None:
        """Serve locally by ``keeper`` and elsewhere by ``client``.

        ``host`` is the IP number of the backend server.

        ``on_stale_peer`` is called when a daemon has restarted since its
        entry was read.
        """
        self._name = name
        self._domain = domain
        self._host = host
        self._caller_service = caller_service.encode()
        self._edge = edge
        self._state = state
        self._keeper = keeper
        self._client = client
        self._metrics = metrics
        self._on_stale_peer = on_stale_peer
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self.in_flight_count = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        started_s = self._loop.time()
        self.in_flight_count += 1
        outcome = 'cancelled'
        forwarded: Forwarded | None = None
        try:
            forwarded = self._read(request, started_s)
            await self._gather(forwarded)
            answer = await self._serve(forwarded)
            outcome = str(answer.status)
            await _pass_on(request, answer, responder)
        except CornelbeamError as error:
            outcome = error.code.value
            self._report(forwarded, error, responder, started_s)
        finally:
            self._end(forwarded, outcome, started_s)

    def _end(
        self,
        forwarded: Forwarded | None,
        outcome: str,
        started_s: float,
    ) -> None:
        self.in_flight_count -= 1
        if forwarded is not None and forwarded.fallback is not None:
            forwarded.fallback.close()
        self._metrics.count_request(
            forwarded.route.name if forwarded else '',
            outcome,
            self._loop.time() - started_s,
        )

    def _read(self, request: HttpRequest, started_s: float) -> Forwarded:
        table = self._state.table
        if table is None:
            raise CornelbeamError(
                ErrorCode.NO_ELIGIBLE_TARGET,
                'routing',
                detail='no configuration yet',
            )
        route = _find_route(request, table)
        forwarded = Forwarded(
            request,
            route,
            table.pick_service(route),
            started_s,
        )
        names = self._edge.headers
        headers = request.headers
        forwarded.request_id = (
            fields.find(headers, names.attempt_id) or b''
        ).decode('latin-1')
        left_ms = _read_number(headers, names.remaining_ms, route.timeout_ms)
        forwarded.deadline_s = (
            started_s + min(left_ms, route.timeout_ms) / MS_PER_S
        )
        check_deadline(forwarded.deadline_s, started_s, 'routing')
        own = {
            names.remaining_ms,
            names.caller_service,
            names.expected_instance,
        }
        kept = fields.strip(headers)
        for index in range(0, len(kept), 2):
            if kept[index] not in own:
                forwarded.headers += kept[index : index + 2]
        forwarded.headers += (names.caller_service, self._caller_service)
        # The backend server calls from its own address.
        forwarded.is_nested = request.peer_host == self._host
        return forwarded

    async def _gather(self, forwarded: Forwarded) -> None:
        """Wait for the body, unless it is too long to be kept."""
        if forwarded.body.is_whole:
            return
        try:
            async with asyncio.timeout_at(forwarded.deadline_s):
                await forwarded.body.gather()
        except TimeoutError as error:
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'request body',
                detail='the body did not arrive in time',
            ) from error

    async def _serve(self, forwarded: Forwarded) -> Answer:
        refusals: dict[str, CornelbeamError] = {}
        refusal_count = 0
        last_error: CornelbeamError | None = None
        while refusal_count < MAX_REFUSAL_COUNT:
            choice = self._choose(forwarded, refusals)
            if choice is None:
                break
            record, patience = choice
            try:
                answer = await self._attempt(forwarded, record, patience)
            except CornelbeamError as error:
                last_error = error
                if error.run_state is RunState.NOT_RUN:
                    refusal_count += 1
                    refusals[record.name] = error
                    continue
                if not forwarded.may_repeat:
                    break
                continue
            if not self._is_worth_repeating(forwarded, answer):
                return answer
            if forwarded.fallback is not None:
                forwarded.fallback.close()
            forwarded.fallback = answer
        if forwarded.fallback is not None:
            fallback = forwarded.fallback
            forwarded.fallback = None
            return fallback
        raise self._final_error(forwarded, last_error)

    def _final_error(
        self,
        forwarded: Forwarded,
        last_error: CornelbeamError | None,
    ) -> CornelbeamError:
        if last_error is None:
            return CornelbeamError(
                ErrorCode.NO_ELIGIBLE_TARGET,
                'placement',
                detail=f'no target of {forwarded.service}',
            )
        if forwarded.run_count and last_error.run_state is RunState.NOT_RUN:
            # An earlier attempt may have run.
            last_error.run_state = RunState.UNKNOWN
        return last_error

    def _is_worth_repeating(
        self,
        forwarded: Forwarded,
        answer: Answer,
    ) -> bool:
        """Tell whether another target may answer better in time."""
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return False
        if not forwarded.may_repeat:
            return False
        left_ms = remaining_ms(forwarded.deadline_s, self._loop.time())
        return left_ms > self._shortest_service_ms(forwarded)

    def _shortest_service_ms(self, forwarded: Forwarded) -> float:
        records = self._state.members.serving(
            forwarded.service,
            self._state.evacuated_domains,
        )
        return fastest_service_ms(records)

    def _choose(
        self,
        forwarded: Forwarded,
        refusals: dict[str, CornelbeamError],
    ) -> tuple[TargetRecord, float] | None:
        """Choose the next target and how long to wait for a slot there."""
        now_s = self._loop.time()
        records = [
            record
            for record in self._state.members.serving(
                forwarded.service,
                self._state.evacuated_domains,
            )
            if record.name not in forwarded.used
            and record.name not in forwarded.waited
        ]
        if not records or now_s >= forwarded.deadline_s:
            return None
        self._note_own_load(records, now_s)
        ranked = rank_targets(
            records,
            PlacementRequest(self._domain, forwarded.body.kept_bytes, now_s),
        )
        fresh = [each for each in ranked if each.name not in refusals]
        left_ms = (forwarded.deadline_s - now_s) * MS_PER_S
        if fresh:
            chosen = fresh[0]
            patience = patience_ms(fresh, 0, left_ms, MIN_PATIENCE_MS)
            if len(ranked) > 1 and len(fresh) == 1:
                patience = min(patience, MIN_PATIENCE_MS)
        else:
            waitable = _find_waitable(
                ranked,
                refusals,
                self._objective_left_ms(forwarded),
            )
            if waitable is None:
                return None
            # It waits at a target at most once.
            refusals.pop(waitable.name)
            forwarded.waited.add(waitable.name)
            chosen, patience = waitable, left_ms
        record = self._state.members.record(chosen.name)
        return None if record is None else (record, patience)

    def _note_own_load(
        self,
        records: list[TargetRecord],
        now_s: float,
    ) -> None:
        """Take the load of the own target, which is known without a report."""
        for record in records:
            if record.is_local:
                record.note_load(self._keeper.load, now_s)

    async def _attempt(
        self,
        forwarded: Forwarded,
        record: TargetRecord,
        patience: float,
    ) -> Answer:
        member = self._state.members.get(record.name)
        if member is None:
            raise CornelbeamError(ErrorCode.NO_ELIGIBLE_TARGET, 'placement')
        call = self._new_call(forwarded, member, patience)
        record.in_flight_count += 1
        try:
            answer = await self._send(member, call)
        except CornelbeamError as error:
            self._note_error(forwarded, record, member, error)
            raise
        finally:
            record.in_flight_count -= 1
        now_s = self._loop.time()
        forwarded.used.add(record.name)
        forwarded.run_count += 1
        record.note_load(answer.load, now_s)
        _log.debug(
            'attempt answered',
            request=forwarded.request_id,
            route=forwarded.route.name,
            target=record.name,
            status=answer.status,
            is_near=record.domain == self._domain,
            sent_bytes=forwarded.body.kept_bytes,
            received_bytes=answer.body.size_bytes,
            elapsed_ms=int((now_s - forwarded.started_s) * MS_PER_S),
        )
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            record.note_success()
        else:
            record.note_failure(now_s, is_lost=False)
        return answer

    def _note_error(
        self,
        forwarded: Forwarded,
        record: TargetRecord,
        member: MemberEntry,
        error: CornelbeamError,
    ) -> None:
        now_s = self._loop.time()
        record.note_load(error.load, now_s)
        is_lost = error.code is ErrorCode.PEER_UNREACHABLE
        if error.code is ErrorCode.WRONG_INCARNATION:
            self._on_stale_peer(member)
        is_refused = error.code is ErrorCode.BACKEND_REFUSED
        may_have_run = error.run_state is not RunState.NOT_RUN
        if may_have_run:
            forwarded.run_count += 1
        if may_have_run or is_refused:
            # It has reached the target: another attempt is a repeat.
            forwarded.used.add(record.name)
        if may_have_run or is_refused or is_lost:
            record.note_failure(now_s, is_lost=is_lost)
        _log.info(
            'attempt failed',
            request=forwarded.request_id,
            target=record.name,
            code=error.code.value,
            step=error.step,
            run_state=error.run_state.name.lower(),
            wait_ms=0 if error.load is None else error.load.wait_ms,
            elapsed_ms=int((now_s - forwarded.started_s) * MS_PER_S),
            why=error.detail,
        )

    def _new_call(
        self,
        forwarded: Forwarded,
        member: MemberEntry,
        patience: float,
    ) -> Call:
        return Call(
            attempt_id=self._rng.randbytes(_ATTEMPT_ID_BYTES),
            target_incarnation=member.incarnation,
            service=forwarded.service,
            method=forwarded.request.method,
            path=forwarded.request.target,
            headers=forwarded.headers,
            deadline_s=forwarded.deadline_s,
            is_repeatable=forwarded.route.is_idempotent,
            caller=self._name,
            hop_count=1,
            request_id=forwarded.request_id,
            body=forwarded.body,
            priority=forwarded.route.priority,
            is_nested=forwarded.is_nested,
            is_repeat=bool(forwarded.used),
            patience_ms=int(patience),
            objective_ms=self._objective_left_ms(forwarded),
            route=forwarded.route.name,
        )

    def _objective_left_ms(self, forwarded: Forwarded) -> int:
        objective_s = forwarded.route.objective_ms / MS_PER_S
        return remaining_ms(
            forwarded.started_s + objective_s - CALLER_TRIP_S,
            self._loop.time(),
        )

    async def _send(self, member: MemberEntry, call: Call) -> Answer:
        if member.name == self._name:
            return await self._keeper.serve(call)
        target = peer_target(member)
        try:
            async with asyncio.timeout_at(call.deadline_s):
                return await self._client.call(target, call)
        except TimeoutError as error:
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'answer',
                member.name,
                run_state=RunState.UNKNOWN,
            ) from error
        except CornelbeamError as error:
            is_unclear = error.run_state is not RunState.NOT_RUN
            is_lost = error.code is ErrorCode.PEER_UNREACHABLE
            if call.is_repeatable or not (is_lost and is_unclear):
                raise
            answer = await self._ask(member, call, error)
            if answer is None:
                raise
            return answer

    async def _ask(
        self,
        member: MemberEntry,
        call: Call,
        error: CornelbeamError,
    ) -> Answer | None:
        """Ask what became of a call whose connection was lost."""
        limit_s = min(call.deadline_s, self._loop.time() + ASK_TIMEOUT_S)
        try:
            async with asyncio.timeout_at(limit_s):
                run_state, answer = await self._client.ask_outcome(
                    peer_target(member),
                    call,
                )
        except TimeoutError:
            run_state, answer = RunState.UNKNOWN, None
        if run_state is RunState.RUNNING:
            run_state = RunState.UNKNOWN
        error.run_state = run_state
        _log.info(
            'outcome asked',
            request=call.request_id,
            target=member.name,
            run_state=run_state.name.lower(),
        )
        return answer

    def _report(
        self,
        forwarded: Forwarded | None,
        error: CornelbeamError,
        responder: Responder,
        started_s: float,
    ) -> None:
        status = refusal_status(error)
        now_s = self._loop.time()
        deadline_s = started_s if forwarded is None else forwarded.deadline_s
        left_s = max(0, deadline_s - now_s)
        _log.info(
            'request not answered',
            request=forwarded.request_id if forwarded else '',
            route=forwarded.route.name if forwarded else '',
            status=status,
            code=error.code.value,
            step=error.step,
            peer=error.peer,
            run_state=error.run_state.name.lower(),
            elapsed_ms=int((now_s - started_s) * MS_PER_S),
            left_ms=int(left_s * MS_PER_S),
            why=error.detail,
        )
        if responder.is_started:
            # A truncated answer must not look whole.
            responder.abort()
            return
        headers = [b'content-type', b'text/plain; charset=utf-8']
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            wait_ms = float(error.retry_after_ms)
            if error.load is not None:
                wait_ms = max(wait_ms, error.load.wait_ms)
            delay_s = return_delay_s(wait_ms, left_s, self._rng.random())
            headers += (b'retry-after', f'{delay_s:.2f}'.encode())
        responder.send_whole(status, headers, f'{error}\n'.encode())


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


def _find_waitable(
    ranked: list[Candidate],
    refusals: dict[str, CornelbeamError],
    objective_left_ms: float,
) -> Candidate | None:
    """Give the target with the shortest wait that is worth it.

    A line that is too long to meet the objective is not: the caller had
    better come back. The end of a slow spell is, even if the answer is late.
    """
    waits: list[tuple[float, Candidate]] = []
    for candidate in ranked:
        error = refusals[candidate.name]
        load = error.load
        if error.code is not ErrorCode.OVERLOADED or load is None:
            continue
        ready_ms = load.wait_ms + load.service_time_us / US_PER_MS
        if not load.wait_ms or ready_ms <= objective_left_ms:
            waits.append((load.wait_ms, candidate))
    if not waits:
        return None
    return min(waits, key=lambda each: each[0])[1]


async def _pass_on(
    request: HttpRequest,
    answer: Answer,
    responder: Responder,
) -> None:
    headers = answer.headers
    try:
        content = answer.body.take_ready()
        is_bodiless = request.method == b'HEAD' or answer.status in BODILESS
        if answer.body.is_ended and not is_bodiless:
            length = fields.find(headers, b'content-length')
            if length is not None and int(length) != len(content):
                raise broken_answer('not the announced length')
            responder.send_whole(answer.status, headers, content)
            return
        responder.start(answer.status, headers)
        if content:
            await responder.send(content)
        while not answer.body.is_ended:
            content = await answer.body.read_answer()
            if content:
                await responder.send(content)
        responder.finish()
    finally:
        answer.close()


def _read_number(headers: list[bytes], name: bytes, default: int) -> int:
    stated = fields.find(headers, name)
    if stated is None:
        return default
    if not stated.isdigit() or len(stated) > _MAX_DIGITS:
        raise malformed(f'{name.decode()} is not a number')
    return int(stated)
