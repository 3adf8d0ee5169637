"""Tests of input from other daemons: heads, bodies, broken connections."""

# Raw messages are concatenated from the parts that matter to a test.
# flake8: noqa: WPS336

import asyncio

import anyio
import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.targets import Target
from cornelbeam_daemon.bodies import BodyBuffer, RequestBody
from cornelbeam_daemon.control_messages import PendingReply
from cornelbeam_daemon.peer_client import PeerClient
from cornelbeam_wire import PeerPool
from cornelbeam_wire.gen import messages

pytestmark = pytest.mark.anyio
POST = b'POST /a HTTP/1.1\r\nhost: windows.mesh\r\nconnection: close\r\n\r\n'
GET = POST.replace(b'POST', b'GET')
LOAD = messages.LoadReport(0, 2, 0, 10, False)


def call_start(**changed) -> messages.CallStart:
    """Return the first message of a call that must not be repeated."""
    fields = {
        'attempt_id': b'a' * 16,
        'target_incarnation': 1,
        'service_name': 'windows',
        'method': b'POST',
        'path': b'/p',
        'headers': [b'host', b'windows'],
        'remaining_ms': 200,
        'is_repeatable': False,
        'caller': 'edge-2',
        'hop_count': 1,
        'body': b'',
        'is_complete': True,
        'request_id': 'r',
    }
    return messages.CallStart(**{**fields, **changed})


def answer_start(**changed) -> messages.AnswerStart:
    """Return the first message of a complete answer."""
    fields = {
        'status': 200,
        'headers': [b'content-length', b'3'],
        'body': b'abc',
        'is_complete': True,
        'load': LOAD,
    }
    return messages.AnswerStart(**{**fields, **changed})


async def lose_connection(bed, remaining_ms: int) -> None:
    """Close the connection of a call before the backend server answers."""
    is_lost = asyncio.Event()

    async def answer_late(reader, writer) -> None:
        bed.backend.requests.append(await reader.readuntil(b'\r\n\r\n'))
        await is_lost.wait()
        writer.write(bed.backend.answer)

    bed.backend.script = answer_late
    connection = await bed.pool.connection(bed.peer_address)
    stream = connection.open_stream(PendingReply())
    stream.send(call_start=call_start(remaining_ms=remaining_ms))
    await bed.wait(bed.backend.has_received_request)
    connection.close()
    await bed.wait(lambda: not bed.peers)
    is_lost.set()


async def open_numbered(bed, number):
    """Open a connection; return it with its accepted side numbered."""
    known = set(bed.peers)
    pool = PeerPool(bed.pool._identity, lambda *_: None)
    connection = await pool.connection(bed.peer_address)
    (accepted,) = bed.peers - known
    accepted.accept_number = number
    return connection


class TestOlderConnection:
    """Guards against calls that start after they were reported not run."""

    @pytest.mark.parametrize('is_repeatable', [True, False])
    async def test_call_is_refused_after_a_query(
        self, remote, is_repeatable
    ) -> None:
        older = await open_numbered(remote, 1)
        newer = await open_numbered(remote, 2)
        query, call = PendingReply(), PendingReply()
        newer.open_stream(query).send(
            outcome_query=messages.OutcomeQuery(b'b' * 16, 1, True, 200),
        )
        assert (await query.reply).outcome_reply.run_state == RunState.NOT_RUN
        older.open_stream(call).send(
            call_start=call_start(is_repeatable=is_repeatable),
        )
        refusal = (await call.reply).refusal
        assert refusal.code == 'attempt_forbidden'
        assert refusal.run_state == RunState.NOT_RUN
        assert not remote.backend.requests
        older.close()
        newer.close()


class TestCalls:
    """Guards against calls that corrupt exchanges with the backend server."""

    @pytest.mark.parametrize(
        'changed',
        [
            {'headers': [b'x', b'a\r\ny: b']},
            {'headers': [b'x\n', b'a']},
            {'headers': [b'x']},
            {'headers': [b'transfer-encoding', b'chunked']},
            {'headers': [b'content-length', b'-1']},
            {'method': b'GET / HTTP/1.1\r\n\r\nGET'},
            {'path': b'/ HTTP/1.1\r\nx: y'},
        ],
    )
    async def test_malformed(self, remote, changed) -> None:
        """The peer's connection is closed; nothing reaches the server."""
        connection = await remote.pool.connection(remote.peer_address)
        stream = connection.open_stream(PendingReply())
        stream.send(call_start=call_start(**changed))
        await remote.wait(lambda: connection.is_closed)
        assert not remote.backend.requests
        assert (await remote.ask(GET)).endswith(b'ok')

    @pytest.mark.parametrize('body', [b'ab', b'abcd'])
    async def test_other_length(self, remote, body: bytes) -> None:
        """A body of the wrong length closes only its backend connection."""
        connection = await remote.pool.connection(remote.peer_address)
        pending_reply = PendingReply()
        stream = connection.open_stream(pending_reply)
        stream.send(
            call_start=call_start(
                headers=[b'content-length', b'3'],
                body=body,
            ),
        )
        refusal = (await pending_reply.reply).refusal
        assert refusal.code == 'protocol_violation'
        assert refusal.run_state == RunState.UNKNOWN
        stream.close()
        assert (await remote.ask(GET)).endswith(b'ok')

    async def test_part_after_end(self, remote) -> None:
        """A body part after the last one closes the connection."""
        remote.backend.script = remote.backend.hang
        connection = await remote.pool.connection(remote.peer_address)
        stream = connection.open_stream(PendingReply())
        stream.send(call_start=call_start())
        stream.send(body_part=messages.BodyPart(b'more', True))
        await remote.wait(lambda: connection.is_closed)

    async def test_cancelled_at_once(self, remote) -> None:
        """A call cancelled at once leaves no resource in use."""
        connection = await remote.pool.connection(remote.peer_address)
        stream = connection.open_stream(PendingReply())
        stream.send(call_start=call_start())
        stream.send(cancel=messages.Cancel('not wanted'))
        stream.close()
        await remote.wait(lambda: bool(remote.peers))
        await remote.wait_idle()

    async def test_lost_with_answer(self, remote) -> None:
        """A complete answer that is never fetched does not occupy a slot."""
        await lose_connection(remote, remaining_ms=60_000)
        await remote.wait(lambda: not remote.admission.in_flight)
        assert not remote.backend_side.work_count
        assert remote.ledger.kept_bytes
        for served in tuple(remote.peer_server._served.values()):
            served.task.cancel()

    async def test_lost_with_failure(self, remote) -> None:
        """A call whose failure cannot be reported leaves no resource in use."""
        remote.backend.answer = b''
        await lose_connection(remote, remaining_ms=300)
        await remote.wait_idle()

    async def test_head_beyond_frame(self, remote, make_call) -> None:
        """A head too large for a frame is refused; the connection stays open."""
        await remote.ask(GET)
        call = make_call('edge-1', b'/')
        call.headers = [b'a', b''] * 40_000
        target = Target('yard-1', 'windows', 'n', remote.peer_address, 1, {})
        with pytest.raises(CornelbeamError) as failure:
            await PeerClient(remote.pool).call(target, call)
        assert failure.value.code is ErrorCode.HEAD_TOO_LARGE
        assert failure.value.run_state is RunState.NOT_RUN
        assert not remote.pool.connections()[0].is_closed


class TestHeldBodies:
    """Guards against calls that run without the body that is held back."""

    async def test_body_is_asked_for(self, remote) -> None:
        """A body that the caller side holds back arrives whole."""
        body = bytes(60_000)
        length = b'content-length: %d\r\n\r\n' % len(body)
        answer = await remote.ask(POST[:-2] + length, body)
        assert answer.endswith(b'ok')
        assert [each[1] for each in remote.backend.requests] == [body]

    async def test_full_queue_refuses_without_the_body(self, remote) -> None:
        """The sender gets no credit for a body that would be refused."""
        remote.admission.in_flight = remote.admission.limit
        remote.admission._queue_length = 4
        stream, pending_reply = await start_held(remote)
        refusal = (await pending_reply.reply).refusal
        assert refusal.code == 'overloaded'
        assert refusal.run_state == RunState.NOT_RUN
        assert stream._send_credit_bytes == 0
        stream.close()
        remote.admission._queue_length = 0
        remote.admission.in_flight = 0

    async def test_body_that_never_comes(self, remote) -> None:
        """The call ends at its deadline, without the backend server."""
        stream, pending_reply = await start_held(remote)
        refusal = (await pending_reply.reply).refusal
        assert refusal.code == 'deadline_passed'
        assert refusal.run_state == RunState.NOT_RUN
        stream.close()
        assert not remote.backend.requests

    async def test_lost(self, remote) -> None:
        """A call whose connection is lost before its body has not run."""
        stream, _ = await start_held(remote)
        await remote.wait(lambda: stream._send_credit_bytes > 0)
        stream.connection.close()
        await remote.wait(lambda: not remote.peers)
        await remote.wait_idle()
        state = remote.ledger.query(b'a' * 16, 1, 0)
        assert state is RunState.NOT_RUN
        assert not remote.backend.requests

    async def test_parts_that_arrive_while_connecting(
        self, remote, make_call
    ) -> None:
        """A body too long to be kept reaches an old daemon without a gap."""
        connection = await remote.pool.connection(remote.peer_address)
        connection.peer.has_body_grants = None
        arriving = BodyBuffer()
        call = make_call('edge-1', b'/')
        call.method = b'POST'
        call.body = RequestBody(arriving)
        arriving.feed(bytes(70_000))
        await call.body.buffer_all()
        arriving.feed(bytes(30_000))
        arriving.finish()
        target = Target('yard-1', 'windows', 'n', remote.peer_address, 1, {})
        answer = await PeerClient(remote.pool).call(target, call)
        answer.close()
        assert [len(each[1]) for each in remote.backend.requests] == [100_000]


async def start_held(bed):
    """Start a call with a body that is held back; return stream and reply."""
    connection = await bed.pool.connection(bed.peer_address)
    pending_reply = PendingReply()
    stream = connection.open_stream(pending_reply)
    stream.hold_body()
    stream.send(call_start=call_start(is_complete=False, is_body_held=True))
    return stream, pending_reply


class FakeTarget:
    """Daemon that answers each call with the given messages."""

    def __init__(self, bed, *answers: dict[str, object]) -> None:
        """Replace the backend side of a test bed."""
        self._answers = answers
        bed._accept_stream = self.accept

    def accept(self, stream, frame):
        """Answer a call; queries get no answer."""
        if frame.call_start is not None:
            for message in self._answers:
                stream.send(**message)
        return None


class TestAnswers:
    """Guards against malformed answers of daemons that reach callers."""

    @pytest.mark.parametrize(
        'start',
        [
            answer_start(headers=[b'x', b'a\r\n\r\nforged']),
            answer_start(headers=[b'x']),
            answer_start(headers=[b'transfer-encoding', b'chunked']),
            answer_start(headers=[b'content-length', b'abc']),
            answer_start(status=101),
            answer_start(status=-1),
        ],
    )
    async def test_malformed(self, remote, start) -> None:
        """The caller is told that the outcome is unknown."""
        FakeTarget(remote, {'answer_start': start})
        answer = await remote.ask(GET)
        assert answer.startswith(b'HTTP/1.1 502 '), answer
        assert b'cornelbeam-ran: unknown' in answer
        assert b'forged' not in answer

    @pytest.mark.parametrize(
        'parts',
        [
            [(b'bcdef', True)],
            [(b'b', True)],
            [(b'bc', True), (b'd', True)],
        ],
    )
    async def test_other_length(self, remote, parts) -> None:
        """Content beyond the announced length is not written."""
        start = answer_start(body=b'a', is_complete=False)
        FakeTarget(
            remote,
            {'answer_start': start},
            *({'body_part': messages.BodyPart(*part)} for part in parts),
        )
        answer = await remote.ask(GET)
        content = answer.partition(b'\r\n\r\n')[2]
        assert answer.startswith(b'HTTP/1.1 200 ') or b'502' in answer[:15]
        assert b'cornelbeam-code' in answer or len(content) <= 3

    async def test_injected_refusal(self, remote) -> None:
        """Step and peer of a refusal cannot add header fields."""
        refusal = messages.Refusal(
            'overloaded',
            int(RunState.NOT_RUN),
            0,
            'admission\r\nx-a: 1',
            'yard-1\r\n\r\nforged',
            LOAD,
            '',
        )
        FakeTarget(remote, {'refusal': refusal})
        answer = await remote.ask(GET)
        head = answer.partition(b'\r\n\r\n')[0]
        assert b'\r\nx-a' not in head
        assert b'\r\ncornelbeam-peer: yard-1????forged\r\n' in head


class TestFlow:
    """Guards against unbounded buffering of bodies between daemons."""

    async def test_slow_caller(self, remote) -> None:
        """The backend server's answer stops while the caller does not read."""
        written = []

        async def stream_answer(reader, writer) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
            while len(written) < 10_000:
                writer.write(bytes(10_000))
                written.append(1)
                await writer.drain()

        remote.backend.script = stream_answer
        _, writer = await remote.open()
        writer.write(GET)
        count = -1
        with anyio.fail_after(20):
            while count != len(written) or not written:
                count = len(written)
                await asyncio.sleep(0.1)
        assert len(written) < 5000
        writer.transport.abort()
