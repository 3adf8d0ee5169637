"""Control messages between daemons: a request with at most one reply."""

import asyncio
from contextlib import suppress
from typing import Any, Final, Protocol, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_wire import PeerConnection, PeerPool, Stream, encode_frame
from cornelbeam_wire.gen.messages import Frame

REPLY_TIMEOUT_S: Final = 0.9


class MessageMetrics(Protocol):
    """Counts control messages by name."""

    def count_sent(self, message: str, size_bytes: int) -> None:
        """Count a sent message."""

    def count_received(self, message: str, size_bytes: int) -> None:
        """Count a received message."""


@final
class PendingReply:
    """Waits for the reply to one control message."""

    __slots__ = ('reply',)

    def __init__(self) -> None:
        """Create a reply that has not arrived."""
        self.reply: asyncio.Future[Frame] = (
            asyncio.get_running_loop().create_future()
        )

    def on_frame(self, frame: Frame) -> None:
        """Set the reply; ignore any further frame."""
        if not self.reply.done():
            self.reply.set_result(frame)

    def on_lost(self) -> None:
        """Fail the reply, as the connection is lost."""
        if not self.reply.done():
            self.reply.set_exception(_unreachable('', 'connection lost'))
            # Marks the exception as retrieved, as nobody may wait for it.
            self.reply.exception()

    def on_silent(self) -> None:
        """Do nothing: the wait for the reply is limited."""


@final
class Messenger:
    """Sends control messages to the daemons at given addresses."""

    __slots__ = ('_metrics', '_pool')

    def __init__(self, pool: PeerPool, metrics: MessageMetrics) -> None:
        """Send over connections of ``pool``."""
        self._pool = pool
        self._metrics = metrics

    async def ask(self, address: str, **message: Any) -> Frame:
        """Send a message and wait for the reply.

        Raise ``peer_unreachable`` after ``REPLY_TIMEOUT_S``. If the
        connection was silent for that time, the next message uses a new one,
        so that a silent connection is taken for a dead peer only once.
        """
        connection = await self._pool.connection(address)
        pending_reply = PendingReply()
        stream = connection.open_stream(pending_reply)
        try:
            self._send(stream, message)
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                frame = await pending_reply.reply
        except TimeoutError as error:
            self._note_silent(connection)
            raise _unreachable(address, 'no reply') from error
        finally:
            stream.close()
        self.count_received(frame)
        return frame

    async def tell(self, address: str, **message: Any) -> None:
        """Send a message without a reply; a lost one is repaired later."""
        try:
            connection = await self._pool.connection(address)
            stream = connection.open_stream(PendingReply())
        except CornelbeamError:
            return
        # A message that is too large for a frame is dropped.
        with suppress(CornelbeamError):
            self._send(stream, message)
        stream.close()

    def reply(self, stream: Stream, **message: Any) -> None:
        """Send the reply to a message and close its stream."""
        self._send(stream, message)
        stream.close()

    def count_received(self, frame: Frame) -> None:
        """Count a received control message."""
        named = (
            slot
            for slot in Frame.__slots__
            if slot != 'stream_id' and getattr(frame, slot) is not None
        )
        # A newer peer may send messages that this daemon does not know.
        name = next(named, 'unknown')
        # The byte count of the connection covers all of its streams, so the
        # frame is encoded again. That takes a few microseconds, and control
        # messages are rare.
        self._metrics.count_received(name, len(encode_frame(frame)))

    def _send(self, stream: Stream, message: dict[str, Any]) -> None:
        connection = stream.connection
        sent_bytes = connection.sent_bytes
        stream.send(**message)
        name = next(iter(message))
        self._metrics.count_sent(name, connection.sent_bytes - sent_bytes)

    def _note_silent(self, connection: PeerConnection) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - connection.last_received_s >= REPLY_TIMEOUT_S:
            connection.note_silent()


def _unreachable(address: str, detail: str) -> CornelbeamError:
    return CornelbeamError(
        ErrorCode.PEER_UNREACHABLE,
        'control message',
        address,
        detail,
    )
