"""An order in the platform's store, carried out by two sidecars."""

import asyncio

import anyio
import httpx
import pytest
from cornelbeam_adapter.store import PlatformStore
from cornelbeam_mesh import rollout_owner
from fake_store import FakeStore
from mesh_harness import Harness, wait_until
from rollout_fleet import SPEED, fast_clock
from test_store import CONFIGURATION

pytestmark = pytest.mark.anyio
SERVICE = 'a'
ORDER = {'service': SERVICE, 'to_version': 'v2', 'duration_s': 9}


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the daemon does."""
    return 'asyncio'


class WaitingStore(FakeStore):
    """Store whose watches wait for a change."""

    async def handle_soon(self, request) -> httpx.Response:
        """Answer a request, a watch only after a change."""
        since = int(request.url.params.get('watch', -1))
        while 0 <= since and self.revision <= since:
            await asyncio.sleep(0.01)
        return self.handle(request)


@pytest.fixture
async def harness(anyio_backend, monkeypatch):
    """Yield a harness with one target of each version."""
    monkeypatch.setattr(rollout_owner, 'TICK_S', 0.5 / SPEED)
    fake = WaitingStore()
    fake.put('config', 'main', CONFIGURATION)
    async with anyio.create_task_group() as group:
        new_harness = Harness(group)
        new_harness.fake = fake
        new_harness.bounds = {'exposure_share': 0.1}
        for version in ('v1', 'v2'):
            new_harness.store = PlatformStore(
                '10.0.0.1:80', httpx.MockTransport(fake.handle_soon)
            )
            node = await new_harness.add_node(service=SERVICE, version=version)
            node.sidecar.state.rollouts.now_s = fast_clock
        try:
            yield new_harness
        finally:
            group.cancel_scope.cancel()
            for node in new_harness.nodes:
                node.target.stop()


class TestOrder:
    """Guards against objects that the daemon and the store read differently."""

    async def test_order_is_completed_in_the_store(self, harness):
        harness.fake.put('rollouts', SERVICE, ORDER)
        key = ('rollouts', SERVICE)
        states = []

        def is_ended():
            status = harness.fake.objects[key]['status'] or {}
            if status and status['state'] not in states:
                states.append(status['state'])
            return 'completed' in states or 'rolled_back' in states

        await wait_until(is_ended)
        assert states == ['running', 'completed']
        assert harness.fake.objects[key]['specification'] == ORDER
        step = harness.fake.objects['rollout-steps', SERVICE]['specification']
        assert (step['share'], step['phase']) == (1, 2)
