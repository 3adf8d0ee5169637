"""Bytes that stay counted after the work they were buffered for."""

import asyncio
import gc

import pytest
from cornelbeam_core.routes import RequestKind
from mesh_harness import head, route, start_serving, wait_until

pytestmark = pytest.mark.anyio
UPLOAD = route('upload', RequestKind.UPLOAD)
LONG = bytes(3_000_000)
SHORT = bytes(100_000)


async def send_and_abort(node, raw, answer_bytes=0) -> None:
    """Send bytes, read a part of the answer and reset the connection."""
    reader, writer = await asyncio.open_connection(
        *node.addresses['callers'].split(':')
    )
    writer.write(raw)
    if answer_bytes:
        await reader.readexactly(answer_bytes)
    else:
        await asyncio.sleep(0.02)
    writer.transport.abort()


def used_bytes(nodes) -> list[int]:
    """Return what all daemons count."""
    return [node.sidecar._budget.used_bytes for node in nodes]


@pytest.fixture(autouse=True)
def _no_collection():
    """Let nothing depend on when the garbage collector runs."""
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize('placement', ['local', 'remote'])
class TestAccounts:
    """Guards against a budget that runs short for good.

    Bytes that stay counted would end in the refusal of all bodies, and bytes
    that are uncounted twice in no limit.
    """

    async def test_nothing_stays_counted(self, harness, placement):
        node, *targets = await start_serving(harness, placement, UPLOAD)

        async def answer_long(writer, attempt) -> None:
            writer.write(targets[0].target.whole(attempt, body=LONG))

        for path, body in (
            ('/read/1', SHORT),
            ('/book/1', LONG),
            ('/upload/1', LONG),
            ('/upload/1', SHORT),
        ):
            await node.send_request(path, 'POST', body)
        whole = head('/read/1', 'GET', SHORT) + SHORT
        await send_and_abort(node, whole * 12)
        await send_and_abort(node, whole * 3, 10)
        for path in ('/read/1', '/book/1', '/upload/1'):
            await send_and_abort(node, head(path, 'POST', LONG) + LONG[:-1])
            await send_and_abort(node, head(path, 'POST', LONG) + SHORT)
        for each in targets:
            each.target.script = answer_long
        await node.send_request('/read/1')
        await send_and_abort(node, head('/read/1'), 100_000)
        await send_and_abort(node, head('/read/1') * 12, 100_000)
        await wait_until(lambda: not node.sidecar.forwarder.in_flight_count)
        await wait_until(lambda: not any(used_bytes(harness.nodes)))
        assert used_bytes(harness.nodes) == [0 for _ in harness.nodes]
