"""Order the calls of tenants at a gate, and choose which ones are refused.

When a target has too little capacity, the calls that are delayed or refused
should be those that cost callers least, and no tenant should pay for another
one's load. docs/design/load-shedding.md states what was weighed.

All counts are of one gate only, which sees a few calls of a tenant a second, so
they are smoothed over some seconds and corrected towards the mean.
"""

import math
from collections import Counter
from collections.abc import Collection, Hashable
from dataclasses import dataclass
from typing import Final, Protocol, TypeAlias, final

from cornelbeam_core.rate_limit import RateUse
from cornelbeam_core.tickets import Refusal, Ticket
from cornelbeam_core.use_counts import (
    DECAY_S,
    UseCount,
    UseTable,
    water_level_s,
)

# Maximum of queued calls per slot; more would wait longer than most callers do.
QUEUE_PER_SLOT: Final = 4
# A tenant that is served less often than this share of the mean goes before
# more urgent calls. A quarter is allowed; more than twice that makes a
# single recent refusal count, as a gate sees few calls of a small tenant.
SERVED_SHARE_FLOOR: Final = 0.6
# The same for a tenant that uses more than its fair share: a higher one would
# let a burst take from others what the fair share protects.
BURST_SHARE_FLOOR: Final = 0.3
# A kind of request is protected while it is served at most this much more often
# than a less urgent one, as counts follow decisions with a delay.
KIND_MARGIN: Final = 0.1
# Counts are corrected as if this many more calls had been average: the first
# calls of a tenant say little about how it is served. With two, a tenant with a
# call in five seconds was never found to be served too rarely.
MEAN_CALL_COUNT: Final = 1
# Each doubling of a tenant's use above its fair share costs its calls one level
# of priority, up to this many.
MAX_SHARE_LEVEL: Final = 3
# Steps of the tenant's use per doubling; calls of tenants within the same step
# are ordered by work.
SHARE_STEPS: Final = 2
MIN_SHARE_STEP: Final = -4
# More urgent calls are assumed to take at most this share of the slots.
MAX_URGENT_SHARE: Final = 0.8
# Shares are computed again after this time, as that reads all counts; that of
# a tenant also whenever one of its calls starts.
REFRESH_S: Final = 0.25

Rank: TypeAlias = tuple[float, ...]
Kind: TypeAlias = tuple[str, int]


class ShedGate(Protocol):
    """Queue of the gate, and its estimates of waits and service times."""

    limit: int
    service_time_s: float

    @property
    def waiting_count(self) -> int:
        """Number of calls that wait for a slot."""

    def service_s(self, route: str) -> float:
        """Estimate the service time of a route, zero if unknown."""

    def withdraw(self, call: Hashable) -> None:
        """Remove a call from the queue."""

    def wait_s(
        self,
        now_s: float,
        incoming_count: int = 0,
        *,
        is_nested: bool = False,
        rate_use: RateUse = RateUse.TOLERATED,
    ) -> float:
        """Estimate the wait of a call with the queue and others ahead."""


@final
@dataclass(frozen=True, slots=True)
class Standing:
    """How a tenant's use compares with its fair share.

    Its calls lose ``level`` levels of priority. ``step`` orders tenants within
    a level, and ``is_starving`` says that the tenant is served too rarely.
    """

    level: int
    step: int
    is_starving: bool


@final
class LoadShedding:
    """Use of one target by tenants and kinds of request.

    It does nothing until a call with a tenant arrives, and again after the
    counts of all tenants have decayed.
    """

    __slots__ = (
        '_fair_s',
        '_gate',
        '_kinds',
        '_leads',
        '_refreshed_at_s',
        '_standings',
        '_tenants',
        '_total',
        '_waiting',
        'eviction_counts',
        'refusal_counts',
    )

    def __init__(self, gate: ShedGate, waiting: Collection[Ticket]) -> None:
        """Start without counts; ``waiting`` is a view of the gate's queue."""
        self._gate = gate
        self._waiting = waiting
        self._tenants: UseTable[str] = UseTable()
        self._kinds: UseTable[Kind] = UseTable()
        self._total = UseCount()
        self._fair_s = math.inf
        # By tenant and by kind, from the current counts.
        self._standings: dict[str, Standing] = {}
        self._leads: dict[Kind, float] = {}
        self._refreshed_at_s = -math.inf
        # Calls by reason, since the daemon started.
        self.refusal_counts: Counter[str] = Counter()
        self.eviction_counts: Counter[str] = Counter()

    @property
    def is_active(self) -> bool:
        """Whether calls with a tenant have arrived lately."""
        return bool(self._tenants)

    def note_asked(self, ticket: Ticket, now_s: float) -> None:
        """Count a call that asks for the target, served or not."""
        if ticket.is_nested or not (ticket.tenant or self.is_active):
            return
        work_s = self._work_s(ticket)
        for count in self._counts(ticket):
            count.add_asked(now_s, work_s)
        self._refresh(now_s)

    def note_started(self, ticket: Ticket, now_s: float) -> None:
        """Count a call that starts, by its expected service time."""
        if ticket.is_nested or not self.is_active:
            return
        work_s = self._work_s(ticket)
        for count in self._counts(ticket):
            count.add_started(now_s, work_s)
        self._standings.pop(ticket.tenant, None)

    def is_underserved(self, ticket: Ticket, margin: float = 0) -> bool:
        """Return whether a less urgent kind is served more often.

        It counts if the difference is above ``-margin``.
        """
        if not self.is_active:
            return False
        kind = _kind(ticket)
        lead = self._leads.get(kind)
        if lead is None:
            lead = self._lead(kind)
            self._leads[kind] = lead
        return lead < margin

    def rank(self, ticket: Ticket, now_s: float) -> Rank:
        """Return the sort key of a call; the lowest one starts first.

        Nested calls go first, then those that can still meet their objective,
        then those of tenants that are served too rarely. Among the others, use
        above the fair share counts like a lower priority. A kind of request
        that is served less often than a less urgent one is held back neither
        for its objective nor for its tenant.
        """
        if ticket.is_nested:
            return (0, ticket.priority, ticket.deadline_s)
        work_s = self._gate.service_s(ticket.route)
        is_late = now_s + work_s > ticket.objective_at_s
        standing = self._standing(ticket.tenant)
        level = standing.level
        if level and self.is_underserved(ticket, KIND_MARGIN):
            level = 0
        if is_late and self.is_underserved(ticket):
            is_late = False
        group: Rank = (1, is_late, not standing.is_starving)
        urgency: Rank = (
            ticket.priority + level,
            ticket.priority,
            standing.step,
        )
        return group + urgency + (_doubling_of(work_s), ticket.objective_at_s)

    def behind_count(self, ticket: Ticket, now_s: float) -> int:
        """Return how many of the waiting calls start after a new one.

        It is less, or negative, by the calls that are expected to arrive later
        and to start before it. A less urgent call would otherwise wait behind
        more urgent ones until its deadline, and be refused then.
        """
        if not self.is_active or ticket.is_nested:
            return 0
        rank = self.rank(ticket, now_s)
        behind = sum(self.rank(each, now_s) > rank for each in self._waiting)
        ahead_count = len(self._waiting) - behind
        later_count = ahead_count * self._overtaken_share(ticket)
        return behind - int(later_count)

    def _overtaken_share(self, ticket: Ticket) -> float:
        """Return how many calls overtake one while another is served."""
        urgent_s = sum(
            count.used_s
            for other, count in self._kinds.items()
            if other[1] < ticket.priority
        )
        capacity_s = DECAY_S * max(1, self._gate.limit)
        urgent_share = min(MAX_URGENT_SHARE, urgent_s / capacity_s)
        return urgent_share / (1 - urgent_share)

    def evict(self, now_s: float) -> list[tuple[Ticket, Refusal]]:
        """Remove the waiting calls that must be refused, with the reasons.

        These are the calls that can't meet their deadline any more, because of
        the time or because of the calls before them, and the last ones of a
        queue that is too long. Refusing a call only helps those behind it.
        """
        if not (self.is_active and self._waiting):
            return []
        evicted = []
        ahead_count = 0
        max_count = QUEUE_PER_SLOT * max(1, self._gate.limit)
        queue = sorted(self._waiting, key=lambda each: self.rank(each, now_s))
        waiting_count = len(queue)
        for ticket in queue:
            wait_s = self._wait_s(ticket, ahead_count - waiting_count, now_s)
            end_s = now_s + wait_s + self._gate.service_s(ticket.route)
            if end_s > ticket.deadline_s:
                evicted.append((ticket, Refusal.TOO_LATE))
            elif ahead_count >= max_count and not ticket.is_nested:
                evicted.append((ticket, Refusal.FULL))
            else:
                ahead_count += 1
        for each, reason in evicted:
            self._gate.withdraw(each.call)
            self.eviction_counts[reason.value] += 1
        return evicted

    def _wait_s(
        self, ticket: Ticket, incoming_count: int, now_s: float
    ) -> float:
        """Estimate the wait of a call that has been waiting for a while.

        It has used up a part of its expected wait, so one call less is assumed
        ahead, and the first one is never refused for an estimate.
        """
        if ticket.is_nested or incoming_count + self._gate.waiting_count <= 0:
            return 0
        return self._gate.wait_s(
            now_s, incoming_count - 1, rate_use=ticket.rate_use
        )

    def _work_s(self, ticket: Ticket) -> float:
        return self._gate.service_s(ticket.route) or self._gate.service_time_s

    def _counts(self, ticket: Ticket) -> tuple[UseCount, UseCount, UseCount]:
        return (
            self._total,
            self._tenants.get_or_add(ticket.tenant),
            self._kinds.get_or_add(_kind(ticket)),
        )

    def _served_share(
        self, count: UseCount | None, waiting_count: int = 0
    ) -> float:
        """Return the share of calls that were started, towards the mean."""
        mean_share = self._total.started_share
        if count is None:
            return mean_share
        started_count = count.started_count + MEAN_CALL_COUNT * mean_share
        ended_count = max(0, count.asked_count - waiting_count)
        return started_count / (ended_count + MEAN_CALL_COUNT)

    def _lead(self, kind: Kind) -> float:
        """Return how much more often a kind is served than less urgent ones."""
        less_urgent = [
            self._served_share(count)
            for other, count in self._kinds.items()
            if other[1] > kind[1]
        ]
        if not less_urgent:
            return math.inf
        return self._served_share(self._kinds.get(kind)) - max(less_urgent)

    def _standing(self, tenant: str) -> Standing:
        standing = self._standings.get(tenant)
        if standing is None:
            standing = self._compute_standing(tenant)
            self._standings[tenant] = standing
        return standing

    def _compute_standing(self, tenant: str) -> Standing:
        doublings = self._share_doublings(tenant)
        floor = BURST_SHARE_FLOOR if doublings >= 1 else SERVED_SHARE_FLOOR
        # The call that waits now has been asked for, but is not refused.
        served_share = self._served_share(self._tenants.get(tenant), 1)
        return Standing(
            level=min(MAX_SHARE_LEVEL, max(0, int(doublings))),
            step=max(MIN_SHARE_STEP, math.floor(doublings * SHARE_STEPS)),
            is_starving=served_share < floor * self._total.started_share,
        )

    def _share_doublings(self, tenant: str) -> float:
        """Return the tenant's use by its fair share, as a logarithm."""
        count = self._tenants.get(tenant)
        if count is None or not math.isfinite(self._fair_s):
            return 0
        mean_s = MEAN_CALL_COUNT * self._total.mean_work_s
        return math.log2((count.used_s + mean_s) / (self._fair_s + mean_s))

    def _refresh(self, now_s: float) -> None:
        """Let all counts decay, and compute the fair share of a tenant."""
        if now_s - self._refreshed_at_s < REFRESH_S:
            return
        self._refreshed_at_s = now_s
        self._standings.clear()
        self._leads.clear()
        self._total.decay(now_s)
        self._kinds.decay(now_s)
        self._tenants.decay(now_s)
        if not any(name for name, _ in self._tenants.items()):
            # Calls without a tenant alone are served in order of arrival.
            self._tenants.clear()
            self._kinds.clear()
        self._fair_s = water_level_s(
            [count.asked_s for _, count in self._tenants.items()],
            self._total.used_s,
        )


def _kind(ticket: Ticket) -> Kind:
    return ticket.route, ticket.priority


def _doubling_of(work_s: float) -> int:
    """Return the order of magnitude of work: estimates are no more exact."""
    return math.frexp(work_s)[1]
