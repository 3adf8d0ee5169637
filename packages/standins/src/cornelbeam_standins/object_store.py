"""State of the stand-in Object API, without I/O."""

from collections import Counter
from collections.abc import Iterator
from typing import Any, final

import msgspec
from cornelbeam_object_api.client import ObjectList, StoredObject


@final
class VersionConflictError(Exception):
    """Raised when the expected version of a write is not the stored one."""

    def __init__(self, current: StoredObject | None) -> None:
        """Keep the stored object, which the answer returns to the writer."""
        super().__init__('the expected version is not the stored one')
        self.current = current


@final
class StoreFaults(msgspec.Struct, kw_only=True):
    """Faults to inject, set by ``POST /control``."""

    is_down: bool = False
    delay_ms: int = 0
    # Number of next writes that take effect but whose answers are lost.
    lost_answer_count: int = 0
    # Kind of the objects whose writes lose their answers; empty means any.
    lost_answer_kind: str = ''


@final
class ObjectStore:
    """Objects by kind and name; deleted objects remain as tombstones.

    Only the latest version of each object is kept, and watchers see only that.
    """

    __slots__ = ('_objects', 'call_counts', 'revision')

    def __init__(self) -> None:
        """Start without objects, at revision 0."""
        # In revision order, because each write moves its object to the end.
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self.revision = 0
        self.call_counts: Counter[str] = Counter()

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Return an object or its tombstone, None if it was never written."""
        return self._objects.get((kind, name))

    def list_kind(self, kind: str) -> ObjectList:
        """Return the objects of one kind that are not deleted."""
        found = tuple(
            stored
            for stored in self._objects.values()
            if stored.kind == kind and not stored.is_deleted
        )
        return ObjectList(objects=found, revision=self.revision)

    def changes_since(self, revision: int) -> ObjectList:
        """Return the objects written after a revision, oldest first."""
        newest_first = tuple(self._newer_than(revision))
        return ObjectList(
            objects=tuple(reversed(newest_first)),
            revision=self.revision,
        )

    def write(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any] | None,
        expected_version: int,
        write_id: str,
    ) -> StoredObject:
        """Store and return a new version; spec ``None`` deletes the object.

        Raise ``VersionConflictError`` unless the stored version is the
        expected one. The expected version of a missing or deleted object is 0,
        but a new version is always above that of the tombstone.
        """
        current = self._objects.get((kind, name))
        is_missing = current is None or current.is_deleted
        stored_version = 0 if current is None else current.version
        live_version = 0 if is_missing else stored_version
        if live_version != expected_version or (is_missing and spec is None):
            raise VersionConflictError(current)
        self.revision += 1
        written = StoredObject(
            kind=kind,
            name=name,
            version=stored_version + 1,
            revision=self.revision,
            write_id=write_id,
            is_deleted=spec is None,
            spec=spec or {},
        )
        self._objects.pop((kind, name), None)
        self._objects[kind, name] = written
        return written

    def _newer_than(self, revision: int) -> Iterator[StoredObject]:
        for stored in reversed(self._objects.values()):
            if stored.revision <= revision:
                return
            yield stored
