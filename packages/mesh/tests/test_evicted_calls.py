"""Calls of tenants that the gate removes from its queue."""

import asyncio

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.load_shedding import QUEUE_PER_SLOT
from cornelbeam_daemon.bodies import BodyBuffer, RequestBody
from cornelbeam_daemon.calls import Call
from fake_target import read_message
from mesh_harness import SERVICE, wait_until

pytestmark = pytest.mark.anyio
# No wait ends in a test.
AMPLE_S = 60
AMPLE_MS = 60_000


def new_call(
    node, number, *, priority, tenant='school', max_wait_ms=AMPLE_MS
) -> Call:
    """Create a call without a body to the target of a node."""
    body = BodyBuffer()
    body.finish()
    return Call(
        attempt_id=f'attempt-{number}'.encode(),
        target_incarnation=node.sidecar.admission.ledger.incarnation,
        service=SERVICE,
        method=b'GET',
        path=b'/read/1',
        headers=[],
        deadline_s=asyncio.get_running_loop().time() + AMPLE_S,
        is_repeatable=True,
        caller='',
        hop_count=0,
        request_id=f'request-{number}',
        body=RequestBody(body),
        priority=priority,
        max_slot_wait_ms=max_wait_ms,
        objective_ms=AMPLE_MS,
        route='read',
        tenant=tenant,
    )


async def read_metrics(node) -> str:
    """Return the metrics of a node."""
    reader, writer = await asyncio.open_connection(
        *node.addresses['metrics'].split(':'),
    )
    writer.write(b'GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n')
    _, _, body = await read_message(reader)
    writer.close()
    return body.decode()


def fill_queue(node, count):
    """Start or queue calls of a tenant at a target that never answers."""
    node.target.script = node.target.hang
    return [
        asyncio.create_task(
            node.sidecar.admission.serve(new_call(node, number, priority=2))
        )
        for number in range(count)
    ]


class TestStatedWait:
    """Guards against giving up a call that would go before the queue."""

    @pytest.mark.parametrize(
        ('tenant', 'is_shorter'), [('school', True), ('', False)]
    )
    async def test_refusal_states_the_wait_of_the_call(
        self, harness, tenant, is_shorter
    ):
        node = await harness.add_node()
        admission = node.sidecar.admission
        count = admission.load_for('read').limit * 2
        calls = fill_queue(node, count)
        await wait_until(lambda: admission.work_count == count)
        hasty = new_call(node, count, priority=0, tenant=tenant, max_wait_ms=1)
        results = await asyncio.gather(
            admission.serve(hasty), return_exceptions=True
        )
        error = results[0]
        assert isinstance(error, CornelbeamError)
        assert error.code is ErrorCode.OVERLOADED
        assert (error.retry_after_ms < error.load.wait_ms) is is_shorter
        for waiting in calls:
            waiting.cancel()
        await asyncio.gather(*calls, return_exceptions=True)


class TestEvictedCall:
    """Guards against evicted calls that run, or are never answered."""

    async def test_it_is_refused_like_one_that_is_not_admitted(self, harness):
        node = await harness.add_node()
        admission = node.sidecar.admission
        limit = admission.load_for('read').limit
        count = limit * (QUEUE_PER_SLOT + 1)
        calls = fill_queue(node, count)
        await wait_until(lambda: admission.work_count == count)
        urgent = asyncio.create_task(
            admission.serve(new_call(node, count, priority=0))
        )
        await wait_until(lambda: any(each.done() for each in calls))
        (evicted,) = [each for each in calls if each.done()]  # noqa: WPS460
        error = evicted.exception()
        assert isinstance(error, CornelbeamError)
        assert error.code is ErrorCode.OVERLOADED
        assert error.run_state is RunState.NOT_RUN
        assert error.load.queue_length == limit * QUEUE_PER_SLOT
        assert not urgent.done()
        text = await read_metrics(node)
        assert 'cornelbeam_gate_refusals_total{reason="full"} 1' in text
        assert 'cornelbeam_gate_evictions_total{reason="full"} 1' in text
        for waiting in (*calls, urgent):
            waiting.cancel()
        await asyncio.gather(*calls, urgent, return_exceptions=True)
        assert admission.work_count == 0
