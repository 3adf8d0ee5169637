"""Interfaces between the daemon and the platform it is deployed on.

The daemon itself knows no header names or paths of a platform: an adapter
implements ``PlatformAdapter`` and ``Store`` and passes them to ``Sidecar``.
"""

from dataclasses import dataclass
from typing import Protocol, final

from cornelbeam_core.shared_objects import Listing, SharedKind, SharedObject


@final
@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of header fields, in lower case.

    ``attempt_id`` identifies one request of a caller and is echoed in the
    answer. ``remaining_ms`` is the time that the caller will still wait.
    ``caller_service`` names the service on the instance that the request comes
    from. A target refuses a request whose ``expected_instance`` is not its
    own, and ``not_run`` marks such a refusal. A target reports its name in
    ``instance``, its load in ``load`` and the milliseconds until it is warm in
    ``cold_remaining_ms``. In ``rate_limit`` it states how many requests a
    second it accepts from all daemons together, and ``leaving`` marks the
    answers of a target that is about to exit. The target gets the name of the
    caller's tenant in ``tenant``.
    """

    attempt_id: bytes
    remaining_ms: bytes
    caller_service: bytes
    expected_instance: bytes
    not_run: bytes
    instance: bytes
    load: bytes
    cold_remaining_ms: bytes
    rate_limit: bytes
    leaving: bytes
    tenant: bytes


@final
@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load that a target reports.

    ``slowdown_percent`` is the time that work currently takes on its host,
    relative to the usual time, which is 100.
    """

    running_count: int
    waiting_count: int
    slot_count: int
    slowdown_percent: int


@final
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that a target reports to the daemon on its instance.

    ``started_ms`` is the start time in Unix milliseconds. It distinguishes runs
    with the same ``instance``; each run restarts ``sequence``. ``version`` is
    that of the target's software, empty if it states none.
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
    version: str = ''


@final
@dataclass(frozen=True, slots=True)
class Deregistration:
    """Notice that a target is leaving; it finishes the requests in progress.

    It keeps serving for a short time after that.
    """

    instance: str


class PlatformAdapter(Protocol):
    """Header names and message formats of the platform."""

    @property
    def headers(self) -> HeaderNames:
        """Return the names of header fields."""

    def read_load(self, stated: bytes) -> TargetLoad | None:
        """Parse a load header; return ``None`` if it is malformed."""

    def read_rate_limit(self, stated: bytes) -> float | None:
        """Parse a limit in requests per second; ``None`` if it is malformed."""

    def read_leaving(self, stated: bytes) -> bool:
        """Return whether a header value says that the target is leaving."""

    def read_registration(
        self,
        method: bytes,
        path: bytes,
        body: bytes,
    ) -> Heartbeat | Deregistration:
        """Parse a registration message of the target.

        Raise ``ValueError`` if it is not one.
        """


@final
class HistoryGoneError(Exception):
    """The store no longer keeps the changes since a revision."""


class Store(Protocol):
    """Access to the platform's store as shared objects.

    Each call raises ``CornelbeamError``: ``store_unavailable``, with the run
    state of a write, if the store is unreachable or refuses the call,
    ``protocol_violation`` if it answers but the answer can't be read, and
    ``store_conflict`` if another write came first. One entry that can't be
    read is left out of an answer that can.
    """

    @property
    def unreadable_count(self) -> int:
        """Number of entries of the store that can't be read at present."""

    async def list_objects(
        self,
        kind: SharedKind,
        *,
        is_stale_allowed: bool,
    ) -> Listing:
        """Return all objects of a kind; a stale read may be seconds old."""

    async def watch(
        self,
        kind: SharedKind,
        since_revision: int,
        wait_ms: int,
    ) -> tuple[list[SharedObject], int]:
        """Wait for changes; return them and the revision to continue from.

        Raise ``HistoryGoneError`` if the objects must be listed again.
        """

    async def put_member(self, member: SharedObject) -> None:
        """Write a member entry unless the stored one is newer."""

    async def write_object(
        self,
        written: SharedObject,
        held: SharedObject | None,
        *,
        is_status: bool = False,
    ) -> SharedObject:
        """Write an object or its status if it is still as ``held``.

        Without ``held``, create it. Return the object with its new position.
        """

    async def close(self) -> None:
        """Close all connections to the store."""
