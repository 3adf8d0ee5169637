"""Renewal of the proof that this daemon's configuration is the newest.

Requests with API keys are served only with such a proof, so that a revoked key
is refused within a bounded time also by a daemon that is cut off.
"""

import asyncio
from typing import Final, final

import anyio
from anyio.abc import TaskGroup
from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.freshness_proof import (
    FreshnessProof,
    RenewalSchedule,
    Role,
    age_to_ms,
)
from cornelbeam_core.freshness_sources import order_sources, take_turn
from cornelbeam_core.shared_objects import Listing, era_of
from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.logs import get_log
from cornelbeam_wire import Stream
from cornelbeam_wire.gen import messages
from prometheus_client import Counter

from cornelbeam_mesh.boot_clock import read_boot_time_s
from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_mesh.freshness_plan import FreshnessPlan
from cornelbeam_mesh.members import MemberEntry
from cornelbeam_mesh.metrics import MeshMetrics
from cornelbeam_mesh.peer_sync import PeerSync
from cornelbeam_mesh.store_sync import StoreSync

_log = get_log('config')
# Time for a source to answer before the next one is asked too, as part of the
# time allowed. The slowest way between failure domains takes 9 ms both ways.
_ANSWER_PART: Final = 0.06
# Time, in the same parts, for which a source that failed is asked last. It is
# then taken for one that doesn't read the store.
_AVOIDANCE_PART: Final = 1.0
# Later eras show that the store was restored from a copy at some time.
_FIRST_ERA: Final = 1


@final
class ConfigurationFreshness:
    """Holds, renews and shares the proof; ``check`` refuses without one.

    It does nothing if no time is allowed, and renews nothing while the
    configuration has no tenants.
    """

    __slots__ = (
        '_attempt_count',
        '_early_read',
        '_failed_read_count',
        '_group',
        '_is_refusing',
        '_messenger',
        '_next_read_s',
        '_peer_sync',
        '_plan',
        '_proof',
        '_pulled_position',
        '_refusals',
        '_schedule',
        '_searched_since_s',
        '_state',
        '_store_sync',
        '_wake',
        'clock',
    )

    def __init__(
        self,
        domain: str,
        revocation_ms: int | None,
        state: FleetState,
        store_sync: StoreSync,
        peer_sync: PeerSync,
        messenger: Messenger,
        metrics: MeshMetrics,
    ) -> None:
        """Allow ``revocation_ms``; prefer sources in ``domain``."""
        self._state = state
        self._store_sync = store_sync
        self._peer_sync = peer_sync
        self._messenger = messenger
        self._schedule: RenewalSchedule | None = None
        self._proof = FreshnessProof()
        self._group: TaskGroup | None = None
        self._wake = asyncio.Event()
        self._is_refusing = False
        self._failed_read_count = 0
        # Attempts while all sources are avoided, which ask others in turn.
        self._attempt_count = 0
        self._next_read_s = float('-inf')
        # Time since which this daemon has been looking for its first proof.
        self._searched_since_s: float | None = None
        # Read from before the peers were asked, and when it was requested.
        self._early_read: tuple[Listing, float] | None = None
        # Position of a configuration of another era that was pulled last.
        self._pulled_position = 0
        self._plan = FreshnessPlan(domain, state.members)
        self.clock = read_boot_time_s
        self._refusals: Counter | None = None
        if revocation_ms is not None:
            self._schedule = RenewalSchedule(revocation_ms / MS_PER_S)
            store_sync.on_configuration_read = self._note_read
            self._refusals = metrics.add_freshness(self.age_s)

    def age_s(self) -> float:
        """Return the age of the proof; infinite without one."""
        return self._proof.age_s(self.clock())

    def check(self) -> None:
        """Raise ``configuration_stale`` without a proof that is young enough.

        Do nothing if the deployment doesn't bound revocation.
        """
        schedule = self._schedule
        if schedule is None:
            return
        age_s = self.age_s()
        if age_s < schedule.expiry_s:
            return
        if self._refusals is not None:
            self._refusals.inc()
        if not self._is_refusing:
            self._is_refusing = True
            _log.warning(
                'requests with keys refused, configuration unproven',
                position=self._proof.position,
                age_ms=age_to_ms(age_s) if self._proof.position else -1,
            )
        # The machine may have been suspended.
        self._wake.set()
        raise CornelbeamError(
            ErrorCode.CONFIGURATION_STALE,
            'revocation',
            run_state=RunState.NOT_RUN,
            retry_after_ms=int(schedule.retry_s * MS_PER_S),
        )

    def answer(
        self, stream: Stream, query: messages.ConfigurationAgeQuery
    ) -> None:
        """Tell a peer the age of the proof."""
        age_s = self.age_s()
        schedule = self._schedule
        has_proof = schedule is not None and age_s < schedule.expiry_s
        self._messenger.reply(
            stream,
            configuration_age=messages.ConfigurationAge(
                position=self._proof.position,
                age_ms=age_to_ms(age_s) if has_proof else None,
            ),
        )

    def note_change(self) -> None:
        """Use changed members; start the renewal with the first tenants."""
        self._plan.note_change()
        if self._searched_since_s is None and self._has_tenants():
            self._wake.set()

    async def run(self) -> None:
        """Renew the proof until cancelled."""
        schedule = self._schedule
        if schedule is None:
            return
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._use_early_read)
            while True:
                await self._wait_until_due(schedule)
                started_s = self.clock()
                delay_s = schedule.retry_s
                if not await self._renew(schedule):
                    delay_s = schedule.attempt_delay_s(
                        self._role(), self._counted_age_s(schedule)
                    )
                # A renewal may take longer than the time between two.
                rest_s = started_s + delay_s - self.clock()
                await anyio.sleep(max(0, rest_s))

    async def _wait_until_due(self, schedule: RenewalSchedule) -> None:
        while True:
            self._wake.clear()
            if not self._has_tenants():
                self._searched_since_s = None
                await self._wake.wait()
                continue
            if self._searched_since_s is None:
                self._searched_since_s = self.clock()
            due_in_s = self._renewal_age_s(schedule) - self.age_s()
            if due_in_s <= 0:
                return
            with anyio.move_on_after(due_in_s):
                await self._wake.wait()

    def _renewal_age_s(self, schedule: RenewalSchedule) -> float:
        return schedule.renewal_age_s(
            self._role(), can_read=self._store_sync.is_reachable.is_set()
        )

    def _role(self) -> Role:
        return self._plan.role(self.clock())

    async def _renew(self, schedule: RenewalSchedule) -> bool:
        """Ask peers or the store until one of them has a fresh proof."""
        if self._role().standby_rank == 0 and await self._read(schedule):
            return True
        return await self._ask_peers(schedule) or await self._read(schedule)

    async def _ask_peers(self, schedule: RenewalSchedule) -> bool:
        far_age_s = schedule.far_age_s(self._role())
        avoided = self._plan.avoided(self.clock())
        names = order_sources(
            self._plan.get(),
            avoided,
            is_far_allowed=self._counted_age_s(schedule) >= far_age_s,
        )
        if avoided.issuperset(names):
            self._attempt_count += 1
            names = take_turn(names, self._attempt_count)
        for name in names:
            peer = self._state.members.get(name)
            if peer is None or self._group is None:
                continue
            # An answer that arrives later than this is used too.
            has_answered = asyncio.Event()
            self._group.start_soon(self._ask, schedule, peer, has_answered)
            with anyio.move_on_after(schedule.revocation_s * _ANSWER_PART):
                await has_answered.wait()
            if self.age_s() < self._renewal_age_s(schedule):
                return True
        return False

    async def _ask(
        self,
        schedule: RenewalSchedule,
        peer: MemberEntry,
        has_answered: asyncio.Event,
    ) -> None:
        avoided_until_s = self.clock() + schedule.revocation_s * _AVOIDANCE_PART
        self._plan.avoid(peer.name, avoided_until_s)
        role, age_s = self._plan.get().role, self.age_s()
        is_answered = await self._has_answer(schedule, peer)
        is_younger = self.age_s() < age_s
        if is_younger or (is_answered and not schedule.is_overdue(role, age_s)):
            self._plan.readmit(peer.name)
        has_answered.set()

    async def _has_answer(
        self, schedule: RenewalSchedule, peer: MemberEntry
    ) -> bool:
        """Use the proof of a peer; return whether the peer has answered."""
        sent_s = self.clock()
        try:
            frame = await self._messenger.ask(
                peer.address,
                configuration_age_query=messages.ConfigurationAgeQuery(),
            )
        except CornelbeamError:
            return False
        answer = frame.configuration_age
        if answer is not None and answer.age_ms is not None:
            await self._pull_of_other_era(peer, answer.position)
            self._proof.note_answer(
                self._state.configuration_position,
                answer.position,
                answer.age_ms / MS_PER_S,
                sent_s,
            )
            self._log_renewal(schedule)
        return answer is not None

    async def _pull_of_other_era(
        self, peer: MemberEntry, position: int
    ) -> None:
        """Fetch a configuration from before or after a restore, once.

        Those of the same era are learned by ``PeerSync.catch_up``.
        """
        held_era = era_of(self._state.configuration_position)
        if era_of(position) != held_era and position != self._pulled_position:
            self._pulled_position = position
            await self._peer_sync.pull_without_members(peer)

    def _may_read(self, schedule: RenewalSchedule) -> bool:
        """Return whether it is this daemon's turn to read the store."""
        is_useful = self._store_sync.is_settled and not self._is_early
        return (
            is_useful
            and self._store_sync.is_reachable.is_set()
            and self.clock() >= self._next_read_s
            and self._counted_age_s(schedule)
            >= schedule.read_age_s(self._role())
        )

    async def _read(self, schedule: RenewalSchedule) -> bool:
        """Read the store if it is this daemon's turn and it is reachable."""
        if not self._may_read(schedule):
            return False
        try:
            await self._store_sync.read_configuration()
        except CornelbeamError as error:
            _log.info('configuration not read', why=str(error))
        if self.age_s() < self._renewal_age_s(schedule):
            self._failed_read_count = 0
            return True
        delay_s = schedule.read_delay_s(self._role(), self._failed_read_count)
        self._next_read_s = self.clock() + delay_s
        self._failed_read_count += 1
        return False

    def _note_read(self, listing: Listing, sent_s: float) -> None:
        """Use a linearizable read that was sent at a time."""
        schedule = self._schedule
        if schedule is None:
            return
        if era_of(listing.revision) > _FIRST_ERA:
            self._early_read = listing, sent_s
        if self._is_early:
            return
        self._proof.note_read(
            self._state.configuration_position,
            listing,
            sent_s,
            schedule.expiry_s,
        )
        self._log_renewal(schedule)

    @property
    def _is_early(self) -> bool:
        """Whether reads prove nothing, as peers haven't been asked.

        They may hold a newer configuration than the copy from which the store
        was restored.
        """
        has_asked_peers = self._peer_sync.is_own_entry_known.is_set()
        return self._early_read is not None and not has_asked_peers

    async def _use_early_read(self) -> None:
        """Use a read from before the peers were asked, once they were."""
        await self._peer_sync.is_own_entry_known.wait()
        if self._early_read is not None:
            self._note_read(*self._early_read)

    def _log_renewal(self, schedule: RenewalSchedule) -> None:
        if self._is_refusing and self.age_s() < schedule.expiry_s:
            self._is_refusing = False
            _log.info(
                'requests with keys served again, configuration proven',
                position=self._proof.position,
            )

    def _counted_age_s(self, schedule: RenewalSchedule) -> float:
        """Return the age that decides who reads the store."""
        now_s = self.clock()
        searched_s = now_s - (self._searched_since_s or now_s)
        return min(self._proof.age_s(now_s), schedule.search_age_s(searched_s))

    def _has_tenants(self) -> bool:
        table = self._state.route_table
        return table is not None and table.tenants is not None
