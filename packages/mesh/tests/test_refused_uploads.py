"""Uploads that a target refuses while their body is arriving."""

import asyncio
import random

import pytest
from cornelbeam_core.routes import RequestKind
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_mesh.forwarded_request import MAX_REPLAYABLE_BODY_BYTES
from fake_target import read_message
from mesh_harness import (
    WAIT_LIMIT_S,
    configuration,
    head,
    route,
    wait_until,
)

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'
SEED = 31
CHUNK_BYTES = 16_384
LONG_BODY = random.Random(SEED).randbytes(3_000_000)
SHORT_BODY = LONG_BODY[: MAX_REPLAYABLE_BODY_BYTES // 2]
# Beyond what is kept for another target.
SHED_AT_BYTES = MAX_REPLAYABLE_BODY_BYTES + 4 * CHUNK_BYTES
UPLOAD = route('upload', RequestKind.UPLOAD, timeout_ms=15_000)
FRAMINGS = ('chunks', 'length')


class Upload:
    """An upload whose sender pauses until it is told to go on."""

    def __init__(self, framing, body=LONG_BODY) -> None:
        """Send ``body`` in chunks or with its length."""
        self.body = body
        self._is_chunked = framing == 'chunks'

    async def send(self, node, pause_at_bytes, may_go_on):
        """Send through a node; return status line, fields and body."""
        reader, writer = await asyncio.open_connection(
            *node.addresses['callers'].split(':')
        )
        sender = asyncio.ensure_future(
            self._write(writer, pause_at_bytes, may_go_on)
        )
        try:
            async with asyncio.timeout(WAIT_LIMIT_S):
                return await read_message(reader)
        finally:
            sender.cancel()
            writer.close()

    async def _write(self, writer, pause_at_bytes, may_go_on) -> None:
        writer.write(self._head())
        for start in range(0, len(self.body), CHUNK_BYTES):
            if start >= pause_at_bytes:
                await may_go_on.wait()
            chunk = self.body[start : start + CHUNK_BYTES]
            if self._is_chunked:
                chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
            writer.write(chunk)
            await writer.drain()
        if self._is_chunked:
            writer.write(b'0\r\n\r\n')

    def _head(self) -> bytes:
        if not self._is_chunked:
            return head('/upload/1', 'POST', self.body)
        sent = head('/upload/1', 'POST', transfer_encoding='chunked')
        return sent.replace(b'content-length: 0\r\n', b'')


@pytest.fixture(params=['local', 'remote'])
async def nodes(request, harness):
    """Yield three nodes: for callers, with the first and the second target."""
    harness.store.put(
        SharedKind.CONFIGURATION, 'main', configuration(2, (UPLOAD,))
    )
    near = await harness.add_node()
    far = [await harness.add_node('south') for _ in range(2)]
    await wait_until(lambda: near.sidecar.state.route_table.version == 2)
    if request.param == 'remote':
        near.send_heartbeat(is_draining=True)
        return [near, *far]
    far[1].send_heartbeat(is_draining=True)
    await wait_until(lambda: not near.knows(far[1]))
    return [near, near, far[0]]


def run_bodies(nodes):
    """Return the bodies that targets got whole."""
    return [body for node in set(nodes) for _, _, body in node.target.requests]


@pytest.mark.parametrize('framing', FRAMINGS)
class TestRefusedUpload:
    """Guards against uploads that are stored with a hole after a refusal."""

    async def test_upload_with_a_dropped_part_goes_nowhere_else(
        self, nodes, framing
    ):
        caller = nodes[0]
        shedding = {node.target for node in nodes[1:]}
        has_shed = asyncio.Event()
        for target in shedding:
            target.shed_at_bytes = SHED_AT_BYTES
            # Only the first target refuses.
            target.has_shed = has_shed
        answered = asyncio.ensure_future(
            Upload(framing).send(caller, 2 * SHED_AT_BYTES, has_shed)
        )
        await has_shed.wait()
        for target in shedding:
            target.shed_at_bytes = None
        status, fields, _ = await answered
        assert not run_bodies(nodes)
        assert status.startswith('HTTP/1.1 503')
        assert float(fields[b'retry-after']) > 0

    async def test_kept_upload_goes_to_the_other_target(self, nodes, framing):
        caller = nodes[0]
        shedding = {node.target for node in nodes[1:]}
        has_shed = asyncio.Event()
        for target in shedding:
            target.shed_at_bytes = CHUNK_BYTES
            target.has_shed = has_shed
        answered = asyncio.ensure_future(
            Upload(framing, SHORT_BODY).send(caller, len(LONG_BODY), has_shed)
        )
        await has_shed.wait()
        for target in shedding:
            target.shed_at_bytes = None
        status, _, _ = await answered
        assert status == OK
        assert run_bodies(nodes) == [SHORT_BODY]
