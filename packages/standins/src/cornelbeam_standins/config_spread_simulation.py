"""Simulation of one configuration change spreading over a fleet.

Every daemon has the production ``ConfigurationState``. Its peers are the
members of its own service and of the services that it calls, and some
introducers. Time advances in rounds of a second, and pushes arrive within the
first round. In each later round a daemon compares revisions with

- one member of its own service;
- its contacts and one introducer, if it announces itself in this round;
- one member of a called service, if view requests carry the revision.

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

_ANNOUNCEMENT_PERIOD_S: Final = 30
_CONTACT_COUNT: Final = 3
_KNOWN_INTRODUCER_COUNT: Final = 6
_CHANGE: Final = ConfigBatch(
    (ConfigObject('failure-domain', 'Langley', 1, 1, False, b'{}'),),
    0,
    1,
)


@final
@dataclass(frozen=True, slots=True)
class FleetSize:
    """Size of a fleet in which each service calls ``called_count`` services.

    ``has_view_revision`` tells whether view requests carry the revision.
    """

    daemon_count: int
    service_count: int
    introducer_count: int
    called_count: int
    has_view_revision: bool


@final
class ConfigSpreadSimulation:
    """Fleet in which a relay has just read a change from the Object API."""

    __slots__ = (
        '_announcement_offsets',
        '_called',
        '_contacts',
        '_gossips',
        '_introducers',
        '_members',
        '_rng',
        '_service_of',
        '_size',
        '_states',
    )

    def __init__(self, size: FleetSize, seed: int) -> None:
        """Choose services, called services and introducers at random."""
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
        self._announcement_offsets = [
            rng.randrange(_ANNOUNCEMENT_PERIOD_S) for _ in daemons
        ]
        self._states = [ConfigurationState() for _ in daemons]
        self._gossips = [ConfigurationGossip(each) for each in self._states]

    def push(self) -> int:
        """Push the change; return how many daemons still lack it."""
        relay = self._introducers[0]
        _, actions = self._gossips[relay].on_store_batch(
            _CHANGE,
            self._peers(relay),
            self._rng,
        )
        self._deliver_pushes(relay, actions, 0)
        return self._count_missing()

    def repair(self, now_s: int) -> int:
        """Run one round of comparisons; return how many lack the change."""
        # All comparisons of a round use the revisions at its start.
        revisions = [each.revision for each in self._states]
        for daemon in range(self._size.daemon_count):
            for peer in self._choose_compared_peers(daemon, now_s):
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
        actions = self._gossips[daemon].on_peer_revision(
            str(peer),
            revision,
            now_s,
        )
        for action in actions:
            self._answer_pull(daemon, int(action.peer), now_s)

    def _answer_pull(self, daemon: int, peer: int, now_s: int) -> None:
        known_revision = self._states[daemon].revision
        for action in self._gossips[peer].on_pull(str(daemon), known_revision):
            if isinstance(action, PushConfig):
                _, new_actions = self._gossips[daemon].on_push(
                    action.batch,
                    str(peer),
                    self._peers(daemon),
                    now_s,
                    self._rng,
                )
                self._deliver_pushes(daemon, new_actions, now_s)

    def _deliver_pushes(
        self,
        sender: int,
        actions: tuple[ConfigAction, ...],
        now_s: int,
    ) -> None:
        pending = deque((sender, each) for each in actions)
        while pending:
            source, action = pending.popleft()
            receiver = int(action.peer)
            if isinstance(action, PullConfig):
                raise AssertionError('one change cannot leave a gap')
            _, new_actions = self._gossips[receiver].on_push(
                action.batch,
                str(source),
                self._peers(receiver),
                now_s,
                self._rng,
            )
            pending.extend((receiver, each) for each in new_actions)

    def _choose_compared_peers(self, daemon: int, now_s: int) -> Iterator[int]:
        service = self._service_of[daemon]
        yield self._rng.choice(self._members[service])
        if now_s % _ANNOUNCEMENT_PERIOD_S == self._announcement_offsets[daemon]:
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
        peers.update(self._introducers[:_KNOWN_INTRODUCER_COUNT])
        peers.discard(daemon)
        return [str(each) for each in sorted(peers)]

    def _count_missing(self) -> int:
        return sum(1 for each in self._states if each.revision == 0)


def print_table(seed_count: int) -> None:
    """Print how many daemons lack the change after pushes, and for how long."""
    print('daemons, services, view revision, missing after pushes, seconds')
    sizes = (
        FleetSize(16, 4, 3, 2, has_view_revision=False),
        FleetSize(16, 4, 3, 2, has_view_revision=True),
        FleetSize(15_000, 960, 114, 5, has_view_revision=False),
        FleetSize(15_000, 960, 114, 5, has_view_revision=True),
    )
    for size in sizes:
        missing, durations_s = [], []
        for seed in range(seed_count):
            run = ConfigSpreadSimulation(size, seed)
            missing.append(run.push())
            now_s, lacking_count = 0, missing[-1]
            while lacking_count:
                now_s += 1
                lacking_count = run.repair(now_s)
            durations_s.append(now_s)
        print(
            f'{size.daemon_count}, {size.service_count},'
            f' {size.has_view_revision}, {min(missing)} to {max(missing)},'
            f' {min(durations_s)} to {max(durations_s)}',
        )


if __name__ == '__main__':
    print_table(seed_count=5)
