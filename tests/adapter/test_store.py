"""Calls to the platform's store, and what its faults lead to."""

import httpx
import pytest
from cornelbeam_adapter.store import PlatformStore
from cornelbeam_core.errors import CornelbeamError, RunState
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_mesh.members import MemberEntry, encode_member
from cornelbeam_mesh.platform_adapter import HistoryGoneError
from store_standin import StoreStandIn

pytestmark = pytest.mark.anyio
CONFIGURATION = {
    'version': '0000000c',
    'limits': {},
    'listeners': [
        {
            'host': 'Yard.example',
            'rules': [
                {
                    'name': 'r-1',
                    'kind': 'non_idempotent',
                    'latency_objective_ms': 600,
                    'priority': 1,
                    'match': {'path_prefix': '/book/'},
                    'action': {
                        'weighted_services': [
                            {'service': 'a', 'weight': 90},
                            {'service': 'b', 'weight': 10},
                        ],
                        'timeout_ms': 1200,
                        'max_attempts': 2,
                    },
                },
            ],
        },
    ],
    'clusters': [
        {
            'name': name,
            'health_check_path': '/health',
            'max_connections': 240,
            'protocol': 'h1',
            'tls': False,
            'cold_start_s': 3.0,
            'cold_per_s': 18.0,
        }
        for name in ('a', 'b')
    ],
}


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the daemon does."""
    return 'asyncio'


@pytest.fixture
def standin() -> StoreStandIn:
    """Give an empty store."""
    return StoreStandIn()


@pytest.fixture
async def store(anyio_backend, standin):
    """Give a client of the store."""
    client = PlatformStore(
        '10.0.0.1:80',
        httpx.MockTransport(standin.handle),
    )
    yield client
    await client.close()


def member(sequence, incarnation=5):
    """Make the entry of one daemon."""
    return encode_member(
        MemberEntry(
            'place-1',
            'north',
            '10.0.0.2:80',
            incarnation,
            sequence,
            is_leaving=False,
            target=None,
        ),
    )


class TestReading:
    """Guards against objects that are missed or misread."""

    async def test_pages_are_joined(self, store, standin):
        standin.page_size = 2
        for name in ('a', 'b', 'c', 'd', 'e'):
            standin.put('evacuations', name, {})
        listing = await store.list_objects(
            SharedKind.EVACUATION,
            is_stale_allowed=True,
        )
        assert [each.name for each in listing.objects] == list('abcde')
        assert all('stale_read=1' in str(call.url) for call in standin.calls)

    async def test_broken_configuration_is_left_out(self, store, standin):
        """The last one that could be read stays in force."""
        standin.put('config', 'main', {**CONFIGURATION, 'clusters': []})
        listing = await store.list_objects(
            SharedKind.CONFIGURATION,
            is_stale_allowed=False,
        )
        assert not listing.objects

    async def test_watch_gives_changes(self, store, standin):
        revision = standin.revision
        standin.put('config', 'main', CONFIGURATION)
        changes, next_revision = await store.watch(
            SharedKind.CONFIGURATION,
            revision,
            1000,
        )
        assert changes[0].version == next_revision == standin.revision
        assert b'"version":12' in changes[0].content

    async def test_lost_history_is_told_apart(self, store, standin):
        standin.has_history = False
        with pytest.raises(HistoryGoneError):
            await store.watch(SharedKind.CONFIGURATION, 1, 1000)


class TestWriting:
    """Guards against older entries that replace newer ones."""

    async def test_entry_is_created_and_replaced(self, store, standin):
        await store.put_member(member(1))
        await store.put_member(member(2))
        held = standin.objects['daemons', 'place-1']['specification']
        assert held['sequence'] == 2

    async def test_lost_answer_is_found_out(self, store, standin):
        standin.loses_next_answer = True
        with pytest.raises(CornelbeamError) as caught:
            await store.put_member(member(1))
        assert caught.value.run_state is RunState.UNKNOWN
        await store.put_member(member(1))
        assert [call.method for call in standin.calls] == ['POST', 'POST']

    async def test_newer_entry_stays(self, store, standin):
        await store.put_member(member(1, incarnation=9))
        late = PlatformStore('10.0.0.1:80', httpx.MockTransport(standin.handle))
        await late.put_member(member(7, incarnation=5))
        held = standin.objects['daemons', 'place-1']['specification']
        assert held['incarnation'] == 9
        await late.close()

    @pytest.mark.parametrize('status', [429, 503])
    async def test_refusal_did_nothing(self, store, standin, status):
        standin.refuses_with = status
        with pytest.raises(CornelbeamError) as caught:
            await store.put_member(member(1))
        assert caught.value.run_state is RunState.NOT_RUN
        assert len(standin.calls) == 1
