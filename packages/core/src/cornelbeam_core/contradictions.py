"""Search for selectors that exclude each other.

It runs before a configuration is accepted, so that no request meets selectors
that leave it no backend server.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final, Self, TypeAlias, final

from cornelbeam_core.selectors import ANY_SERVICE, SelectorSpec, has_path_prefix

# The number of combinations can grow with each selector by a factor. Above
# these bounds, larger sets are not searched, so that the check ends soon.
_MAX_COMBINATION_COUNT: Final = 5000
_MAX_FOUND_COUNT: Final = 100

_Group: TypeAlias = tuple[list[SelectorSpec], str]


@final
@dataclass(frozen=True, slots=True)
class Contradiction:
    """Selectors of one priority that together leave a label no value."""

    selector_names: tuple[str, ...]
    label: str

    def __str__(self) -> str:
        """Name the selectors and the label."""
        names = ', '.join(self.selector_names)
        return (
            f'selectors {names} have one priority, can match the same request'
            f' and allow no common value of label "{self.label}"'
        )


@final
@dataclass(frozen=True, slots=True)
class _Combination:
    """Selectors that can match one request, and what they allow together."""

    members: tuple[SelectorSpec, ...]
    places: tuple[int, ...]
    allowed: frozenset[str]
    # Empty stands for every method, as in a selector.
    methods: frozenset[str]

    def describe(self, label: str) -> Contradiction:
        """Name the members."""
        names = tuple(spec.name for spec in self.members)
        return Contradiction(names, label)

    def contains_any(self, others: Iterable[Self]) -> bool:
        """Tell whether one of the others is a part of this one."""
        places = frozenset(self.places)
        return any(places.issuperset(other.places) for other in others)

    def extend(self, spec: SelectorSpec, place: int, label: str) -> Self | None:
        """Add a selector; ``None`` when that shows nothing new."""
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
            (*self.places, place),
            allowed,
            methods,
        )


def find_contradictions(
    specs: Iterable[SelectorSpec],
) -> tuple[Contradiction, ...]:
    """Find the smallest sets of selectors that exclude each other.

    Only selectors of one priority apply together, so only those are
    compared. All pairs are compared; three or more that agree in pairs but not
    together are found as well, unless very many selectors overlap. Routing
    detects the rest when a request meets them.
    """
    found: dict[Contradiction, None] = {}
    for group, label in _group_comparable(specs):
        found.update(dict.fromkeys(_search(group, label)))
    return tuple(found)


def can_overlap(first: SelectorSpec, second: SelectorSpec) -> bool:
    """Tell whether some request matches both selectors."""
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
        wanted = services if spec.service == ANY_SERVICE else {spec.service}
        for service in wanted:
            for label in spec.target_labels:
                groups[service, spec.priority, label].append(spec)
    for key in sorted(groups):
        yield groups[key], key[-1]


def _search(group: list[SelectorSpec], label: str) -> Iterator[Contradiction]:
    """Look at pairs first, then at triples and so on."""
    singles = [
        _Combination(
            (spec,),
            (place,),
            frozenset(spec.target_labels[label]),
            frozenset(spec.methods),
        )
        for place, spec in enumerate(group)
    ]
    pairs = list(_extend_all(singles, group, label))
    excluded = [pair for pair in pairs if not pair.allowed]
    yield from (pair.describe(label) for pair in excluded)
    frontier = [pair for pair in pairs if pair.allowed]
    while frontier and _is_small(frontier, excluded):
        extended = list(_extend_all(frontier, group, label))
        frontier = [larger for larger in extended if larger.allowed]
        for larger in extended:
            if larger.allowed or larger.contains_any(excluded):
                continue
            excluded.append(larger)
            yield larger.describe(label)
            if len(excluded) > _MAX_FOUND_COUNT:
                return


def _is_small(
    frontier: list[_Combination],
    excluded: list[_Combination],
) -> bool:
    is_search_small = len(frontier) <= _MAX_COMBINATION_COUNT
    return is_search_small and len(excluded) <= _MAX_FOUND_COUNT


def _extend_all(
    frontier: list[_Combination],
    group: list[SelectorSpec],
    label: str,
) -> Iterator[_Combination]:
    for combination in frontier:
        start = combination.places[-1] + 1
        for place, spec in enumerate(group[start:], start):
            extended = combination.extend(spec, place, label)
            if extended is not None:
                yield extended


def _can_share_path(first: str, second: str) -> bool:
    if not first or not second:
        return True
    return has_path_prefix(first, second) or has_path_prefix(second, first)
