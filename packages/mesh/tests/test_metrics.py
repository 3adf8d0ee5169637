"""Metrics that operators read."""

import asyncio

import pytest
from fake_target import read_message

pytestmark = pytest.mark.anyio


class TestMetrics:
    """Guards against failures that don't show in the metrics."""

    async def test_requests_and_store_are_counted(self, harness):
        node = await harness.add_node()
        await node.send_request()
        await node.send_request('/other/')
        reader, writer = await asyncio.open_connection(
            *node.addresses['metrics'].split(':'),
        )
        writer.write(b'GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n')
        _, _, body = await read_message(reader)
        writer.close()
        text = body.decode()
        assert 'cornelbeam_requests_total{outcome="200",route="read"} 1' in text
        assert 'outcome="unknown_service"' in text
        assert 'cornelbeam_store_reachable 1' in text
        assert 'cornelbeam_configuration_version 1' in text
