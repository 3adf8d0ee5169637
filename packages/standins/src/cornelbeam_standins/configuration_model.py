"""Model of configuration gossip, checked by exhaustive search.

The store accepts writes, relays read them, and daemons push batches to each
other and pull from each other. A batch in flight can arrive at any daemon, in
any order, repeatedly or never. This one rule covers delay, loss, reordering,
duplication, relaying and lost answers of the store. The daemons apply batches
with the production code of ``ConfigurationState``.
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

from cornelbeam_standins.model_search import SnapshotPool

_KIND: Final = 'selector'
_NAMES: Final = ('a', 'b')
# Limit in bytes that the few small objects of the model never reach.
_NO_LIMIT: Final = 1_000_000


class Write(NamedTuple):
    """One accepted write; its revision is its position in the log, from 1."""

    name: str
    is_deleted: bool


class FleetState(NamedTuple):
    """One state of the model.

    ``daemons`` and ``batches`` refer to snapshots by number. ``is_reverted``
    is true once any daemon has returned to an earlier version.
    """

    writes: tuple[Write, ...] = ()
    daemons: tuple[int, ...] = ()
    batches: tuple[int, ...] = ()
    restart_count: int = 0
    is_reverted: bool = False


Transition = tuple[str, FleetState]


@final
@dataclass(frozen=True, slots=True)
class ConfigurationRules:
    """Code under test and bounds of the search; mutations replace fields.

    The first ``relay_count`` daemons read the store. ``max_bytes`` limits the
    answers to pulls; 1 means one object per answer. At most
    ``flight_count`` distinct batches are in flight at once.
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
    """Transitions between the states of the model."""

    __slots__ = (
        '_answered_batches',
        '_applied',
        '_checks',
        '_contents',
        '_initial_id',
        '_rules',
        '_snapshots',
    )

    def __init__(self, rules: ConfigurationRules) -> None:
        """Start with daemons that have no configuration."""
        self._rules = rules
        self._snapshots = SnapshotPool()
        self._initial_id = self._snapshots.add(rules.state_type())
        self._contents: dict[int, dict[str, ConfigObject]] = {}
        self._answered_batches: dict[Hashable, int] = {}
        self._applied: dict[tuple[int, int], tuple[int, bool]] = {}
        self._checks: dict[Hashable, bool] = {}

    def protocol(self) -> minicheck.Protocol:
        """Return the model in the form that the checker takes."""
        return minicheck.Protocol(
            name='configuration',
            candidate=False,
            fields=FleetState._fields,
            initial=FleetState(
                daemons=(self._initial_id,) * self._rules.daemon_count,
            ),
            transitions=self._transitions,
            invariants={
                'versions_never_revert': _never_reverts,
                'revision_is_complete': self._is_complete,
                'nothing_is_invented': self._is_accurate,
                'complete_daemons_agree': self._digests_agree,
            },
            goal=self._is_converged,
        )

    def _transitions(self, state: tuple[object, ...]) -> list[Transition]:
        fleet = FleetState(*state)  # type: ignore[arg-type]
        return [
            *self._write(fleet),
            *self._watch(fleet),
            *self._pull(fleet),
            *self._deliver(fleet),
            *self._drop_batch(fleet),
            *self._restart(fleet),
        ]

    def _write(self, fleet: FleetState) -> Iterator[Transition]:
        if len(fleet.writes) == self._rules.write_count:
            return
        for name in _NAMES:
            # An object that was never written cannot be deleted.
            has_writes = _last_write(fleet.writes, name) is not None
            for is_deleted in (False, True)[: 1 + has_writes]:
                writes = (*fleet.writes, Write(name, is_deleted))
                label = f'{"delete" if is_deleted else "put"} {name}'
                yield label, fleet._replace(writes=writes)

    def _watch(self, fleet: FleetState) -> Iterator[Transition]:
        for daemon in range(self._rules.relay_count):
            since = self._read(fleet.daemons[daemon]).revision
            if since < len(fleet.writes):
                batch_id = self._read_store(fleet.writes, since)
                yield from self._add_in_flight(
                    fleet,
                    f'relay {daemon} watches',
                    batch_id,
                )

    def _read_store(self, writes: tuple[Write, ...], since: int) -> int:
        cached = self._answered_batches.get((writes, since))
        if cached is None:
            changes = (
                _as_object(writes, name)
                for name in _NAMES
                if (_last_write(writes, name) or 0) > since
            )
            batch = ConfigBatch(tuple(changes), since, len(writes))
            cached = self._snapshots.add(batch)
            self._answered_batches[writes, since] = cached
        return cached

    def _pull(self, fleet: FleetState) -> Iterator[Transition]:
        for puller, state_id in enumerate(fleet.daemons):
            since = self._read(state_id).revision
            for source, source_id in enumerate(fleet.daemons):
                if self._read(source_id).revision > since:
                    batch_id = self._read_daemon(source_id, since)
                    label = f'{puller} pulls from {source}'
                    yield from self._add_in_flight(fleet, label, batch_id)

    def _read_daemon(self, state_id: int, since: int) -> int:
        cached = self._answered_batches.get((state_id, since))
        if cached is None:
            source = self._read(state_id)
            batch = source.changes_since(since, self._rules.max_bytes)
            cached = self._snapshots.add(batch)
            self._answered_batches[state_id, since] = cached
        return cached

    def _add_in_flight(
        self,
        fleet: FleetState,
        label: str,
        batch_id: int,
    ) -> Iterator[Transition]:
        is_full = len(fleet.batches) == self._rules.flight_count
        if batch_id not in fleet.batches and not is_full:
            batches = tuple(sorted((*fleet.batches, batch_id)))
            yield label, fleet._replace(batches=batches)

    def _drop_batch(self, fleet: FleetState) -> Iterator[Transition]:
        for batch_id in fleet.batches:
            batches = tuple(
                other for other in fleet.batches if other != batch_id
            )
            yield 'lose a batch', fleet._replace(batches=batches)

    def _deliver(self, fleet: FleetState) -> Iterator[Transition]:
        for daemon, state_id in enumerate(fleet.daemons):
            for batch_id in fleet.batches:
                changed, has_reverted = self._apply(state_id, batch_id)
                if changed != state_id:
                    yield (
                        f'{daemon} applies batch {batch_id}',
                        self._with_daemon(fleet, daemon, changed)._replace(
                            is_reverted=fleet.is_reverted or has_reverted,
                        ),
                    )

    def _apply(self, state_id: int, batch_id: int) -> tuple[int, bool]:
        cached = self._applied.get((state_id, batch_id))
        if cached is None:
            batch = cast('ConfigBatch', self._snapshots.read(batch_id))
            changed, _ = self._snapshots.call(state_id, 'apply_batch', batch)
            cached = changed, self._has_reverted(state_id, changed)
            self._applied[state_id, batch_id] = cached
        return cached

    def _restart(self, fleet: FleetState) -> Iterator[Transition]:
        if fleet.restart_count == self._rules.restart_count:
            return
        for daemon, state_id in enumerate(fleet.daemons):
            if state_id != self._initial_id:
                yield (
                    f'{daemon} restarts',
                    self._with_daemon(fleet, daemon, self._initial_id)._replace(
                        restart_count=fleet.restart_count + 1,
                    ),
                )

    def _with_daemon(
        self,
        fleet: FleetState,
        daemon: int,
        state_id: int,
    ) -> FleetState:
        # Daemons of one role are interchangeable: sorting them merges states
        # that differ only in their order.
        daemons = list(fleet.daemons)
        daemons[daemon] = state_id
        relay_count = self._rules.relay_count
        relays = sorted(daemons[:relay_count])
        return fleet._replace(
            daemons=(*relays, *sorted(daemons[relay_count:])),
        )

    def _read(self, state_id: int) -> ConfigurationState:
        return cast('ConfigurationState', self._snapshots.read(state_id))

    def _objects_of(self, state_id: int) -> dict[str, ConfigObject]:
        cached = self._contents.get(state_id)
        if cached is None:
            # A pull from revision 0 returns all objects that the daemon holds.
            held = self._read(state_id).changes_since(0, _NO_LIMIT).objects
            cached = {stored.name: stored for stored in held}
            self._contents[state_id] = cached
        return cached

    def _has_reverted(self, before: int, after: int) -> bool:
        later = self._objects_of(after)
        has_reverted = self._read(after).revision < self._read(before).revision
        return has_reverted or any(
            name not in later or later[name].version < held.version
            for name, held in self._objects_of(before).items()
        )

    def _is_complete(self, fleet: dict[str, tuple[int, ...]]) -> bool:
        writes = cast('tuple[Write, ...]', fleet['writes'])
        return all(
            self._check_once(self._holds_last_writes, state_id, writes)
            for state_id in fleet['daemons']
        )

    def _check_once(
        self,
        check: Callable[[int, tuple[Write, ...]], bool],
        state_id: int,
        writes: tuple[Write, ...],
    ) -> bool:
        key = check.__name__, state_id, writes
        if key not in self._checks:
            self._checks[key] = check(state_id, writes)
        return self._checks[key]

    def _holds_last_writes(
        self,
        state_id: int,
        writes: tuple[Write, ...],
    ) -> bool:
        held = self._objects_of(state_id)
        revision = self._read(state_id).revision
        for name in _NAMES:
            last = _last_write(writes, name)
            if last is not None and last <= revision:
                if held.get(name) != _as_object(writes, name):
                    return False
        return True

    def _is_accurate(self, fleet: dict[str, tuple[int, ...]]) -> bool:
        writes = cast('tuple[Write, ...]', fleet['writes'])
        return all(
            self._check_once(self._holds_only_accepted_writes, state_id, writes)
            for state_id in fleet['daemons']
        )

    def _holds_only_accepted_writes(
        self,
        state_id: int,
        writes: tuple[Write, ...],
    ) -> bool:
        return all(
            held == _as_object(writes[: held.revision], held.name)
            for held in self._objects_of(state_id).values()
        )

    def _digests_agree(self, fleet: dict[str, tuple[int, ...]]) -> bool:
        states = [self._read(state_id) for state_id in fleet['daemons']]
        digests = {
            state.digest
            for state in states
            if state.revision == len(fleet['writes'])
        }
        return len(digests) <= 1

    def _is_converged(self, fleet: dict[str, tuple[int, ...]]) -> bool:
        return all(
            self._read(state_id).revision == self._rules.write_count
            for state_id in fleet['daemons']
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
    object_writes = [
        (revision, write)
        for revision, write in enumerate(writes, start=1)
        if write.name == name
    ]
    revision, last = object_writes[-1]
    spec = b'' if last.is_deleted else str(revision).encode()
    return ConfigObject(
        _KIND,
        name,
        len(object_writes),
        revision,
        last.is_deleted,
        spec,
    )
