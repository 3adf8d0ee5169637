"""Positions of configurations that daemons receive from peers."""

import pytest
from cornelbeam_core.shared_objects import SharedKind, SharedObject
from cornelbeam_mesh.fleet_state import FleetState
from mesh_harness import configuration
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
