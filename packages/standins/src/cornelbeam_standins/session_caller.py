"""Caller side of scripted sessions: a daemon and its caller."""

from collections.abc import Iterable
from typing import Final, final

from cornelbeam_core.budget import RetryBudget
from cornelbeam_core.deadlines import MS_PER_S, remaining_ms
from cornelbeam_core.ejection import OutlierEjector
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.outcomes import CallOutcome
from cornelbeam_core.requests import RequestFacts, is_idempotent_method
from cornelbeam_core.retry import (
    AttemptResult,
    RetryDecision,
    decide_retry,
)
from cornelbeam_core.selection import TargetState, choose_target
from cornelbeam_core.selectors import SelectorIndex, SelectorSpec
from cornelbeam_core.targets import LoadReport, Target
from cornelbeam_wire.gen import messages

from cornelbeam_standins.session_clock import SERVICE, Call, Session

_ID_BYTES: Final = 16


@final
class CallerSide:
    """Caller side of one daemon, which serves one caller."""

    __slots__ = ('budget', 'ejector', 'index', 'name', 'session', 'states')

    def __init__(
        self,
        session: Session,
        targets: Iterable[Target],
        selectors: Iterable[SelectorSpec] = (),
        name: str = 'daemon-1',
    ) -> None:
        """Start with the given targets and selectors."""
        self.session = session
        self.name = name
        self.index = SelectorIndex.compile(selectors)
        self.budget = RetryBudget()
        self.ejector = OutlierEjector()
        self.states = {
            target.name: TargetState(target, is_same_domain=True)
            for target in targets
        }

    def accept(
        self,
        method: str,
        path: str,
        timeout_ms: int = 3000,
    ) -> Call:
        """Accept a request from the caller."""
        session = self.session
        facts = RequestFacts(SERVICE, method, path, {})
        call = Call(
            f'{session.rng.getrandbits(64):016x}',
            facts,
            self.index.route(facts),
            session.now_s + timeout_ms / MS_PER_S,
        )
        session.send(
            'caller',
            self.name,
            'request',
            request_id=call.request_id,
            method=method,
            path=path,
            is_repeatable=call.route.is_repeatable,
        )
        return call

    def choose(self, call: Call, *, without: str = '') -> str:
        """Choose a target other than ``without`` and return its name.

        Raise ``CornelbeamError`` if no target is eligible.
        """
        states = [
            state
            for state in self.states.values()
            if state.target.name != without
        ]
        chosen = choose_target(
            'least_outstanding',
            states,
            self.session.now_s,
            self.session.rng,
        )
        if chosen is None:
            raise CornelbeamError(ErrorCode.NO_ELIGIBLE_TARGET, 'selection')
        return chosen.target.name

    def send(
        self,
        call: Call,
        target_name: str,
        *,
        is_lost: bool = False,
    ) -> messages.CallStart:
        """Send a new attempt to a target."""
        session = self.session
        state = self.states[target_name]
        call.attempt_count += 1
        call.attempt_id = session.rng.randbytes(_ID_BYTES)
        call.target_name = target_name
        call.incarnation = state.target.incarnation
        call.sent_at_s = session.now_s
        call.is_outcome_asked = False
        state.note_start(session.now_s)
        start = messages.CallStart(
            call.attempt_id,
            state.target.incarnation,
            SERVICE,
            call.facts.method.encode(),
            call.facts.path.encode(),
            [],
            remaining_ms(call.deadline_s, session.now_s),
            call.route.is_repeatable,
            'caller',
            1,
            b'',
            True,
            call.request_id,
        )
        session.send(self.name, target_name, start, is_lost=is_lost)
        return start

    def query_outcome(self, call: Call) -> messages.OutcomeQuery:
        """Query the outcome on a new connection and forbid the attempt."""
        session = self.session
        call.is_outcome_asked = True
        query = messages.OutcomeQuery(
            call.attempt_id,
            call.incarnation,
            True,
            remaining_ms(call.deadline_s, session.now_s),
        )
        session.send(
            self.name,
            call.target_name,
            query,
            connection='new',
        )
        return query

    def decide(
        self,
        call: Call,
        run_state: int,
        code: ErrorCode,
    ) -> RetryDecision:
        """Return what to do after an attempt without a complete answer."""
        session = self.session
        decision = decide_retry(
            AttemptResult(
                RunState(run_state),
                code,
                is_idempotent_method(call.facts.method),
                call.attempt_count,
                call.is_outcome_asked,
            ),
            call.route,
            call.deadline_s,
            session.now_s,
            self.budget,
        )
        session.note(
            self.name,
            'decides',
            after=code,
            known=RunState(run_state),
            decision=decision,
        )
        return decision

    def handle_refusal(
        self,
        call: Call,
        refusal: messages.Refusal,
    ) -> RetryDecision:
        """Store the load report of a refusal and return what to do next."""
        load = refusal.load
        state = self.states[call.target_name]
        state.note_end(self.session.now_s, None)
        state.note_report(
            LoadReport(
                load.in_flight,
                load.limit,
                load.queue_length,
                load.service_time_us,
                load.is_leaving,
            ),
            self.session.now_s,
        )
        return self.decide(call, refusal.run_state, ErrorCode(refusal.code))

    def note_result(self, call: Call, outcome: CallOutcome) -> None:
        """Report the end of an attempt to selection and outlier ejection."""
        now_s = self.session.now_s
        state = self.states[call.target_name]
        state.note_end(now_s, now_s - call.sent_at_s)
        if self.ejector.note_result(state, outcome, now_s):
            self.session.note(self.name, 'ejects', target=call.target_name)

    def deliver(self, call: Call, answer: messages.AnswerStart) -> None:
        """Forward a complete answer to the caller."""
        self.budget.note_success(self.session.now_s)
        self.session.send(
            self.name,
            'caller',
            'answer',
            request_id=call.request_id,
            status=answer.status,
            content=answer.body,
            is_whole=answer.is_complete,
            ran='yes',
        )

    def refuse(self, call: Call, code: ErrorCode, run_state: int) -> None:
        """Send the caller an error with the known run state of the request."""
        error = CornelbeamError(code, 'retry', run_state=RunState(run_state))
        ran = 'no' if error.run_state is RunState.NOT_RUN else 'unknown'
        self.session.send(
            self.name,
            'caller',
            'answer',
            request_id=call.request_id,
            status=error.http_status,
            code=code.value,
            ran=ran,
        )
