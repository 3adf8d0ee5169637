"""Detection of contradictory selectors.

It runs before a configuration is accepted, so that no request matches
selectors that leave it without an eligible backend server.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final, Self, TypeAlias, final

from cornelbeam_core.selectors import ANY_SERVICE, SelectorSpec, has_path_prefix

# The number of combinations can grow exponentially with the number of
# selectors. Beyond these limits larger combinations are not searched, which
# bounds the time of the check.
_MAX_COMBINATION_COUNT: Final = 5000
_MAX_FOUND_COUNT: Final = 100

_Group: TypeAlias = tuple[list[SelectorSpec], str]


@final
@dataclass(frozen=True, slots=True)
class Contradiction:
    """Selectors of equal priority that allow no common value of a label."""

    selector_names: tuple[str, ...]
    label: str

    def __str__(self) -> str:
        """Format the contradiction as a message for operators."""
        names = ', '.join(self.selector_names)
        return (
            f'selectors {names} have one priority, can match the same request'
            f' and allow no common value of label "{self.label}"'
        )


@final
@dataclass(frozen=True, slots=True)
class _Combination:
    """Selectors that can match the same request, and their common values."""

    members: tuple[SelectorSpec, ...]
    indices: tuple[int, ...]
    allowed: frozenset[str]
    # An empty set means every method, as in a selector.
    methods: frozenset[str]

    def describe(self, label: str) -> Contradiction:
        """Return the contradiction between the members."""
        names = tuple(spec.name for spec in self.members)
        return Contradiction(names, label)

    def contains_any(self, others: Iterable[Self]) -> bool:
        """Return whether any of the others is a subset of this one."""
        indices = frozenset(self.indices)
        return any(indices.issuperset(other.indices) for other in others)

    def extend(self, spec: SelectorSpec, index: int, label: str) -> Self | None:
        """Return this combination with one more selector.

        Return ``None`` if the selector does not narrow the allowed values or
        cannot match the same request as the members.
        """
        allowed = self.allowed & frozenset(spec.target_labels[label])
        if len(allowed) == len(self.allowed):
            return None
        if not all(can_overlap(member, spec) for member in self.members):
            return None
        methods = self.methods or frozenset(spec.methods)
        if spec.methods:
            methods &= frozenset(spec.methods)
            if not methods:
                return None
        return type(self)(
            (*self.members, spec),
            (*self.indices, index),
            allowed,
            methods,
        )


def find_contradictions(
    specs: Iterable[SelectorSpec],
) -> tuple[Contradiction, ...]:
    """Find the minimal sets of selectors that contradict each other.

    Only selectors of equal priority apply together, so only those are
    compared. All pairs are compared. Sets of three or more selectors whose
    pairs are compatible are found as well, unless very many selectors overlap.
    Routing detects the remaining contradictions when a request matches them.
    """
    found: dict[Contradiction, None] = {}
    for group, label in _group_comparable(specs):
        found.update(dict.fromkeys(_search_group(group, label)))
    return tuple(found)


def can_overlap(first: SelectorSpec, second: SelectorSpec) -> bool:
    """Return whether a request can match both selectors."""
    services = {first.service, second.service} - {ANY_SERVICE}
    if len(services) > 1:
        return False
    if first.methods and second.methods:
        if not set(first.methods) & set(second.methods):
            return False
    if not _can_share_path(first.path_prefix, second.path_prefix):
        return False
    return all(
        second.header_equals.get(name, text) == text
        for name, text in first.header_equals.items()
    )


def _group_comparable(
    specs: Iterable[SelectorSpec],
) -> Iterator[_Group]:
    ordered = sorted(specs, key=lambda spec: spec.name)
    services = {spec.service for spec in ordered}
    groups: dict[tuple[str, int, str], list[SelectorSpec]] = defaultdict(list)
    for spec in ordered:
        covered = services if spec.service == ANY_SERVICE else {spec.service}
        for service in covered:
            for label in spec.target_labels:
                groups[service, spec.priority, label].append(spec)
    for key in sorted(groups):
        yield groups[key], key[-1]


def _search_group(
    group: list[SelectorSpec], label: str
) -> Iterator[Contradiction]:
    """Search pairs first, then triples and larger combinations."""
    candidates = [
        _Combination(
            (spec,),
            (index,),
            frozenset(spec.target_labels[label]),
            frozenset(spec.methods),
        )
        for index, spec in enumerate(group)
    ]
    pairs = list(_extend_all(candidates, group, label))
    contradictory = [pair for pair in pairs if not pair.allowed]
    yield from (pair.describe(label) for pair in contradictory)
    frontier = [pair for pair in pairs if pair.allowed]
    while frontier and _is_within_limits(frontier, contradictory):
        extended = list(_extend_all(frontier, group, label))
        frontier = [larger for larger in extended if larger.allowed]
        for larger in extended:
            if larger.allowed or larger.contains_any(contradictory):
                continue
            contradictory.append(larger)
            yield larger.describe(label)
            if len(contradictory) > _MAX_FOUND_COUNT:
                return


def _is_within_limits(
    frontier: list[_Combination],
    contradictory: list[_Combination],
) -> bool:
    is_frontier_small = len(frontier) <= _MAX_COMBINATION_COUNT
    return is_frontier_small and len(contradictory) <= _MAX_FOUND_COUNT


def _extend_all(
    frontier: list[_Combination],
    group: list[SelectorSpec],
    label: str,
) -> Iterator[_Combination]:
    for combination in frontier:
        start = combination.indices[-1] + 1
        for index, spec in enumerate(group[start:], start):
            extended = combination.extend(spec, index, label)
            if extended is not None:
                yield extended


def _can_share_path(first: str, second: str) -> bool:
    if not first or not second:
        return True
    return has_path_prefix(first, second) or has_path_prefix(second, first)
