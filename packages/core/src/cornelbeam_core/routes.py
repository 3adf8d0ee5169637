"""Route lookup by host and path prefix, with weighted services."""

import enum
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from itertools import chain
from typing import Final, final

from cornelbeam_core.tenants import TenantRule, TenantTable

# Timeout of routes that set none: the longest time that HTTP callers commonly
# wait.
DEFAULT_ROUTE_TIMEOUT_MS: Final = 30_000


@final
class RequestKind(enum.Enum):
    """Kind of a request, which says whether it may run more than once.

    Kinds that this version does not know become ``UNSUPPORTED``, so that one
    such route does not invalidate the configuration.

    >>> RequestKind('a later kind')
    <RequestKind.UNSUPPORTED: 'unsupported'>
    """

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    UPLOAD = 'upload'
    # An idempotent request with a large answer.
    DOWNLOAD = 'download'
    UNSUPPORTED = 'unsupported'

    @classmethod
    # The enum module prescribes the name.
    def _missing_(  # noqa: WPS120
        cls, value: object
    ) -> 'RequestKind | None':
        return cls.UNSUPPORTED if isinstance(value, str) else None


_IDEMPOTENT_KINDS: Final = frozenset(
    (RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD),
)


@final
@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weight of a service in the requests of a route."""

    service: str
    weight: int


@final
@dataclass(frozen=True, slots=True)
class RouteRule:
    """Route: matched host and path, services and latency requirements.

    ``timeout_ms`` is the longest time a caller waits, ``objective_ms`` the
    latency objective of an answer, and ``max_target_count`` the number of
    targets that one request may run on. Requests of routes with a lower
    ``priority`` are served first. Requests of public routes need no API key.
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
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in _IDEMPOTENT_KINDS

    @property
    def is_supported(self) -> bool:
        """Whether it is known how its requests must be handled."""
        return self.kind is not RequestKind.UNSUPPORTED


@final
@dataclass(frozen=True, slots=True)
class ServiceRule:
    """Settings of a service that apply to all of its targets.

    A cold target accepts ``cold_per_s`` requests a second; ``None`` if the
    operators configure no such rate.
    """

    name: str
    health_path: str
    connection_count: int
    cold_per_s: float | None


@final
@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of what a caller may send; ``None`` if operators state none."""

    head_bytes: int | None = None
    body_bytes: int | None = None


@final
@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of the configured routes, services, tenants and limits."""

    version: int
    routes: tuple[RouteRule, ...]
    services: tuple[ServiceRule, ...]
    tenants: tuple[TenantRule, ...] = ()
    limits: RequestLimits = RequestLimits()


@final
class RouteTable:
    """Find the route of a request and choose its service.

    >>> rule = RouteRule('r', 'h', '/a/', RequestKind.IDEMPOTENT,
    ...     (ServiceShare('windows', 1),), 1000, 500, 2, 0)
    >>> table = RouteTable(RoutingConfiguration(1, (rule,), ()))
    >>> table.find('h', '/a/1').name
    'r'
    """

    __slots__ = (
        '_current_weights',
        '_routes',
        'longest_timeout_ms',
        'limits',
        'services',
        'tenants',
        'version',
    )

    def __init__(self, configuration: RoutingConfiguration) -> None:
        """Index the routes of a configuration by host."""
        self.version = configuration.version
        self.limits = configuration.limits
        self.services: Mapping[str, ServiceRule] = {
            service.name: service for service in configuration.services
        }
        self.longest_timeout_ms = max(
            (rule.timeout_ms for rule in configuration.routes), default=0
        )
        # ``None`` if requests need no API key.
        self.tenants: TenantTable | None = None
        if configuration.tenants:
            self.tenants = TenantTable(configuration.tenants)
        # Longest prefixes first, so that the first match is the route.
        self._routes: dict[str, list[RouteRule]] = {}
        for rule in sorted(
            configuration.routes,
            key=_prefix_length,
            reverse=True,
        ):
            self._routes.setdefault(rule.host, []).append(rule)
        self._current_weights: dict[tuple[str, str], dict[str, int]] = {}

    def find(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest matching path prefix.

        ``host`` must be in lower case and without a port, ``path`` without a
        query.
        """
        for rule in self._routes.get(host, ()):
            if path.startswith(rule.path_prefix):
                return rule
        return None

    def unsupported_routes(self) -> list[str]:
        """Return the sorted names of routes whose kind is not supported."""
        return sorted(
            rule.name
            for rule in chain.from_iterable(self._routes.values())
            if not rule.is_supported
        )

    def services_of(self, route_names: Collection[str]) -> set[str]:
        """Return the services that requests of some routes may reach."""
        services: set[str] = set()
        for rule in chain.from_iterable(self._routes.values()):
            if rule.name in route_names:
                services.update(share.service for share in rule.shares)
        return services

    def pick_service(self, rule: RouteRule) -> str:
        """Choose the service for the next request of a route.

        Smooth weighted round robin keeps the shares exact over long sequences
        of requests, where random choices would deviate.
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
            current_weight = weights.get(share.service, 0)
            weights[share.service] = current_weight + share.weight
        picked = max(weights, key=weights.__getitem__)
        weights[picked] -= total
        return picked


def _prefix_length(rule: RouteRule) -> int:
    return len(rule.path_prefix)
