"""Positions of configurations that daemons receive from peers."""

import msgspec
import pytest
from cornelbeam_core.shared_objects import SharedKind, SharedObject
from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_wire.gen import messages
from mesh_harness import configuration, wait_until
from revocation_fleet import tenant_configuration

pytestmark = pytest.mark.anyio
HELD = 5
NEWER = 6


def configuration_at(position, content) -> SharedObject:
    """Return a configuration at a position."""
    return SharedObject(
        SharedKind.CONFIGURATION, 'main', position, False, content, position
    )


class TestInvalidContent:
    """Guards against proof for a table that the position doesn't cover."""

    @pytest.mark.parametrize('content', [b'', b'{"version":6}', b'['])
    async def test_position_stays_with_the_configuration(self, content):
        state = FleetState('place-1')
        state.merge([configuration_at(HELD, tenant_configuration())], 'store')
        state.merge([configuration_at(NEWER, content)], 'place-2')
        assert state.configuration_position == HELD

    async def test_position_advances_without_a_change_of_content(self):
        state = FleetState('place-1')
        for position in (HELD, NEWER):
            state.merge([configuration_at(position, configuration())], 'store')
        assert state.configuration_position == NEWER


def push_of(position, content) -> messages.ConfigPush:
    """Return a push of a configuration."""
    pushed = messages.ConfigObject(
        kind=SharedKind.CONFIGURATION.value,
        name='main',
        version=position,
        revision=position,
        is_deleted=False,
        spec=content,
    )
    return messages.ConfigPush(
        objects=[pushed],
        since_revision=0,
        up_to_revision=position,
        has_more=False,
    )


def without_tenants(content) -> bytes:
    """Encode a configuration as daemons of the earlier release do."""
    decoded = msgspec.json.decode(content)
    decoded.pop('tenants')
    return msgspec.json.encode(decoded)


class TestEarlierRelease:
    """Guards against keys that are switched off by what a peer relays."""

    @pytest.mark.parametrize('make_invalid', [without_tenants, bytes.upper])
    async def test_the_copy_of_the_store_is_taken(self, harness, make_invalid):
        node = await harness.add_node()
        state = node.sidecar.state
        position = state.store_revision + 9
        content = tenant_configuration(2)
        pushed = push_of(position, make_invalid(content))
        node.sidecar.peer_sync.merge_push(pushed, 'place-9')
        assert state.configuration_version == 1
        state.merge([configuration_at(position, content)], 'store')
        assert state.configuration_version == 2
        assert state.route_table.tenants is not None

    async def test_a_complete_configuration_is_taken(self, harness):
        node = await harness.add_node()
        state = node.sidecar.state
        position = state.store_revision + 9
        pushed = push_of(position, tenant_configuration(2))
        node.sidecar.peer_sync.merge_push(pushed, 'place-9')
        await wait_until(lambda: state.configuration_version == 2)
        assert state.route_table.tenants is not None
