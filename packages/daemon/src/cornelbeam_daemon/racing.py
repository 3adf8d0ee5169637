"""A second attempt in parallel to one that has not answered yet."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import final

from cornelbeam_core.errors import CornelbeamError

from cornelbeam_daemon.calls import Answer

Attempt = Coroutine[None, None, Answer]


@final
class SecondAttempt:
    """Second attempt, which cancels the first one if it answers earlier.

    ``make`` returns the attempt when it is started, or ``None`` if there is
    none to make. Its error ends the first attempt too if ``is_conclusive``
    returns true for it.
    """

    __slots__ = (
        '_first_task',
        '_has_interrupted',
        '_is_conclusive',
        '_make',
        '_task',
        'is_started',
    )

    def __init__(
        self,
        make: Callable[[], Attempt | None],
        is_conclusive: Callable[[CornelbeamError], bool] | None = None,
    ) -> None:
        """Prepare an attempt for the task that runs the first one."""
        self._first_task = asyncio.current_task()
        self._make = make
        self._is_conclusive = is_conclusive
        self._task: asyncio.Task[Answer] | None = None
        self._has_interrupted = False
        self.is_started = False

    def start(self) -> None:
        """Start the attempt; do nothing if it has been started."""
        if self.is_started or self._first_task is None:
            return
        attempt = self._make()
        if attempt is not None:
            self.is_started = True
            self._task = asyncio.get_running_loop().create_task(attempt)
            self._task.add_done_callback(self._interrupt_first)

    async def wait(self) -> Answer | None:
        """Wait for a started attempt; return its answer, if any.

        Raise its error if it is conclusive.
        """
        task = self._task
        if task is None:
            return None
        # The first attempt has ended, so there is nothing to interrupt.
        self._first_task = None
        await asyncio.wait((task,))
        if not self._is_decisive(task):
            return None
        self._task = None
        return task.result()

    def take_winner(self) -> Answer | None:
        """Return the answer for which the first attempt was cancelled.

        Return ``None`` when the request itself was cancelled as well. Raise
        the error of the second attempt if that ended the first one.
        """
        task = self._task
        if task is None or not self._has_interrupted:
            return None
        if self._first_task is not None and self._first_task.uncancel():
            return None
        self._task = None
        return task.result()

    def discard(self) -> None:
        """Cancel an attempt that is not needed, or close its answer."""
        task = self._task
        self._first_task = None
        self._task = None
        if task is None:
            return
        task.add_done_callback(_close_answer)
        task.cancel()

    def _interrupt_first(self, task: asyncio.Task[Answer]) -> None:
        if self._is_decisive(task) and self._first_task is not None:
            self._has_interrupted = True
            self._first_task.cancel()

    def _is_decisive(self, task: asyncio.Task[Answer]) -> bool:
        """Return whether an ended attempt makes the first one needless."""
        if task.cancelled():
            return False
        error = task.exception()
        if isinstance(error, CornelbeamError):
            return self._is_conclusive is not None and self._is_conclusive(
                error
            )
        return error is None


async def race(first: Attempt, second: SecondAttempt) -> Answer:
    """Return the answer that arrives first and cancel the other attempt.

    Raise the error of the first attempt when both fail. The first attempt runs
    in the task of the request: most calls end before the second one starts, and
    a task for each would cost more than the rest of this function.
    """
    try:
        return await first
    except CornelbeamError:
        answer = await second.wait()
        if answer is None:
            raise
        return answer
    except asyncio.CancelledError:
        answer = second.take_winner()
        if answer is None:
            raise
        return answer
    finally:
        second.discard()


def _close_answer(task: asyncio.Task[Answer]) -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()
