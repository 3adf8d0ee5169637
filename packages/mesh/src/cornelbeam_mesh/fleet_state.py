"""This daemon's view of the fleet, merged from the store and its peers."""

import asyncio
from collections.abc import Callable, Collection, Iterable
from typing import Final, final

import msgspec
from cornelbeam_core.routes import RouteTable, RoutingConfiguration
from cornelbeam_core.shared_objects import (
    Listing,
    SharedKind,
    SharedObject,
    SharedObjects,
    era_of,
    revision_of,
)
from cornelbeam_daemon.calls import Call
from cornelbeam_daemon.logs import get_log

from cornelbeam_mesh.members import MemberEntry, Members, decode_member
from cornelbeam_mesh.rollout_view import RolloutView

_log = get_log('config')
_configuration_decoder: Final = msgspec.json.Decoder(RoutingConfiguration)


class _AuthoredVersion(msgspec.Struct):
    version: int


class _TenantsField(msgspec.Struct):
    tenants: msgspec.Raw


_tenants_decoder: Final = msgspec.json.Decoder(_TenantsField)
_version_decoder: Final = msgspec.json.Decoder(_AuthoredVersion)


@final
class FleetState:
    """Shared objects and the routes, domains and members derived from them.

    ``on_change`` is called after each change with the kinds that changed.
    """

    __slots__ = (
        '_configuration',
        '_objects',
        'configuration_position',
        'evacuated_domains',
        'is_configured',
        'is_rollout_ordered',
        'members',
        'on_change',
        'rollouts',
        'route_table',
        'step_position',
        'store_revision',
    )

    def __init__(self, own_name: str) -> None:
        """Start without any objects for the daemon ``own_name``."""
        self._objects = SharedObjects()
        self._configuration: RoutingConfiguration | None = None
        self.members = Members(own_name)
        self.rollouts = RolloutView(self.members)
        self.route_table: RouteTable | None = None
        self.evacuated_domains: frozenset[str] = frozenset()
        self.is_configured = asyncio.Event()
        # Set when the first order of a rollout is known.
        self.is_rollout_ordered = asyncio.Event()
        self.on_change: Callable[[set[SharedKind]], None] = _ignore
        # Newest position of the objects written by operators.
        self.store_revision = 0
        # Position of the newest step of a rollout.
        self.step_position = 0
        # Position of the configuration held, zero before the first one.
        self.configuration_position = 0

    @property
    def configuration_version(self) -> int:
        """Return the version that operators gave the configuration in force.

        Zero before the first one.
        """
        return 0 if self.route_table is None else self.route_table.version

    def unsupported_routes(self) -> list[str]:
        """Return the names of configured routes that can't be served."""
        if self.route_table is None:
            return []
        return self.route_table.unsupported_routes()

    def peers_beside(self, services: Collection[str]) -> list[MemberEntry]:
        """Return the other daemons beside targets of the services."""
        return [
            peer
            for peer in self.members.others()
            if peer.target is not None and peer.target.service in services
        ]

    def peers_for_calls(self, calls: Collection[Call]) -> list[MemberEntry]:
        """Return the daemons whose targets repetitions of calls may reach."""
        if self.route_table is None:
            return []
        routes = {call.route for call in calls}
        return self.peers_beside(self.route_table.services_of(routes))

    def changes_since(self, revision: int) -> list[SharedObject]:
        """Return the objects that a peer at this store position may lack.

        Member entries have versions of their own, so all are included. So are
        objects of other eras, of which the position says nothing.
        """
        return [
            shared_object
            for shared_object in self._objects.versions()
            if not shared_object.is_positioned
            or shared_object.version > revision
            or era_of(shared_object.version) != era_of(revision)
        ]

    def get(self, kind: SharedKind, name: str) -> SharedObject | None:
        """Return an object, or ``None`` if it is unknown or deleted."""
        return self._objects.get(kind, name)

    def merge(self, objects: Iterable[SharedObject], source: str) -> None:
        """Merge newer versions of objects; ``source`` is the sender's name."""
        received = tuple(objects)
        self._log_older(received, source)
        self._apply(self._objects.merge_all(received), source)

    def replace(self, update: SharedObject, source: str) -> None:
        """Replace an object whatever its version; its owner has sent it."""
        if self._objects.replace(update):
            self._apply([update], source)

    def merge_listing(
        self, listing: Listing, source: str, *, is_settled: bool = True
    ) -> None:
        """Merge a complete listing of one kind.

        ``is_settled`` is false for a moment after the store was restored.
        """
        self._log_older(listing.objects, source)
        self._apply(
            self._objects.merge_listing(listing, is_settled=is_settled), source
        )

    def _log_older(self, received: Iterable[SharedObject], source: str) -> None:
        """Log what operators wrote if a newer version of it is held.

        Entries of members are written often, and old ones are common.
        """
        for each in received:
            held = self._objects.get(each.kind, each.name)
            if held is None or not each.is_positioned:
                continue
            if held.supersedes(each):
                _log.info(
                    'older object ignored',
                    kind=each.kind.value,
                    name=each.name,
                    version=each.authored_version,
                    held_version=held.authored_version,
                    **_position_fields(each),
                    source=source,
                )

    def _apply(self, changed: list[SharedObject], source: str) -> None:
        for change in changed:
            if change.is_positioned:
                self.store_revision = max(self.store_revision, change.version)
            _appliers[change.kind](self, change, source)
        if changed:
            self.on_change({each.kind for each in changed})

    def apply_configuration(
        self, shared_object: SharedObject, source: str
    ) -> None:
        """Replace the route table by that of a new configuration."""
        if shared_object.is_deleted:
            self.configuration_position = shared_object.version
            _log.warning('configuration deleted, keeping the last one')
            return
        try:
            configuration = _configuration_decoder.decode(shared_object.content)
        except (msgspec.MsgspecError, RecursionError) as error:
            _log.error('invalid configuration ignored', why=str(error))
            return
        # A position whose content is not in force must prove nothing about the
        # configuration that is.
        self.configuration_position = shared_object.version
        if configuration == self._configuration:
            # Operators wrote it again after the store was restored.
            return
        self._configuration = configuration
        self.route_table = RouteTable(configuration)
        self.is_configured.set()
        _log.info(
            'configuration in force',
            version=configuration.version,
            **_position_fields(shared_object),
            routes=len(configuration.routes),
            source=source,
        )
        unsupported = self.unsupported_routes()
        if unsupported:
            _log.error(
                'routes of unsupported kinds are refused',
                version=configuration.version,
                routes=' '.join(unsupported),
            )

    def apply_evacuation(
        self, shared_object: SharedObject, source: str
    ) -> None:
        """Take a failure domain out of service or put it back."""
        evacuated = self._objects.of_kind(SharedKind.EVACUATION)
        self.evacuated_domains = frozenset(each.name for each in evacuated)
        _log.info(
            'failure domain back in service'
            if shared_object.is_deleted
            else 'failure domain out of service',
            domain=shared_object.name,
            **_position_fields(shared_object),
            source=source,
        )

    def apply_rollout(self, shared_object: SharedObject, source: str) -> None:
        """Take over an order, and the step that may have come before it."""
        self.rollouts.apply_order(shared_object, source)
        if not shared_object.is_deleted:
            self.is_rollout_ordered.set()
        step = self.get(SharedKind.ROLLOUT_STEP, shared_object.name)
        if step is not None:
            self.rollouts.apply_step(step, source)

    def apply_rollout_step(
        self, shared_object: SharedObject, source: str
    ) -> None:
        """Take over the progress of an order."""
        self.step_position = max(self.step_position, shared_object.version)
        self.rollouts.apply_step(shared_object, source)

    def apply_member(self, shared_object: SharedObject, source: str) -> None:
        """Update or remove the entry of a daemon."""
        self.rollouts.forget_versions()
        entry = (
            None if shared_object.is_deleted else decode_member(shared_object)
        )
        if entry is None:
            if not shared_object.is_deleted:
                _log.warning(
                    'invalid member entry, its daemon is not used',
                    member=shared_object.name,
                    source=source,
                )
            self.members.remove(shared_object.name)
            return
        self.members.update(entry)
        _log.info(
            'member entry updated',
            member=entry.name,
            incarnation=entry.incarnation,
            instance=entry.target.instance if entry.target else '',
            is_draining=bool(entry.target and entry.target.is_draining),
            source=source,
        )


_appliers: Final = {
    SharedKind.CONFIGURATION: FleetState.apply_configuration,
    SharedKind.EVACUATION: FleetState.apply_evacuation,
    SharedKind.MEMBER: FleetState.apply_member,
    SharedKind.ROLLOUT: FleetState.apply_rollout,
    SharedKind.ROLLOUT_STEP: FleetState.apply_rollout_step,
}


def is_complete_configuration(content: bytes) -> bool:
    """Return whether a configuration has all fields that this release uses.

    Daemons of earlier releases drop the tenants of what they pass on.
    """
    try:
        _tenants_decoder.decode(content)
        _configuration_decoder.decode(content)
    except (msgspec.MsgspecError, RecursionError):
        return False
    return True


def read_authored_version(kind: SharedKind, content: bytes) -> int:
    """Return the number that operators gave a configuration.

    Zero for other kinds, for deleted objects and for invalid content.
    """
    if kind is not SharedKind.CONFIGURATION or not content:
        return 0
    try:
        return _version_decoder.decode(content).version
    except (msgspec.MsgspecError, RecursionError) as error:
        _log.warning('configuration without a version', why=str(error))
        return 0


def _position_fields(shared_object: SharedObject) -> dict[str, int]:
    """Return the fields that identify a position in log lines."""
    return {
        'era': era_of(shared_object.version),
        'revision': revision_of(shared_object.version),
    }


def _ignore(kinds: set[SharedKind]) -> None:
    """Do nothing."""
