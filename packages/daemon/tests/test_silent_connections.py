"""Tests of the detection of silent connections."""

import asyncio

from cornelbeam_daemon.silent_connections import SilentConnectionMonitor
from cornelbeam_wire.gen import messages


class FakeStream:
    def __init__(self, connection, receiver):
        self._connection = connection
        self.receiver = receiver

    def send(self, **message):
        self._connection.pings.append(self)

    def close(self):
        self._connection.streams.discard(self)


class FakeConnection:
    peer_name = 'far'

    def __init__(self):
        self.is_closed = False
        self.is_silent = False
        self.last_received_s = 0
        self.pings = []
        self.streams = set()

    @property
    def open_count(self):
        return len(self.streams)

    def close(self):
        self.is_closed = True

    def note_silent(self):
        self.is_silent = True

    def open_stream(self, receiver):
        stream = FakeStream(self, receiver)
        self.streams.add(stream)
        return stream


class FakePool:
    def __init__(self, connection):
        self._connection = connection

    def connections(self):
        return [self._connection]


def make_monitor():
    """Return a connection and its monitor, for a silence of 2 s."""
    connection = FakeConnection()
    monitor = SilentConnectionMonitor(FakePool(connection), 2000, int, 'near')
    return connection, monitor


class TestAnsweredPing:
    """Guards against pings that go on after the last call has ended."""

    def test_ends_with_the_call(self):
        asyncio.run(self._check())

    async def _check(self):
        connection, monitor = make_monitor()
        call = connection.open_stream(None)
        monitor.check(1.5)
        connection.pings[0].receiver.on_frame(messages.Frame(stream_id=1))
        connection.last_received_s = 1.6
        call.close()
        monitor.check(1.7)
        assert not connection.streams
        monitor.check(10)
        assert len(connection.pings) == 1


class TestIdleConnection:
    """Guards against calls given up before the peer could answer a ping."""

    def test_earlier_idle_time_is_not_silence(self):
        asyncio.run(self._check())

    async def _check(self):
        connection, monitor = make_monitor()
        connection.open_stream(None)
        monitor.check(60)
        assert len(connection.pings) == 1
        monitor.check(60.9)
        assert not connection.is_silent
        monitor.check(61)
        assert connection.is_silent


class TestSilentConnection:
    """Guards against cut calls and against connections left open."""

    def test_stays_open_while_a_call_waits(self):
        asyncio.run(self._check())

    async def _check(self):
        connection, monitor = make_monitor()
        call = connection.open_stream(None)
        monitor.check(1)
        monitor.check(2)
        assert connection.is_silent
        assert connection.streams == {call}
        monitor.check(60)
        assert not connection.is_closed
        call.close()
        monitor.check(61)
        assert connection.is_closed

    def test_unanswered_ping_keeps_no_unused_connection_open(self):
        asyncio.run(self._check_ping())

    async def _check_ping(self):
        connection, monitor = make_monitor()
        call = connection.open_stream(None)
        monitor.check(1)
        # A control message without a reply reports the silence first.
        connection.note_silent()
        call.close()
        monitor.check(2)
        monitor.check(3)
        assert connection.is_closed
