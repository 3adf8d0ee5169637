"""Order the calls of tenants at a gate.

When a target has too little capacity, the calls that are delayed or refused
should be those that cost callers least, and no tenant should pay for another
one's load. docs/design/load-shedding.md states what was weighed.

All counts are of one gate only, which sees a few calls of a tenant a second, so
they are smoothed over some seconds and corrected towards the mean.
"""

import math
from typing import Final, Protocol, TypeAlias, final

from cornelbeam_core.tickets import Ticket
from cornelbeam_core.use_counts import (
    UseCount,
    UseTable,
    water_level_s,
)

# A tenant that is served less often than this share of the mean goes before
# more urgent calls. Section 7 allows a quarter; twice that leaves room for the
# small samples of one gate.
SERVED_SHARE_FLOOR: Final = 0.5
# A kind of request is protected while it is served at most this much more often
# than a less urgent one, as counts follow decisions with a delay.
KIND_MARGIN: Final = 0.1
# Counts are corrected as if this many more calls had been average: the first
# refusals of a tenant say little about how it is served.
MEAN_CALL_COUNT: Final = 2
# Each doubling of a tenant's use above its fair share costs its calls one level
# of priority, up to this many.
MAX_SHARE_LEVEL: Final = 3
# Steps of the tenant's use per doubling; calls of tenants within the same step
# are ordered by work.
SHARE_STEPS: Final = 2
MIN_SHARE_STEP: Final = -4
# The fair share is computed again after this time, as all tenants are read.
REFRESH_S: Final = 0.25

Rank: TypeAlias = tuple[float, ...]
Kind: TypeAlias = tuple[str, int]


class ShedGate(Protocol):
    """Service times that the gate estimates."""

    service_time_s: float

    def service_s(self, route: str) -> float:
        """Estimate the service time of a route, zero if unknown."""


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
        '_refreshed_at_s',
        '_tenants',
        '_total',
    )

    def __init__(self, gate: ShedGate) -> None:
        """Start without counts; ``gate`` knows the service times."""
        self._gate = gate
        self._tenants: UseTable[str] = UseTable()
        self._kinds: UseTable[Kind] = UseTable()
        self._total = UseCount()
        self._fair_s = math.inf
        self._refreshed_at_s = -math.inf

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

    def is_underserved(self, ticket: Ticket, margin: float = 0) -> bool:
        """Return whether a less urgent kind is served more often.

        It counts if the difference is above ``-margin``.
        """
        kind = _kind(ticket)
        less_urgent = [
            self._served_share(count)
            for other, count in self._kinds.items()
            if other[1] > ticket.priority
        ]
        if not less_urgent:
            return False
        served_share = self._served_share(self._kinds.get(kind))
        return served_share < max(less_urgent) + margin

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
        doublings = self._share_doublings(ticket.tenant)
        level = min(MAX_SHARE_LEVEL, max(0, int(doublings)))
        if level and self.is_underserved(ticket, KIND_MARGIN):
            level = 0
        if is_late and self.is_underserved(ticket):
            is_late = False
        step = max(MIN_SHARE_STEP, math.floor(doublings * SHARE_STEPS))
        group: Rank = (1, is_late, not self._is_starving(ticket.tenant))
        urgency: Rank = (ticket.priority + level, ticket.priority, step)
        return group + urgency + (_doubling_of(work_s), ticket.objective_at_s)

    def _work_s(self, ticket: Ticket) -> float:
        return self._gate.service_s(ticket.route) or self._gate.service_time_s

    def _counts(self, ticket: Ticket) -> tuple[UseCount, UseCount, UseCount]:
        return (
            self._total,
            self._tenants.get_or_add(ticket.tenant),
            self._kinds.get_or_add(_kind(ticket)),
        )

    def _served_share(self, count: UseCount | None) -> float:
        """Return the share of calls that were started, towards the mean."""
        mean_share = self._total.started_share
        if count is None:
            return mean_share
        started_count = count.started_count + MEAN_CALL_COUNT * mean_share
        return started_count / (count.asked_count + MEAN_CALL_COUNT)

    def _is_starving(self, tenant: str) -> bool:
        served_share = self._served_share(self._tenants.get(tenant))
        return served_share < SERVED_SHARE_FLOOR * self._total.started_share

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
