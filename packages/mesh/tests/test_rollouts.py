"""Rollouts carried out by sidecars in one process."""

import asyncio

import pytest
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_mesh import rollout_owner
from mesh_harness import wait_until
from rollout_fleet import NEW, SPEED, RolloutFleet

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'
# Of an order of 9 s; each ends a watch of every daemon.
MAX_WRITE_COUNT = 12


@pytest.fixture
async def fleet(harness, monkeypatch):
    """Yield a fleet whose orders run by a faster clock."""
    monkeypatch.setattr(rollout_owner, 'TICK_S', 0.5 / SPEED)
    return RolloutFleet(harness)


class TestGoodVersion:
    """Guards against an order that doesn't complete, or interrupts callers."""

    async def test_order_is_completed(self, fleet):
        await fleet.start()
        async with fleet.traffic():
            await wait_until(lambda: len(fleet.answers) > 20)
            fleet.order()
            await fleet.until('completed', 'rolled_back')
            in_flight = [
                node.sidecar.admission.rollouts.in_flight_count
                for node in fleet.old
            ]
            old_count = fleet.received(fleet.old)
            answer_count = len(fleet.answers)
            await wait_until(lambda: len(fleet.answers) > answer_count + 30)
        assert fleet.statuses_written() == ['running', 'completed']
        assert in_flight == [0, 0, 0]
        assert fleet.received(fleet.old) == old_count
        assert set(fleet.answers) == {OK}
        assert len(fleet.harness.store.written) <= MAX_WRITE_COUNT

    async def test_order_without_traffic_is_completed(self, fleet):
        await fleet.start(2, 2)
        fleet.order()
        await fleet.until('completed', 'rolled_back')
        assert fleet.state == 'completed'

    async def test_answer_in_transfer_is_waited_for(self, fleet):
        await fleet.start(1, 1)
        old = fleet.old[0]
        old.target.script = old.target.hang
        request = asyncio.create_task(old.send_request())
        await old.target.is_hanging.wait()
        fleet.order()
        gate = old.sidecar.admission.rollouts
        await wait_until(lambda: fleet.stored_step() is not None)
        await wait_until(lambda: fleet.stored_step().share == 1)
        assert gate.in_flight_count == 1
        await fleet.until('completed', 'rolled_back')
        assert gate.in_flight_count == 0
        await request


class TestBadVersion:
    """Guards against a bad version that gets more than it may."""

    async def test_failing_version_is_rolled_back(self, fleet):
        await fleet.start()
        for node in fleet.new:
            node.target.script = node.target.fail
        async with fleet.traffic():
            fleet.order()
            await fleet.until('completed', 'rolled_back')
            new_count = fleet.received(fleet.new)
            answer_count = len(fleet.answers)
            await wait_until(lambda: len(fleet.answers) > answer_count + 30)
        assert fleet.statuses_written() == ['running', 'rolled_back']
        assert fleet.received(fleet.new) == new_count
        total_count = fleet.received(fleet.old) + new_count
        assert new_count <= 0.1 * total_count + 50

    async def test_late_failures_roll_back(self, fleet):
        await fleet.start()
        async with fleet.traffic():
            fleet.order()
            await wait_until(lambda: fleet.received(fleet.new) > 10)
            for node in fleet.new:
                node.target.script = node.target.fail
            await fleet.until('completed', 'rolled_back')
        assert fleet.state == 'rolled_back'

    async def test_version_that_refuses_everything_is_limited(self, fleet):
        await fleet.start()
        for node in fleet.new:
            node.target.script = node.target.shed
        async with fleet.traffic():
            fleet.order(duration_s=30)
            await wait_until(lambda: len(fleet.answers) > 300)
            total_count = fleet.received(fleet.old + fleet.new)
            assert fleet.received(fleet.new) <= 0.1 * total_count + 50
        assert set(fleet.answers) == {OK}


class TestMetrics:
    """Guards against a rollout that operators can't follow."""

    async def test_share_and_failures_are_exported(self, fleet):
        await fleet.start(1, 1)
        new = fleet.new[0]
        new.target.script = new.target.fail
        assert 'rollout' not in new.sidecar.metrics.render().decode()
        async with fleet.traffic():
            fleet.order()
            await fleet.until('completed', 'rolled_back')
        text = new.sidecar.metrics.render().decode()
        labels = '{service="windows",version="v2"}'
        assert f'cornelbeam_rollout_share{labels} 0.0' in text
        count = new.sidecar.admission.rollouts.request_count
        assert f'cornelbeam_rollout_failures{labels} {count:.1f}' in text


class TestOtherDeployments:
    """Guards against calls and messages where there are no rollouts."""

    async def test_nothing_is_watched_without_the_bound(self, harness):
        fleet = RolloutFleet(harness)
        harness.bounds = {}
        await fleet.start(1, 1)
        kinds = fleet.old[0].sidecar.store_sync._watched
        assert set(kinds) == {SharedKind.CONFIGURATION, SharedKind.EVACUATION}
        assert fleet.old[0].sidecar._rollout_owner is None

    async def test_all_versions_serve_without_an_order(self, fleet):
        await fleet.start(1, 1)
        async with fleet.traffic([fleet.new[0]]):
            await wait_until(lambda: fleet.received(fleet.new))
        async with fleet.traffic([fleet.old[0]]):
            await wait_until(lambda: fleet.received(fleet.old))
        assert not fleet.harness.store.written

    async def test_new_version_gets_nothing_before_the_first_step(self, fleet):
        await fleet.start(1, 1)
        fleet.harness.store.write_delay_s = 3600
        fleet.order(NEW)
        new = fleet.new[0]
        await wait_until(
            lambda: new.sidecar.state.rollouts.get(new.service) is not None
        )
        received_count = fleet.received(fleet.new)
        for _ in range(10):
            assert (await new.send_request())[0] == OK
        assert fleet.received(fleet.new) == received_count
