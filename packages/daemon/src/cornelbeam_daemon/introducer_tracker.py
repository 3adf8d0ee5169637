"""Track introducers from the configuration and the settings."""

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
    """Keeps the known introducers and decides whether this daemon relays.

    It also checks the introducers of its failure domain and collects the
    writes that replace them. The list of addresses is read from the
    configuration only when that has changed, as it is used at each tick and
    a fleet has thousands of objects.
    """

    __slots__ = (
        '_cached_addresses',
        '_cached_digest',
        '_config',
        '_monitor',
        '_own',
        '_seeds',
        'pending_writes',
    )

    def __init__(
        self,
        own: Target,
        config: ConfigurationState,
        seeds: Iterable[str],
    ) -> None:
        """Start with ``seeds``, the introducers named in the settings."""
        self.pending_writes: list[WriteIntroducers] = []
        self._own = own
        self._config = config
        self._seeds = tuple(seeds)
        self._monitor = IntroducerMonitor(own.domain, own.address)
        self._cached_digest = ''
        self._cached_addresses: list[str] = []

    def addresses(self) -> list[str]:
        """Return the other introducers, those of the own domain first."""
        digest = self._config.digest
        if digest != self._cached_digest:
            self._cached_digest = digest
            self._cached_addresses = self._read_all()
        return self._cached_addresses

    def is_relay(self) -> bool:
        """Return whether this daemon is a relay, which watches the store."""
        addresses, _ = self._read_own_domain()
        live = self._monitor.live(addresses)
        if not live:
            # No introducer is named or live yet, so this daemon has to watch
            # the store.
            return True
        return self._own.address in choose_relays(live, self._own.domain)

    def tick(self, now_s: float, rng: random.Random) -> list[str]:
        """Return the addresses to check and collect the writes that are due."""
        addresses, version = self._read_own_domain()
        to_check: list[str] = []
        for action in self._monitor.tick(addresses, version, now_s, rng):
            if isinstance(action, CheckIntroducer):
                to_check.append(action.address)
            else:
                self.pending_writes.append(action)
        return to_check

    def note_check(
        self,
        address: str,
        now_s: float,
        *,
        is_reachable: bool,
    ) -> None:
        """Record whether an introducer answered a check."""
        self._monitor.note_check(address, now_s, is_reachable=is_reachable)

    def _read_own_domain(self) -> tuple[list[str], int]:
        stored = self._config.find(INTRODUCERS_KIND, self._own.domain)
        if stored is None:
            return [], 0
        return _parse_addresses(stored.spec), stored.version

    def _read_all(self) -> list[str]:
        addresses, _ = self._read_own_domain()
        for stored in self._config.objects(INTRODUCERS_KIND):
            addresses.extend(_parse_addresses(stored.spec))
        addresses.extend(self._seeds)
        own_address = self._own.address
        return [
            address
            for address in dict.fromkeys(addresses)
            if address != own_address
        ]


def _parse_addresses(spec: bytes) -> list[str]:
    try:
        return list(msgspec.json.decode(spec)['addresses'])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return []
