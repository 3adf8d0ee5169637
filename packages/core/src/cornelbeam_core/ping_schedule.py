"""Order in which members are pinged, and pings that await an ack."""

import math
import random
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import final


@final
@dataclass(slots=True)
class PendingPing:
    """A ping that awaits an ack; times use the clock of ``tick``."""

    incarnation: int
    indirect_at_s: float
    fail_at_s: float
    is_indirect_sent: bool = False


@final
@dataclass(slots=True)
class PingSchedule:
    """Order of the members in the current round; the last one comes next.

    Each round has a new random order. Unlike independent random choices, this
    bounds the time until every member is pinged.
    """

    dead_ping_every: int
    next_ping_s: float = -math.inf
    last_tick_s: float = math.inf
    _ping_count: int = 0
    _order: list[str] = field(default_factory=list)

    def schedule_next(self, name: str) -> None:
        """Ping a member next."""
        self._order.append(name)

    def schedule_after_next(self, name: str) -> None:
        """Ping a member after the next one."""
        self._order.insert(max(0, len(self._order) - 1), name)

    def choose(
        self,
        present: Collection[str],
        idle: Collection[str],
        dead_names: Collection[str],
        rng: random.Random,
    ) -> str | None:
        """Choose the member to ping now, or None if there is none.

        ``idle`` holds the present members without a pending ping. A dead
        member is chosen periodically, as it may only have been partitioned.
        """
        self._ping_count += 1
        if dead_names and self._ping_count % self.dead_ping_every == 0:
            return rng.choice(sorted(dead_names))
        if not idle:
            return None
        while True:
            if not self._order:
                self._order = sorted(present)
                rng.shuffle(self._order)
            name = self._order.pop()
            if name in idle:
                return name
