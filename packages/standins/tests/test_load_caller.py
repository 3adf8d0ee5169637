"""Tests of the load caller."""

import asyncio
import os

from cornelbeam_standins.load_caller import LoadPlan, measure
from cornelbeam_standins.processes import start_standin


class TestLoadCaller:
    """Guards against results from fewer calls than requested."""

    def test_all_calls_are_counted_at_any_concurrency(self):
        with start_standin('fast-backend', '--port', '0') as process:
            host, port = process.address.split(':')
            plan = LoadPlan(
                host=host,
                port=int(port),
                service='bench',
                path='/',
                concurrency=7,
                call_count=500,
                warm_up_count=20,
                pids=(process.pid, os.getpid()),
            )
            load_result = asyncio.run(measure(plan))
        assert load_result.call_count == 500
        assert not load_result.error_count
        assert 0 < load_result.p50_us <= load_result.p99_us

    def test_server_that_goes_away_shows_as_errors(self):
        async def body():
            server = await asyncio.start_server(close_at_once, '127.0.0.1', 0)
            async with server:
                host, port = server.sockets[0].getsockname()
                plan = LoadPlan(
                    host=host,
                    port=port,
                    service='bench',
                    path='/',
                    concurrency=2,
                    call_count=10,
                    warm_up_count=0,
                )
                return await measure(plan)

        load_result = asyncio.run(body())
        assert load_result.error_count == 2


async def close_at_once(reader, writer):
    """Close the connection without an answer."""
    writer.close()
