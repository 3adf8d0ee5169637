"""Bodies of requests that a target may refuse, and what daemons send then."""

import asyncio

import pytest
from cornelbeam_core.errors import RunState
from cornelbeam_core.host_speed import HostSpeed
from cornelbeam_core.routes import RequestKind
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_wire import Stream
from cornelbeam_wire.identity import Handshake
from fake_target import read_message
from mesh_harness import configuration, head, route, wait_until

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'
BODY = bytes(range(250)) * 800
CHUNK_BYTES = 30_000
# Heads, refusals and pings fit into this many bytes.
MAX_REFUSAL_BYTES = 16_384
HASTY = route(
    'hasty',
    RequestKind.NON_IDEMPOTENT,
    objective_ms=40,
)


class Fleet:
    """A daemon whose own target drains, and the targets of two others."""

    def __init__(self, near, far) -> None:
        """Send requests through ``near``."""
        self.near = near
        self.far = far

    def gates(self):
        """Return the gates of the far targets."""
        return [node.sidecar.admission._gate for node in self.far]

    def fill_gates(self) -> None:
        """Occupy all slots of the far targets."""
        for gate in self.gates():
            gate.running_count = gate.slot_count

    def free_gates(self) -> None:
        """Free the slots again."""
        for node in self.far:
            node.sidecar.admission._gate.running_count = 0
            node.sidecar.admission.reevaluate_waiting()

    def connections(self):
        """Return the connections that carry the requests."""
        return self.near.sidecar._pool.connections()

    def exchanged_bytes(self) -> int:
        """Count what has crossed the connections that carry requests."""
        return sum(
            each.sent_bytes + each.received_bytes for each in self.connections()
        )

    def received(self):
        """Return the requests that the far targets have received."""
        return [each for node in self.far for each in node.target.requests]

    def run_states(self):
        """Return the run states in the ledgers of the far daemons."""
        return [
            entry.run_state
            for node in self.far
            for entry in node.sidecar.admission.ledger._entries.values()
        ]

    def shed_first(self) -> None:
        """Let the target that gets the first request refuse it."""
        for node in self.far:
            node.target.script = self._make_shed(node.target)

    def _make_shed(self, target):
        async def shed(writer, attempt):
            is_first = len(self.received()) == 1
            script = target.shed if is_first else target.answer
            await script(writer, attempt)

        return shed


class HeldQuestion:
    """Measurement of the speed that lasts until it is released.

    The gates wait for it before they decide on a call.
    """

    def __init__(self, fleet) -> None:
        """Hold the measurements of all gates."""
        self.is_asked = asyncio.Event()
        self.is_released = asyncio.Event()
        for node in fleet.far:
            node.sidecar.admission.measure_speed = self._wait

    async def _wait(self) -> None:
        self.is_asked.set()
        await self.is_released.wait()


class CountingBudget:
    """Retry budget that allows all repeats and counts them."""

    def __init__(self) -> None:
        """Start at zero."""
        self.request_count = 0
        self.repeat_count = 0

    def note_request(self, now_s) -> None:
        """Count a request."""
        self.request_count += 1

    def try_repeat(self, now_s) -> bool:
        """Count a repeat."""
        self.repeat_count += 1
        return True


@pytest.fixture
def old_peers(monkeypatch) -> None:
    """Let all daemons be of a version that never asks for a body."""
    make_hello = Handshake._make_hello

    def make_old_hello(handshake, proof):
        hello = make_hello(handshake, proof)
        hello.has_body_grants = None
        return hello

    def refuse_to_hold(stream):
        raise AssertionError('a body was held back from an old peer')

    monkeypatch.setattr(Handshake, '_make_hello', make_old_hello)
    monkeypatch.setattr(Stream, 'hold_body', refuse_to_hold)


@pytest.fixture
async def fleet(harness):
    """Yield a fleet whose connections between daemons are open."""
    harness.store.put(
        SharedKind.CONFIGURATION, 'main', configuration(2, (HASTY,))
    )
    near = await harness.add_node()
    far = [await harness.add_node('south') for _ in range(2)]
    near.send_heartbeat(is_draining=True)
    table = near.sidecar.state
    await wait_until(lambda: table.route_table.version == 2)
    for node in far:
        await near.sidecar._pool.connection(node.addresses['peers'])
    return Fleet(near, far)


class TestRefusedBodies:
    """Guards against refusals that cost a link the transfer of a body."""

    async def test_refused_body_does_not_cross_the_link(self, fleet):
        fleet.fill_gates()
        before_bytes = fleet.exchanged_bytes()
        status, _, _ = await fleet.near.send_request('/hasty/1', 'POST', BODY)
        assert status.startswith('HTTP/1.1 503')
        assert fleet.exchanged_bytes() - before_bytes < MAX_REFUSAL_BYTES

    async def test_refused_attempts_have_not_run(self, fleet):
        fleet.fill_gates()
        await fleet.near.send_request('/hasty/1', 'POST', BODY)
        assert set(fleet.run_states()) == {RunState.NOT_RUN}
        assert not fleet.received()

    async def test_body_goes_to_the_target_with_a_slot(self, fleet):
        fleet.fill_gates()
        fleet.gates()[1].running_count = 0
        before_bytes = fleet.exchanged_bytes()
        status, _, _ = await fleet.near.send_request('/hasty/1', 'POST', BODY)
        assert status == OK
        assert [each[2] for each in fleet.received()] == [BODY]
        sent_bytes = fleet.exchanged_bytes() - before_bytes
        assert sent_bytes < len(BODY) + MAX_REFUSAL_BYTES


class TestAcceptedBodies:
    """Guards against bodies that arrive cut, late or never."""

    async def test_body_with_a_length_arrives_whole(self, fleet):
        status, _, _ = await fleet.near.send_request('/book/1', 'POST', BODY)
        assert status == OK
        assert [each[2] for each in fleet.received()] == [BODY]

    async def test_chunked_body_arrives_whole(self, fleet):
        reader, writer = await asyncio.open_connection(
            *fleet.near.addresses['callers'].split(':'),
        )
        sent = head('/book/1', 'POST', transfer_encoding='chunked')
        writer.write(sent.replace(b'content-length: 0\r\n', b''))
        for start in range(0, len(BODY), CHUNK_BYTES):
            chunk = BODY[start : start + CHUNK_BYTES]
            writer.write(b'%x\r\n%b\r\n' % (len(chunk), chunk))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        assert (await read_message(reader))[0] == OK
        assert [each[2] for each in fleet.received()] == [BODY]
        writer.close()

    async def test_call_in_the_queue_gets_the_next_slot(self, fleet):
        fleet.fill_gates()
        request = asyncio.ensure_future(
            fleet.near.send_request('/book/1', 'POST', BODY)
        )
        await wait_until(
            lambda: any(gate.waiting_count for gate in fleet.gates())
        )
        fleet.free_gates()
        assert (await request)[0] == OK
        assert [each[2] for each in fleet.received()] == [BODY]

    async def test_daemon_of_an_old_version_gets_the_body_unasked(
        self, old_peers, fleet
    ):
        status, _, _ = await fleet.near.send_request('/book/1', 'POST', BODY)
        assert status == OK
        assert [each[2] for each in fleet.received()] == [BODY]

    async def test_small_body_is_not_held_back(self, fleet, monkeypatch):
        monkeypatch.delattr(Stream, 'hold_body')
        status, _, _ = await fleet.near.send_request('/book/1', 'POST', b'sand')
        assert status == OK
        assert [each[2] for each in fleet.received()] == [b'sand']

    async def test_repeat_is_charged_once(self, fleet):
        budget = CountingBudget()
        for node in fleet.far:
            node.sidecar.admission._retry_budget = budget
        fleet.shed_first()
        status, _, _ = await fleet.near.send_request('/book/1', 'POST', BODY)
        assert status == OK
        assert (budget.request_count, budget.repeat_count) == (1, 1)


class TestInterruptedBodies:
    """Guards against wrong run states when a body is not or partly sent."""

    async def test_lost_before_the_body_runs_elsewhere(
        self, fleet, monkeypatch
    ):
        monkeypatch.setattr(HostSpeed, 'is_fresh', lambda speed, now_s: False)
        question = HeldQuestion(fleet)
        request = asyncio.ensure_future(
            fleet.near.send_request('/book/1', 'POST', BODY)
        )
        await question.is_asked.wait()
        for each in fleet.connections():
            each.close()
        question.is_released.set()
        assert (await request)[0] == OK
        assert [each[2] for each in fleet.received()] == [BODY]
        states = set(fleet.run_states())
        assert states == {RunState.NOT_RUN, RunState.RAN}

    async def test_lost_after_the_body_is_not_repeated(self, fleet):
        for node in fleet.far:
            node.target.script = node.target.hang
        request = asyncio.ensure_future(
            fleet.near.send_request('/book/1', 'POST', BODY)
        )
        await wait_until(fleet.received)
        for each in fleet.connections():
            each.close()
        assert (await request)[0].startswith('HTTP/1.1 502')
        assert len(fleet.received()) == 1

    async def test_caller_that_leaves_frees_the_held_call(
        self, fleet, monkeypatch
    ):
        monkeypatch.setattr(HostSpeed, 'is_fresh', lambda speed, now_s: False)
        question = HeldQuestion(fleet)
        _, writer = await asyncio.open_connection(
            *fleet.near.addresses['callers'].split(':'),
        )
        writer.write(head('/book/1', 'POST', BODY) + BODY)
        await question.is_asked.wait()
        writer.close()
        await wait_until(lambda: fleet.run_states() == [RunState.NOT_RUN])
        question.is_released.set()
        await wait_until(
            lambda: not any(each.open_count for each in fleet.connections())
        )
        assert not fleet.received()
