"""Routes by host and path prefix, with weighted services."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, final

# A route without a time limit of its own is answered within this time, the
# longest that callers of an HTTP service commonly wait.
DEFAULT_ROUTE_TIMEOUT_MS: Final = 30_000


@final
class RequestKind(enum.Enum):
    """What may be repeated: only idempotent requests run more than once."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    UPLOAD = 'upload'


@final
@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Part of a route's requests that one service gets."""

    service: str
    weight: int


@final
@dataclass(frozen=True, slots=True)
class RouteRule:
    """One route: what it matches, where it leads and what its callers want.

    ``timeout_ms`` is the longest time a caller is kept waiting,
    ``objective_ms`` the time within which an answer is worth most to it, and
    ``max_target_count`` the number of targets that one request may run on.
    Of two routes the one with the lower ``priority`` goes first.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: int
    objective_ms: int
    max_target_count: int
    priority: int

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT


@final
@dataclass(frozen=True, slots=True)
class ServiceRule:
    """What holds for all targets of a service.

    A cold target accepts ``cold_per_s`` requests a second; ``None`` when the
    operators state no such rate.
    """

    name: str
    health_path: str
    connection_count: int
    cold_per_s: float | None


@final
@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of the routes and services that operators wrote."""

    version: int
    routes: tuple[RouteRule, ...]
    services: tuple[ServiceRule, ...]


@final
class RouteTable:
    """Finds the route of a request, and the service that it goes to.

    >>> rule = RouteRule('r', 'h', '/a/', RequestKind.IDEMPOTENT,
    ...     (ServiceShare('windows', 1),), 1000, 500, 2, 0)
    >>> table = RouteTable(RoutingConfiguration(1, (rule,), ()))
    >>> table.find('h', '/a/1').name
    'r'
    """

    __slots__ = ('_current_weights', '_routes', 'services', 'version')

    def __init__(self, configuration: RoutingConfiguration) -> None:
        """Index the routes of a configuration by host."""
        self.version = configuration.version
        self.services: Mapping[str, ServiceRule] = {
            service.name: service for service in configuration.services
        }
        # Longest prefixes first: the first match is the route.
        self._routes: dict[str, list[RouteRule]] = {}
        for rule in sorted(
            configuration.routes,
            key=_prefix_length,
            reverse=True,
        ):
            self._routes.setdefault(rule.host, []).append(rule)
        self._current_weights: dict[tuple[str, str], dict[str, int]] = {}

    def find(self, host: str, path: str) -> RouteRule | None:
        """Give the route with the longest prefix of the path.

        ``host`` has no port and is in lower case, ``path`` no query.
        """
        for rule in self._routes.get(host, ()):
            if path.startswith(rule.path_prefix):
                return rule
        return None

    def pick_service(self, rule: RouteRule) -> str:
        """Give the service of the next request of a route.

        Smooth weighted round robin keeps the shares exact over any longer
        run of requests, where random picks would stray.
        """
        if len(rule.shares) == 1:
            return rule.shares[0].service
        weights = self._current_weights.setdefault(
            (rule.host, rule.path_prefix),
            {},
        )
        total = 0
        for share in rule.shares:
            total += share.weight
            held = weights.get(share.service, 0)
            weights[share.service] = held + share.weight
        picked = max(weights, key=weights.__getitem__)
        weights[picked] -= total
        return picked


def _prefix_length(rule: RouteRule) -> int:
    return len(rule.path_prefix)
