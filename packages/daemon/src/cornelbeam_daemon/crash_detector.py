"""Detects that the target has crashed, and which requests it was running."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

from cornelbeam_daemon.calls import Call
from cornelbeam_daemon.logs import get_log

_log = get_log('backend')
# A crash ends all connections of the target at the same moment; their ends are
# read within this time.
CRASH_SETTLE_S: Final = 0.01
# Request ids in one log line.
_MAX_LOGGED_COUNT: Final = 40
_BROKEN_CODES: Final = frozenset(
    (
        ErrorCode.ANSWER_TRUNCATED,
        ErrorCode.BACKEND_FAILED,
        ErrorCode.BACKEND_UNREACHABLE,
    )
)


def is_broken_off(error: CornelbeamError) -> bool:
    """Return whether a target broke off while it ran the request.

    It may have crashed, or just this answer or connection may be faulty.
    """
    may_have_run = error.run_state is not RunState.NOT_RUN
    return may_have_run and error.code in _BROKEN_CODES


@final
class CrashDetector:
    """Tells a crash of the target from single answers that break off.

    A target that has crashed refuses connections. One that does not answer at
    all is cut off or without power, which no request has caused.
    """

    __slots__ = ('_broken', '_is_refusing', '_tasks', 'on_crash')

    def __init__(self, is_refusing: Callable[[], Awaitable[bool]]) -> None:
        """Use ``is_refusing`` to find out whether connections are refused."""
        self._is_refusing = is_refusing
        self._broken: list[Call] = []
        self._tasks: set[asyncio.Task[None]] = set()
        # Called with the calls that ran at the target when it crashed.
        self.on_crash: Callable[[list[Call]], None] = _ignore

    def note_broken_off(self, call: Call) -> None:
        """Record a call whose exchange broke off, and look for a crash."""
        self._broken.append(call)
        if len(self._broken) == 1:
            task = asyncio.ensure_future(self._look_for_crash())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _look_for_crash(self) -> None:
        await asyncio.sleep(CRASH_SETTLE_S)
        calls = self._broken
        self._broken = []
        if not await self._is_refusing():
            return
        ids = [call.request_id for call in calls]
        _log.warning(
            'target crashed',
            running=' '.join(ids[:_MAX_LOGGED_COUNT]),
            running_count=len(calls),
        )
        self.on_crash(calls)


def _ignore(calls: list[Call]) -> None:
    """Ignore a crash that nobody has subscribed to."""
