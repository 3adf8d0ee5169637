"""Objects replicated to all daemons; the newest version of each wins."""

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import final


@final
class SharedKind(enum.Enum):
    """Kinds of objects that daemons read from the store and their peers."""

    CONFIGURATION = 'configuration'
    EVACUATION = 'evacuation'
    MEMBER = 'member'


@final
@dataclass(frozen=True, slots=True)
class SharedObject:
    """One version of an object; ``content`` is empty if it is deleted.

    ``version`` orders the versions of one object. It is the store revision for
    objects that operators write, and derived from incarnation and sequence
    for members.
    """

    kind: SharedKind
    name: str
    version: int
    is_deleted: bool
    content: bytes


def make_tombstone(kind: SharedKind, name: str, version: int) -> SharedObject:
    """Return the version of an object that marks it as deleted."""
    return SharedObject(kind, name, version, is_deleted=True, content=b'')


@final
@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind at one revision of the store.

    ``newest_revision`` is the revision of the latest change to any of them.
    """

    kind: SharedKind
    objects: tuple[SharedObject, ...]
    revision: int
    newest_revision: int


@final
class SharedObjects:
    """The newest known version of each object, including deleted ones.

    Versions only increase, in whatever order updates arrive, so that no daemon
    ever reverts to an older configuration.

    >>> held = SharedObjects()
    >>> held.merge(SharedObject(SharedKind.EVACUATION, 'a', 5, False, b''))
    True
    >>> held.merge(SharedObject(SharedKind.EVACUATION, 'a', 4, True, b''))
    False
    """

    __slots__ = ('_objects',)

    def __init__(self) -> None:
        """Create an empty collection."""
        self._objects: dict[tuple[SharedKind, str], SharedObject] = {}

    def get(self, kind: SharedKind, name: str) -> SharedObject | None:
        """Return an object, or None if it is unknown or deleted."""
        current = self._objects.get((kind, name))
        return None if current is None or current.is_deleted else current

    def of_kind(self, kind: SharedKind) -> Iterator[SharedObject]:
        """Iterate over the objects of a kind that are not deleted."""
        return (
            current
            for current in self._objects.values()
            if current.kind is kind and not current.is_deleted
        )

    def versions(self) -> Iterator[SharedObject]:
        """Iterate over the newest version of each object, deleted or not."""
        return iter(tuple(self._objects.values()))

    def merge(self, update: SharedObject) -> bool:
        """Store a version if it is newer; return whether it was."""
        key = (update.kind, update.name)
        current = self._objects.get(key)
        if current is not None and current.version >= update.version:
            return False
        self._objects[key] = update
        return True

    def merge_all(self, updates: Iterable[SharedObject]) -> list[SharedObject]:
        """Store several versions; return those that were newer."""
        return [each for each in updates if self.merge(each)]

    def merge_listing(self, listing: Listing) -> list[SharedObject]:
        """Merge a listing; mark objects that it lacks as deleted.

        Return all objects that changed.
        """
        changed = self.merge_all(listing.objects)
        listed = {each.name for each in listing.objects}
        for current in tuple(self.of_kind(listing.kind)):
            if (
                current.name not in listed
                and current.version <= listing.revision
            ):
                tombstone = make_tombstone(
                    current.kind, current.name, listing.revision
                )
                self._objects[(current.kind, current.name)] = tombstone
                changed.append(tombstone)
        return changed
