"""Member entries: the known daemons and their targets."""

import ipaddress
from collections.abc import Iterable
from typing import Annotated, Final, final

import msgspec
from cornelbeam_core.placement import TargetRecord
from cornelbeam_core.quota_owners import OwnerTable
from cornelbeam_core.shared_objects import SharedKind, SharedObject
from cornelbeam_core.targets import Target

from cornelbeam_mesh.settings import split_address

# Low bits of an entry's version: they count the changes made by one run of the
# daemon. The bits above hold the incarnation in milliseconds.
_SEQUENCE_BITS: Final = 12
_MAX_PORT: Final = 65_535
# Integers that every reader of JSON can represent (RFC 8259, section 6).
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
# Versions of entries are sent in 63 bits. The sequence is large on a daemon
# whose clock was set back, as it goes on after its stored version.
Incarnation = Annotated[int, msgspec.Meta(ge=0, le=2**49)]
Sequence = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
# Load reports send slots in 31 bits.
SlotCount = Annotated[int, msgspec.Meta(ge=1, le=2**20)]


class TargetEntry(msgspec.Struct, frozen=True):
    """Target on a daemon's instance, as its heartbeats describe it."""

    instance: str
    started_ms: Count
    sequence: Count
    service: str
    slot_count: SlotCount
    is_draining: bool
    # Empty if the target states none; daemons of earlier releases state none.
    version: str = ''


class MemberEntry(msgspec.Struct, frozen=True):
    """One daemon: its peer address and the target that it serves.

    ``target`` is ``None`` until one has registered.
    """

    name: str
    domain: str
    address: str
    incarnation: Incarnation
    sequence: Sequence
    is_leaving: bool
    target: TargetEntry | None

    @property
    def version(self) -> int:
        """Return the version of this entry; see ``member_version``."""
        return member_version(self.incarnation, self.sequence)

    def serves(self, service: str) -> bool:
        """Return whether the target belongs to a service."""
        return self.target is not None and self.target.service == service

    @property
    def is_serving(self) -> bool:
        """Return whether the target accepts new requests."""
        has_target = self.target is not None and not self.target.is_draining
        return has_target and not self.is_leaving


_decoder = msgspec.json.Decoder(MemberEntry)


def member_version(incarnation: int, sequence: int) -> int:
    """Return a version that increases with each change and each restart."""
    return (incarnation << _SEQUENCE_BITS) + sequence


def encode_member(entry: MemberEntry) -> SharedObject:
    """Encode an entry as the object shared with the store and peers."""
    return SharedObject(
        SharedKind.MEMBER,
        entry.name,
        entry.version,
        is_deleted=False,
        content=msgspec.json.encode(entry),
    )


def decode_member(shared_object: SharedObject) -> MemberEntry | None:
    """Decode an entry; return ``None`` if the content is not a valid one.

    Other programs may write to the store too.
    """
    try:
        entry = _decoder.decode(shared_object.content)
    except (msgspec.MsgspecError, RecursionError):
        return None
    is_valid = entry.name == shared_object.name and _is_address(entry.address)
    return entry if is_valid else None


def _is_address(stated: str) -> bool:
    """Return whether a value is an ``ip:port`` to connect to."""
    try:
        host, port = split_address(stated)
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < port <= _MAX_PORT


@final
class Members:
    """Known daemons, with the records this one keeps of their targets."""

    __slots__ = ('_departures', '_entries', '_records', 'own_name', 'owners')

    def __init__(self, own_name: str) -> None:
        """Start without any known daemons."""
        self.own_name = own_name
        # Owners of the shares of tenant quotas.
        self.owners = OwnerTable()
        self._entries: dict[str, MemberEntry] = {}
        self._records: dict[str, TargetRecord] = {}
        # By daemon, the run of its target that this daemon has seen leaving.
        self._departures: dict[str, tuple[str, int]] = {}

    def entries(self) -> Iterable[MemberEntry]:
        """Return all known daemons including this one."""
        return tuple(self._entries.values())

    def others(self) -> list[MemberEntry]:
        """Return all known daemons except this one."""
        return [
            entry
            for entry in self._entries.values()
            if entry.name != self.own_name
        ]

    def get(self, name: str) -> MemberEntry | None:
        """Return a daemon's entry, or ``None`` if it is unknown."""
        return self._entries.get(name)

    def update(self, entry: MemberEntry) -> None:
        """Replace a daemon's entry by a newer one.

        A new run of the daemon or its target gets a new record. Daemons that
        started earlier at the same address are gone and are removed.
        """
        for other in self.entries():
            has_same_address = other.address == entry.address
            is_earlier = other.incarnation < entry.incarnation
            if has_same_address and is_earlier and other.name != entry.name:
                self.remove(other.name)
        known = self._entries.get(entry.name)
        if known is not None and _forgets_departure(known, entry):
            self.note_departure(entry)
        self._entries[entry.name] = entry
        if entry.is_leaving:
            self.owners.remove(entry.name)
        else:
            self.owners.place(entry.name, entry.domain)
        if known is None or _run_key(known) != _run_key(entry):
            self._records[entry.name] = TargetRecord(
                entry.name,
                entry.domain,
                is_local=entry.name == self.own_name,
            )

    def remove(self, name: str) -> None:
        """Remove a daemon and its record."""
        self._entries.pop(name, None)
        self._records.pop(name, None)
        self.owners.remove(name)

    def note_departure(self, entry: MemberEntry) -> None:
        """Send nothing more to a target that is known to be leaving.

        This holds for the run of the target, even if its daemon restarts and
        no longer knows.
        """
        if entry.target is not None:
            self._departures[entry.name] = _target_run(entry.target)

    def _has_departed(self, entry: MemberEntry) -> bool:
        if entry.target is None:
            return False
        return self._departures.get(entry.name) == _target_run(entry.target)

    def record(self, name: str) -> TargetRecord | None:
        """Return the record of a daemon's target."""
        return self._records.get(name)

    def serving(
        self,
        service: str,
        evacuated_domains: frozenset[str],
    ) -> list[TargetRecord]:
        """Return the targets of a service that accept new requests."""
        return [
            self._records[entry.name]
            for entry in self._entries.values()
            if entry.is_serving
            and entry.serves(service)
            and entry.domain not in evacuated_domains
            and not self._has_departed(entry)
        ]

    def count_service(self, service: str) -> int:
        """Count the targets of a service including those that are leaving."""
        return sum(entry.serves(service) for entry in self._entries.values())


def make_peer_target(entry: MemberEntry) -> Target:
    """Return the daemon as a target of the peer protocol."""
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
    return entry.incarnation, *_target_run(target)


def _forgets_departure(known: MemberEntry, entry: MemberEntry) -> bool:
    """Return whether an entry lacks the departure that a known one states.

    A daemon that has restarted since may not know of it.
    """
    before, target = known.target, entry.target
    if before is None or target is None or target.is_draining:
        return False
    is_same_run = _target_run(before) == _target_run(target)
    return (
        is_same_run and before.is_draining and target.sequence < before.sequence
    )


def _target_run(target: TargetEntry) -> tuple[str, int]:
    return target.instance, target.started_ms
