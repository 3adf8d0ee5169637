"""Tests of hedged attempts."""

import asyncio

import anyio
import pytest
from cornelbeam_core.budget import RetryBudget
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_daemon.bodies import BodyBuffer
from cornelbeam_daemon.calls import Answer
from cornelbeam_daemon.hedging import Hedger
from cornelbeam_daemon.metrics import Metrics
from prometheus_client import CollectorRegistry


class Attempts:
    """Attempts that record whether they were cancelled or closed."""

    def __init__(self):
        self.cancelled = []
        self.closed = []
        self.release = {}

    async def run(self, name, error=None):
        event = self.release.setdefault(name, asyncio.Event())
        try:
            await event.wait()
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        if error is not None:
            raise error
        return Answer(
            200,
            [b'name', name.encode()],
            BodyBuffer(),
            None,
            lambda: self.closed.append(name),
        )

    def end(self, name):
        self.release.setdefault(name, asyncio.Event()).set()


def make_hedger(burst_count=10):
    budget = RetryBudget(0, 0, burst_count)
    return Hedger(budget, Metrics(CollectorRegistry()))


def failure(detail):
    return CornelbeamError(ErrorCode.BACKEND_FAILED, 'test', detail=detail)


class TestRace:
    """Guards against lost answers, leaked attempts and duplicate answers."""

    def test_fast_first_attempt_starts_no_second(self):
        async def body():
            attempts = Attempts()
            attempts.end('first')
            answer = await make_hedger().race(
                attempts.run('first'),
                60,
                lambda: pytest.fail('a second attempt was made'),
            )
            assert answer.headers[1] == b'first'

        anyio.run(body)

    def test_second_attempt_wins_and_first_is_cancelled(self):
        async def body():
            attempts = Attempts()
            attempts.end('second')
            answer = await make_hedger().race(
                attempts.run('first'),
                0,
                lambda: attempts.run('second'),
            )
            assert answer.headers[1] == b'second'
            assert attempts.cancelled == ['first']
            assert not attempts.closed
            assert not asyncio.current_task().cancelling()

        anyio.run(body)

    def test_slow_second_attempt_is_cancelled(self):
        async def body():
            attempts = Attempts()
            started = asyncio.Event()

            def second():
                started.set()
                return attempts.run('second')

            race = asyncio.ensure_future(
                make_hedger().race(attempts.run('first'), 0, second),
            )
            await started.wait()
            await asyncio.sleep(0)
            attempts.end('first')
            assert (await race).headers[1] == b'first'
            await asyncio.sleep(0)
            assert attempts.cancelled == ['second']

        anyio.run(body)

    def test_failed_first_attempt_waits_for_the_second(self):
        async def body():
            attempts = Attempts()
            started = asyncio.Event()

            def second():
                started.set()
                return attempts.run('second')

            race = asyncio.ensure_future(
                make_hedger().race(
                    attempts.run('first', failure('first')),
                    0,
                    second,
                ),
            )
            await started.wait()
            attempts.end('first')
            await asyncio.sleep(0)
            attempts.end('second')
            assert (await race).headers[1] == b'second'

        anyio.run(body)

    def test_error_of_the_first_attempt_is_raised_when_both_fail(self):
        async def body():
            attempts = Attempts()
            attempts.end('second')
            race = asyncio.ensure_future(
                make_hedger().race(
                    attempts.run('first', failure('first')),
                    0,
                    lambda: attempts.run('second', failure('second')),
                ),
            )
            await asyncio.sleep(0)
            attempts.end('first')
            with pytest.raises(CornelbeamError, match='first'):
                await race

        anyio.run(body)

    def test_cancelled_request_cancels_both_attempts(self):
        async def body():
            attempts = Attempts()
            started = asyncio.Event()

            def second():
                started.set()
                return attempts.run('second')

            race = asyncio.ensure_future(
                make_hedger().race(attempts.run('first'), 0, second),
            )
            await started.wait()
            await asyncio.sleep(0)
            race.cancel()
            with pytest.raises(asyncio.CancelledError):
                await race
            await asyncio.sleep(0)
            assert sorted(attempts.cancelled) == ['first', 'second']

        anyio.run(body)

    def test_no_second_attempt_without_budget(self):
        async def body():
            attempts = Attempts()
            race = asyncio.ensure_future(
                make_hedger(burst_count=1).race(
                    attempts.run('first'),
                    0,
                    lambda: pytest.fail('a second attempt was made'),
                ),
            )
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            attempts.end('first')
            assert (await race).headers[1] == b'first'

        anyio.run(body)
