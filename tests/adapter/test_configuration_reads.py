"""Reads of the store that prove which configuration is the newest."""

import copy
import json
import random

import httpx
import pytest
from cornelbeam_adapter.store import PlatformStore
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.freshness_proof import FreshnessProof
from cornelbeam_mesh import store_sync
from cornelbeam_mesh.fleet_state import FleetState
from fake_store import FakeStore
from test_store import CONFIGURATION

pytestmark = pytest.mark.anyio
TENANT = {'name': 'school', 'api_keys': ['k-1']}
REQUESTED_S = 100.0
ANSWERED_S = 103.0


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the daemon does."""
    return 'asyncio'


class Platform:
    """A store, and a daemon whose clock goes on while the store answers."""

    def __init__(self) -> None:
        """Start with a configuration that has a tenant."""
        self.store = FakeStore()
        self.store.era = 1
        self.write([TENANT])
        self.state = FleetState('place-1')
        client = PlatformStore('10.0.0.1:80', httpx.MockTransport(self._handle))
        self.sync = store_sync.StoreSync(client, self.state, random.Random(7))
        self.sync.clock = lambda: self.now_s
        self.sync.on_configuration_read = self._note_read
        self.now_s = REQUESTED_S
        self.reads: list = []

    def write(self, tenants, version=1) -> None:
        """Write a configuration as an operator does."""
        content = json.loads(json.dumps(CONFIGURATION))
        content |= {'tenants': tenants, 'version': f'{version:08x}'}
        self.store.put('config', 'main', content)

    def _handle(self, request):
        self.now_s = ANSWERED_S
        return self.store.handle(request)

    def _note_read(self, listing, sent_s) -> None:
        self.reads.append((listing, sent_s))


@pytest.fixture
async def platform(anyio_backend) -> Platform:
    """Return a platform; the daemon needs a running event loop."""
    return Platform()


class TestReads:
    """Guards against reads that are taken for more than they prove."""

    async def test_time_is_that_of_the_request(self, platform):
        await platform.sync.read_configuration()
        assert platform.reads[0][1] == pytest.approx(REQUESTED_S)
        position = platform.state.configuration_position
        assert platform.reads[0][0].newest_revision == position

    async def test_invalid_configuration_keeps_a_proof_and_gives_none(
        self, platform
    ):
        """The one in force stays, but it may not be the last valid one."""
        await platform.sync.read_configuration()
        position = platform.state.configuration_position
        platform.write([TENANT, TENANT], version=2)
        await platform.sync.read_configuration()
        listing, _ = platform.reads[1]
        assert platform.state.configuration_position == position
        assert not FreshnessProof().note_read(position, listing, 100, 5)
        proof = FreshnessProof()
        assert proof.note_read(position, platform.reads[0][0], 100, 5)
        assert proof.note_read(position, listing, 101, 5)

    async def test_other_object_of_the_kind_does_not_end_proofs(self, platform):
        """No daemon uses it, so it hides no version of the configuration."""
        await platform.sync.read_configuration()
        platform.store.put('config', 'notes', {'text': 'unused'})
        await platform.sync.read_configuration()
        listing, _ = platform.reads[1]
        position = platform.state.configuration_position
        assert listing.newest_revision == position
        assert FreshnessProof().note_read(position, listing, 100, 5)

    async def test_read_of_a_store_just_restored_is_none(self, platform):
        stored = copy.deepcopy(platform.store.objects)
        platform.write([], version=2)
        await platform.sync.read_configuration()
        platform.store.objects = stored
        platform.store.era = 2
        await platform.sync.read_configuration()
        assert len(platform.reads) == 1
        assert not platform.sync.is_settled
        assert platform.state.route_table.tenants is None

    async def test_failed_read_requests_a_poll_and_ends_no_watch(
        self, platform
    ):
        """A lost answer would cost a listing for each watch besides."""
        platform.sync.is_reachable.set()
        platform.store.error_status = 503
        with pytest.raises(CornelbeamError):
            await platform.sync.read_configuration()
        assert not platform.reads
        assert platform.sync.is_reachable.is_set()
        assert platform.sync._lost.is_set()
