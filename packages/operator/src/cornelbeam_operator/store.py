"""The Object API as the operators' commands see it."""

import getpass
import re
import uuid
from collections.abc import Sequence
from typing import Any, Protocol


class StoredView(Protocol):
    """A stored object, read only."""

    @property
    def kind(self) -> str:
        """Kind of the object."""

    @property
    def name(self) -> str:
        """Name, unique in the kind."""

    @property
    def version(self) -> int:
        """Count of the writes to this object; it only grows."""

    @property
    def revision(self) -> int:
        """Place of the last write among all writes to the store."""

    @property
    def write_id(self) -> str:
        """Identifier that the last writer chose."""

    @property
    def is_deleted(self) -> bool:
        """Whether this is the trace of a deleted object."""

    @property
    def spec(self) -> dict[str, Any]:
        """Content as decoded from JSON."""


class ListView(Protocol):
    """The objects of a kind and the revision at which they were read."""

    @property
    def objects(self) -> Sequence[StoredView]:
        """Objects in any order."""

    @property
    def revision(self) -> int:
        """Revision of the store at the time of the read."""


class ObjectStore(Protocol):
    """The part of ``ObjectApiClient`` that the commands use.

    Errors are ``CornelbeamError`` with ``STORE_UNAVAILABLE`` or
    ``STORE_CONFLICT``.
    """

    async def get(self, kind: str, name: str) -> StoredView | None:
        """Read one object; ``None`` when it does not exist."""

    async def read_back(self, kind: str, name: str) -> StoredView | None:
        """Read one object or the trace of a deleted one."""

    async def list_kind(self, kind: str) -> ListView:
        """Read all objects of a kind."""

    async def put(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any],
        expected_version: int,
        write_id: str,
    ) -> StoredView:
        """Write if the version is the expected one; 0 must not exist."""

    async def delete(
        self,
        kind: str,
        name: str,
        expected_version: int,
        write_id: str,
    ) -> StoredView | None:
        """Delete if the version is the expected one."""


def make_write_id() -> str:
    """Give a new identifier that also names the user.

    The user's name tells the loser of a race whom to ask; the random part
    makes the identifier unique.
    """
    try:
        user = getpass.getuser()
    except (KeyError, OSError):
        user = 'unknown'
    safe_user = re.sub('[^A-Za-z0-9._-]', '_', user)
    return f'{safe_user}-{uuid.uuid4().hex[:16]}'


async def list_existing(store: ObjectStore, kind: str) -> list[StoredView]:
    """Read the objects of a kind, sorted by name, without deleted ones."""
    listed = await store.list_kind(kind)
    existing = (each for each in listed.objects if not each.is_deleted)
    return sorted(existing, key=lambda each: each.name)
