"""Bodies that stream through the daemon with bounded memory."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

BUFFER_LIMIT_BYTES: Final = 256 * 1024
# A request body up to this size can be sent again to another target.
REPLAY_LIMIT_BYTES: Final = 64 * 1024
# The deadline of a request ends with the head of its answer, as a long answer
# may take its time; one that stops in between would hold a slot for ever.
STALL_TIMEOUT_S: Final = 60.0


@final
class BodyBuffer:
    """Hands body parts from one producer to one consumer.

    ``on_consumed`` is called with the size of each part that the consumer
    took, so that the producer can read on or grant credit.
    """

    __slots__ = (
        '_error',
        '_parts',
        '_waiter',
        'is_complete',
        'on_consumed',
        'size_bytes',
    )

    def __init__(
        self,
        on_consumed: Callable[[int], None] | None = None,
    ) -> None:
        """Start empty."""
        self._parts: deque[bytes] = deque()
        self._error: CornelbeamError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.is_complete = False
        self.on_consumed = on_consumed
        self.size_bytes = 0

    @property
    def is_ended(self) -> bool:
        """Tell whether everything was produced and consumed."""
        return self.is_complete and not self._parts

    def feed(self, content: bytes) -> None:
        """Add a part.

        Raises ``protocol_violation`` for one after the end: the consumer has
        been told the size of the whole.
        """
        if content and self.is_complete:
            raise CornelbeamError(
                ErrorCode.PROTOCOL_VIOLATION,
                'body',
                detail='a part after the end',
                run_state=RunState.UNKNOWN,
            )
        if content:
            self._parts.append(content)
            self.size_bytes += len(content)
            self._wake()

    def push_front(self, content: bytes) -> None:
        """Put back a part that the consumer took."""
        self._parts.appendleft(content)
        self.size_bytes += len(content)

    def finish(self) -> None:
        """Mark the body as whole."""
        self.is_complete = True
        self._wake()

    def fail(self, error: CornelbeamError) -> None:
        """Mark the body as broken; the consumer gets the error."""
        if not self.is_complete:
            self._error = error
            self._wake()

    def take_ready(self) -> bytes:
        """Take all parts that have arrived, empty when there are none."""
        if not self._parts:
            return b''
        content = (
            self._parts[0] if len(self._parts) == 1 else b''.join(self._parts)
        )
        self._parts.clear()
        self.size_bytes = 0
        if self.on_consumed is not None:
            self.on_consumed(len(content))
        return content

    async def read(self) -> bytes:
        """Wait for the next parts; empty at the end of the body.

        Raises the ``CornelbeamError`` with which the producer failed.
        """
        while not self._parts:
            if self._error is not None:
                raise self._error
            if self.is_complete:
                return b''
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self.take_ready()

    async def read_answer(self) -> bytes:
        """Wait for the next parts of an answer; see ``read``.

        Raises ``answer_truncated`` when none arrive within
        ``STALL_TIMEOUT_S``.
        """
        try:
            async with asyncio.timeout(STALL_TIMEOUT_S):
                return await self.read()
        except TimeoutError as error:
            raise CornelbeamError(
                ErrorCode.ANSWER_TRUNCATED,
                'answer',
                detail=f'nothing arrived for {STALL_TIMEOUT_S} s',
                run_state=RunState.UNKNOWN,
            ) from error

    def _wake(self) -> None:
        waiter = self._waiter
        self._waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


@final
class RequestBody:
    """The body of a request, which may have to be sent more than once.

    What was read is kept up to ``replay_limit_bytes``; beyond that the
    request can go to one target only.
    """

    __slots__ = (
        '_buffer',
        '_kept',
        '_kept_bytes',
        '_replay_limit_bytes',
        'is_replayable',
    )

    def __init__(
        self,
        buffer: BodyBuffer,
        replay_limit_bytes: int = REPLAY_LIMIT_BYTES,
    ) -> None:
        """Wrap the buffer that the caller's connection fills."""
        self._buffer = buffer
        self._replay_limit_bytes = replay_limit_bytes
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self.is_replayable = True

    @property
    def kept_bytes(self) -> int:
        """Size of what was read and kept."""
        return self._kept_bytes

    @property
    def is_whole(self) -> bool:
        """Tell whether all of it has arrived and been kept."""
        return self._buffer.is_ended and self.is_replayable

    async def gather(self) -> None:
        """Wait until the whole body is here, or more than can be replayed."""
        while not self._buffer.is_ended and self.is_replayable:
            await self.read_on()

    async def buffer_until(self, deadline_s: float, peer: str = '') -> None:
        """Gather the body in time.

        Raises ``deadline_passed`` of ``peer`` when it does not arrive.
        """
        try:
            async with asyncio.timeout_at(deadline_s):
                await self.gather()
        except TimeoutError as error:
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'request body',
                peer,
                'the body did not arrive in time',
            ) from error

    def reader(self) -> 'BodyReader':
        """Read the body from its start."""
        return BodyReader(self)

    def kept_part(self, index: int) -> bytes | None:
        """Give a part that an earlier reader read."""
        return self._kept[index] if index < len(self._kept) else None

    def take_ready(self) -> bytes:
        """Take what has arrived."""
        return self._keep(self._buffer.take_ready())

    async def read_on(self) -> bytes:
        """Read the next part from the caller."""
        return self._keep(await self._buffer.read())

    def _keep(self, content: bytes) -> bytes:
        if content and self.is_replayable:
            self._kept.append(content)
            self._kept_bytes += len(content)
            if self._kept_bytes > self._replay_limit_bytes:
                self.is_replayable = False
        return content


@final
class BodyReader:
    """Reads a request body once, from its start."""

    __slots__ = ('_body', '_index')

    def __init__(self, body: RequestBody) -> None:
        """Start at the first part."""
        self._body = body
        self._index = 0

    def take_first(self) -> tuple[bytes, bool]:
        """Take what is there now; tell also whether that is the whole body."""
        parts = []
        kept = self._body.kept_part(self._index)
        while kept is not None:
            parts.append(kept)
            self._index += 1
            kept = self._body.kept_part(self._index)
        fresh = self._body.take_ready()
        if fresh:
            parts.append(fresh)
            self._index += 1
        return b''.join(parts), self._body.is_whole

    async def read(self) -> bytes:
        """Read the next part; empty at the end of the body."""
        kept = self._body.kept_part(self._index)
        self._index += 1
        if kept is not None:
            return kept
        return await self._body.read_on()
