"""Exhaustive search over states that refer to objects of the core.

The checker needs small, hashable states. Each object of the core is therefore
stored once per distinct content, and a state refers to it by a number.
"""

import copy
import enum
from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace
from typing import Final, final

import minicheck

_ATOMIC_TYPES: Final = (int, float, str, bytes, bool, enum.Enum, type(None))


class UnfinishedSearchError(RuntimeError):
    """Raised when a search ends before all states were visited."""


@final
@dataclass(frozen=True, slots=True)
class SearchReport:
    """Number of states visited and a trace for each violated invariant.

    ``violations`` maps a violated invariant to the labels of the shortest
    sequence of transitions that leads to the violation.
    """

    state_count: int
    violations: dict[str, tuple[str, ...]]


def search(protocol: minicheck.Protocol, max_states: int) -> SearchReport:
    """Search all reachable states and check every invariant.

    Raise ``UnfinishedSearchError`` if there are more than ``max_states``
    states and an invariant was not refuted. Raise ``ValueError`` if the
    protocol has no invariants.
    """
    if not protocol.invariants:
        raise ValueError(f'{protocol.name} has no invariant')
    result = minicheck.check_safety(protocol, max_states=max_states)
    violations: dict[str, tuple[str, ...]] = {}
    for name, verdict in result['properties'].items():
        if verdict['holds'] is None:
            raise UnfinishedSearchError(f'{name}: {verdict["reason"]}')
        if not verdict['holds']:
            violations[name] = tuple(
                step['label'] for step in verdict['counterexample']
            )
    return SearchReport(result.get('reachable_states', 0), violations)


def find_violation(
    protocol: minicheck.Protocol,
    invariant: str,
    max_states: int,
) -> tuple[str, ...]:
    """Return the labels of a shortest trace that violates one invariant.

    Raise ``UnfinishedSearchError`` if the search of ``max_states`` states
    found none, and ``LookupError`` if the invariant holds in all states.
    """
    holds = protocol.invariants[invariant]
    violating: list[object] = []

    def stop_at_violation(state: tuple[object, ...]) -> object:  # noqa: WPS430
        # The search is breadth first, so the first violation found has a
        # shortest trace and later states need no expansion.
        if not holds(protocol.d(state)):
            violating.append(state)
        return () if violating else protocol.transitions(state)

    single_check = replace(
        protocol,
        invariants={invariant: holds},
        transitions=stop_at_violation,
    )
    report = search(single_check, max_states)
    if not report.violations:
        raise LookupError(f'{invariant} holds in {report.state_count} states')
    # The first step of a trace is the initial state, not a transition.
    return report.violations[invariant][1:]


def check_goal_stays_reachable(protocol: minicheck.Protocol) -> int:
    """Check that the goal is reachable from each state; count the states.

    Raise ``UnfinishedSearchError`` if the search ended early, and
    ``AssertionError`` with the trapped state if the goal is unreachable.
    """
    result = minicheck.check_liveness(protocol)
    if result['holds'] is None:
        raise UnfinishedSearchError(f'{protocol.name}: {result}')
    if not result['holds']:
        raise AssertionError(f'{protocol.name} cannot reach its goal: {result}')
    return int(result['reachable_states'])


def freeze(content: object) -> Hashable:
    """Return a hashable value that is equal for equal contents."""
    if isinstance(content, _ATOMIC_TYPES):
        return content
    if isinstance(content, dict):
        pairs = content.items()
        return tuple(sorted((freeze(k), freeze(v)) for k, v in pairs))
    if isinstance(content, (list, tuple)):
        return tuple(freeze(element) for element in content)
    slots = [
        name
        for base in reversed(type(content).__mro__)
        for name in getattr(base, '__slots__', ())
    ]
    return tuple(freeze(getattr(content, name)) for name in slots)


@final
class SnapshotPool:
    """Objects by number, with a cache of the results of method calls.

    A call works on a copy, so the objects that states refer to never change.
    """

    __slots__ = ('_calls', '_numbers', '_objects')

    def __init__(self) -> None:
        """Create an empty pool."""
        self._objects: list[object] = []
        self._numbers: dict[Hashable, int] = {}
        self._calls: dict[Hashable, tuple[int, object]] = {}

    def add(self, content: object) -> int:
        """Return the number of an object with this content."""
        frozen = freeze(content)
        number = self._numbers.get(frozen)
        if number is None:
            number = len(self._objects)
            self._numbers[frozen] = number
            self._objects.append(content)
        return number

    def read(self, number: int) -> object:
        """Return an object by number; it must not be modified."""
        return self._objects[number]

    def call(
        self,
        number: int,
        method: str,
        *arguments: Hashable,
    ) -> tuple[int, object]:
        """Call a method on a copy; return the copy's number and the result."""
        key = number, method, arguments
        cached = self._calls.get(key)
        if cached is None:
            changed = copy.deepcopy(self._objects[number])
            bound: Callable[..., object] = getattr(changed, method)
            outcome = bound(*arguments)
            cached = self.add(changed), outcome
            self._calls[key] = cached
        return cached
