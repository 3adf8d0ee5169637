"""Leaving targets and daemons, evacuated failure domains and the store."""

import asyncio
import contextlib

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.routes import RequestKind
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_mesh.platform_adapter import Deregistration
from fake_target import TARGET_HOST, read_message
from mesh_harness import (
    Node,
    configuration,
    head,
    route,
    wait_until,
)

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'


class TestTargets:
    """Guards against requests to a target that leaves."""

    async def test_draining_target_gets_nothing_more(self, harness):
        near = await harness.add_node()
        far = await harness.add_node('south')
        near.send_heartbeat(is_draining=True)
        assert (await near.send_request())[0] == OK
        assert not near.target.requests
        assert far.target.requests

    async def test_late_heartbeat_does_not_bring_it_back(self, harness):
        node = await harness.add_node()
        node.sidecar.registration.handle_deregistration(Deregistration('i-1'))
        node.send_heartbeat()
        assert not node.sidecar.admission.is_open()

    async def test_next_run_of_the_same_name_is_taken(self, harness):
        node = await harness.add_node()
        node.sidecar.registration.handle_deregistration(Deregistration('i-1'))
        node.send_heartbeat(started_ms=2)
        assert node.sidecar.admission.is_open()

    async def test_earlier_run_under_another_name_is_a_late_message(
        self, harness
    ):
        node = await harness.add_node()
        node.send_heartbeat(started_ms=0, instance='i-0')
        assert node.sidecar.registration.entry.instance == 'i-1'

    async def test_departure_is_known_after_a_restart(self, harness):
        """The daemon loses power after it has confirmed a deregistration."""
        node = await harness.add_node()
        node.send_heartbeat(is_draining=True)
        stored = node.sidecar.registration.entry
        node.sidecar.registration.entry = None
        node.sidecar.registration.restore(stored)
        node.sequence = 1
        node.send_heartbeat()
        assert not node.sidecar.admission.is_open()

    async def test_departure_confirmed_before_the_entry_is_known(self, harness):
        """The daemon has restarted and does not reach the store yet."""
        node = await harness.add_node()
        registration = node.sidecar.registration
        stored = registration.entry
        registration.entry = None
        registration.handle_deregistration(Deregistration('i-1'))
        registration.restore(stored)
        assert not node.sidecar.admission.is_open()
        node.send_heartbeat()
        assert not node.sidecar.admission.is_open()


class TestFailureDomains:
    """Guards against requests to a failure domain that is out of service."""

    async def test_evacuated_domain_gets_nothing(self, harness):
        near = await harness.add_node()
        far = await harness.add_node('south')
        harness.store.put(SharedKind.EVACUATION, 'north')
        await wait_until(lambda: near.sidecar.state.evacuated_domains)
        assert (await near.send_request())[0] == OK
        assert not near.target.requests
        assert far.target.requests

    async def test_all_out_is_refused_at_once(self, harness):
        near = await harness.add_node()
        harness.store.put(SharedKind.EVACUATION, 'north')
        await wait_until(lambda: near.sidecar.state.evacuated_domains)
        status, _, _ = await near.send_request()
        assert status.startswith('HTTP/1.1 503')


class TestPlannedStop:
    """Guards against requests that are lost when the daemon stops."""

    async def test_request_in_work_is_answered(self, harness):
        node = await harness.add_node()
        may_answer = asyncio.Event()

        async def answer_late(writer, attempt) -> None:
            node.target.is_hanging.set()
            await may_answer.wait()
            await node.target.answer(writer, attempt)

        node.target.script = answer_late
        reader, writer = await asyncio.open_connection(
            *node.addresses['callers'].split(':'),
        )
        writer.write(head('/book/1', 'POST'))
        await node.target.is_hanging.wait()
        node.sidecar.stop()
        may_answer.set()
        assert (await read_message(reader))[0] == OK
        writer.close()

    @pytest.mark.parametrize('host', ['127.0.0.1', TARGET_HOST])
    async def test_late_caller_is_turned_away_unread(self, harness, host):
        """A late request might not end before the daemon does.

        Callers may connect from the address of the backend server.
        """
        node = await harness.add_node()
        address, port = node.addresses['callers'].split(':')
        async with hold_request(node):
            reader, writer = await asyncio.open_connection(
                address,
                port,
                local_addr=(host, 0),
            )
            with contextlib.suppress(ConnectionError):
                writer.write(head('/read/2'))
                assert not await reader.read()
            writer.close()
        assert len(node.target.requests) == 1


@contextlib.asynccontextmanager
async def hold_request(node):
    """Keep a request in flight while the daemon stops."""
    node.target.script = node.target.hang
    _, writer = await asyncio.open_connection(
        *node.addresses['callers'].split(':'),
    )
    writer.write(head('/book/1', 'POST'))
    await node.target.is_hanging.wait()
    node.sidecar.stop()
    await wait_until(lambda: node.sidecar._is_refusing_callers)
    yield
    writer.close()


class TestStart:
    """Guards against costly store calls when a whole fleet restarts.

    This happens after a power failure; each call to the store is billed.
    """

    async def test_start_costs_three_listings_and_one_write(self, harness):
        node = await harness.add_node()
        await wait_until(
            lambda: (SharedKind.MEMBER, node.name) in harness.store.objects,
        )
        assert harness.store.fresh_list_count == 3
        assert harness.store.write_count == 1

    async def test_daemon_without_a_target_joins_too(self, harness):
        node = Node(3, 'south', harness.store)
        harness.nodes.append(node)
        await node.start(harness.group)
        await wait_until(
            lambda: (SharedKind.MEMBER, node.name) in harness.store.objects,
        )


class TestStore:
    """Guards against daemons that miss changes made by operators."""

    async def test_change_during_an_outage_holds_after_it(self, harness):
        """A watch opened before the outage waits on a dead connection."""
        node = await harness.add_node()
        harness.store.are_watches_silent = True
        harness.store.is_down = True
        sync = node.sidecar.store_sync
        await wait_until(lambda: not sync.is_reachable.is_set())
        harness.store.put(
            SharedKind.CONFIGURATION,
            'main',
            configuration(2, (route('new', RequestKind.IDEMPOTENT),)),
        )
        harness.store.is_down = False
        await wait_until(lambda: node.sidecar.state.route_table.version == 2)
        assert (await node.send_request('/new/1'))[0] == OK

    async def test_silent_watch_is_noticed(self, harness):
        node = await harness.add_node()
        harness.store.are_watches_silent = True
        harness.store.put(SharedKind.CONFIGURATION, 'main', configuration(2))
        await wait_until(lambda: node.sidecar.state.route_table.version == 2)

    async def test_daemon_cut_from_the_store_learns_from_a_peer(self, harness):
        near = await harness.add_node()
        far = await harness.add_node('south')
        near.sidecar.store_sync._store = DownStore()
        near.sidecar.store_sync._restart_watches()
        harness.store.put(SharedKind.CONFIGURATION, 'main', configuration(2))
        await wait_until(lambda: far.sidecar.state.route_table.version == 2)
        await wait_until(lambda: near.sidecar.state.route_table.version == 2)

    async def test_daemon_that_starts_without_the_store_joins(self, harness):
        """It gets its first objects from a peer that pulls from it."""
        near = await harness.add_node()
        late = Node(2, 'south', DownStore())
        harness.nodes.append(late)
        await late.start(harness.group)
        assert (await late.send_request())[0].startswith('HTTP/1.1 503')
        await near.sidecar.peer_sync.pull(late.name, late.addresses['peers'])
        await wait_until(lambda: late.sidecar.state.route_table)
        assert (await late.send_request())[0] == OK
        late.send_heartbeat()
        await wait_until(lambda: near.knows(late))


class DownStore:
    """Store that refuses all calls of one daemon."""

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
