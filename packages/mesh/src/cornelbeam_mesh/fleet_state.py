"""What this daemon knows of the fleet, from the store and from its peers."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final, final

import msgspec
from cornelbeam_core.routes import RouteTable, RoutingConfiguration
from cornelbeam_core.shared_objects import (
    Listing,
    SharedKind,
    SharedObject,
    SharedObjects,
)
from cornelbeam_daemon.logs import get_log

from cornelbeam_mesh.members import Members, decode_member

_log = get_log('config')
_configuration_decoder: Final = msgspec.json.Decoder(RoutingConfiguration)


@final
class FleetState:
    """Shared objects and what follows from them.

    ``on_change`` is called after each change, with the kinds that changed.
    """

    __slots__ = (
        '_objects',
        'evacuated_domains',
        'is_configured',
        'members',
        'on_change',
        'route_table',
    )

    def __init__(self, own_name: str) -> None:
        """Start without any object."""
        self._objects = SharedObjects()
        self.members = Members(own_name)
        self.route_table: RouteTable | None = None
        self.evacuated_domains: frozenset[str] = frozenset()
        self.is_configured = asyncio.Event()
        self.on_change: Callable[[set[SharedKind]], None] = _ignore

    @property
    def store_revision(self) -> int:
        """Highest store revision of the objects that operators write."""
        return max(
            (
                held.version
                for held in self._objects.versions()
                if held.kind is not SharedKind.MEMBER
            ),
            default=0,
        )

    def changes_since(self, revision: int) -> list[SharedObject]:
        """Give what a peer lacks that knows the store up to a revision.

        Members have versions of their own, so all of them are given.
        """
        return [
            held
            for held in self._objects.versions()
            if held.kind is SharedKind.MEMBER or held.version > revision
        ]

    def get(self, kind: SharedKind, name: str) -> SharedObject | None:
        """Give an object unless it is unknown or deleted."""
        return self._objects.get(kind, name)

    def merge(self, news: Iterable[SharedObject], source: str) -> None:
        """Take versions of objects; ``source`` names who told them."""
        self._apply(self._objects.merge_all(news), source)

    def merge_listing(self, listing: Listing, source: str) -> None:
        """Take all objects of a kind."""
        self._apply(self._objects.merge_listing(listing), source)

    def _apply(self, changed: list[SharedObject], source: str) -> None:
        for each in changed:
            _appliers[each.kind](self, each, source)
        if changed:
            self.on_change({held.kind for held in changed})

    def apply_configuration(self, held: SharedObject, source: str) -> None:
        """Put the routes of a configuration into force."""
        if held.is_deleted:
            _log.warning('configuration deleted, the last one holds')
            return
        try:
            configuration = _configuration_decoder.decode(held.content)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            _log.error('unreadable configuration', why=str(error))
            return
        self.route_table = RouteTable(configuration)
        self.is_configured.set()
        _log.info(
            'configuration in force',
            version=configuration.version,
            revision=held.version,
            routes=len(configuration.routes),
            source=source,
        )

    def apply_evacuation(self, held: SharedObject, source: str) -> None:
        """Take a failure domain out of service or back."""
        evacuated = self._objects.of_kind(SharedKind.EVACUATION)
        self.evacuated_domains = frozenset(each.name for each in evacuated)
        _log.info(
            'failure domain back' if held.is_deleted else 'failure domain out',
            domain=held.name,
            revision=held.version,
            source=source,
        )

    def apply_member(self, held: SharedObject, source: str) -> None:
        """Take the entry of a daemon."""
        entry = None if held.is_deleted else decode_member(held)
        if entry is None:
            self.members.remove(held.name)
            return
        self.members.update(entry)
        _log.info(
            'member entry',
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
}


def _ignore(kinds: set[SharedKind]) -> None:
    """Do nothing."""
