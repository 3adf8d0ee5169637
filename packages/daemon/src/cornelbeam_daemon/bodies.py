"""Streaming of request and answer bodies with bounded memory."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

from cornelbeam_daemon.memory_budget import MemoryAccount

BUFFER_LIMIT_BYTES: Final = 256 * 1024
# Limit of a buffer while the memory for all buffers is short.
SHORT_BUFFER_BYTES: Final = 64 * 1024
# A request body up to this size can be sent again to another target.
REPLAY_LIMIT_BYTES: Final = 64 * 1024
# The deadline of a request covers only the head of its answer, as a long body
# may take longer. A body that stops arriving would hold its slot forever.
STALL_TIMEOUT_S: Final = 60.0
# A kept body is sent again in parts of up to this size.
READ_BYTES: Final = 64 * 1024
# Smaller parts are joined as they arrive: an object for each part of a few
# bytes would take many times the memory of its content.
JOINED_PART_BYTES: Final = 256
# Only the head of a health answer is used, so a longer body is not worth its
# reading.
MAX_HEALTH_BODY_BYTES: Final = BUFFER_LIMIT_BYTES


@final
class BodyBuffer:
    """Passes body parts from one producer to one consumer.

    ``on_consumed`` is called with the number of bytes that the consumer took,
    so that the producer can resume reading or grant credit. ``on_wanted`` is
    set while the producer holds the body back, and called once to ask for it.
    What is buffered and kept is counted in ``account``.
    """

    __slots__ = (
        '_account',
        '_error',
        '_is_dropped',
        '_parts',
        '_waiter',
        'is_complete',
        'kept',
        'on_consumed',
        'on_wanted',
        'size_bytes',
    )

    def __init__(
        self,
        on_consumed: Callable[[int], None] | None = None,
        account: MemoryAccount | None = None,
    ) -> None:
        """Create an empty buffer."""
        self._account = account
        self._is_dropped = False
        # The start of the body that stays in memory after it was consumed.
        self.kept = bytearray()
        self._parts: deque[bytes] = deque()
        self._error: CornelbeamError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.is_complete = False
        self.on_consumed = on_consumed
        self.on_wanted: Callable[[], None] | None = None
        self.size_bytes = 0

    @property
    def is_ended(self) -> bool:
        """Return whether the body is complete and fully consumed."""
        is_consumed = self.is_complete and not self._parts
        return is_consumed and not self._is_dropped

    def __del__(self) -> None:  # noqa: WPS603
        """Stop counting an answer that nobody has read to its end.

        It may be dropped by its connection, its call or its reader.
        """
        if self._account is not None:
            self._account.subtract(self.size_bytes + len(self.kept))

    @property
    def is_full(self) -> bool:
        """Return whether the producer should wait for the consumer."""
        if self.size_bytes > SHORT_BUFFER_BYTES and self._account is not None:
            return (
                self.size_bytes > BUFFER_LIMIT_BYTES or self._account.is_short
            )
        return self.size_bytes > BUFFER_LIMIT_BYTES

    def keep(self, content: bytes) -> None:
        """Keep a consumed part in memory, until ``drop`` is called."""
        self.kept += content
        if self._account is not None:
            self._account.add(len(content))

    def drop(self) -> None:
        """Drop what is buffered and kept; nothing is counted any more.

        The handling of a request that has ended may still refer to its body,
        and a reader gets an error, as a shorter body may look complete.
        """
        self._is_dropped = True
        account = self._account
        self._account = None
        if account is not None:
            account.subtract(self.size_bytes + len(self.kept))
        self._parts.clear()
        self.size_bytes = 0
        self.kept = bytearray()

    def feed(self, content: bytes) -> None:
        """Append a part; do nothing after ``drop``, as earlier ones are gone.

        Raise ``protocol_violation`` after the end of the body, as the consumer
        may have announced its full size already.
        """
        if self._is_dropped:
            return
        if content and self.is_complete:
            raise CornelbeamError(
                ErrorCode.PROTOCOL_VIOLATION,
                'body',
                detail='data after the end of the body',
                run_state=RunState.UNKNOWN,
            )
        if content:
            self._append(content)
            self.size_bytes += len(content)
            self._wake()
            if self._account is not None:
                # Last, as it may refuse this body.
                self._account.add(len(content))

    def push_front(self, content: bytes) -> None:
        """Put a consumed part back at the front."""
        self._parts.appendleft(content)
        self.size_bytes += len(content)
        if self._account is not None:
            self._account.add(len(content))

    def finish(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self._wake()

    def fail(self, error: CornelbeamError) -> None:
        """Mark the body as broken; ``read`` raises ``error``."""
        if not self.is_complete:
            self._error = error
            self._wake()

    def raise_error(self) -> None:
        """Raise the error that was passed to ``fail``, if any."""
        if self._error is not None:
            raise self._error

    def take_ready(self) -> bytes:
        """Return everything that has arrived, empty if nothing has."""
        if not self._parts:
            return b''
        content = (
            self._parts[0] if len(self._parts) == 1 else b''.join(self._parts)
        )
        self._parts.clear()
        self.size_bytes = 0
        if self._account is not None:
            self._account.subtract(len(content))
        if self.on_consumed is not None:
            self.on_consumed(len(content))
        return content

    async def read(self) -> bytes:
        """Wait for the next parts; return empty bytes at the end of the body.

        The first wait asks for a body that is held back. Raise the
        ``CornelbeamError`` that was passed to ``fail``.
        """
        while not self._parts:
            self.raise_error()
            if self._is_dropped:
                raise CornelbeamError(
                    ErrorCode.PROTOCOL_VIOLATION,
                    'body',
                    detail='the body has been dropped',
                    run_state=RunState.UNKNOWN,
                )
            if self.is_complete:
                return b''
            self._ask()
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self.take_ready()

    async def read_answer(self) -> bytes:
        """Wait for the next parts of an answer; see ``read``.

        Raise ``answer_truncated`` when none arrive within
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

    async def collect(self, content: bytearray, limit_bytes: int) -> None:
        """Append parts to ``content`` until it exceeds the limit, or the end.

        Raise as ``read`` does.
        """
        while not self.is_ended and len(content) <= limit_bytes:
            content += await self.read()

    async def skip_health_body(self) -> None:
        """Read and drop up to ``MAX_HEALTH_BODY_BYTES`` and the next part.

        Raise as ``read`` does. A longer body is not ended then.
        """
        left_bytes = MAX_HEALTH_BODY_BYTES
        while left_bytes > 0 and not self.is_ended:
            left_bytes -= len(await self.read())

    def _append(self, content: bytes) -> None:
        last_bytes = len(self._parts[-1]) if self._parts else JOINED_PART_BYTES
        if last_bytes + len(content) <= JOINED_PART_BYTES:
            self._parts[-1] += content
        else:
            self._parts.append(content)

    def _ask(self) -> None:
        on_wanted = self.on_wanted
        self.on_wanted = None
        if on_wanted is not None:
            on_wanted()

    def _wake(self) -> None:
        waiter = self._waiter
        self._waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


@final
class RequestBody:
    """Request body that can be read more than once while it is short.

    Its start is kept until it exceeds ``replay_limit_bytes``; what is read
    later is dropped. Readers start at the first byte, one after another. A
    reader that comes to a dropped part raises an error, as a body with a hole
    may look complete to a target.
    """

    __slots__ = (
        '_buffer',
        '_read_bytes',
        '_replay_limit_bytes',
        'is_replayable',
    )

    def __init__(
        self,
        buffer: BodyBuffer,
        replay_limit_bytes: int = REPLAY_LIMIT_BYTES,
    ) -> None:
        """Read from the buffer that the caller's connection fills."""
        self._buffer = buffer
        self._replay_limit_bytes = replay_limit_bytes
        # Size of what has been read, kept or not.
        self._read_bytes = 0
        # Whether all that has arrived so far is short enough to be kept.
        self.is_replayable = True

    @property
    def kept_bytes(self) -> int:
        """Size of the start that is kept."""
        return len(self._buffer.kept)

    @property
    def is_intact(self) -> bool:
        """Return whether no part has been dropped.

        Another reader can then read the body from its start.
        """
        return self._read_bytes == len(self._buffer.kept)

    @property
    def is_rest_dropped(self) -> bool:
        """Return whether more may follow, of which nothing will be kept."""
        return not self.is_replayable and not self._buffer.is_ended

    @property
    def is_whole(self) -> bool:
        """Return whether the whole body has been read and kept."""
        return self._buffer.is_ended and self.is_replayable

    @property
    def is_held(self) -> bool:
        """Return whether the sender waits until it is asked for the body."""
        return self._buffer.on_wanted is not None

    async def buffer_all(self) -> None:
        """Read until the body ends or exceeds the replay limit."""
        while not self._buffer.is_ended and self.is_replayable:
            await self.read_next()

    async def buffer_until(self, deadline_s: float, peer: str = '') -> None:
        """Buffer the body as ``buffer_all`` does, until the deadline.

        Raise ``deadline_passed`` with the peer ``peer`` when it does not
        arrive in time.
        """
        try:
            async with asyncio.timeout_at(deadline_s):
                await self.buffer_all()
        except TimeoutError as error:
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'request body',
                peer,
                'the body did not arrive in time',
            ) from error

    def reader(self) -> 'BodyReader':
        """Return a reader that starts at the first byte."""
        return BodyReader(self)

    def kept_from(self, start: int, size_bytes: int | None = None) -> bytes:
        """Return what is kept from an offset on, up to ``size_bytes`` of it.

        Raise ``protocol_violation`` if what follows has been dropped.
        """
        if len(self._buffer.kept) <= start < self._read_bytes:
            raise CornelbeamError(
                ErrorCode.PROTOCOL_VIOLATION,
                'request body',
                detail='a part of the body has not been kept',
            )
        end = None if size_bytes is None else start + size_bytes
        return bytes(memoryview(self._buffer.kept)[start:end])

    def kept_start(self, size_bytes: int) -> bytes:
        """Return up to ``size_bytes`` of the start that has been kept."""
        return bytes(memoryview(self._buffer.kept)[:size_bytes])

    def raise_error(self) -> None:
        """Raise the error of a body that can't arrive whole."""
        self._buffer.raise_error()

    def take_ready(self) -> bytes:
        """Return what has arrived, and keep it for later readers."""
        return self._keep(self._buffer.take_ready())

    async def read_next(self) -> bytes:
        """Wait for the next part from the caller, and keep it."""
        return self._keep(await self._buffer.read())

    def _keep(self, content: bytes) -> bytes:
        self._read_bytes += len(content)
        if self.is_replayable:
            self._buffer.keep(content)
            self.is_replayable = (
                len(self._buffer.kept) <= self._replay_limit_bytes
            )
        return content


@final
class BodyReader:
    """Reads a request body once, from its start."""

    __slots__ = ('_body', '_offset')

    def __init__(self, body: RequestBody) -> None:
        """Start at the first byte."""
        self._body = body
        self._offset = 0

    @property
    def is_next_dropped(self) -> bool:
        """Return whether no other reader can read the next part again.

        False at the end of the body, which has no next part.
        """
        is_past_kept = self._offset >= self._body.kept_bytes
        return is_past_kept and self._body.is_rest_dropped

    def take_first(self) -> tuple[bytes, bool]:
        """Return what is available now and whether it is the whole body.

        What would not be kept is left for ``read``. Raise
        ``protocol_violation`` if a part has been dropped, and the error of a
        body that has failed, as a target may act on the head of the request.
        """
        self._body.raise_error()
        kept = self._body.kept_from(self._offset)
        self._offset += len(kept)
        # Raises if the next part has been dropped.
        self._body.kept_from(self._offset)
        if self.is_next_dropped:
            return kept, False
        fresh = self._body.take_ready()
        self._offset += len(fresh)
        return kept + fresh, self._body.is_whole

    async def read(self) -> bytes:
        """Return the next part, empty at the end of the body.

        Raise ``protocol_violation`` if the part has been dropped, and as
        ``BodyBuffer.read`` does.
        """
        part = self._body.kept_from(self._offset, READ_BYTES)
        if not part:
            part = await self._body.read_next()
        self._offset += len(part)
        return part
