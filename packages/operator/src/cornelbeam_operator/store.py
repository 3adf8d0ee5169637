"""Interface of the Object API that the commands use."""

import getpass
import re
import uuid
from collections.abc import Sequence
from typing import Any, Protocol


class StoredView(Protocol):
    """Read-only view of a stored object."""

    @property
    def kind(self) -> str:
        """Kind of the object."""

    @property
    def name(self) -> str:
        """Name of the object, unique within its kind."""

    @property
    def version(self) -> int:
        """Number of writes to this object; it never decreases."""

    @property
    def revision(self) -> int:
        """Position of the last write in the sequence of all store writes."""

    @property
    def write_id(self) -> str:
        """Identifier of the last write, chosen by its writer."""

    @property
    def is_deleted(self) -> bool:
        """Whether this is the tombstone of a deleted object."""

    @property
    def spec(self) -> dict[str, Any]:
        """Content of the object, decoded from JSON."""


class ListView(Protocol):
    """Objects of a kind and the revision at which they were read."""

    @property
    def objects(self) -> Sequence[StoredView]:
        """Objects in no particular order."""

    @property
    def revision(self) -> int:
        """Revision of the store at the time of the read."""


class ObjectStore(Protocol):
    """Subset of ``ObjectApiClient`` that the commands use.

    All methods raise ``CornelbeamError`` with ``STORE_UNAVAILABLE`` or
    ``STORE_CONFLICT``.
    """

    async def get(self, kind: str, name: str) -> StoredView | None:
        """Return one object, or ``None`` if it does not exist."""

    async def read_back(self, kind: str, name: str) -> StoredView | None:
        """Return one object or the tombstone of a deleted one."""

    async def list_kind(self, kind: str) -> ListView:
        """Return all objects of a kind."""

    async def put(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any],
        expected_version: int,
        write_id: str,
    ) -> StoredView:
        """Write an object if its version is ``expected_version``.

        0 means that the object must not exist.
        """

    async def delete(
        self,
        kind: str,
        name: str,
        expected_version: int,
        write_id: str,
    ) -> StoredView | None:
        """Delete an object if its version is ``expected_version``."""


def make_write_id() -> str:
    """Return a new unique identifier that contains the user name.

    After a write conflict, the user name shows the operator whom to ask. The
    random part makes the identifier unique.
    """
    try:
        user = getpass.getuser()
    except (KeyError, OSError):
        user = 'unknown'
    safe_user = re.sub('[^A-Za-z0-9._-]', '_', user)
    return f'{safe_user}-{uuid.uuid4().hex[:16]}'


async def list_existing(store: ObjectStore, kind: str) -> list[StoredView]:
    """Return the objects of a kind, sorted by name, without deleted ones."""
    listed = await store.list_kind(kind)
    existing = (each for each in listed.objects if not each.is_deleted)
    return sorted(existing, key=lambda each: each.name)
