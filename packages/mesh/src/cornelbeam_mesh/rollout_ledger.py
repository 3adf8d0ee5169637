"""What the gates of a service have counted and were granted."""

from collections import deque
from collections.abc import Sequence
from typing import Final, final

from cornelbeam_core.rollout_orders import Phase
from cornelbeam_core.rollout_plan import Traffic
from cornelbeam_core.rollout_verdict import (
    DURATION_BUCKET_COUNT,
    RouteCounts,
)
from cornelbeam_wire.gen import messages

from cornelbeam_mesh.members import MemberEntry

# Time over which the rate of requests is measured.
_RATE_WINDOW_S: Final = 2.0
# Counts over less time say little about the rate.
_MIN_RATE_WINDOW_S: Final = 0.5


@final
class GateState:
    """Last answer of the gate of one run of a daemon."""

    __slots__ = (
        'failure_count',
        'granted_count',
        'in_flight_count',
        'is_open',
        'phase',
        'replied_s',
        'request_count',
        'routes',
        'version',
    )

    def __init__(self, now_s: float) -> None:
        """Start without an answer, as if asked for the first time now."""
        self.granted_count = 0
        self.request_count = 0
        self.in_flight_count = 0
        self.failure_count = 0
        self.is_open = False
        self.phase = 0
        self.version = ''
        # Time when the last answered query was sent.
        self.replied_s = now_s
        self.routes: dict[str, RouteCounts] = {}

    @property
    def is_idle(self) -> bool:
        """Whether the gate refuses the old version and has nothing left."""
        return self.phase == Phase.FINAL and not self.in_flight_count


@final
class GateLedger:
    """Gates of a service, by name and run of their daemons.

    ``spent_count`` is the number of requests granted to the new version, at
    most, including what an earlier owner may have granted.
    """

    __slots__ = (
        '_gates',
        '_new',
        '_old',
        '_totals',
        'spent_count',
        'to_version',
        'total_count',
    )

    def __init__(self, to_version: str, spent_count: int) -> None:
        """Start without gates."""
        self.to_version = to_version
        self.spent_count = spent_count
        self.total_count = 0
        self._gates: dict[tuple[str, int], GateState] = {}
        self._new: dict[str, RouteCounts] = {}
        self._old: dict[str, RouteCounts] = {}
        self._totals: deque[tuple[float, int]] = deque()

    def gate(self, entry: MemberEntry, now_s: float) -> GateState:
        """Return the state of the gate beside a target."""
        key = entry.name, entry.incarnation
        return self._gates.setdefault(key, GateState(now_s))

    def note(
        self, entry: MemberEntry, counts: messages.RolloutCounts, sent_s: float
    ) -> None:
        """Add what a gate has counted since its last answer."""
        gate = self.gate(entry, sent_s)
        if counts.request_count < gate.request_count:
            # The daemon has restarted and its entry is not known yet. What
            # was granted to the earlier run is granted again.
            self.spent_count += gate.granted_count
            gate.request_count = 0
            gate.routes = {}
        gate.replied_s = sent_s
        gate.phase = counts.phase
        gate.in_flight_count = counts.in_flight_count
        gate.version = counts.version
        gate.is_open = bool(counts.is_open)
        gate.granted_count = max(gate.granted_count, counts.granted_count)
        self.total_count += max(0, counts.request_count - gate.request_count)
        gate.request_count = counts.request_count
        slot = self._new if counts.version == self.to_version else self._old
        for each in counts.routes:
            total = RouteCounts(
                each.request_count,
                each.failure_count,
                _decode_durations(each.durations),
            )
            added = total.since(gate.routes.get(each.route))
            gate.routes[each.route] = total
            if added.answer_count > 0:
                slot[each.route] = added.plus(slot.get(each.route))

    def take_slot(
        self,
    ) -> tuple[dict[str, RouteCounts], dict[str, RouteCounts]]:
        """Return what was added since the last call, by version."""
        taken = self._new, self._old
        self._new = {}
        self._old = {}
        return taken

    def traffic(self, now_s: float) -> Traffic:
        """Return the requests of the service and their present rate."""
        self._totals.append((now_s, self.total_count))
        while now_s - self._totals[0][0] > _RATE_WINDOW_S:
            self._totals.popleft()
        first_s, first_count = self._totals[0]
        added_count = self.total_count - first_count
        rate_per_s = added_count / max(_MIN_RATE_WINDOW_S, now_s - first_s)
        return Traffic(self.total_count, rate_per_s, self.spent_count)

    def grant(self, entry: MemberEntry, now_s: float, more_count: int) -> None:
        """Let a gate run more requests, from the next query to it on."""
        self.gate(entry, now_s).granted_count += more_count
        self.spent_count += more_count


def _decode_durations(pairs: Sequence[int]) -> tuple[int, ...]:
    """Return the count of each bucket; see ``RolloutRouteCounts``."""
    counts = dict(zip(pairs[::2], pairs[1::2]))
    return tuple(
        counts.get(bucket, 0) for bucket in range(DURATION_BUCKET_COUNT)
    )
