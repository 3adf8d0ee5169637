"""Configuration in scripted sessions: Object API, relay and daemons."""

import json
from collections.abc import Iterable, Mapping
from typing import Any, Final, final

from cornelbeam_core.configuration import (
    ConfigAction,
    ConfigBatch,
    ConfigObject,
    ConfigurationGossip,
    ConfigurationState,
    PullConfig,
    PushConfig,
)
from cornelbeam_object_api.client import ObjectList, StoredObject
from cornelbeam_wire.gen import messages

from cornelbeam_standins.object_store import (
    ObjectStore,
    VersionConflictError,
)
from cornelbeam_standins.session_clock import Session

STORE: Final = 'object-api'


@final
class StoreSide:
    """Stand-in Object API and the operators who write to it."""

    __slots__ = ('is_down', 'session', 'store')

    def __init__(self, session: Session) -> None:
        """Start with an empty store."""
        self.session = session
        self.store = ObjectStore()
        self.is_down = False

    def write(
        self,
        operator: str,
        key: tuple[str, str],
        spec: dict[str, Any],
        expected_version: int,
        *,
        is_answer_lost: bool = False,
    ) -> str:
        """Write an object as an operator and return the write id."""
        session = self.session
        kind, name = key
        write_id = f'{session.rng.getrandbits(64):016x}'
        session.send(
            operator,
            STORE,
            'put',
            kind=kind,
            name=name,
            expected_version=expected_version,
            write_id=write_id,
        )
        if self.is_down:
            session.send(STORE, operator, 'unavailable')
            return write_id
        try:
            stored = self.store.write(
                kind,
                name,
                spec,
                expected_version,
                write_id,
            )
        except VersionConflictError as conflict:
            self._send_object(operator, 'conflict', conflict.current)
            return write_id
        self._send_object(operator, 'stored', stored, is_lost=is_answer_lost)
        return write_id

    def read_back(self, operator: str, key: tuple[str, str]) -> StoredObject:
        """Read an object as an operator who got no answer to a write."""
        kind, name = key
        self.session.send(operator, STORE, 'get', kind=kind, name=name)
        found = self.store.find(kind, name)
        assert found is not None  # noqa: S101
        self._send_object(operator, 'object', found)
        return found

    def watch(self, relay: str, since_revision: int) -> ObjectList | None:
        """Return the changes for a relay's watch, None if the store is down."""
        session = self.session
        session.send(relay, STORE, 'watch', since_revision=since_revision)
        if self.is_down:
            session.send(STORE, relay, 'unavailable')
            return None
        changes = self.store.changes_since(since_revision)
        session.send(
            STORE,
            relay,
            'events',
            objects=[
                f'{stored.kind}/{stored.name}@{stored.version}'
                for stored in changes.objects
            ],
            revision=changes.revision,
        )
        return changes

    def _send_object(
        self,
        operator: str,
        message: str,
        stored: StoredObject | None,
        *,
        is_lost: bool = False,
    ) -> None:
        if stored is None:
            self.session.send(STORE, operator, message)
            return
        self.session.send(
            STORE,
            operator,
            message,
            is_lost=is_lost,
            kind=stored.kind,
            name=stored.name,
            version=stored.version,
            write_id=stored.write_id,
            is_in_service=stored.spec.get('is_in_service'),
        )


@final
class ConfigSide:
    """Configuration of one daemon; ``peers`` are all daemons by name."""

    __slots__ = ('gossip', 'name', 'peers', 'session', 'state')

    def __init__(
        self,
        session: Session,
        number: int,
        domain: str,
        peers: dict[str, 'ConfigSide'],
    ) -> None:
        """Start without objects and add this daemon to ``peers``."""
        self.session = session
        self.name = f'daemon-{number}'
        self.state = ConfigurationState()
        self.gossip = ConfigurationGossip(self.state)
        self.peers = peers
        peers[self.name] = self
        session.domains[self.name] = domain

    def watch(self, store: StoreSide) -> None:
        """Watch the store as a relay and push the changes to peers."""
        since = self.state.revision
        changes = store.watch(self.name, since)
        if changes is None:
            return
        batch = ConfigBatch(
            tuple(_to_object(stored) for stored in changes.objects),
            since,
            changes.revision,
        )
        changed, actions = self.gossip.on_store_batch(
            batch,
            self._peer_names(),
            self.session.rng,
        )
        self._note_accepted(changed.accepted)
        self._run_actions(actions)

    def ping(self, receiver: str) -> None:
        """Ping a peer, so that each side learns the revision of the other."""
        session = self.session
        peer = self.peers[receiver]
        ping = messages.Ping([], self.state.revision, '')
        session.send(self.name, receiver, ping)
        ack = messages.Ack([], peer.state.revision, receiver, 0)
        session.send(receiver, self.name, ack)
        peer.handle_revision(self.name, self.state.revision)
        self.handle_revision(receiver, peer.state.revision)

    def handle_revision(self, sender: str, revision: int) -> None:
        """Handle the revision in a ping or ack of a peer."""
        self._run_actions(
            self.gossip.on_peer_revision(sender, revision, self.session.now_s),
        )

    def handle_push(self, batch: ConfigBatch, sender: str) -> None:
        """Apply a pushed batch and run the resulting actions."""
        changed, actions = self.gossip.on_push(
            batch,
            sender,
            self._peer_names(),
            self.session.now_s,
            self.session.rng,
        )
        self._note_accepted(changed.accepted)
        self._run_actions(actions)

    def handle_pull(self, sender: str, since_revision: int) -> None:
        """Answer a pull."""
        self._run_actions(self.gossip.on_pull(sender, since_revision))

    def _peer_names(self) -> list[str]:
        return [name for name in self.peers if name != self.name]

    def _note_accepted(self, accepted: Iterable[ConfigObject]) -> None:
        for stored in accepted:
            self.session.note(
                self.name,
                'in force',
                kind=stored.kind,
                name=stored.name,
                version=stored.version,
            )

    def _run_actions(self, actions: Iterable[ConfigAction]) -> None:
        for action in actions:
            peer = self.peers[action.peer]
            match action:
                case PushConfig(batch=batch):
                    push = messages.ConfigPush(
                        [
                            messages.ConfigObject(**fields)
                            for fields in _to_fields(batch)
                        ],
                        batch.since_revision,
                        batch.up_to_revision,
                        batch.has_more,
                    )
                    self.session.send(self.name, peer.name, push)
                    peer.handle_push(batch, self.name)
                case PullConfig(since_revision=since_revision):
                    pull = messages.ConfigPull(since_revision)
                    self.session.send(self.name, peer.name, pull)
                    peer.handle_pull(self.name, since_revision)


def _to_object(stored: StoredObject) -> ConfigObject:
    return ConfigObject(
        stored.kind,
        stored.name,
        stored.version,
        stored.revision,
        stored.is_deleted,
        json.dumps(stored.spec, sort_keys=True).encode(),
    )


def _to_fields(batch: ConfigBatch) -> list[Mapping[str, Any]]:
    return [
        {
            'kind': stored.kind,
            'name': stored.name,
            'version': stored.version,
            'revision': stored.revision,
            'is_deleted': stored.is_deleted,
            'spec': stored.spec,
        }
        for stored in batch.objects
    ]
