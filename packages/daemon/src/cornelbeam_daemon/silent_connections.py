"""Detect connections that are silent while calls wait on them."""

import asyncio
from collections.abc import Callable
from typing import Final, final

import anyio
from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_wire import PeerConnection, PeerPool, Stream
from cornelbeam_wire.gen import messages

from cornelbeam_daemon.control_messages import PendingReply
from cornelbeam_daemon.logs import get_log

_log = get_log('caller')
_CHECKS_PER_PERIOD: Final = 4


@final
class SilentConnectionMonitor:
    """Pings quiet connections that have waiting calls and reports silent ones.

    Silence alone does not show a fault, as a backend server may be slow, but
    the peer's daemon answers a ping at once. A ping is sent after half of
    ``silence_ms`` without a byte. After ``silence_ms``, of which the ping has
    half at least, its calls are notified and new ones use another connection.

    A silent peer is slow, cut off or gone, which cannot be told apart, so the
    connection stays open until no call waits on it.
    """

    __slots__ = ('_get_revision', '_pinged', '_pool', '_service', '_silence_s')

    def __init__(
        self,
        pool: PeerPool,
        silence_ms: int,
        revision: Callable[[], int],
        service: str,
    ) -> None:
        """Watch the connections of ``pool``; pings carry ``revision()``."""
        self._pool = pool
        self._silence_s = silence_ms / MS_PER_S
        self._get_revision = revision
        self._service = service
        self._pinged: dict[PeerConnection, _SentPing] = {}

    async def run(self) -> None:
        """Check all connections periodically until cancelled."""
        loop = asyncio.get_running_loop()
        last_check_s = loop.time()
        while True:
            await anyio.sleep(self._silence_s / _CHECKS_PER_PERIOD)
            now_s = loop.time()
            # After a pause of this process, received bytes may not have been
            # read yet, so a live connection could be taken for a silent one.
            if now_s - last_check_s < self._silence_s:
                self.check(now_s)
            last_check_s = now_s

    def check(self, now_s: float) -> None:
        """Ping or report each quiet connection that has waiting calls."""
        for connection in self._pool.connections():
            self._check_connection(connection, now_s)
        for connection, ping in tuple(self._pinged.items()):
            if connection.is_closed or ping.pending_reply.reply.done():
                self._pinged.pop(connection)
                # Left open, the stream would count as a waiting call, and the
                # connection would be pinged for ever.
                ping.stream.close()

    def _check_connection(
        self, connection: PeerConnection, now_s: float
    ) -> None:
        if connection.is_silent:
            self._drop_ping(connection)
            if not connection.open_count:
                connection.close()
            return
        quiet_s = now_s - connection.last_received_s
        if not connection.open_count or quiet_s < self._silence_s / 2:
            return
        ping = self._pinged.get(connection)
        if ping is None:
            self._ping(connection, now_s)
        elif self._is_silent(quiet_s, now_s - ping.sent_s):
            _log.warning(
                'connection is silent',
                peer=connection.peer_name,
                quiet_ms=int(quiet_s * MS_PER_S),
                # The ping has a stream too.
                call_count=connection.open_count - 1,
            )
            self._drop_ping(connection)
            connection.note_silent()

    def _drop_ping(self, connection: PeerConnection) -> None:
        # Its stream must not keep an unused connection open.
        ping = self._pinged.pop(connection, None)
        if ping is not None:
            ping.stream.close()

    def _is_silent(self, quiet_s: float, ping_age_s: float) -> bool:
        # On a connection that was idle, only the time after the ping counts.
        return quiet_s >= self._silence_s and ping_age_s >= self._silence_s / 2

    def _ping(self, connection: PeerConnection, now_s: float) -> None:
        pending_reply = PendingReply()
        try:
            stream = connection.open_stream(pending_reply)
        except CornelbeamError:
            return
        self._pinged[connection] = _SentPing(stream, pending_reply, now_s)
        stream.send(
            ping=messages.Ping(
                updates=[],
                revision=self._get_revision(),
                service_name=self._service,
            ),
        )


@final
class _SentPing:
    """Ping that was sent at ``sent_s`` and is not answered."""

    __slots__ = ('pending_reply', 'sent_s', 'stream')

    def __init__(
        self,
        stream: Stream,
        pending_reply: PendingReply,
        sent_s: float,
    ) -> None:
        self.stream = stream
        self.pending_reply = pending_reply
        self.sent_s = sent_s
