"""Assembly of the daemon: its components, listeners and planned stop."""

import asyncio
import random
import time
from collections.abc import Coroutine
from typing import Any, Final, final

import anyio
from anyio.abc import TaskGroup
from cornelbeam_core.deadlines import StopDeadline
from cornelbeam_core.quota_shares import QuotaBounds
from cornelbeam_core.repeat_budget import RepeatBudget
from cornelbeam_core.routes import ServiceRule
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_core.target_gate import TargetGate
from cornelbeam_core.tickets import ColdBound
from cornelbeam_daemon.attempt_records import expire_attempts, make_ledger
from cornelbeam_daemon.backend_client import BackendClient
from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.http_server import HttpServerConnection
from cornelbeam_daemon.logs import get_log
from cornelbeam_daemon.memory_budget import MemoryBudget, budget_bytes
from cornelbeam_daemon.peer_acceptor import ignore_streams
from cornelbeam_daemon.peer_client import PeerClient
from cornelbeam_daemon.pipelining import PipelineRules
from cornelbeam_daemon.planned_stop import drain_callers
from cornelbeam_daemon.quarantine_sync import QuarantineSync
from cornelbeam_daemon.silent_connections import SilentConnectionMonitor
from cornelbeam_wire import Identity, PeerPool, RevisionExchange

from cornelbeam_mesh.admission import AdmissionController
from cornelbeam_mesh.caller_identity import CallerIdentifier
from cornelbeam_mesh.configuration_freshness import ConfigurationFreshness
from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_mesh.forwarded_request import RequestReader
from cornelbeam_mesh.forwarding import Forwarder
from cornelbeam_mesh.listeners import Listeners, apply_limits, default_limits
from cornelbeam_mesh.members import (
    MemberEntry,
    TargetEntry,
    decode_member,
    encode_member,
    member_version,
)
from cornelbeam_mesh.metrics import MeshMetrics
from cornelbeam_mesh.peer_endpoint import PeerEndpoint
from cornelbeam_mesh.peer_sync import PeerSync
from cornelbeam_mesh.platform_adapter import PlatformAdapter, Store
from cornelbeam_mesh.registration import Registration
from cornelbeam_mesh.rollout_gate import RolloutGate
from cornelbeam_mesh.rollout_metrics import RolloutCollector
from cornelbeam_mesh.rollout_owner import make_rollout_owner, rollout_kinds
from cornelbeam_mesh.settings import MeshSettings, split_address
from cornelbeam_mesh.status_pages import StatusPages
from cornelbeam_mesh.store_sync import StoreSync
from cornelbeam_mesh.target_client import TargetClient
from cornelbeam_mesh.target_exchange import TargetExchange
from cornelbeam_mesh.target_observer import TargetObserver
from cornelbeam_mesh.target_probe import TargetProbe
from cornelbeam_mesh.tenant_quotas import TenantQuotas
from cornelbeam_mesh.waiting import wait_for_first

_log = get_log('admin')
# More than any target has slots; the gate limits how many are used at once.
MAX_BACKEND_CONNECTIONS: Final = 200
# Time between failing readiness after SIGTERM and refusing callers. Callers
# that check once a second and leave after two failures are gone by then.
READINESS_FAILURE_S: Final = 2.2
# Part of the grace period that remains when the last connections are closed.
STOP_MARGIN_S: Final = 0.5
# Part of the grace period that remains when the last requests are answered.
ANSWER_MARGIN_S: Final = 0.8
# Time in which a target that starts together with its daemon registers.
FIRST_TARGET_TIMEOUT_S: Final = 1.0
# Time for a peer to take a departure; targets wait one second for its
# confirmation.
SHARING_TIMEOUT_S: Final = 0.4
# Time for a peer to state an entry that the store may not hold. Nobody reaches
# the target of a daemon that has not joined.
OWN_ENTRY_TIMEOUT_S: Final = 0.2
# A peer connection with open calls is given up after this silence, because
# calls between services have half a second in total.
SILENCE_MS: Final = 300


@final
class Sidecar:
    """The daemon of one instance; ``run`` serves until ``stop`` is called."""

    def __init__(
        self,
        settings: MeshSettings,
        adapter: PlatformAdapter,
        store: Store,
    ) -> None:
        """Bind the listeners and create all components.

        Raise ``OSError`` if an address cannot be bound.
        """
        self.settings = settings
        listeners = settings.listeners
        self._budget = MemoryBudget(budget_bytes(settings.limits.memory_mb))
        self._input_limits = default_limits()
        self._listeners = Listeners(listeners.addresses, self._budget)
        self._store = store
        self._rng = random.Random()
        self._stop = asyncio.Event()
        self._stop_deadline = StopDeadline()
        self._is_leaving = False
        # Set when a planned stop no longer accepts callers.
        self._is_refusing_callers = False
        self._has_joined = False
        self._caller_connections: set[HttpServerConnection] = set()
        self._group: TaskGroup | None = None
        name, domain = settings.instance.name, settings.instance.domain
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self.metrics = MeshMetrics()
        self.state = FleetState(name)
        self.state.on_change = self._on_state_change
        self.registration = Registration(
            adapter,
            settings.backend_server.address,
            settings.backend_server.heartbeat_interval_ms,
            self._publish,
            lambda heartbeat: self._probe.note_heartbeat(heartbeat),
            self._share_departure,
        )
        self._identity = Identity(
            name,
            settings.instance.service,
            domain,
            self._incarnation,
            listeners.peers,
            # No secret: the platform's network admits only its own machines.
            b'',
        )
        revisions = RevisionExchange(
            lambda: self.state.store_revision,
            lambda peer, revision: self.peer_sync.note_revision(peer, revision),
        )
        self._pool = PeerPool(
            self._identity,
            ignore_streams,
            revisions,
            self._budget.open_account().add,
        )
        self._messenger = Messenger(self._pool, self.metrics)
        self.quarantine = QuarantineSync(
            name,
            self.state.peers_for_calls,
            self._messenger,
            self._start_task,
            self._rng,
        )
        bounds = settings.bounds
        self.quotas = TenantQuotas(
            name,
            domain,
            self.state,
            self._messenger,
            self._start_task,
            QuotaBounds(
                bounds.quota_window_s,
                bounds.quota_overage,
                bounds.quota_slack_count,
            ),
            self.metrics,
        )
        self._gate = TargetGate(
            ColdBound(bounds.cold_factor, bounds.cold_slack_count),
        )
        self._retry_budget = RepeatBudget(
            bounds.retry_ratio,
            bounds.retry_slack_count,
            bounds.retry_window_s,
        )
        host, port = split_address(settings.backend_server.address)
        self._backend = BackendClient(
            host, port, MAX_BACKEND_CONNECTIONS, self._budget
        )
        observer = TargetObserver(
            adapter, self._gate, self.registration.note_departure
        )
        ledger = make_ledger(self._incarnation)
        self.admission = AdmissionController(
            name,
            self._gate,
            self._retry_budget,
            ledger,
            TargetExchange(
                name,
                adapter,
                self._backend,
                ledger,
                observer,
            ),
            self._local_target,
            lambda: domain in self.state.evacuated_domains,
            self.quarantine,
            self._stop_deadline,
            RolloutGate(
                self.state.rollouts,
                self._local_target,
                self._gate,
                ledger,
                lambda: self.store_sync.is_reachable.is_set(),
                lambda: self.admission.is_open(),
            ),
        )
        self._probe = TargetProbe(
            adapter,
            settings.backend_server.address,
            self._gate,
            self.admission,
            self._backend,
            observer,
            self._local_target,
            self._local_service,
        )
        self.admission.on_failure = self._probe.request_probe
        self.admission.on_slow_queue = self._probe.request_probe
        self.admission.on_start = self._probe.note_start
        self.admission.measure_speed = self._probe.measure_speed
        self._silence_monitor = SilentConnectionMonitor(
            self._pool,
            SILENCE_MS,
            lambda: self.state.store_revision,
            settings.instance.service,
        )
        self.store_sync = StoreSync(
            store, self.state, self._rng, rollout_kinds(bounds)
        )
        self._rollout_owner = make_rollout_owner(
            name,
            bounds,
            self.state,
            self.admission.rollouts,
            store,
            self.store_sync.is_reachable.is_set,
            self._messenger,
            self._start_task,
            lambda step: self._start_task(self.peer_sync.announce(step)),
        )
        if self._rollout_owner is not None:
            self.store_sync.may_own_rollouts = self._rollout_owner.is_candidate
        self.peer_sync = PeerSync(
            domain,
            self.state,
            self.store_sync,
            self._messenger,
            self._rng,
        )
        self.freshness = ConfigurationFreshness(
            domain,
            bounds.revocation_ms,
            self.state,
            self.store_sync,
            self.peer_sync,
            self._messenger,
            self.metrics,
        )
        self._peer_endpoint = PeerEndpoint(
            self._identity,
            self.admission,
            self.peer_sync,
            self._messenger,
            self._on_control_message,
            revisions,
            self.quarantine,
            self.freshness,
            self.quotas,
            self._budget,
        )
        self._reader = RequestReader(
            adapter,
            self.state,
            settings.instance.service,
            host,
            self.admission.origins,
            self._stop_deadline,
            CallerIdentifier(
                adapter.headers,
                host,
                self.admission.origins,
                self.freshness.check,
            ),
            self._input_limits,
        )
        self.forwarder = Forwarder(
            domain,
            self.state,
            self._reader,
            TargetClient(
                name,
                adapter,
                self.state.members,
                self.admission,
                PeerClient(self._pool, self._budget),
                self._rng,
            ),
            self.admission,
            self.metrics,
            self._on_stale_entry,
            self.quarantine,
            self.quotas,
            self._rng,
            self._stop_deadline,
        )

        self.metrics.add_gauges(
            self._gate,
            self.store_sync.is_reachable.is_set,
            lambda: observer.limit_per_s or 0,
            lambda: self.state.configuration_version,
            lambda: self.quarantine.count,
            lambda: store.unreadable_count,
            lambda: self.quotas.bucket_count,
        )
        self.metrics.add_collector(
            RolloutCollector(
                self.state.rollouts, self.admission.rollouts, self._local_target
            )
        )
        self.metrics.add_budget(self._budget)

    def stop(self) -> None:
        """Request a planned stop."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until a stop is requested and all calls have ended."""
        try:
            await self._serve()
        finally:
            await self._close()
        _log.info('stopped', member=self.settings.instance.name)

    async def _serve(self) -> None:
        addresses, serve = self.settings.listeners, self._listeners.serve_http
        pages = StatusPages(
            self.metrics, self._is_ready, self.state.unsupported_routes
        )
        await self._listeners.serve(
            addresses.peers, self._peer_endpoint.acceptor.accept
        )
        await serve(addresses.registration, self.registration.handle)
        await serve(addresses.readiness, pages.answer_readiness)
        await serve(addresses.metrics, pages.answer_metrics)
        await serve(
            addresses.callers,
            self.forwarder.handle,
            self._caller_connections,
            self._on_caller_connection,
            PipelineRules(
                self.settings.limits.pipelined_count,
                self._reader.may_overlap,
            ),
            self._input_limits,
        )
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self.store_sync.run)
            group.start_soon(self.peer_sync.run)
            group.start_soon(self.peer_sync.ping_lost_peers)
            group.start_soon(self.peer_sync.catch_up)
            group.start_soon(self.freshness.run)
            group.start_soon(self._probe.run)
            group.start_soon(self._silence_monitor.run)
            if self._rollout_owner is not None:
                group.start_soon(self._rollout_owner.run)
            group.start_soon(expire_attempts, self.admission.ledger)
            group.start_soon(self._join)
            _log.info(
                'serving',
                member=self.settings.instance.name,
                service=self.settings.instance.service,
                incarnation=self._incarnation,
            )
            await self._stop.wait()
            await self._drain()
            group.cancel_scope.cancel()

    async def _close(self) -> None:
        # A crash may still be found while connections close.
        self._group = None
        await self._store.close()
        self._listeners.close()
        for caller in tuple(self._caller_connections):
            caller.abort()
        for peer in tuple(self._peer_endpoint.acceptor.connections):
            peer.close()
        self._pool.close()
        self._backend.close()

    async def _join(self) -> None:
        """Announce this run once the entry of an earlier run is known.

        If the store is unreachable at the start, the entry comes from the
        first peer that contacts this daemon.
        """
        await wait_for_first(
            self.store_sync.is_listed,
            self.peer_sync.has_pulled,
        )
        service = self.settings.instance.service
        peers = self.state.peers_beside({service})
        self._start_task(self.quarantine.pull(service, peers))
        self._start_task(self.peer_sync.pull_from_any())
        name = self.settings.instance.name
        if self.state.get(SharedKind.MEMBER, name) is not None:
            # The store may have been down when the entry last changed.
            with anyio.move_on_after(OWN_ENTRY_TIMEOUT_S):
                await self.peer_sync.is_own_entry_known.wait()
        stored = self.state.get(SharedKind.MEMBER, name)
        entry = None if stored is None else decode_member(stored)
        if entry is not None:
            # The clock may have been set back since the earlier run.
            first_version = member_version(self._incarnation, 0)
            self._sequence = max(0, entry.version - first_version)
            self.registration.restore(entry.target)
        with anyio.move_on_after(FIRST_TARGET_TIMEOUT_S):
            # The first write to the store then includes the target.
            await self.registration.is_target_known.wait()
        self._has_joined = True
        self.quotas.note_joined(
            is_restart=entry is not None and not entry.is_leaving
        )
        self._publish()

    def _publish(self) -> None:
        """Send this daemon's current entry to the store and the peers."""
        if not self._has_joined:
            return
        self._sequence += 1
        entry = MemberEntry(
            self.settings.instance.name,
            self.settings.instance.domain,
            self.settings.listeners.peers,
            self._incarnation,
            self._sequence,
            self._is_leaving,
            self.registration.entry,
        )
        own_entry = encode_member(entry)
        self.state.merge([own_entry], 'self')
        self.store_sync.write(own_entry)
        self.admission.reevaluate_waiting()
        if not self.admission.is_reachable:
            # A newly registered target gets calls only after a probe has shown
            # whether it is cold.
            self._probe.request_probe()
        self._start_task(self.peer_sync.announce(own_entry))

    async def _share_departure(self) -> None:
        """Wait for a short time until a peer holds this daemon's entry."""
        own_entry = self.state.get(
            SharedKind.MEMBER, self.settings.instance.name
        )
        if not self._has_joined or own_entry is None:
            return
        try:
            with anyio.fail_after(SHARING_TIMEOUT_S):
                await self.peer_sync.share(own_entry)
        except TimeoutError:
            _log.warning('departure confirmed before a peer has it')

    def _on_state_change(self, kinds: set[SharedKind]) -> None:
        self.freshness.note_change()
        self.quotas.note_members()
        table = self.state.route_table
        if table is not None:
            apply_limits(self._input_limits, table.limits)
        target = self._local_target()
        if target is not None:
            self._gate.resize(target.slot_count)
            self._retry_budget.divide_among(
                self.state.members.count_service(target.service),
            )
        self.admission.reevaluate_waiting()

    def _on_stale_entry(self, member: MemberEntry) -> None:
        self._start_task(self.peer_sync.refresh_entry(member))

    def _on_control_message(self, name: str, address: str) -> None:
        """Pull from a peer that contacts this daemon before it has joined."""
        if not self._has_joined:
            self._start_task(self.peer_sync.pull(name, address))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        if self._group is None:
            work.close()
            return
        self._group.start_soon(_run_coroutine, work)

    def _local_target(self) -> TargetEntry | None:
        return self.registration.entry

    def _local_service(self) -> ServiceRule | None:
        target = self.registration.entry
        table = self.state.route_table
        if target is None or table is None:
            return None
        return table.services.get(target.service)

    def _is_ready(self) -> bool:
        return self.state.route_table is not None and not self._is_leaving

    def _on_caller_connection(self, connection: HttpServerConnection) -> None:
        """Refuse connections that arrive too late in a planned stop.

        Callers and the backend server may have the same address, so calls of
        the backend server can't be distinguished here and are refused too.
        """
        if self._is_refusing_callers:
            # Nothing was read, so the caller can safely retry elsewhere.
            connection.close_when_idle()

    async def _drain(self) -> None:
        """Divert new calls, then wait for the calls in flight to finish."""
        _log.info('leaving', in_flight=self.forwarder.in_flight_count)
        self._is_leaving = True
        self._publish()
        grace_s = self.settings.bounds.grace_s
        self._limit_work(grace_s - ANSWER_MARGIN_S)
        with anyio.move_on_after(grace_s - STOP_MARGIN_S):
            await anyio.sleep(READINESS_FAILURE_S)
            self._is_refusing_callers = True
            await drain_callers(
                self._caller_connections,
                lambda: (
                    self.admission.work_count
                    + self._peer_endpoint.acceptor.call_count
                ),
            )

    def _limit_work(self, duration_s: float) -> None:
        """Answer everything within a time, as nothing is answered after it."""
        loop = asyncio.get_running_loop()
        at_s = loop.time() + duration_s
        self._stop_deadline.begin(at_s)
        self.forwarder.stop_limits.begin()
        loop.call_at(at_s, self.admission.reevaluate_waiting)


async def _run_coroutine(work: Coroutine[Any, Any, None]) -> None:
    await work
