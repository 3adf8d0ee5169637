"""Selectors: rules on which backend servers may serve which requests.

Selectors are compiled into an index by service once per configuration change,
so that routing a request takes only a few comparisons.

Of the selectors that match a request, those of the highest priority apply.
Selectors of equal priority apply together: their label requirements are
intersected, ``NEVER`` overrides ``ALLOWED``, which overrides ``BY_METHOD``, and
the shortest timeout applies. ``NEVER`` applies regardless of priority.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Final, Self, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.requests import (
    RepeatRule,
    RequestFacts,
    is_idempotent_method,
)

ANY_SERVICE: Final = '*'
# Routes are cached per set of applicable selectors and method. The limit only
# guards against callers that send arbitrary methods.
_MAX_ROUTE_COUNT: Final = 4096
_RULE_PRECEDENCE: Final = {
    RepeatRule.BY_METHOD: 0,
    RepeatRule.ALLOWED: 1,
    RepeatRule.NEVER: 2,
}


@final
@dataclass(frozen=True, slots=True)
class SelectorSpec:
    """One routing rule written by operators.

    It matches a request to ``service`` (``*`` for every service) whose method
    is listed (empty: any), whose path is ``path_prefix`` or lies below it
    (empty: any), and whose headers equal ``header_equals`` (lower-case
    names). A target is eligible if each label named in ``target_labels`` has
    one of the values listed for it. ``timeout_ms`` is ``None`` if the selector
    sets no timeout.

    >>> SelectorSpec('pay-once', service='billing', methods=('POST',),
    ...              repeat=RepeatRule.NEVER).matches(
    ...     RequestFacts('billing', 'POST', '/payments', {}))
    True
    """

    name: str
    priority: int = 0
    service: str = ANY_SERVICE
    methods: tuple[str, ...] = ()
    path_prefix: str = ''
    header_equals: Mapping[str, str] = field(default_factory=dict)
    target_labels: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    repeat: RepeatRule = RepeatRule.BY_METHOD
    timeout_ms: int | None = None

    def matches(self, facts: RequestFacts) -> bool:
        """Return whether the selector matches the request."""
        if self.service not in (ANY_SERVICE, facts.service):
            return False
        return self.matches_within_service(facts)

    def matches_within_service(self, facts: RequestFacts) -> bool:
        """Return whether it matches a request known to be for its service."""
        if self.methods and facts.method not in self.methods:
            return False
        if self.path_prefix and not has_path_prefix(
            facts.path, self.path_prefix
        ):
            return False
        return all(
            facts.headers.get(name) == text
            for name, text in self.header_equals.items()
        )


@final
@dataclass(frozen=True, slots=True)
class Route:
    """Combined requirements of the selectors that apply to a request.

    ``selector_names`` is empty if none matches. ``timeout_ms`` is ``None`` if
    no selector sets a timeout.
    """

    selector_names: tuple[str, ...]
    target_labels: Mapping[str, frozenset[str]]
    is_repeatable: bool
    timeout_ms: int | None

    def is_eligible(self, labels: Mapping[str, str]) -> bool:
        """Return whether a target with these labels may serve the request."""
        for name, allowed in self.target_labels.items():
            if labels.get(name) not in allowed:
                return False
        return True


@final
class SelectorIndex:
    """Selectors by service, highest priority first.

    >>> index = SelectorIndex.compile([SelectorSpec('all', service='windows')])
    >>> index.route(RequestFacts('windows', 'GET', '/', {})).selector_names
    ('all',)
    """

    __slots__ = ('_by_service', '_catch_all', '_routes')

    def __init__(
        self,
        by_service: Mapping[str, tuple[SelectorSpec, ...]],
        catch_all: tuple[SelectorSpec, ...],
    ) -> None:
        """Store sorted selectors; use ``compile`` to sort them."""
        self._by_service = by_service
        self._catch_all = catch_all
        self._routes: dict[tuple[object, ...], Route] = {}

    @classmethod
    def compile(cls, specs: Iterable[SelectorSpec]) -> Self:
        """Build the index of selectors with distinct names."""
        by_service: dict[str, list[SelectorSpec]] = defaultdict(list)
        for spec in specs:
            by_service[spec.service].append(spec)
        catch_all = by_service.pop(ANY_SERVICE, [])
        return cls(
            {
                service: tuple(sorted((*members, *catch_all), key=_sort_key))
                for service, members in by_service.items()
            },
            tuple(sorted(catch_all, key=_sort_key)),
        )

    def route(self, facts: RequestFacts) -> Route:
        """Return the route of a request.

        Raise ``contradictory_selectors`` if the applicable selectors allow no
        common value of a label.
        """
        applicable, is_repeat_forbidden = self._find_applicable(facts)
        key = (facts.method, is_repeat_forbidden, *map(id, applicable))
        route = self._routes.get(key)
        if route is None:
            route = combine_selectors(applicable, facts.method)
            if is_repeat_forbidden:
                route = replace(route, is_repeatable=False)
            if len(self._routes) < _MAX_ROUTE_COUNT:
                self._routes[key] = route
        return route

    def _find_applicable(
        self,
        facts: RequestFacts,
    ) -> tuple[list[SelectorSpec], bool]:
        """Return the applicable selectors and whether any forbids repeats.

        ``NEVER`` applies at every priority: a selector that only moves
        requests to other targets must not allow a payment to run twice.
        """
        applicable: list[SelectorSpec] = []
        is_repeat_forbidden = False
        for spec in self._by_service.get(facts.service, self._catch_all):
            is_overridden = (
                applicable and spec.priority != applicable[0].priority
            )
            if is_overridden and spec.repeat is not RepeatRule.NEVER:
                continue
            if spec.matches_within_service(facts):
                is_repeat_forbidden = (
                    is_repeat_forbidden or spec.repeat is RepeatRule.NEVER
                )
                if not is_overridden:
                    applicable.append(spec)
        return applicable, is_repeat_forbidden


def combine_selectors(applicable: Iterable[SelectorSpec], method: str) -> Route:
    """Combine selectors of equal priority into a route.

    Raise ``contradictory_selectors`` if label requirements are disjoint.
    """
    specs = tuple(applicable)
    timeouts = [
        spec.timeout_ms for spec in specs if spec.timeout_ms is not None
    ]
    return Route(
        selector_names=tuple(spec.name for spec in specs),
        target_labels=_intersect_labels(specs),
        is_repeatable=_is_repeatable(specs, method),
        timeout_ms=min(timeouts, default=None),
    )


def has_path_prefix(path: str, prefix: str) -> bool:
    """Return whether a path equals the prefix or lies below it.

    The query is ignored, and ``/pay`` does not cover ``/payments``.

    >>> has_path_prefix('/payments/7?full=1', '/payments')
    True
    """
    if not path.startswith(prefix):
        return False
    if prefix.endswith('/') or len(path) == len(prefix):
        return True
    return path[len(prefix)] in '/?'


def _sort_key(spec: SelectorSpec) -> tuple[int, str]:
    return -spec.priority, spec.name


def _intersect_labels(
    specs: tuple[SelectorSpec, ...],
) -> Mapping[str, frozenset[str]]:
    labels: dict[str, frozenset[str]] = {}
    for spec in specs:
        for name, allowed_values in spec.target_labels.items():
            allowed = frozenset(allowed_values)
            labels[name] = labels.get(name, allowed) & allowed
    for label, common in labels.items():
        if not common:
            names = ', '.join(other.name for other in specs)
            raise CornelbeamError(
                ErrorCode.CONTRADICTORY_SELECTORS,
                'routing',
                detail=f'selectors {names} allow no common value of {label}',
            )
    return labels


def _is_repeatable(specs: tuple[SelectorSpec, ...], method: str) -> bool:
    rule = max(
        (spec.repeat for spec in specs),
        key=_RULE_PRECEDENCE.__getitem__,
        default=RepeatRule.BY_METHOD,
    )
    if rule is RepeatRule.BY_METHOD:
        return is_idempotent_method(method)
    return rule is RepeatRule.ALLOWED
