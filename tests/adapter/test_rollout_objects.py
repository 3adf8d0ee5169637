"""Orders of rollouts in the store, and conditional writes."""

from urllib.parse import unquote

import httpx
import msgspec
import pytest
from cornelbeam_adapter.store import PlatformStore
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.rollout_orders import OrderState, RolloutOrder
from cornelbeam_core.shared_objects import SharedKind, SharedObject
from fake_store import FakeStore

pytestmark = pytest.mark.anyio
ORDER = {'service': 'yard', 'to_version': 'v2', 'duration_s': 12}
STATUS = {'state': 'completed', 'to_version': 'v2'}


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the daemon does."""
    return 'asyncio'


@pytest.fixture
def fake_store() -> FakeStore:
    """Return a store with an order."""
    fake = FakeStore()
    fake.put('rollouts', 'yard', ORDER)
    return fake


@pytest.fixture
async def store(anyio_backend, fake_store):
    """Yield a client of the store."""
    client = PlatformStore(
        '10.0.0.1:80', httpx.MockTransport(fake_store.handle)
    )
    yield client
    await client.close()


async def read_order(store):
    """Return the stored order as a shared object and decoded."""
    listing = await store.list_objects(
        SharedKind.ROLLOUT, is_stale_allowed=False
    )
    found = listing.objects[0]
    return found, msgspec.json.decode(found.content, type=RolloutOrder)


def status_of(order):
    """Return the write of a status."""
    return SharedObject(
        order.kind, order.name, 0, False, msgspec.json.encode(STATUS)
    )


class TestOrders:
    """Guards against an order that is misread, or stops the others."""

    async def test_order_without_a_status(self, store):
        _, order = await read_order(store)
        assert (order.to_version, order.duration_s) == ('v2', 12)
        assert (order.state, order.find_problem()) == (None, '')

    @pytest.mark.parametrize(
        'specification',
        [None, [], {**ORDER, 'duration_s': 'x'}, {**ORDER, 'service': 'b'}],
    )
    async def test_odd_order_has_a_problem(
        self, store, fake_store, specification
    ):
        fake_store.put('rollouts', 'yard', specification)
        _, order = await read_order(store)
        assert order.find_problem()

    async def test_odd_status_counts_as_none(self, store, fake_store):
        fake_store.put_status('rollouts', 'yard', {'state': 'paused'})
        _, order = await read_order(store)
        assert order.state is None


class TestConditionalWrites:
    """Guards against a status that replaces a newer one."""

    async def test_status_is_written_beside_the_specification(self, store):
        found, order = await read_order(store)
        written = await store.write_object(
            status_of(found), found, is_status=True
        )
        held, ended = await read_order(store)
        assert held == written
        assert ended.ended_state is OrderState.COMPLETED
        assert ended.key == order.key

    async def test_changed_order_gets_no_status(self, store, fake_store):
        found, _ = await read_order(store)
        fake_store.put('rollouts', 'yard', {**ORDER, 'to_version': 'v3'})
        with pytest.raises(CornelbeamError) as raised:
            await store.write_object(status_of(found), found, is_status=True)
        assert raised.value.code is ErrorCode.STORE_CONFLICT
        assert fake_store.objects['rollouts', 'yard']['status'] is None

    async def test_second_owner_creates_nothing(self, store):
        step = SharedObject(
            SharedKind.ROLLOUT_STEP, 'yard', 0, False, b'{"owner":"one"}'
        )
        held = await store.write_object(step, None)
        with pytest.raises(CornelbeamError) as raised:
            await store.write_object(step, None)
        assert raised.value.code is ErrorCode.STORE_CONFLICT
        assert (await store.write_object(step, held)).version > held.version

    async def test_restored_store_takes_no_write_of_before(
        self, store, fake_store
    ):
        found, _ = await read_order(store)
        fake_store.era = 1
        await read_order(store)
        with pytest.raises(CornelbeamError) as raised:
            await store.write_object(status_of(found), found, is_status=True)
        assert raised.value.code is ErrorCode.STORE_CONFLICT

    async def test_lost_answer_is_unknown(self, store, fake_store):
        found, _ = await read_order(store)
        fake_store.is_next_answer_lost = True
        with pytest.raises(CornelbeamError) as raised:
            await store.write_object(status_of(found), found, is_status=True)
        assert raised.value.run_state is RunState.UNKNOWN


class TestOddNames:
    """Guards against an order whose name ends daemons or leads elsewhere."""

    @pytest.mark.parametrize(
        'name', ['a\x01b', 'yard?x', 'yard#x', '../rollouts/yard', 'a/status']
    )
    async def test_status_reaches_its_object_only(self, store, name):
        held = SharedObject(SharedKind.ROLLOUT, name, 7, False, b'')
        requests = []

        def refuse(request):
            requests.append(request)
            return httpx.Response(404)

        store._http = httpx.AsyncClient(
            base_url='http://10.0.0.1:80',
            transport=httpx.MockTransport(refuse),
        )
        with pytest.raises(CornelbeamError) as raised:
            await store.write_object(status_of(held), held, is_status=True)
        assert raised.value.code is ErrorCode.STORE_CONFLICT
        prefix, _, rest = requests[0].url.raw_path.partition(b'/rollouts/')
        assert prefix == b'/cornelbeam/objects'
        escaped, _, last = rest.partition(b'/')
        assert (unquote(escaped.decode()), last) == (name, b'status')

    @pytest.mark.parametrize('name', ['', '.', '..'])
    async def test_name_that_no_path_can_hold_is_not_written(
        self, store, fake_store, name
    ):
        held = SharedObject(SharedKind.ROLLOUT, name, 7, False, b'')
        with pytest.raises(CornelbeamError) as raised:
            await store.write_object(status_of(held), held, is_status=True)
        assert raised.value.run_state is RunState.NOT_RUN
        assert fake_store.requests == []

    async def test_address_that_is_too_long_is_a_failed_call(self, store):
        held = SharedObject(SharedKind.ROLLOUT, 'a' * 70_000, 7, False, b'')
        with pytest.raises(CornelbeamError) as raised:
            await store.write_object(status_of(held), held, is_status=True)
        assert raised.value.code is ErrorCode.STORE_UNAVAILABLE
