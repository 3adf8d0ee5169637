"""Spread of one configuration change over a fleet, in rounds of a second.

Every daemon has the shipped ``ConfigurationState`` and its peers: its own
service, the services that it calls and some introducers. Pushes arrive within
the first round. In each later round a daemon compares revisions with one
member of its service, in the announcement's turn with its contacts and one
introducer, and with one called member if view requests carry the revision.
Run ``python -m cornelbeam_standins.config_spread_simulation`` for the table of
``docs/membership.md``.
"""

import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.configuration import (
    ConfigAction,
    ConfigBatch,
    ConfigObject,
    ConfigurationGossip,
    ConfigurationState,
    PullConfig,
    PushConfig,
)

_ANNOUNCEMENT_S: Final = 30
_CONTACT_COUNT: Final = 3
_KNOWN_INTRODUCERS: Final = 6
_CHANGE: Final = ConfigBatch(
    (ConfigObject('failure-domain', 'Langley', 1, 1, False, b'{}'),),
    0,
    1,
)


@final
@dataclass(frozen=True, slots=True)
class SpreadSize:
    """Size of the fleet, and whether view requests carry the revision."""

    daemon_count: int
    service_count: int
    introducer_count: int
    called_count: int
    has_view_revision: bool


@final
class ConfigSpreadSimulation:
    """A fleet in which a relay has just read a change from the store."""

    __slots__ = (
        '_called',
        '_contacts',
        '_introducers',
        '_members',
        '_rng',
        '_service_of',
        '_size',
        '_spreads',
        '_states',
        '_turns',
    )

    def __init__(self, size: SpreadSize, seed: int) -> None:
        """Draw services, calls and introducers."""
        rng = random.Random(seed)
        services = range(size.service_count)
        daemons = range(size.daemon_count)
        self._rng = rng
        self._size = size
        self._service_of = [
            daemon if daemon in services else rng.choice(services)
            for daemon in daemons
        ]
        self._members: list[list[int]] = [[] for _ in services]
        for daemon, service in enumerate(self._service_of):
            self._members[service].append(daemon)
        self._called = [
            rng.sample(services, size.called_count) for _ in services
        ]
        self._introducers = rng.sample(daemons, size.introducer_count)
        contact_count = min(_CONTACT_COUNT, size.introducer_count)
        self._contacts = [
            rng.sample(self._introducers, contact_count) for _ in services
        ]
        self._turns = [rng.randrange(_ANNOUNCEMENT_S) for _ in daemons]
        self._states = [ConfigurationState() for _ in daemons]
        self._spreads = [ConfigurationGossip(each) for each in self._states]

    def push(self) -> int:
        """Spread by pushes alone; count the daemons that lack the change."""
        relay = self._introducers[0]
        _, actions = self._spreads[relay].on_store_batch(
            _CHANGE,
            self._peers(relay),
            self._rng,
        )
        self._settle(relay, actions, 0)
        return self._count_missing()

    def repair(self, now_s: int) -> int:
        """Compare revisions for a second; count those that lack the change."""
        # All compare what they had at the start of the second.
        revisions = [each.revision for each in self._states]
        for daemon in range(self._size.daemon_count):
            for peer in self._compared(daemon, now_s):
                self._compare(daemon, peer, revisions[peer], now_s)
                self._compare(peer, daemon, revisions[daemon], now_s)
        return self._count_missing()

    def _compare(
        self,
        daemon: int,
        peer: int,
        revision: int,
        now_s: int,
    ) -> None:
        actions = self._spreads[daemon].on_peer_revision(
            str(peer),
            revision,
            now_s,
        )
        for action in actions:
            self._settle_pull(daemon, int(action.peer), now_s)

    def _settle_pull(self, daemon: int, peer: int, now_s: int) -> None:
        since = self._states[daemon].revision
        for action in self._spreads[peer].on_pull(str(daemon), since):
            if isinstance(action, PushConfig):
                _, more = self._spreads[daemon].on_push(
                    action.batch,
                    str(peer),
                    self._peers(daemon),
                    now_s,
                    self._rng,
                )
                self._settle(daemon, more, now_s)

    def _settle(
        self,
        sender: int,
        actions: tuple[ConfigAction, ...],
        now_s: int,
    ) -> None:
        waiting = deque((sender, each) for each in actions)
        while waiting:
            source, action = waiting.popleft()
            receiver = int(action.peer)
            if isinstance(action, PullConfig):
                raise AssertionError('one change cannot leave a gap')
            _, more = self._spreads[receiver].on_push(
                action.batch,
                str(source),
                self._peers(receiver),
                now_s,
                self._rng,
            )
            waiting.extend((receiver, each) for each in more)

    def _compared(self, daemon: int, now_s: int) -> Iterator[int]:
        service = self._service_of[daemon]
        yield self._rng.choice(self._members[service])
        if now_s % _ANNOUNCEMENT_S == self._turns[daemon]:
            yield from self._contacts[service]
            yield self._rng.choice(self._introducers)
        if self._size.has_view_revision:
            called = self._rng.choice(self._called[service])
            yield self._rng.choice(self._members[called])

    def _peers(self, daemon: int) -> list[str]:
        service = self._service_of[daemon]
        peers = set(self._members[service])
        for called in self._called[service]:
            peers.update(self._members[called])
        peers.update(self._introducers[:_KNOWN_INTRODUCERS])
        peers.discard(daemon)
        return [str(each) for each in sorted(peers)]

    def _count_missing(self) -> int:
        return sum(1 for each in self._states if each.revision == 0)


def print_table(seed_count: int) -> None:
    """Print for each fleet how many lack the change, and for how long."""
    print('daemons, services, view revision, missing after pushes, seconds')
    sizes = (
        SpreadSize(16, 4, 3, 2, has_view_revision=False),
        SpreadSize(16, 4, 3, 2, has_view_revision=True),
        SpreadSize(15_000, 960, 114, 5, has_view_revision=False),
        SpreadSize(15_000, 960, 114, 5, has_view_revision=True),
    )
    for size in sizes:
        missing, seconds = [], []
        for seed in range(seed_count):
            run = ConfigSpreadSimulation(size, seed)
            missing.append(run.push())
            now_s, left = 0, missing[-1]
            while left:
                now_s += 1
                left = run.repair(now_s)
            seconds.append(now_s)
        print(
            f'{size.daemon_count}, {size.service_count},'
            f' {size.has_view_revision}, {min(missing)} to {max(missing)},'
            f' {min(seconds)} to {max(seconds)}',
        )


if __name__ == '__main__':
    print_table(seed_count=5)
