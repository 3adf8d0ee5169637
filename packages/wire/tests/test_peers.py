"""Tests of connections to unauthenticated or misbehaving peers."""

import asyncio
import copy
from functools import partial

import anyio
import pytest
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_wire import (
    MAX_BODY_PART_BYTES,
    STREAM_CREDIT_BYTES,
    FrameDecoder,
    Identity,
    PeerConnection,
    PeerPool,
    connection,
    encode_frame,
)
from cornelbeam_wire.gen import messages
from cornelbeam_wire.identity import Handshake

pytestmark = pytest.mark.anyio
HOST = '127.0.0.1'
WAIT_LIMIT_S = 10


def make_identity(name: str, secret: bytes = b'pit') -> Identity:
    """Return the identity of a daemon."""
    return Identity(name, 'windows', 'north', 7, f'{HOST}:1', secret)


class Receiver:
    """Records what arrives on a stream."""

    def __init__(self, stream=None) -> None:
        """Start without frames."""
        self.stream = stream
        self.frames: list[messages.Frame] = []
        self.is_lost = False

    def on_frame(self, frame: messages.Frame) -> None:
        """Record a frame."""
        self.frames.append(frame)

    def on_lost(self) -> None:
        """Record the loss of the connection."""
        self.is_lost = True


class Listener:
    """Accepts connections and records their streams."""

    def __init__(self) -> None:
        """Start without connections."""
        self.connections: list[PeerConnection] = []
        self.receivers: list[Receiver] = []
        self.address = ''

    def make(self) -> PeerConnection:
        """Create the connection of a new peer."""
        made = PeerConnection(
            make_identity('yard-1'),
            self.accept,
            lambda closed: None,
            is_opener=False,
        )
        self.connections.append(made)
        return made

    def accept(self, stream, frame) -> Receiver | None:
        """Accept streams that begin with a call."""
        if frame.call_start is None:
            return None
        self.receivers.append(Receiver(stream))
        return self.receivers[-1]


class RawPeer:
    """Sends valid or invalid frames over a plain socket."""

    def __init__(self, reader, writer) -> None:
        """Use a connected socket."""
        self.reader = reader
        self.writer = writer
        self.decoder = FrameDecoder()
        self.handshake = Handshake(make_identity('edge-1'), is_opener=True)
        self.frames: list[messages.Frame] = []

    def send(self, frame: messages.Frame) -> None:
        """Send a frame."""
        self.writer.write(encode_frame(frame))

    def send_hello(self, hello: messages.Hello) -> None:
        """Send a message of the handshake."""
        self.send(messages.Frame(0, hello=hello))

    async def read_frame(self) -> messages.Frame:
        """Read a frame; raise ``EOFError`` at the end of the connection."""
        with anyio.fail_after(WAIT_LIMIT_S):
            while not self.frames:
                received = await self.reader.read(65_536)
                if not received:
                    raise EOFError
                self.frames.extend(self.decoder.feed(received))
        return self.frames.pop(0)

    async def complete_handshake(self) -> None:
        """Complete the handshake."""
        self.send_hello(self.handshake.make_greeting())
        while self.handshake.peer is None:
            frame = await self.read_frame()
            proof = self.handshake.receive(frame.hello)
            if proof is not None:
                self.send_hello(proof)

    async def read_to_end(self) -> None:
        """Wait until the other side closes."""
        with pytest.raises((EOFError, ConnectionError)):
            while True:
                await self.read_frame()


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, the only backend of the protocol."""
    return 'asyncio'


@pytest.fixture
async def listener(anyio_backend):
    """Yield a listener on a free port."""
    listening = Listener()
    server = await asyncio.get_running_loop().create_server(
        listening.make,
        HOST,
        0,
    )
    listening.address = f'{HOST}:{server.sockets[0].getsockname()[1]}'
    yield listening
    server.close()
    for each in listening.connections:
        each.close()


@pytest.fixture
async def connect(listener):
    """Yield a function that connects a raw peer."""
    writers = []

    async def open_peer() -> RawPeer:
        port = int(listener.address.rpartition(':')[2])
        reader, writer = await asyncio.open_connection(HOST, port)
        writers.append(writer)
        return RawPeer(reader, writer)

    yield open_peer
    for writer in writers:
        writer.close()


@pytest.fixture
async def valid_peer(listener):
    """Yield a valid connection, which misbehaving peers must not close."""
    pool = PeerPool(make_identity('edge-9'), lambda *_: None)
    opened = await pool.connection(listener.address)
    yield opened
    assert not opened.is_closed
    pool.close()


async def wait_until(is_reached) -> None:
    """Wait until a condition holds."""
    with anyio.fail_after(WAIT_LIMIT_S):
        while not is_reached():
            await asyncio.sleep(0.002)


def has_frames(listener: Listener, frame_count: int) -> bool:
    """Return whether the first call has received this many frames."""
    return any(
        len(each.frames) == frame_count for each in listener.receivers[:1]
    )


def call_start(body: bytes = b'') -> messages.CallStart:
    """Return the first message of a call."""
    return messages.CallStart(
        bytes(16),
        7,
        'windows',
        b'GET',
        b'/',
        [],
        1000,
        True,
        'edge-1',
        1,
        body,
        False,
        'r',
    )


class TestHandshake:
    """Guards against peers that are accepted without knowing the secret."""

    async def test_valid(self, connect, listener, valid_peer) -> None:
        """A daemon that knows the secret is accepted, with its name."""
        peer = await connect()
        await peer.complete_handshake()
        await wait_until(lambda: listener.connections[-1].peer_name == 'edge-1')

    async def test_grants(self, connect, listener, valid_peer) -> None:
        """A daemon without the field in its greeting gets bodies unasked."""
        assert valid_peer.has_body_grants
        peer = await connect()
        greeting = peer.handshake.make_greeting()
        greeting.has_body_grants = None
        peer.send_hello(greeting)
        proof = peer.handshake.receive((await peer.read_frame()).hello)
        proof.has_body_grants = None
        peer.send_hello(proof)
        await wait_until(lambda: listener.connections[-1].peer is not None)
        assert not listener.connections[-1].has_body_grants

    async def test_wrong_secret(self, connect, valid_peer) -> None:
        """A wrong secret closes the connection."""
        peer = await connect()
        wrong_identity = make_identity('edge-1', b'spade')
        peer.handshake = Handshake(wrong_identity, is_opener=True)
        peer.send_hello(peer.handshake.make_greeting())
        greeting = await peer.read_frame()
        peer.send_hello(peer.handshake.receive(greeting.hello))
        await peer.read_to_end()

    async def test_wrong_secret_of_listener(self, listener) -> None:
        """The opener checks the secret too."""
        pool = PeerPool(make_identity('edge-1', b'spade'), lambda *_: None)
        with pytest.raises(CornelbeamError, match='peer_unreachable'):
            await pool.connection(listener.address)

    async def test_replayed(self, connect, valid_peer) -> None:
        """A recorded proof is refused on another connection."""
        first = await connect()
        greeting = await first.read_frame()
        recorded = first.handshake.receive(greeting.hello)
        second = await connect()
        second.send_hello(first.handshake.make_greeting())
        second.send_hello(recorded)
        await second.read_to_end()

    async def test_reflected(self, connect, listener, valid_peer) -> None:
        """A daemon does not accept its own proof, sent back by a peer."""
        victim = await connect()
        challenge = (await victim.read_frame()).hello
        oracle = await connect()
        await oracle.read_frame()
        oracle.send_hello(challenge)
        proof = (await oracle.read_frame()).hello
        greeting = copy.copy(proof)
        greeting.proof = b''
        victim.send_hello(greeting)
        victim.send_hello(proof)
        await victim.read_to_end()
        assert all(
            each.peer_name in {'', 'edge-9'} for each in listener.connections
        )

    @pytest.mark.parametrize('field', ['name', 'address', 'domain', 'nonce'])
    async def test_changed_identity(self, connect, valid_peer, field) -> None:
        """The proof covers each field that a daemon states about itself."""
        peer = await connect()
        peer.send_hello(peer.handshake.make_greeting())
        greeting = await peer.read_frame()
        proof = peer.handshake.receive(greeting.hello)
        other = b'n' * 16 if field == 'nonce' else 'other'
        setattr(proof, field, other)
        peer.send_hello(proof)
        await peer.read_to_end()

    async def test_no_handshake(self, connect, listener, monkeypatch) -> None:
        """A connection without a proof is closed."""
        monkeypatch.setattr(connection, 'HANDSHAKE_TIMEOUT_S', 0.05)
        peer = await connect()
        await peer.read_to_end()
        assert listener.connections[-1].is_closed

    @pytest.mark.parametrize(
        'frame',
        [
            messages.Frame(1, call_start=call_start()),
            messages.Frame(1, cancel=messages.Cancel('')),
            messages.Frame(1),
        ],
    )
    async def test_early_message(self, connect, listener, valid_peer, frame):
        """A message before the handshake is not processed."""
        peer = await connect()
        peer.send(frame)
        await peer.read_to_end()
        assert not listener.receivers

    async def test_other_version(self, connect, valid_peer) -> None:
        """Another protocol version closes the connection."""
        peer = await connect()
        hello = peer.handshake.make_greeting()
        hello.protocol_version = 1
        peer.send_hello(hello)
        await peer.read_to_end()


class TestMisbehaviour:
    """Guards against a peer that harms more than its own connection."""

    @pytest.mark.parametrize(
        'raw',
        [
            b'\xff\xff\xff\xff',
            b'\0\0\0\3abc',
            encode_frame(messages.Frame(1, credit=messages.Credit(None))),
            encode_frame(
                messages.Frame(1, body_part=messages.BodyPart(None, False)),
            ),
        ],
    )
    async def test_bad_bytes(self, connect, listener, valid_peer, raw) -> None:
        """Undecodable bytes end the connection and its open streams."""
        peer = await connect()
        await peer.complete_handshake()
        peer.send(messages.Frame(1, call_start=call_start()))
        peer.writer.write(raw)
        await peer.read_to_end()
        assert listener.receivers[0].is_lost
        assert not listener.connections[-1].open_count

    async def test_credit_overflow(self, connect, listener, valid_peer) -> None:
        """Body bytes beyond the credit are not buffered."""
        peer = await connect()
        await peer.complete_handshake()
        part = messages.BodyPart(bytes(MAX_BODY_PART_BYTES), False)
        peer.send(messages.Frame(1, call_start=call_start(part.content)))
        for _ in range(20):
            peer.send(messages.Frame(1, body_part=part))
        await peer.read_to_end()
        buffered_bytes = sum(
            len(frame.body_part.content)
            for frame in listener.receivers[0].frames
        )
        assert buffered_bytes <= STREAM_CREDIT_BYTES

    async def test_granted_credit(self, connect, listener, valid_peer) -> None:
        """A sender with granted credit may exceed the initial credit."""
        peer = await connect()
        await peer.complete_handshake()
        part = messages.BodyPart(bytes(MAX_BODY_PART_BYTES), False)
        peer.send(messages.Frame(1, call_start=call_start()))
        for count in range(1, 12):
            peer.send(messages.Frame(1, body_part=part))
            await wait_until(partial(has_frames, listener, count))
            listener.receivers[0].stream.grant_credit(MAX_BODY_PART_BYTES)
        assert not listener.receivers[0].is_lost

    async def test_unasked_body(self, connect, listener, valid_peer) -> None:
        """A body that is held back has no credit before it is asked for."""
        peer = await connect()
        await peer.complete_handshake()
        start = call_start()
        start.is_body_held = True
        part = messages.BodyPart(bytes(MAX_BODY_PART_BYTES), False)
        peer.send(messages.Frame(1, call_start=start))
        for _ in range(2):
            peer.send(messages.Frame(1, body_part=part))
        await peer.read_to_end()
        assert listener.receivers[0].is_lost

    async def test_huge_credit(self, connect, listener, valid_peer) -> None:
        """Credit beyond the window does not make a sender fill its memory."""
        peer = await connect()
        await peer.complete_handshake()
        peer.send(messages.Frame(1, call_start=call_start()))
        peer.send(messages.Frame(1, credit=messages.Credit(2**31 - 1)))
        await wait_until(lambda: bool(listener.receivers))
        stream = listener.receivers[0].stream
        assert stream._send_credit_bytes == STREAM_CREDIT_BYTES
        peer.send(messages.Frame(1, credit=messages.Credit(-1)))
        await peer.read_to_end()

    async def test_stream_limit(self, connect, listener, valid_peer) -> None:
        """The number of open streams is bounded."""
        peer = await connect()
        await peer.complete_handshake()
        for number in range(connection._MAX_OPEN_STREAMS + 1):
            peer.send(messages.Frame(2 * number + 1, call_start=call_start()))
        await peer.read_to_end()
        assert all(each.is_lost for each in listener.receivers)
        assert len(listener.receivers) == connection._MAX_OPEN_STREAMS

    async def test_ignored(self, connect, listener, valid_peer) -> None:
        """Late and empty frames are ignored."""
        peer = await connect()
        await peer.complete_handshake()
        peer.send(messages.Frame(1, call_start=call_start()))
        await wait_until(lambda: bool(listener.receivers))
        listener.receivers[0].stream.close()
        part = messages.BodyPart(b'a', True)
        for late in (messages.Frame(1, body_part=part), messages.Frame(8)):
            peer.send(late)
        peer.send(messages.Frame(5))
        peer.send(messages.Frame(7, call_start=call_start()))
        await wait_until(lambda: len(listener.receivers) == 2)
        assert not listener.receivers[0].frames

    async def test_oversized_send(self, listener, valid_peer) -> None:
        """A message that is too large leaves the connection open."""
        stream = valid_peer.open_stream(Receiver())
        with pytest.raises(CornelbeamError, match='frame of'):
            stream.send(call_start=call_start(bytes(300_000)))
        stream.close()
        other = valid_peer.open_stream(Receiver())
        other.send(call_start=call_start())
        await wait_until(lambda: bool(listener.receivers))
