"""Specification of how configuration spreads, over the shipped transitions.

The store accepts writes, relays read them, and daemons pass batches on and
pull from each other. A batch in flight can arrive at any daemon, now or after
others, again or never: this one rule covers delay, loss, reordering,
duplication, relaying and lost answers of the store.
"""

from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from typing import Final, NamedTuple, cast, final

import minicheck
from cornelbeam_core.configuration import (
    ConfigBatch,
    ConfigObject,
    ConfigurationState,
)

from cornelbeam_standins.model_search import ObjectStore

_KIND: Final = 'selector'
_NAMES: Final = ('a', 'b')
_NO_LIMIT: Final = 1_000_000


class Write(NamedTuple):
    """One accepted write; its place in the store's log is its revision."""

    name: str
    is_deleted: bool


class Fleet(NamedTuple):
    """One state of the specification.

    ``daemons`` and ``batches`` are given by their numbers. ``is_reverted``
    tells that some daemon has gone back to an earlier version.
    """

    writes: tuple[Write, ...] = ()
    daemons: tuple[int, ...] = ()
    batches: tuple[int, ...] = ()
    restart_count: int = 0
    is_reverted: bool = False


Step = tuple[str, Fleet]


@final
@dataclass(frozen=True, slots=True)
class ConfigurationRules:
    """What the search drives, with its bounds; mutations replace parts.

    The first ``relay_count`` daemons read the store. ``max_bytes`` cuts the
    answers to pulls; 1 means one object at a time. At most ``flight_count``
    different batches are in flight at once.
    """

    state_type: Callable[[], ConfigurationState] = ConfigurationState
    daemon_count: int = 3
    relay_count: int = 2
    write_count: int = 3
    restart_count: int = 1
    max_bytes: int = 1
    flight_count: int = 2


@final
class ConfigurationModel:
    """Transitions of the specification."""

    __slots__ = (
        '_answers',
        '_applied',
        '_checks',
        '_contents',
        '_empty',
        '_rules',
        '_store',
    )

    def __init__(self, rules: ConfigurationRules) -> None:
        """Prepare daemons without configuration."""
        self._rules = rules
        self._store = ObjectStore()
        self._empty = self._store.add(rules.state_type())
        self._contents: dict[int, dict[str, ConfigObject]] = {}
        self._answers: dict[Hashable, int] = {}
        self._applied: dict[tuple[int, int], tuple[int, bool]] = {}
        self._checks: dict[Hashable, bool] = {}

    def protocol(self) -> minicheck.Protocol:
        """Give the specification to the checker."""
        return minicheck.Protocol(
            name='configuration',
            candidate=False,
            fields=Fleet._fields,
            initial=Fleet(daemons=(self._empty,) * self._rules.daemon_count),
            transitions=self._steps,
            invariants={
                'versions_never_revert': _never_reverts,
                'revision_is_complete': self._is_complete,
                'nothing_is_invented': self._is_true,
                'complete_daemons_agree': self._is_agreed,
            },
            goal=self._is_converged,
        )

    def _steps(self, state: tuple[object, ...]) -> list[Step]:
        fleet = Fleet(*state)  # type: ignore[arg-type]
        return [
            *self._write(fleet),
            *self._watch(fleet),
            *self._pull(fleet),
            *self._deliver(fleet),
            *self._lose(fleet),
            *self._restart(fleet),
        ]

    def _write(self, fleet: Fleet) -> Iterator[Step]:
        if len(fleet.writes) == self._rules.write_count:
            return
        for name in _NAMES:
            is_present = _last_write(fleet.writes, name) is not None
            for is_deleted in (False, True)[: 1 + is_present]:
                writes = (*fleet.writes, Write(name, is_deleted))
                label = f'{"delete" if is_deleted else "put"} {name}'
                yield label, fleet._replace(writes=writes)

    def _watch(self, fleet: Fleet) -> Iterator[Step]:
        for daemon in range(self._rules.relay_count):
            since = self._read(fleet.daemons[daemon]).revision
            if since < len(fleet.writes):
                batch = self._read_store(fleet.writes, since)
                yield from self._offer(fleet, f'relay {daemon} watches', batch)

    def _read_store(self, writes: tuple[Write, ...], since: int) -> int:
        known = self._answers.get((writes, since))
        if known is None:
            news = (
                _as_object(writes, name)
                for name in _NAMES
                if (_last_write(writes, name) or 0) > since
            )
            batch = ConfigBatch(tuple(news), since, len(writes))
            known = self._store.add(batch)
            self._answers[writes, since] = known
        return known

    def _pull(self, fleet: Fleet) -> Iterator[Step]:
        for asker, number in enumerate(fleet.daemons):
            since = self._read(number).revision
            for giver, other in enumerate(fleet.daemons):
                if self._read(other).revision > since:
                    batch = self._read_daemon(other, since)
                    label = f'{asker} pulls from {giver}'
                    yield from self._offer(fleet, label, batch)

    def _read_daemon(self, number: int, since: int) -> int:
        known = self._answers.get((number, since))
        if known is None:
            giver = self._read(number)
            batch = giver.changes_since(since, self._rules.max_bytes)
            known = self._store.add(batch)
            self._answers[number, since] = known
        return known

    def _offer(self, fleet: Fleet, label: str, batch: int) -> Iterator[Step]:
        is_full = len(fleet.batches) == self._rules.flight_count
        if batch not in fleet.batches and not is_full:
            batches = tuple(sorted((*fleet.batches, batch)))
            yield label, fleet._replace(batches=batches)

    def _lose(self, fleet: Fleet) -> Iterator[Step]:
        for number in fleet.batches:
            batches = tuple(each for each in fleet.batches if each != number)
            yield 'lose a batch', fleet._replace(batches=batches)

    def _deliver(self, fleet: Fleet) -> Iterator[Step]:
        for daemon, number in enumerate(fleet.daemons):
            for batch_number in fleet.batches:
                changed, is_lower = self._apply(number, batch_number)
                if changed != number:
                    yield (
                        f'{daemon} applies batch {batch_number}',
                        self._with_daemon(fleet, daemon, changed)._replace(
                            is_reverted=fleet.is_reverted or is_lower,
                        ),
                    )

    def _apply(self, number: int, batch_number: int) -> tuple[int, bool]:
        known = self._applied.get((number, batch_number))
        if known is None:
            batch = cast('ConfigBatch', self._store.read(batch_number))
            changed, _ = self._store.call(number, 'apply_batch', batch)
            known = changed, self._is_lower(number, changed)
            self._applied[number, batch_number] = known
        return known

    def _restart(self, fleet: Fleet) -> Iterator[Step]:
        if fleet.restart_count == self._rules.restart_count:
            return
        for daemon, number in enumerate(fleet.daemons):
            if number != self._empty:
                yield (
                    f'{daemon} restarts',
                    self._with_daemon(fleet, daemon, self._empty)._replace(
                        restart_count=fleet.restart_count + 1,
                    ),
                )

    def _with_daemon(self, fleet: Fleet, daemon: int, number: int) -> Fleet:
        # Daemons of one role are alike: sorting them merges the states that
        # differ only in which is which.
        daemons = list(fleet.daemons)
        daemons[daemon] = number
        relay_count = self._rules.relay_count
        relays = sorted(daemons[:relay_count])
        return fleet._replace(
            daemons=(*relays, *sorted(daemons[relay_count:])),
        )

    def _read(self, number: int) -> ConfigurationState:
        return cast('ConfigurationState', self._store.read(number))

    def _held(self, number: int) -> dict[str, ConfigObject]:
        known = self._contents.get(number)
        if known is None:
            # A pull from zero gives all that the daemon holds.
            held = self._read(number).changes_since(0, _NO_LIMIT).objects
            known = {each.name: each for each in held}
            self._contents[number] = known
        return known

    def _is_lower(self, before: int, after: int) -> bool:
        later = self._held(after)
        is_lower = self._read(after).revision < self._read(before).revision
        return is_lower or any(
            name not in later or later[name].version < held.version
            for name, held in self._held(before).items()
        )

    def _is_complete(self, fleet: dict[str, tuple[int, ...]]) -> bool:
        writes = cast('tuple[Write, ...]', fleet['writes'])
        return all(
            self._check_once(self._holds_last_writes, number, writes)
            for number in fleet['daemons']
        )

    def _check_once(
        self,
        check: Callable[[int, tuple[Write, ...]], bool],
        number: int,
        writes: tuple[Write, ...],
    ) -> bool:
        key = check.__name__, number, writes
        if key not in self._checks:
            self._checks[key] = check(number, writes)
        return self._checks[key]

    def _holds_last_writes(
        self,
        number: int,
        writes: tuple[Write, ...],
    ) -> bool:
        held = self._held(number)
        revision = self._read(number).revision
        for name in _NAMES:
            last = _last_write(writes, name)
            if last is not None and last <= revision:
                if held.get(name) != _as_object(writes, name):
                    return False
        return True

    def _is_true(self, fleet: dict[str, tuple[int, ...]]) -> bool:
        writes = cast('tuple[Write, ...]', fleet['writes'])
        return all(
            self._check_once(self._holds_only_writes, number, writes)
            for number in fleet['daemons']
        )

    def _holds_only_writes(
        self,
        number: int,
        writes: tuple[Write, ...],
    ) -> bool:
        return all(
            held == _as_object(writes[: held.revision], held.name)
            for held in self._held(number).values()
        )

    def _is_agreed(self, fleet: dict[str, tuple[int, ...]]) -> bool:
        states = [self._read(number) for number in fleet['daemons']]
        digests = {
            each.digest
            for each in states
            if each.revision == len(fleet['writes'])
        }
        return len(digests) <= 1

    def _is_converged(self, fleet: dict[str, tuple[int, ...]]) -> bool:
        return all(
            self._read(number).revision == self._rules.write_count
            for number in fleet['daemons']
        )


def _never_reverts(fleet: dict[str, bool]) -> bool:
    return not fleet['is_reverted']


def _last_write(writes: tuple[Write, ...], name: str) -> int | None:
    revisions = [
        revision
        for revision, write in enumerate(writes, start=1)
        if write.name == name
    ]
    return revisions[-1] if revisions else None


def _as_object(writes: tuple[Write, ...], name: str) -> ConfigObject:
    mine = [
        (revision, write)
        for revision, write in enumerate(writes, start=1)
        if write.name == name
    ]
    revision, last = mine[-1]
    spec = b'' if last.is_deleted else str(revision).encode()
    return ConfigObject(
        _KIND,
        name,
        len(mine),
        revision,
        last.is_deleted,
        spec,
    )
