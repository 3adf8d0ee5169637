"""Decide which calls to a target run now, which wait and which are refused.

All calls to a target pass through the gate beside it, so the gate knows how
many are running. It handles five situations: more calls than the target has
slots, lasting overload, a cold target, which has just started and accepts only
a few calls a second, a target in need, which states how many calls a second it
accepts, and a host slowed down for a moment by a noisy neighbour.
"""

from collections.abc import Hashable
from typing import Final, final

from cornelbeam_core.budget import TokenBucket
from cornelbeam_core.host_speed import HostSpeed
from cornelbeam_core.load_shedding import QUEUE_PER_SLOT, LoadShedding, Rank
from cornelbeam_core.rate_limit import RateBound, RateLimit, RateUse
from cornelbeam_core.tickets import ColdBound, Refusal, Ticket

# Share of the slots that ordinary calls may use; only nested calls use the
# rest. Targets slow down when nearly full: above this share, one more call
# costs the others more than it gains.
FULL_SPEED_SHARE: Final = 0.8
# Assumed service time of a route without answers, as a share of its objective.
# Operators set objectives at about three times the usual service time.
UNSEEN_OBJECTIVE_SHARE: Final = 1 / 3
# Smoothing factor of service times; they follow a change of load within about
# ten answers.
SERVICE_TIME_GAIN: Final = 0.1
# Service time assumed until the first answers arrive.
INITIAL_SERVICE_TIME_S: Final = 0.2
# A call held back this long by a slowdown is refused, so that its sender can
# try another target, which may be fast by now.
MAX_HOLD_S: Final = 0.15
# A queued call waits at least this long, as the next answers may free slots.
MIN_WAIT_S: Final = 0.02
# Smoothing factor and range of the factor that corrects expected waits.
WAIT_GAIN: Final = 0.1
MIN_WAIT_FACTOR: Final = 0.5
MAX_WAIT_FACTOR: Final = 3
# Shorter expected waits don't change that factor: they depend more on the order
# of events than on the load.
MIN_LEARNED_WAIT_S: Final = 0.01
# It is known this long after it has happened, at the latest, that a target has
# turned cold: operators limit the calls in each second of the cold time.
COLD_LAG_S: Final = 1.0


@final
class TargetGate:
    """Slots, queue and cold start rate limit of one target.

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
        'rate_limit',
        '_wait_estimates',
        '_service_times_s',
        '_wait_factor',
        'running_count',
        'service_time_s',
        'shedding',
        'slot_count',
        'speed',
    )

    def __init__(self, cold_bound: ColdBound) -> None:
        """Start without slots; ``resize`` sets their number."""
        self._cold_bound = cold_bound
        self.rate_limit = RateLimit(RateBound())
        self.slot_count = 0
        self.limit = 0
        self.running_count = 0
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.speed = HostSpeed()
        self._service_times_s: dict[str, float] = {}
        # In order of arrival.
        self._waiting: dict[Hashable, Ticket] = {}
        self.shedding = LoadShedding(self, self._waiting.values())
        # Arrival time and expected wait of each waiting call.
        self._wait_estimates: dict[Hashable, tuple[float, float]] = {}
        self._wait_factor: float = 1
        self._cold_until_s = float('-inf')
        self._cold_per_s = 1.0
        self._cold_bucket: TokenBucket | None = None

    @property
    def waiting_count(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._waiting)

    def resize(self, slot_count: int) -> None:
        """Set the number of requests that the target handles at once."""
        self.slot_count = slot_count
        self.limit = max(1, int(slot_count * FULL_SPEED_SHARE))

    def set_cold(
        self,
        now_s: float,
        cold_s: float,
        cold_per_s: float | None,
    ) -> None:
        """Limit the rate for the next ``cold_s``, while the target is cold."""
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
            # The target may have been cold before this is known here.
            started_count = self.rate_limit.count_starts(now_s, COLD_LAG_S)
            self._cold_bucket.add(
                now_s, -min(started_count, self._cold_per_s * COLD_LAG_S)
            )
        self._cold_until_s = now_s + cold_s

    def is_cold(self, now_s: float) -> bool:
        """Return whether the rate is limited."""
        return now_s < self._cold_until_s

    def usual_service_s(self, route: str) -> float:
        """Return the service time of a route at the usual speed.

        Zero for a route without answers yet.
        """
        return self._service_times_s.get(route, 0)

    def service_s(self, route: str) -> float:
        """Estimate the service time of a route between slowdowns.

        Zero for a route without answers, so that no call is refused for lack
        of a measurement: its calls would never run and never be measured.
        """
        return self.usual_service_s(route) * self.speed.baseline_factor

    def wait_s(
        self,
        now_s: float,
        incoming_count: int = 0,
        *,
        is_nested: bool = False,
        rate_use: RateUse = RateUse.TOLERATED,
    ) -> float:
        """Estimate how long a call that arrives now waits for a slot."""
        wait_s: float = 0
        limit = self.slot_count if is_nested else self.limit
        ahead_count = 0 if is_nested else self.waiting_count + incoming_count
        if self.running_count >= limit or ahead_count:
            excess_count = max(0, self.running_count - limit + 1 + ahead_count)
            wait_s = excess_count * self.service_time_s / max(limit, 1)
            wait_s *= self._wait_factor * self.speed.baseline_factor
        if self.is_cold(now_s) and self._cold_bucket is not None:
            missing = ahead_count + 1 - self._cold_bucket.tokens(now_s)
            wait_s = max(wait_s, missing / self._cold_per_s)
        return max(
            wait_s,
            self.rate_limit.wait_s(now_s, ahead_count, rate_use),
        )

    def slowdown_cost_s(self, route: str) -> float:
        """Estimate how much a slow host delays a call that arrives now.

        The call either starts now and takes longer, or waits for the end of
        the slowdown.
        """
        if not self.speed.is_slow:
            return 0
        extra_work_s = self.service_s(route) * (self._slowdown_factor - 1)
        return min(extra_work_s, self.speed.mean_slowdown_s)

    @property
    def _slowdown_factor(self) -> float:
        """Duration of work now, as a multiple of that between slowdowns."""
        return self.speed.factor / self.speed.baseline_factor

    def enqueue(self, ticket: Ticket, now_s: float) -> Refusal | None:
        """Queue a call, or return why it can't be served in time.

        Return ``None`` if it is queued; ``start_next`` starts queued calls.
        """
        self.shedding.note_asked(ticket, now_s)
        refusal = self.refusal_for(ticket, now_s)
        if refusal is None:
            wait_s = self._ticket_wait_s(ticket, now_s)
            self._waiting[ticket.call] = ticket
            self._wait_estimates[ticket.call] = (now_s, wait_s)
        return refusal

    def refusal_for(
        self, ticket: Ticket, now_s: float, incoming_count: int = 0
    ) -> Refusal | None:
        """Return why a call can't be served in time, without queueing it.

        ``incoming_count`` calls are ahead of it, but not in the queue yet.
        """
        incoming_count -= self.shedding.behind_count(ticket, now_s)
        wait_s = self._ticket_wait_s(ticket, now_s, incoming_count)
        extra_s = wait_s + self.slowdown_cost_s(ticket.route)
        if now_s + extra_s > ticket.give_up_at_s:
            return self._full_refusal(ticket, now_s, incoming_count)
        start_s = now_s + wait_s
        if start_s + self.service_s(ticket.route) > ticket.deadline_s:
            return Refusal.TOO_LATE
        ready_s = start_s + self._expected_service_s(ticket, now_s)
        may_wait = ticket.is_nested or self.shedding.is_underserved(ticket)
        if wait_s and not may_wait and ready_s > ticket.objective_at_s:
            # The queue is as long as its callers can wait. One more call would
            # be late, and would delay those behind it.
            return self._full_refusal(ticket, now_s, incoming_count)
        queue_length = self.waiting_count + incoming_count
        is_full = queue_length >= QUEUE_PER_SLOT * max(1, self.limit)
        return Refusal.FULL if is_full else None

    def _ticket_wait_s(
        self, ticket: Ticket, now_s: float, incoming_count: int = 0
    ) -> float:
        return self.wait_s(
            now_s,
            incoming_count,
            is_nested=ticket.is_nested,
            rate_use=ticket.rate_use,
        )

    def _full_refusal(
        self, ticket: Ticket, now_s: float, incoming_count: int
    ) -> Refusal:
        """Return whether slots or the stated rate make a call wait."""
        ahead_count = 0
        if not ticket.is_nested:
            ahead_count = self.waiting_count + incoming_count
        is_limited = self.rate_limit.wait_s(now_s, ahead_count, ticket.rate_use)
        return Refusal.RATE_LIMITED if is_limited else Refusal.FULL

    def wait_deadline_s(self, ticket: Ticket, now_s: float) -> float:
        """Return the time at which a queued call stops waiting."""
        # A call that starts later ends after its deadline.
        latest_s = ticket.deadline_s - self.service_s(ticket.route)
        limit_s = min(ticket.give_up_at_s, latest_s)
        if self._has_slot(ticket) and self._is_held_back(ticket, now_s):
            limit_s = min(limit_s, now_s + MAX_HOLD_S)
        return max(limit_s, now_s + MIN_WAIT_S)

    def withdraw(self, call: Hashable) -> None:
        """Remove a call from the queue."""
        self._waiting.pop(call, None)
        self._wait_estimates.pop(call, None)

    def start_next(self, now_s: float) -> Ticket | None:
        """Take the next call that may run now and count it as running.

        Nested calls go first, then those that can still meet their objective,
        by priority and in order of arrival. ``None`` if no call may run.
        """
        if not self._waiting or self.running_count >= self.slot_count:
            return None
        queue = sorted(
            self._waiting.values(),
            key=lambda ticket: self._sort_key(ticket, now_s),
        )
        for ticket in queue:
            if not self._has_slot(ticket):
                return None
            if self._is_held_back(ticket, now_s):
                continue
            if not self.rate_limit.may_start(now_s, ticket.rate_use):
                continue
            if not self._may_start(now_s):
                return None
            self._correct_wait_factor(ticket, now_s)
            self.withdraw(ticket.call)
            self.running_count += 1
            self.rate_limit.note_start(now_s)
            self.shedding.note_started(ticket, now_s)
            return ticket
        return None

    def may_send_again(self, now_s: float) -> bool:
        """Return whether a running call may be sent a second time.

        It may have arrived before its connection was closed, so it counts like
        another start.
        """
        if not self.rate_limit.may_start(now_s, RateUse.TOLERATED):
            return False
        if not self._may_start(now_s):
            return False
        self.rate_limit.note_start(now_s)
        return True

    def _sort_key(self, ticket: Ticket, now_s: float) -> Rank:
        if self.shedding.is_active:
            return self.shedding.rank(ticket, now_s)
        usual_s = self.service_s(ticket.route)
        is_late = now_s + usual_s > ticket.objective_at_s
        return not ticket.is_nested, is_late, ticket.priority

    def _correct_wait_factor(self, ticket: Ticket, now_s: float) -> None:
        """Adjust the correction of estimated waits by an actual wait.

        Estimates need correction because nested calls go first, and their
        number is not known in advance. With tenants, later calls may go first,
        so a wait tells nothing about the estimate.
        """
        queued_at_s, expected_s = self._wait_estimates[ticket.call]
        is_in_turn = not (ticket.is_nested or self.shedding.is_active)
        if not is_in_turn or expected_s < MIN_LEARNED_WAIT_S:
            return
        ratio = self._wait_factor * (now_s - queued_at_s) / expected_s
        self._wait_factor += WAIT_GAIN * (ratio - self._wait_factor)
        self._wait_factor = min(
            MAX_WAIT_FACTOR,
            max(MIN_WAIT_FACTOR, self._wait_factor),
        )

    def next_start_delay_s(self, now_s: float) -> float | None:
        """Return the seconds until a rate limit permits the next start."""
        if not self._waiting:
            return None
        delay_s: float = 0
        if self.is_cold(now_s) and self._cold_bucket is not None:
            delay_s = self._cold_bucket.wait_s(now_s)
        if self.rate_limit.is_active:
            delay_s = max(delay_s, self._rate_delay_s(now_s))
        return delay_s or None

    def _rate_delay_s(self, now_s: float) -> float:
        """Return the seconds until the stated rate permits the next start."""
        uses = {each.rate_use for each in self._waiting.values()}
        return min(self.rate_limit.wait_s(now_s, 0, use) for use in uses)

    def finish(
        self,
        route: str,
        service_time_s: float | None,
        factor: float = 1,
    ) -> None:
        """Free a slot; ``service_time_s`` is ``None`` without an answer.

        ``factor`` is ``HostSpeed.factor`` at the start of the work.
        """
        self.running_count -= 1
        if service_time_s is None:
            return
        usual_s = service_time_s / factor
        smoothed_s = self._service_times_s.setdefault(route, usual_s)
        self._service_times_s[route] += SERVICE_TIME_GAIN * (
            usual_s - smoothed_s
        )
        error_s = usual_s - self.service_time_s
        self.service_time_s += SERVICE_TIME_GAIN * error_s

    def _has_slot(self, ticket: Ticket) -> bool:
        limit = self.slot_count if ticket.is_nested else self.limit
        return self.running_count < limit

    def _is_held_back(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether a call should wait for the end of a slowdown."""
        if not self.speed.is_slow:
            return False
        usual_s = self._expected_service_s(ticket, now_s)
        slow_s = usual_s * self._slowdown_factor
        if now_s + usual_s > ticket.deadline_s:
            return False
        if now_s + slow_s > ticket.deadline_s:
            return True
        if ticket.is_nested:
            # Its parent request waits for it, so it should end as early as
            # possible. A slowdown is expected to last for its mean length from
            # now on, however long it has lasted already.
            return slow_s - usual_s > self.speed.mean_slowdown_s
        if now_s + usual_s > ticket.objective_at_s:
            # The call is late even at the usual speed.
            return False
        return now_s + slow_s > ticket.objective_at_s

    def _expected_service_s(self, ticket: Ticket, now_s: float) -> float:
        """Estimate the service time of a call between slowdowns.

        For a route without answers it is derived from the objective: if the
        first calls of a route were assumed to be short, all of them would
        start during slowdowns.
        """
        if ticket.route in self._service_times_s:
            return self.service_s(ticket.route)
        left_s = max(0, ticket.objective_at_s - now_s)
        return left_s * UNSEEN_OBJECTIVE_SHARE * self.speed.baseline_factor

    def _may_start(self, now_s: float) -> bool:
        if not self.is_cold(now_s) or self._cold_bucket is None:
            return True
        return self._cold_bucket.try_take(now_s)
