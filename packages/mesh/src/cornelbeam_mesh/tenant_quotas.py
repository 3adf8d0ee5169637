"""Quotas of tenants: asks the owners of their shares, and serves own shares."""

import asyncio
import math
from collections import deque
from collections.abc import Callable, Collection, Coroutine
from typing import Any, Final, final

from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.quota_demand import OwnerSuspicions, QuotaDemand
from cornelbeam_core.quota_shares import (
    CHANGE_DELAY_S,
    MAX_REFUSAL_S,
    QuotaBounds,
    QuotaGrant,
    ShareTable,
)
from cornelbeam_core.tenants import TenantRule
from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.logs import get_log
from cornelbeam_wire import Stream
from cornelbeam_wire.gen import messages

from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_mesh.forwarded_request import ForwardedRequest
from cornelbeam_mesh.metrics import MeshMetrics

_log = get_log('caller')
_STEP: Final = 'quota'
# Longest wait for the reply of an owner. Round trips between failure domains
# take 3 to 9 ms; the rest is for an owner that is busy.
OWNER_TIMEOUT_S: Final = 0.15
# Tenants without requests are forgotten at this interval.
_SWEEP_INTERVAL_S: Final = 10.0
# Longest wait that a reply may state. Replies hold milliseconds in 32 bits.
_MAX_WAIT_S: Final = 3600.0


@final
class _TenantState:
    """Requests of one tenant that wait for tokens on this daemon."""

    __slots__ = ('demand', 'is_asking', 'waiting')

    def __init__(self) -> None:
        """Start without requests."""
        self.demand = QuotaDemand()
        self.is_asking = False
        # Each gets the time of its grant.
        self.waiting: deque[asyncio.Future[float]] = deque()

    def drop_ended(self) -> None:
        """Drop requests that are past their deadline or cancelled."""
        self.waiting = deque(each for each in self.waiting if not each.done())


@final
class TenantQuotas:
    """Admits requests of tenants within the quota of all daemons together.

    Requests of a tenant that arrive while owners are asked join the next query.
    """

    __slots__ = (
        '_bounds',
        '_domain',
        '_joined_at_s',
        '_loop',
        '_messenger',
        '_metrics',
        '_name',
        '_shares',
        '_start_task',
        '_state',
        '_suspicions',
        '_swept_at_s',
        '_tenants',
    )

    def __init__(
        self,
        name: str,
        domain: str,
        state: FleetState,
        messenger: Messenger,
        start_task: Callable[[Coroutine[Any, Any, None]], None],
        bounds: QuotaBounds,
        metrics: MeshMetrics,
    ) -> None:
        """Admit requests on the daemon ``name`` of a failure domain."""
        self._name = name
        self._domain = domain
        self._state = state
        self._messenger = messenger
        self._start_task = start_task
        self._bounds = bounds
        self._metrics = metrics
        self._shares = ShareTable(bounds)
        self._suspicions = OwnerSuspicions()
        self._tenants: dict[str, _TenantState] = {}
        self._loop = asyncio.get_running_loop()
        self._swept_at_s = self._loop.time()
        # Until then, the view of the members may be empty, and this daemon
        # would own the shares of all tenants.
        self._joined_at_s: float | None = None

    @property
    def bucket_count(self) -> int:
        """Number of tenants whose share is held here and not full."""
        return self._shares.bucket_count

    def note_joined(self, *, is_restart: bool) -> None:
        """Own shares from now on, as the members are known.

        After a restart, no other daemon has owned them in between.
        """
        delay_s = CHANGE_DELAY_S if is_restart else 0
        self._joined_at_s = self._loop.time() - delay_s

    def note_members(self) -> None:
        """Record the time of changes of the members."""
        self._state.members.owners.note_changes(self._loop.time())

    async def admit(self, forwarded: ForwardedRequest) -> None:
        """Wait for a token if the tenant of a request has a quota.

        Raise ``quota_exceeded``, ``peer_unreachable`` if no owner answers, or
        ``deadline_passed``.
        """
        rule = forwarded.tenant
        if rule is None or not rule.is_limited:
            return
        outcome = 'cancelled'
        try:
            forwarded.quota_granted_s = await self._take(
                rule, forwarded.deadline_s
            )
            outcome = 'granted'
        except CornelbeamError as error:
            outcome = error.code.value
            raise
        finally:
            self._metrics.count_quota(outcome)

    async def renew(self, forwarded: ForwardedRequest) -> None:
        """Admit a request again if its token has become too old to be used.

        The token is lost, as no other request may use it either. Raise the
        errors of ``admit``.
        """
        rule, granted_s = forwarded.tenant, forwarded.quota_granted_s
        if rule is None or granted_s is None:
            return
        if self._loop.time() - granted_s <= self._bounds.token_age_s(rule):
            return
        forwarded.quota_granted_s = None
        await self.admit(forwarded)

    def give_back(
        self, forwarded: ForwardedRequest | None, error: CornelbeamError
    ) -> None:
        """Keep the token of a request that ran nowhere for the next one."""
        if forwarded is None or forwarded.quota_granted_s is None:
            return
        has_run = forwarded.run_targets or error.run_state != RunState.NOT_RUN
        if forwarded.tenant is None or has_run:
            return
        tenant = self._tenants.setdefault(forwarded.tenant.name, _TenantState())
        tenant.demand.keep(forwarded.quota_granted_s)
        forwarded.quota_granted_s = None

    def answer(self, stream: Stream, query: messages.QuotaRequest) -> None:
        """Answer the query of another daemon for tokens."""
        grant = self._grant_own(query.tenant, query.count)
        wait_ms = None
        if grant.count < query.count:
            wait_s = min(_MAX_WAIT_S, grant.wait_s)
            wait_ms = max(1, math.ceil(wait_s * MS_PER_S))
        self._messenger.reply(
            stream,
            quota_grant=messages.QuotaGrant(count=grant.count, wait_ms=wait_ms),
        )

    def _grant_own(self, name: str, count: int) -> QuotaGrant:
        """Grant tokens by the configuration in force."""
        if count <= 0:
            # It asks only whether this daemon answers.
            return QuotaGrant(0)
        table = self._state.route_table
        tenants = None if table is None else table.tenants
        rule = None if tenants is None else tenants.get(name)
        if rule is None:
            return QuotaGrant(0, MAX_REFUSAL_S)
        if not rule.is_limited:
            # The sender holds another version of the configuration.
            return QuotaGrant(count)
        return self._grant(rule, count)

    def _grant(self, rule: TenantRule, count: int) -> QuotaGrant:
        """Grant tokens, none if the share is not owned here.

        Other daemons may take this one for the owner while their view of the
        members differs.
        """
        now_s = self._loop.time()
        owners = self._state.members.owners
        since_s = owners.owned_since(rule.name, self._name)
        if since_s is None or self._joined_at_s is None:
            return QuotaGrant(0, MAX_REFUSAL_S)
        return self._shares.take(
            rule,
            count,
            owners.domain_count(now_s),
            max(since_s, self._joined_at_s),
            now_s,
        )

    async def _take(self, rule: TenantRule, deadline_s: float) -> float:
        """Return the time of the grant of a token."""
        self._sweep()
        tenant = self._tenants.get(rule.name)
        if tenant is None:
            tenant = _TenantState()
            self._tenants[rule.name] = tenant
        now_s = self._loop.time()
        token_age_s = self._bounds.token_age_s(rule)
        granted_s = tenant.demand.take(now_s, token_age_s)
        if granted_s is not None:
            return granted_s
        if not tenant.is_asking:
            owner = self._next_owner(rule, tenant, ())
            if owner is None:
                raise self._refusal(rule, tenant)
            if owner == self._name and self._grant_own(rule.name, 1).count:
                # The usual case beside an owner, without a task.
                return now_s
            tenant.is_asking = True
            self._start_task(self._ask_owners(rule, tenant))
        waiting: asyncio.Future[float] = self._loop.create_future()
        tenant.waiting.append(waiting)
        try:
            async with asyncio.timeout_at(deadline_s):
                return await waiting
        except BaseException as error:
            self._keep_granted(rule, waiting)
            if not isinstance(error, TimeoutError):
                raise
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                _STEP,
                detail='no owner of the quota has answered in time',
            ) from error

    def _keep_granted(
        self, rule: TenantRule, waiting: asyncio.Future[float]
    ) -> None:
        """Keep the token of a request that ended just after its grant."""
        is_ungranted = not waiting.done() or waiting.cancelled()
        if is_ungranted or waiting.exception() is not None:
            return
        tenant = self._tenants.setdefault(rule.name, _TenantState())
        tenant.demand.keep(waiting.result())

    async def _ask_owners(self, rule: TenantRule, tenant: _TenantState) -> None:
        """Ask owners until no request waits."""
        try:
            while tenant.waiting:
                await self._ask_round(rule, tenant)
        finally:
            tenant.is_asking = False

    async def _ask_round(self, rule: TenantRule, tenant: _TenantState) -> None:
        """Ask each owner once, then refuse the requests that still wait.

        Those that have arrived since get a round of their own.
        """
        tenant.drop_ended()
        present = tuple(tenant.waiting)
        asked: set[str] = set()
        owner = self._next_owner(rule, tenant, asked)
        while owner is not None and tenant.waiting:
            asked.add(owner)
            await self._ask_owner(rule, tenant, owner)
            owner = self._next_owner(rule, tenant, asked)
        for waiting in present:
            if not waiting.done():
                waiting.set_exception(self._refusal(rule, tenant))
        tenant.drop_ended()

    async def _ask_owner(
        self, rule: TenantRule, tenant: _TenantState, owner: str
    ) -> None:
        """Ask an owner for a token for each request that waits."""
        # A token is at least as old as the query that it answers.
        asked_s = self._loop.time()
        count = len(tenant.waiting)
        if owner == self._name:
            # The requests may have been read by an earlier configuration.
            grant = self._grant_own(rule.name, count)
        else:
            answer = await self._query(owner, rule.name, count)
            if answer is None:
                tenant.drop_ended()
                return
            grant = answer
        tenant.drop_ended()
        for _ in range(grant.count):
            if tenant.waiting:
                tenant.waiting.popleft().set_result(asked_s)
            else:
                tenant.demand.keep(asked_s)
        is_first = owner == self._suspicions.first_trusted(self._owners(rule))
        tenant.demand.note_grant(
            owner, count, grant, self._loop.time(), is_first=is_first
        )

    async def _query(
        self, owner: str, tenant: str, count: int
    ) -> QuotaGrant | None:
        """Query an owner for tokens; suspect it if it does not answer."""
        try:
            async with asyncio.timeout(OWNER_TIMEOUT_S):
                return await self._send(owner, tenant, count)
        except TimeoutError:
            why = 'no reply'
        except CornelbeamError as error:
            why = str(error)
        _log.warning('quota owner does not answer', peer=owner, why=why)
        self._suspicions.note_silence(owner, self._loop.time())
        # Its answer may only be late.
        self._start_task(self._check(owner, tenant))
        return None

    async def _check(self, owner: str, tenant: str) -> None:
        """Ask a suspected owner for nothing; trust it if it answers."""
        try:
            await self._send(owner, tenant, 0)
        except CornelbeamError:
            return
        if owner in self._suspicions:
            self._suspicions.clear(owner)
            _log.info('quota owner answers again', peer=owner)

    async def _send(self, owner: str, tenant: str, count: int) -> QuotaGrant:
        entry = self._state.members.get(owner)
        if entry is None:
            raise CornelbeamError(
                ErrorCode.PEER_UNREACHABLE, _STEP, owner, 'it has left'
            )
        frame = await self._messenger.ask(
            entry.address,
            quota_request=messages.QuotaRequest(tenant=tenant, count=count),
        )
        reply = frame.quota_grant
        if reply is None:
            raise CornelbeamError(
                ErrorCode.PEER_UNREACHABLE, _STEP, owner, 'it has no quotas'
            )
        wait_s = (reply.wait_ms or 0) / MS_PER_S
        return QuotaGrant(
            max(0, min(reply.count, count)),
            min(_MAX_WAIT_S, max(1 / MS_PER_S, wait_s)),
        )

    def _next_owner(
        self, rule: TenantRule, tenant: _TenantState, asked: Collection[str]
    ) -> str | None:
        """Return the owner to ask next; check suspected ones beside."""
        now_s = self._loop.time()
        owners = self._owners(rule)
        for owner in self._suspicions.due(owners, now_s):
            self._start_task(self._check(owner, rule.name))
        return tenant.demand.next_owner(owners, self._suspicions, now_s, asked)

    def _owners(self, rule: TenantRule) -> list[str]:
        return self._state.members.owners.owners(rule.name, self._domain)

    def _refusal(
        self, rule: TenantRule, tenant: _TenantState
    ) -> CornelbeamError:
        """Return the error for a request for which there is no token."""
        now_s = self._loop.time()
        owners = self._owners(rule)
        wait_s = tenant.demand.refuse(rule, owners, self._suspicions, now_s)
        if wait_s is None:
            return CornelbeamError(
                ErrorCode.PEER_UNREACHABLE,
                _STEP,
                detail='no owner of the quota answers',
            )
        return CornelbeamError(
            ErrorCode.QUOTA_EXCEEDED,
            _STEP,
            detail=f'tenant {rule.name} has used its quota',
            retry_after_ms=math.ceil(wait_s * MS_PER_S),
        )

    def _sweep(self) -> None:
        """Forget tenants without requests, and owners that are gone."""
        now_s = self._loop.time()
        if now_s - self._swept_at_s < _SWEEP_INTERVAL_S:
            return
        self._swept_at_s = now_s
        self._tenants = {
            name: tenant
            for name, tenant in self._tenants.items()
            if tenant.is_asking or not tenant.demand.is_idle(now_s)
        }
        members = self._state.members
        self._suspicions.retain(lambda name: members.get(name) is not None)
