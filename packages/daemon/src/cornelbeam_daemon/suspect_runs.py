"""Runs requests that may have crashed a target one at a time."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final, final

from cornelbeam_daemon.calls import Call
from cornelbeam_daemon.quarantine_sync import QuarantineSync

# Longest wait of a suspect for the one that is running. Most suspects are
# innocent, so they are not held back until their deadlines.
MAX_ISOLATION_WAIT_S: Final = 0.5


@final
class SuspectRuns:
    """Keeps suspects apart, so that the next crash shows which one it was."""

    __slots__ = ('_lock', '_quarantine')

    def __init__(self, quarantine: QuarantineSync) -> None:
        """Ask ``quarantine`` which requests are suspected."""
        self._quarantine = quarantine
        self._lock = asyncio.Lock()

    @asynccontextmanager
    async def isolated(self, call: Call) -> AsyncIterator[None]:
        """Run a call while no other suspect runs, if it is one itself."""
        if self._quarantine.is_suspected(call.fingerprint):
            call.is_suspect = True
        if not call.is_suspect:
            yield
            return
        is_alone = await self._wait_for_turn()
        try:
            # It may have been quarantined meanwhile.
            self._quarantine.check(call.fingerprint)
            yield
        finally:
            if is_alone:
                self._lock.release()

    async def _wait_for_turn(self) -> bool:
        try:
            async with asyncio.timeout(MAX_ISOLATION_WAIT_S):
                return await self._lock.acquire()
        except TimeoutError:
            return False
