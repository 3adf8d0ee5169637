"""Synchronise the configuration with other daemons and the store."""

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
# Minimum time between two watches, which bounds the load of a relay on the
# store however fast the configuration changes.
WATCH_PERIOD_S: Final = 0.2
STORE_RETRY_S: Final = 1.0


@final
class ConfigSync:
    """Holds the configuration in force and gossips changes to peers."""

    __slots__ = (
        '_gossip',
        '_loop',
        '_messenger',
        '_on_change',
        '_on_synced',
        '_peers',
        '_rng',
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
        """Push changes to the addresses that ``peers`` returns.

        ``on_change`` is called with the objects that came into force.
        ``on_synced`` is called once, when the configuration of the fleet is
        known.
        """
        self.state = ConfigurationState()
        self.synced = asyncio.Event()
        self._gossip = ConfigurationGossip(self.state)
        self._messenger = messenger
        self._peers = peers
        self._on_change = on_change
        self._on_synced = on_synced
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def on_push(self, push: messages.ConfigPush, sender: str) -> None:
        """Apply a batch that a peer pushed or sent in answer to a pull."""
        batch = batch_from_wire(push)
        result, actions = self._gossip.on_push(
            batch,
            sender,
            self._peers(),
            self._loop.time(),
            self._rng,
        )
        self._report_accepted(result)
        self._start_actions(actions)
        # A peer at revision 0 may not know the configuration itself.
        if batch.up_to_revision and not batch.has_more:
            self._mark_synced()

    def on_peer_revision(self, address: str, revision: int) -> None:
        """Pull the changes that a peer has and this daemon lacks."""
        self._start_actions(
            self._gossip.on_peer_revision(
                address,
                revision,
                self._loop.time(),
            ),
        )

    def answer_pull(self, stream: Stream, pull: messages.ConfigPull) -> None:
        """Answer a pull, with an empty batch if there is nothing newer."""
        for action in self._gossip.on_pull('', pull.since_revision):
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
        """Watch the store and push its changes to peers, until cancelled."""
        _relay_log.info('watching the store', revision=self.state.revision)
        while True:
            since_revision = self.state.revision
            # The first watch returns at once, so that an empty store does not
            # delay the start.
            timeout_ms = WATCH_TIMEOUT_MS if self.synced.is_set() else 0
            try:
                watch_result = await client.watch(since_revision, timeout_ms)
            except CornelbeamError as error:
                _relay_log.warning('store watch failed', why=str(error))
                await anyio.sleep(STORE_RETRY_S * self._rng.uniform(0.5, 1.5))
                continue
            self.apply_watch_result(watch_result, since_revision)
            await anyio.sleep(WATCH_PERIOD_S)

    def apply_watch_result(
        self, watch_result: ObjectList, since_revision: int
    ) -> None:
        """Apply the changes that the store returned to a watch."""
        objects = tuple(
            ConfigObject(
                stored.kind,
                stored.name,
                stored.version,
                stored.revision,
                stored.is_deleted,
                msgspec.json.encode(stored.spec),
            )
            for stored in watch_result.objects
        )
        batch = ConfigBatch(objects, since_revision, watch_result.revision)
        result, actions = self._gossip.on_store_batch(
            batch,
            self._peers(),
            self._rng,
        )
        self._report_accepted(result)
        self._start_actions(actions)
        self._mark_synced()

    def _mark_synced(self) -> None:
        if not self.synced.is_set():
            self.synced.set()
            self._on_synced()

    def _report_accepted(self, result: BatchResult) -> None:
        if not result.accepted:
            return
        _log.info(
            'in force',
            revision=self.state.revision,
            count=len(result.accepted),
        )
        self._on_change(result.accepted)

    def _start_actions(self, actions: tuple[ConfigAction, ...]) -> None:
        for action in actions:
            task = self._loop.create_task(self._run_action(action))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run_action(self, action: ConfigAction) -> None:
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
            _log.debug(
                'configuration pull failed', peer=action.peer, why=str(error)
            )
            return
        if frame.config_push is not None:
            self.on_push(frame.config_push, action.peer)
