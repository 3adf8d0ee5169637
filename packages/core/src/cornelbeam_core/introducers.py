"""Introducers of a failure domain: who they are and when to replace them.

The introducers object of a failure domain names up to six daemons that
others ask first. Any daemon of the failure domain that sees too few of them
live adds itself by a conditional write.
"""

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final, final

MIN_INTRODUCER_COUNT: Final = 3
MAX_INTRODUCER_COUNT: Final = 6
# One lost ping must not start a write.
FAILURES_UNTIL_LOST: Final = 2


@final
@dataclass(frozen=True, slots=True)
class WriteIntroducers:
    """Write the object on the condition that its version is as expected."""

    domain: str
    addresses: tuple[str, ...]
    expected_version: int


@final
@dataclass(frozen=True, slots=True)
class CheckIntroducer:
    """Ping an introducer and report the outcome by ``note_check``."""

    address: str


@final
@dataclass(frozen=True, slots=True)
class IntroducerSettings:
    """Times of the checks, in milliseconds.

    A failure domain of 800 daemons checks its 6 introducers with 4 pings a
    second each when every daemon checks one per ``check_period_ms``.
    Introducers check each other more often, as relays are chosen from them.
    """

    check_period_ms: int = 30_000
    introducer_check_period_ms: int = 1000
    write_spread_ms: int = 10_000
    expected_daemon_count: int = 800


@final
@dataclass(slots=True)
class _Check:
    failure_count: int = 0
    checked_at_s: float = -math.inf


@final
@dataclass(slots=True)
class IntroducerMonitor:
    """Watches the introducers of this daemon's failure domain."""

    domain: str
    own_address: str
    settings: IntroducerSettings = IntroducerSettings()
    _checks: dict[str, _Check] = field(default_factory=dict)
    _next_check_s: float = -math.inf
    _write_at_s: float | None = None

    def note_check(
        self,
        address: str,
        now_s: float,
        *,
        is_reachable: bool,
    ) -> None:
        """Note whether an introducer answered."""
        check = self._checks.setdefault(address, _Check())
        check.checked_at_s = now_s
        check.failure_count = 0 if is_reachable else check.failure_count + 1

    def live(self, addresses: Iterable[str]) -> tuple[str, ...]:
        """Give those that are not known to be lost, itself included."""
        return tuple(each for each in addresses if self._is_live(each))

    def tick(
        self,
        addresses: Sequence[str],
        version: int,
        now_s: float,
        rng: random.Random,
    ) -> tuple[CheckIntroducer | WriteIntroducers, ...]:
        """Check one introducer when due; write when too few are live.

        ``addresses`` and ``version`` are those of the object in force, empty
        and 0 when there is none.
        """
        self._forget_others(addresses)
        live = self.live(addresses)
        actions: list[CheckIntroducer | WriteIntroducers] = []
        others = [each for each in addresses if each != self.own_address]
        if others and now_s >= self._next_check_s:
            self._next_check_s = now_s + self._check_period_s(addresses)
            actions.append(CheckIntroducer(self._least_recent(others)))
        if len(live) >= MIN_INTRODUCER_COUNT or self.own_address in live:
            self._write_at_s = None
        elif self._write_at_s is None:
            self._write_at_s = now_s + self._draw_delay_s(rng)
        elif now_s >= self._write_at_s:
            # The next try has a new delay, in case the store does not answer.
            self._write_at_s = None
            wanted = (*live, self.own_address)[:MAX_INTRODUCER_COUNT]
            actions.append(WriteIntroducers(self.domain, wanted, version))
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
        # An introducer that missed one check is asked again soon.
        if any(each.failure_count == 1 for each in self._checks.values()):
            return self.settings.introducer_check_period_ms / 1000
        return self.settings.check_period_ms / 1000

    def _least_recent(self, others: Sequence[str]) -> str:
        return min(others, key=self._rank_check)

    def _rank_check(self, address: str) -> tuple[bool, float, str]:
        check = self._checks.get(address, _Check())
        return check.failure_count != 1, check.checked_at_s, address

    def _draw_delay_s(self, rng: random.Random) -> float:
        # An exponential distribution lets few of many daemons act early, so
        # that the others see the result first (Nonnenmacher, Biersack 1999).
        steepness = math.log(self.settings.expected_daemon_count)
        share = max(0, 1 + math.log(1 - rng.random()) / steepness)
        return share * self.settings.write_spread_ms / 1000

    def _forget_others(self, addresses: Sequence[str]) -> None:
        for address in tuple(self._checks):
            if address not in addresses:
                self._checks.pop(address)
