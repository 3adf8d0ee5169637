"""Model of the attempts of one request, checked by exhaustive search.

The caller side sends a request that must not be repeated to an instance that
may be replaced at any time. Frames may be delayed without limit, delivered
twice, or remain in a silent connection. Either side may pause at any point:
time then passes without a transition of that side. All decisions are made by
the production ``AttemptLedger``, ``decide_retry`` and ``interpret_outcome``.
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

from cornelbeam_standins.attempt_state import (
    INCARNATIONS,
    AttemptState,
    Frame,
    Phase,
    Reply,
    has_retry_evidence,
    insert_sorted,
    is_at_most_once,
    is_fenced,
    is_not_run_true,
    is_ran_true,
    remove_once,
    with_ledger,
    with_reply,
)
from cornelbeam_standins.model_search import SnapshotPool

_CODES: Final = {
    RecordResult.REPEAT: ErrorCode.ATTEMPT_REPEATED,
    RecordResult.FORBIDDEN: ErrorCode.ATTEMPT_FORBIDDEN,
    RecordResult.WRONG_INCARNATION: ErrorCode.WRONG_INCARNATION,
    RecordResult.PAST_DEADLINE: ErrorCode.DEADLINE_PASSED,
    RecordResult.FULL: ErrorCode.OVERLOADED,
}
_ATTEMPT_IDS: Final = (b'0', b'1')


class UnlimitedBudget:
    """Budget that permits every retry, which is the worst case for safety."""

    def try_take(self, now_s: float) -> bool:
        """Permit the retry."""
        return True


@final
@dataclass(frozen=True, slots=True)
class FixedRoute:
    """Route of the request, which must not be repeated."""

    is_repeatable: bool = False


Transition = tuple[str, AttemptState]


@final
@dataclass(frozen=True, slots=True)
class AttemptRules:
    """Code under test and bounds of the search; mutations replace fields.

    Times are in whole, abstract units: ``remaining`` is the time until the
    deadline of the request, and the clock stops at ``end``. The ledgers have
    ``capacity`` and ``keep``. The flags are rules of the daemon: it records an
    attempt before the hand-over and not after it, closes older connections on
    an outcome query, and discards frames with repeated stream ids.
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
    """Transitions between the states of the model."""

    __slots__ = ('_rules', '_snapshots')

    def __init__(self, rules: AttemptRules) -> None:
        """Create the model with an empty pool of snapshots."""
        self._rules = rules
        self._snapshots = SnapshotPool()

    def protocol(self) -> minicheck.Protocol:
        """Return the model in the form that the checker takes."""
        return minicheck.Protocol(
            name='attempts',
            candidate=False,
            fields=AttemptState._fields,
            initial=AttemptState(ledgers=(self._new_ledger(0), None)),
            transitions=self._transitions,
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
        return self._snapshots.add(
            rules.ledger_type(
                INCARNATIONS[process],
                rules.capacity,
                rules.keep,
            ),
        )

    def _transitions(self, packed: tuple[object, ...]) -> list[Transition]:
        state = AttemptState(*packed)  # type: ignore[arg-type]
        return [
            *self._advance_time(state),
            *self._replace_instance(state),
            *self._deliver(state),
            *self._hand_over(state),
            *self._end_run(state),
            *self._send(state),
            *self._read_replies(state),
            *self._time_out(state),
        ]

    def _advance_time(self, state: AttemptState) -> Iterator[Transition]:
        if state.now < self._rules.end:
            yield 'time passes', state._replace(now=state.now + 1)
        for process, ledger in enumerate(state.ledgers):
            if ledger is not None:
                expired, _ = self._snapshots.call(ledger, 'expire', state.now)
                if expired != ledger:
                    yield 'expire', with_ledger(state, process, expired)

    def _replace_instance(self, state: AttemptState) -> Iterator[Transition]:
        if state.ledgers[1] is None:
            yield (
                'replace instance',
                with_ledger(state, 1, self._new_ledger(1)),
            )

    def _deliver(self, state: AttemptState) -> Iterator[Transition]:
        for frame in state.frames:
            ledger = state.ledgers[frame.process]
            if ledger is None:
                continue
            rest = remove_once(state.frames, frame)
            yield from self._receive(state._replace(frames=rest), frame)
            if self._rules.is_checking_streams:
                continue  # A second copy of the frame would be discarded.
            if not (frame.is_query or frame.is_repeated):
                duplicate = frame._replace(is_repeated=True)
                redelivered = state._replace(
                    frames=insert_sorted(rest, duplicate),
                )
                yield from self._receive(redelivered, frame)

    def _receive(
        self,
        state: AttemptState,
        frame: Frame,
    ) -> Iterator[Transition]:
        if frame.is_query:
            yield 'receive query', self._receive_query(state, frame)
        elif self._rules.is_recording_first:
            yield 'receive attempt', self._record_attempt(state, frame)
        else:
            pair = frame.attempt, frame.process
            yield (
                'receive attempt',
                state._replace(accepted=insert_sorted(state.accepted, pair)),
            )

    def _record_attempt(
        self,
        state: AttemptState,
        frame: Frame,
    ) -> AttemptState:
        ledger, recorded = self._snapshots.call(
            state.ledgers[frame.process] or 0,
            'record',
            _ATTEMPT_IDS[frame.attempt],
            frame.incarnation,
            state.now,
            state.now + frame.remaining,
        )
        state = with_ledger(state, frame.process, ledger)
        if recorded is RecordResult.HAND_OVER:
            pair = frame.attempt, frame.process
            return state._replace(accepted=insert_sorted(state.accepted, pair))
        return with_reply(
            state,
            Reply(
                frame.attempt,
                is_query=False,
                run_state=recorded.run_state,  # type: ignore[attr-defined]
                code=_CODES[recorded].value,  # type: ignore[index]
            ),
        )

    def _receive_query(self, state: AttemptState, frame: Frame) -> AttemptState:
        if self._rules.is_closing_older:
            open_frames = tuple(
                other for other in state.frames if not _is_older(other, frame)
            )
            state = state._replace(frames=open_frames)
        ledger, run_state = self._snapshots.call(
            state.ledgers[frame.process] or 0,
            'forbid',
            _ATTEMPT_IDS[frame.attempt],
            frame.incarnation,
            state.now,
            state.now + frame.remaining,
        )
        state = with_ledger(state, frame.process, ledger)
        return with_reply(
            state,
            Reply(
                frame.attempt,
                is_query=True,
                run_state=run_state,  # type: ignore[arg-type]
                code=ErrorCode.OUTCOME_UNKNOWN.value,
            ),
        )

    def _hand_over(self, state: AttemptState) -> Iterator[Transition]:
        for pair in state.accepted:
            rest = state._replace(accepted=remove_once(state.accepted, pair))
            started = rest._replace(
                running=insert_sorted(state.running, pair),
                runs=insert_sorted(state.runs, pair),
            )
            if self._rules.is_recording_first:
                yield 'hand over', started
                yield (
                    'cancel before hand-over',
                    self._finish(rest, pair, RunState.NOT_RUN),
                )
            else:
                late = Frame(*pair, INCARNATIONS[pair[1]], 1)
                recorded = self._record_attempt(started, late)
                # The attempt already runs, so it is not accepted again.
                yield 'hand over', recorded._replace(accepted=rest.accepted)

    def _end_run(self, state: AttemptState) -> Iterator[Transition]:
        for pair in state.running:
            rest = state._replace(running=remove_once(state.running, pair))
            yield 'finish', self._finish(rest, pair, RunState.RAN)
            yield 'cancel run', self._finish(rest, pair, RunState.UNKNOWN)

    def _finish(
        self,
        state: AttemptState,
        pair: tuple[int, int],
        run_state: RunState,
    ) -> AttemptState:
        attempt, process = pair
        ledger, _ = self._snapshots.call(
            state.ledgers[process] or 0,
            'finish',
            _ATTEMPT_IDS[attempt],
            None,
            state.now,
            run_state,
        )
        return with_reply(
            with_ledger(state, process, ledger),
            Reply(attempt, False, run_state, ErrorCode.BACKEND_FAILED.value),
        )

    def _send(self, state: AttemptState) -> Iterator[Transition]:
        if state.phase is not Phase.SENDING:
            return
        remaining = self._rules.remaining - state.now
        if remaining <= 0:
            # Nothing was sent, or all attempts are known not to have run.
            told = state._replace(phase=Phase.TOLD, told=RunState.NOT_RUN)
            yield 'tell NOT_RUN', told
            return
        # The view may be stale, and the address may lead to either process.
        for incarnation in INCARNATIONS:
            for process in self._processes(state):
                attempt = len(state.meant)
                frame = Frame(attempt, process, incarnation, remaining)
                yield (
                    f'send {attempt} for {incarnation} to {process + 1}',
                    state._replace(
                        frames=insert_sorted(state.frames, frame),
                        meant=(*state.meant, incarnation),
                        phase=Phase.WAITING,
                    ),
                )

    def _read_replies(self, state: AttemptState) -> Iterator[Transition]:
        if state.phase not in {Phase.WAITING, Phase.ASKING}:
            return
        for reply in state.replies:
            rest = state._replace(replies=remove_once(state.replies, reply))
            yield from self._apply_decision(rest, reply)

    def _time_out(self, state: AttemptState) -> Iterator[Transition]:
        if state.phase not in {Phase.WAITING, Phase.ASKING}:
            return
        reply = Reply(
            len(state.meant) - 1,
            state.phase is Phase.ASKING,
            RunState.UNKNOWN,
            ErrorCode.OUTCOME_UNKNOWN.value,
        )
        yield from self._apply_decision(state, reply)

    def _apply_decision(
        self,
        state: AttemptState,
        reply: Reply,
    ) -> Iterator[Transition]:
        run_state = reply.run_state
        # The request starts at time zero, so this is also its deadline.
        deadline = self._rules.remaining
        if reply.is_query:
            run_state = self._rules.interpret(run_state, state.now, deadline)
        decision = self._rules.decide(
            AttemptResult(
                run_state,
                ErrorCode(reply.code),
                is_idempotent=False,
                attempt_count=len(state.meant),
                is_outcome_asked=state.phase is Phase.ASKING,
            ),
            FixedRoute(),
            deadline,
            state.now,
            UnlimitedBudget(),
            RetrySettings(max_attempt_count=len(_ATTEMPT_IDS)),
        )
        if decision is RetryDecision.RETRY:
            yield 'retry', state._replace(phase=Phase.SENDING, replies=())
        elif decision is RetryDecision.ASK_OUTCOME:
            yield from self._query_outcome(state)
        else:
            told = state._replace(phase=Phase.TOLD, told=run_state, replies=())
            yield f'tell {run_state.name}', told

    def _query_outcome(self, state: AttemptState) -> Iterator[Transition]:
        attempt = len(state.meant) - 1
        remaining = self._rules.remaining - state.now
        for process in self._processes(state):
            frame = Frame(attempt, process, state.meant[-1], remaining, True)
            asking = state._replace(
                frames=insert_sorted(state.frames, frame),
                phase=Phase.ASKING,
            )
            yield f'ask process {process + 1}', asking

    def _processes(self, state: AttemptState) -> Iterator[int]:
        return (
            process
            for process, ledger in enumerate(state.ledgers)
            if ledger is not None
        )


def mutate(rules: AttemptRules, **changes: object) -> AttemptRules:
    """Return rules with an injected fault that the search should find."""
    return replace(rules, **changes)  # type: ignore[arg-type]


def _is_older(frame: Frame, query: Frame) -> bool:
    # Each attempt has its own connection, and its query uses a newer one. The
    # query therefore closes the connections of this and all earlier attempts.
    return (
        not frame.is_query
        and frame.process == query.process
        and frame.attempt <= query.attempt
    )
