"""Routes of each kind, and routes of a kind that this version lacks."""

import pytest
from cornelbeam_core.routes import RequestKind
from cornelbeam_core.shared_objects import SharedKind
from mesh_harness import configuration, route, wait_until

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'
ROUTE_COUNT = 2000


def with_unknown_kind(version=1) -> bytes:
    """Encode a configuration with the route ``tide`` of an unknown kind."""
    content = configuration(version, (route('tide', RequestKind.DOWNLOAD),))
    return content.replace(b'"download"', b'"stream-of-2031"')


class TestUnknownKind:
    """Guards against one route of a newer kind that stops all others."""

    async def test_other_routes_are_served(self, harness):
        harness.store.put(SharedKind.CONFIGURATION, 'main', with_unknown_kind())
        node = await harness.add_node()
        assert (await node.send_request())[0] == OK
        booked, _, _ = await node.send_request('/book/1', 'POST', b'sand')
        assert booked == OK

    async def test_its_requests_are_refused_unsent(self, harness):
        harness.store.put(SharedKind.CONFIGURATION, 'main', with_unknown_kind())
        node = await harness.add_node()
        status, fields, body = await node.send_request('/tide/1')
        assert status == 'HTTP/1.1 503 Service Unavailable'
        assert float(fields[b'retry-after']) > 0
        assert body.startswith(b'unsupported_route ')
        assert not node.target.requests

    async def test_later_version_with_it_is_in_force(self, harness):
        node = await harness.add_node()
        harness.store.put(
            SharedKind.CONFIGURATION, 'main', with_unknown_kind(2)
        )
        state = node.sidecar.state
        await wait_until(lambda: state.configuration_version == 2)
        assert (await node.send_request())[0] == OK

    async def test_daemon_is_ready_and_names_the_route(self, harness):
        harness.store.put(SharedKind.CONFIGURATION, 'main', with_unknown_kind())
        node = await harness.add_node()
        status, _, body = await node.send_request(
            '/', listener='readiness', content_length='0'
        )
        assert (status, body) == (OK, b'unsupported routes: tide\n')

    async def test_invalid_configuration_is_not_taken(self, harness):
        node = await harness.add_node()
        broken = with_unknown_kind(2).replace(b'"timeout_ms":4000', b'"x":0')
        harness.store.put(SharedKind.CONFIGURATION, 'main', broken)
        harness.store.put(SharedKind.EVACUATION, 'south')
        state = node.sidecar.state
        await wait_until(lambda: state.evacuated_domains)
        assert state.configuration_version == 1


class TestDownload:
    """Guards against downloads that are handled like bookings."""

    async def test_failed_one_runs_elsewhere(self, harness):
        pulls = (route('pull', RequestKind.DOWNLOAD),)
        harness.store.put(
            SharedKind.CONFIGURATION, 'main', configuration(1, pulls)
        )
        near = await harness.add_node()
        far = await harness.add_node('south')
        near.target.script = near.target.drop
        status, _, body = await near.send_request('/pull/1')
        assert (status, body) == (OK, b'whole body')
        assert far.target.requests


class TestManyRoutes:
    """Guards against routes that are lost as a configuration grows."""

    async def test_last_of_many_is_served(self, harness):
        node = await harness.add_node()
        more = tuple(
            route(f'more-{number}', RequestKind.IDEMPOTENT)
            for number in range(ROUTE_COUNT)
        )
        harness.store.put(
            SharedKind.CONFIGURATION, 'main', configuration(2, more)
        )
        state = node.sidecar.state
        await wait_until(lambda: state.configuration_version == 2)
        assert (await node.send_request(f'/more-{ROUTE_COUNT - 1}/1'))[0] == OK
        assert (await node.send_request())[0] == OK
