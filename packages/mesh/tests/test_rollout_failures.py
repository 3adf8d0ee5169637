"""Failures of the store, of owners and of targets while an order runs."""

import asyncio

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.rollout_orders import Phase
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_mesh import rollout_owner
from mesh_harness import SERVICE, Lifetime, wait_until
from rollout_fleet import SPEED, RolloutFleet

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'
ENDED = ('completed', 'rolled_back')


@pytest.fixture
async def fleet(harness, monkeypatch):
    """Yield a fleet whose orders run by a faster clock."""
    monkeypatch.setattr(rollout_owner, 'TICK_S', 0.5 / SPEED)
    return RolloutFleet(harness)


async def start_mortal(fleet, old_count=2, new_count=2) -> dict[str, Lifetime]:
    """Start nodes that can be killed; return their lifetimes by name."""
    lifetimes = {}
    add_node = fleet.harness.add_node

    async def add_mortal(domain, **options):
        lifetime = Lifetime(fleet.harness.group)
        node = await add_node(domain, group=lifetime, **options)
        lifetimes[node.name] = lifetime
        return node

    fleet.harness.add_node = add_mortal
    await fleet.start(old_count, new_count)
    return lifetimes


def step_is(fleet, is_true):
    """Return whether the stored step satisfies a condition."""
    step = fleet.stored_step()
    return step is not None and is_true(step)


class TestOwnerDies:
    """Guards against orders that nobody carries out any more."""

    @pytest.mark.parametrize('is_answer_lost', [False, True])
    @pytest.mark.parametrize('number', [1, 3])
    async def test_another_daemon_continues(
        self, fleet, number, is_answer_lost
    ):
        """The owner is killed at a write, before or after it is stored."""
        lifetimes = await start_mortal(fleet)
        store = fleet.harness.store
        write_object = store.write_object
        killed = []

        async def kill_at_step(written, held, *, is_status=False):
            is_step = written.kind is SharedKind.ROLLOUT_STEP
            count = sum(
                each.kind is SharedKind.ROLLOUT_STEP for each in store.written
            )
            if killed or not is_step or count + 1 < number:
                return await write_object(written, held, is_status=is_status)
            owner = b'"owner":"'
            name = written.content.partition(owner)[2].partition(b'"')[0]
            killed.append(name.decode())
            if is_answer_lost:
                await write_object(written, held)
            lifetimes[killed[0]]._scope.cancel()
            await asyncio.sleep(3600)

        store.write_object = kill_at_step
        fleet.order(duration_s=18)
        await wait_until(lambda: killed)
        await fleet.until(*ENDED)
        assert fleet.state == 'completed'
        assert fleet.stored_step().owner != killed[0]
        assert fleet.statuses_written().count('completed') == 1

    async def test_killed_before_the_status(self, fleet):
        lifetimes = await start_mortal(fleet)
        fleet.order(duration_s=18)
        await wait_until(lambda: step_is(fleet, lambda step: step.share == 1))
        await lifetimes[fleet.owner().name].end()
        await fleet.until(*ENDED)
        assert fleet.state == 'completed'


class TestStore:
    """Guards against orders that a faulty store makes fail or revert."""

    async def test_lost_answers_write_each_status_once(self, fleet):
        await fleet.start(2, 2)
        fleet.harness.store.lost_answer_count = 3
        fleet.order()
        await fleet.until(*ENDED)
        assert fleet.state == 'completed'
        assert fleet.statuses_written().count('completed') == 1

    async def test_slow_store(self, fleet):
        await fleet.start(2, 2)
        fleet.harness.store.write_delay_s = 0.2
        async with fleet.traffic():
            fleet.order()
            await fleet.until(*ENDED)
        assert fleet.state == 'completed'
        assert set(fleet.answers) == {OK}

    async def test_bad_version_gets_nothing_while_the_store_is_down(
        self, fleet
    ):
        await fleet.start()
        async with fleet.traffic():
            fleet.order(duration_s=30)
            await wait_until(lambda: fleet.received(fleet.new) > 2)
            fleet.harness.store.is_down = True
            for node in fleet.new:
                node.target.script = node.target.fail
            owner = fleet.owner().sidecar.state.rollouts.get(SERVICE)
            await wait_until(lambda: owner.phase is Phase.STOPPED)
            new_count = fleet.received(fleet.new)
            answer_count = len(fleet.answers)
            await wait_until(lambda: len(fleet.answers) > answer_count + 40)
            # Requests on their way when the version was stopped.
            assert fleet.received(fleet.new) <= new_count + 4
            fleet.harness.store.is_down = False
            await fleet.until(*ENDED)
        assert fleet.state == 'rolled_back'

    async def test_restored_store_gets_the_status_back(self, fleet):
        await fleet.start(1, 1)
        fleet.order()
        await fleet.until('completed')
        store = fleet.harness.store
        key = (SharedKind.ROLLOUT, SERVICE)
        content = store.objects[key].content
        store.put(*key, content.replace(b'completed', b'running'))
        await fleet.until('completed')
        assert fleet.statuses_written() == ['running', 'completed', 'completed']


class TestOrders:
    """Guards against orders that affect what they must not."""

    async def test_second_order_replaces_the_first(self, fleet):
        await fleet.start(2, 2)
        third = await fleet.harness.add_node(version='v3')
        third.sidecar.state.rollouts.now_s = fleet.old[
            0
        ].sidecar.state.rollouts.now_s
        async with fleet.traffic():
            fleet.order('v2', duration_s=60)
            await wait_until(lambda: fleet.received(fleet.new) > 2)
            fleet.order('v3')
            await wait_until(
                lambda: step_is(
                    fleet, lambda step: step.order_key.endswith('v3')
                )
            )
            first_count = fleet.received(fleet.new)
            await wait_until(lambda: third.target.requests)
            await wait_until(lambda: fleet.stored_order().is_running)
            await fleet.until(*ENDED)
        assert fleet.state == 'completed'
        assert fleet.stored_order().state_version == 'v3'
        assert fleet.received(fleet.new) <= first_count + 4

    @pytest.mark.parametrize(
        ('to_version', 'duration_s'), [('v2', 0), ('v2', 1e9), ('', 9)]
    )
    async def test_unreasonable_order_is_refused(
        self, fleet, to_version, duration_s
    ):
        await fleet.start(1, 1)
        fleet.order(to_version, duration_s)
        await fleet.until(*ENDED)
        assert fleet.statuses_written() == ['rolled_back']
        for _ in range(5):
            assert (await fleet.old[0].send_request())[0] == OK

    async def test_order_without_targets_is_rolled_back(self, fleet):
        await fleet.start(2, 0)
        async with fleet.traffic():
            fleet.order()
            await fleet.until(*ENDED)
        assert fleet.state == 'rolled_back'
        assert set(fleet.answers) == {OK}


class TestTargets:
    """Guards against targets that leave while an order runs."""

    async def test_new_targets_that_crash_cost_no_answer(self, fleet):
        await fleet.start(2, 2)
        async with fleet.traffic():
            fleet.order()
            await wait_until(lambda: fleet.received(fleet.new) > 2)
            await fleet.new[0].target.crash()
            await fleet.new[1].target.crash()
            await fleet.until(*ENDED)
        assert fleet.state == 'rolled_back'

    async def test_uploads_at_a_bad_version_end(self, fleet):
        await fleet.start(1, 1)
        old, new = fleet.old[0], fleet.new[0]
        fleet.order(duration_s=30)
        finish = asyncio.Event()

        async def answer_late(writer, attempt):
            await finish.wait()
            await new.target.answer(writer, attempt)

        new.target.script = answer_late
        uploads = []
        while not new.target.requests:
            uploads.append(
                asyncio.create_task(old.send_request('/read/1', 'POST', b'x'))
            )
            await asyncio.sleep(0.02)
        new.sidecar.state.rollouts.get(SERVICE).note_phase(Phase.STOPPED)
        await fleet.until('rolled_back')
        finish.set()
        lines = [line for line, _, _ in await asyncio.gather(*uploads)]
        assert set(lines) == {OK}


class TestPartition:
    """Guards against daemons that are cut off while an order runs."""

    async def test_third_of_the_daemons_is_cut_off(self, fleet):
        await fleet.start()
        old, new = fleet.old[1:], fleet.new[1:]
        lost = [fleet.old[0], fleet.new[0]]
        async with fleet.traffic(old):
            fleet.order(duration_s=18)
            await wait_until(lambda: fleet.received(fleet.new) > 2)
            cut_off(fleet, lost)
            lost_count = fleet.received(fleet.new[:1])
            granted = fleet.new[0].sidecar.admission.rollouts._granted_count
            await wait_until(
                lambda: step_is(fleet, lambda step: step.share == 1)
            )
            assert fleet.received(fleet.new[:1]) <= max(lost_count, granted)
            await fleet.until(*ENDED)
            assert not lost[0].sidecar.admission.rollouts.in_flight_count
            with pytest.raises(CornelbeamError):
                lost[0].sidecar.admission.rollouts.check()
        assert fleet.state == 'completed'
        assert fleet.received(new)

    async def test_owner_that_loses_the_store_is_replaced(self, fleet):
        """The others still reach the store, and the owner."""
        await fleet.start(2, 2)
        fleet.order()
        await wait_until(lambda: step_is(fleet, lambda step: step.share > 0))
        first = fleet.owner()
        first.sidecar.store_sync._store = LostStore()
        first.sidecar._rollout_owner._store = LostStore()
        first.sidecar.store_sync._restart_watches()
        await fleet.until(*ENDED)
        assert fleet.state == 'completed'
        assert fleet.owner() is not first


class LostStore:
    """Store that a daemon doesn't reach."""

    unreadable_count = 0

    async def list_objects(self, kind, *, is_stale_allowed):
        """Fail."""
        raise CornelbeamError(ErrorCode.STORE_UNAVAILABLE, 'call')

    async def watch(self, kind, since_revision, wait_ms):
        """Fail."""
        raise CornelbeamError(ErrorCode.STORE_UNAVAILABLE, 'call')

    async def write_object(self, written, held, *, is_status=False):
        """Fail."""
        raise CornelbeamError(ErrorCode.STORE_UNAVAILABLE, 'call')

    async def close(self) -> None:
        """Do nothing."""


def cut_off(fleet, lost) -> None:
    """Separate nodes from the store, and from the messages of the others."""
    names = {node.name for node in lost}
    for node in fleet.harness.nodes:
        peers = {
            each.addresses['peers']
            for each in fleet.harness.nodes
            if (each.name in names) != (node.name in names)
        }
        sidecar = node.sidecar
        for user in (sidecar.peer_sync, sidecar._rollout_owner):
            user._messenger = LossyMessenger(sidecar._messenger, peers)
        for driver in sidecar._rollout_owner._drivers.values():
            driver._messenger = LossyMessenger(sidecar._messenger, peers)
        if node.name in names:
            sidecar.store_sync._store = LostStore()
            sidecar._rollout_owner._store = LostStore()
            sidecar.store_sync._restart_watches()


class LossyMessenger:
    """Messenger that doesn't reach some addresses."""

    def __init__(self, messenger, lost) -> None:
        """Pass other messages on to ``messenger``."""
        self._messenger = messenger
        self._lost = lost

    async def ask(self, address, **message):
        """Fail for a lost address."""
        if address in self._lost:
            raise CornelbeamError(ErrorCode.PEER_UNREACHABLE, 'test')
        return await self._messenger.ask(address, **message)

    async def tell(self, address, **message):
        """Drop the message for a lost address."""
        if address not in self._lost:
            await self._messenger.tell(address, **message)

    def reply(self, stream, **message):
        """Reply."""
        self._messenger.reply(stream, **message)
