"""Failure detection between the daemons of one service.

The method is SWIM (Das, Gupta, Motivala 2002) with suspicion, and with the
local health multiplier of Lifeguard (Dadgar, Phillips, Currey 2018). Updates
travel in pings and acks only.
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
# In a smaller group each member pings a suspect itself before it holds it
# dead, as few others could pass on a refutation. In a larger one so many
# pings at once would be a burst.
SELF_CHECK_LIMIT: Final = 128


@final
class Membership:
    """Members of this daemon's own service, as it knows them.

    The own entry is not among ``members()``.
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
        '_suspicions',
    )

    def __init__(
        self,
        self_target: Target,
        settings: MembershipSettings,
    ) -> None:
        """Start alone; members come by ``on_updates``."""
        self._settings = settings
        self._self = MemberUpdate(self_target, MemberState.ALIVE)
        self._members: dict[str, MemberUpdate] = {}
        self._pending: dict[str, PendingPing] = {}
        # Time in seconds at which a suspicion becomes a declared death.
        self._suspicions: dict[str, float] = {}
        self._dead_since_s: dict[str, float] = {}
        self._rumors = RumorQueue(settings.transmit_factor)
        self._rumors.add(self._self)
        self._schedule = PingSchedule(settings.dead_ping_every)
        self._health_score = 0

    @property
    def own(self) -> MemberUpdate:
        """What this daemon says about itself."""
        return self._self

    @property
    def health_score(self) -> int:
        """Zero when this observer is sound; its timeouts grow with it."""
        return self._health_score

    @property
    def digest(self) -> str:
        """Digest of the members present, this daemon included."""
        return digest_members(self.view())

    def find(self, name: str) -> MemberUpdate | None:
        """Give what holds for a member, dead ones included."""
        return self._members.get(name)

    def members(self) -> Iterator[MemberUpdate]:
        """Give the other members that are not known to be dead."""
        return (held for held in self._members.values() if held.is_present)

    def view(self) -> Iterator[MemberUpdate]:
        """Give all members present, this daemon included."""
        yield self._self
        yield from self.members()

    def tick(
        self,
        now_s: float,
        rng: random.Random,
    ) -> tuple[MembershipAction, ...]:
        """Send the pings that are due and judge those that failed."""
        gap_s = now_s - self._schedule.last_tick_s
        self._schedule.last_tick_s = now_s
        if gap_s > self._settings.ping_timeout_ms / MS_PER_S:
            self._resume(now_s)
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
        """Take the ack of a member, direct or passed on by another one.

        ``name`` and ``incarnation`` are those that the ack states, as another
        daemon may answer at an address that was reused.
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
        """Take what a ping or an ack says about members."""
        return self._take(updates, now_s, is_view=False)

    def on_view(
        self,
        updates: Iterable[MemberUpdate],
        now_s: float,
    ) -> tuple[MembershipAction, ...]:
        """Take the members that another daemon listed on request.

        Those unknown so far are not passed on: a member spreads its own
        arrival, and others ask for views, too. Passing on a whole view takes
        minutes of full pings in a large group.
        """
        return self._take(updates, now_s, is_view=True)

    def _take(
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
                actions.extend(self._hear_of_self(update))
            else:
                is_known = update.target.name in self._members
                actions.extend(self._accept(update, now_s))
                if is_view and not is_known:
                    self._rumors.discard(update.target.name)
        return tuple(actions)

    def take_updates(self, receiver: str) -> tuple[MemberUpdate, ...]:
        """Choose what the next ping or ack to a member carries.

        A member that is not held alive is told so first, which lets it
        refute. The rest are the updates sent least often so far.
        """
        limit = self._settings.max_update_count
        chosen: list[MemberUpdate] = []
        held = self._members.get(receiver)
        if held is not None and held.state is not MemberState.ALIVE:
            chosen.append(held)
        rumors = self._rumors.take(
            limit - len(chosen),
            group_size=len(self._members) + 1,
        )
        chosen.extend(each for each in rumors if each not in chosen)
        return tuple(chosen)

    def request_ping(self, name: str) -> None:
        """Ping a member next, as its connection broke or went silent."""
        if name in self._members and name not in self._pending:
            self._schedule.add_next(name)

    def leave(self) -> None:
        """Announce that this daemon accepts no new work from now on."""
        self._state_self(MemberState.LEAVING, self._self.refutation)

    def stop(self) -> None:
        """Announce the end, so that nobody needs to detect it."""
        self._state_self(MemberState.DEAD, self._self.refutation)

    def _state_self(self, state: MemberState, refutation: int) -> None:
        self._self = MemberUpdate(self._self.target, state, refutation)
        self._rumors.add(self._self)

    def _hear_of_self(
        self,
        update: MemberUpdate,
    ) -> Iterator[MembershipAction]:
        incarnation = update.target.incarnation
        if incarnation > self._self.target.incarnation:
            yield SelfReplaced(incarnation)
        if update.supersedes(self._self) and (
            incarnation == self._self.target.incarnation
        ):
            # Being suspected hints that this process is slow itself.
            self._raise_health_score()
            self._state_self(self._self.state, update.refutation + 1)

    def _accept(
        self,
        update: MemberUpdate,
        now_s: float,
    ) -> Iterator[MembershipAction]:
        name = update.target.name
        held = self._members.get(name)
        if held is not None and not update.supersedes(held):
            return
        if held is None and not update.is_present:
            # Nothing is known to be dead that was never known to be alive;
            # keeping it would let old news fill the memory.
            return
        self._members[name] = update
        self._rumors.add(update)
        self._suspicions.pop(name, None)
        self._dead_since_s.pop(name, None)
        if update.state is MemberState.SUSPECT:
            self._suspicions[name] = now_s + self._suspicion_s()
            if len(self._members) < SELF_CHECK_LIMIT:
                self.request_ping(name)
        if not update.is_present:
            self._dead_since_s[name] = now_s
            self._pending.pop(name, None)
        yield MemberChanged(update, held)

    def _resume(self, now_s: float) -> None:
        # Acks and refutations that arrived during the pause are still unread,
        # so the time of the pause must not count against anybody.
        self._pending.clear()
        self._raise_health_score()
        for name in self._suspicions:
            self._suspicions[name] = now_s + self._suspicion_s()

    def _check_pending(
        self,
        now_s: float,
        rng: random.Random,
    ) -> Iterator[MembershipAction]:
        for name, pending in tuple(self._pending.items()):
            held = self._members.get(name)
            if held is None or held.target.incarnation != pending.incarnation:
                self._pending.pop(name)
            elif now_s >= pending.fail_at_s:
                self._pending.pop(name)
                yield from self._suspect(held, now_s)
            elif now_s >= pending.indirect_at_s:
                if not pending.is_indirect_sent:
                    pending.is_indirect_sent = True
                    yield from self._ping_indirectly(held, rng)

    def _suspect(
        self,
        held: MemberUpdate,
        now_s: float,
    ) -> Iterator[MembershipAction]:
        if not held.is_present:
            return
        name = held.target.name
        if held.state is MemberState.SUSPECT:
            # After the next other member, so that the rumor spreads as well.
            # The failure was expected and says nothing on this observer.
            self._schedule.add_second(name)
            return
        if held.state is MemberState.LEAVING:
            # The statement "leaving" is kept; only the timer starts.
            self._suspicions.setdefault(name, now_s + self._suspicion_s())
            self._raise_health_score()
            return
        suspicion = MemberUpdate(
            held.target,
            MemberState.SUSPECT,
            held.refutation,
        )
        yield from self._accept(suspicion, now_s)
        self._raise_health_score()

    def _clear_leaving(self, name: str) -> None:
        # A leaving member is not told of its suspicion and cannot refute it.
        if self._members[name].state is MemberState.LEAVING:
            self._suspicions.pop(name, None)

    def _check_suspicions(self, now_s: float) -> Iterator[MembershipAction]:
        due = [
            name
            for name, dead_at_s in self._suspicions.items()
            if now_s >= dead_at_s
        ]
        for name in due:
            held = self._members[name]
            death = MemberUpdate(
                held.target,
                MemberState.DEAD,
                held.refutation,
            )
            yield from self._accept(death, now_s)

    def _ping_indirectly(
        self,
        held: MemberUpdate,
        rng: random.Random,
    ) -> Iterator[SendIndirectPing]:
        target = held.target
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
        present = {held.target.name for held in self.members()}
        name = schedule.choose(
            present,
            present - self._pending.keys(),
            self._dead_since_s,
            rng,
        )
        if name is None:
            return
        held = self._members[name]
        scale = (self._health_score + 1) / MS_PER_S
        self._pending[name] = PendingPing(
            held.target.incarnation,
            now_s + self._settings.ping_timeout_ms * scale,
            now_s + self._settings.ping_period_ms * scale,
        )
        yield SendPing(name, held.target.address, self.take_updates(name))

    def _drop_old_dead(self, now_s: float) -> None:
        keep_s = self._settings.dead_keep_ms / MS_PER_S
        excess = len(self._dead_since_s) - self._settings.dead_limit
        # Insertion order is the order of death.
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

    def _suspicion_s(self) -> float:
        # A refutation needs a time that grows with the logarithm of the group.
        growth = max(1, math.log10(len(self._members) + 1))
        scale = (self._health_score + 1) * growth
        return self._settings.suspicion_ms * scale / MS_PER_S
