"""Exhaustive searches over states that hold live objects of the core.

The checker wants small hashable states. An object of the core is therefore
kept once per distinct content and named by a number in the state.
"""

import copy
import enum
from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace
from typing import Final, final

import minicheck

_ATOMIC_TYPES: Final = (int, float, str, bytes, bool, enum.Enum, type(None))


class UnfinishedSearchError(RuntimeError):
    """Raised when a search ended before all states were seen."""


@final
@dataclass(frozen=True, slots=True)
class SearchReport:
    """Outcome of a search: the number of states, and traces by property.

    ``violations`` gives for each violated property the labels of the shortest
    sequence of transitions that leads there.
    """

    state_count: int
    violations: dict[str, tuple[str, ...]]


def search(protocol: minicheck.Protocol, max_states: int) -> SearchReport:
    """Search all reachable states and check every invariant.

    Raises ``UnfinishedSearchError`` if there are more than ``max_states``
    and an invariant was not refuted, and ``ValueError`` without invariants.
    """
    if not protocol.invariants:
        raise ValueError(f'{protocol.name} has no invariant')
    found = minicheck.check_safety(protocol, max_states=max_states)
    violations: dict[str, tuple[str, ...]] = {}
    for name, verdict in found['properties'].items():
        if verdict['holds'] is None:
            raise UnfinishedSearchError(f'{name}: {verdict["reason"]}')
        if not verdict['holds']:
            violations[name] = tuple(
                step['label'] for step in verdict['counterexample']
            )
    return SearchReport(found.get('reachable_states', 0), violations)


def find_violation(
    protocol: minicheck.Protocol,
    invariant: str,
    max_states: int,
) -> tuple[str, ...]:
    """Give the shortest way to violate one invariant, as labels.

    Raises ``UnfinishedSearchError`` if none was found among ``max_states``,
    and ``LookupError`` if the invariant holds in all states.
    """
    keeps = protocol.invariants[invariant]
    violating: list[object] = []

    def stop_at_violation(state: tuple[object, ...]) -> object:  # noqa: WPS430
        # The checker goes breadth first: the first violation is a shortest
        # one, and the states after it are of no interest.
        if not keeps(protocol.d(state)):
            violating.append(state)
        return () if violating else protocol.transitions(state)

    narrowed = replace(
        protocol,
        invariants={invariant: keeps},
        transitions=stop_at_violation,
    )
    report = search(narrowed, max_states)
    if not report.violations:
        raise LookupError(f'{invariant} holds in {report.state_count} states')
    return report.violations[invariant][1:]


def check_goal_stays_reachable(protocol: minicheck.Protocol) -> int:
    """Check that each state can still reach the goal; count the states.

    Raises ``UnfinishedSearchError`` if the search ended early and
    ``AssertionError`` with the trapped state if the goal is lost.
    """
    found = minicheck.check_liveness(protocol)
    if found['holds'] is None:
        raise UnfinishedSearchError(f'{protocol.name}: {found}')
    if not found['holds']:
        raise AssertionError(f'{protocol.name} is trapped: {found}')
    return int(found['reachable_states'])


def freeze(content: object) -> Hashable:
    """Give a hashable value that is equal for equal contents."""
    if isinstance(content, _ATOMIC_TYPES):
        return content
    if isinstance(content, dict):
        pairs = content.items()
        return tuple(sorted((freeze(k), freeze(v)) for k, v in pairs))
    if isinstance(content, (list, tuple)):
        return tuple(freeze(each) for each in content)
    slots = [
        name
        for each in reversed(type(content).__mro__)
        for name in getattr(each, '__slots__', ())
    ]
    return tuple(freeze(getattr(content, name)) for name in slots)


@final
class ObjectStore:
    """Live objects by number, with the outcome of each call computed once.

    A call works on a copy, so that the object of a state never changes.
    """

    __slots__ = ('_calls', '_numbers', '_objects')

    def __init__(self) -> None:
        """Start without objects."""
        self._objects: list[object] = []
        self._numbers: dict[Hashable, int] = {}
        self._calls: dict[Hashable, tuple[int, object]] = {}

    def add(self, content: object) -> int:
        """Give the number of an object with this content."""
        frozen = freeze(content)
        number = self._numbers.get(frozen)
        if number is None:
            number = len(self._objects)
            self._numbers[frozen] = number
            self._objects.append(content)
        return number

    def read(self, number: int) -> object:
        """Give the object, which must not be changed."""
        return self._objects[number]

    def call(
        self,
        number: int,
        method: str,
        *arguments: Hashable,
    ) -> tuple[int, object]:
        """Call a method; give the number of what it left and its result."""
        key = number, method, arguments
        known = self._calls.get(key)
        if known is None:
            changed = copy.deepcopy(self._objects[number])
            bound: Callable[..., object] = getattr(changed, method)
            outcome = bound(*arguments)
            known = self.add(changed), outcome
            self._calls[key] = known
        return known
