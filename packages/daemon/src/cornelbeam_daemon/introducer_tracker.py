"""Introducers as this daemon knows them, from the store and the settings."""

import random
from collections.abc import Iterable
from typing import Final, final

import msgspec
from cornelbeam_core.configuration import ConfigurationState
from cornelbeam_core.introducers import (
    CheckIntroducer,
    IntroducerMonitor,
    WriteIntroducers,
)
from cornelbeam_core.relays import choose_relays
from cornelbeam_core.targets import Target

INTRODUCERS_KIND: Final = 'introducers'


@final
class IntroducerTracker:
    """Who to ask first, who watches the store, and when to name others.

    The list is read from the configuration only when that has changed: it is
    used at each tick, and a fleet has thousands of objects.
    """

    __slots__ = (
        '_config',
        '_digest',
        '_keeper',
        '_known',
        '_own',
        '_seeds',
        'wanted_writes',
    )

    def __init__(
        self,
        own: Target,
        config: ConfigurationState,
        seeds: Iterable[str],
    ) -> None:
        """Start with ``seeds``, the introducers of the settings."""
        self.wanted_writes: list[WriteIntroducers] = []
        self._own = own
        self._config = config
        self._seeds = tuple(seeds)
        self._keeper = IntroducerMonitor(own.domain, own.address)
        self._digest = ''
        self._known: list[str] = []

    def known(self) -> list[str]:
        """Give all other introducers, those of the own domain first."""
        digest = self._config.digest
        if digest != self._digest:
            self._digest = digest
            self._known = self._read()
        return self._known

    def is_relay(self) -> bool:
        """Tell whether this daemon watches the store for its domain."""
        addresses, _ = self._of_own_domain()
        live = self._keeper.live(addresses)
        if not live:
            # Nobody is named yet: whoever starts first has to look.
            return True
        return self._own.address in choose_relays(live, self._own.domain)

    def tick(self, now_s: float, rng: random.Random) -> list[str]:
        """Give the addresses to check; collect the writes that are due."""
        addresses, version = self._of_own_domain()
        to_check: list[str] = []
        for action in self._keeper.tick(addresses, version, now_s, rng):
            if isinstance(action, CheckIntroducer):
                to_check.append(action.address)
            else:
                self.wanted_writes.append(action)
        return to_check

    def note_check(
        self,
        address: str,
        now_s: float,
        *,
        is_reachable: bool,
    ) -> None:
        """Note whether an introducer answered."""
        self._keeper.note_check(address, now_s, is_reachable=is_reachable)

    def _of_own_domain(self) -> tuple[list[str], int]:
        held = self._config.find(INTRODUCERS_KIND, self._own.domain)
        if held is None:
            return [], 0
        return _addresses(held.spec), held.version

    def _read(self) -> list[str]:
        known, _ = self._of_own_domain()
        for held in self._config.objects(INTRODUCERS_KIND):
            known.extend(_addresses(held.spec))
        known.extend(self._seeds)
        own_address = self._own.address
        return [each for each in dict.fromkeys(known) if each != own_address]


def _addresses(spec: bytes) -> list[str]:
    try:
        return list(msgspec.json.decode(spec)['addresses'])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return []
