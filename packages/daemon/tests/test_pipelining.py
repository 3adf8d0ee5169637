"""Requests that a caller sends before earlier ones are answered."""

import asyncio
import itertools

import pytest
from cornelbeam_daemon import http_server
from cornelbeam_daemon.bodies import BUFFER_LIMIT_BYTES
from cornelbeam_daemon.http_message import truncated_answer
from cornelbeam_daemon.pipelining import PipelineRules

pytestmark = pytest.mark.anyio
WAIT_LIMIT_S = 20
READ_AHEAD_COUNT = 4
OLD_KEEP_ALIVE = b'HTTP/1.0\r\nconnection: keep-alive\r\n'
MALFORMED = b'nonsense\r\n\r\n'
LONG = b'a' * (4 * BUFFER_LIMIT_BYTES)


def get(number, extra=b'') -> bytes:
    """Render a safe request."""
    return b'GET /%d HTTP/1.1\r\nhost: a\r\n%b\r\n' % (number, extra)


def post(number) -> bytes:
    """Render a request that must not run twice."""
    return (
        b'POST /%d HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx' % number
    )


class Server:
    """Server whose answers are released one by one."""

    def __init__(self) -> None:
        """Hold all requests back."""
        self.started: list[int] = []
        self.ended: list[int] = []
        self.cancelled: list[int] = []
        self.received_s: dict[int, float] = {}
        self.started_s: dict[int, float] = {}
        self.released: dict[int, asyncio.Event] = {}
        self.connections: set[http_server.HttpServerConnection] = set()
        self.long_numbers: set[int] = set()
        self.broken_numbers: set[int] = set()
        self.endless_numbers: set[int] = set()

    async def start(self) -> int:
        """Listen and return the port."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: http_server.HttpServerConnection(
                self.handle,
                4096,
                1_000_000,
                self.connections,
                pipeline_rules=PipelineRules(
                    READ_AHEAD_COUNT, lambda request: True
                ),
            ),
            '127.0.0.1',
            0,
        )
        return self.server.sockets[0].getsockname()[1]

    def release(self, *numbers) -> None:
        """Let requests be answered."""
        for number in numbers:
            self.released.setdefault(number, asyncio.Event()).set()

    async def handle(self, request, responder) -> None:
        """Answer a request with its number once it is released."""
        number = int(request.target[1:])
        self.received_s[number] = request.received_s
        self.started_s[number] = asyncio.get_running_loop().time()
        self.started.append(number)
        try:
            await self.released.setdefault(number, asyncio.Event()).wait()
            await self._answer(number, responder)
        except asyncio.CancelledError:
            self.cancelled.append(number)
            raise
        self.ended.append(number)

    async def _answer(self, number, responder) -> None:
        if number in self.broken_numbers:
            responder.start(200, [b'content-length', b'9'])
            await responder.send(b'part')
            raise truncated_answer('broken')
        if number in self.endless_numbers:
            responder.start(200, [])
            await responder.send(b'to the end')
            responder.finish()
            return
        if number not in self.long_numbers:
            responder.send_whole(200, [], b'<%d>' % number)
            return
        responder.start(200, [b'content-length', b'%d' % len(LONG)])
        for start in range(0, len(LONG), 10_000):
            await responder.send(LONG[start : start + 10_000])
        responder.finish()


class Bench:
    """A server and one connection to it."""

    def __init__(self) -> None:
        """Prepare the server."""
        self.server = Server()

    async def open(self) -> None:
        """Connect."""
        port = await self.server.start()
        streams = await asyncio.open_connection('127.0.0.1', port)
        self.reader = streams[0]
        self.writer = streams[1]

    async def close(self) -> None:
        """Close both ends, and let the tasks end."""
        self.writer.transport.abort()
        self.server.server.close()
        await self.wait(lambda: not self.server.connections)
        for _ in range(20):
            await asyncio.sleep(0)

    async def wait(self, is_reached) -> None:
        """Poll until a condition holds that no event signals."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not is_reached():
                await asyncio.sleep(0.001)

    async def settle(self) -> None:
        """Let the event loop do all that is due, several times over."""
        for _ in range(200):
            await asyncio.sleep(0)

    async def read_answer(self) -> tuple[bytes, bytes]:
        """Return the head and the body of the next answer."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            head = await self.reader.readuntil(b'\r\n\r\n')
            length = int(head.split(b'content-length: ')[1].split(b'\r\n')[0])
            return head, await self.reader.readexactly(length)

    async def read_rest(self) -> bytes:
        """Return what arrives before the connection ends."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            return await self.reader.read()


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the daemon does."""
    return 'asyncio'


@pytest.fixture
async def bench(anyio_backend):
    """Yield an open connection to a server."""
    running = Bench()
    await running.open()
    try:
        yield running
    finally:
        await running.close()


class TestOverlap:
    """Guards against safe requests that wait for each other."""

    async def test_safe_ones_run_at_the_same_time(self, bench):
        bench.writer.write(get(1) + get(2) + get(3))
        await bench.wait(lambda: bench.server.started == [1, 2, 3])

    @pytest.mark.parametrize('order', list(itertools.permutations((1, 2, 3))))
    async def test_answers_keep_the_order(self, bench, order):
        bench.writer.write(get(1) + get(2) + get(3))
        await bench.wait(lambda: len(bench.server.started) == 3)
        for number in order:
            bench.server.release(number)
            await bench.settle()
        bodies = [(await bench.read_answer())[1] for _ in order]
        assert bodies == [b'<1>', b'<2>', b'<3>']

    async def test_long_answer_waits_for_its_turn(self, bench):
        bench.server.long_numbers.add(2)
        bench.writer.write(get(1) + get(2) + get(3))
        bench.server.release(2, 3)
        await bench.wait(lambda: bench.server.ended == [3])
        await bench.settle()
        assert bench.server.ended == [3]
        bench.server.release(1)
        bodies = [(await bench.read_answer())[1] for _ in range(3)]
        assert bodies == [b'<1>', LONG, b'<3>']

    async def test_time_counts_from_arrival(self, bench):
        bench.writer.write(post(1) + get(2))
        await bench.wait(lambda: bench.server.started == [1])
        arrived_s = asyncio.get_running_loop().time()
        bench.server.release(1)
        await bench.wait(lambda: bench.server.started == [1, 2])
        assert bench.server.received_s[2] <= arrived_s
        assert bench.server.started_s[2] >= arrived_s


class TestUnsafe:
    """Guards against running what the caller must send again."""

    @pytest.mark.parametrize(
        'raw', [get(1) + post(2), post(1) + get(2), post(1) + post(2)]
    )
    async def test_unsafe_one_runs_alone(self, bench, raw):
        bench.writer.write(raw)
        await bench.wait(lambda: bench.server.started == [1])
        await bench.settle()
        assert bench.server.started == [1]
        bench.server.release(1, 2)
        bodies = [(await bench.read_answer())[1] for _ in range(2)]
        assert bodies == [b'<1>', b'<2>']

    async def test_not_passed_on_behind_a_closing_answer(self, bench):
        bench.writer.write(get(1) + get(2) + post(3) + get(4))
        await bench.wait(lambda: bench.server.started == [1, 2])
        for connection in tuple(bench.server.connections):
            connection.close_when_idle()
        bench.server.release(1, 2, 3, 4)
        head, body = await bench.read_answer()
        assert (b'connection: close' in head, body) == (False, b'<1>')
        head, body = await bench.read_answer()
        assert (b'connection: close' in head, body) == (True, b'<2>')
        assert not await bench.read_rest()
        assert bench.server.started == [1, 2]

    async def test_answer_that_the_caller_closes_behind(self, bench):
        """Nothing may follow a request with ``connection: close``."""
        bench.server.release(1, 2)
        bench.writer.write(get(1, b'connection: close\r\n') + post(2))
        assert (await bench.read_answer())[1] == b'<1>'
        await bench.read_rest()
        assert bench.server.started == [1]

    async def test_answer_that_turns_out_to_end_the_connection(
        self, bench, monkeypatch
    ):
        """Without a length it ends with the connection in HTTP/1.0."""
        passed_on = []
        start = http_server.HttpServerConnection._start

        def note_start(connection, answer) -> None:
            passed_on.append(int(answer.request.target[1:]))
            start(connection, answer)

        monkeypatch.setattr(
            http_server.HttpServerConnection, '_start', note_start
        )
        bench.server.endless_numbers.add(1)
        raw = get(1).replace(b'HTTP/1.1\r\n', OLD_KEEP_ALIVE)
        ahead = range(2, 2 + READ_AHEAD_COUNT)
        behind = range(100, 160)
        bench.writer.write(raw + b''.join(get(number) for number in ahead))
        bench.writer.write(b''.join(post(number) for number in behind))
        await bench.wait(lambda: len(bench.server.started) == READ_AHEAD_COUNT)
        bench.server.release(1)
        await bench.read_rest()
        await bench.settle()
        assert passed_on == [1, 2, 3, 4]


class TestBounds:
    """Guards against callers that send without an end."""

    async def test_read_ahead_is_bounded(self, bench):
        count = 300
        raw = b''.join(get(number) for number in range(count))
        bench.writer.write(raw)
        await bench.wait(lambda: len(bench.server.started) == READ_AHEAD_COUNT)
        await bench.settle()
        connection = next(iter(bench.server.connections))
        assert len(bench.server.started) == READ_AHEAD_COUNT
        assert connection._transport.is_reading() is False
        bench.server.release(*range(count))
        for number in range(count):
            assert (await bench.read_answer())[1] == b'<%d>' % number

    async def test_head_that_waits_for_its_turn(self, bench, monkeypatch):
        """A head is not incomplete just because it is not read yet."""
        monkeypatch.setattr(http_server, 'HEAD_TIMEOUT_S', 0.02)
        count = 300
        bench.writer.write(b''.join(get(number) for number in range(count)))
        await bench.wait(lambda: len(bench.server.started) == READ_AHEAD_COUNT)
        connection = next(iter(bench.server.connections))
        first_timeout_at_s = connection._timeout_at_s
        await bench.wait(lambda: connection._timeout_at_s > first_timeout_at_s)
        bench.server.release(*range(count))
        for number in range(count):
            assert (await bench.read_answer())[1] == b'<%d>' % number

    async def test_caller_that_does_not_read(self, bench):
        """Only so many answers are made as the connection takes."""
        count = 200
        bench.server.long_numbers.update(range(count))
        bench.server.release(*range(count))
        bench.writer.write(b''.join(get(number) for number in range(count)))
        await bench.wait(lambda: len(bench.server.started) >= READ_AHEAD_COUNT)
        for _ in range(20):
            await bench.settle()
        started = len(bench.server.started)
        assert started < count / 2
        await bench.read_answer()
        await bench.wait(lambda: len(bench.server.started) >= started)

    async def test_caller_that_leaves(self, bench):
        bench.writer.write(get(1) + get(2))
        await bench.wait(lambda: bench.server.started == [1, 2])
        bench.writer.transport.abort()
        await bench.wait(lambda: sorted(bench.server.cancelled) == [1, 2])


class TestFailures:
    """Guards against answers that end up in the place of others."""

    async def test_malformed_one_is_refused_in_its_place(self, bench):
        bench.writer.write(get(1) + get(2) + MALFORMED + get(3))
        await bench.wait(lambda: bench.server.started == [1, 2])
        bench.server.release(2, 1)
        assert (await bench.read_answer())[1] == b'<1>'
        assert (await bench.read_answer())[1] == b'<2>'
        head, _ = await bench.read_answer()
        assert head.startswith(b'HTTP/1.1 400 ')
        assert not await bench.read_rest()
        assert bench.server.started == [1, 2]

    async def test_malformed_one_behind_the_bound(self, bench):
        count = READ_AHEAD_COUNT * 2
        raw = b''.join(get(number) for number in range(count))
        bench.writer.write(raw + MALFORMED)
        bench.server.release(*range(count))
        for _ in range(count):
            assert (await bench.read_answer())[0].startswith(b'HTTP/1.1 200 ')
        assert (await bench.read_rest()).count(b'HTTP/1.1 400 ') == 1

    async def test_broken_answer_does_not_spoil_earlier_ones(self, bench):
        bench.server.broken_numbers.add(2)
        bench.writer.write(get(1) + get(2) + get(3))
        await bench.wait(lambda: len(bench.server.started) == 3)
        bench.server.release(2, 3)
        await bench.settle()
        bench.server.release(1)
        assert (await bench.read_answer())[1] == b'<1>'
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await bench.read_answer()
