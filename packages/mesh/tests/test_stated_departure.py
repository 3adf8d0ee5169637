"""Targets that state in their answers that they are leaving."""

import msgspec
import pytest
from mesh_harness import wait_until

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'
REFUSED = 'HTTP/1.1 503 Service Unavailable'
LEAVING_FIELD = b'x-leaving: 1'


def state_departure(target) -> None:
    """Let a target state its departure in answers to requests only."""

    async def answer(writer, attempt) -> None:
        writer.write(target.whole(attempt, extra=(LEAVING_FIELD,)))

    target.script = answer


def forget_departure(node, **target_changes) -> None:
    """Replace the daemon's state by that of a new run without the news."""
    registration = node.sidecar.registration
    registration.entry = msgspec.structs.replace(
        registration.entry,
        sequence=1,
        is_draining=False,
        **target_changes,
    )


def announce_new_run(node, other) -> None:
    """Let a node learn of a new run of another daemon."""
    members = node.sidecar.state.members
    members.update(
        msgspec.structs.replace(
            members.get(other.name), target=other.sidecar.registration.entry
        )
    )


class TestGateOfTheTarget:
    """Guards against requests to a target that has said that it leaves."""

    async def test_answer_that_states_it_is_the_last(self, harness):
        near = await harness.add_node()
        far = await harness.add_node('south')
        state_departure(near.target)
        for _ in range(4):
            assert (await near.send_request())[0] == OK
        assert len(near.target.requests) == 1
        assert len(far.target.requests) == 3

    async def test_callers_elsewhere_are_bound_too(self, harness):
        near = await harness.add_node()
        far = await harness.add_node('south')
        state_departure(near.target)
        await near.send_request()
        far.send_heartbeat(is_draining=True)
        assert (await far.send_request())[0] == REFUSED
        assert len(near.target.requests) == 1

    async def test_health_answer_states_it(self, harness):
        node = await harness.add_node()
        node.target.state_in_health(LEAVING_FIELD, b'503 Leaving')
        await wait_until(lambda: not node.sidecar.admission.is_open())
        assert (await node.send_request())[0] == REFUSED
        assert not node.target.requests

    async def test_ready_heartbeat_does_not_bring_it_back(self, harness):
        node = await harness.add_node()
        state_departure(node.target)
        await node.send_request()
        node.send_heartbeat()
        assert (await node.send_request())[0] == REFUSED

    async def test_next_run_of_the_target_is_taken(self, harness):
        node = await harness.add_node()
        state_departure(node.target)
        await node.send_request()
        node.target.script = node.target.answer
        node.send_heartbeat(started_ms=2)
        assert (await node.send_request())[0] == OK


class TestDaemonThatPassedItOn:
    """Guards against a daemon that forgets what it has told its callers.

    The daemon beside the target has restarted, and nothing tells it.
    """

    async def test_departed_target_gets_nothing_more(self, harness):
        near = await harness.add_node()
        far = await harness.add_node('south')
        near.send_heartbeat(is_draining=True)
        state_departure(far.target)
        assert (await near.send_request())[0] == OK
        forget_departure(far)
        announce_new_run(near, far)
        assert (await near.send_request())[0] == REFUSED
        assert len(far.target.requests) == 1

    async def test_next_run_of_the_target_is_used(self, harness):
        near = await harness.add_node()
        far = await harness.add_node('south')
        near.send_heartbeat(is_draining=True)
        state_departure(far.target)
        await near.send_request()
        far.target.script = far.target.answer
        forget_departure(far, started_ms=2)
        announce_new_run(near, far)
        assert (await near.send_request())[0] == OK
