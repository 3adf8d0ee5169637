"""Requests with long bodies, and callers that pause while they send."""

import asyncio
import random

from cornelbeam_mesh.forwarded_request import MAX_REPLAYABLE_BODY_BYTES
from fake_target import read_message
from mesh_harness import WAIT_LIMIT_S, head

SEED = 31
CHUNK_BYTES = 16_384
# Too long to be kept for another target.
LONG_BODY = random.Random(SEED).randbytes(3_000_000)
# Kept by the daemon of the caller, but not by that of a remote target.
SHORT_BODY = LONG_BODY[: MAX_REPLAYABLE_BODY_BYTES // 2]
FRAMINGS = ('chunks', 'length')


class LongRequest:
    """POST request with a body that is sent in chunks or with its length."""

    def __init__(self, path, framing, body=LONG_BODY) -> None:
        """Prepare a request; ``framing`` is one of ``FRAMINGS``."""
        self.path = path
        self.body = body
        self._is_chunked = framing == 'chunks'

    async def send(self, node, pause_at_bytes=None, may_go_on=None):
        """Send through a node; return status line, fields and body.

        The caller pauses at ``pause_at_bytes`` until ``may_go_on`` is set.
        """
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
            if pause_at_bytes is not None and start >= pause_at_bytes:
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
            return head(self.path, 'POST', self.body)
        sent = head(self.path, 'POST', transfer_encoding='chunked')
        return sent.replace(b'content-length: 0\r\n', b'')
