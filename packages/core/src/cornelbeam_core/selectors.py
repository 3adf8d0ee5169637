"""Selectors: which requests may reach which backend servers.

Selectors are compiled into an index by service once per change of the
configuration, so that the work per request is a few comparisons.

The selectors that match a request are narrowed to those of the highest
priority. Selectors of equal priority apply together: their label requirements
are intersected, ``NEVER`` overrides ``ALLOWED`` overrides ``BY_METHOD``, and
the shortest timeout applies. ``NEVER`` holds whatever the priority.
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
# Routes are kept per set of matching selectors and method; the bound only
# guards against callers that invent methods.
_MAX_ROUTE_COUNT: Final = 4096
_RULE_RANKS: Final = {
    RepeatRule.BY_METHOD: 0,
    RepeatRule.ALLOWED: 1,
    RepeatRule.NEVER: 2,
}


@final
@dataclass(frozen=True, slots=True)
class SelectorSpec:
    """One rule of the operators.

    It matches a request of ``service`` (``*`` for every service) whose method
    is listed (empty: any), whose path is ``path_prefix`` or lies below it
    (empty: any), and whose headers equal ``header_equals`` (lower-case
    names). A target is eligible when each label named in ``target_labels``
    has one of the values listed for it. ``timeout_ms`` is ``None`` when the
    selector states none.

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
        """Tell whether the selector applies to the request."""
        if self.service not in (ANY_SERVICE, facts.service):
            return False
        return self.matches_within_service(facts)

    def matches_within_service(self, facts: RequestFacts) -> bool:
        """Tell the same for a request known to be of the service."""
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
    """What the selectors that apply say about a request.

    ``selector_names`` is empty when none matches. ``timeout_ms`` is ``None``
    when no selector states one.
    """

    selector_names: tuple[str, ...]
    target_labels: Mapping[str, frozenset[str]]
    is_repeatable: bool
    timeout_ms: int | None

    def is_eligible(self, labels: Mapping[str, str]) -> bool:
        """Tell whether a target with these labels may get the request."""
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

    __slots__ = ('_by_service', '_for_any', '_routes')

    def __init__(
        self,
        by_service: Mapping[str, tuple[SelectorSpec, ...]],
        for_any: tuple[SelectorSpec, ...],
    ) -> None:
        """Take the sorted selectors; use ``compile`` to sort them."""
        self._by_service = by_service
        self._for_any = for_any
        self._routes: dict[tuple[object, ...], Route] = {}

    @classmethod
    def compile(cls, specs: Iterable[SelectorSpec]) -> Self:
        """Build the index of a set of selectors with distinct names."""
        by_service: dict[str, list[SelectorSpec]] = defaultdict(list)
        for spec in specs:
            by_service[spec.service].append(spec)
        for_any = by_service.pop(ANY_SERVICE, [])
        return cls(
            {
                service: tuple(sorted((*members, *for_any), key=_rank))
                for service, members in by_service.items()
            },
            tuple(sorted(for_any, key=_rank)),
        )

    def route(self, facts: RequestFacts) -> Route:
        """Give the route of a request.

        Raises ``contradictory_selectors`` when the selectors that apply
        allow no common value of a label.
        """
        applied, is_forbidden = self._find_applied(facts)
        key = (facts.method, is_forbidden, *map(id, applied))
        route = self._routes.get(key)
        if route is None:
            route = combine(applied, facts.method)
            if is_forbidden:
                route = replace(route, is_repeatable=False)
            if len(self._routes) < _MAX_ROUTE_COUNT:
                self._routes[key] = route
        return route

    def _find_applied(
        self,
        facts: RequestFacts,
    ) -> tuple[list[SelectorSpec], bool]:
        """Find the selectors that apply, and whether any forbids repeating.

        A rule against repeating holds at every priority: a selector that
        only moves requests to other targets must not let a payment run twice.
        """
        applied: list[SelectorSpec] = []
        is_forbidden = False
        for spec in self._by_service.get(facts.service, self._for_any):
            is_overridden = applied and spec.priority != applied[0].priority
            if is_overridden and spec.repeat is not RepeatRule.NEVER:
                continue
            if spec.matches_within_service(facts):
                is_forbidden = is_forbidden or spec.repeat is RepeatRule.NEVER
                if not is_overridden:
                    applied.append(spec)
        return applied, is_forbidden


def combine(applied: Iterable[SelectorSpec], method: str) -> Route:
    """Combine selectors of one priority into a route.

    Raises ``contradictory_selectors`` for disjoint label requirements.
    """
    specs = tuple(applied)
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
    """Tell whether a path equals the prefix or lies below it.

    The query does not count, and ``/pay`` does not cover ``/payments``.

    >>> has_path_prefix('/payments/7?full=1', '/payments')
    True
    """
    if not path.startswith(prefix):
        return False
    if prefix.endswith('/') or len(path) == len(prefix):
        return True
    return path[len(prefix)] in '/?'


def _rank(spec: SelectorSpec) -> tuple[int, str]:
    return -spec.priority, spec.name


def _intersect_labels(
    specs: tuple[SelectorSpec, ...],
) -> Mapping[str, frozenset[str]]:
    labels: dict[str, frozenset[str]] = {}
    for spec in specs:
        for name, texts in spec.target_labels.items():
            allowed = frozenset(texts)
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
        key=_RULE_RANKS.__getitem__,
        default=RepeatRule.BY_METHOD,
    )
    if rule is RepeatRule.BY_METHOD:
        return is_idempotent_method(method)
    return rule is RepeatRule.ALLOWED
