"""Requests that would outlast the grace period of a planned stop."""

import asyncio

import pytest
from cornelbeam_core.deadlines import StopDeadline
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_mesh import sidecar
from mesh_harness import wait_until

pytestmark = pytest.mark.anyio
# More than the target has slots.
CALL_COUNT = 12


@pytest.fixture
def short_grace(monkeypatch):
    """Answer the last request 0.4 s after the stop, and close 0.6 s later."""
    monkeypatch.setattr(sidecar, 'READINESS_FAILURE_S', 0.05)
    monkeypatch.setattr(sidecar, 'ANSWER_MARGIN_S', 4.6)
    monkeypatch.setattr(sidecar, 'STOP_MARGIN_S', 4.0)


def book(node, number) -> asyncio.Future:
    """Send a booking in the background."""
    return asyncio.ensure_future(
        node.send_request(
            '/book/1', 'POST', b'%d' % number, x_attempt=f'a{number}'
        )
    )


async def statuses(answers) -> list[str]:
    """Return the statuses of the answers."""
    return [(await each)[0].split()[1] for each in answers]


async def wait_until_busy(node) -> int:
    """Wait until all calls run or wait; return how many run."""
    gate = node.sidecar._gate
    await wait_until(lambda: node.sidecar.admission.work_count == CALL_COUNT)
    await wait_until(lambda: len(node.target.requests) == gate.running_count)
    return gate.running_count


@pytest.mark.usefixtures('short_grace')
class TestEndOfGrace:
    """Guards against requests that end without an answer."""

    async def test_request_in_work_is_answered(self, harness):
        node = await harness.add_node()
        node.target.script = node.target.hang
        answer = book(node, 1)
        await wait_until(lambda: node.target.requests)
        node.sidecar.stop()
        assert await statuses([answer]) == ['504']

    async def test_request_that_comes_late_is_answered(
        self, harness, monkeypatch
    ):
        monkeypatch.setattr(sidecar, 'READINESS_FAILURE_S', 0.3)
        node = await harness.add_node()
        far = await harness.add_node('south')
        far.target.script = far.target.hang
        node.sidecar.stop()
        await wait_until(lambda: node.sidecar._is_leaving)
        answer = book(node, 1)
        await wait_until(lambda: far.target.requests)
        assert int(far.target.requests[0][1][b'x-remaining']) <= 400
        assert await statuses([answer]) == ['504']

    async def test_waiting_requests_are_refused(self, harness):
        node = await harness.add_node()
        node.target.script = node.target.hang
        answers = [book(node, number) for number in range(CALL_COUNT)]
        running_count = await wait_until_busy(node)
        node.sidecar.stop()
        found = await statuses(answers)
        assert found.count('504') == running_count
        assert running_count < CALL_COUNT
        assert found.count('503') == CALL_COUNT - running_count
        assert len(node.target.requests) == running_count

    async def test_waiting_calls_of_peers_are_refused(self, harness):
        near = await harness.add_node()
        far = await harness.add_node('south')
        far.send_heartbeat(is_draining=True)
        near.target.script = near.target.hang
        answers = [book(far, number) for number in range(CALL_COUNT)]
        running_count = await wait_until_busy(near)
        near.sidecar.stop()
        found = await statuses(answers)
        assert running_count < CALL_COUNT
        assert found.count('503') == CALL_COUNT - running_count
        assert len(near.target.requests) == running_count


class TestStopDeadline:
    """Guards against taking what can't end before the daemon does."""

    def test_too_long_a_request_is_refused_as_not_run(self):
        stop = StopDeadline()
        stop.begin(10.0)
        stop.check(500, 9.0)
        with pytest.raises(CornelbeamError) as caught:
            stop.check(1500, 9.0)
        assert caught.value.code is ErrorCode.TARGET_LEAVING
        assert caught.value.run_state is RunState.NOT_RUN

    def test_without_a_stop_nothing_is_limited(self):
        stop = StopDeadline()
        stop.check(1_000_000, 1)
        assert stop.limit(5) == 5
