"""Simulation of the membership of one service in virtual time.

The members exchange encoded frames of the peer protocol, each of which may be
lost; their bytes are counted. Messages are delivered without delay, because
transit is short compared with a tick. Run
``python -m cornelbeam_standins.membership_simulation`` for the tables of
``docs/membership.md``.
"""

import random
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final, final

from cornelbeam_core.members import MemberState, MemberUpdate
from cornelbeam_core.membership import (
    MemberChanged,
    Membership,
    MembershipAction,
    MembershipSettings,
    SendIndirectPing,
    SendPing,
)
from cornelbeam_core.targets import Target
from cornelbeam_wire.codec import encode_frame
from cornelbeam_wire.gen import messages

TICK_S: Final = 0.1
_STREAM_ID: Final = 101
_REVISION: Final = 1_234_567


@final
@dataclass(slots=True)
class SimulationTotals:
    """Totals of a simulation; times are seconds of virtual time.

    ``sent_bytes`` is by sender. ``deaths`` and ``suspicions`` are lists of
    (time, observer, member), in the order in which observers began to hold a
    member dead or suspect.
    """

    sent_bytes: Counter[int] = field(default_factory=Counter)
    message_count: int = 0
    deaths: list[tuple[float, int, int]] = field(default_factory=list)
    suspicions: list[tuple[float, int, int]] = field(default_factory=list)

    def count_false_deaths(self, stopped: Iterable[int]) -> int:
        """Count the members not in ``stopped`` that any observer held dead."""
        stopped_members = set(stopped)
        return len(
            {name for _, _, name in self.deaths if name not in stopped_members}
        )


@final
class MembershipSimulation:
    """Members of one service that know each other from the start.

    Members in ``absent`` or ``paused`` neither run nor receive messages.
    """

    __slots__ = (
        '_loss',
        '_members',
        '_rng',
        'absent',
        'now_s',
        'paused',
        'totals',
    )

    def __init__(
        self,
        size: int,
        seed: int,
        loss: float = 0,
        settings: MembershipSettings | None = None,
    ) -> None:
        """Start the members; ``loss`` is the fraction of lost messages."""
        self._rng = random.Random(seed)
        self._loss = loss
        self.now_s: float = 0
        self.absent: set[int] = set()
        self.paused: set[int] = set()
        self.totals = SimulationTotals()
        effective_settings = settings or MembershipSettings()
        self._members = [
            Membership(make_target(index), effective_settings)
            for index in range(size)
        ]
        own_updates = [each.own for each in self._members]
        for member in self._members:
            member.on_view(own_updates, self.now_s)

    def member(self, index: int) -> Membership:
        """Return the membership of one daemon."""
        return self._members[index]

    def restart(self, index: int, incarnation: int) -> None:
        """Restart a daemon; it starts with the view of the next member."""
        restarted = Membership(
            make_target(index, incarnation), MembershipSettings()
        )
        neighbour = self._members[(index + 1) % len(self._members)]
        restarted.on_view(neighbour.view(), self.now_s)
        self._members[index] = restarted
        self.absent.discard(index)

    def run(self, until_s: float) -> None:
        """Advance virtual time, ticking all running members."""
        while self.now_s < until_s:
            self.now_s = round(self.now_s + TICK_S, 3)
            for index, member in enumerate(self._members):
                if index in self.absent or index in self.paused:
                    continue
                self._execute(index, member.tick(self.now_s, self._rng))

    def count_observers(self, index: int, state: MemberState) -> int:
        """Count the members, except absent ones, that hold one in a state."""
        name = make_target(index).name
        held_updates = (
            member.find(name)
            for observer, member in enumerate(self._members)
            if observer != index and observer not in self.absent
        )
        return sum(
            1 for update in held_updates if update and update.state is state
        )

    def _execute(
        self,
        index: int,
        actions: Iterable[MembershipAction],
    ) -> None:
        for action in actions:
            if isinstance(action, SendPing):
                self._ping(index, index, action.name, action.updates)
            elif isinstance(action, SendIndirectPing):
                self._ping_indirectly(index, action)
            elif isinstance(action, MemberChanged):
                self._record_change(index, action.update)

    def _ping(
        self,
        requester: int,
        sender: int,
        name: str,
        updates: tuple[MemberUpdate, ...],
    ) -> None:
        receiver = _parse_index(name)
        ping = messages.Ping(
            updates=list(_encode_updates(updates)),
            revision=_REVISION,
            service_name=self._members[sender].own.target.service,
        )
        if not self._is_delivered(sender, receiver, ping=ping):
            return
        target = self._members[receiver]
        self._execute(receiver, target.on_updates(updates, self.now_s))
        answer = target.take_updates(self._members[sender].own.target.name)
        self._acknowledge(receiver, sender, receiver, answer)
        if requester != sender:
            self._acknowledge(sender, requester, receiver, answer)

    def _acknowledge(
        self,
        sender: int,
        receiver: int,
        subject: int,
        updates: tuple[MemberUpdate, ...],
    ) -> None:
        own = self._members[subject].own.target
        ack = messages.Ack(
            updates=list(_encode_updates(updates)),
            revision=_REVISION,
            name=own.name,
            incarnation=own.incarnation,
        )
        if self._is_delivered(sender, receiver, ack=ack):
            actions = self._members[receiver].on_ack(
                own.name,
                own.incarnation,
                updates,
                self.now_s,
            )
            self._execute(receiver, actions)

    def _ping_indirectly(
        self, requester: int, action: SendIndirectPing
    ) -> None:
        # The port of each target is the index of its member.
        via = int(action.via_address.rpartition(':')[2])
        request = messages.IndirectPing(
            name=action.name,
            address=action.address,
        )
        if self._is_delivered(requester, via, indirect_ping=request):
            updates = self._members[via].take_updates(action.name)
            self._ping(requester, via, action.name, updates)

    def _is_delivered(
        self,
        sender: int,
        receiver: int,
        **message: object,
    ) -> bool:
        frame = messages.Frame(stream_id=_STREAM_ID, **message)
        self.totals.sent_bytes[sender] += len(encode_frame(frame))
        self.totals.message_count += 1
        if receiver in self.absent or receiver in self.paused:
            return False
        return self._rng.random() >= self._loss

    def _record_change(self, observer: int, update: MemberUpdate) -> None:
        entry = self.now_s, observer, _parse_index(update.target.name)
        if update.state is MemberState.DEAD:
            self.totals.deaths.append(entry)
        elif update.state is MemberState.SUSPECT:
            self.totals.suspicions.append(entry)


def make_target(index: int, incarnation: int = 1) -> Target:
    """Make a target with names and labels of typical length."""
    return Target(
        f'windows-langley-{index:05}',
        'windows',
        'Langley',
        f'10.20.30.40:{index}',
        incarnation,
        {'rack': f'langley-r{index % 40:02}', 'tier': 'standard'},
    )


def _parse_index(name: str) -> int:
    return int(name.rpartition('-')[2])


def _encode_updates(
    updates: Iterable[MemberUpdate],
) -> Iterator[messages.MemberUpdate]:
    for update in updates:
        target = update.target
        yield messages.MemberUpdate(
            name=target.name,
            service_name=target.service,
            domain=target.domain,
            address=target.address,
            incarnation=target.incarnation,
            state=int(update.state),
            refutation=update.refutation,
            labels=dict(target.labels),
        )


def _print_sizes() -> None:
    updates = [
        Membership(make_target(index), MembershipSettings()).own
        for index in range(16)
    ]
    members = list(_encode_updates(updates))
    config = messages.ConfigObject(
        kind='selector',
        name='bookings-never-repeated',
        version=12,
        revision=_REVISION,
        is_deleted=False,
        spec=bytes(250),
    )
    frames = {
        'ping': messages.Frame(
            ping=messages.Ping([], _REVISION, 'windows'),
        ),
        'ping with one update': messages.Frame(
            ping=messages.Ping(members[:1], _REVISION, 'windows'),
        ),
        'ack': messages.Frame(
            ack=messages.Ack([], _REVISION, updates[0].target.name, 1),
        ),
        'view request': messages.Frame(
            view_request=messages.ViewRequest('windows', '0' * 16, 1),
        ),
        'view reply, unchanged': messages.Frame(
            view_reply=messages.ViewReply('windows', True, [], '0' * 16, 1),
        ),
        'view reply, 16 members': messages.Frame(
            view_reply=messages.ViewReply(
                'windows', False, members, '0' * 16, 1
            ),
        ),
        'config push, one object of 250 bytes': messages.Frame(
            config_push=messages.ConfigPush(
                [config], _REVISION - 1, _REVISION, False
            ),
        ),
    }
    print('message, bytes')
    for name, frame in frames.items():
        frame.stream_id = _STREAM_ID
        print(f'{name}, {len(encode_frame(frame))}')


def _print_traffic(seed: int) -> None:
    print('size, bytes/s per daemon at rest, with a restart per 10 s, max')
    for size in (3, 4, 16, 64, 256):
        group = MembershipSimulation(size, seed)
        group.run(60)
        before = group.totals.sent_bytes.copy()
        group.run(120)
        idle_rate = (group.totals.sent_bytes - before).total() / size / 60
        before = group.totals.sent_bytes.copy()
        for step in range(6):
            group.restart(step % size, incarnation=2 + step)
            group.run(130 + 10 * step)
        sent = group.totals.sent_bytes - before
        restart_rate = sent.total() / size / 60
        max_rate = max(sent.values()) / 60
        print(f'{size}, {idle_rate:.0f}, {restart_rate:.0f}, {max_rate:.0f}')


def _print_detection(seed: int, run_count: int) -> None:
    print('size, first suspects s, first holds dead s, all hold dead s (max)')
    for size in (3, 4, 16, 64, 256):
        times: list[tuple[float, float, float]] = []
        for run in range(run_count):
            group = MembershipSimulation(size, seed + run)
            group.run(20)
            group.absent.add(0)
            group.run(60)
            deaths = [each[0] for each in group.totals.deaths]
            suspected_s = min(each[0] for each in group.totals.suspicions)
            if group.count_observers(0, MemberState.DEAD) < size - 1:
                raise AssertionError(f'a failure was missed, size {size}')
            times.append((suspected_s, min(deaths), max(deaths)))
        means = [
            sum(each) / run_count - 20 for each in zip(*times, strict=True)
        ]
        worst = max(each[2] for each in times) - 20
        text = ', '.join(f'{each:.1f}' for each in means)
        print(f'{size}, {text} ({worst:.1f})')


def _print_suspicions(seed: int) -> None:
    print('size, loss, suspicions per daemon-hour, members held dead')
    for size in (4, 16, 64):
        for loss in (0.01, 0.05, 0.1, 0.2):
            group = MembershipSimulation(size, seed, loss)
            group.run(600)
            totals = group.totals
            hours = size * 600 / 3600
            distinct = {(at_s, name) for at_s, _, name in totals.suspicions}
            rate = len(distinct) / hours
            dead_count = totals.count_false_deaths(())
            print(f'{size}, {loss}, {rate:.1f}, {dead_count}')


if __name__ == '__main__':
    _print_sizes()
    _print_traffic(seed=1)
    _print_detection(seed=1, run_count=10)
    _print_suspicions(seed=1)
