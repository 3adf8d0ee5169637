"""Requests that crash the targets which run them."""

import asyncio
import contextlib
import operator
from functools import partial

import pytest
from mesh_harness import wait_until

pytestmark = pytest.mark.anyio
DEADLY = '/read/deadly'
DEADLY_BOOKING = '/book/deadly'
BESIDE = '/read/beside'
OK = 'HTTP/1.1 200 OK'
REFUSED = 'HTTP/1.1 503 Service Unavailable'
# What operators tolerate until all daemons must know.
MAX_CRASH_COUNT = 3


def crash_on_deadly(node) -> None:
    """Let the target of a node crash when it gets the deadly request.

    It listens again after a moment, as a restarted target does.
    """
    target = node.target

    async def answer(writer, attempt) -> None:
        if '/deadly' in target.requests[-1][0]:
            await target.crash()
            return
        await target.answer(writer, attempt)

    target.script = answer


def deadly_count(nodes) -> int:
    """Count the arrivals of the deadly request at all targets."""
    return sum(
        '/deadly' in line
        for node in nodes
        for line, _, _ in node.target.requests
    )


async def restart_targets(nodes) -> None:
    """Start the targets that have crashed, and wait until they are used.

    Targets need longer for a restart than daemons to notice the crash.
    """
    for node in nodes:
        crashes = node.sidecar.admission.crashes
        await wait_until(partial(operator.not_, crashes._tasks))
        if not node.target.is_listening:
            await node.target.start()
        await wait_until(node.sidecar.admission.is_open)


async def add_nodes(harness):
    """Start three nodes whose targets crash on the deadly request."""
    nodes = []
    for domain in ('north', 'south', 'west'):
        node = await harness.add_node(domain)
        crash_on_deadly(node)
        nodes.append(node)
    return nodes


async def teach_deadly(
    nodes, path=DEADLY, method='GET', body=b'', **fields
) -> None:
    """Send a deadly request until it crashes no more targets."""
    for node in nodes * 2:
        await node.send_request(path, method, body, **fields)
        await restart_targets(nodes)


@contextlib.asynccontextmanager
async def send_in_background(node, path):
    """Send a request and leave its answer, if any, unread meanwhile."""
    request = asyncio.ensure_future(node.send_request(path))
    yield
    await request


async def crash_beside(node) -> None:
    """Crash a target by the deadly request while it runs another one."""
    target = node.target
    target.is_hanging.clear()

    target.script = target.hang
    async with send_in_background(node, BESIDE):
        await target.is_hanging.wait()
        crash_on_deadly(node)
        await node.send_request(DEADLY)


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


class TestDeadlyRequest:
    """Guards against a request that crashes target after target."""

    async def test_it_reaches_no_fourth_target(self, harness):
        """It comes again at all daemons while targets restart."""
        nodes = await add_nodes(harness)
        for round_number in range(3):
            for node in nodes:
                await node.send_request(DEADLY, x_attempt=f'a{round_number}')
                await restart_targets(nodes)
        assert deadly_count(nodes) <= MAX_CRASH_COUNT

    async def test_it_is_refused_as_not_run(self, harness):
        nodes = await add_nodes(harness)
        await teach_deadly(nodes)
        for node in nodes:
            status, fields, _ = await node.send_request(DEADLY)
            assert status == REFUSED
            assert float(fields[b'retry-after']) > 1

    async def test_booking_that_crashes_targets_is_known_too(self, harness):
        nodes = await add_nodes(harness)
        for node in nodes * 3:
            await node.send_request(DEADLY_BOOKING, 'POST', b'sand')
            await restart_targets(nodes)
        assert deadly_count(nodes) <= MAX_CRASH_COUNT

    async def test_restarted_daemon_learns_of_it_from_its_peers(self, harness):
        nodes = await add_nodes(harness)
        await teach_deadly(nodes)
        reached_count = deadly_count(nodes)
        late = await harness.add_node('south')
        crash_on_deadly(late)
        for draining in nodes:
            draining.send_heartbeat(is_draining=True)
        await wait_until(lambda: not any(map(late.knows, nodes)))
        assert (await late.send_request(DEADLY))[0] == REFUSED
        assert deadly_count([*nodes, late]) == reached_count


class TestInnocentRequests:
    """Guards against refusing requests that have crashed nothing."""

    async def test_other_requests_on_the_route_are_served(self, harness):
        nodes = await add_nodes(harness)
        await teach_deadly(nodes)
        for node in nodes:
            assert (await node.send_request('/read/1'))[0] == OK

    async def test_same_path_with_another_body_is_served(self, harness):
        nodes = await add_nodes(harness)
        await teach_deadly(nodes, DEADLY_BOOKING, 'POST', b'sand')
        for node in nodes:
            node.target.script = node.target.answer
            status, _, _ = await node.send_request(
                DEADLY_BOOKING, 'POST', b'gravel'
            )
            assert status == OK

    async def test_same_request_of_another_caller_is_served(self, harness):
        nodes = await add_nodes(harness)
        await teach_deadly(nodes, authorization='one')
        for node in nodes:
            node.target.script = node.target.answer
            status, _, _ = await node.send_request(
                DEADLY, authorization='other'
            )
            assert status == OK

    async def test_request_beside_the_deadly_one_is_served_again(self, harness):
        """It runs on the same targets whenever they crash."""
        nodes = await add_nodes(harness)
        for crashing in nodes[:2]:
            await crash_beside(crashing)
            await restart_targets(nodes)
        for node in nodes:
            node.target.script = node.target.answer
            assert (await node.send_request(BESIDE))[0] == OK

    async def test_request_that_ran_in_two_plain_crashes_is_served(
        self, harness
    ):
        """Its targets crash for reasons of their own."""
        nodes = await add_nodes(harness)
        for crashing in nodes[:2]:
            crashing.target.script = crashing.target.hang
            async with send_in_background(crashing, BESIDE):
                await crashing.target.is_hanging.wait()
                crash_on_deadly(crashing)
                await crashing.target.crash()
            await restart_targets(nodes)
        for node in nodes:
            node.target.script = node.target.answer
            assert (await node.send_request(BESIDE))[0] == OK
