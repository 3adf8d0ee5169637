"""Test that the client and the stand-in Object API speak one protocol."""

import anyio
import httpx
import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_object_api.client import ObjectApiClient, StoreConflictError
from cornelbeam_standins.processes import start_standin

SPEC = {'is_in_service': False}
KEY = ('failure-domain', 'Langley')


@pytest.fixture
def base_url():
    """Return the URL of a stand-in Object API in a separate process."""
    with start_standin('object-api', '--port', '0') as process:
        yield f'http://{process.address}'


def run(call, base_url):
    """Run an asynchronous test body with a client."""

    async def body():
        async with ObjectApiClient(base_url, 5_000) as client:
            await call(client)

    anyio.run(body)


def inject(base_url, **faults):
    """Inject faults into the stand-in."""
    httpx.post(f'{base_url}/control', json=faults, trust_env=False)


class TestConditionalWrites:
    """Guards against lost updates and versions that decrease."""

    def test_loser_is_shown_what_the_winner_wrote(self, base_url):
        async def call(client):
            await client.put(*KEY, SPEC, 0, 'winner')
            with pytest.raises(StoreConflictError) as caught:
                await client.put(*KEY, {'is_in_service': True}, 0, 'loser')
            assert caught.value.current.write_id == 'winner'
            assert (await client.get(*KEY)).spec == SPEC

        run(call, base_url)

    def test_version_grows_over_a_deletion(self, base_url):
        async def call(client):
            await client.put(*KEY, SPEC, 0, 'a')
            tombstone = await client.delete(*KEY, 1, 'b')
            assert await client.get(*KEY) is None
            assert (await client.list_kind(KEY[0])).objects == ()
            with pytest.raises(StoreConflictError):
                await client.delete(*KEY, tombstone.version, 'c')
            again = await client.put(*KEY, SPEC, 0, 'd')
            assert (tombstone.version, again.version) == (2, 3)

        run(call, base_url)

    def test_lost_answer_is_unknown_and_the_write_id_tells(self, base_url):
        async def call(client):
            inject(base_url, lost_answer_count=1)
            with pytest.raises(CornelbeamError) as caught:
                await client.put(*KEY, SPEC, 0, 'mine')
            assert caught.value.code is ErrorCode.STORE_UNAVAILABLE
            assert caught.value.run_state is RunState.UNKNOWN
            assert (await client.read_back(*KEY)).write_id == 'mine'
            assert (await client.put(*KEY, SPEC, 0, 'mine')).version == 1

        run(call, base_url)


class TestWatch:
    """Guards against watches that miss a write or a deletion."""

    def test_deletion_reaches_a_waiting_watch(self, base_url):
        async def call(client):
            await client.put(*KEY, SPEC, 0, 'a')
            seen = []

            async def watch():
                seen.append(await client.watch(1, 60_000))

            async with anyio.create_task_group() as group:
                group.start_soon(watch)
                await client.delete(*KEY, 1, 'b')
            assert [stored.is_deleted for stored in seen[0].objects] == [True]
            assert seen[0].revision == 2
            assert not (await client.watch(2, 1)).objects

        run(call, base_url)

    def test_outage_ends_a_watch_and_counts_it_once(self, base_url):
        async def call(client):
            async with anyio.create_task_group() as group:
                group.start_soon(expect_outage, client)
                while not counts(base_url)['waiting_watch_count']:
                    await anyio.sleep(0)
                inject(base_url, is_down=True)
            assert counts(base_url)['calls'] == {'watch': 1, 'refused': 1}

        async def expect_outage(client):
            with pytest.raises(CornelbeamError) as caught:
                await client.watch(0, 60_000)
            assert caught.value.run_state is RunState.NOT_RUN

        run(call, base_url)


def counts(base_url):
    """Return the call counts of the stand-in."""
    return httpx.get(f'{base_url}/control/counts', trust_env=False).json()
