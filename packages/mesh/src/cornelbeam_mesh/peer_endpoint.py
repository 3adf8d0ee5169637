"""Accepts other daemons and hands their messages to the parts."""

from collections.abc import Callable
from typing import final

from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.peer_acceptor import PeerAcceptor
from cornelbeam_wire import Identity, Stream
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
        '_peer_sync',
        'acceptor',
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
        self._identity = identity
        self._peer_sync = peer_sync
        self._messenger = messenger
        self._on_contact = on_contact
        self.acceptor = PeerAcceptor(identity, keeper, self._accept_control)

    def _accept_control(self, stream: Stream, frame: messages.Frame) -> None:
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
