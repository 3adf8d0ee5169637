"""Fixtures: a caller side, a backend side and a scripted backend server.

All run in the process of the test.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import pytest
from cornelbeam_core.admission import AdmissionLimit, AdmissionSettings
from cornelbeam_core.attempts import AttemptLedger
from cornelbeam_core.targets import Target
from cornelbeam_daemon.backend_client import BackendClient
from cornelbeam_daemon.backend_side import BackendSide
from cornelbeam_daemon.bodies import BodyBuffer, RequestBody
from cornelbeam_daemon.caller_side import CallerSide
from cornelbeam_daemon.calls import Call
from cornelbeam_daemon.http_server import HttpServerConnection
from cornelbeam_daemon.metrics import Metrics
from cornelbeam_daemon.peer_client import PeerClient
from cornelbeam_daemon.peer_server import PeerServer
from cornelbeam_daemon.quarantine_sync import QuarantineSync
from cornelbeam_daemon.routing_table import RoutingTable
from cornelbeam_settings import LimitsSettings
from cornelbeam_wire import Identity, PeerConnection, PeerPool
from prometheus_client import CollectorRegistry

HOST = '127.0.0.1'
SECRET = b'pit'
WAIT_LIMIT_S = 20
LIMITS = LimitsSettings(head_bytes=4096, body_bytes=300_000, queue_ms=60_000)
OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'

Script = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return a head and its body; raise IncompleteReadError at the end."""
    head = await reader.readuntil(b'\r\n\r\n')
    content = b''
    lower = head.lower()
    if b'content-length: ' in lower:
        length = lower.split(b'content-length: ')[1].split(b'\r\n')[0]
        content = await reader.readexactly(int(length))
    elif b'transfer-encoding: chunked' in lower:
        size = int(await reader.readuntil(b'\r\n'), 16)
        while size:
            content += (await reader.readexactly(size + 2))[:-2]
            size = int(await reader.readuntil(b'\r\n'), 16)
        await reader.readuntil(b'\r\n')
    return head, content


class Backend:
    """Backend server that runs a script on each connection."""

    def __init__(self) -> None:
        """Answer every request with ``OK``."""
        self.answer = OK
        self.script: Script = self.answer_all
        self.requests: list[tuple[bytes, bytes]] = []
        # Requests that are read whole, after which the connection is closed.
        self.drop_count = 0
        self.connection_count = 0
        self.open_count = 0
        self._writers: set[asyncio.StreamWriter] = set()

    def has_received_request(self) -> bool:
        """Return whether a request has arrived."""
        return bool(self.requests)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run the script on one connection."""
        self.connection_count += 1
        self.open_count += 1
        self._writers.add(writer)
        try:
            with contextlib.suppress(
                OSError,
                asyncio.IncompleteReadError,
                asyncio.LimitOverrunError,
            ):
                await self.script(reader, writer)
        finally:
            self._close(writer)

    def _close(self, writer: asyncio.StreamWriter) -> None:
        self.open_count -= 1
        self._writers.discard(writer)
        writer.close()

    def abort(self) -> None:
        """Abort all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def answer_all(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer complete requests until the connection ends."""
        while True:
            self.requests.append(await read_message(reader))
            if self.drop_count:
                self.drop_count -= 1
                return
            writer.write(self.answer)

    async def answer_once(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request and close the connection."""
        self.requests.append(await read_message(reader))
        writer.write(self.answer)

    async def hang(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read a request and never answer."""
        self.requests.append(await read_message(reader))
        await reader.read()


def make_quarantine(name: str) -> QuarantineSync:
    """Return the quarantine of a daemon without peers."""
    return QuarantineSync(
        name, lambda calls: (), None, lambda work: None, random.Random(1)
    )


class Bed:
    """Test bed with one caller side in front of one backend side."""

    def __init__(self, *, is_remote: bool) -> None:
        """Prepare the backend server; ``start`` binds the sockets."""
        self.is_remote = is_remote
        self.backend = Backend()
        self.admission = AdmissionLimit(
            AdmissionSettings(queue_ms=LIMITS.queue_ms, queue_count=4),
        )
        self.ledger = AttemptLedger(1, 100, 30)
        self.is_in_service = True
        self.callers: set[HttpServerConnection] = set()
        self.peers: set[PeerConnection] = set()
        # The daemon of the caller side, and that of the backend side.
        self.quarantines = [
            make_quarantine('edge-1'),
            make_quarantine('yard-1'),
        ]
        self._stack = contextlib.AsyncExitStack()
        self._backend_server: asyncio.Server

    async def start(self) -> None:
        """Listen for callers and peers."""
        metrics = Metrics(CollectorRegistry())
        port = await self._listen_backend()
        self.client = BackendClient(HOST, port, 240)
        self.backend_side = BackendSide(
            'yard-1',
            self.admission,
            self.ledger,
            self.client,
            metrics,
            lambda: self.is_in_service,
            self.quarantines[1],
        )
        self.peer_server = PeerServer(self.backend_side)
        self.peer_address = f'{HOST}:{await self._listen(self._accept_peer)}'
        self.pool = PeerPool(_identity('edge-1'), lambda *_: None)
        table = RoutingTable('edge-1' if self.is_remote else 'yard-1', 'north')
        table.mark_synced()
        target = Target('yard-1', 'windows', 'north', self.peer_address, 1, {})
        table.replace_targets('windows', [target])
        self.caller_side = CallerSide(
            'edge-1' if self.is_remote else 'yard-1',
            table,
            PeerClient(self.pool),
            self.backend_side,
            LIMITS,
            'power_of_two',
            metrics,
            self.quarantines[not self.is_remote],
        )
        self.port = await self._listen(self._accept_caller)

    async def close(self) -> None:
        """Check that no resource is in use, then close."""
        try:
            await self.wait_idle()
        finally:
            await self._close_sockets()

    async def _close_sockets(self) -> None:
        self.client.close()
        self.pool.close()
        await self._stack.aclose()
        await self.wait(lambda: not self.backend.open_count)

    async def wait_idle(self) -> None:
        """Wait until no resource is in use."""
        await self.wait(lambda: not any(self.resources_in_use()))

    def resources_in_use(self) -> list[int]:
        """Count slots, queued requests, calls, attempts and streams in use."""
        return [
            self.admission.in_flight,
            self.admission.queue_length,
            self.backend_side.work_count,
            self.caller_side.in_flight,
            len(tuple(self.ledger.running())),
            len(self.peer_server._served),
            sum(peer.open_count for peer in self.peers),
            sum(peer.open_count for peer in self.pool.connections()),
        ]

    async def wait(self, is_reached: Callable[[], bool]) -> None:
        """Wait until a condition holds, or fail after ``WAIT_LIMIT_S``."""
        with anyio.fail_after(WAIT_LIMIT_S):
            while not is_reached():
                await asyncio.sleep(0.002)

    async def open(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return the streams of a new caller connection."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self._stack.callback(writer.close)
        return reader, writer

    async def ask(self, *pieces: bytes) -> bytes:
        """Send pieces one by one and read the answer to the end."""
        reader, writer = await self.open()
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        with anyio.fail_after(WAIT_LIMIT_S):
            return await reader.read()

    def _accept_caller(self) -> HttpServerConnection:
        return HttpServerConnection(
            self.caller_side.handle,
            LIMITS.head_bytes,
            LIMITS.body_bytes,
            self.callers,
        )

    def _accept_peer(self) -> PeerConnection:
        connection = PeerConnection(
            _identity('yard-1'),
            self._accept_stream,
            self.peers.discard,
            is_opener=False,
        )
        self.peers.add(connection)
        return connection

    def _accept_stream(self, stream, frame):
        if frame.call_start is not None:
            return self.peer_server.start_call(stream, frame.call_start)
        if frame.outcome_query is not None:
            return self.peer_server.answer_query(stream, frame.outcome_query)
        return None

    async def _listen_backend(self) -> int:
        self._backend_server = await asyncio.start_server(
            self.backend.serve, HOST, 0
        )
        self._stack.callback(lambda: self._backend_server.close())
        return self._backend_server.sockets[0].getsockname()[1]

    @property
    def is_backend_listening(self) -> bool:
        """Whether the backend server accepts connections."""
        return self._backend_server.is_serving()

    async def stop_backend(self) -> None:
        """Let the backend server refuse connections and abort open ones."""
        self._backend_port = self._backend_server.sockets[0].getsockname()[1]
        self._backend_server.close()
        # A server that closes while it accepts leaves a transport open.
        await asyncio.sleep(0)
        self.backend.abort()

    async def restart_backend(self) -> None:
        """Start the stopped backend server at the same port."""
        await self.wait(lambda: not self.backend.open_count)
        self._backend_server = await asyncio.start_server(
            self.backend.serve, HOST, self._backend_port
        )

    async def _listen(self, factory) -> int:
        server = await asyncio.get_running_loop().create_server(
            factory,
            HOST,
            0,
        )
        self._stack.callback(server.close)
        return server.sockets[0].getsockname()[1]


def _identity(name: str) -> Identity:
    return Identity(name, 'windows', 'north', 1, '', SECRET)


@pytest.fixture
def anyio_backend() -> str:
    """Run tests on asyncio, the only event loop of the daemon."""
    return 'asyncio'


@pytest.fixture(params=['one hop', 'two hops'])
async def bed(request, anyio_backend) -> AsyncIterator[Bed]:
    """Yield a running test bed; no resource may be in use after the test."""
    running = Bed(is_remote=request.param == 'two hops')
    await running.start()
    try:
        yield running
    finally:
        await running.close()


@pytest.fixture
async def remote(anyio_backend) -> AsyncIterator[Bed]:
    """Yield a test bed with two hops; checked in the same way as ``bed``."""
    running = Bed(is_remote=True)
    await running.start()
    try:
        yield running
    finally:
        await running.close()


@pytest.fixture
def make_call() -> Callable[[str, bytes], Call]:
    """Return a function that makes calls as sent by another daemon."""
    return _make_call


def _make_call(caller: str, path: bytes) -> Call:
    """Return a call as sent by another daemon."""
    body = BodyBuffer()
    body.finish()
    return Call(
        attempt_id=path,
        target_incarnation=1,
        service='windows',
        method=b'GET',
        path=path,
        headers=[],
        deadline_s=asyncio.get_running_loop().time() + 60,
        is_repeatable=True,
        caller=caller,
        hop_count=1,
        request_id='',
        body=RequestBody(body),
    )
