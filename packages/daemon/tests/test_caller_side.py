"""Tests of what the caller side reports after failed attempts."""

from collections import Counter
from types import SimpleNamespace

import anyio
import pytest
from cornelbeam_core.configuration import ConfigObject
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.targets import LoadReport, Target
from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.bodies import REPLAY_LIMIT_BYTES, BodyBuffer
from cornelbeam_daemon.caller_side import CallerSide
from cornelbeam_daemon.calls import Answer
from cornelbeam_daemon.http_message import HttpRequest
from cornelbeam_daemon.metrics import Metrics
from cornelbeam_daemon.quarantine_sync import QuarantineSync
from cornelbeam_daemon.routing_table import RoutingTable
from cornelbeam_settings import LimitsSettings
from prometheus_client import CollectorRegistry


class FailingClient:
    """Peer client that fails each attempt with the next given error.

    Outcome queries return ``queried_run_state``.
    """

    def __init__(self, errors, queried_run_state=RunState.UNKNOWN):
        self.errors = list(errors)
        self.queried_run_state = queried_run_state
        self.attempts = []

    async def call(self, target, call):
        self.attempts.append((target.name, call.attempt_id))
        raise self.errors.pop(0)

    async def ask_outcome(self, target, call):
        return self.queried_run_state, None


class LeavingClient:
    """Peer client with one target that is leaving and one that answers."""

    def __init__(self):
        self.calls = Counter()

    async def call(self, target, call):
        self.calls[target.name] += 1
        if target.name == 'bookings-2':
            body = BodyBuffer()
            body.finish()
            return Answer(200, [], body, None, bool)
        error = CornelbeamError(ErrorCode.TARGET_LEAVING, 'admission')
        error.load = LoadReport(1, 2, 0, 0, is_leaving=True)
        raise error


class FailingFastClient:
    """Peer client with targets that answer 503 at once and 200 later."""

    def __init__(self):
        self.calls = Counter()

    async def call(self, target, call):
        self.calls[target.name] += 1
        is_failing = target.name == 'bookings-1'
        if not is_failing:
            await anyio.sleep(0)
        body = BodyBuffer()
        body.finish()
        return Answer(503 if is_failing else 200, [], body, None, bool)


class ReadingClient:
    """Peer client that refuses the first call after ``read_count`` parts.

    Later calls read the whole body and are answered.
    """

    def __init__(self, read_count):
        self.read_count = read_count
        self.names = []
        self.bodies = []

    async def call(self, target, call):
        self.names.append(target.name)
        reader = call.body.reader()
        if len(self.names) == 1:
            for _ in range(self.read_count):
                await reader.read()
            raise CornelbeamError(ErrorCode.TARGET_LEAVING, 'admission')
        content, part = b'', await reader.read()
        while part:
            content += part
            part = await reader.read()
        self.bodies.append(content)
        body = BodyBuffer()
        body.finish()
        return Answer(200, [], body, None, bool)


class RecordingResponder:
    """Responder that records the head of the answer."""

    is_started = False

    def send_whole(self, status, headers, content):
        self.status = status
        self.headers = headers


def connection_lost():
    return CornelbeamError(
        ErrorCode.PEER_UNREACHABLE,
        'peer connection',
        run_state=RunState.UNKNOWN,
    )


def overloaded():
    return CornelbeamError(ErrorCode.OVERLOADED, 'admission')


def send(method, client, count=1, objects=(), body_parts=()):
    """Send requests through a caller side with two remote targets.

    Return the status and the reported run state of each. Each part of a body
    arrives once the one before it has been read.
    """

    async def body():
        table = RoutingTable('edge-1', 'north')
        table.apply_configuration(objects)
        table.mark_synced()
        table.replace_targets(
            'bookings',
            [
                Target(name, 'bookings', 'north', '127.0.0.1:1', 1, {})
                for name in ('bookings-1', 'bookings-2')
            ],
        )
        side = CallerSide(
            'edge-1',
            table,
            client,
            SimpleNamespace(has_room=bool),
            LimitsSettings(),
            'power_of_two',
            Metrics(CollectorRegistry()),
            QuarantineSync(
                'edge-1', lambda calls: (), None, lambda work: None, None
            ),
        )
        return [await send_one(side, method, body_parts) for _ in range(count)]

    return anyio.run(body)


async def send_one(side, method, body_parts=()):
    """Send a request with the given parts of a body."""
    left = list(body_parts)

    def feed_next(size_bytes=0):
        if left:
            request.body.feed(left.pop(0))
        elif not request.body.is_complete:
            request.body.finish()

    request = HttpRequest(BodyBuffer(feed_next))
    feed_next()
    request.method = method
    request.target = b'/x'
    request.headers = [b'host', b'bookings']
    responder = RecordingResponder()
    await side.handle(request, responder)
    ran = fields.find(responder.headers, b'cornelbeam-ran')
    return responder.status, ran


def reported_run_state(method, client):
    """Return the run state that is reported to the caller of one request."""
    return send(method, client)[0][1]


class TestRunState:
    """Guards against reporting "not run" if the request may have run (I5)."""

    def test_refusal_after_an_unclear_attempt_is_unknown(self):
        client = FailingClient([connection_lost(), overloaded(), overloaded()])
        assert reported_run_state(b'GET', client) == b'unknown'
        assert len(client.attempts) > 1

    @pytest.mark.parametrize('method', [b'GET', b'POST'])
    def test_refusals_alone_are_not_run(self, method):
        client = FailingClient([overloaded(), overloaded(), overloaded()])
        assert reported_run_state(method, client) == b'no'


class TestAtMostOnce:
    """Guards against a second run of a non-repeatable request (I6)."""

    @pytest.mark.parametrize(
        'queried_run_state',
        [RunState.UNKNOWN, RunState.RUNNING, RunState.RAN],
    )
    def test_no_second_attempt_without_evidence(self, queried_run_state):
        client = FailingClient([connection_lost()], queried_run_state)
        assert reported_run_state(b'POST', client) in {b'unknown', b'yes'}
        assert len(client.attempts) == 1

    def test_second_attempt_after_evidence_has_its_own_identifier(self):
        client = FailingClient(
            [connection_lost(), overloaded(), overloaded()], RunState.NOT_RUN
        )
        assert reported_run_state(b'POST', client) == b'no'
        names = {name for name, _ in client.attempts}
        identifiers = {attempt_id for _, attempt_id in client.attempts}
        assert len(names) == 2
        assert len(identifiers) == len(client.attempts)


class TestFailingFast:
    """Guards against a server that attracts most calls by failing fast."""

    def test_reads_are_retried_and_the_target_is_left_out(self):
        client = FailingFastClient()
        answers = send(b'GET', client, 200)
        assert {status for status, _ in answers} == {200}
        assert client.calls['bookings-1'] < 30

    def test_its_refusal_of_a_booking_is_passed_on(self):
        client = FailingFastClient()
        answers = send(b'POST', client, 200)
        assert sum(client.calls.values()) == len(answers)
        assert client.calls['bookings-1'] < 30

    def test_refusal_of_the_only_eligible_target_is_passed_on(self):
        labels = b'{"labels": {"tier": "gold"}}'
        wanted = b'{"target_labels": {"tier": ["gold"]}}'
        objects = (
            ConfigObject('labels', 'bookings-1', 1, 1, False, labels),
            ConfigObject('selector', 'gold', 1, 2, False, wanted),
        )
        client = FailingFastClient()
        answers = send(b'GET', client, 1, objects)
        # The answer is forwarded; only refusals of the daemon have a run state.
        assert answers == [(503, None)]
        assert client.calls == {'bookings-1': 1}


class TestLeaving:
    """Guards against spending the retry budget on a leaving target."""

    @pytest.mark.parametrize('method', [b'GET', b'POST'])
    def test_one_refusal_is_enough(self, method):
        client = LeavingClient()
        answers = send(method, client, 100)
        assert {status for status, _ in answers} == {200}
        # The report is valid for 2 s, which the test may exceed under load.
        assert client.calls['bookings-1'] < 10


class TestRefusedBody:
    """Guards against a second attempt with a hole in the body, and none."""

    PARTS = (bytes(REPLAY_LIMIT_BYTES), b'one too many', b'rest', b'end')

    @pytest.mark.parametrize('method', [b'PUT', b'POST'])
    def test_long_body_that_is_kept_goes_to_the_other_target(self, method):
        client = ReadingClient(read_count=1)
        answers = send(method, client, 1, (), self.PARTS)
        assert answers == [(200, None)]
        assert len(set(client.names)) == 2
        assert client.bodies == [b''.join(self.PARTS)]

    @pytest.mark.parametrize('method', [b'PUT', b'POST'])
    def test_body_with_a_dropped_part_is_refused_as_not_run(self, method):
        client = ReadingClient(read_count=len(self.PARTS))
        answers = send(method, client, 1, (), self.PARTS)
        assert answers == [(503, b'no')]
        assert len(client.names) == 1
        assert not client.bodies
