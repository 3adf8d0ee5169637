"""Objects replicated to all daemons; the newest version of each wins.

A store that is restored from a copy gives revisions out again, so a revision
orders the changes of one era of the store only. Positions put the era first.
Across eras an object that its author numbers is ordered by that number: the
copy may be older than what was already in force.
"""

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final, final

# Low bits of a position: revisions of one era. The bits above hold the era.
_REVISION_BITS: Final = 40


@final
class SharedKind(enum.Enum):
    """Kinds of objects that daemons read from the store and their peers."""

    CONFIGURATION = 'configuration'
    EVACUATION = 'evacuation'
    MEMBER = 'member'
    ROLLOUT = 'rollout'
    ROLLOUT_STEP = 'rollout_step'


_DELETABLE_KINDS: Final = frozenset(
    (SharedKind.EVACUATION, SharedKind.ROLLOUT, SharedKind.ROLLOUT_STEP)
)


@final
@dataclass(frozen=True, slots=True)
class SharedObject:
    """One version of an object; ``content`` is empty if it is deleted.

    ``version`` orders the versions of one object. It is the position in the
    store for objects that operators write, and derived from incarnation and
    sequence for members. ``authored_version`` is the number that operators give
    a configuration, and zero for other kinds.
    """

    kind: SharedKind
    name: str
    version: int
    is_deleted: bool
    content: bytes
    authored_version: int = 0

    def supersedes(self, held: 'SharedObject') -> bool:
        """Return whether this version replaces the one that is held."""
        has_other_era = self.is_positioned and (
            era_of(self.version) != era_of(held.version)
        )
        if has_other_era and self.authored_version != held.authored_version:
            return self.authored_version > held.authored_version
        return self.version > held.version

    @property
    def is_positioned(self) -> bool:
        """Whether ``version`` is a position in the store."""
        return self.kind is not SharedKind.MEMBER


def store_position(era: int, revision: int) -> int:
    """Return the position of a revision of one era of the store.

    >>> store_position(2, 3) > store_position(1, 40)
    True
    """
    return (era << _REVISION_BITS) + revision


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> _REVISION_BITS


def revision_of(position: int) -> int:
    """Return the revision of a position within its era."""
    return position & ((1 << _REVISION_BITS) - 1)


def make_tombstone(kind: SharedKind, name: str, version: int) -> SharedObject:
    """Return the version of an object that marks it as deleted."""
    return SharedObject(kind, name, version, is_deleted=True, content=b'')


@final
@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind at one position of the store.

    ``newest_revision`` is the position of the latest change to any of them,
    also to one that can't be read. Objects that daemons never use don't count.
    """

    kind: SharedKind
    objects: tuple[SharedObject, ...]
    revision: int
    newest_revision: int


@final
class SharedObjects:
    """The newest known version of each object, including deleted ones.

    A version is replaced only by one that supersedes it, in whatever order
    updates arrive, so that no daemon ever reverts to an older configuration.

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
        if current is not None and not update.supersedes(current):
            return False
        self._objects[key] = update
        return True

    def replace(self, update: SharedObject) -> bool:
        """Store a version whatever its order; return whether it is another."""
        key = (update.kind, update.name)
        if self._objects.get(key) == update:
            return False
        self._objects[key] = update
        return True

    def merge_all(self, updates: Iterable[SharedObject]) -> list[SharedObject]:
        """Store several versions; return those that were newer."""
        return [each for each in updates if self.merge(each)]

    def merge_listing(
        self, listing: Listing, *, is_settled: bool = True
    ) -> list[SharedObject]:
        """Merge a listing; mark what it lacks as deleted if that can be.

        A store that is not settled has just been restored and may lack what
        operators are about to write again, so what is older stays. Return all
        objects that changed.
        """
        changed = self.merge_all(listing.objects)
        if listing.kind not in _DELETABLE_KINDS:
            # A configuration is replaced but never deleted, and members that
            # are gone are noticed by their peers.
            return changed
        listed = {each.name for each in listing.objects}
        for current in tuple(self.of_kind(listing.kind)):
            is_known = is_settled or (
                era_of(current.version) == era_of(listing.revision)
            )
            if (
                is_known
                and current.name not in listed
                and current.version <= listing.revision
            ):
                tombstone = make_tombstone(
                    current.kind, current.name, listing.revision
                )
                self._objects[(current.kind, current.name)] = tombstone
                changed.append(tombstone)
        return changed
