"""One multiplexed connection between two daemons."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, Protocol, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

from cornelbeam_wire.backlog import OnBacklog, WriteBacklog
from cornelbeam_wire.codec import FrameDecoder, encode_frame, protocol_error
from cornelbeam_wire.gen.messages import BodyPart, Credit, Frame, Hello
from cornelbeam_wire.identity import Handshake, Identity
from cornelbeam_wire.revisions import RevisionExchange

# Body bytes that may be sent on a stream before the receiver grants credit.
STREAM_CREDIT_BYTES: Final = 256 * 1024
MAX_BODY_PART_BYTES: Final = 64 * 1024
_MAX_OPEN_STREAMS: Final = 4096
# A peer that does not prove that it belongs to the fleet must not keep a
# connection open.
HANDSHAKE_TIMEOUT_S: Final = 5.0


class StreamReceiver(Protocol):
    """Handles what arrives on one stream."""

    def on_frame(self, frame: Frame) -> None:
        """Handle a frame other than a credit."""

    def on_lost(self) -> None:
        """Handle a connection that closed before the stream did."""

    def on_silent(self) -> None:
        """Handle a connection that has gone silent; it may recover."""


@final
class Stream:
    """One exchange on a connection: a call, a query or a control message."""

    __slots__ = (
        '_credit_waiter',
        '_receive_credit_bytes',
        '_send_credit_bytes',
        'connection',
        'is_open',
        'receiver',
        'stream_id',
    )

    def __init__(self, connection: 'PeerConnection', stream_id: int) -> None:
        """Start with the full credit."""
        self.connection = connection
        self.stream_id = stream_id
        self.receiver: StreamReceiver | None = None
        self.is_open = True
        self._send_credit_bytes = STREAM_CREDIT_BYTES
        self._receive_credit_bytes = STREAM_CREDIT_BYTES
        self._credit_waiter: asyncio.Future[None] | None = None

    def send(self, **message: Any) -> None:
        """Send one message, passed under its field name in ``Frame``."""
        if self.is_open:
            self.connection.write(Frame(stream_id=self.stream_id, **message))

    async def send_body(self, content: bytes, *, is_last: bool) -> None:
        """Send a part of a body; wait while there is no credit.

        Raise ``peer_unreachable`` when the connection is lost meanwhile.
        """
        while self.is_open and content and self._send_credit_bytes <= 0:
            self._credit_waiter = asyncio.get_running_loop().create_future()
            await self._credit_waiter
        if not self.is_open:
            raise CornelbeamError(
                ErrorCode.PEER_UNREACHABLE,
                'body',
                self.connection.peer_name,
                run_state=RunState.UNKNOWN,
            )
        self._send_credit_bytes -= len(content)
        self.send(body_part=BodyPart(content=content, is_last=is_last))

    def deduct_credit(self, size_bytes: int) -> None:
        """Deduct body bytes that were sent inside another message."""
        self._send_credit_bytes -= size_bytes

    def hold_body(self) -> None:
        """Send no body before the receiver grants credit for it."""
        self.deduct_credit(STREAM_CREDIT_BYTES)

    def grant_credit(self, size_bytes: int) -> None:
        """Grant the sender credit for consumed body bytes."""
        self._receive_credit_bytes += size_bytes
        self.send(credit=Credit(size_bytes=size_bytes))

    def add_credit(self, size_bytes: int) -> None:
        """Add credit that the receiver granted.

        The credit never exceeds its initial value, whatever the receiver
        grants. Raise ``protocol_violation`` for less than one byte.
        """
        if size_bytes <= 0:
            raise protocol_error(f'credit of {size_bytes} bytes')
        self._send_credit_bytes = min(
            STREAM_CREDIT_BYTES,
            self._send_credit_bytes + size_bytes,
        )
        self._wake_sender()

    def count_received(self, frame: Frame) -> None:
        """Deduct the body bytes of a frame from the sender's credit.

        A part is sent while any credit is left, so the last one may exceed
        it. Raise ``protocol_violation`` beyond that, because the parts are
        buffered in memory.
        """
        if frame.body_part is not None:
            self._receive_credit_bytes -= len(frame.body_part.content)
        elif frame.call_start is not None:
            self._receive_credit_bytes -= len(frame.call_start.body)
            if frame.call_start.is_body_held:
                self._receive_credit_bytes -= STREAM_CREDIT_BYTES
        elif frame.answer_start is not None:
            if not frame.answer_start.is_complete:
                self._receive_credit_bytes -= len(frame.answer_start.body)
        if self._receive_credit_bytes < -MAX_BODY_PART_BYTES:
            raise protocol_error('a stream exceeds its credit')

    def close(self) -> None:
        """Close the stream; later frames for it are dropped."""
        self.connection.remove_stream(self)
        self.mark_closed()

    def mark_closed(self) -> None:
        """Stop sending and wake a sender that waits for credit."""
        self.is_open = False
        self._wake_sender()

    def _wake_sender(self) -> None:
        waiter = self._credit_waiter
        self._credit_waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


Acceptor = Callable[[Stream, Frame], StreamReceiver | None]


@final
class PeerConnection(asyncio.Protocol):
    """A connection to another daemon that carries many streams.

    The side that opened the connection uses odd stream numbers. The acceptor
    is called for the first frame of each stream that the peer opens and
    returns the receiver of its later frames, or ``None`` to ignore them.
    """

    def __init__(
        self,
        identity: Identity,
        acceptor: Acceptor,
        on_closed: Callable[['PeerConnection'], None],
        *,
        is_opener: bool,
        revisions: RevisionExchange | None = None,
        on_backlog: OnBacklog | None = None,
    ) -> None:
        """Create the protocol; the event loop calls ``connection_made``.

        ``on_backlog`` is told of the bytes that wait for a slow peer.
        """
        self._backlog = WriteBacklog(on_backlog)
        self.ready: asyncio.Future[Hello] = (
            asyncio.get_running_loop().create_future()
        )
        self.peer: Hello | None = None
        # Position among the connections that this side has accepted.
        self.accept_number = 0
        self.is_closed = False
        self.is_silent = False
        self.last_received_s: float = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._is_retired = False
        self._revisions = revisions
        self._announced_revision = 0
        self._acceptor = acceptor
        self._on_closed = on_closed
        self._handshake = Handshake(identity, is_opener=is_opener)
        self._timer: asyncio.TimerHandle | None = None
        self._decoder = FrameDecoder()
        self._streams: dict[int, Stream] = {}
        self._next_id = 1 if is_opener else 2
        self._last_accepted_id = 0
        self._transport: asyncio.Transport | None = None
        self._time = asyncio.get_running_loop().time

    @property
    def peer_name(self) -> str:
        """Name of the peer, empty before the handshake."""
        return '' if self.peer is None else str(self.peer.name)

    @property
    def has_body_grants(self) -> bool:
        """Return whether the peer asks for bodies that are held back."""
        return self.peer is not None and bool(self.peer.has_body_grants)

    @property
    def open_count(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first message of the handshake."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self.last_received_s = self._time()
        self._timer = asyncio.get_running_loop().call_later(
            HANDSHAKE_TIMEOUT_S,
            self._on_handshake_timeout,
        )
        self.write(Frame(stream_id=0, hello=self._handshake.make_greeting()))

    def data_received(self, received: bytes) -> None:
        """Decode the frames and pass them to their streams."""
        if self.is_closed:
            return
        self.last_received_s = self._time()
        self.is_silent = False
        self.received_bytes += len(received)
        try:
            for frame in self._decoder.feed(received):
                if self.is_closed:
                    return
                self._dispatch(frame)
        except CornelbeamError as error:
            if not self.ready.done():
                self.ready.set_exception(error)
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Close all streams and notify their receivers."""
        self._finish_close()

    def pause_writing(self) -> None:
        """Count what waits for the peer from now on."""
        if self._transport is not None and not self.is_closed:
            self._backlog.start(self._transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Stop counting what waits for the peer."""
        self._backlog.clear()

    def open_stream(self, receiver: StreamReceiver) -> Stream:
        """Open a stream to the peer.

        Raise ``peer_unreachable`` when the connection is closed.
        """
        if self.is_closed or self.peer is None:
            raise CornelbeamError(
                ErrorCode.PEER_UNREACHABLE,
                'peer connection',
                self.peer_name,
            )
        stream = Stream(self, self._next_id)
        self._next_id += 2
        stream.receiver = receiver
        self._streams[stream.stream_id] = stream
        return stream

    def remove_stream(self, stream: Stream) -> None:
        """Remove a stream; frames that still arrive for it are ignored."""
        self._streams.pop(stream.stream_id, None)
        self._close_if_unused()

    def write(self, frame: Frame) -> None:
        """Write one frame; do nothing on a closed connection.

        Raise ``protocol_violation`` for a frame that is too large, without
        sending any of it.
        """
        if self._transport is None or self.is_closed:
            return
        if self._revisions is not None and self.peer is not None:
            revision = self._revisions.current()
            if revision != self._announced_revision:
                frame.revision = revision
        encoded = encode_frame(frame)
        if frame.revision is not None:
            self._announced_revision = frame.revision
        self.sent_bytes += len(encoded)
        # First, as the transport may start the count, which includes the frame.
        self._backlog.add(len(encoded))
        self._transport.write(encoded)

    def note_silent(self) -> None:
        """Notify the receivers that nothing arrives.

        Their streams stay open: the peer may only be slow. ``is_silent`` holds
        until the next byte arrives.
        """
        if self.is_silent or self.is_closed:
            return
        self.is_silent = True
        for stream in tuple(self._streams.values()):
            if stream.receiver is not None:
                stream.receiver.on_silent()

    def retire(self) -> None:
        """Close once the open streams have ended, not before."""
        self._is_retired = True
        self._close_if_unused()

    def close(self) -> None:
        """Close immediately, without reading what still arrives.

        The receivers are notified before this method returns.
        """
        if self._transport is not None:
            self._transport.abort()
        self._finish_close()

    def _dispatch(self, frame: Frame) -> None:
        if self.peer is None:
            self._handle_handshake(frame)
            return
        if frame.revision is not None and self._revisions is not None:
            self._revisions.on_peer_revision(self.peer, frame.revision)
        stream = self._streams.get(frame.stream_id)
        if stream is None:
            self._accept(frame)
        elif frame.credit is not None:
            stream.add_credit(frame.credit.size_bytes)
        elif stream.receiver is not None:
            stream.count_received(frame)
            stream.receiver.on_frame(frame)

    def _handle_handshake(self, frame: Frame) -> None:
        if frame.hello is None:
            raise protocol_error('message before the handshake')
        proof = self._handshake.receive(frame.hello)
        if proof is not None:
            self.write(Frame(stream_id=0, hello=proof))
        self.peer = self._handshake.peer
        if self.peer is not None and not self.ready.done():
            self.ready.set_result(self.peer)

    def _on_handshake_timeout(self) -> None:
        if self.peer is None:
            self.close()

    def _accept(self, frame: Frame) -> None:
        # This side has closed the stream that it opened under this number, so
        # the frame is late.
        if frame.stream_id % 2 == self._next_id % 2:
            return
        # Late frames of the peer's closed streams are dropped too, and so are
        # replayed opening frames. Deadlines are relative, so a replayed frame
        # could run its attempt again after the ledger has dropped the entry.
        if frame.stream_id <= self._last_accepted_id:
            return
        self._last_accepted_id = frame.stream_id
        if len(self._streams) >= _MAX_OPEN_STREAMS:
            raise protocol_error('too many open streams')
        stream = Stream(self, frame.stream_id)
        stream.count_received(frame)
        # The acceptor ignores a frame without an opening message.
        receiver = self._acceptor(stream, frame)
        if receiver is None or not stream.is_open:
            return
        stream.receiver = receiver
        self._streams[stream.stream_id] = stream

    def _close_if_unused(self) -> None:
        if self._is_retired and not self._streams and self._transport:
            # Not aborted, as the last answer may not be sent yet.
            self._transport.close()

    def _finish_close(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self._backlog.clear()
        if self._timer is not None:
            self._timer.cancel()
        if not self.ready.done():
            self.ready.set_exception(
                protocol_error('closed during the handshake')
            )
        # Marks the exception as retrieved, as nobody may wait for it.
        if not self.ready.cancelled():
            self.ready.exception()
        streams = list(self._streams.values())
        self._streams.clear()
        for stream in streams:
            stream.mark_closed()
            if stream.receiver is not None:
                stream.receiver.on_lost()
        self._on_closed(self)
