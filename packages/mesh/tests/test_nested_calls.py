"""Callers that have the same address as the target of their instance."""

import asyncio

import pytest
from fake_target import TARGET_HOST
from mesh_harness import wait_until

pytestmark = pytest.mark.anyio


class TestSharedAddress:
    """Guards against requests that are taken for calls of the target.

    Requests of callers would use up the slots for the calls that running
    requests wait for.
    """

    async def test_new_requests_do_not_take_the_slots_of_nested_calls(
        self, harness
    ):
        node = await harness.add_node()
        node.target.script = node.target.hang
        admission = node.sidecar.admission
        limit = admission.load_for('read').limit
        async with asyncio.TaskGroup() as group:
            requests = [
                group.create_task(node.send_request(from_host=TARGET_HOST))
                for _ in range(limit + 1)
            ]
            await wait_until(lambda: admission.work_count == limit + 1)
            assert admission.load_for('read').in_flight == limit
            nested = group.create_task(
                node.send_request(
                    '/book/1', 'POST', from_host=TARGET_HOST, x_remaining='900'
                ),
            )
            await wait_until(lambda: admission.work_count == limit + 2)
            assert admission.load_for('read').in_flight == limit + 1
            for request in (*requests, nested):
                request.cancel()
