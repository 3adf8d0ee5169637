"""Decides which calls run at a target now, which wait and which go back.

All calls to a target pass the gate beside it, so the gate knows how many are
in work. It answers four loads: more calls than the target has slots for,
more than it can serve in time for long, calls at a target that has just
started and accepts only a few a second, and calls that arrive while a
neighbour makes the host slow for a moment.
"""

import enum
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.budget import TokenBucket
from cornelbeam_core.host_speed import HostSpeed

# Targets slow down when they are nearly full: above this share of the slots,
# one more call costs the others more than it gains.
FULL_SPEED_SHARE: Final = 0.8
# Operators set objectives at some three times the usual work.
UNSEEN_OBJECTIVE_SHARE: Final = 1 / 3
# Smoothing of the service time; some ten answers show a change of load.
SERVICE_TIME_GAIN: Final = 0.1
# Assumed until the first answers are in.
INITIAL_SERVICE_TIME_S: Final = 0.2
# Share of the bound of a cold target that is used; the rest covers calls that
# arrive closer together than they were sent.
COLD_BOUND_SHARE: Final = 0.9
# Share of the slack that may start at the same moment.
COLD_BURST_SHARE: Final = 0.4
# A call that was held back this long for a slow spell goes back to its sender:
# another target may be fast by now.
HOLD_LIMIT_S: Final = 0.15
# A call that was let into the line waits at least until the next answers.
LEAST_WAIT_S: Final = 0.02
# Smoothing and range of the correction of expected waits; shorter waits than
# the least one say more about the order of events than about the load.
WAIT_GAIN: Final = 0.1
MIN_WAIT_FACTOR: Final = 0.5
MAX_WAIT_FACTOR: Final = 3
MIN_LEARNED_WAIT_S: Final = 0.01
# Waiting calls for each call in work; more would wait longer than most
# callers do.
QUEUE_PER_SLOT: Final = 4


@final
class Refusal(enum.Enum):
    """Why the gate sends a call back; in each case it has not run."""

    NO_TARGET = 'no_target'
    DRAINING = 'draining'
    EVACUATED = 'evacuated'
    FULL = 'full'
    TOO_LATE = 'too_late'
    REPEATS = 'repeats'


@final
@dataclass(frozen=True, slots=True)
class ColdBound:
    """What a cold target gets at most in one second.

    That is ``factor`` times the rate it accepts, plus ``slack_count``.
    """

    factor: float
    slack_count: float

    def usable_per_s(self, cold_per_s: float) -> float:
        """Give the rate at which calls may start after a burst."""
        usable_count = cold_per_s * self.factor + self.slack_count
        usable_count *= COLD_BOUND_SHARE
        return max(1, usable_count - self.usable_burst_count)

    @property
    def usable_burst_count(self) -> float:
        """Give the calls that may start at the same moment."""
        return max(1, self.slack_count * COLD_BURST_SHARE)


@final
@dataclass(frozen=True, slots=True)
class Ticket:
    """A call at the gate.

    It waits at most until ``give_up_at_s``, is worth most to its caller if
    it ends before ``objective_at_s`` and of no use after ``deadline_s``.
    ``route`` names the kind of work. Calls that a running request waits for
    go first: they free the slot that the request holds elsewhere.
    """

    call: Hashable
    is_nested: bool
    priority: int
    give_up_at_s: float
    objective_at_s: float
    deadline_s: float
    route: str


@final
class TargetGate:
    """Slots, queue and cold rate of one target.

    >>> gate = TargetGate(ColdBound(factor=1.5, slack_count=5))
    >>> gate.resize(slot_count=5)
    >>> gate.limit
    4
    """

    __slots__ = (
        '_cold_bound',
        '_cold_bucket',
        '_cold_per_s',
        '_cold_until_s',
        '_waiting',
        'limit',
        '_expected',
        '_service_times_s',
        '_wait_factor',
        'running_count',
        'service_time_s',
        'slot_count',
        'speed',
    )

    def __init__(self, cold_bound: ColdBound) -> None:
        """Start without slots; ``resize`` gives it some."""
        self._cold_bound = cold_bound
        self.slot_count = 0
        self.limit = 0
        self.running_count = 0
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.speed = HostSpeed()
        self._service_times_s: dict[str, float] = {}
        # In order of arrival.
        self._waiting: dict[Hashable, Ticket] = {}
        # Time of arrival and expected wait of each of them.
        self._expected: dict[Hashable, tuple[float, float]] = {}
        self._wait_factor: float = 1
        self._cold_until_s = float('-inf')
        self._cold_per_s = 1.0
        self._cold_bucket: TokenBucket | None = None

    @property
    def waiting_count(self) -> int:
        """Calls that wait for a slot."""
        return len(self._waiting)

    def resize(self, slot_count: int) -> None:
        """Take the number of requests that the target works on at once."""
        self.slot_count = slot_count
        self.limit = max(1, int(slot_count * FULL_SPEED_SHARE))

    def set_cold(
        self,
        now_s: float,
        cold_s: float,
        cold_per_s: float | None,
    ) -> None:
        """Limit the rate for as long as the target stays cold."""
        if cold_s <= 0 or cold_per_s is None:
            self._cold_until_s = now_s
            return
        if self._cold_bucket is None or not self.is_cold(now_s):
            bound = self._cold_bound
            self._cold_per_s = bound.usable_per_s(cold_per_s)
            self._cold_bucket = TokenBucket(
                bound.usable_burst_count,
                self._cold_per_s,
            )
        self._cold_until_s = now_s + cold_s

    def is_cold(self, now_s: float) -> bool:
        """Tell whether the rate is limited."""
        return now_s < self._cold_until_s

    def usual_service_s(self, route: str) -> float:
        """Give how long work of a route takes at the usual speed.

        Zero for a route that was not seen yet.
        """
        return self._service_times_s.get(route, 0)

    def service_s(self, route: str) -> float:
        """Estimate how long work of a route takes between slow spells.

        A route that was not seen yet is taken for the fastest, so that
        nothing is refused for want of a measurement.
        """
        fastest_s = min(self._service_times_s.values(), default=0)
        usual_s = self._service_times_s.get(route, fastest_s)
        return usual_s * self.speed.level_factor

    def wait_s(self, now_s: float, *, is_nested: bool = False) -> float:
        """Estimate how long a call that arrives now waits for a slot."""
        wait_s: float = 0
        limit = self.slot_count if is_nested else self.limit
        ahead_count = 0 if is_nested else self.waiting_count
        if self.running_count >= limit or ahead_count:
            over_count = max(0, self.running_count - limit + 1 + ahead_count)
            wait_s = over_count * self.service_time_s / max(limit, 1)
            wait_s *= self._wait_factor * self.speed.level_factor
        if self.is_cold(now_s) and self._cold_bucket is not None:
            missing = ahead_count + 1 - self._cold_bucket.tokens(now_s)
            wait_s = max(wait_s, missing / self._cold_per_s)
        return wait_s

    def slowness_s(self, route: str) -> float:
        """Estimate what the present speed costs a call that arrives now.

        It either starts now and takes longer, or waits for the end of the
        spell.
        """
        if not self.speed.is_slow:
            return 0
        longer_s = self.service_s(route) * (self._spell_factor - 1)
        return min(longer_s, self.speed.mean_spell_s)

    @property
    def _spell_factor(self) -> float:
        """Time that work takes now, in times of that between spells."""
        return self.speed.factor / self.speed.level_factor

    def offer(self, ticket: Ticket, now_s: float) -> Refusal | None:
        """Put a call in line unless it can't be served in its time.

        ``take_next`` gives the calls that may run.
        """
        wait_s = self.wait_s(now_s, is_nested=ticket.is_nested)
        extra_s = wait_s + self.slowness_s(ticket.route)
        if now_s + extra_s > ticket.give_up_at_s:
            return Refusal.FULL
        start_s = now_s + wait_s
        if start_s + self.service_s(ticket.route) > ticket.deadline_s:
            return Refusal.TOO_LATE
        ready_s = start_s + self._expected_service_s(ticket, now_s)
        if wait_s and not ticket.is_nested and ready_s > ticket.objective_at_s:
            # The line is as long as its callers can wait. One more would be
            # late, and would make those behind it late too.
            return Refusal.FULL
        if self.waiting_count >= QUEUE_PER_SLOT * max(1, self.limit):
            return Refusal.FULL
        self._waiting[ticket.call] = ticket
        self._expected[ticket.call] = (now_s, wait_s)
        return None

    def wait_deadline_s(self, ticket: Ticket, now_s: float) -> float:
        """Give the time until which a call in line waits at most."""
        # Later, it could not be served before its deadline.
        latest_s = ticket.deadline_s - self.service_s(ticket.route)
        limit_s = min(ticket.give_up_at_s, latest_s)
        if self._has_slot(ticket) and self._is_held_back(ticket, now_s):
            limit_s = min(limit_s, now_s + HOLD_LIMIT_S)
        return max(limit_s, now_s + LEAST_WAIT_S)

    def withdraw(self, call: Hashable) -> None:
        """Take a waiting call out of the line."""
        self._waiting.pop(call, None)
        self._expected.pop(call, None)

    def take_next(self, now_s: float) -> Ticket | None:
        """Give the next call that may run now, counted as in work.

        Calls that running requests wait for go first, then those that can
        still meet their objective, by priority and in order of arrival.
        """
        if not self._waiting or self.running_count >= self.slot_count:
            return None
        line = sorted(
            self._waiting.values(),
            key=lambda ticket: self._rank(ticket, now_s),
        )
        for ticket in line:
            if not self._has_slot(ticket):
                return None
            if self._is_held_back(ticket, now_s):
                continue
            if not self._may_start(now_s):
                return None
            self._learn_wait(ticket, now_s)
            self.withdraw(ticket.call)
            self.running_count += 1
            return ticket
        return None

    def _rank(self, ticket: Ticket, now_s: float) -> tuple[bool, bool, int]:
        usual_s = self.service_s(ticket.route)
        is_late = now_s + usual_s > ticket.objective_at_s
        return not ticket.is_nested, is_late, ticket.priority

    def _learn_wait(self, ticket: Ticket, now_s: float) -> None:
        """Correct later estimates by how long this call really waited.

        Calls that running requests wait for go first, and their number is not
        known in advance.
        """
        offered_at_s, expected_s = self._expected[ticket.call]
        if ticket.is_nested or expected_s < MIN_LEARNED_WAIT_S:
            return
        ratio = self._wait_factor * (now_s - offered_at_s) / expected_s
        self._wait_factor += WAIT_GAIN * (ratio - self._wait_factor)
        self._wait_factor = min(
            MAX_WAIT_FACTOR,
            max(MIN_WAIT_FACTOR, self._wait_factor),
        )

    def next_start_delay_s(self, now_s: float) -> float | None:
        """Give the time until the cold rate lets a waiting call start."""
        if not self._waiting or not self.is_cold(now_s):
            return None
        if self._cold_bucket is None:
            return None
        return self._cold_bucket.wait_s(now_s) or None

    def finish(
        self,
        route: str,
        service_time_s: float | None,
        factor: float = 1,
    ) -> None:
        """Free a slot; ``service_time_s`` is ``None`` without an answer.

        ``factor`` is the speed of the host when the work began.
        """
        self.running_count -= 1
        if service_time_s is None:
            return
        usual_s = service_time_s / factor
        held_s = self._service_times_s.setdefault(route, usual_s)
        self._service_times_s[route] += SERVICE_TIME_GAIN * (usual_s - held_s)
        error_s = usual_s - self.service_time_s
        self.service_time_s += SERVICE_TIME_GAIN * error_s

    def _has_slot(self, ticket: Ticket) -> bool:
        limit = self.slot_count if ticket.is_nested else self.limit
        return self.running_count < limit

    def _is_held_back(self, ticket: Ticket, now_s: float) -> bool:
        """Tell whether a call had better wait for the end of a slow spell."""
        if not self.speed.is_slow:
            return False
        usual_s = self._expected_service_s(ticket, now_s)
        slow_s = usual_s * self._spell_factor
        if now_s + usual_s > ticket.deadline_s:
            return False
        if now_s + slow_s > ticket.deadline_s:
            return True
        if ticket.is_nested:
            # The sooner it ends, the sooner its parent does. A spell that
            # has lasted a while is as far from its end as a new one.
            return slow_s - usual_s > self.speed.mean_spell_s
        if now_s + usual_s > ticket.objective_at_s:
            # Late in any case.
            return False
        return now_s + slow_s > ticket.objective_at_s

    def _expected_service_s(self, ticket: Ticket, now_s: float) -> float:
        """Estimate the work of a call, from its objective if it is the first.

        The first calls of a route would all start in slow spells if they were
        taken for short ones.
        """
        if ticket.route in self._service_times_s:
            return self.service_s(ticket.route)
        left_s = max(0, ticket.objective_at_s - now_s)
        return left_s * UNSEEN_OBJECTIVE_SHARE * self.speed.level_factor

    def _may_start(self, now_s: float) -> bool:
        if not self.is_cold(now_s) or self._cold_bucket is None:
            return True
        return self._cold_bucket.try_take(now_s)
