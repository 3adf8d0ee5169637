"""A bed of sidecars for each test."""

import anyio
import pytest
from anyio.lowlevel import checkpoint
from cornelbeam_core.shared_objects import SharedKind
from mesh_harness import Harness, configuration

CLOSING_TURN_COUNT = 20


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the daemon does."""
    return 'asyncio'


@pytest.fixture
async def harness(anyio_backend):
    """Give a bed whose store holds a configuration."""
    async with anyio.create_task_group() as group:
        made = Harness(group)
        made.store.put(SharedKind.CONFIGURATION, 'main', configuration())
        try:
            yield made
        finally:
            group.cancel_scope.cancel()
            for node in made.nodes:
                node.target.stop()
    # Connections that were aborted end in the next turns of the loop.
    for _ in range(CLOSING_TURN_COUNT):
        await checkpoint()
