"""Carries out one order, while this daemon owns it."""

import asyncio
from collections.abc import Callable
from typing import Final, final

import anyio
from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.rollout_orders import (
    OrderState,
    Phase,
    RolloutStep,
    active_names,
)
from cornelbeam_core.rollout_plan import ExposureBound, RolloutPlan, Traffic
from cornelbeam_core.rollout_verdict import VersionJudge
from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.logs import get_log
from cornelbeam_wire.gen import messages

from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_mesh.members import MemberEntry
from cornelbeam_mesh.rollout_gate import RolloutGate
from cornelbeam_mesh.rollout_ledger import GateLedger
from cornelbeam_mesh.rollout_view import ServiceRollout

_log = get_log('rollout')
# A gate that doesn't answer must not delay the others.
QUERY_TIMEOUT_S: Final = 0.4
# A step is written again after this time as a sign of life. Each write ends the
# watch of every daemon, so there must be few.
RENEWAL_S: Final = 4.0
# Granted before the rate of requests is known.
FIRST_RESERVED_COUNT: Final = 15
# An older answer says nothing about a target.
OPEN_AGE_S: Final = 2.0
# Gates that are silent for this time are gone or have closed by themselves.
SILENCE_S: Final = 4.0
# Time before the limit until which silent gates are waited for; a slow store
# takes the status within it.
SILENCE_MARGIN_S: Final = 1.8
# Queries of one step.
_QUERY_BITS: Final = 20
# Granted and received requests by name.
_GateCounts = dict[str, tuple[int, int]]
WriteStep = Callable[[RolloutStep], None]
# Returns whether a write was started.
WriteStatus = Callable[[ServiceRollout, OrderState], bool]


@final
class RolloutDriver:
    """Asks the gates, judges the version and decides on the next step."""

    __slots__ = (
        '_gate',
        '_is_completing',
        '_is_store_reachable',
        '_judge',
        '_ledger',
        '_messenger',
        '_plan',
        '_query_count',
        '_state',
        '_write_status',
        '_write_step',
        '_written_s',
        'is_busy',
        'name',
        'rollout',
        'waits_for',
    )

    def __init__(
        self,
        name: str,
        rollout: ServiceRollout,
        bound: ExposureBound,
        state: FleetState,
        gate: RolloutGate,
        messenger: Messenger,
        write_step: WriteStep,
        write_status: WriteStatus,
        is_store_reachable: Callable[[], bool],
    ) -> None:
        """Continue an order after the step that is recorded."""
        self.name = name
        self.rollout = rollout
        self._state = state
        self._gate = gate
        self._messenger = messenger
        self._write_step = write_step
        self._write_status = write_status
        self._is_store_reachable = is_store_reachable
        self._judge = VersionJudge()
        step = rollout.step
        self._ledger = GateLedger(
            rollout.order.to_version, 0 if step is None else step.reserved_count
        )
        self._plan = RolloutPlan(rollout.order.duration_s, bound)
        self._query_count = 0
        self._written_s = float('-inf')
        self.is_busy = False
        self._is_completing = False
        # What the order waits for, as log lines say it.
        self.waits_for = ''

    def first_step(self, now_s: float) -> RolloutStep:
        """Return the step that makes this daemon the owner."""
        step = self.rollout.step
        if step is None:
            return self._make_step(now_s, Phase.TRIAL, 0, FIRST_RESERVED_COUNT)
        phase = self.rollout.phase or step.phase
        return self._make_step(now_s, phase, step.share, step.reserved_count)

    async def tick(self) -> None:
        """Ask all gates once and act on what they say."""
        self.is_busy = True
        try:
            await self._tick()
        finally:
            self.is_busy = False

    async def _tick(self) -> None:
        entries = self._entries()
        await self._ask_all(entries)
        now_s = self._state.rollouts.now_s()
        rollout = self.rollout
        if rollout.ended is not None:
            return
        self._judge.note(*self._ledger.take_slot())
        traffic = self._ledger.traffic(now_s)
        if self._is_completing:
            self._complete()
            return
        if rollout.phase is Phase.STOPPED:
            self._write_status(rollout, OrderState.ROLLED_BACK)
        elif self._judge.is_bad():
            await self._stop(now_s, 'the version is bad')
        elif rollout.phase is Phase.FINAL:
            await self._watch_final(entries, now_s)
        elif rollout.age_s(now_s) >= self._plan.final_at_s:
            await self._begin_final(now_s, traffic)
        else:
            self._continue_trial(entries, now_s, traffic)

    async def _watch_final(
        self, entries: list[MemberEntry], now_s: float
    ) -> None:
        if not self._is_available(now_s):
            await self._stop(now_s, 'too few targets of the version')
        elif self._is_replaced(entries, now_s):
            if self._judge.is_bad(is_last=True):
                await self._stop(now_s, 'the version is probably bad')
            else:
                self._complete()

    async def _begin_final(self, now_s: float, traffic: Traffic) -> None:
        if not self._is_available(now_s):
            self._wait_for('targets of the new version')
            if self.rollout.age_s(now_s) >= self._plan.complete_at_s:
                await self._stop(now_s, 'too few targets of the version')
            else:
                self._renew(now_s, Phase.TRIAL, 0, self._ledger.spent_count)
        elif self._judge.is_bad(is_last=True):
            await self._stop(now_s, 'the version is probably bad')
        elif self._may_write(now_s):
            self._write(now_s, Phase.FINAL, 1, self._ledger.spent_count)

    async def _stop(self, now_s: float, reason: str) -> None:
        """Stop at the gates first: the store may be slow."""
        self.rollout.note_phase(Phase.STOPPED)
        _log.warning(
            'order stopped',
            service=self.rollout.order.service,
            to_version=self.rollout.order.to_version,
            age_ms=int(self.rollout.age_s(now_s) * MS_PER_S),
            total_count=self._ledger.total_count,
            granted_count=self._ledger.spent_count,
            why=reason,
        )
        self._write(now_s, Phase.STOPPED, 0, self._ledger.spent_count)
        await self._ask_all(self._entries())
        self._write_status(self.rollout, OrderState.ROLLED_BACK)

    def _complete(self) -> None:
        """Write the last status.

        Once a write has started, the order is not stopped any more: the old
        version may have been stopped although the answer was lost.
        """
        if self._write_status(self.rollout, OrderState.COMPLETED):
            self._is_completing = True

    def _is_replaced(self, entries: list[MemberEntry], now_s: float) -> bool:
        """Return whether it is time and nothing is in flight at old targets."""
        age_s = self.rollout.age_s(now_s)
        is_late = age_s >= self._plan.duration_s - SILENCE_MARGIN_S
        if age_s < self._plan.complete_at_s:
            self._renew(now_s, Phase.FINAL, 1, self._ledger.spent_count)
            return False
        busy = []
        for entry in entries:
            if not self._is_old(entry):
                continue
            gate = self._ledger.gate(entry, now_s)
            is_silent = now_s - gate.replied_s >= SILENCE_S
            if not gate.is_idle and not (is_silent and is_late):
                busy.append(entry.name)
        self._wait_for(' '.join(busy))
        if busy:
            self._renew(now_s, Phase.FINAL, 1, self._ledger.spent_count)
        return not busy

    def _wait_for(self, waits_for: str) -> None:
        if waits_for and waits_for != self.waits_for:
            _log.info(
                'order waits',
                service=self.rollout.order.service,
                waits_for=waits_for,
            )
        self.waits_for = waits_for

    def _continue_trial(
        self, entries: list[MemberEntry], now_s: float, traffic: Traffic
    ) -> None:
        age_s = self.rollout.age_s(now_s)
        step = self.rollout.step
        if step is None:
            return
        share = self._plan.share(age_s, traffic, step.share)
        limit = min(
            step.reserved_count,
            self._plan.allowed_count(age_s, traffic.total_count),
        )
        granted = self._plan.grant_counts(
            limit, traffic, share, *self._active_gates(share, now_s)
        )
        for entry in entries:
            self._ledger.grant(entry, now_s, granted.get(entry.name, 0))
        reserved = self._plan.reserve_count(
            age_s, share, self._ledger.traffic(now_s)
        )
        is_used_up = reserved > step.reserved_count and limit >= (
            step.reserved_count
        )
        if share != step.share or is_used_up:
            if self._may_write(now_s):
                self._write(now_s, Phase.TRIAL, share, reserved)
        else:
            self._renew(now_s, Phase.TRIAL, share, reserved)

    def _active_gates(
        self, share: float, now_s: float
    ) -> tuple[_GateCounts, str]:
        """Return the counts of gates that get the share, and a spare one."""
        order = self.rollout.order
        serving = {entry.name: entry for entry in self._open_new(now_s)}
        active, spare = active_names(order.key, serving, share)
        gates = {}
        for name in active + spare:
            gate = self._ledger.gate(serving[name], now_s)
            gates[name] = gate.granted_count, gate.request_count
        return gates, ''.join(spare)

    def _entries(self) -> list[MemberEntry]:
        return [
            entry
            for entry in self._state.members.entries()
            if entry.serves(self.rollout.order.service)
        ]

    def _serving_new(self) -> list[MemberEntry]:
        members = self._state.members
        names = {
            record.name
            for record in members.serving(
                self.rollout.order.service, self._state.evacuated_domains
            )
        }
        return [
            entry
            for entry in self._entries()
            if entry.name in names and not self._is_old(entry)
        ]

    def _open_new(self, now_s: float) -> list[MemberEntry]:
        """Return the new targets that work, as their gates have just said."""
        entries = self._serving_new()
        gates = [self._ledger.gate(entry, now_s) for entry in entries]
        return [
            entry
            for entry, gate in zip(entries, gates)
            if gate.is_open and now_s - gate.replied_s < OPEN_AGE_S
        ]

    def _is_available(self, now_s: float) -> bool:
        """Return whether the new version can take all requests.

        Half of its targets suffice: a third of all daemons may be cut off.
        """
        known_count = len(self._entries()) - sum(
            self._is_old(entry) for entry in self._entries()
        )
        open_count = len(self._open_new(now_s))
        return open_count > 0 and open_count * 2 >= known_count

    def _is_old(self, entry: MemberEntry) -> bool:
        target = entry.target
        return (
            target is not None
            and target.version != self.rollout.order.to_version
        )

    async def _ask_all(self, entries: list[MemberEntry]) -> None:
        self._query_count += 1
        async with anyio.create_task_group() as group:
            for entry in entries:
                group.start_soon(self._ask, entry)

    async def _ask(self, entry: MemberEntry) -> None:
        sent_s = self._state.rollouts.now_s()
        rollout = self.rollout
        step_number = 0 if rollout.step is None else rollout.step.number
        query = messages.RolloutQuery(
            service_name=rollout.order.service,
            order_key=rollout.order.key,
            number=(step_number << _QUERY_BITS) + self._query_count,
            phase=rollout.phase or Phase.TRIAL,
            granted_count=self._ledger.gate(entry, sent_s).granted_count,
            is_store_lost=not self._is_store_reachable(),
        )
        counts = await self._exchange(entry, query)
        if counts is None or counts.order_key != rollout.order.key:
            return
        self._ledger.note(entry, counts, sent_s)
        if counts.phase == Phase.STOPPED and rollout.ended is None:
            # An earlier owner has found the version to be bad.
            rollout.note_phase(Phase.STOPPED)

    async def _exchange(
        self, entry: MemberEntry, query: messages.RolloutQuery
    ) -> messages.RolloutCounts | None:
        if entry.name == self.name:
            return self._gate.answer_query(query)
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                frame = await self._messenger.ask(
                    entry.address, rollout_query=query
                )
        except (CornelbeamError, TimeoutError):
            return None
        counts: messages.RolloutCounts | None = frame.rollout_counts
        return counts

    def _may_write(self, now_s: float) -> bool:
        """Return whether enough time has passed since the last write."""
        return now_s - self._written_s >= QUERY_TIMEOUT_S

    def _renew(
        self, now_s: float, phase: Phase, share: float, reserved_count: int
    ) -> None:
        if now_s - self._written_s >= RENEWAL_S:
            self._write(now_s, phase, share, reserved_count)

    def _write(
        self, now_s: float, phase: Phase, share: float, reserved_count: int
    ) -> None:
        self._written_s = now_s
        self._write_step(self._make_step(now_s, phase, share, reserved_count))

    def _make_step(
        self, now_s: float, phase: Phase, share: float, reserved_count: int
    ) -> RolloutStep:
        rollout = self.rollout
        number = 1 if rollout.step is None else rollout.step.number + 1
        return RolloutStep(
            rollout.order.service,
            rollout.order.key,
            self.name,
            number,
            phase,
            share,
            int(rollout.age_s(now_s) * MS_PER_S),
            reserved_count,
            self.waits_for,
        )
