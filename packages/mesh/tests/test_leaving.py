"""Targets and daemons that leave, and failure domains that are taken out."""

import asyncio
import contextlib

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.routes import RequestKind
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_mesh.platform_adapter import Deregistration
from fake_target import TARGET_HOST, read_message
from mesh_bed import (
    Place,
    configuration,
    head,
    route,
    wait_until,
)

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'


class TestTargets:
    """Guards against requests to a target that leaves."""

    async def test_draining_target_gets_nothing_more(self, bed):
        near = await bed.add()
        far = await bed.add('south')
        near.beat(is_draining=True)
        assert (await near.ask())[0] == OK
        assert not near.target.requests
        assert far.target.requests

    async def test_late_heartbeat_does_not_bring_it_back(self, bed):
        place = await bed.add()
        place.sidecar.registration.take_departure(Deregistration('i-1'))
        place.beat()
        assert not place.sidecar.keeper.is_open()

    async def test_next_run_of_the_same_name_is_taken(self, bed):
        place = await bed.add()
        place.sidecar.registration.take_departure(Deregistration('i-1'))
        place.beat(started_ms=2)
        assert place.sidecar.keeper.is_open()

    async def test_earlier_run_under_another_name_is_a_late_message(self, bed):
        place = await bed.add()
        place.beat(started_ms=0, instance='i-0')
        assert place.sidecar.registration.entry.instance == 'i-1'

    async def test_departure_is_known_after_a_restart(self, bed):
        """The daemon loses power after it has confirmed a departure."""
        place = await bed.add()
        place.beat(is_draining=True)
        stored = place.sidecar.registration.entry
        place.sidecar.registration.entry = None
        place.sidecar.registration.restore(stored)
        place.sequence = 1
        place.beat()
        assert not place.sidecar.keeper.is_open()


class TestFailureDomains:
    """Guards against requests to a failure domain that is out of service."""

    async def test_evacuated_domain_gets_nothing(self, bed):
        near = await bed.add()
        far = await bed.add('south')
        bed.store.put(SharedKind.EVACUATION, 'north')
        await wait_until(lambda: near.sidecar.state.evacuated_domains)
        assert (await near.ask())[0] == OK
        assert not near.target.requests
        assert far.target.requests

    async def test_all_out_is_refused_at_once(self, bed):
        near = await bed.add()
        bed.store.put(SharedKind.EVACUATION, 'north')
        await wait_until(lambda: near.sidecar.state.evacuated_domains)
        status, _, _ = await near.ask()
        assert status.startswith('HTTP/1.1 503')


class TestPlannedStop:
    """Guards against requests lost to a stop of the daemon."""

    async def test_request_in_work_is_answered(self, bed):
        place = await bed.add()
        gate = asyncio.Event()

        async def answer_late(writer, attempt) -> None:
            place.target.is_hanging.set()
            await gate.wait()
            await place.target.answer(writer, attempt)

        place.target.script = answer_late
        reader, writer = await asyncio.open_connection(
            *place.addresses['callers'].split(':'),
        )
        writer.write(head('/book/1', 'POST'))
        await place.target.is_hanging.wait()
        place.sidecar.stop()
        gate.set()
        assert (await read_message(reader))[0] == OK
        writer.close()

    @pytest.mark.parametrize('host', ['127.0.0.1', TARGET_HOST])
    async def test_late_caller_is_turned_away_unread(self, bed, host):
        """Its request could not end before the daemon does.

        Callers may come from the address of the backend server.
        """
        place = await bed.add()
        address, port = place.addresses['callers'].split(':')
        async with held_request(place):
            reader, writer = await asyncio.open_connection(
                address,
                port,
                local_addr=(host, 0),
            )
            with contextlib.suppress(ConnectionError):
                writer.write(head('/read/2'))
                assert not await reader.read()
            writer.close()
        assert len(place.target.requests) == 1


@contextlib.asynccontextmanager
async def held_request(place):
    """Keep a request in flight while the daemon stops."""
    place.target.script = place.target.hang
    _, writer = await asyncio.open_connection(
        *place.addresses['callers'].split(':'),
    )
    writer.write(head('/book/1', 'POST'))
    await place.target.is_hanging.wait()
    place.sidecar.stop()
    await wait_until(lambda: place.sidecar._is_closed)
    yield
    writer.close()


class TestStart:
    """Guards against a bill for the starts of a fleet that lost its power."""

    async def test_start_costs_three_listings_and_one_write(self, bed):
        place = await bed.add()
        await wait_until(
            lambda: (SharedKind.MEMBER, place.name) in bed.store.objects,
        )
        assert bed.store.fresh_list_count == len(SharedKind)
        assert bed.store.write_count == 1

    async def test_daemon_without_a_target_joins_too(self, bed):
        place = Place(3, 'south', bed.store)
        bed.places.append(place)
        await place.start(bed.group)
        await wait_until(
            lambda: (SharedKind.MEMBER, place.name) in bed.store.objects,
        )


class TestStore:
    """Guards against daemons that miss what operators wrote."""

    async def test_change_during_an_outage_holds_after_it(self, bed):
        """A watch from before the outage waits on a dead connection."""
        place = await bed.add()
        bed.store.are_watches_silent = True
        bed.store.is_down = True
        sync = place.sidecar.store_sync
        await wait_until(lambda: not sync.is_reachable.is_set())
        bed.store.put(
            SharedKind.CONFIGURATION,
            'main',
            configuration(2, (route('new', RequestKind.IDEMPOTENT),)),
        )
        bed.store.is_down = False
        await wait_until(lambda: place.sidecar.state.table.version == 2)
        assert (await place.ask('/new/1'))[0] == OK

    async def test_silent_watch_is_noticed(self, bed):
        place = await bed.add()
        bed.store.are_watches_silent = True
        bed.store.put(SharedKind.CONFIGURATION, 'main', configuration(2))
        await wait_until(lambda: place.sidecar.state.table.version == 2)

    async def test_daemon_cut_from_the_store_learns_from_a_peer(self, bed):
        near = await bed.add()
        far = await bed.add('south')
        near.sidecar.store_sync._store = DownStore()
        near.sidecar.store_sync._restart_watches()
        bed.store.put(SharedKind.CONFIGURATION, 'main', configuration(2))
        await wait_until(lambda: far.sidecar.state.table.version == 2)
        await wait_until(lambda: near.sidecar.state.table.version == 2)

    async def test_daemon_that_starts_without_the_store_joins(self, bed):
        """Its first knowledge comes from a peer that asks it for news."""
        near = await bed.add()
        late = Place(2, 'south', DownStore())
        bed.places.append(late)
        await late.start(bed.group)
        assert (await late.ask())[0].startswith('HTTP/1.1 503')
        await near.sidecar.peer_sync.pull(late.name, late.addresses['peers'])
        await wait_until(lambda: late.sidecar.state.table)
        assert (await late.ask())[0] == OK
        late.beat()
        await wait_until(lambda: near.knows(late))


class DownStore:
    """A store that refuses one daemon."""

    async def list_objects(self, kind, *, is_stale_allowed):
        """Refuse."""
        raise CornelbeamError(ErrorCode.STORE_UNAVAILABLE, 'list')

    async def watch(self, kind, since_revision, wait_ms):
        """Refuse."""
        raise CornelbeamError(ErrorCode.STORE_UNAVAILABLE, 'watch')

    async def put_member(self, member) -> None:
        """Refuse."""
        raise CornelbeamError(ErrorCode.STORE_UNAVAILABLE, 'put')

    async def close(self) -> None:
        """Do nothing."""
