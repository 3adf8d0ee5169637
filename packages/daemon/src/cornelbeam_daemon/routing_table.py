"""What the configuration in force and the known members say about routing."""

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
    """Selectors, labels, failure domains and targets, ready for requests.

    It is rebuilt when the configuration or the members change; a request
    only looks things up.
    """

    __slots__ = (
        '_domains_out',
        '_index',
        '_is_synced',
        '_labels',
        '_name',
        '_own_domain',
        '_selectors',
        '_states',
        '_targets',
        '_timeouts_ms',
    )

    def __init__(self, name: str, domain: str) -> None:
        """Start without configuration and targets."""
        self._name = name
        self._own_domain = domain
        self._domains_out: frozenset[str] = frozenset()
        self._is_synced = False
        self._selectors: dict[str, SelectorSpec] = {}
        self._index = SelectorIndex.compile(())
        self._labels: dict[str, dict[str, str]] = {}
        self._timeouts_ms: dict[str, int] = {}
        self._targets: dict[str, tuple[Target, ...]] = {}
        self._states: dict[str, tuple[TargetState, ...]] = {}

    @property
    def is_own_domain_in_service(self) -> bool:
        """Tell whether this daemon's failure domain takes new work."""
        return self._own_domain not in self._domains_out

    def mark_synced(self) -> None:
        """Note that the configuration of the fleet is known."""
        self._is_synced = True

    def route(self, facts: RequestFacts) -> Route:
        """Give the route of a request; see ``SelectorIndex.route``.

        Before the configuration is known, nothing may be repeated.
        """
        route = self._index.route(facts)
        return route if self._is_synced else replace(route, is_repeatable=False)

    def timeout_ms(self, service: str) -> int | None:
        """Give the time for requests of a service, if one is configured."""
        return self._timeouts_ms.get(service)

    def states(self, service: str) -> tuple[TargetState, ...]:
        """Give the targets of a service outside domains out of service."""
        return self._states.get(service, _NO_TARGETS)

    def is_known(self, service: str) -> bool:
        """Tell whether the service is configured or has targets."""
        return service in self._targets or service in self._timeouts_ms

    def all_targets(self, service: str) -> tuple[Target, ...]:
        """Give all targets of a service, also those out of service."""
        return self._targets.get(service, ())

    def labels_of(self, target: Target) -> dict[str, str]:
        """Give the labels in force, service and failure domain included."""
        return {
            **self._labels.get(target.name, target.labels),
            'domain': target.domain,
            'service': target.service,
        }

    def apply_configuration(self, changed: Iterable[ConfigObject]) -> None:
        """Take new versions of objects, tombstones included.

        Only what depends on them is rebuilt: a fleet has thousands of
        objects, and reading them all at each change would hold up requests.
        An object that cannot be parsed is left out: a newer operators'
        command may know kinds or keys that this daemon does not.
        """
        affected: set[str] = set()
        has_new_selectors = False
        for held in changed:
            spec = None if held.is_deleted else _parse(held)
            match held.kind:
                case 'selector':
                    has_new_selectors = True
                    self._apply_selector(held.name, spec)
                case 'service':
                    self._apply_service(held.name, spec)
                case 'labels':
                    self._apply_labels(held.name, spec)
                    affected.update(self._services_of_target(held.name))
                case 'failure-domain':
                    affected.update(self._apply_domain(held.name, spec))
        if has_new_selectors:
            self._index = SelectorIndex.compile(self._selectors.values())
        for service in affected:
            self._rebuild(service, self._targets[service])

    def replace_targets(self, service: str, targets: Iterable[Target]) -> bool:
        """Replace the targets of a service; tell whether that changed."""
        fresh = tuple(sorted(targets, key=_target_name))
        if fresh == self._targets.get(service):
            return False
        if not fresh:
            self._targets.pop(service, None)
            self._states.pop(service, None)
            return True
        self._rebuild(service, fresh)
        return True

    def all_states(self) -> Iterable[TargetState]:
        """Give the states of all targets in service."""
        return (state for held in self._states.values() for state in held)

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
        before = self._domains_out
        is_out = isinstance(spec, FailureDomainSpec) and not spec.is_in_service
        self._domains_out = before | {name} if is_out else before - {name}
        return () if self._domains_out == before else self._targets

    def _services_of_target(self, name: str) -> Iterator[str]:
        for service, targets in self._targets.items():
            if any(target.name == name for target in targets):
                yield service

    def _rebuild(self, service: str, targets: tuple[Target, ...]) -> None:
        known = {
            (state.target.name, state.target.incarnation): state
            for state in self._states.get(service, ())
        }
        self._targets[service] = targets
        states: list[TargetState] = []
        for target in targets:
            if target.domain in self._domains_out:
                continue
            state = known.get((target.name, target.incarnation))
            labelled = replace(target, labels=self.labels_of(target))
            if state is None:
                state = TargetState(
                    labelled,
                    is_same_domain=target.domain == self._own_domain,
                    affinity=compute_affinity(self._name, target.name),
                )
            state.target = labelled
            states.append(state)
        self._states[service] = tuple(states)


def _target_name(target: Target) -> str:
    return target.name


def _parse(held: ConfigObject) -> Spec | None:
    try:
        return parse_spec(held.kind, msgspec.json.decode(held.spec))
    except SpecError as error:
        _log.warning(
            'object left out',
            kind=held.kind,
            name=held.name,
            problem=error.detail,
        )
    except msgspec.MsgspecError as error:
        _log.warning(
            'object is not JSON',
            kind=held.kind,
            name=held.name,
            problem=str(error),
        )
    return None


def no_target_error(
    table: RoutingTable,
    service: str,
) -> CornelbeamError:
    """Tell why a request of a service has no target."""
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
