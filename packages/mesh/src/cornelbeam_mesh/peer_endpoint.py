"""Accepts connections of other daemons and dispatches their messages."""

from collections.abc import Callable
from typing import Any, final

from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.memory_budget import MemoryBudget
from cornelbeam_daemon.peer_acceptor import PeerAcceptor
from cornelbeam_daemon.quarantine_sync import QuarantineSync
from cornelbeam_wire import Identity, RevisionExchange, Stream
from cornelbeam_wire.gen import messages

from cornelbeam_mesh.admission import AdmissionController
from cornelbeam_mesh.configuration_freshness import ConfigurationFreshness
from cornelbeam_mesh.peer_sync import PeerSync
from cornelbeam_mesh.tenant_quotas import TenantQuotas


@final
class PeerEndpoint:
    """Endpoint for the connections that other daemons open."""

    __slots__ = (
        '_handlers',
        '_identity',
        '_messenger',
        '_on_control_message',
        '_peer_sync',
        '_quarantine',
        '_rollouts',
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
        freshness: ConfigurationFreshness,
        quotas: TenantQuotas,
        budget: MemoryBudget,
    ) -> None:
        """Serve calls through ``admission``.

        ``on_control_message`` is called with the name and address of a peer
        that sends a control message. Bodies of calls are counted in ``budget``.
        """
        self._identity = identity
        self._peer_sync = peer_sync
        self._quarantine = quarantine
        self._rollouts = admission.rollouts
        self._messenger = messenger
        self._on_control_message = on_control_message
        # By the field of the frame that holds the message.
        self._handlers: dict[str, Callable[[Stream, Any], None]] = {
            'config_pull': self._answer_pull,
            'config_push': self._merge_push,
            'configuration_age_query': freshness.answer,
            'ping': self._acknowledge,
            'quota_request': quotas.answer,
            'rollout_query': self._answer_rollout_query,
        }
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
        for field, handle in self._handlers.items():
            message = getattr(frame, field)
            if message is not None:
                handle(stream, message)
                return
        self._quarantine.answer(stream, frame, self._acknowledge)

    def _answer_pull(self, stream: Stream, pull: messages.ConfigPull) -> None:
        self._peer_sync.answer_pull(stream, pull)

    def _answer_rollout_query(
        self, stream: Stream, query: messages.RolloutQuery
    ) -> None:
        counts = self._rollouts.answer_query(query)
        self._messenger.reply(stream, rollout_counts=counts)

    def _merge_push(self, stream: Stream, push: messages.ConfigPush) -> None:
        self._peer_sync.merge_push(push, stream.connection.peer_name)

    def _acknowledge(
        self, stream: Stream, ping: messages.Ping | None = None
    ) -> None:
        self._messenger.reply(
            stream,
            ack=messages.Ack(
                updates=[],
                revision=0,
                name=self._identity.name,
                incarnation=self._identity.incarnation,
            ),
        )
