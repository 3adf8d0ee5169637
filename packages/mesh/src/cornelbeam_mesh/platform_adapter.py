"""What an adapter tells the daemon about the protocol around it.

The daemon itself knows no header or path of a platform: an adapter implements
``Edge`` and gives it to ``Sidecar``.
"""

from dataclasses import dataclass
from typing import Protocol, final

from cornelbeam_core.shared_objects import Listing, SharedKind, SharedObject


@final
@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of header fields, in lower case.

    ``attempt_id`` names one request of a caller and is echoed in its answer.
    ``remaining_ms`` is the time the caller still waits. ``caller_service``
    names the service on the instance where the request began.
    ``expected_instance`` makes any other target refuse the request, and
    ``not_run`` marks such a refusal. A target names itself in ``instance``,
    tells its load in ``load`` and how long it stays cold, in milliseconds, in
    ``cold_remaining_ms``.
    """

    attempt_id: bytes
    remaining_ms: bytes
    caller_service: bytes
    expected_instance: bytes
    not_run: bytes
    instance: bytes
    load: bytes
    cold_remaining_ms: bytes


@final
@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load as the target tells it.

    ``slowdown_percent`` says how long work takes on its host at present, 100
    being as usual.
    """

    running_count: int
    waiting_count: int
    slot_count: int
    slowdown_percent: int


@final
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a target says of itself to the daemon beside it.

    ``started_ms`` is its start in Unix milliseconds: two runs of a target may
    have the same ``instance``, and each counts ``sequence`` from its start.
    """

    instance: str
    started_ms: int
    sequence: int
    service: str
    domain: str
    address: str
    slot_count: int
    is_draining: bool
    cold_remaining_ms: int


@final
@dataclass(frozen=True, slots=True)
class Deregistration:
    """A target leaves; it serves what is in work and a little longer."""

    instance: str


class PlatformAdapter(Protocol):
    """Names and formats of the platform around the daemon."""

    @property
    def headers(self) -> HeaderNames:
        """Names of header fields."""

    def read_load(self, stated: bytes) -> TargetLoad | None:
        """Read a load header; ``None`` when it can't be read."""

    def read_registration(
        self,
        method: bytes,
        path: bytes,
        body: bytes,
    ) -> Heartbeat | Deregistration:
        """Read a message of the target; raises ``ValueError`` on any other."""


@final
class HistoryGoneError(Exception):
    """The store no longer knows the changes since a revision."""


class Store(Protocol):
    """The platform's store in terms of shared objects.

    Each call raises ``CornelbeamError``: ``store_unavailable`` when the store
    can't be reached or refuses, with the run state of a write, and
    ``store_conflict`` when another write came first.
    """

    async def list_objects(
        self,
        kind: SharedKind,
        *,
        is_stale_allowed: bool,
    ) -> Listing:
        """Read all objects of a kind; stale ones may be seconds old."""

    async def watch(
        self,
        kind: SharedKind,
        since_revision: int,
        wait_ms: int,
    ) -> tuple[list[SharedObject], int]:
        """Wait for changes; give them and the revision to continue from.

        Raises ``HistoryGoneError`` when they must be listed anew.
        """

    async def put_member(self, member: SharedObject) -> None:
        """Write the entry of a member unless the stored one is newer."""

    async def close(self) -> None:
        """Close the connections."""
