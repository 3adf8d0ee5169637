"""Targets whose health answers are false, either way."""

import pytest
from cornelbeam_core.placement import EJECTION_STREAK

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'
CALL_COUNT = 4 * EJECTION_STREAK


class TestFalseHealth:
    """Guards against trusting health answers more than requests."""

    async def test_target_that_says_it_is_ill_is_used(self, harness):
        node = await harness.add_node()
        node.target.state_in_health(b'x-ill: 1', b'503 Ill')
        node.sidecar._probe.request_probe()
        await node.sidecar._probe.measure_speed()
        assert (await node.send_request())[0] == OK
        assert (await node.send_request('/book/1', 'POST', b'x'))[0] == OK

    async def test_target_that_only_says_it_is_well_is_left(self, harness):
        near = await harness.add_node()
        far = await harness.add_node('south')
        near.target.script = near.target.fail
        for _ in range(CALL_COUNT):
            await near.send_request('/book/1', 'POST', b'x')
        near_count = len(near.target.requests)
        assert near_count < CALL_COUNT / 2
        assert len(far.target.requests) == CALL_COUNT - near_count
