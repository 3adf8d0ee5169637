"""Random sessions, checked against the invariants.

Each step sends, loses, delays or answers a call, queries its outcome, probes
or replaces an instance. Delayed frames arrive even after an outcome query,
although a daemon would have closed the older connections by then. This tests
that the ledger alone keeps the invariants.
"""

import random
from collections.abc import Callable
from typing import final

import pytest
from cornelbeam_core.errors import ErrorCode, RunState
from cornelbeam_core.requests import RepeatRule
from cornelbeam_core.retry import RetryDecision
from cornelbeam_core.selectors import SelectorSpec
from cornelbeam_standins.session_backend import BackendSide
from cornelbeam_standins.session_caller import CallerSide
from cornelbeam_standins.session_checks import SessionLimits, check_session
from cornelbeam_standins.session_clock import Call, Session
from cornelbeam_wire.gen import messages

_SESSION_COUNT = 40
_STEP_COUNT = 150
_LOSS_SHARE = 0.25
_NEVER_REPEATED = SelectorSpec(
    'once',
    service='bookings',
    methods=('POST',),
    repeat=RepeatRule.NEVER,
)


@final
class _RandomSession:
    """Takes random steps and carries out the resulting decisions."""

    def __init__(self, seed: int) -> None:
        self.session = Session(f'Random session {seed}', seed)
        self.rng = random.Random(seed)
        self.backends = {
            f'daemon-{number}': BackendSide(self.session, number, 'Langley')
            for number in (2, 3, 4)
        }
        targets = [backend.target for backend in self.backends.values()]
        self.caller = CallerSide(self.session, targets, [_NEVER_REPEATED])
        self.pending_calls: dict[str, Call] = {}
        self.delayed_starts: list[tuple[BackendSide, messages.CallStart]] = []
        self.steps: tuple[Callable[[], None], ...] = (
            self.start_call,
            self.start_call,
            self.answer_call,
            self.answer_call,
            self.lose_connection,
            self.deliver_delayed,
            self.send_probe,
            self.replace_instance,
        )

    def run(self) -> None:
        """Run all steps, then check the invariants."""
        for _ in range(_STEP_COUNT):
            self.rng.choice(self.steps)()
            self.session.wait_ms(self.rng.randrange(50))
            for backend in self.backends.values():
                backend.release_queued()
        limits = SessionLimits(self.session.domains)
        check_session(self.session.recorder.events, limits)

    def start_call(self) -> None:
        """Accept a request and send it."""
        method = self.rng.choice(('GET', 'POST'))
        call = self.caller.accept(method, '/bookings')
        self.pending_calls[call.request_id] = call
        self.send_attempt(call, self.caller.choose(call))

    def send_attempt(self, call: Call, name: str) -> None:
        """Send an attempt; its frame may be lost and arrive later."""
        backend = self.backends[name]
        is_lost = self.rng.random() < _LOSS_SHARE
        start = self.caller.send(call, name, is_lost=is_lost)
        if is_lost:
            self.delayed_starts.append((backend, start))
            return
        refusal = backend.handle_call(start, self.caller.name)
        if refusal is not None:
            decision = self.caller.handle_refusal(call, refusal)
            code = ErrorCode(refusal.code)
            self.apply_decision(call, decision, code, refusal.run_state)

    def apply_decision(
        self,
        call: Call,
        decision: RetryDecision,
        code: ErrorCode,
        run_state: int,
    ) -> None:
        """Carry out a decision."""
        if decision is RetryDecision.RETRY:
            self.send_attempt(
                call, self.caller.choose(call, without=call.target_name)
            )
        elif decision is RetryDecision.ASK_OUTCOME:
            query = self.caller.query_outcome(call)
            backend = self.backends[call.target_name]
            reply = backend.handle_query(query, self.caller.name)
            if reply.run_state == RunState.RUNNING:
                return
            decision = self.caller.decide(call, reply.run_state, code)
            self.apply_decision(call, decision, code, reply.run_state)
        else:
            self.pending_calls.pop(call.request_id)
            self.caller.refuse(call, code, run_state)

    def answer_call(self) -> None:
        """Answer a random running request; the answer may be lost."""
        backend = self.rng.choice(list(self.backends.values()))
        running = [name for name in backend.calls if name not in backend.queued]
        if not running:
            return
        request_id = self.rng.choice(running)
        attempt_id = backend.calls[request_id][0].attempt_id
        is_lost = self.rng.random() < _LOSS_SHARE
        answer = backend.answer(
            request_id,
            request_id.encode(),
            is_lost=is_lost,
        )
        call = self.pending_calls.get(request_id)
        if call is None or is_lost or call.attempt_id != attempt_id:
            return
        self.pending_calls.pop(request_id)
        self.caller.deliver(call, answer)

    def lose_connection(self) -> None:
        """Treat the connection of a random request as silent."""
        if not self.pending_calls:
            return
        call = self.rng.choice(list(self.pending_calls.values()))
        self.session.wait_ms(200)
        unreachable = ErrorCode.PEER_UNREACHABLE
        decision = self.caller.decide(call, RunState.UNKNOWN, unreachable)
        self.apply_decision(call, decision, unreachable, RunState.UNKNOWN)

    def deliver_delayed(self) -> None:
        """Deliver the oldest delayed frame."""
        if self.delayed_starts:
            backend, start = self.delayed_starts.pop(0)
            backend.handle_call(start, self.caller.name)

    def send_probe(self) -> None:
        """Send a probe request to a random backend side."""
        backend = self.rng.choice(list(self.backends.values()))
        backend.handle_probe(self.caller.name)

    def replace_instance(self) -> None:
        """Replace an instance in some steps, which loses its attempts."""
        if self.rng.random() > _LOSS_SHARE:
            return
        name = self.rng.choice(list(self.backends))
        number = int(name.removeprefix('daemon-'))
        backend = BackendSide(self.session, number, 'Langley')
        self.delayed_starts = [
            (backend if receiver.name == name else receiver, start)
            for receiver, start in self.delayed_starts
        ]
        self.backends[name] = backend
        self.caller.states[name].target = backend.target


class TestRandomSessions:
    """Guards against failure combinations that no golden session covers."""

    @pytest.mark.parametrize('seed', range(_SESSION_COUNT))
    def test_invariants(self, seed: int) -> None:
        """The invariants hold after every random session."""
        _RandomSession(seed).run()
