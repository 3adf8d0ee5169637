"""Decide which target a request tries next and how long it waits there.

Load shifts while a request looks for a slot: a host that was slow at the first
attempt may recover soon, and another target may become free while the request
waits.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.placement import (
    US_PER_MS,
    Candidate,
    max_slot_wait_ms,
)

# A target may be asked again this long after it has refused. Slowdowns of a
# host last about 300 ms, so older refusals are outdated.
REFUSAL_AGE_LIMIT_S: Final = 0.1
# A request waits at least this long for a slot before it tries another target:
# the time of two crossings of a failure domain boundary.
MIN_SLOT_WAIT_MS: Final = 10
# After this many recent refusals a request waits at the best of these targets
# if it can be served in time. Asking more targets rarely finds a better one.
REFUSALS_BEFORE_WAIT: Final = 4
# After this many refusals, a request is given up: the whole service is
# overloaded.
MAX_REFUSAL_COUNT: Final = 16


@final
@dataclass(frozen=True, slots=True)
class Choice:
    """The target to try next and the longest wait for a slot there.

    ``is_last_resort`` says that no other target is known to have room.
    """

    name: str
    max_slot_wait_ms: float
    is_last_resort: bool


@final
@dataclass(frozen=True, slots=True)
class TimeLeft:
    """Time left at ``now_s`` until the deadline and the objective."""

    now_s: float
    deadline_ms: float
    objective_ms: float


@final
class AttemptOrder:
    """Refusals of one request, from which the next target is chosen.

    >>> order = AttemptOrder()
    >>> order.choose([], TimeLeft(0, 500, 200)) is None
    True
    """

    __slots__ = (
        '_asked_at_s',
        '_has_tenant',
        '_is_nested',
        '_refusal_count',
        '_refusals',
        '_waited_at_s',
    )

    def __init__(
        self, *, is_nested: bool = False, has_tenant: bool = False
    ) -> None:
        """Start without refusals.

        A gate ranks the calls of tenants: with ``has_tenant``, the wait that a
        refusal states for the call itself counts instead of that of the queue.
        """
        self._has_tenant = has_tenant
        self._is_nested = is_nested
        self._refusals: dict[str, CornelbeamError] = {}
        self._asked_at_s: dict[str, float] = {}
        # When a target was last asked for a wait until the deadline.
        self._waited_at_s: dict[str, float] = {}
        self._refusal_count = 0

    @property
    def is_exhausted(self) -> bool:
        """Return whether the request has been refused too often."""
        return self._refusal_count >= MAX_REFUSAL_COUNT

    def note_refusal(
        self,
        name: str,
        error: CornelbeamError,
        asked_at_s: float,
    ) -> None:
        """Record that a target refused an attempt made at ``asked_at_s``."""
        self._refusals[name] = error
        self._asked_at_s[name] = asked_at_s
        self._refusal_count += 1

    def choose(
        self,
        ranked: Sequence[Candidate],
        left: TimeLeft,
    ) -> Choice | None:
        """Choose among the targets of a service, ranked best first.

        Return ``None`` if neither another attempt nor a wait can succeed.
        """
        if self.is_exhausted or left.deadline_ms <= 0:
            return None
        askable = [each for each in ranked if self._is_worth_asking(each, left)]
        refused = [each for each in ranked if each not in askable]
        if not askable or len(refused) >= REFUSALS_BEFORE_WAIT:
            shortest_wait = self._find_shortest_wait(refused, left)
            if shortest_wait is not None:
                self._waited_at_s[shortest_wait.name] = left.now_s
                return Choice(
                    shortest_wait.name, left.deadline_ms, is_last_resort=True
                )
        if not askable:
            return None
        wait_ms = max_slot_wait_ms(
            askable, 0, left.deadline_ms, MIN_SLOT_WAIT_MS
        )
        if refused and len(askable) == 1:
            # Wait only briefly at the last target: if it refuses too, the
            # target with the shortest wait is known.
            wait_ms = min(wait_ms, MIN_SLOT_WAIT_MS)
        return Choice(
            askable[0].name, wait_ms, is_last_resort=len(askable) == 1
        )

    def _is_worth_asking(self, candidate: Candidate, left: TimeLeft) -> bool:
        error = self._refusals.get(candidate.name)
        if error is None:
            return True
        if error.code is not ErrorCode.OVERLOADED:
            return False
        age_s = left.now_s - self._asked_at_s[candidate.name]
        return age_s > REFUSAL_AGE_LIMIT_S

    def _find_shortest_wait(
        self,
        refused: Sequence[Candidate],
        left: TimeLeft,
    ) -> Candidate | None:
        """Return the target with the shortest wait that is worthwhile.

        A queue too long to meet the objective is not worthwhile: the caller
        should retry later. The end of a slowdown is, even if the answer is
        late. A nested call goes before the queue, and its refusal would fail
        the request that waits for it.
        """
        waits: list[tuple[float, Candidate]] = []
        for candidate in refused:
            error = self._refusals[candidate.name]
            load = error.load
            if error.code is not ErrorCode.OVERLOADED or load is None:
                continue
            if self._has_just_waited(candidate, left):
                continue
            wait_ms = load.wait_ms
            if self._has_tenant:
                wait_ms = min(wait_ms, error.retry_after_ms or wait_ms)
            ready_ms = wait_ms + load.service_time_us / US_PER_MS
            is_in_time = not wait_ms or ready_ms <= left.objective_ms
            if self._is_nested or is_in_time:
                waits.append((wait_ms, candidate))
        if not waits:
            return None
        return min(waits, key=lambda each: each[0])[1]

    def _has_just_waited(self, candidate: Candidate, left: TimeLeft) -> bool:
        """Return whether a target has just refused the longest wait."""
        waited_at_s = self._waited_at_s.get(candidate.name)
        if waited_at_s is None:
            return False
        return left.now_s - waited_at_s <= REFUSAL_AGE_LIMIT_S


def time_left(
    now_s: float,
    deadline_s: float,
    objective_ms: float,
) -> TimeLeft:
    """Return the time left until a deadline on the clock of ``now_s``."""
    return TimeLeft(now_s, (deadline_s - now_s) * MS_PER_S, objective_ms)
