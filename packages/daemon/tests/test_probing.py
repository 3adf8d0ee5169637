"""Tests that probes of a backend server stay within their budget."""

from types import SimpleNamespace

import anyio
import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.targets import LoadReport
from cornelbeam_daemon.metrics import Metrics
from cornelbeam_daemon.probing import Prober
from prometheus_client import CollectorRegistry

BURST_COUNT = 2


class FakeBackend:
    """Replaces the backend client and backend side, and counts probes."""

    def __init__(self):
        self.probe_count = 0
        self.load = LoadReport(0, 2, 0, 0, is_leaving=False)

    async def acquire(self):
        self.probe_count += 1
        await anyio.sleep(0)
        raise CornelbeamError(ErrorCode.BACKEND_UNREACHABLE, 'test')


class FakeMessenger:
    """Collects the replies."""

    def __init__(self):
        self.replies = []

    def reply(self, stream, probe_reply):
        self.replies.append(probe_reply)


def make_prober(backend):
    limits = SimpleNamespace(probe_burst_count=BURST_COUNT, probe_per_s=0)
    settings = SimpleNamespace(
        limits=limits,
        backend_server=SimpleNamespace(probe_path='/health'),
    )
    metrics = Metrics(CollectorRegistry())
    return Prober(settings, backend, backend, metrics)


async def ask_at_once(prober, messenger, caller_count):
    """Request one probe for each caller at the same time."""
    async with anyio.create_task_group() as group:
        for _ in range(caller_count):
            group.start_soon(prober.answer, None, messenger)


class TestProbeBudget:
    """Guards against probing costs that grow with the callers (I1)."""

    @pytest.mark.parametrize('caller_count', [1, 10, 200])
    def test_callers_share_the_budget(self, caller_count):
        async def body():
            backend = FakeBackend()
            messenger = FakeMessenger()
            prober = make_prober(backend)
            for _ in range(3):
                await ask_at_once(prober, messenger, caller_count)
            assert backend.probe_count <= BURST_COUNT
            assert len(messenger.replies) == 3 * caller_count
            assert not any(reply.is_healthy for reply in messenger.replies)

        anyio.run(body)
