"""Golden sessions for each invariant.

Each session drives the production decision classes, is checked against all
invariants, and is then compared with its golden file. ``make golden`` rewrites
the files.
"""

from pathlib import Path

from cornelbeam_core.errors import ErrorCode, RunState
from cornelbeam_core.membership import Membership, MembershipSettings
from cornelbeam_core.requests import RepeatRule
from cornelbeam_core.retry import RetryDecision
from cornelbeam_core.selectors import SelectorSpec
from cornelbeam_standins.session_backend import BackendSide
from cornelbeam_standins.session_caller import CallerSide
from cornelbeam_standins.session_clock import Session
from cornelbeam_standins.session_config import ConfigSide, StoreSide
from cornelbeam_wire.gen import messages

_GOLDEN = Path(__file__).parent / 'golden'
_NEVER_REPEATED = SelectorSpec(
    'once', service='bookings', repeat=RepeatRule.NEVER
)


def _golden(name: str) -> Path:
    return _GOLDEN / f'{name}.txt'


def _make_sides(
    session: Session,
) -> tuple[CallerSide, BackendSide, BackendSide]:
    second = BackendSide(session, 2, 'Langley')
    third = BackendSide(session, 3, 'Mission')
    targets = [second.target, third.target]
    return CallerSide(session, targets, [_NEVER_REPEATED]), second, third


class TestMeasuring:
    """Guards against probes that grow with the number of callers (I1)."""

    def test_probe_budget(self) -> None:
        """Four callers request a probe, two run; 1 s later one more runs."""
        session = Session('I1: probes stay within the budget')
        backend = BackendSide(session, 2, 'Langley')
        for caller in ('daemon-1', 'daemon-3', 'daemon-4', 'daemon-5'):
            backend.handle_probe(caller)
        session.wait_ms(1000)
        backend.handle_probe('daemon-1')
        session.finish(_golden('i1_probe_budget'))


class TestColdStart:
    """Guards against full load on a backend server that starts (I2)."""

    def test_cold_limit(self) -> None:
        """Of five calls two run, two queue and one is retried elsewhere."""
        session = Session('I2: a cold backend server gets two calls at once')
        caller, second, third = _make_sides(session)
        calls = [caller.accept('POST', '/bookings') for _ in range(5)]
        for call in calls:
            refusal = second.handle_call(
                caller.send(call, 'daemon-2'),
                caller.name,
            )
        assert refusal is not None
        decision = caller.handle_refusal(calls[4], refusal)
        assert decision is RetryDecision.RETRY
        third.handle_call(caller.send(calls[4], 'daemon-3'), caller.name)
        session.wait_ms(20)
        for call in calls[:2]:
            answer = second.answer(call.request_id, b'booked')
            caller.deliver(call, answer)
        # The limit may grow by at most one slot per ``limit`` answers.
        assert 2 <= second.admission.limit <= 3
        session.finish(_golden('i2_cold_start'))


class TestDomainOut:
    """Guards against new work in a failure domain out of service (I3)."""

    def test_take_out(self) -> None:
        """The change arrives through a peer, and new calls go elsewhere."""
        session = Session('I3: a failure domain is taken out of service')
        store = StoreSide(session)
        caller, second, third = _make_sides(session)
        peers: dict[str, ConfigSide] = {}
        for number, domain in ((1, 'Mission'), (2, 'Langley'), (3, 'Mission')):
            ConfigSide(session, number, domain, peers)
        object_key = ('failure-domain', 'Langley')
        store.write('operator', object_key, {'is_in_service': False}, 0)
        session.wait_ms(300)
        peers['daemon-3'].watch(store)
        stored = peers['daemon-2'].state.find(*object_key)
        assert stored is not None
        second.is_in_service = b'true' in stored.spec
        session.wait_ms(5000)
        call = caller.accept('POST', '/bookings')
        refusal = second.handle_call(caller.send(call, 'daemon-2'), caller.name)
        assert refusal is not None
        assert caller.handle_refusal(call, refusal) is RetryDecision.RETRY
        chosen = caller.choose(call, without='daemon-2')
        third.handle_call(caller.send(call, chosen), caller.name)
        caller.deliver(call, third.answer(call.request_id, b'booked'))
        session.finish(_golden('i3_domain_out'))


class TestWholeAnswers:
    """Guards against answers that reach the wrong request (I4)."""

    def test_out_of_order(self) -> None:
        """Two answers on one connection arrive out of order."""
        session = Session('I4: answers overtake each other')
        caller, second, _ = _make_sides(session)
        first = caller.accept('GET', '/pits/1')
        later = caller.accept('GET', '/pits/2')
        for call in (first, later):
            second.handle_call(caller.send(call, 'daemon-2'), caller.name)
        session.wait_ms(3)
        caller.deliver(later, second.answer(later.request_id, b'pit 2'))
        session.wait_ms(40)
        caller.deliver(first, second.answer(first.request_id, b'pit 1'))
        session.finish(_golden('i4_out_of_order'))


class TestNotRun:
    """Guards against "not run" without evidence (I5)."""

    def test_overloaded_everywhere(self) -> None:
        """If both targets are full, the caller gets "not run" and why."""
        session = Session('I5: all targets are full')
        second = BackendSide(session, 2, 'Langley', 1, queue_count=0)
        third = BackendSide(session, 3, 'Mission', 1, queue_count=0)
        caller = CallerSide(
            session, [second.target, third.target], [_NEVER_REPEATED]
        )
        for backend in (second, third):
            filler = caller.accept('POST', '/bookings')
            start = caller.send(filler, backend.name)
            backend.handle_call(start, caller.name)
        call = caller.accept('POST', '/bookings')
        refusal = second.handle_call(caller.send(call, 'daemon-2'), caller.name)
        assert refusal is not None
        assert caller.handle_refusal(call, refusal) is RetryDecision.RETRY
        refusal = third.handle_call(caller.send(call, 'daemon-3'), caller.name)
        assert refusal is not None
        assert refusal.run_state == RunState.NOT_RUN
        caller.refuse(call, ErrorCode.OVERLOADED, refusal.run_state)
        session.finish(_golden('i5_not_run'))


class TestAtMostOnce:
    """Guards against a booking that runs twice (I6)."""

    def test_forbidden(self) -> None:
        """A booking stuck in a silent connection is forbidden before a retry.

        The stuck frame arrives later and is refused.
        """
        session = Session('I6: a booking is stuck, forbidden, sent elsewhere')
        caller, second, third = _make_sides(session)
        call = caller.accept('POST', '/bookings')
        stuck = caller.send(call, 'daemon-2', is_lost=True)
        session.wait_ms(2000)
        unreachable = ErrorCode.PEER_UNREACHABLE
        decision = caller.decide(call, RunState.UNKNOWN, unreachable)
        assert decision is RetryDecision.ASK_OUTCOME
        reply = second.handle_query(caller.query_outcome(call), caller.name)
        decision = caller.decide(call, reply.run_state, unreachable)
        assert decision is RetryDecision.RETRY
        third.handle_call(caller.send(call, 'daemon-3'), caller.name)
        session.wait_ms(15)
        caller.deliver(call, third.answer(call.request_id, b'booked'))
        refusal = second.handle_call(stuck, caller.name)
        assert refusal is not None
        assert refusal.code == ErrorCode.ATTEMPT_FORBIDDEN.value
        session.finish(_golden('i6_forbidden'))

    def test_ran(self) -> None:
        """A booking that ran is not sent again if its answer is lost."""
        session = Session('I6: a booking ran and its answer is gone')
        caller, second, _ = _make_sides(session)
        call = caller.accept('POST', '/bookings')
        second.handle_call(caller.send(call, 'daemon-2'), caller.name)
        session.wait_ms(10)
        second.answer(call.request_id, b'booked', is_lost=True)
        session.wait_ms(2000)
        unreachable = ErrorCode.PEER_UNREACHABLE
        caller.decide(call, RunState.UNKNOWN, unreachable)
        reply = second.handle_query(caller.query_outcome(call), caller.name)
        decision = caller.decide(call, reply.run_state, unreachable)
        assert decision is RetryDecision.GIVE_UP
        caller.refuse(call, ErrorCode.OUTCOME_UNKNOWN, reply.run_state)
        session.finish(_golden('i6_ran'))


class TestLeaving:
    """Guards against new work for a target that leaves (I7)."""

    def test_leaving(self) -> None:
        """A refusal tells a daemon that its target leaves, before any ping."""
        session = Session('I7: a backend server leaves')
        caller, second, third = _make_sides(session)
        membership = Membership(second.target, MembershipSettings())
        membership.leave()
        second.is_leaving = True
        session.note('daemon-2', 'leaves')
        updates = [
            messages.MemberUpdate(
                name=update.target.name,
                state=update.state,
                refutation=update.refutation,
            )
            for update in membership.take_updates('daemon-3')
        ]
        ping = messages.Ping(updates, 0, 'bookings')
        session.send('daemon-2', 'daemon-3', ping)
        session.wait_ms(6000)
        call = caller.accept('POST', '/bookings')
        refusal = second.handle_call(caller.send(call, 'daemon-2'), caller.name)
        assert refusal is not None
        assert caller.handle_refusal(call, refusal) is RetryDecision.RETRY
        for _ in range(5):
            assert caller.choose(call) == 'daemon-3'
        third.handle_call(caller.send(call, 'daemon-3'), caller.name)
        caller.deliver(call, third.answer(call.request_id, b'booked'))
        session.finish(_golden('i7_leaving'))


class TestPlannedStop:
    """Guards against a stop that cuts off a request in flight (I8)."""

    def test_drain(self) -> None:
        """The daemon exits after passing on the last answer."""
        session = Session('I8: a planned stop waits for a booking')
        caller, second, _ = _make_sides(session)
        call = caller.accept('POST', '/bookings')
        second.handle_call(caller.send(call, 'daemon-2'), caller.name)
        second.is_leaving = True
        session.note('daemon-2', 'leaves')
        assert list(second.ledger.running()) == [call.attempt_id]
        session.wait_ms(1500)
        caller.deliver(call, second.answer(call.request_id, b'booked'))
        assert not list(second.ledger.running())
        session.note('daemon-2', 'exits')
        session.finish(_golden('i8_planned_stop'))


class TestConfiguration:
    """Guards against changes that are lost or revert (I9)."""

    def test_spread(self) -> None:
        """A ping makes up for a missed push; an old push has no effect."""
        session = Session('I9: a selector changes twice')
        store = StoreSide(session)
        peers: dict[str, ConfigSide] = {}
        for number in (1, 2, 3):
            ConfigSide(session, number, 'Langley', peers)
        object_key = ('selector', 'once')
        store.write('operator', object_key, {'repeat': 'by-method'}, 0)
        peers['daemon-1'].watch(store)
        session.note('daemon-3', 'cut off')
        partitioned = peers.pop('daemon-3')
        old = peers['daemon-1'].state.changes_since(0)
        session.wait_ms(700)
        store.write('operator', object_key, {'repeat': 'never'}, 1)
        peers['daemon-1'].watch(store)
        peers['daemon-3'] = partitioned
        session.wait_ms(60_000)
        session.note('daemon-3', 'connected')
        session.wait_ms(900)
        partitioned.ping('daemon-2')
        partitioned.handle_push(old, 'daemon-1')
        session.wait_ms(20_000)
        session.note('operator', 'waits no longer')
        for peer in peers.values():
            stored = peer.state.find(*object_key)
            assert stored is not None
            assert stored.version == 2
        session.finish(_golden('i9_configuration'))
