"""Answers to pipelined requests, in the order of the requests."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from cornelbeam_daemon.bodies import BUFFER_LIMIT_BYTES
from cornelbeam_daemon.http_message import AnswerWriter, HttpRequest
from cornelbeam_daemon.memory_budget import MemoryAccount

# Requests of one connection that are read before the first is answered.
DEFAULT_PIPELINED_COUNT: Final = 8
# Methods whose requests may run at the same time (RFC 9112, section 9.3.2).
SAFE_METHODS: Final = frozenset((b'GET', b'HEAD'))


@final
class PipelineRules:
    """How many requests are read ahead, and which of them run ahead.

    A request for which ``may_overlap`` returns true runs while earlier ones of
    its connection run, if these may overlap too. It is passed on although its
    answer may never be sent, as an earlier one can break the connection, so it
    must be safe to repeat. All others wait until the earlier ones are answered.
    """

    __slots__ = ('_may_overlap', 'request_count')

    def __init__(
        self,
        request_count: int = DEFAULT_PIPELINED_COUNT,
        may_overlap: Callable[[HttpRequest], bool] | None = None,
    ) -> None:
        """Read ``request_count`` requests ahead; by default none overlap."""
        self.request_count = request_count
        self._may_overlap = may_overlap

    def may_overlap(self, request: HttpRequest) -> bool:
        """Return whether a request may run beside others."""
        if self._may_overlap is None or request.method not in SAFE_METHODS:
            return False
        is_all_here = request.body.is_ended and request.is_keep_alive
        return is_all_here and self._may_overlap(request)


@final
class PipelinedAnswer:
    """One request of a connection, and its answer until its turn comes.

    At most ``BUFFER_LIMIT_BYTES`` and one part are kept before that, then
    ``drain`` waits.
    """

    __slots__ = (
        '_account',
        '_buffer',
        '_buffered_bytes',
        '_connection',
        '_reserved_bytes',
        '_turn',
        'is_aborted',
        'is_done',
        'request',
        'task',
    )

    def __init__(
        self,
        connection: AnswerWriter,
        request: HttpRequest,
        account: MemoryAccount,
    ) -> None:
        """Keep what is written until ``take_turn`` is called.

        What is kept is counted in ``account``.
        """
        self.request = request
        self._account = account
        self._reserved_bytes = 0
        self.task: asyncio.Task[None] | None = None
        self.is_aborted = False
        self.is_done = False
        self._connection = connection
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._turn = asyncio.Event()

    def reserve(self) -> None:
        """Count a full buffer, as the request runs ahead of its turn."""
        self._reserved_bytes = BUFFER_LIMIT_BYTES
        self._account.add(BUFFER_LIMIT_BYTES)

    def release(self) -> None:
        """Stop counting: the answer has been written, or never will be."""
        self._account.subtract(max(self._reserved_bytes, self._buffered_bytes))
        self._reserved_bytes = 0
        self._buffered_bytes = 0
        self._buffer.clear()

    def write(self, content: bytes) -> None:
        """Write bytes now, or once all earlier answers have been written."""
        if self._turn.is_set():
            self._connection.write(content)
            return
        self._buffer.append(content)
        counted_bytes = max(self._reserved_bytes, self._buffered_bytes)
        self._buffered_bytes += len(content)
        if self._buffered_bytes > counted_bytes:
            self._account.add(self._buffered_bytes - counted_bytes)

    async def drain(self) -> None:
        """Wait while too much is kept, or while the caller reads slowly."""
        if self._turn.is_set():
            await self._connection.drain()
        elif self._buffered_bytes > BUFFER_LIMIT_BYTES:
            await self.wait_turn()

    async def wait_turn(self) -> None:
        """Wait until all of it has been written to the connection."""
        await self._turn.wait()
        await self._connection.drain()

    def abort(self) -> None:
        """Close the connection once all earlier answers have been written."""
        self.is_aborted = True
        if self._turn.is_set():
            self._connection.abort()

    def take_turn(self) -> None:
        """Write what was kept: all earlier answers have been written."""
        if self._turn.is_set():
            return
        self._turn.set()
        if self._buffer:
            self._connection.write(b''.join(self._buffer))
        self.release()
        if self.is_aborted:
            self._connection.abort()
