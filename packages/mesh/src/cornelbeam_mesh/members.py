"""Entries of daemons and their targets, and the targets of a service."""

from collections.abc import Iterable
from typing import Final, final

import msgspec
from cornelbeam_core.placement import TargetRecord
from cornelbeam_core.shared_objects import SharedKind, SharedObject
from cornelbeam_core.targets import Target

# Changes that one run of a daemon may make to its entry; the rest of a
# version is the incarnation in milliseconds.
_SEQUENCE_BITS: Final = 12


class TargetEntry(msgspec.Struct, frozen=True):
    """The target beside a daemon, as its heartbeats tell it."""

    instance: str
    started_ms: int
    sequence: int
    service: str
    slot_count: int
    is_draining: bool


class MemberEntry(msgspec.Struct, frozen=True):
    """One daemon: where peers reach it and which target it serves.

    ``target`` is ``None`` while none has registered or after it has left.
    """

    name: str
    domain: str
    address: str
    incarnation: int
    sequence: int
    is_leaving: bool
    target: TargetEntry | None

    @property
    def version(self) -> int:
        """Order of the entries of one daemon, over its restarts too."""
        return member_version(self.incarnation, self.sequence)

    def serves(self, service: str) -> bool:
        """Tell whether its target is one of a service."""
        return self.target is not None and self.target.service == service

    @property
    def is_serving(self) -> bool:
        """Tell whether its target takes new requests."""
        has_target = self.target is not None and not self.target.is_draining
        return has_target and not self.is_leaving


_decoder = msgspec.json.Decoder(MemberEntry)


def member_version(incarnation: int, sequence: int) -> int:
    """Order the entries of one daemon, over its restarts too."""
    return (incarnation << _SEQUENCE_BITS) + sequence


def encode_member(entry: MemberEntry) -> SharedObject:
    """Make the object that the store and other daemons get."""
    return SharedObject(
        SharedKind.MEMBER,
        entry.name,
        entry.version,
        is_deleted=False,
        content=msgspec.json.encode(entry),
    )


def decode_member(held: SharedObject) -> MemberEntry | None:
    """Read an entry; ``None`` when another program wrote something else."""
    try:
        entry = _decoder.decode(held.content)
    except (msgspec.ValidationError, msgspec.DecodeError):
        return None
    return entry if entry.name == held.name else None


@final
class Members:
    """Known daemons, and what this one saw of their targets."""

    __slots__ = ('_entries', '_records', 'own_name')

    def __init__(self, own_name: str) -> None:
        """Start with nobody known."""
        self.own_name = own_name
        self._entries: dict[str, MemberEntry] = {}
        self._records: dict[str, TargetRecord] = {}

    def entries(self) -> Iterable[MemberEntry]:
        """Give all known daemons, the own one included."""
        return tuple(self._entries.values())

    def others(self) -> list[MemberEntry]:
        """Give the other daemons."""
        return [
            entry
            for entry in self._entries.values()
            if entry.name != self.own_name
        ]

    def get(self, name: str) -> MemberEntry | None:
        """Give one daemon."""
        return self._entries.get(name)

    def update(self, entry: MemberEntry) -> None:
        """Take a newer entry of a daemon.

        A new run of the daemon or of its target starts with a clean record.
        A daemon that started later at the same address has taken it over
        from one that is gone.
        """
        for other in self.entries():
            is_taken_over = other.address == entry.address
            is_earlier = other.incarnation < entry.incarnation
            if is_taken_over and is_earlier and other.name != entry.name:
                self.remove(other.name)
        held = self._entries.get(entry.name)
        self._entries[entry.name] = entry
        if held is None or _run_key(held) != _run_key(entry):
            self._records[entry.name] = TargetRecord(
                entry.name,
                entry.domain,
                is_local=entry.name == self.own_name,
            )

    def remove(self, name: str) -> None:
        """Drop a daemon whose entry was deleted."""
        self._entries.pop(name, None)
        self._records.pop(name, None)

    def record(self, name: str) -> TargetRecord | None:
        """Give what was seen of a daemon's target."""
        return self._records.get(name)

    def serving(
        self,
        service: str,
        evacuated_domains: frozenset[str],
    ) -> list[TargetRecord]:
        """Give the targets of a service that take new requests."""
        return [
            self._records[entry.name]
            for entry in self._entries.values()
            if entry.is_serving
            and entry.serves(service)
            and entry.domain not in evacuated_domains
        ]

    def count_service(self, service: str) -> int:
        """Count the targets of a service, those that leave included."""
        return sum(entry.serves(service) for entry in self._entries.values())


def make_peer_target(entry: MemberEntry) -> Target:
    """Give the daemon as the peer protocol names it."""
    service = '' if entry.target is None else entry.target.service
    return Target(
        entry.name,
        service,
        entry.domain,
        entry.address,
        entry.incarnation,
        {},
    )


def _run_key(entry: MemberEntry) -> tuple[int, str, int]:
    target = entry.target
    if target is None:
        return entry.incarnation, '', 0
    return entry.incarnation, target.instance, target.started_ms
