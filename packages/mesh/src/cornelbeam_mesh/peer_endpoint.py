"""Accepts other daemons and hands their messages to the parts."""

from collections.abc import Callable
from typing import final

from cornelbeam_daemon.exchange import Messenger
from cornelbeam_daemon.peer_server import PeerServer
from cornelbeam_wire import (
    Identity,
    PeerConnection,
    Stream,
    StreamReceiver,
)
from cornelbeam_wire.gen import messages

from cornelbeam_mesh.gate_keeper import GateKeeper
from cornelbeam_mesh.peer_sync import PeerSync


@final
class PeerEndpoint:
    """Connections that other daemons opened."""

    __slots__ = (
        '_identity',
        '_messenger',
        '_on_contact',
        '_peer_server',
        '_peer_sync',
        'connections',
    )

    def __init__(
        self,
        identity: Identity,
        keeper: GateKeeper,
        peer_sync: PeerSync,
        messenger: Messenger,
        on_contact: Callable[[str, str], None],
    ) -> None:
        """Serve calls by ``keeper``.

        ``on_contact`` is called with name and address of a peer that sends
        something else than a call.
        """
        self.connections: set[PeerConnection] = set()
        self._identity = identity
        self._peer_sync = peer_sync
        self._messenger = messenger
        self._on_contact = on_contact
        self._peer_server = PeerServer(keeper, self.connections)

    def accept(self) -> PeerConnection:
        """Make the protocol of a connection that was accepted."""
        connection = PeerConnection(
            self._identity,
            self._accept_stream,
            self.connections.discard,
            is_opener=False,
        )
        self.connections.add(connection)
        return connection

    def _accept_stream(
        self,
        stream: Stream,
        frame: messages.Frame,
    ) -> StreamReceiver | None:
        if frame.call_start is not None:
            return self._peer_server.start_call(stream, frame.call_start)
        if frame.outcome_query is not None:
            return self._peer_server.answer_query(stream, frame.outcome_query)
        peer = stream.connection.peer
        if peer is not None:
            self._on_contact(peer.name, peer.address)
        if frame.config_pull is not None:
            self._peer_sync.answer_pull(stream, frame.config_pull)
        elif frame.config_push is not None:
            self._peer_sync.take_push(
                frame.config_push,
                stream.connection.peer_name,
            )
        elif frame.ping is not None:
            self._answer_ping(stream)
        return None

    def _answer_ping(self, stream: Stream) -> None:
        self._messenger.reply(
            stream,
            ack=messages.Ack(
                updates=[],
                revision=0,
                name=self._identity.name,
                incarnation=self._identity.incarnation,
            ),
        )
