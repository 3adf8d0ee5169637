"""Tests of the store client, also against faults of the store."""

import httpx
import pytest
from cornelbeam_adapter.store import PlatformStore
from cornelbeam_core.errors import CornelbeamError, RunState
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_mesh.members import MemberEntry, encode_member
from cornelbeam_mesh.platform_adapter import HistoryGoneError
from fake_store import FakeStore

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
def fake_store() -> FakeStore:
    """Return an empty store."""
    return FakeStore()


@pytest.fixture
async def store(anyio_backend, fake_store):
    """Yield a client of the store."""
    client = PlatformStore(
        '10.0.0.1:80',
        httpx.MockTransport(fake_store.handle),
    )
    yield client
    await client.close()


def make_member(sequence, incarnation=5):
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

    async def test_pages_are_joined(self, store, fake_store):
        fake_store.page_size = 2
        for name in ('a', 'b', 'c', 'd', 'e'):
            fake_store.put('evacuations', name, {})
        listing = await store.list_objects(
            SharedKind.EVACUATION,
            is_stale_allowed=True,
        )
        assert [each.name for each in listing.objects] == list('abcde')
        assert all(
            'stale_read=1' in str(request.url)
            for request in fake_store.requests
        )

    async def test_broken_configuration_is_left_out(self, store, fake_store):
        """It is not listed, so the last valid configuration stays in force."""
        fake_store.put('config', 'main', {**CONFIGURATION, 'clusters': []})
        listing = await store.list_objects(
            SharedKind.CONFIGURATION,
            is_stale_allowed=False,
        )
        assert not listing.objects

    async def test_watch_gives_changes(self, store, fake_store):
        revision = fake_store.revision
        fake_store.put('config', 'main', CONFIGURATION)
        changes, next_revision = await store.watch(
            SharedKind.CONFIGURATION,
            revision,
            1000,
        )
        assert changes[0].version == next_revision == fake_store.revision
        assert b'"version":12' in changes[0].content

    async def test_lost_history_raises_its_own_error(self, store, fake_store):
        fake_store.has_history = False
        with pytest.raises(HistoryGoneError):
            await store.watch(SharedKind.CONFIGURATION, 1, 1000)


class TestWriting:
    """Guards against older entries replacing newer ones."""

    async def test_entry_is_created_and_replaced(self, store, fake_store):
        await store.put_member(make_member(1))
        await store.put_member(make_member(2))
        specification = fake_store.objects['daemons', 'place-1'][
            'specification'
        ]
        assert specification['sequence'] == 2

    async def test_write_is_repeated_after_lost_answer(self, store, fake_store):
        fake_store.is_next_answer_lost = True
        with pytest.raises(CornelbeamError) as caught:
            await store.put_member(make_member(1))
        assert caught.value.run_state is RunState.UNKNOWN
        await store.put_member(make_member(1))
        assert [request.method for request in fake_store.requests] == [
            'POST',
            'POST',
        ]

    async def test_newer_entry_stays(self, store, fake_store):
        await store.put_member(make_member(1, incarnation=9))
        late_store = PlatformStore(
            '10.0.0.1:80', httpx.MockTransport(fake_store.handle)
        )
        await late_store.put_member(make_member(7, incarnation=5))
        specification = fake_store.objects['daemons', 'place-1'][
            'specification'
        ]
        assert specification['incarnation'] == 9
        await late_store.close()

    @pytest.mark.parametrize('status', [429, 503])
    async def test_refused_write_has_not_run(self, store, fake_store, status):
        fake_store.error_status = status
        with pytest.raises(CornelbeamError) as caught:
            await store.put_member(make_member(1))
        assert caught.value.run_state is RunState.NOT_RUN
        assert len(fake_store.requests) == 1
