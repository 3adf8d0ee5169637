"""Exchanges shared objects with peers while the store can't be reached."""

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

from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_mesh.members import MemberEntry
from cornelbeam_mesh.store_sync import StoreSync

_log = get_log('member')
# A configuration must hold within seconds also where the store refuses one
# daemon and serves the others.
PULL_PERIOD_S: Final = 0.8
# Requests don't find out whether a lost daemon is back; these pings do.
LOST_PEER_PING_PERIOD_S: Final = 0.4
# The entry of a daemon that has restarted is a hundred bytes or two; asked for
# by each request that fails, it would fill slow links.
MIN_REFRESH_INTERVAL_S: Final = 0.4
# Several peers are asked in a round: one alone may be cut off too.
PULL_PEER_COUNT: Final = 2
# A frame holds objects up to this size; the rest follows by the next pull.
_MAX_PUSH_CONTENT_BYTES: Final = 200_000


@final
class PeerSync:
    """Pulls objects from peers and answers their pulls."""

    __slots__ = (
        '_refreshed_at_s',
        '_domain',
        '_messenger',
        '_rng',
        '_state',
        '_store_sync',
        'has_pulled',
    )

    def __init__(
        self,
        domain: str,
        state: FleetState,
        store_sync: StoreSync,
        messenger: Messenger,
        rng: random.Random,
    ) -> None:
        """Prefer peers of ``domain``: traffic inside it is cheap."""
        self._domain = domain
        self._state = state
        self._store_sync = store_sync
        self._messenger = messenger
        self._rng = rng
        # When daemons were asked for their entry.
        self._refreshed_at_s: dict[str, float] = {}
        # Set after the first answer of a peer.
        self.has_pulled = asyncio.Event()

    async def run(self) -> None:
        """Pull while the store is out of reach."""
        while True:
            await anyio.sleep(PULL_PERIOD_S)
            if self._store_sync.is_reachable.is_set():
                continue
            for peer in self._choose_pull_peers():
                await self.pull(peer.name, peer.address)

    async def ping_lost_peers(self) -> None:
        """Ask daemons that were lost whether they are back."""
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
            frame = await self._messenger.ask(
                peer.address,
                ping=messages.Ping(updates=[], revision=0, service_name=''),
            )
        except CornelbeamError:
            # It stays lost; the failure that made it so has its line.
            return
        if frame.ack is not None and frame.ack.incarnation != peer.incarnation:
            # Its entry is that of an earlier run.
            await self.refresh_entry(peer)
            return
        _log.info('peer reached again', peer=peer.name)
        record.note_reachable()

    async def refresh_entry(self, peer: MemberEntry) -> None:
        """Ask the daemon at a peer's address for its entry.

        Many requests may find at the same time that an entry is outdated, so
        it is asked once in a while only.
        """
        now_s = asyncio.get_running_loop().time()
        asked_at_s = self._refreshed_at_s.get(peer.name, float('-inf'))
        if now_s - asked_at_s < MIN_REFRESH_INTERVAL_S:
            return
        self._refreshed_at_s[peer.name] = now_s
        push = await self._pull(
            peer.name,
            peer.address,
            is_own_entry_only=True,
        )
        names = () if push is None else [held.name for held in push.objects]
        if names and peer.name not in names:
            # Another daemon answers there, whatever the clocks say.
            self._state.members.remove(peer.name)

    async def pull(self, name: str, address: str) -> None:
        """Take what a peer knows and this daemon doesn't."""
        if await self._pull(name, address, is_own_entry_only=False) is not None:
            self.has_pulled.set()

    async def _pull(
        self,
        name: str,
        address: str,
        *,
        is_own_entry_only: bool,
    ) -> messages.ConfigPush | None:
        """Ask for objects and take them; ``None`` without an answer."""
        try:
            frame = await self._messenger.ask(
                address,
                config_pull=messages.ConfigPull(
                    since_revision=self._state.store_revision,
                    is_own_entry_only=is_own_entry_only,
                ),
            )
        except CornelbeamError as error:
            _log.info('peer not asked', peer=name, why=str(error))
            return None
        if frame.config_push is not None:
            self.merge_push(frame.config_push, name)
        return frame.config_push

    def merge_push(self, push: messages.ConfigPush, sender: str) -> None:
        """Take the objects of a peer."""
        news = []
        for held in push.objects:
            try:
                kind = SharedKind(held.kind)
            except ValueError:
                # A newer peer may share kinds that this daemon doesn't know.
                continue
            news.append(
                SharedObject(
                    kind,
                    held.name,
                    held.version,
                    held.is_deleted,
                    held.spec,
                ),
            )
        self._state.merge(news, sender)

    def answer_pull(self, stream: Stream, pull: messages.ConfigPull) -> None:
        """Send what the asking peer lacks."""
        objects: list[messages.ConfigObject] = []
        size_bytes = 0
        for held in self._objects_for(pull):
            size_bytes += len(held.content)
            if objects and size_bytes > _MAX_PUSH_CONTENT_BYTES:
                break
            objects.append(_to_wire(held))
        self._messenger.reply(
            stream,
            config_push=messages.ConfigPush(
                objects=objects,
                since_revision=pull.since_revision,
                up_to_revision=self._state.store_revision,
                has_more=False,
            ),
        )

    def _objects_for(self, pull: messages.ConfigPull) -> list[SharedObject]:
        if not pull.is_own_entry_only:
            return self._state.changes_since(pull.since_revision)
        own = self._state.get(SharedKind.MEMBER, self._state.members.own_name)
        return [] if own is None else [own]

    async def announce(self, own: SharedObject) -> None:
        """Tell all peers a change of this daemon's entry."""
        push = messages.ConfigPush(
            objects=[_to_wire(own)],
            since_revision=0,
            up_to_revision=0,
            has_more=False,
        )
        async with anyio.create_task_group() as group:
            for peer in self._state.members.others():
                group.start_soon(self._push, peer, push)

    async def _push(
        self,
        peer: MemberEntry,
        push: messages.ConfigPush,
    ) -> None:
        await self._messenger.tell(peer.address, config_push=push)

    def _choose_pull_peers(self) -> list[MemberEntry]:
        peers = self._state.members.others()
        self._rng.shuffle(peers)
        peers.sort(key=lambda peer: peer.domain != self._domain)
        near = peers[:1]
        rest = peers[1:]
        self._rng.shuffle(rest)
        return near + rest[: PULL_PEER_COUNT - len(near)]


def _to_wire(held: SharedObject) -> messages.ConfigObject:
    return messages.ConfigObject(
        kind=held.kind.value,
        name=held.name,
        version=held.version,
        revision=held.version,
        is_deleted=held.is_deleted,
        spec=held.content,
    )
