"""Decayed counts of how much of a target is asked for and used.

State is bounded: a count is dropped once it has decayed, and a table keeps the
keys that asked last. Tenants that don't ask cost nothing.
"""

import math
from collections.abc import Collection, Hashable, ItemsView
from typing import Final, Generic, TypeVar, final

Key = TypeVar('Key', bound=Hashable)

# Time constant of the decay. A gate sees about one call of a tenant a second,
# and ten calls tell a tenant's share from its neighbours'.
DECAY_S: Final = 10.0
# A count with less than this share of a call left is dropped.
MIN_ASKED_COUNT: Final = 0.05
# Most keys in a table. A gate sees about 50 calls a second, and a single call
# decays within 30 seconds.
MAX_KEY_COUNT: Final = 2048


@final
class UseCount:
    """Calls asked and started, by number and by expected service time.

    >>> count = UseCount()
    >>> count.add_asked(now_s=0, work_s=0.2)
    >>> count.add_asked(now_s=0, work_s=0.2)
    >>> count.add_started(now_s=0, work_s=0.2)
    >>> count.started_share
    0.5
    """

    __slots__ = (
        '_decayed_at_s',
        'asked_count',
        'asked_s',
        'started_count',
        'used_s',
    )

    def __init__(self) -> None:
        """Start at zero."""
        self._decayed_at_s = -math.inf
        self.asked_count: float = 0
        self.asked_s: float = 0
        self.started_count: float = 0
        self.used_s: float = 0

    @property
    def started_share(self) -> float:
        """Share of the calls that were started, 1 without calls."""
        if not self.asked_count:
            return 1
        return min(1, self.started_count / self.asked_count)

    @property
    def mean_work_s(self) -> float:
        """Mean expected service time of the calls."""
        return self.asked_s / self.asked_count if self.asked_count else 0

    def add_asked(self, now_s: float, work_s: float) -> None:
        """Count a call that asks for the target."""
        self.decay(now_s)
        self.asked_count += 1
        self.asked_s += work_s

    def add_started(self, now_s: float, work_s: float) -> None:
        """Count a call that starts."""
        self.decay(now_s)
        self.started_count += 1
        self.used_s += work_s

    def decay(self, now_s: float) -> None:
        """Reduce all counts by the time since the last change."""
        elapsed_s = now_s - self._decayed_at_s
        if elapsed_s <= 0:
            return
        self._decayed_at_s = now_s
        factor = math.exp(-elapsed_s / DECAY_S)
        self.asked_count *= factor
        self.asked_s *= factor
        self.started_count *= factor
        self.used_s *= factor


@final
class UseTable(Generic[Key]):
    """Counts by key, at most ``MAX_KEY_COUNT`` of them.

    >>> table = UseTable()
    >>> table.get_or_add('school').add_asked(now_s=0, work_s=0.2)
    >>> table.decay(now_s=60)
    >>> bool(table)
    False
    """

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        """Start without keys."""
        # The key that asked last is at the end.
        self._counts: dict[Key, UseCount] = {}

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._counts)

    def get(self, key: Key) -> UseCount | None:
        """Return the count of a key."""
        return self._counts.get(key)

    def get_or_add(self, key: Key) -> UseCount:
        """Return the count of a key, and drop the key that asked first."""
        count = self._counts.pop(key, None) or UseCount()
        self._counts[key] = count
        if len(self._counts) > MAX_KEY_COUNT:
            self._counts.pop(next(iter(self._counts)))
        return count

    def items(self) -> ItemsView[Key, UseCount]:
        """Return all keys with their counts."""
        return self._counts.items()

    def clear(self) -> None:
        """Drop all keys."""
        self._counts.clear()

    def decay(self, now_s: float) -> None:
        """Let all counts decay and drop those that have decayed."""
        for decayed in self._counts.values():
            decayed.decay(now_s)
        self._counts = {
            key: count
            for key, count in self._counts.items()
            if count.asked_count >= MIN_ASKED_COUNT
        }


def water_level_s(demands_s: Collection[float], capacity_s: float) -> float:
    """Return the max-min fair share: nobody gets more, and all is used.

    It is infinite if the capacity suffices for all demands.

    >>> water_level_s([1, 4, 7], capacity_s=9)
    4.0
    >>> water_level_s([1, 2], capacity_s=3)
    inf
    """
    left_s = capacity_s
    left_count = len(demands_s)
    for demand_s in sorted(demands_s):
        share_s = left_s / left_count
        if demand_s > share_s:
            return share_s
        left_s -= demand_s
        left_count -= 1
    return math.inf
