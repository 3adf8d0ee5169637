"""Whom to ping next, and the pings that wait for an ack."""

import math
import random
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import final


@final
@dataclass(slots=True)
class PendingPing:
    """A ping without an ack so far; times are those of ``tick``."""

    incarnation: int
    indirect_at_s: float
    fail_at_s: float
    is_indirect_sent: bool = False


@final
@dataclass(slots=True)
class PingSchedule:
    """Order of the members in the present round; the last one is next.

    A new random order per round bounds the time until each member is pinged,
    where random choice would not.
    """

    dead_ping_every: int
    next_ping_s: float = -math.inf
    last_tick_s: float = math.inf
    _ping_count: int = 0
    _order: list[str] = field(default_factory=list)

    def add_next(self, name: str) -> None:
        """Ping a member next."""
        self._order.append(name)

    def add_second(self, name: str) -> None:
        """Ping a member after the next one."""
        self._order.insert(max(0, len(self._order) - 1), name)

    def choose(
        self,
        present: Collection[str],
        idle: Collection[str],
        dead: Collection[str],
        rng: random.Random,
    ) -> str | None:
        """Choose whom to ping now, None if there is nobody.

        ``idle`` are those present that have no ping under way. A dead member
        is chosen now and then, as it may only have been cut off.
        """
        self._ping_count += 1
        if dead and self._ping_count % self.dead_ping_every == 0:
            return rng.choice(sorted(dead))
        if not idle:
            return None
        while True:
            if not self._order:
                self._order = sorted(present)
                rng.shuffle(self._order)
            name = self._order.pop()
            if name in idle:
                return name
