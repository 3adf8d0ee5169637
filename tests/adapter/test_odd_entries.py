"""Entries, heartbeats and answers that another writer has spoilt."""

import dataclasses
import json

import anyio
import httpx
import msgspec
import pytest
from cornelbeam_adapter.configuration import decode_configuration
from cornelbeam_adapter.message_parser import MessageParser
from cornelbeam_adapter.store import PlatformStore
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_mesh.members import MemberEntry, TargetEntry, encode_member
from cornelbeam_wire import Identity, PeerPool
from fake_store import FakeStore
from test_message_parser import HEARTBEAT, HEARTBEAT_PATH

pytestmark = pytest.mark.anyio
DEEP = b'[' * 100_000 + b']' * 100_000
HUGE = 10**30
TARGET = TargetEntry('i-2', 1, 1, 'a', 6, is_draining=False)
ENTRY = MemberEntry('place-2', 'north', '10.0.0.2:80', 5, 1, False, TARGET)
SOUND = msgspec.to_builtins(ENTRY)
ODD_TARGETS = (
    {'started_ms': HUGE},
    {'started_ms': -1},
    {'sequence': HUGE},
    {'slot_count': HUGE},
    {'slot_count': 0},
)
ODD_ENTRIES = (
    {'incarnation': HUGE},
    {'incarnation': -1},
    {'sequence': HUGE},
    {'address': '10.0.0.2:99999'},
    {'address': '10.0.0.2:0'},
    {'address': '10.0.0.2:-1'},
    {'address': '10.0.0.2'},
    {'address': ''},
    {'address': 'yard.example:80'},
    *({'target': SOUND['target'] | change} for change in ODD_TARGETS),
)


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the daemon does."""
    return 'asyncio'


class RawStore(FakeStore):
    """A store one of whose entries holds bytes that Python can't encode."""

    def handle(self, request) -> httpx.Response:
        """Put the deep value where an entry has a mark."""
        response = super().handle(request)
        content = response.content.replace(b'"deep"', DEEP)
        return httpx.Response(
            response.status_code, headers=response.headers, content=content
        )


class OddEraStore(FakeStore):
    """A store whose answers state an odd era."""

    def __init__(self, stated_era) -> None:
        """Add a value to all answers."""
        super().__init__()
        self.stated_era = stated_era

    def handle(self, request) -> httpx.Response:
        """Answer as the fake store does, and state the era."""
        response = super().handle(request)
        return httpx.Response(
            response.status_code,
            headers=[(b'Store-Era', self.stated_era.encode('latin-1'))],
            content=response.content,
        )


async def list_members(store) -> FleetState:
    """Return the state of a daemon that has listed the member entries."""
    client = PlatformStore('10.0.0.1:80', httpx.MockTransport(store.handle))
    state = FleetState('place-1')
    listing = await client.list_objects(
        SharedKind.MEMBER, is_stale_allowed=True
    )
    state.merge_listing(listing, 'store')
    await client.close()
    return state


class TestMemberEntries:
    """Guards against daemons that one odd entry stops or misleads."""

    @pytest.mark.parametrize('change', ODD_ENTRIES)
    async def test_odd_entry_names_no_target(self, change):
        store = FakeStore()
        store.put('daemons', 'place-2', SOUND | change)
        store.put('daemons', 'place-3', SOUND | {'name': 'place-3'})
        state = await list_members(store)
        assert {each.name for each in state.members.entries()} == {'place-3'}

    @pytest.mark.parametrize('change', ODD_ENTRIES)
    async def test_odd_entry_from_a_peer_names_no_target(self, change):
        state = FleetState('place-1')
        odd = encode_member(ENTRY)
        content = json.dumps(SOUND | change).encode()
        state.merge([dataclasses.replace(odd, content=content)], 'peer')
        assert not state.members.entries()

    @pytest.mark.parametrize('change', [{}, {'address': 'deep'}])
    async def test_deeply_nested_entry_hides_no_other(self, change):
        store = RawStore()
        store.put('daemons', 'place-2', SOUND | change | {'more': 'deep'})
        store.put('daemons', 'place-3', SOUND | {'name': 'place-3'})
        state = await list_members(store)
        assert 'place-3' in {each.name for each in state.members.entries()}

    @pytest.mark.parametrize('era', ['9' * 31, '\xb2', '-1', 'x'])
    async def test_odd_era_is_ignored(self, era):
        store = OddEraStore(era)
        store.put('daemons', 'place-2', SOUND)
        state = await list_members(store)
        assert state.members.get('place-2') == ENTRY

    async def test_odd_revision_fails_the_call_only(self):
        store = FakeStore()
        store.put('daemons', 'place-2', SOUND)
        store.revision = HUGE
        with pytest.raises(CornelbeamError):
            await list_members(store)


class TestHeartbeats:
    """Guards against heartbeats that end a daemon or start a wrong target."""

    @pytest.mark.parametrize(
        'change',
        [
            {'born': HUGE},
            {'born': -1},
            {'status': HEARTBEAT['status'] | {'sequence': HUGE}},
            {'status': HEARTBEAT['status'] | {'cold_remaining_ms': HUGE}},
            {
                'information': HEARTBEAT['information']
                | {'capacity_slots': HUGE}
            },
        ],
    )
    def test_numbers_out_of_range_are_rejected(self, change):
        with pytest.raises(ValueError, match='.'):
            read_registration(json.dumps(HEARTBEAT | change).encode())

    def test_deep_nesting_is_rejected(self):
        body = json.dumps(HEARTBEAT | {'more': 'deep'}).encode()
        with pytest.raises(ValueError, match='nest'):
            read_registration(body.replace(b'"deep"', DEEP))

    def test_deeply_nested_configuration_is_rejected(self):
        with pytest.raises(ValueError, match='nest'):
            decode_configuration(b'{"more": %b}' % DEEP)


class TestAnswerFields:
    """Guards against fields of answers that are too large to compute with."""

    @pytest.mark.parametrize('number', [b'9' * 31, b'9' * 500, b'9' * 5000])
    def test_load_out_of_range_is_malformed(self, number):
        parser = MessageParser()
        assert parser.read_load(b'1,0,8,%b' % number) is None
        assert parser.read_load(b'%b,0,8' % number) is None

    def test_negative_load_is_malformed(self):
        assert MessageParser().read_load(b'1,0,8,-100') is None


class TestPeerAddresses:
    """Guards against addresses that end the daemon which connects there."""

    @pytest.mark.parametrize('address', ['127.0.0.1:99999', '127.0.0.1', ''])
    async def test_odd_address_is_unreachable(self, address):
        pool = PeerPool(
            Identity('place-1', 'a', 'north', 1, '', b''), lambda *_: None
        )
        with pytest.raises(CornelbeamError, match='peer_unreachable'):
            await pool.connection(address)
        await anyio.sleep(0)


def read_registration(body):
    """Parse a heartbeat."""
    return MessageParser().read_registration(b'POST', HEARTBEAT_PATH, body)
