"""Golden sessions for the failures in section 1.5 of the design."""

from pathlib import Path

from cornelbeam_core.errors import ErrorCode, RunState
from cornelbeam_core.outcomes import CallOutcome
from cornelbeam_core.requests import RepeatRule
from cornelbeam_core.retry import RetryDecision
from cornelbeam_core.selectors import SelectorSpec
from cornelbeam_standins.session_backend import BackendSide
from cornelbeam_standins.session_caller import CallerSide
from cornelbeam_standins.session_clock import Session
from cornelbeam_standins.session_config import ConfigSide, StoreSide

_GOLDEN = Path(__file__).parent / 'golden'
_NEVER_REPEATED = SelectorSpec(
    'once',
    service='bookings',
    methods=('POST',),
    repeat=RepeatRule.NEVER,
)
_DOMAIN_KEY = ('failure-domain', 'Langley')


def _golden(name: str) -> Path:
    return _GOLDEN / f'{name}.txt'


def _make_sides(
    session: Session,
    count: int = 2,
) -> tuple[CallerSide, list[BackendSide]]:
    backends = [
        BackendSide(session, number, 'Langley')
        for number in range(2, 2 + count)
    ]
    targets = [backend.target for backend in backends]
    return CallerSide(session, targets, [_NEVER_REPEATED]), backends


class TestServers:
    """Guards against backend servers that slow down, fail fast or turn cold."""

    def test_straggler(self) -> None:
        """A straggler is ejected; the minimum share of its peers stays in."""
        session = Session('Failure: a straggler is left out')
        caller, backends = _make_sides(session, count=3)
        events = session.recorder.events
        for number in range(30):
            backend = backends[number % 3]
            call = caller.accept('GET', '/windows')
            backend.handle_call(caller.send(call, backend.name), caller.name)
            session.wait_ms(200 if backend is backends[0] else 4)
            caller.deliver(call, backend.answer(call.request_id, b'open'))
            caller.note_result(call, CallOutcome.ANSWERED)
            if any(event.name == 'ejects' for event in events):
                break
        assert [
            state.target.name
            for state in caller.states.values()
            if not state.is_available(session.now_s)
        ] == ['daemon-2']
        session.finish(_golden('failure_straggler'), last_count=7)

    def test_fails_fast(self) -> None:
        """A failed read is retried elsewhere, a failed booking is not."""
        session = Session('Failure: a backend server fails fast')
        caller, (backend, other) = _make_sides(session)
        failed = ErrorCode.BACKEND_FAILED
        read = caller.accept('GET', '/windows')
        backend.handle_call(caller.send(read, backend.name), caller.name)
        session.wait_ms(1)
        backend.answer(read.request_id, b'', status=503)
        decision = caller.decide(read, RunState.UNKNOWN, failed)
        assert decision is RetryDecision.RETRY
        other.handle_call(caller.send(read, other.name), caller.name)
        caller.deliver(read, other.answer(read.request_id, b'open'))
        booking = caller.accept('POST', '/bookings')
        backend.handle_call(caller.send(booking, backend.name), caller.name)
        answer = backend.answer(booking.request_id, b'', status=503)
        assert backend.admission.limit == 1
        caller.deliver(booking, answer)
        session.finish(_golden('failure_fails_fast'))

    def test_turned_cold(self) -> None:
        """A jump in service times lowers the limit to its cold value."""
        session = Session('Failure: a warm backend server turns cold')
        caller, backends = _make_sides(session)
        backend = backends[0]
        _warm_up(session, caller, backend)
        warm_limit = backend.admission.limit
        assert warm_limit > 4
        session.note('daemon-2', 'has a warm server', limit=warm_limit)
        limits = []
        for _ in range(5):
            call = caller.accept('GET', '/windows')
            backend.handle_call(caller.send(call, backend.name), caller.name)
            session.wait_ms(100)
            backend.answer(call.request_id, b'open')
            limit = backend.admission.limit
            limits.append(limit)
            session.note('daemon-2', 'adapts', limit=limit)
        assert limits == [warm_limit, warm_limit, warm_limit, 2, 2]
        session.finish(_golden('failure_turned_cold'), last_count=19)


class TestProcesses:
    """Guards against late actions of a paused or replaced daemon."""

    def test_paused(self) -> None:
        """A paused daemon resumes with a queued call past its deadline."""
        session = Session('Failure: a daemon is paused with a queued call')
        caller, backends = _make_sides(session)
        backend = backends[0]
        calls = [
            caller.accept('POST', '/bookings', timeout_ms=1000)
            for _ in range(3)
        ]
        for call in calls:
            backend.handle_call(caller.send(call, backend.name), caller.name)
        session.note('daemon-2', 'is paused')
        session.wait_ms(1000)
        unreachable = ErrorCode.PEER_UNREACHABLE
        decision = caller.decide(calls[2], RunState.UNKNOWN, unreachable)
        assert decision is RetryDecision.GIVE_UP
        caller.refuse(calls[2], ErrorCode.OUTCOME_UNKNOWN, RunState.UNKNOWN)
        session.wait_ms(4000)
        session.note('daemon-2', 'resumes')
        backend.release_queued()
        assert not backend.queued
        session.finish(_golden('failure_paused'))

    def test_replaced(self) -> None:
        """A replaced instance refuses a call meant for its predecessor."""
        session = Session('Failure: an instance is replaced at its address')
        caller, backends = _make_sides(session)
        session.note('daemon-2', 'is replaced')
        replacement = BackendSide(session, 2, 'Langley')
        call = caller.accept('POST', '/bookings')
        start = caller.send(call, 'daemon-2')
        refusal = replacement.handle_call(start, caller.name)
        assert refusal is not None
        assert refusal.code == ErrorCode.WRONG_INCARNATION.value
        assert caller.handle_refusal(call, refusal) is RetryDecision.RETRY
        chosen = caller.choose(call, without='daemon-2')
        backends[1].handle_call(caller.send(call, chosen), caller.name)
        caller.deliver(call, backends[1].answer(call.request_id, b'booked'))
        session.finish(_golden('failure_replaced'))

    def test_replaced_and_silent(self) -> None:
        """Replacing a silent instance loses the outcome of its attempts.

        The booking may have run, so it is not sent elsewhere.
        """
        session = Session('Failure: connection silent, then instance replaced')
        caller, backends = _make_sides(session)
        call = caller.accept('POST', '/bookings')
        start = caller.send(call, 'daemon-2')
        backends[0].handle_call(start, caller.name)
        session.wait_ms(2000)
        unreachable = ErrorCode.PEER_UNREACHABLE
        decision = caller.decide(call, RunState.UNKNOWN, unreachable)
        assert decision is RetryDecision.ASK_OUTCOME
        session.note('daemon-2', 'is replaced')
        replacement = BackendSide(session, 2, 'Langley')
        reply = replacement.handle_query(
            caller.query_outcome(call), caller.name
        )
        assert reply.run_state == RunState.UNKNOWN
        decision = caller.decide(call, reply.run_state, unreachable)
        assert decision is RetryDecision.GIVE_UP
        caller.refuse(call, ErrorCode.OUTCOME_UNKNOWN, reply.run_state)
        session.finish(_golden('failure_replaced_and_silent'))

    def test_silent_connection(self) -> None:
        """A new connection delivers the kept answer."""
        session = Session('Failure: a connection is silent, a new one works')
        caller, backends = _make_sides(session)
        backend = backends[0]
        call = caller.accept('POST', '/bookings')
        backend.handle_call(caller.send(call, backend.name), caller.name)
        session.wait_ms(30)
        backend.answer(call.request_id, b'booked', is_lost=True, is_kept=True)
        session.wait_ms(2000)
        unreachable = ErrorCode.PEER_UNREACHABLE
        decision = caller.decide(call, RunState.UNKNOWN, unreachable)
        assert decision is RetryDecision.ASK_OUTCOME
        reply = backend.handle_query(caller.query_outcome(call), caller.name)
        assert reply.is_answer_kept
        caller.deliver(call, backend.send_kept_answer(call, caller.name))
        assert not backend.ledger.kept_bytes
        session.finish(_golden('failure_silent_connection'))


class TestStore:
    """Guards against store outages, lost answers and concurrent writes."""

    def test_down(self) -> None:
        """A restarted daemon gets its configuration from a peer."""
        session = Session('Failure: the store is down, a daemon restarts')
        store = StoreSide(session)
        peers: dict[str, ConfigSide] = {}
        for number in (1, 2):
            ConfigSide(session, number, 'Langley', peers)
        store.write('operator', _DOMAIN_KEY, {'is_in_service': False}, 0)
        peers['daemon-1'].watch(store)
        store.is_down = True
        session.wait_ms(1000)
        store.write('operator', _DOMAIN_KEY, {'is_in_service': True}, 1)
        session.note('daemon-2', 'is replaced')
        restarted = ConfigSide(session, 2, 'Langley', peers)
        restarted.watch(store)
        restarted.ping('daemon-1')
        session.wait_ms(10_000)
        assert restarted.state.find(*_DOMAIN_KEY) is not None
        session.note('operator', 'waits no longer')
        session.finish(_golden('failure_store_down'))

    def test_answer_lost(self) -> None:
        """After a lost answer, the write id shows that the write succeeded."""
        session = Session('Failure: the answer to a write is lost')
        store = StoreSide(session)
        write_id = store.write(
            'operator',
            _DOMAIN_KEY,
            {'is_in_service': False},
            0,
            is_answer_lost=True,
        )
        session.wait_ms(1000)
        assert store.read_back('operator', _DOMAIN_KEY).write_id == write_id
        session.note('operator', 'knows that the write took effect')
        session.finish(_golden('failure_answer_lost'))

    def test_race(self) -> None:
        """The second of two concurrent writers reads what the first wrote."""
        session = Session('Failure: two operators race')
        store = StoreSide(session)
        store.write('operator-1', _DOMAIN_KEY, {'is_in_service': False}, 0)
        store.write('operator-2', _DOMAIN_KEY, {'is_in_service': True}, 0)
        assert store.read_back('operator-2', _DOMAIN_KEY).version == 1
        session.finish(_golden('failure_race'))


def _warm_up(
    session: Session,
    caller: CallerSide,
    backend: BackendSide,
) -> None:
    """Answer enough calls at the concurrency limit for the limit to grow."""
    for _ in range(20):
        calls = [
            caller.accept('GET', '/windows')
            for _ in range(backend.admission.limit)
        ]
        for call in calls:
            backend.handle_call(caller.send(call, backend.name), caller.name)
        session.wait_ms(4)
        for call in calls:
            backend.answer(call.request_id, b'open')
