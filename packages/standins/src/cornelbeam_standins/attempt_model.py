"""Specification of one request's attempts, over the shipped transitions.

A caller side sends a request that must not repeat to an instance that may be
replaced meanwhile. Its frames may be delayed for any time, delivered twice or
stay in a silent connection. Both sides may pause at any point, which is time
passing without a step of theirs. All decisions are those of ``AttemptLedger``,
``decide_retry`` and ``interpret_outcome``.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Final, final

import minicheck
from cornelbeam_core.attempts import (
    AttemptLedger,
    RecordResult,
    interpret_outcome,
)
from cornelbeam_core.errors import ErrorCode, RunState
from cornelbeam_core.retry import (
    AttemptResult,
    RetryDecision,
    RetrySettings,
    decide_retry,
)

from cornelbeam_standins.attempt_world import (
    INCARNATIONS,
    Frame,
    Phase,
    Reply,
    World,
    has_retry_evidence,
    is_at_most_once,
    is_fenced,
    is_not_run_true,
    is_ran_true,
    with_answer,
    with_item,
    with_ledger,
    without,
)
from cornelbeam_standins.model_search import ObjectStore

_CODES: Final = {
    RecordResult.REPEAT: ErrorCode.ATTEMPT_REPEATED,
    RecordResult.FORBIDDEN: ErrorCode.ATTEMPT_FORBIDDEN,
    RecordResult.WRONG_INCARNATION: ErrorCode.WRONG_INCARNATION,
    RecordResult.PAST_DEADLINE: ErrorCode.DEADLINE_PASSED,
    RecordResult.FULL: ErrorCode.OVERLOADED,
}
_ATTEMPT_IDS: Final = (b'0', b'1')


class AlwaysBudget:
    """Budget that permits every retry, the worst case for safety."""

    def try_take(self, now_s: float) -> bool:
        """Permit the retry."""
        return True


@final
@dataclass(frozen=True, slots=True)
class FixedRoute:
    """Route of the request of the specification."""

    is_repeatable: bool = False


Step = tuple[str, World]


@final
@dataclass(frozen=True, slots=True)
class AttemptRules:
    """What the search drives, with its bounds; mutations replace parts.

    Times are whole units: ``remaining`` is the time of the request, the
    clock stops at ``end``.
    """

    ledger_type: Callable[[int, int, float], AttemptLedger] = AttemptLedger
    decide: Callable[..., RetryDecision] = decide_retry
    interpret: Callable[[RunState, float, float], RunState] = interpret_outcome
    is_recording_first: bool = True
    is_closing_older: bool = True
    is_checking_streams: bool = True
    capacity: int = 4
    keep: int = 1
    remaining: int = 1
    end: int = 4


@final
class AttemptModel:
    """Transitions of the specification."""

    __slots__ = ('_rules', '_store')

    def __init__(self, rules: AttemptRules) -> None:
        """Prepare the ledger of the first process."""
        self._rules = rules
        self._store = ObjectStore()

    def protocol(self) -> minicheck.Protocol:
        """Give the specification to the checker."""
        return minicheck.Protocol(
            name='attempts',
            candidate=False,
            fields=World._fields,
            initial=World(ledgers=(self._new_ledger(0), None)),
            transitions=self._steps,
            invariants={
                'at_most_once': is_at_most_once,
                'not_run_is_true': is_not_run_true,
                'ran_is_true': is_ran_true,
                'retry_has_evidence': has_retry_evidence,
                'incarnation_is_fenced': is_fenced,
            },
        )

    def _new_ledger(self, process: int) -> int:
        rules = self._rules
        return self._store.add(
            rules.ledger_type(
                INCARNATIONS[process],
                rules.capacity,
                rules.keep,
            ),
        )

    def _steps(self, state: tuple[object, ...]) -> list[Step]:
        world = World(*state)  # type: ignore[arg-type]
        return [
            *self._pass_time(world),
            *self._replace_instance(world),
            *self._deliver(world),
            *self._hand_over(world),
            *self._end_run(world),
            *self._send(world),
            *self._read_replies(world),
            *self._lose_patience(world),
        ]

    def _pass_time(self, world: World) -> Iterator[Step]:
        if world.now < self._rules.end:
            yield 'time passes', world._replace(now=world.now + 1)
        for process, ledger in enumerate(world.ledgers):
            if ledger is not None:
                kept, _ = self._store.call(ledger, 'expire', world.now)
                if kept != ledger:
                    yield 'expire', with_ledger(world, process, kept)

    def _replace_instance(self, world: World) -> Iterator[Step]:
        if world.ledgers[1] is None:
            yield (
                'replace instance',
                with_ledger(world, 1, self._new_ledger(1)),
            )

    def _deliver(self, world: World) -> Iterator[Step]:
        for frame in world.frames:
            ledger = world.ledgers[frame.process]
            if ledger is None:
                continue
            rest = without(world.frames, frame)
            yield from self._receive(world._replace(frames=rest), frame)
            if self._rules.is_checking_streams:
                continue
            if not (frame.is_query or frame.is_repeated):
                again = frame._replace(is_repeated=True)
                twice = world._replace(frames=with_item(rest, again))
                yield from self._receive(twice, frame)

    def _receive(self, world: World, frame: Frame) -> Iterator[Step]:
        if frame.is_query:
            yield 'receive query', self._forbid(world, frame)
        elif self._rules.is_recording_first:
            yield 'receive attempt', self._record(world, frame)
        else:
            pair = frame.attempt, frame.process
            yield (
                'receive attempt',
                world._replace(handed=with_item(world.handed, pair)),
            )

    def _record(self, world: World, frame: Frame) -> World:
        ledger, recorded = self._store.call(
            world.ledgers[frame.process] or 0,
            'record',
            _ATTEMPT_IDS[frame.attempt],
            frame.incarnation,
            world.now,
            world.now + frame.remaining,
        )
        world = with_ledger(world, frame.process, ledger)
        if recorded is RecordResult.HAND_OVER:
            pair = frame.attempt, frame.process
            return world._replace(handed=with_item(world.handed, pair))
        return with_answer(
            world,
            Reply(
                frame.attempt,
                is_query=False,
                run_state=recorded.run_state,  # type: ignore[attr-defined]
                code=_CODES[recorded].value,  # type: ignore[index]
            ),
        )

    def _forbid(self, world: World, frame: Frame) -> World:
        if self._rules.is_closing_older:
            open_frames = tuple(
                each for each in world.frames if not _is_older(each, frame)
            )
            world = world._replace(frames=open_frames)
        ledger, run_state = self._store.call(
            world.ledgers[frame.process] or 0,
            'forbid',
            _ATTEMPT_IDS[frame.attempt],
            frame.incarnation,
            world.now,
            world.now + frame.remaining,
        )
        world = with_ledger(world, frame.process, ledger)
        return with_answer(
            world,
            Reply(
                frame.attempt,
                is_query=True,
                run_state=run_state,  # type: ignore[arg-type]
                code=ErrorCode.OUTCOME_UNKNOWN.value,
            ),
        )

    def _hand_over(self, world: World) -> Iterator[Step]:
        for pair in world.handed:
            rest = world._replace(handed=without(world.handed, pair))
            started = rest._replace(
                running=with_item(world.running, pair),
                runs=with_item(world.runs, pair),
            )
            if self._rules.is_recording_first:
                yield 'hand over', started
                yield (
                    'cancel before hand-over',
                    self._finish(rest, pair, RunState.NOT_RUN),
                )
            else:
                late = Frame(*pair, INCARNATIONS[pair[1]], 1)
                recorded = self._record(started, late)
                yield 'hand over', recorded._replace(handed=rest.handed)

    def _end_run(self, world: World) -> Iterator[Step]:
        for pair in world.running:
            rest = world._replace(running=without(world.running, pair))
            yield 'finish', self._finish(rest, pair, RunState.RAN)
            yield 'cancel run', self._finish(rest, pair, RunState.UNKNOWN)

    def _finish(
        self,
        world: World,
        pair: tuple[int, int],
        run_state: RunState,
    ) -> World:
        attempt, process = pair
        ledger, _ = self._store.call(
            world.ledgers[process] or 0,
            'finish',
            _ATTEMPT_IDS[attempt],
            None,
            world.now,
            run_state,
        )
        return with_answer(
            with_ledger(world, process, ledger),
            Reply(attempt, False, run_state, ErrorCode.BACKEND_FAILED.value),
        )

    def _send(self, world: World) -> Iterator[Step]:
        if world.phase is not Phase.SENDING:
            return
        remaining = self._rules.remaining - world.now
        if remaining <= 0:
            # Nothing was sent, or what was sent is known not to have run.
            told = world._replace(phase=Phase.TOLD, told=RunState.NOT_RUN)
            yield 'tell NOT_RUN', told
            return
        # The view may be stale and the address may lead to either process.
        for incarnation in INCARNATIONS:
            for process in self._processes(world):
                attempt = len(world.meant)
                frame = Frame(attempt, process, incarnation, remaining)
                yield (
                    f'send {attempt} for {incarnation} to {process + 1}',
                    world._replace(
                        frames=with_item(world.frames, frame),
                        meant=(*world.meant, incarnation),
                        phase=Phase.WAITING,
                    ),
                )

    def _read_replies(self, world: World) -> Iterator[Step]:
        if world.phase not in {Phase.WAITING, Phase.ASKING}:
            return
        for reply in world.replies:
            rest = world._replace(replies=without(world.replies, reply))
            yield from self._conclude(rest, reply)

    def _lose_patience(self, world: World) -> Iterator[Step]:
        if world.phase not in {Phase.WAITING, Phase.ASKING}:
            return
        reply = Reply(
            len(world.meant) - 1,
            world.phase is Phase.ASKING,
            RunState.UNKNOWN,
            ErrorCode.OUTCOME_UNKNOWN.value,
        )
        yield from self._conclude(world, reply)

    def _conclude(self, world: World, reply: Reply) -> Iterator[Step]:
        run_state = reply.run_state
        # The caller's time starts with the request, at zero.
        deadline = self._rules.remaining
        if reply.is_query:
            run_state = self._rules.interpret(run_state, world.now, deadline)
        decision = self._rules.decide(
            AttemptResult(
                run_state,
                ErrorCode(reply.code),
                is_idempotent=False,
                attempt_count=len(world.meant),
                is_outcome_asked=world.phase is Phase.ASKING,
            ),
            FixedRoute(),
            deadline,
            world.now,
            AlwaysBudget(),
            RetrySettings(max_attempt_count=len(_ATTEMPT_IDS)),
        )
        if decision is RetryDecision.RETRY:
            yield 'retry', world._replace(phase=Phase.SENDING, replies=())
        elif decision is RetryDecision.ASK_OUTCOME:
            yield from self._ask(world)
        else:
            told = world._replace(phase=Phase.TOLD, told=run_state, replies=())
            yield f'tell {run_state.name}', told

    def _ask(self, world: World) -> Iterator[Step]:
        attempt = len(world.meant) - 1
        remaining = self._rules.remaining - world.now
        for process in self._processes(world):
            frame = Frame(attempt, process, world.meant[-1], remaining, True)
            asking = world._replace(
                frames=with_item(world.frames, frame),
                phase=Phase.ASKING,
            )
            yield f'ask process {process + 1}', asking

    def _processes(self, world: World) -> Iterator[int]:
        return (
            process
            for process, ledger in enumerate(world.ledgers)
            if ledger is not None
        )


def mutate(rules: AttemptRules, **changes: object) -> AttemptRules:
    """Give rules with a fault, to show that the search finds it."""
    return replace(rules, **changes)  # type: ignore[arg-type]


def _is_older(frame: Frame, query: Frame) -> bool:
    # Each attempt has a connection, and its query a new one after that.
    return (
        not frame.is_query
        and frame.process == query.process
        and frame.attempt <= query.attempt
    )
