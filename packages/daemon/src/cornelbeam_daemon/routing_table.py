"""What the configuration in force and the known members say about routing."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Final, final

import msgspec
from cornelbeam_core.configuration import ConfigObject
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.requests import RequestFacts
from cornelbeam_core.selection import TargetState, compute_affinity
from cornelbeam_core.selectors import Route, SelectorIndex, SelectorSpec
from cornelbeam_core.targets import Target
from cornelbeam_platform.kinds import (
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
        self._index = SelectorIndex.compile(())
        self._labels: dict[str, dict[str, str]] = {}
        self._timeouts_ms: dict[str, int] = {}
        self._targets: dict[str, tuple[Target, ...]] = {}
        self._states: dict[str, tuple[TargetState, ...]] = {}

    @property
    def is_own_domain_in_service(self) -> bool:
        """Tell whether this daemon's failure domain takes new work."""
        return self._own_domain not in self._domains_out

    def is_domain_in_service(self, domain: str) -> bool:
        """Tell whether a failure domain takes new work."""
        return domain not in self._domains_out

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

    def replace_configuration(
        self,
        objects: Iterable[ConfigObject],
        *,
        is_synced: bool,
    ) -> None:
        """Rebuild the index after a change of the configuration.

        An object that cannot be parsed is left out: a newer operators'
        command may know kinds or keys that this daemon does not.
        """
        self._is_synced = is_synced
        selectors: list[SelectorSpec] = []
        domains_out: set[str] = set()
        self._labels = {}
        self._timeouts_ms = {}
        for held in objects:
            match _parse(held):
                case SelectorObjectSpec() as spec:
                    selectors.append(spec.to_selector(held.name))
                case LabelsSpec() as spec:
                    self._labels[held.name] = spec.labels
                case ServiceSpec() as spec:
                    self._timeouts_ms[held.name] = spec.timeout_ms or 0
                case FailureDomainSpec(is_in_service=False):
                    domains_out.add(held.name)
        self._index = SelectorIndex.compile(selectors)
        self._domains_out = frozenset(domains_out)
        for service, targets in tuple(self._targets.items()):
            self._rebuild(service, targets)

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
