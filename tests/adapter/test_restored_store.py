"""The daemon's view of the platform after its store was restored."""

import asyncio
import copy
import json
import random

import anyio
import httpx
import msgspec
import pytest
from cornelbeam_adapter.store import PlatformStore
from cornelbeam_mesh import store_sync
from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_mesh.members import MemberEntry, encode_member
from fake_store import FakeStore
from test_store import CONFIGURATION

pytestmark = pytest.mark.anyio
WAIT_LIMIT_S = 20
EMPTY_WATCH_S = 0.01
OWN_ENTRY = MemberEntry('place-1', 'north', '10.0.0.2:80', 5, 1, False, None)


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the daemon does."""
    return 'asyncio'


class Platform:
    """A store that operators write to, and one daemon that follows it."""

    def __init__(self) -> None:
        """Start with a store in its first era that holds version 4."""
        self.store = FakeStore()
        self.store.era = 1
        self.write_configuration(4)
        self.state = FleetState('place-1')
        self.client = PlatformStore(
            '10.0.0.1:80', httpx.MockTransport(self._handle)
        )
        self.sync = store_sync.StoreSync(
            self.client, self.state, random.Random(7)
        )

    def write_configuration(self, version) -> None:
        """Write a configuration with a route that only it has."""
        content = json.loads(json.dumps(CONFIGURATION))
        content['version'] = f'{version:08x}'
        rule = content['listeners'][0]['rules'][0]
        rule['match']['path_prefix'] = f'/{version}/'
        self.store.put('config', 'main', content)

    def take_copy(self):
        """Return a copy of what the store holds."""
        return copy.deepcopy(self.store.objects), self.store.revision

    def restore(self, stored) -> None:
        """Replace the store by a copy and count its era up."""
        objects, revision = copy.deepcopy(stored)
        self.store.objects = objects
        self.store.revision = revision
        self.store.era += 1

    @property
    def version(self) -> int:
        """Version of the configuration in force, zero without one."""
        table = self.state.route_table
        return 0 if table is None else table.version

    @property
    def stored_sequence(self) -> int:
        """Sequence of the daemon's entry in the store."""
        entry = self.store.objects['daemons', 'place-1']
        return entry['specification']['sequence']

    async def until_version(self, version) -> None:
        """Wait until a version is in force."""
        await self.until(lambda: self.version == version)

    async def until(self, predicate) -> None:
        """Wait until the daemon has followed the store."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not predicate():
                await asyncio.sleep(EMPTY_WATCH_S)

    async def _handle(self, request) -> httpx.Response:
        response = self.store.handle(request)
        if b'"events":[]' in response.content.replace(b' ', b''):
            await asyncio.sleep(EMPTY_WATCH_S)
        return response


@pytest.fixture
async def platform(anyio_backend, monkeypatch):
    """Yield a platform whose store the daemon has listed."""
    monkeypatch.setattr(store_sync, 'POLL_PERIOD_S', 0.1)
    created = Platform()
    async with anyio.create_task_group() as group:
        group.start_soon(created.sync.run)
        await created.until(lambda: created.version == 4)
        try:
            yield created
        finally:
            group.cancel_scope.cancel()
    await created.client.close()


class TestConfiguration:
    """Guards against configurations that are ignored or come back older."""

    async def test_change_after_the_restore_is_in_force(self, platform):
        """Its revision was given out before, for a version that is gone."""
        stored = platform.take_copy()
        for version in (6, 8):
            platform.write_configuration(version)
        await platform.until_version(8)
        platform.restore(stored)
        platform.write_configuration(9)
        await platform.until_version(9)

    async def test_change_is_seen_when_revisions_have_caught_up(self, platform):
        """A watch that goes on from before the restore misses it."""
        stored = platform.take_copy()
        platform.write_configuration(6)
        await platform.until_version(6)
        platform.restore(stored)
        platform.write_configuration(7)
        for number in range(9):
            platform.store.put('evacuations', f'zone-{number}', {})
        await platform.until_version(7)

    async def test_copy_does_not_bring_an_older_version_back(self, platform):
        stored = platform.take_copy()
        platform.write_configuration(6)
        await platform.until_version(6)
        platform.restore(stored)
        for name in ('north', 'south'):
            platform.store.put('evacuations', name, {})
        await platform.until(lambda: len(platform.state.evacuated_domains) == 2)
        assert platform.version == 6

    async def test_version_that_is_written_again_stays(self, platform):
        stored = platform.take_copy()
        platform.write_configuration(6)
        await platform.until_version(6)
        table = platform.state.route_table
        platform.restore(stored)
        platform.write_configuration(6)
        platform.store.put('evacuations', 'north', {})
        await platform.until(lambda: platform.state.evacuated_domains)
        assert platform.state.route_table is table

    async def test_second_restore_is_followed_too(self, platform):
        stored = platform.take_copy()
        for version in (6, 7, 8):
            platform.restore(stored)
            platform.write_configuration(version)
            await platform.until_version(version)


class TestEvacuations:
    """Guards against traffic to a domain that operators have taken out."""

    async def test_domain_that_the_copy_lacks_stays_out(self, platform):
        """Operators write it again a moment after the store is back."""
        stored = platform.take_copy()
        platform.store.put('evacuations', 'north', {})
        await platform.until(lambda: platform.state.evacuated_domains)
        platform.restore(stored)
        platform.write_configuration(6)
        await platform.until_version(6)
        assert platform.state.evacuated_domains == {'north'}

    async def test_domain_returns_if_it_is_not_written_again(
        self, platform, monkeypatch
    ):
        monkeypatch.setattr(store_sync, 'RESTORE_SETTLE_S', 0.3, raising=False)
        stored = platform.take_copy()
        platform.store.put('evacuations', 'north', {})
        await platform.until(lambda: platform.state.evacuated_domains)
        platform.restore(stored)
        await platform.until(lambda: not platform.state.evacuated_domains)


class TestOwnEntry:
    """Guards against a daemon that those which start later never find."""

    async def test_lost_entry_is_written_again(self, platform):
        stored = platform.take_copy()
        platform.sync.write(encode_member(OWN_ENTRY))
        key = 'daemons', 'place-1'
        await platform.until(lambda: key in platform.store.objects)
        platform.restore(stored)
        assert key not in platform.store.objects
        await platform.until(lambda: key in platform.store.objects)

    async def test_older_copy_of_the_entry_is_replaced(self, platform):
        platform.sync.write(encode_member(OWN_ENTRY))
        key = 'daemons', 'place-1'
        await platform.until(lambda: key in platform.store.objects)
        stored = platform.take_copy()
        newer = msgspec.structs.replace(OWN_ENTRY, sequence=2, is_leaving=True)
        platform.sync.write(encode_member(newer))
        await platform.until(lambda: platform.stored_sequence == 2)
        platform.restore(stored)
        assert platform.stored_sequence == 1
        await platform.until(lambda: platform.stored_sequence == 2)
