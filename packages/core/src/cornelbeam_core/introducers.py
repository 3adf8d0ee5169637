"""Introducers of a failure domain: their health checks and replacement.

The introducers object of a failure domain lists up to six daemons that other
daemons contact first. Any daemon of the failure domain that finds too few of
them live adds itself by a conditional write.
"""

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final, final

MIN_INTRODUCER_COUNT: Final = 3
MAX_INTRODUCER_COUNT: Final = 6
# A single lost ping must not trigger a write.
FAILURES_UNTIL_LOST: Final = 2


@final
@dataclass(frozen=True, slots=True)
class WriteIntroducers:
    """Write the introducers object if its version is as expected."""

    domain: str
    addresses: tuple[str, ...]
    expected_version: int


@final
@dataclass(frozen=True, slots=True)
class CheckIntroducer:
    """Ping an introducer and report the outcome to ``note_check``."""

    address: str


@final
@dataclass(frozen=True, slots=True)
class IntroducerSettings:
    """Timing of checks and writes.

    In a failure domain of 800 daemons, each of the 6 introducers gets 4 pings
    a second if every daemon checks one introducer per ``check_period_ms``.
    Introducers check each other more often because relays are chosen from
    them.
    """

    check_period_ms: int = 30_000
    introducer_check_period_ms: int = 1000
    max_write_delay_ms: int = 10_000
    expected_daemon_count: int = 800


@final
@dataclass(slots=True)
class _CheckHistory:
    failure_count: int = 0
    checked_at_s: float = -math.inf


@final
@dataclass(slots=True)
class IntroducerMonitor:
    """Monitors the introducers of this daemon's failure domain."""

    domain: str
    own_address: str
    settings: IntroducerSettings = IntroducerSettings()
    _checks: dict[str, _CheckHistory] = field(default_factory=dict)
    _next_check_s: float = -math.inf
    _write_at_s: float | None = None

    def note_check(
        self,
        address: str,
        now_s: float,
        *,
        is_reachable: bool,
    ) -> None:
        """Record whether an introducer answered a ping."""
        check = self._checks.setdefault(address, _CheckHistory())
        check.checked_at_s = now_s
        check.failure_count = 0 if is_reachable else check.failure_count + 1

    def live(self, addresses: Iterable[str]) -> tuple[str, ...]:
        """Return the addresses not known to be lost; its own always counts."""
        return tuple(each for each in addresses if self._is_live(each))

    def tick(
        self,
        addresses: Sequence[str],
        version: int,
        now_s: float,
        rng: random.Random,
    ) -> tuple[CheckIntroducer | WriteIntroducers, ...]:
        """Check one introducer if due; write if too few are live.

        ``addresses`` and ``version`` are those of the current introducers
        object, or empty and 0 if there is none.
        """
        self._prune_checks(addresses)
        live = self.live(addresses)
        actions: list[CheckIntroducer | WriteIntroducers] = []
        others = [each for each in addresses if each != self.own_address]
        if others and now_s >= self._next_check_s:
            self._next_check_s = now_s + self._check_period_s(addresses)
            actions.append(CheckIntroducer(self._choose_check(others)))
        if len(live) >= MIN_INTRODUCER_COUNT or self.own_address in live:
            self._write_at_s = None
        elif self._write_at_s is None:
            self._write_at_s = now_s + self._random_write_delay_s(rng)
        elif now_s >= self._write_at_s:
            # Draw a new delay for the next try if the store does not answer.
            self._write_at_s = None
            replacement = (*live, self.own_address)[:MAX_INTRODUCER_COUNT]
            actions.append(WriteIntroducers(self.domain, replacement, version))
        return tuple(actions)

    def _is_live(self, address: str) -> bool:
        check = self._checks.get(address)
        return (
            address == self.own_address
            or check is None
            or check.failure_count < FAILURES_UNTIL_LOST
        )

    def _check_period_s(self, addresses: Sequence[str]) -> float:
        if self.own_address in addresses:
            return self.settings.introducer_check_period_ms / 1000
        # An introducer that failed one check is checked again soon.
        if any(each.failure_count == 1 for each in self._checks.values()):
            return self.settings.introducer_check_period_ms / 1000
        return self.settings.check_period_ms / 1000

    def _choose_check(self, others: Sequence[str]) -> str:
        return min(others, key=self._check_order)

    def _check_order(self, address: str) -> tuple[bool, float, str]:
        check = self._checks.get(address, _CheckHistory())
        return check.failure_count != 1, check.checked_at_s, address

    def _random_write_delay_s(self, rng: random.Random) -> float:
        # With exponentially distributed delays only a few of many daemons act
        # early, and the others see their writes before they act
        # (Nonnenmacher, Biersack 1999).
        rate = math.log(self.settings.expected_daemon_count)
        delay_fraction = max(0, 1 + math.log(1 - rng.random()) / rate)
        return delay_fraction * self.settings.max_write_delay_ms / 1000

    def _prune_checks(self, addresses: Sequence[str]) -> None:
        for address in tuple(self._checks):
            if address not in addresses:
                self._checks.pop(address)
