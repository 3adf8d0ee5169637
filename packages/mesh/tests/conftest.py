"""Fixtures with a harness of sidecars for each test."""

import anyio
import pytest
from anyio.lowlevel import checkpoint
from cornelbeam_core.shared_objects import SharedKind
from mesh_harness import Harness, configuration

CLOSING_ITERATION_COUNT = 20


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the daemon does."""
    return 'asyncio'


@pytest.fixture
async def harness(anyio_backend):
    """Yield a harness whose store holds a configuration."""
    async with anyio.create_task_group() as group:
        new_harness = Harness(group)
        new_harness.store.put(SharedKind.CONFIGURATION, 'main', configuration())
        try:
            yield new_harness
        finally:
            group.cancel_scope.cancel()
            for node in new_harness.nodes:
                node.target.stop()
    # Aborted connections close in the next iterations of the event loop.
    for _ in range(CLOSING_ITERATION_COUNT):
        await checkpoint()
