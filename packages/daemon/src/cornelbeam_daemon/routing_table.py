"""Routing data compiled from the configuration and the known members."""

from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import Final, final

import msgspec
from cornelbeam_core.configuration import ConfigObject
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.requests import RequestFacts
from cornelbeam_core.selection import TargetState, compute_affinity
from cornelbeam_core.selectors import Route, SelectorIndex, SelectorSpec
from cornelbeam_core.targets import Target
from cornelbeam_object_api.kinds import (
    FailureDomainSpec,
    LabelsSpec,
    SelectorObjectSpec,
    ServiceSpec,
    Spec,
    SpecError,
    parse_spec,
)

from cornelbeam_daemon.logs import get_log

_log = get_log('config')
_NO_TARGETS: Final[tuple[TargetState, ...]] = ()


@final
class RoutingTable:
    """Selectors, labels, failure domains and targets, indexed for requests.

    It is updated when the configuration or the members change, so that a
    request only needs lookups.
    """

    __slots__ = (
        '_out_of_service_domains',
        '_index',
        '_is_synced',
        '_labels',
        '_own_name',
        '_own_domain',
        '_selectors',
        '_states',
        '_targets',
        '_timeouts_ms',
    )

    def __init__(self, name: str, domain: str) -> None:
        """Start with neither configuration nor targets."""
        self._own_name = name
        self._own_domain = domain
        self._out_of_service_domains: frozenset[str] = frozenset()
        self._is_synced = False
        self._selectors: dict[str, SelectorSpec] = {}
        self._index = SelectorIndex.compile(())
        self._labels: dict[str, dict[str, str]] = {}
        self._timeouts_ms: dict[str, int] = {}
        self._targets: dict[str, tuple[Target, ...]] = {}
        self._states: dict[str, tuple[TargetState, ...]] = {}

    @property
    def is_own_domain_in_service(self) -> bool:
        """Return whether this daemon's failure domain takes new work."""
        return self._own_domain not in self._out_of_service_domains

    def mark_synced(self) -> None:
        """Mark the configuration of the fleet as known."""
        self._is_synced = True

    def route(self, facts: RequestFacts) -> Route:
        """Return the route of a request; see ``SelectorIndex.route``.

        Until the configuration is known, no request may be repeated.
        """
        route = self._index.route(facts)
        return route if self._is_synced else replace(route, is_repeatable=False)

    def timeout_ms(self, service: str) -> int | None:
        """Return the configured timeout of a service, or None.

        It is zero if the service is configured without a timeout.
        """
        return self._timeouts_ms.get(service)

    def states(self, service: str) -> tuple[TargetState, ...]:
        """Return the targets of a service whose domains are in service."""
        return self._states.get(service, _NO_TARGETS)

    def is_known(self, service: str) -> bool:
        """Return whether the service is configured or has targets."""
        return service in self._targets or service in self._timeouts_ms

    def all_targets(self, service: str) -> tuple[Target, ...]:
        """Return all targets of a service, including those out of service."""
        return self._targets.get(service, ())

    def labels_of(self, target: Target) -> dict[str, str]:
        """Return the labels in force, with the service and failure domain."""
        return {
            **self._labels.get(target.name, target.labels),
            'domain': target.domain,
            'service': target.service,
        }

    def apply_configuration(self, changed: Iterable[ConfigObject]) -> None:
        """Apply new versions of objects, tombstones included.

        Only data that depends on them is rebuilt: a fleet has thousands of
        objects, and reading all of them at each change would delay requests.
        An object that cannot be parsed is left out, as a newer version of the
        operator command may write kinds or keys that this daemon does not know.
        """
        affected: set[str] = set()
        has_new_selectors = False
        for change in changed:
            spec = None if change.is_deleted else _parse_object(change)
            match change.kind:
                case 'selector':
                    has_new_selectors = True
                    self._apply_selector(change.name, spec)
                case 'service':
                    self._apply_service(change.name, spec)
                case 'labels':
                    self._apply_labels(change.name, spec)
                    affected.update(self._services_of_target(change.name))
                case 'failure-domain':
                    affected.update(self._apply_domain(change.name, spec))
        if has_new_selectors:
            self._index = SelectorIndex.compile(self._selectors.values())
        for service in affected:
            self._rebuild(service, self._targets[service])

    def replace_targets(self, service: str, targets: Iterable[Target]) -> bool:
        """Replace the targets of a service and return whether they changed."""
        sorted_targets = tuple(sorted(targets, key=_target_name))
        if sorted_targets == self._targets.get(service):
            return False
        if not sorted_targets:
            self._targets.pop(service, None)
            self._states.pop(service, None)
            return True
        self._rebuild(service, sorted_targets)
        return True

    def all_states(self) -> Iterable[TargetState]:
        """Return the states of all targets in service."""
        return (state for states in self._states.values() for state in states)

    def _apply_selector(self, name: str, spec: Spec | None) -> None:
        self._selectors.pop(name, None)
        if isinstance(spec, SelectorObjectSpec):
            self._selectors[name] = spec.to_selector(name)

    def _apply_service(self, name: str, spec: Spec | None) -> None:
        self._timeouts_ms.pop(name, None)
        if isinstance(spec, ServiceSpec):
            self._timeouts_ms[name] = spec.timeout_ms or 0

    def _apply_labels(self, name: str, spec: Spec | None) -> None:
        self._labels.pop(name, None)
        if isinstance(spec, LabelsSpec):
            self._labels[name] = spec.labels

    def _apply_domain(self, name: str, spec: Spec | None) -> Iterable[str]:
        previous = self._out_of_service_domains
        is_out = isinstance(spec, FailureDomainSpec) and not spec.is_in_service
        self._out_of_service_domains = (
            previous | {name} if is_out else previous - {name}
        )
        return () if self._out_of_service_domains == previous else self._targets

    def _services_of_target(self, name: str) -> Iterator[str]:
        for service, targets in self._targets.items():
            if any(target.name == name for target in targets):
                yield service

    def _rebuild(self, service: str, targets: tuple[Target, ...]) -> None:
        previous_states = {
            (state.target.name, state.target.incarnation): state
            for state in self._states.get(service, ())
        }
        self._targets[service] = targets
        states: list[TargetState] = []
        for target in targets:
            if target.domain in self._out_of_service_domains:
                continue
            state = previous_states.get((target.name, target.incarnation))
            labelled = replace(target, labels=self.labels_of(target))
            if state is None:
                state = TargetState(
                    labelled,
                    is_same_domain=target.domain == self._own_domain,
                    affinity=compute_affinity(self._own_name, target.name),
                )
            state.target = labelled
            states.append(state)
        self._states[service] = tuple(states)


def _target_name(target: Target) -> str:
    return target.name


def _parse_object(change: ConfigObject) -> Spec | None:
    try:
        return parse_spec(change.kind, msgspec.json.decode(change.spec))
    except SpecError as error:
        _log.warning(
            'object left out',
            kind=change.kind,
            name=change.name,
            problem=error.detail,
        )
    except msgspec.MsgspecError as error:
        _log.warning(
            'object is not JSON',
            kind=change.kind,
            name=change.name,
            problem=str(error),
        )
    return None


def no_target_error(
    table: RoutingTable,
    service: str,
) -> CornelbeamError:
    """Return the error for a request of a service that has no target."""
    if not table.is_known(service):
        return CornelbeamError(
            ErrorCode.UNKNOWN_SERVICE,
            'routing',
            detail=f'no target of service {service!r} is known',
        )
    return CornelbeamError(
        ErrorCode.NO_ELIGIBLE_TARGET,
        'routing',
        detail=f'no target of service {service!r} may serve this request',
        retry_after_ms=1000,
    )
