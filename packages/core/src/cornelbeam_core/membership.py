"""Failure detection between the daemons of one service.

The protocol is SWIM (Das, Gupta, Motivala 2002) with suspicion and with the
local health multiplier of Lifeguard (Dadgar, Phillips, Currey 2018). Updates
are piggybacked on pings and acks.
"""

import math
import random
from collections.abc import Iterable, Iterator
from typing import Final, final

from cornelbeam_core.members import (
    MemberState,
    MemberUpdate,
    digest_members,
)
from cornelbeam_core.membership_actions import (
    MemberChanged,
    MembershipAction,
    MembershipSettings,
    SelfReplaced,
    SendIndirectPing,
    SendPing,
)
from cornelbeam_core.ping_schedule import PendingPing, PingSchedule
from cornelbeam_core.rumors import RumorQueue
from cornelbeam_core.targets import Target

__all__ = (
    'MemberChanged',
    'Membership',
    'MembershipAction',
    'MembershipSettings',
    'SelfReplaced',
    'SendIndirectPing',
    'SendPing',
)

MS_PER_S: Final = 1000
# In smaller groups every member pings a suspect itself before declaring it
# dead, because few others could relay a refutation. In larger groups that
# would cause a burst of pings.
DIRECT_CHECK_GROUP_SIZE: Final = 128


@final
class Membership:
    """This daemon's knowledge of the members of its own service.

    ``members()`` excludes this daemon itself; ``view()`` includes it.
    """

    __slots__ = (
        '_dead_since_s',
        '_health_score',
        '_members',
        '_pending',
        '_rumors',
        '_schedule',
        '_self',
        '_settings',
        '_suspect_until_s',
    )

    def __init__(
        self,
        self_target: Target,
        settings: MembershipSettings,
    ) -> None:
        """Start without other members; ``on_updates`` adds them."""
        self._settings = settings
        self._self = MemberUpdate(self_target, MemberState.ALIVE)
        self._members: dict[str, MemberUpdate] = {}
        self._pending: dict[str, PendingPing] = {}
        # Time in seconds at which a suspected member is declared dead.
        self._suspect_until_s: dict[str, float] = {}
        self._dead_since_s: dict[str, float] = {}
        self._rumors = RumorQueue(settings.transmit_factor)
        self._rumors.add(self._self)
        self._schedule = PingSchedule(settings.dead_ping_every)
        self._health_score = 0

    @property
    def own(self) -> MemberUpdate:
        """The update that this daemon announces about itself."""
        return self._self

    @property
    def health_score(self) -> int:
        """Local health multiplier: 0 if healthy; timeouts grow with it."""
        return self._health_score

    @property
    def digest(self) -> str:
        """Digest of the present members, including this daemon."""
        return digest_members(self.view())

    def find(self, name: str) -> MemberUpdate | None:
        """Return the latest update about a member, even if it is dead."""
        return self._members.get(name)

    def members(self) -> Iterator[MemberUpdate]:
        """Iterate over the other members that are not known to be dead."""
        return (known for known in self._members.values() if known.is_present)

    def view(self) -> Iterator[MemberUpdate]:
        """Iterate over all present members, including this daemon."""
        yield self._self
        yield from self.members()

    def tick(
        self,
        now_s: float,
        rng: random.Random,
    ) -> tuple[MembershipAction, ...]:
        """Return due pings; handle expired pings and suspicions."""
        gap_s = now_s - self._schedule.last_tick_s
        self._schedule.last_tick_s = now_s
        if gap_s > self._settings.ping_timeout_ms / MS_PER_S:
            self._resume_after_pause(now_s)
        actions = list(self._check_pending(now_s, rng))
        actions.extend(self._check_suspicions(now_s))
        self._drop_old_dead(now_s)
        if now_s >= self._schedule.next_ping_s:
            actions.extend(self._ping_next(now_s, rng))
        return tuple(actions)

    def on_ack(
        self,
        name: str,
        incarnation: int,
        updates: Iterable[MemberUpdate],
        now_s: float,
    ) -> tuple[MembershipAction, ...]:
        """Handle the ack of a member, received directly or through another.

        ``name`` and ``incarnation`` must come from the ack itself, because
        another daemon may answer at a reused address.
        """
        pending = self._pending.get(name)
        if pending is not None and pending.incarnation == incarnation:
            self._pending.pop(name)
            self._health_score = max(0, self._health_score - 1)
            self._clear_leaving(name)
        return self.on_updates(updates, now_s)

    def on_updates(
        self,
        updates: Iterable[MemberUpdate],
        now_s: float,
    ) -> tuple[MembershipAction, ...]:
        """Apply the updates of a ping or an ack."""
        return self._apply_updates(updates, now_s, is_view=False)

    def on_view(
        self,
        updates: Iterable[MemberUpdate],
        now_s: float,
    ) -> tuple[MembershipAction, ...]:
        """Apply the members listed in a view that this daemon requested.

        New members are not gossiped further: a member announces its own
        arrival, and the other daemons request views too. Gossiping a whole
        view in a large group would fill the pings for minutes.
        """
        return self._apply_updates(updates, now_s, is_view=True)

    def _apply_updates(
        self,
        updates: Iterable[MemberUpdate],
        now_s: float,
        *,
        is_view: bool,
    ) -> tuple[MembershipAction, ...]:
        actions: list[MembershipAction] = []
        for update in updates:
            if update.target.service != self._self.target.service:
                continue
            if update.target.name == self._self.target.name:
                actions.extend(self._on_own_entry(update))
            else:
                is_known = update.target.name in self._members
                actions.extend(self._apply_update(update, now_s))
                if is_view and not is_known:
                    self._rumors.discard(update.target.name)
        return tuple(actions)

    def take_updates(self, receiver: str) -> tuple[MemberUpdate, ...]:
        """Choose the updates to piggyback on the next ping or ack.

        A suspect, leaving or dead receiver is sent that update first, which
        lets it refute it. The rest are the updates sent least often so far.
        """
        limit = self._settings.max_update_count
        chosen: list[MemberUpdate] = []
        known = self._members.get(receiver)
        if known is not None and known.state is not MemberState.ALIVE:
            chosen.append(known)
        rumors = self._rumors.take(
            limit - len(chosen),
            group_size=len(self._members) + 1,
        )
        chosen.extend(each for each in rumors if each not in chosen)
        return tuple(chosen)

    def request_ping(self, name: str) -> None:
        """Ping a member next because its connection broke or went silent."""
        if name in self._members and name not in self._pending:
            self._schedule.schedule_next(name)

    def leave(self) -> None:
        """Announce that this daemon accepts no more new work."""
        self._announce_self(MemberState.LEAVING, self._self.refutation)

    def stop(self) -> None:
        """Announce the stop, so that other members need not detect it."""
        self._announce_self(MemberState.DEAD, self._self.refutation)

    def _announce_self(self, state: MemberState, refutation: int) -> None:
        self._self = MemberUpdate(self._self.target, state, refutation)
        self._rumors.add(self._self)

    def _on_own_entry(
        self,
        update: MemberUpdate,
    ) -> Iterator[MembershipAction]:
        incarnation = update.target.incarnation
        if incarnation > self._self.target.incarnation:
            yield SelfReplaced(incarnation)
        if update.supersedes(self._self) and (
            incarnation == self._self.target.incarnation
        ):
            # A suspicion suggests that this process itself is slow.
            self._raise_health_score()
            self._announce_self(self._self.state, update.refutation + 1)

    def _apply_update(
        self,
        update: MemberUpdate,
        now_s: float,
    ) -> Iterator[MembershipAction]:
        name = update.target.name
        known = self._members.get(name)
        if known is not None and not update.supersedes(known):
            return
        if known is None and not update.is_present:
            # Ignore the death of an unknown member; storing it would let
            # stale updates accumulate in memory.
            return
        self._members[name] = update
        self._rumors.add(update)
        self._suspect_until_s.pop(name, None)
        self._dead_since_s.pop(name, None)
        if update.state is MemberState.SUSPECT:
            self._suspect_until_s[name] = now_s + self._suspicion_timeout_s()
            if len(self._members) < DIRECT_CHECK_GROUP_SIZE:
                self.request_ping(name)
        if not update.is_present:
            self._dead_since_s[name] = now_s
            self._pending.pop(name, None)
        yield MemberChanged(update, known)

    def _resume_after_pause(self, now_s: float) -> None:
        # Acks and refutations that arrived while this process was paused are
        # still unread, so the pause must not count towards any timeout.
        self._pending.clear()
        self._raise_health_score()
        for name in self._suspect_until_s:
            self._suspect_until_s[name] = now_s + self._suspicion_timeout_s()

    def _check_pending(
        self,
        now_s: float,
        rng: random.Random,
    ) -> Iterator[MembershipAction]:
        for name, pending in tuple(self._pending.items()):
            known = self._members.get(name)
            if known is None or known.target.incarnation != pending.incarnation:
                self._pending.pop(name)
            elif now_s >= pending.fail_at_s:
                self._pending.pop(name)
                yield from self._suspect(known, now_s)
            elif now_s >= pending.indirect_at_s:
                if not pending.is_indirect_sent:
                    pending.is_indirect_sent = True
                    yield from self._ping_indirectly(known, rng)

    def _suspect(
        self,
        known: MemberUpdate,
        now_s: float,
    ) -> Iterator[MembershipAction]:
        if not known.is_present:
            return
        name = known.target.name
        if known.state is MemberState.SUSPECT:
            # Ping it after the next member, so that the suspicion spreads too.
            # A failure that was expected does not reflect on this observer.
            self._schedule.schedule_after_next(name)
            return
        if known.state is MemberState.LEAVING:
            # Keep the leaving state and only start the suspicion timer.
            self._suspect_until_s.setdefault(
                name, now_s + self._suspicion_timeout_s()
            )
            self._raise_health_score()
            return
        suspicion = MemberUpdate(
            known.target,
            MemberState.SUSPECT,
            known.refutation,
        )
        yield from self._apply_update(suspicion, now_s)
        self._raise_health_score()

    def _clear_leaving(self, name: str) -> None:
        # A leaving member is not told of the suspicion and cannot refute it.
        if self._members[name].state is MemberState.LEAVING:
            self._suspect_until_s.pop(name, None)

    def _check_suspicions(self, now_s: float) -> Iterator[MembershipAction]:
        due = [
            name
            for name, deadline_s in self._suspect_until_s.items()
            if now_s >= deadline_s
        ]
        for name in due:
            known = self._members[name]
            dead_update = MemberUpdate(
                known.target,
                MemberState.DEAD,
                known.refutation,
            )
            yield from self._apply_update(dead_update, now_s)

    def _ping_indirectly(
        self,
        known: MemberUpdate,
        rng: random.Random,
    ) -> Iterator[SendIndirectPing]:
        target = known.target
        others = [
            each.target.address
            for each in self.members()
            if each.target.name != target.name
            and each.state is not MemberState.SUSPECT
        ]
        count = min(self._settings.indirect_count, len(others))
        for via_address in rng.sample(others, count):
            yield SendIndirectPing(via_address, target.name, target.address)

    def _ping_next(
        self,
        now_s: float,
        rng: random.Random,
    ) -> Iterator[SendPing]:
        schedule = self._schedule
        schedule.next_ping_s = now_s + self._settings.ping_period_ms / MS_PER_S
        present = {known.target.name for known in self.members()}
        name = schedule.choose(
            present,
            present - self._pending.keys(),
            self._dead_since_s,
            rng,
        )
        if name is None:
            return
        known = self._members[name]
        scale = (self._health_score + 1) / MS_PER_S
        self._pending[name] = PendingPing(
            known.target.incarnation,
            now_s + self._settings.ping_timeout_ms * scale,
            now_s + self._settings.ping_period_ms * scale,
        )
        yield SendPing(name, known.target.address, self.take_updates(name))

    def _drop_old_dead(self, now_s: float) -> None:
        keep_s = self._settings.dead_keep_ms / MS_PER_S
        excess = len(self._dead_since_s) - self._settings.dead_limit
        # Insertion order is the order in which members were declared dead.
        for index, name in enumerate(tuple(self._dead_since_s)):
            if index >= excess and now_s < self._dead_since_s[name] + keep_s:
                return
            self._dead_since_s.pop(name)
            self._members.pop(name)
            self._rumors.discard(name)

    def _raise_health_score(self) -> None:
        self._health_score = min(
            self._settings.max_health_score,
            self._health_score + 1,
        )

    def _suspicion_timeout_s(self) -> float:
        # The time to refute grows with the logarithm of the group size.
        growth = max(1, math.log10(len(self._members) + 1))
        scale = (self._health_score + 1) * growth
        return self._settings.suspicion_ms * scale / MS_PER_S
