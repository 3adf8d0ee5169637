"""The daemon: its components, its listeners and its planned stop."""

import asyncio
import random
import uuid
from collections.abc import Collection
from pathlib import Path
from typing import Final, final

import anyio
from anyio.abc import TaskGroup
from cornelbeam_core.admission import AdmissionLimit
from cornelbeam_core.directory import ServiceDirectory
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.introducers import WriteIntroducers
from cornelbeam_core.targets import Target
from cornelbeam_object_api.client import ObjectApiClient
from cornelbeam_settings import DaemonSettings
from cornelbeam_wire import KEEP_ALIVE_OPTIONS, Identity, PeerPool, Stream
from cornelbeam_wire.codec import protocol_error
from cornelbeam_wire.gen import messages
from prometheus_client import CollectorRegistry

from cornelbeam_daemon.attempt_records import expire_attempts, make_ledger
from cornelbeam_daemon.backend_client import BackendClient
from cornelbeam_daemon.backend_side import BackendSide
from cornelbeam_daemon.caller_side import CallerSide
from cornelbeam_daemon.calls import Call
from cornelbeam_daemon.config_sync import ConfigSync
from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.fleet_sync import FleetSync
from cornelbeam_daemon.from_settings import (
    find_called_services,
    make_admission_settings,
    make_membership,
    make_own_target,
)
from cornelbeam_daemon.http_server import HttpServerConnection
from cornelbeam_daemon.introducer_tracker import (
    INTRODUCERS_KIND,
    IntroducerTracker,
)
from cornelbeam_daemon.listening import LISTEN_BACKLOG, bind_listener
from cornelbeam_daemon.logs import get_log
from cornelbeam_daemon.memory_budget import MemoryBudget, budget_bytes
from cornelbeam_daemon.memory_metrics import MemoryCollector
from cornelbeam_daemon.metrics import Metrics
from cornelbeam_daemon.peer_acceptor import PeerAcceptor, ignore_streams
from cornelbeam_daemon.peer_client import PeerClient
from cornelbeam_daemon.pipelining import PipelineRules
from cornelbeam_daemon.planned_stop import STOP_POLL_S, drain_callers
from cornelbeam_daemon.probing import EjectedTargetProber, Prober
from cornelbeam_daemon.quarantine_sync import QuarantineSync
from cornelbeam_daemon.routing_table import RoutingTable
from cornelbeam_daemon.silent_connections import SilentConnectionMonitor

_log = get_log('admin')
_relay_log = get_log('relay')
RELAY_CHECK_PERIOD_S: Final = 0.5
# Time to wait for the first configuration before callers are accepted.
CONFIG_WAIT_S: Final = 5.0
# A daemon that knows introducers waits up to this long for them to send the
# configuration before it asks the store. Otherwise the daemons of a failure
# domain that start together would overload the store.
STARTUP_JITTER_S: Final = 2.0
# Idle caller connections stay open this long after a stop is requested, so
# that a request already on its way is still answered.
IDLE_LINGER_S: Final = 1.0


@final
class Daemon:
    """A daemon beside one backend server; ``run`` serves until ``stop``."""

    def __init__(self, settings: DaemonSettings, secret: bytes) -> None:
        """Bind the listeners and connect the components.

        Raise ``OSError`` when an address cannot be bound.
        """
        self.settings = settings
        self.sockets = {
            name: bind_listener(listener.host, listener.port)
            for name, listener in (
                ('caller', settings.caller_listener),
                ('peer', settings.peer_listener),
                ('admin', settings.admin_listener),
            )
        }
        own = make_own_target(
            settings,
            settings.peer_listener.announced_address or self.address('peer'),
        )
        self.own = own
        self.metrics = Metrics(CollectorRegistry())
        self.table = RoutingTable(own.name, own.domain)
        self._rng = random.Random()
        self._stop = asyncio.Event()
        self._admin_stop = asyncio.Event()
        self._admin_ended = asyncio.Event()
        self._callers: set[HttpServerConnection] = set()
        self.budget = MemoryBudget(budget_bytes(settings.limits.memory_mb))
        MemoryCollector(self.budget, self.metrics.registry)
        self._identity = Identity(
            own.name,
            own.service,
            own.domain,
            own.incarnation,
            own.address,
            secret,
        )
        self._pool = PeerPool(
            self._identity,
            ignore_streams,
            on_backlog=self.budget.open_account().add,
        )
        self._messenger = Messenger(self._pool, self.metrics)
        self.quarantine = QuarantineSync(
            own.name,
            self._service_peers,
            self._messenger,
            lambda exchange: self.fleet.start_task(exchange),
            self._rng,
        )
        self.admission = AdmissionLimit(make_admission_settings(settings))
        client = BackendClient(
            settings.backend_server.host,
            settings.backend_server.port,
            settings.backend_server.connection_count,
            self.budget,
        )
        self.backend_side = BackendSide(
            own.name,
            self.admission,
            make_ledger(own.incarnation),
            client,
            self.metrics,
            lambda: self.table.is_own_domain_in_service,
            self.quarantine,
        )
        self._acceptor = PeerAcceptor(
            self._identity,
            self.backend_side,
            self._on_control,
            budget=self.budget,
        )
        self.prober = Prober(
            settings,
            client,
            self.backend_side,
            self.metrics,
        )
        self._ejected_prober = EjectedTargetProber(
            own.name,
            self.table,
            self._messenger,
            self._rng,
        )
        self.caller_side = CallerSide(
            own.name,
            self.table,
            PeerClient(self._pool, self.budget),
            self.backend_side,
            settings.limits,
            settings.policy.selection,
            self.metrics,
            self.quarantine,
        )
        self.config = ConfigSync(
            self._messenger,
            lambda: self.fleet.peers(),
            self.table.apply_configuration,
            self.table.mark_synced,
            self._rng,
        )
        self._introducers = IntroducerTracker(
            own,
            self.config.state,
            settings.fleet.introducers,
        )
        self.fleet = FleetSync(
            make_membership(settings, own),
            ServiceDirectory(
                find_called_services(settings),
                settings.fleet.view_period_ms,
            ),
            self.config.state,
            self._messenger,
            self._introducers,
            settings.fleet.view_period_ms,
            self._rng,
        )
        self.fleet.on_revision = self.config.on_peer_revision
        self._silent_connections = SilentConnectionMonitor(
            self._pool,
            settings.limits.silence_ms,
            lambda: self.config.state.revision,
            own.service,
        )

    def address(self, listener: str) -> str:
        """Return the bound ``ip:port`` of a listener."""
        host, port = self.sockets[listener].getsockname()[:2]
        return f'{host}:{port}'

    def stop(self) -> None:
        """Request a planned stop."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until a stop is requested and all work in flight is done."""
        loop = asyncio.get_running_loop()
        peer_server = await loop.create_server(
            self._acceptor.accept,
            sock=self.sockets['peer'],
            backlog=LISTEN_BACKLOG,
        )
        async with (
            ObjectApiClient(
                self.settings.object_api.base_url,
                self.settings.object_api.timeout_ms,
                KEEP_ALIVE_OPTIONS,
            ) as client,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self.fleet.run)
            group.start_soon(self._apply_member_changes)
            group.start_soon(expire_attempts, self.backend_side.ledger)
            group.start_soon(self._silent_connections.run)
            group.start_soon(self._ejected_prober.run)
            group.start_soon(self._manage_relay, client, group)
            group.start_soon(self._write_introducers, client)
            group.start_soon(self._serve_admin)
            self._apply_members()
            caller_server = await self._serve_callers()
            _log.info('serving', target=self.own.name)
            await self._stop.wait()
            await self._drain(caller_server)
            peer_server.close()
            self._admin_stop.set()
            await self._admin_ended.wait()
            group.cancel_scope.cancel()
        self._pool.close()
        for connection in tuple(self._acceptor.connections):
            connection.close()
        _log.info('stopped', target=self.own.name)

    async def _serve_admin(self) -> None:
        from cornelbeam_daemon.admin import serve_admin  # noqa: PLC0415

        try:
            await serve_admin(self, self._admin_stop)
        finally:
            self._admin_ended.set()

    async def _serve_callers(self) -> asyncio.Server:
        """Accept callers once the configuration is known.

        If neither a peer nor the store sends it within ``CONFIG_WAIT_S``,
        callers are accepted without it, but no request is repeated.
        """
        with anyio.move_on_after(CONFIG_WAIT_S):
            await self.config.synced.wait()
        if not self.config.synced.is_set():
            _log.warning('serving without configuration')
        return await asyncio.get_running_loop().create_server(
            lambda: HttpServerConnection(
                self.caller_side.handle,
                self.settings.limits.head_bytes,
                self.settings.limits.body_bytes,
                self._callers,
                pipeline_rules=PipelineRules(
                    self.settings.limits.pipelined_count,
                    self.caller_side.may_overlap,
                ),
                budget=self.budget,
            ),
            sock=self.sockets['caller'],
            backlog=LISTEN_BACKLOG,
        )

    async def _drain(self, caller_server: asyncio.Server) -> None:
        """Refuse new work, finish the work in flight and leave the fleet."""
        _log.info('leaving', in_flight=self.backend_side.work_count)
        self.backend_side.is_leaving = True
        self.fleet.membership.leave()
        self.fleet.announce()
        caller_server.close()
        with anyio.move_on_after(self.settings.limits.drain_ms / 1000):
            await anyio.sleep(IDLE_LINGER_S)
            await drain_callers(
                self._callers,
                lambda: self.backend_side.work_count,
            )
        self.fleet.membership.stop()
        self.fleet.announce()
        # Let the announcement be sent before the connections are closed.
        await anyio.sleep(STOP_POLL_S)

    def _on_control(self, stream: Stream, frame: messages.Frame) -> None:
        try:
            self._dispatch_control(stream, frame)
        except ValueError as error:
            raise protocol_error(str(error)) from error

    def _dispatch_control(self, stream: Stream, frame: messages.Frame) -> None:
        peer = stream.connection.peer
        assert peer is not None  # noqa: S101
        self._messenger.count_received(frame)
        if frame.ping is not None:
            self.fleet.answer_ping(stream, frame.ping)
        elif frame.indirect_ping is not None:
            self.fleet.answer_indirect_ping(stream, frame.indirect_ping)
        elif frame.view_request is not None:
            self.fleet.answer_view_request(stream, frame.view_request)
        elif frame.probe_request is not None:  # noqa: WPS223 - one per message
            self.fleet.start_task(self.prober.answer(stream, self._messenger))
        else:
            self.quarantine.answer(stream, frame, self.fleet.acknowledge)
            self._dispatch_config(stream, frame, peer.address)

    def _dispatch_config(
        self,
        stream: Stream,
        frame: messages.Frame,
        sender: str,
    ) -> None:
        if frame.config_pull is not None:
            self.config.answer_pull(stream, frame.config_pull)
        elif frame.config_push is not None:
            self.config.on_push(frame.config_push, sender)

    def _service_peers(self, calls: Collection[Call]) -> list[Target]:
        """Return the other members of the own service.

        The calls ran at the own backend server, so repetitions go to those of
        the same service.
        """
        return [
            target
            for target in self.fleet.targets(self.own.service)
            if target.name != self.own.name
        ]

    def _apply_members(self) -> None:
        has_changed = False
        for service in self.fleet.services():
            targets = self.fleet.targets(service)
            if self.table.replace_targets(service, targets):
                has_changed = True
        if has_changed:
            self.caller_side.forget_removed_targets()

    async def _apply_member_changes(self) -> None:
        is_quarantine_known = False
        while True:
            await self.fleet.members_changed.wait()
            self.fleet.members_changed.clear()
            peers = self._service_peers(())
            if peers and not is_quarantine_known:
                is_quarantine_known = True
                self.fleet.start_task(
                    self.quarantine.pull(self.own.service, peers)
                )
            if self.fleet.replaced_by_incarnation > self.own.incarnation:
                _log.error('replaced by a later run of this target')
                self.stop()
            self._apply_members()

    async def _manage_relay(
        self,
        client: ObjectApiClient,
        group: TaskGroup,
    ) -> None:
        scope: anyio.CancelScope | None = None
        if self.settings.fleet.introducers:
            with anyio.move_on_after(self._rng.uniform(0, STARTUP_JITTER_S)):
                await self.config.synced.wait()
        while True:
            is_relay = self._introducers.is_relay()
            if is_relay and scope is None:
                scope = anyio.CancelScope()
                group.start_soon(self._relay, client, scope)
            elif not is_relay and scope is not None:
                scope.cancel()
                scope = None
            await anyio.sleep(RELAY_CHECK_PERIOD_S)

    async def _relay(
        self,
        client: ObjectApiClient,
        scope: anyio.CancelScope,
    ) -> None:
        with scope:
            await self.config.relay(client)

    async def _write_introducers(self, client: ObjectApiClient) -> None:
        while True:
            await anyio.sleep(RELAY_CHECK_PERIOD_S)
            while self._introducers.pending_writes:
                await _write_introducer_list(
                    client, self._introducers.pending_writes.pop()
                )


async def _write_introducer_list(
    client: ObjectApiClient, action: WriteIntroducers
) -> None:
    try:
        await client.put(
            INTRODUCERS_KIND,
            action.domain,
            {'addresses': list(action.addresses)},
            action.expected_version,
            uuid.uuid4().hex,
        )
    except CornelbeamError as error:
        # Another daemon wrote first or the store is unavailable; the next tick
        # decides again.
        _relay_log.info('failed to write introducers', why=str(error))
    else:
        _relay_log.info('introducers written', domain=action.domain)


def read_secret(path: str) -> bytes:
    """Return the fleet's secret; raise ``OSError`` if it cannot be read."""
    return Path(path).read_bytes().strip()
