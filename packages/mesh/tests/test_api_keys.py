"""API keys of callers, and calls of backend servers, which show none."""

import asyncio

import msgspec
import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.routes import RequestKind, RoutingConfiguration
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_core.tenants import TenantRule, digest_key
from cornelbeam_mesh.caller_identity import read_api_key
from cornelbeam_mesh.configuration_freshness import ConfigurationFreshness
from fake_target import TARGET_HOST
from mesh_harness import configuration, route, wait_until

pytestmark = pytest.mark.anyio
KEY = 'k-secret-1'
SCHOOL = TenantRule('school', (digest_key(KEY.encode()),), priority=0)
REMAINING_MS = '3000'


def with_tenants(version, *tenants) -> bytes:
    """Encode a configuration with tenants and a public route."""
    decoded = msgspec.json.decode(
        configuration(
            version,
            (route('open', RequestKind.IDEMPOTENT, is_public=True),),
        ),
        type=RoutingConfiguration,
    )
    return msgspec.json.encode(
        RoutingConfiguration(
            decoded.version, decoded.routes, decoded.services, tenants
        ),
    )


async def start_node(harness):
    """Start a node whose callers need a key."""
    harness.store.put(SharedKind.CONFIGURATION, 'main', with_tenants(2, SCHOOL))
    node = await harness.add_node()
    await wait_until(lambda: node.sidecar.state.configuration_version == 2)
    return node


async def send(node, path='/read/1', **fields):
    """Send a request; return its status and what reached the target."""
    first_new = len(node.target.requests)
    line, _, body = await node.send_request(
        path, x_remaining=REMAINING_MS, **fields
    )
    received = [each[1] for each in node.target.requests[first_new:]]
    return int(line.split()[1]), body, received


class TestKeys:
    """A request runs for a tenant that its caller is not."""

    async def test_target_learns_the_tenant_but_not_the_key(self, harness):
        node = await start_node(harness)
        status, _, received = await send(
            node, authorization=f'Bearer {KEY}', x_tenant='another'
        )
        assert status == 200
        assert received[0][b'x-tenant'] == b'school'
        assert b'authorization' not in received[0]

    @pytest.mark.parametrize(
        'fields',
        [
            {},
            {'authorization': 'Bearer k-other'},
            {'authorization': 'Bearer '},
            {'authorization': f'Basic {KEY}'},
            {'x_tenant': 'school'},
        ],
    )
    async def test_unknown_key_runs_nowhere(self, harness, fields):
        node = await start_node(harness)
        status, body, received = await send(node, **fields)
        assert status == 401
        assert b'unknown_api_key' in body
        assert KEY.encode() not in body
        assert not received

    async def test_public_route_needs_no_key(self, harness):
        node = await start_node(harness)
        status, _, received = await send(node, '/open/1', x_tenant='school')
        assert status == 200
        assert b'x-tenant' not in received[0]

    async def test_public_route_uses_a_known_key(self, harness):
        node = await start_node(harness)
        status, _, received = await send(
            node, '/open/1', authorization=f'Bearer {KEY}'
        )
        assert status == 200
        assert received[0][b'x-tenant'] == b'school'

    async def test_public_route_trusts_no_key_without_proof(
        self, harness, monkeypatch
    ):
        """The key may have been revoked."""

        def refuse(freshness):
            raise CornelbeamError(ErrorCode.CONFIGURATION_STALE, 'test')

        monkeypatch.setattr(ConfigurationFreshness, 'check', refuse)
        node = await start_node(harness)
        fields = {'authorization': f'Bearer {KEY}'}
        status, _, received = await send(node, '/open/1', **fields)
        assert status == 200
        assert b'x-tenant' not in received[0]
        status, _, received = await send(node, **fields)
        assert status == 503
        assert not received

    async def test_removed_key_is_refused(self, harness):
        node = await start_node(harness)
        harness.store.put(
            SharedKind.CONFIGURATION,
            'main',
            with_tenants(3, TenantRule('school', (digest_key(b'k-new'),))),
        )
        await wait_until(lambda: node.sidecar.state.configuration_version == 3)
        status, _, _ = await send(node, authorization=f'Bearer {KEY}')
        assert status == 401
        status, _, _ = await send(node, authorization='Bearer k-new')
        assert status == 200

    async def test_without_tenants_both_fields_pass(self, harness):
        harness.store.put(SharedKind.CONFIGURATION, 'main', configuration(2))
        node = await harness.add_node()
        _, _, received = await send(
            node, authorization='Basic abc', x_tenant='own'
        )
        assert received[0][b'authorization'] == b'Basic abc'
        assert received[0][b'x-tenant'] == b'own'

    def test_repeated_field_is_no_key(self):
        headers = [b'authorization', b'Bearer a', b'authorization', b'Bearer b']
        assert read_api_key(headers) == b''
        assert read_api_key([]) is None


class TestBackendCalls:
    """Calls of backend servers fail for lack of a key, or callers pass as one.

    A call that fails makes the request fail that waits for it.
    """

    async def test_call_for_a_running_request_needs_no_key(self, harness):
        node = await start_node(harness)
        node.target.script = node.target.hang
        async with asyncio.TaskGroup() as group:
            parent = group.create_task(
                send(node, authorization=f'Bearer {KEY}'),
            )
            await node.target.is_hanging.wait()
            node.target.script = node.target.answer
            line, _, _ = await node.send_request(
                from_host=TARGET_HOST, x_remaining='900'
            )
            parent.cancel()
        assert int(line.split()[1]) == 200
        assert b'x-tenant' not in node.target.requests[-1][1]

    async def test_later_deadline_is_no_call_of_the_target(self, harness):
        node = await start_node(harness)
        node.target.script = node.target.hang
        async with asyncio.TaskGroup() as group:
            parent = group.create_task(
                node.send_request(
                    x_remaining='1000', authorization=f'Bearer {KEY}'
                ),
            )
            await node.target.is_hanging.wait()
            line, _, _ = await node.send_request(
                from_host=TARGET_HOST, x_remaining='3900'
            )
            parent.cancel()
        # Requests of an earlier run of the daemon are not known yet, so the
        # answer promises no more than that this one has not run.
        assert int(line.split()[1]) == 503
        assert len(node.target.requests) == 1

    async def test_call_without_a_deadline_is_no_call_of_the_target(
        self, harness
    ):
        node = await start_node(harness)
        node.target.script = node.target.hang
        async with asyncio.TaskGroup() as group:
            parent = group.create_task(
                send(node, authorization=f'Bearer {KEY}'),
            )
            await node.target.is_hanging.wait()
            line, _, _ = await node.send_request(from_host=TARGET_HOST)
            parent.cancel()
        assert int(line.split()[1]) == 503
