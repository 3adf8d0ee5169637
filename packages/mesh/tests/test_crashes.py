"""Requests that crash the targets which run them."""

import pytest
from mesh_harness import wait_until

pytestmark = pytest.mark.anyio
DEADLY = '/read/deadly'
OK = 'HTTP/1.1 200 OK'


def crash_on_deadly(node) -> None:
    """Let the target of a node crash when it gets the deadly request.

    It listens again after a moment, as a restarted target does.
    """
    target = node.target

    async def answer(writer, attempt) -> None:
        if DEADLY in target.requests[-1][0]:
            target.stop()
            return
        await target.answer(writer, attempt)

    target.script = answer


def deadly_count(nodes) -> int:
    """Count the arrivals of the deadly request at all targets."""
    return sum(
        DEADLY in line for node in nodes for line, _, _ in node.target.requests
    )


async def restart_targets(nodes) -> None:
    """Start the targets that have crashed, and wait until they are used."""
    for node in nodes:
        if not node.target.is_listening:
            await node.target.start()
        await wait_until(node.sidecar.admission.is_open)


class TestCrashDetector:
    """Guards against crashes that are taken for single bad answers."""

    async def test_crash_names_the_running_requests(self, harness):
        node = await harness.add_node()
        found = []
        node.sidecar.admission.crashes.on_crash = found.append
        crash_on_deadly(node)
        await node.send_request(DEADLY, x_attempt='a7')
        await wait_until(lambda: found)
        assert [call.request_id for call in found[0]] == ['a7']

    async def test_answer_that_breaks_off_is_no_crash(self, harness):
        node = await harness.add_node()
        found = []
        crashes = node.sidecar.admission.crashes
        crashes.on_crash = found.append
        node.target.script = node.target.drop
        await node.send_request()
        await wait_until(lambda: not crashes._tasks)
        assert not found
