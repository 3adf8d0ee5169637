"""What callers are told after attempts that brought no answer."""

from types import SimpleNamespace

import anyio
import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.targets import Target
from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.bodies import BodyBuffer
from cornelbeam_daemon.caller_side import CallerSide
from cornelbeam_daemon.http_server import HttpRequest
from cornelbeam_daemon.metrics import Metrics
from cornelbeam_daemon.routing_table import RoutingTable
from cornelbeam_settings import LimitsSettings
from prometheus_client import CollectorRegistry


class Client:
    """Answers each attempt with the next of the given errors."""

    def __init__(self, errors, asked=RunState.UNKNOWN):
        self.errors = list(errors)
        self.asked = asked
        self.attempts = []

    async def call(self, target, call):
        self.attempts.append((target.name, call.attempt_id))
        raise self.errors.pop(0)

    async def ask_outcome(self, target, call):
        return self.asked, None


class Responder:
    """Keeps the head of the answer."""

    is_started = False

    def send_whole(self, status, headers, content):
        self.status = status
        self.headers = headers


def lost():
    return CornelbeamError(
        ErrorCode.PEER_UNREACHABLE,
        'peer connection',
        run_state=RunState.UNKNOWN,
    )


def refused():
    return CornelbeamError(ErrorCode.OVERLOADED, 'admission')


def send(method, client):
    """Send one request through a caller side with two remote targets."""

    async def body():
        table = RoutingTable('edge-1', 'north')
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
        )
        request = HttpRequest(BodyBuffer())
        request.body.finish()
        request.method = method
        request.target = b'/x'
        request.headers = [b'host', b'bookings']
        responder = Responder()
        await side.handle(request, responder)
        return fields.find(responder.headers, b'cornelbeam-ran')

    return anyio.run(body)


class TestRunState:
    """Guards against "not run" for a request that may have run (I5)."""

    def test_refusal_after_an_unclear_attempt_is_unknown(self):
        client = Client([lost(), refused(), refused()])
        assert send(b'GET', client) == b'unknown'
        assert len(client.attempts) > 1

    @pytest.mark.parametrize('method', [b'GET', b'POST'])
    def test_refusals_alone_are_not_run(self, method):
        client = Client([refused(), refused(), refused()])
        assert send(method, client) == b'no'


class TestAtMostOnce:
    """Guards against a second run of what must not repeat (I6)."""

    @pytest.mark.parametrize(
        'asked',
        [RunState.UNKNOWN, RunState.RUNNING, RunState.RAN],
    )
    def test_no_second_attempt_without_evidence(self, asked):
        client = Client([lost()], asked)
        assert send(b'POST', client) in {b'unknown', b'yes'}
        assert len(client.attempts) == 1

    def test_second_attempt_after_evidence_has_its_own_identifier(self):
        client = Client([lost(), refused(), refused()], RunState.NOT_RUN)
        assert send(b'POST', client) == b'no'
        names = {name for name, _ in client.attempts}
        identifiers = {attempt_id for _, attempt_id in client.attempts}
        assert len(names) == 2
        assert len(identifiers) == len(client.attempts)
