"""Backend side of scripted sessions: a daemon and its backend server."""

from typing import Final, final

from cornelbeam_core.admission import (
    Admission,
    AdmissionLimit,
    AdmissionSettings,
)
from cornelbeam_core.attempts import AttemptLedger, RecordResult
from cornelbeam_core.budget import TokenBucket
from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import ErrorCode, RunState
from cornelbeam_core.outcomes import CallOutcome
from cornelbeam_core.targets import Target
from cornelbeam_wire.gen import messages

from cornelbeam_standins.session_clock import SERVICE, Call, Session

LEDGER_CAPACITY: Final = 1000
RETENTION_S: Final = 30
_RECORD_CODES: Final = {
    RecordResult.REPEAT: ErrorCode.ATTEMPT_REPEATED,
    RecordResult.FORBIDDEN: ErrorCode.ATTEMPT_FORBIDDEN,
    RecordResult.WRONG_INCARNATION: ErrorCode.WRONG_INCARNATION,
    RecordResult.PAST_DEADLINE: ErrorCode.DEADLINE_PASSED,
    RecordResult.FULL: ErrorCode.OVERLOADED,
}


@final
class BackendSide:
    """Backend side of one daemon and its backend server."""

    __slots__ = (
        'admission',
        'calls',
        'incarnation',
        'is_in_service',
        'is_leaving',
        'ledger',
        'name',
        'probe_budget',
        'queued',
        'server',
        'session',
        'target',
    )

    def __init__(
        self,
        session: Session,
        number: int,
        domain: str,
        slot_count: int = 20,
        queue_count: int = 2,
    ) -> None:
        """Start with a cold backend server."""
        self.session = session
        self.name = f'daemon-{number}'
        self.server = f'backend-{number}'
        self.incarnation = session.rng.getrandbits(48)
        self.target = Target(
            self.name,
            SERVICE,
            domain,
            f'10.0.0.{number}:{session.rng.randrange(20_000, 60_000)}',
            self.incarnation,
            {},
        )
        session.domains[self.name] = domain
        self.ledger = AttemptLedger(
            self.incarnation,
            LEDGER_CAPACITY,
            RETENTION_S,
        )
        self.admission = AdmissionLimit(
            AdmissionSettings(slot_count=slot_count, queue_count=queue_count),
        )
        self.probe_budget = TokenBucket(capacity=2, refill_per_s=1)
        self.is_leaving = False
        self.is_in_service = True
        # By request id: the call, its sender and the time of its arrival or,
        # once that has happened, of its hand-over.
        self.calls: dict[str, tuple[messages.CallStart, str, float]] = {}
        self.queued: dict[str, messages.CallStart] = {}
        session.note(self.server, 'starts')

    @property
    def load(self) -> messages.LoadReport:
        """Load report that is sent with answers, refusals and probe replies."""
        report = self.admission.report(is_leaving=self.is_leaving)
        return messages.LoadReport(
            report.in_flight,
            report.limit,
            report.queue_length,
            report.service_time_us,
            report.is_leaving,
        )

    def handle_call(
        self,
        start: messages.CallStart,
        sender: str,
    ) -> messages.Refusal | None:
        """Admit or queue a call that arrives now, or return a refusal."""
        now_s = self.session.now_s
        deadline_s = now_s + start.remaining_ms / MS_PER_S
        error = self._check_in_service() or self._record_attempt(
            start, deadline_s
        )
        if error is not None:
            return self._refuse(start, sender, *error)
        self.calls[start.request_id] = (start, sender, now_s)
        admission = self.admission.try_admit(
            sender,
            now_s,
            deadline_s,
            start.request_id,
        )
        if admission is Admission.RUN:
            self._hand_over(start)
        elif admission is Admission.QUEUE:
            self.queued[start.request_id] = start
            self.session.note(self.name, 'queues', request_id=start.request_id)
        else:
            return self._refuse_recorded(start, sender)
        return None

    def answer(
        self,
        request_id: str,
        content: bytes,
        status: int = 200,
        *,
        is_lost: bool = False,
        is_kept: bool = False,
    ) -> messages.AnswerStart:
        """Let the backend server answer; forward the answer to the sender.

        If ``is_kept``, the ledger keeps the content for ``send_kept_answer``.
        """
        start, sender, started_at_s = self.calls.pop(request_id)
        session = self.session
        session.send(
            self.server,
            self.name,
            'answer',
            request_id=request_id,
            status=status,
            content=content,
        )
        outcome = CallOutcome.ANSWERED if status < 500 else CallOutcome.SHED
        service_time_s = session.now_s - started_at_s
        self.admission.finish(session.now_s, service_time_s, outcome)
        self.ledger.finish(
            start.attempt_id,
            content if is_kept else None,
            session.now_s,
        )
        answer = messages.AnswerStart(status, [], content, True, self.load)
        session.send(
            self.name,
            sender,
            answer,
            is_lost=is_lost,
            request_id=request_id,
        )
        self.release_queued()
        return answer

    def handle_query(
        self,
        query: messages.OutcomeQuery,
        sender: str,
    ) -> messages.OutcomeReply:
        """Answer an outcome query that arrived on a new connection."""
        session = self.session
        session.note(self.name, 'closes older connections', peer=sender)
        state = self.ledger.forbid(
            query.attempt_id,
            query.target_incarnation,
            session.now_s,
            session.now_s + query.remaining_ms / MS_PER_S,
        )
        kept = self.ledger.kept_answer(query.attempt_id)
        reply = messages.OutcomeReply(state, kept is not None)
        session.send(
            self.name,
            sender,
            reply,
            attempt_id=query.attempt_id,
        )
        return reply

    def send_kept_answer(
        self,
        call: Call,
        receiver: str,
    ) -> messages.AnswerStart:
        """Send a kept answer again and discard it."""
        kept = self.ledger.kept_answer(call.attempt_id)
        answer = messages.AnswerStart(200, [], kept, True, self.load)
        self.session.send(
            self.name,
            receiver,
            answer,
            request_id=call.request_id,
        )
        self.ledger.discard_answer(call.attempt_id)
        return answer

    def handle_probe(self, sender: str) -> None:
        """Run a probe if the budget allows, else reply with the last result."""
        session = self.session
        session.send(sender, self.name, messages.ProbeRequest(sender))
        is_run = self.probe_budget.try_take(session.now_s)
        if is_run:
            session.send(self.name, self.server, 'probe')
        # The last result is always reported as 400 ms old.
        reply = messages.ProbeReply(True, 0 if is_run else 400, self.load)
        session.send(self.name, sender, reply)

    def release_queued(self) -> None:
        """Hand over or refuse the queued calls that are due."""
        released = self.admission.next_queued(self.session.now_s)
        while released is not None:
            start = self.queued.pop(str(released.ticket))
            if released.admission is Admission.RUN:
                self._hand_over(start)
            else:
                sender = self.calls[start.request_id][1]
                self._refuse_recorded(start, sender)
            released = self.admission.next_queued(self.session.now_s)

    def _check_in_service(self) -> tuple[ErrorCode, RunState] | None:
        if self.is_leaving:
            return ErrorCode.TARGET_LEAVING, RunState.NOT_RUN
        if not self.is_in_service:
            return ErrorCode.DOMAIN_OUT_OF_SERVICE, RunState.NOT_RUN
        return None

    def _record_attempt(
        self,
        start: messages.CallStart,
        deadline_s: float,
    ) -> tuple[ErrorCode, RunState] | None:
        recorded = self.ledger.record(
            start.attempt_id,
            start.target_incarnation,
            self.session.now_s,
            deadline_s,
        )
        if recorded is RecordResult.HAND_OVER:
            return None
        return _RECORD_CODES[recorded], recorded.run_state

    def _hand_over(self, start: messages.CallStart) -> None:
        _, sender, _ = self.calls[start.request_id]
        self.calls[start.request_id] = (start, sender, self.session.now_s)
        self.session.send(
            self.name,
            self.server,
            'request',
            attempt_id=start.attempt_id,
            request_id=start.request_id,
        )

    def _refuse_recorded(
        self,
        start: messages.CallStart,
        sender: str,
    ) -> messages.Refusal:
        self.calls.pop(start.request_id)
        self.ledger.finish(
            start.attempt_id,
            None,
            self.session.now_s,
            RunState.NOT_RUN,
        )
        return self._refuse(
            start,
            sender,
            ErrorCode.OVERLOADED,
            RunState.NOT_RUN,
        )

    def _refuse(
        self,
        start: messages.CallStart,
        sender: str,
        code: ErrorCode,
        run_state: RunState,
    ) -> messages.Refusal:
        retry_after_ms = 0
        if code is ErrorCode.OVERLOADED:
            retry_after_ms = self.admission.retry_after_ms()
        refusal = messages.Refusal(
            code.value,
            run_state,
            retry_after_ms,
            'admission',
            self.name,
            self.load,
            '',
        )
        self.session.send(
            self.name,
            sender,
            refusal,
            attempt_id=start.attempt_id,
        )
        return refusal
