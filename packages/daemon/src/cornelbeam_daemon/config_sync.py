"""Configuration in this daemon: spread between daemons and the store."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, final

import anyio
import msgspec
from cornelbeam_core.configuration import (
    BatchResult,
    ConfigAction,
    ConfigBatch,
    ConfigObject,
    ConfigurationGossip,
    ConfigurationState,
    PullConfig,
    PushConfig,
)
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_object_api.client import ObjectApiClient, ObjectList
from cornelbeam_wire import Stream
from cornelbeam_wire.gen import messages

from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.convert import batch_from_wire, batch_to_wire
from cornelbeam_daemon.logs import get_log

_log = get_log('config')
_relay_log = get_log('relay')
WATCH_TIMEOUT_MS: Final = 20_000
# At most this many watches a second per relay, however fast changes come.
WATCH_PERIOD_S: Final = 0.2
STORE_RETRY_S: Final = 1.0


@final
class ConfigSync:
    """Holds the configuration in force and passes changes on."""

    __slots__ = (
        '_loop',
        '_messenger',
        '_on_change',
        '_on_synced',
        '_peers',
        '_rng',
        '_spread',
        '_tasks',
        'state',
        'synced',
    )

    def __init__(
        self,
        messenger: Messenger,
        peers: Callable[[], list[str]],
        on_change: Callable[[tuple[ConfigObject, ...]], None],
        on_synced: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """Push to ``peers``; ``on_change`` gets the objects now in force.

        ``on_synced`` is called once, when the configuration of the fleet is
        known.
        """
        self.state = ConfigurationState()
        self.synced = asyncio.Event()
        self._spread = ConfigurationGossip(self.state)
        self._messenger = messenger
        self._peers = peers
        self._on_change = on_change
        self._on_synced = on_synced
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def on_push(self, push: messages.ConfigPush, sender: str) -> None:
        """Take a batch that a peer pushed or answered."""
        batch = batch_from_wire(push)
        changed, actions = self._spread.on_push(
            batch,
            sender,
            self._peers(),
            self._loop.time(),
            self._rng,
        )
        self._note(changed)
        self._act(actions)
        if batch.up_to_revision and not batch.has_more:
            self._mark_synced()

    def on_peer_revision(self, address: str, revision: int) -> None:
        """Pull what a peer has and this daemon lacks."""
        self._act(
            self._spread.on_peer_revision(
                address,
                revision,
                self._loop.time(),
            ),
        )

    def answer_pull(self, stream: Stream, pull: messages.ConfigPull) -> None:
        """Answer a pull; an empty batch when there is nothing newer."""
        for action in self._spread.on_pull('', pull.since_revision):
            if isinstance(action, PushConfig):
                self._messenger.reply(
                    stream,
                    config_push=batch_to_wire(action.batch),
                )
                return
        revision = self.state.revision
        empty = ConfigBatch((), revision, revision)
        self._messenger.reply(stream, config_push=batch_to_wire(empty))

    async def relay(self, client: ObjectApiClient) -> None:
        """Watch the store and push what is new, until cancelled."""
        _relay_log.info('watching the store', revision=self.state.revision)
        while True:
            since_revision = self.state.revision
            # The first watch tells at once whether there is anything.
            timeout_ms = WATCH_TIMEOUT_MS if self.synced.is_set() else 0
            try:
                listed = await client.watch(since_revision, timeout_ms)
            except CornelbeamError as error:
                _relay_log.warning('the store is unavailable', why=str(error))
                await anyio.sleep(STORE_RETRY_S * self._rng.uniform(0.5, 1.5))
                continue
            self.take_store(listed, since_revision)
            await anyio.sleep(WATCH_PERIOD_S)

    def take_store(self, listed: ObjectList, since_revision: int) -> None:
        """Take what the store answered to a watch."""
        objects = tuple(
            ConfigObject(
                held.kind,
                held.name,
                held.version,
                held.revision,
                held.is_deleted,
                msgspec.json.encode(held.spec),
            )
            for held in listed.objects
        )
        batch = ConfigBatch(objects, since_revision, listed.revision)
        changed, actions = self._spread.on_store_batch(
            batch,
            self._peers(),
            self._rng,
        )
        self._note(changed)
        self._act(actions)
        self._mark_synced()

    def _mark_synced(self) -> None:
        if not self.synced.is_set():
            self.synced.set()
            self._on_synced()

    def _note(self, changed: BatchResult) -> None:
        if not changed.accepted:
            return
        _log.info(
            'in force',
            revision=self.state.revision,
            count=len(changed.accepted),
        )
        self._on_change(changed.accepted)

    def _act(self, actions: tuple[ConfigAction, ...]) -> None:
        for action in actions:
            task = self._loop.create_task(self._send(action))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, action: ConfigAction) -> None:
        if isinstance(action, PullConfig):
            await self._pull(action)
            return
        await self._messenger.tell(
            action.peer,
            config_push=batch_to_wire(action.batch),
        )

    async def _pull(self, action: PullConfig) -> None:
        try:
            frame = await self._messenger.ask(
                action.peer,
                config_pull=messages.ConfigPull(
                    since_revision=action.since_revision,
                ),
            )
        except CornelbeamError as error:
            _log.debug('pull not answered', peer=action.peer, why=str(error))
            return
        if frame.config_push is not None:
            self.on_push(frame.config_push, action.peer)
