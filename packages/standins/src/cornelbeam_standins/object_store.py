"""State of the stand-in Object API, without any input or output."""

from collections import Counter
from collections.abc import Iterator
from typing import Any, final

import msgspec
from cornelbeam_object_api.client import ObjectList, StoredObject


@final
class VersionConflictError(Exception):
    """The expected version of a write isn't the stored one."""

    def __init__(self, current: StoredObject | None) -> None:
        """Keep the stored object for the answer."""
        super().__init__('the expected version is not the stored one')
        self.current = current


@final
class StoreFaults(msgspec.Struct, kw_only=True):
    """Faults to inject; set by ``POST /control``."""

    is_down: bool = False
    delay_ms: int = 0
    # Answers of so many coming writes are lost after the write took effect.
    lost_answer_count: int = 0
    # Only writes of this kind lose their answers; empty means any.
    lost_answer_kind: str = ''


@final
class ObjectStore:
    """Objects by kind and name; deleted ones remain as tombstones.

    Not all versions of an object are kept: a watcher sees the latest.
    """

    __slots__ = ('_objects', 'call_counts', 'revision')

    def __init__(self) -> None:
        """Start empty at revision 0."""
        # In revision order, since each write moves its object to the end.
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self.revision = 0
        self.call_counts: Counter[str] = Counter()

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Give an object or its tombstone."""
        return self._objects.get((kind, name))

    def list_kind(self, kind: str) -> ObjectList:
        """Give the existing objects of one kind."""
        found = tuple(
            stored
            for stored in self._objects.values()
            if stored.kind == kind and not stored.is_deleted
        )
        return ObjectList(objects=found, revision=self.revision)

    def changes_since(self, revision: int) -> ObjectList:
        """Give what was written after a revision, oldest first."""
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
        """Store a new version; ``None`` as the spec deletes the object.

        Raises ``VersionConflictError`` unless the stored version is the
        expected one. A missing or deleted object has the expected version 0,
        yet its next version is above that of the tombstone.
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
