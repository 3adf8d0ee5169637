"""Accepts connections of other daemons and dispatches their messages."""

from collections.abc import Callable
from typing import final

from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.memory_budget import MemoryBudget
from cornelbeam_daemon.peer_acceptor import PeerAcceptor
from cornelbeam_daemon.quarantine_sync import QuarantineSync
from cornelbeam_wire import Identity, RevisionExchange, Stream
from cornelbeam_wire.gen import messages

from cornelbeam_mesh.admission import AdmissionController
from cornelbeam_mesh.peer_sync import PeerSync


@final
class PeerEndpoint:
    """Endpoint for the connections that other daemons open."""

    __slots__ = (
        '_identity',
        '_messenger',
        '_on_control_message',
        '_peer_sync',
        '_quarantine',
        'acceptor',
    )

    def __init__(
        self,
        identity: Identity,
        admission: AdmissionController,
        peer_sync: PeerSync,
        messenger: Messenger,
        on_control_message: Callable[[str, str], None],
        revisions: RevisionExchange,
        quarantine: QuarantineSync,
        budget: MemoryBudget,
    ) -> None:
        """Serve calls through ``admission``.

        ``on_control_message`` is called with the name and address of a peer
        that sends a control message. Bodies of calls are counted in ``budget``.
        """
        self._identity = identity
        self._peer_sync = peer_sync
        self._quarantine = quarantine
        self._messenger = messenger
        self._on_control_message = on_control_message
        self.acceptor = PeerAcceptor(
            identity,
            admission,
            self._handle_control_message,
            revisions,
            budget,
        )

    def _handle_control_message(
        self, stream: Stream, frame: messages.Frame
    ) -> None:
        peer = stream.connection.peer
        if peer is not None:
            self._on_control_message(peer.name, peer.address)
        if frame.config_pull is not None:
            self._peer_sync.answer_pull(stream, frame.config_pull)
        elif frame.config_push is not None:
            self._peer_sync.merge_push(
                frame.config_push,
                stream.connection.peer_name,
            )
        elif frame.ping is not None:
            self._acknowledge(stream)
        else:
            self._quarantine.answer(stream, frame, self._acknowledge)

    def _acknowledge(self, stream: Stream) -> None:
        self._messenger.reply(
            stream,
            ack=messages.Ack(
                updates=[],
                revision=0,
                name=self._identity.name,
                incarnation=self._identity.incarnation,
            ),
        )
