"""Accept connections of other daemons and dispatch their messages."""

from collections.abc import Callable
from typing import final

from cornelbeam_wire import (
    Identity,
    PeerConnection,
    RevisionExchange,
    Stream,
    StreamReceiver,
)
from cornelbeam_wire.gen import messages

from cornelbeam_daemon.calls import CallServer
from cornelbeam_daemon.memory_budget import MemoryBudget, unlimited_budget
from cornelbeam_daemon.peer_server import PeerServer


@final
class PeerAcceptor:
    """Accepts connections and dispatches the streams that peers open.

    Calls and outcome queries go to a ``PeerServer``.
    """

    __slots__ = (
        '_accepted_count',
        '_account',
        '_identity',
        '_on_control',
        '_peer_server',
        '_revisions',
        'connections',
    )

    def __init__(
        self,
        identity: Identity,
        call_server: CallServer,
        on_control: Callable[[Stream, messages.Frame], None],
        revisions: RevisionExchange | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Serve calls with ``call_server``; ``budget`` counts what is buffered.

        ``on_control`` is called with every other message that opens a stream.
        All connections exchange store positions by ``revisions``.
        """
        self._account = (budget or unlimited_budget()).open_account()
        self._revisions = revisions
        self.connections: set[PeerConnection] = set()
        self._identity = identity
        self._on_control = on_control
        self._accepted_count = 0
        self._peer_server = PeerServer(call_server, budget)

    @property
    def call_count(self) -> int:
        """Number of calls that are in work or still send their answer."""
        return self._peer_server.call_count

    def accept(self) -> PeerConnection:
        """Return the protocol of a newly accepted connection."""
        connection = PeerConnection(
            self._identity,
            self._accept_stream,
            self.connections.discard,
            is_opener=False,
            revisions=self._revisions,
            on_backlog=self._account.add,
        )
        self.connections.add(connection)
        self._accepted_count += 1
        connection.accept_number = self._accepted_count
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
        self._on_control(stream, frame)
        return None


def ignore_streams(stream: Stream, frame: messages.Frame) -> None:
    """Ignore a stream that a peer opens on an outgoing connection."""
