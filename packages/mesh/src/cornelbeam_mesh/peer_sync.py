"""Exchange of shared objects with peers.

Daemons pull from peers while the store is unreachable.
"""

import asyncio
import random
from typing import Final, final

import anyio
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.placement import TargetRecord
from cornelbeam_core.shared_objects import SharedKind, SharedObject
from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.logs import get_log
from cornelbeam_wire import Stream
from cornelbeam_wire.gen import messages

from cornelbeam_mesh.fleet_state import (
    FleetState,
    is_complete_configuration,
    read_authored_version,
)
from cornelbeam_mesh.members import MemberEntry
from cornelbeam_mesh.store_sync import StoreSync

_log = get_log('member')
# A configuration must take effect within seconds even if the store refuses
# this daemon and serves the others.
PULL_PERIOD_S: Final = 0.8
# Requests don't detect that a lost daemon is back; these pings do.
LOST_PEER_PING_PERIOD_S: Final = 0.4
# A member entry takes one or two hundred bytes. If each request that finds a
# restarted daemon fetched it, the replies would fill slow links.
MIN_REFRESH_INTERVAL_S: Final = 0.4
# Peers to pull from in each round: a single one may also be cut off from the
# store.
PULL_PEER_COUNT: Final = 2
# Watches report a change to all daemons within this time, so a peer that heard
# of it first is no reason to ask it.
CATCH_UP_DELAY_S: Final = 0.3
# Total size of the objects in one reply; the next pull fetches the rest.
_MAX_PUSH_CONTENT_BYTES: Final = 200_000


@final
class PeerSync:
    """Pulls objects from peers and answers their pulls."""

    __slots__ = (
        '_domain',
        '_messenger',
        '_newer_peers',
        '_newer_revision_found',
        '_refreshed_at_s',
        '_rng',
        '_state',
        '_store_sync',
        'has_pulled',
        'is_own_entry_known',
    )

    def __init__(
        self,
        domain: str,
        state: FleetState,
        store_sync: StoreSync,
        messenger: Messenger,
        rng: random.Random,
    ) -> None:
        """Prefer peers in ``domain``, as traffic inside it is cheap."""
        self._domain = domain
        self._state = state
        self._store_sync = store_sync
        self._messenger = messenger
        self._rng = rng
        # Time of the last refresh of each daemon's entry.
        self._refreshed_at_s: dict[str, float] = {}
        # Position and address of each peer that has newer objects, by name.
        self._newer_peers: dict[str, tuple[int, str]] = {}
        self._newer_revision_found = asyncio.Event()
        # Set after the first pull that a peer has answered.
        self.has_pulled = asyncio.Event()
        # Set when a peer has stated its view of this daemon, or none answers.
        self.is_own_entry_known = asyncio.Event()

    async def run(self) -> None:
        """Pull from peers while the store is unreachable, until cancelled."""
        while True:
            await anyio.sleep(PULL_PERIOD_S)
            if self._store_sync.is_reachable.is_set():
                continue
            for peer in self._choose_pull_peers():
                await self.pull(peer.name, peer.address)

    def note_revision(self, peer: messages.Hello, revision: int) -> None:
        """Record the store position that a peer announces."""
        if revision > self._state.store_revision:
            self._newer_peers[peer.name] = revision, peer.address
            self._newer_revision_found.set()

    async def catch_up(self) -> None:
        """Pull what the store does not report but peers have, until cancelled.

        A watch that is silent is not found otherwise before it times out.
        """
        while True:
            await self._newer_revision_found.wait()
            await anyio.sleep(CATCH_UP_DELAY_S)
            self._newer_revision_found.clear()
            newer_peers = self._newer_peers
            self._newer_peers = {}
            for name, (revision, address) in newer_peers.items():
                if revision > self._state.store_revision:
                    await self._pull_missed(name, address)

    async def _pull_missed(self, name: str, address: str) -> None:
        held_revision = self._state.store_revision
        await self.pull(name, address)
        if self._state.store_revision > held_revision:
            self._store_sync.note_missed_change(name)

    async def ping_lost_peers(self) -> None:
        """Ping lost daemons until cancelled to detect that they are back."""
        while True:
            await anyio.sleep(LOST_PEER_PING_PERIOD_S)
            async with anyio.create_task_group() as group:
                for peer, record in self._lost_peers():
                    group.start_soon(self._ping_peer, peer, record)

    def _lost_peers(self) -> list[tuple[MemberEntry, TargetRecord]]:
        members = self._state.members
        paired = [
            (peer, members.record(peer.name)) for peer in members.others()
        ]
        return [
            (peer, record)
            for peer, record in paired
            if record is not None and record.is_unreachable and peer.is_serving
        ]

    async def _ping_peer(self, peer: MemberEntry, record: TargetRecord) -> None:
        try:
            frame = await self._ping(peer)
        except CornelbeamError:
            # Still lost; the failure that marked it as lost was logged.
            return
        if frame.ack is not None and frame.ack.incarnation != peer.incarnation:
            # The daemon has restarted since its entry was written.
            await self.refresh_entry(peer)
            return
        _log.info('lost peer reachable again', peer=peer.name)
        record.note_reachable()

    async def _ping(self, peer: MemberEntry) -> messages.Frame:
        return await self._messenger.ask(
            peer.address,
            ping=messages.Ping(updates=[], revision=0, service_name=''),
        )

    async def refresh_entry(self, peer: MemberEntry) -> None:
        """Ask the daemon at a peer's address for its current entry.

        Many requests may find an entry outdated at the same time, so this
        does nothing within ``MIN_REFRESH_INTERVAL_S`` of the last request.
        """
        now_s = asyncio.get_running_loop().time()
        refreshed_at_s = self._refreshed_at_s.get(peer.name, float('-inf'))
        if now_s - refreshed_at_s < MIN_REFRESH_INTERVAL_S:
            return
        self._refreshed_at_s[peer.name] = now_s
        push = await self._pull(
            peer.name,
            peer.address,
            is_own_entry_only=True,
        )
        own_entries = [] if push is None else _from_wire(push)
        for own_entry in own_entries:
            if own_entry.name == peer.name:
                # The daemon itself knows best. Its version may be lower than
                # the one that is held if its clock was set back.
                self._state.replace(own_entry, peer.name)
        if own_entries and peer.name not in {each.name for each in own_entries}:
            # Another daemon has this address now. Its incarnation may be lower
            # if a clock was set back, so it would not replace the entry.
            self._state.members.remove(peer.name)

    async def pull(self, name: str, address: str) -> None:
        """Fetch and merge the objects that this daemon lacks."""
        if await self._pull(name, address) is not None:
            self.has_pulled.set()
            self.is_own_entry_known.set()

    async def pull_from_any(self) -> None:
        """Fetch what the store may lack, also of this daemon's own entry.

        A store that was restored from a copy may hold an older configuration
        than the one in force, and one that was down the entry before the last.
        """
        async with anyio.create_task_group() as group:
            for peer in self._choose_pull_peers():
                group.start_soon(self.pull_without_members, peer)
        self.is_own_entry_known.set()

    async def pull_without_members(self, peer: MemberEntry) -> None:
        """Fetch and merge what operators write, and this daemon's entry."""
        push = await self._pull(
            peer.name, peer.address, is_without_members=True
        )
        if push is not None:
            self.is_own_entry_known.set()

    async def _pull(
        self,
        name: str,
        address: str,
        *,
        is_own_entry_only: bool = False,
        is_without_members: bool = False,
    ) -> messages.ConfigPush | None:
        """Fetch and merge objects; return ``None`` without an answer."""
        try:
            frame = await self._messenger.ask(
                address,
                config_pull=messages.ConfigPull(
                    since_revision=self._state.store_revision,
                    is_own_entry_only=is_own_entry_only,
                    is_without_members=is_without_members,
                ),
            )
        except CornelbeamError as error:
            _log.info('pull from peer failed', peer=name, why=str(error))
            return None
        if frame.config_push is not None:
            self.merge_push(frame.config_push, name)
        return frame.config_push

    def merge_push(self, push: messages.ConfigPush, sender: str) -> None:
        """Merge the objects that a peer has sent.

        A configuration that is incomplete or invalid is skipped: the store's
        own copy at the same position would not replace it.
        """
        usable = []
        for received in _from_wire(push):
            if _is_usable(received):
                usable.append(received)
                continue
            _log.warning(
                'incomplete configuration of a peer ignored', peer=sender
            )
        self._state.merge(usable, sender)

    def answer_pull(self, stream: Stream, pull: messages.ConfigPull) -> None:
        """Send the objects that the requesting peer lacks."""
        objects: list[messages.ConfigObject] = []
        size_bytes = 0
        for shared_object in self._objects_for(pull, stream):
            size_bytes += len(shared_object.content)
            if objects and size_bytes > _MAX_PUSH_CONTENT_BYTES:
                break
            objects.append(_to_wire(shared_object))
        self._messenger.reply(
            stream,
            config_push=messages.ConfigPush(
                objects=objects,
                since_revision=pull.since_revision,
                up_to_revision=self._state.store_revision,
                has_more=False,
            ),
        )

    def _objects_for(
        self, pull: messages.ConfigPull, stream: Stream
    ) -> list[SharedObject]:
        if pull.is_own_entry_only:
            return self._entry_of(self._state.members.own_name)
        changes = self._state.changes_since(pull.since_revision)
        if not pull.is_without_members:
            return changes
        # The peer has started, and may not have stored its last entry.
        return self._entry_of(stream.connection.peer_name) + [
            each for each in changes if each.is_positioned
        ]

    def _entry_of(self, member: str) -> list[SharedObject]:
        entry = self._state.get(SharedKind.MEMBER, member)
        return [] if entry is None else [entry]

    async def announce(self, changed: SharedObject) -> None:
        """Push an object that this daemon has changed to all peers."""
        push = _push_of(changed)
        async with anyio.create_task_group() as group:
            for peer in self._state.members.others():
                group.start_soon(self._push, peer, push)

    async def _push(
        self,
        peer: MemberEntry,
        push: messages.ConfigPush,
    ) -> None:
        await self._messenger.tell(peer.address, config_push=push)

    async def share(self, own_entry: SharedObject) -> None:
        """Push an entry to some peers and wait until one of them holds it.

        Return without one if none answers.
        """
        async with anyio.create_task_group() as group:
            for peer in self._choose_pull_peers():
                group.start_soon(
                    self._share_with, peer, own_entry, group.cancel_scope
                )

    async def _share_with(
        self,
        peer: MemberEntry,
        own_entry: SharedObject,
        scope: anyio.CancelScope,
    ) -> None:
        """Push an entry and cancel ``scope`` once the peer has it.

        Frames of a connection are handled in order, so the reply to what
        follows the push confirms it.
        """
        await self._push(peer, _push_of(own_entry))
        try:
            await self._ping(peer)
        except CornelbeamError as error:
            _log.info('entry not shared', peer=peer.name, why=str(error))
        else:
            scope.cancel()

    def _choose_pull_peers(self) -> list[MemberEntry]:
        peers = self._state.members.others()
        self._rng.shuffle(peers)
        peers.sort(key=lambda peer: peer.domain != self._domain)
        near = peers[:1]
        rest = peers[1:]
        self._rng.shuffle(rest)
        return near + rest[: PULL_PEER_COUNT - len(near)]


def _push_of(own_entry: SharedObject) -> messages.ConfigPush:
    return messages.ConfigPush(
        objects=[_to_wire(own_entry)],
        since_revision=0,
        up_to_revision=0,
        has_more=False,
    )


def _to_wire(shared_object: SharedObject) -> messages.ConfigObject:
    return messages.ConfigObject(
        kind=shared_object.kind.value,
        name=shared_object.name,
        version=shared_object.version,
        revision=shared_object.version,
        is_deleted=shared_object.is_deleted,
        spec=shared_object.content,
    )


def _is_usable(received: SharedObject) -> bool:
    return (
        received.kind is not SharedKind.CONFIGURATION
        or received.is_deleted
        or is_complete_configuration(received.content)
    )


def _from_wire(push: messages.ConfigPush) -> list[SharedObject]:
    objects = []
    for shared_object in push.objects:
        try:
            kind = SharedKind(shared_object.kind)
        except ValueError:
            # A newer peer may send kinds that this daemon doesn't know.
            continue
        objects.append(
            SharedObject(
                kind,
                shared_object.name,
                shared_object.version,
                shared_object.is_deleted,
                shared_object.spec,
                read_authored_version(kind, shared_object.spec),
            ),
        )
    return objects
