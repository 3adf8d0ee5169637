"""Random sessions, checked against the invariants.

A step sends, loses, delays, answers, asks or replaces something. Frames that
were delayed arrive even after an outcome query, which the closing of older
connections would prevent: the ledger alone must hold.
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
_ONCE = SelectorSpec(
    'once',
    service='bookings',
    methods=('POST',),
    repeat=RepeatRule.NEVER,
)


@final
class _Chaos:
    """Takes random steps and does what the decisions ask for."""

    def __init__(self, seed: int) -> None:
        self.session = Session(f'Random session {seed}', seed)
        self.rng = random.Random(seed)
        self.backends = {
            f'daemon-{number}': BackendSide(self.session, number, 'Langley')
            for number in (2, 3, 4)
        }
        targets = [backend.target for backend in self.backends.values()]
        self.caller = CallerSide(self.session, targets, [_ONCE])
        self.waiting: dict[str, Call] = {}
        self.delayed: list[tuple[BackendSide, messages.CallStart]] = []
        self.steps: tuple[Callable[[], None], ...] = (
            self.start,
            self.start,
            self.answer,
            self.answer,
            self.give_up_waiting,
            self.arrive_late,
            self.probe,
            self.replace,
        )

    def run(self) -> None:
        """Take all steps, then check the invariants."""
        for _ in range(_STEP_COUNT):
            self.rng.choice(self.steps)()
            self.session.wait_ms(self.rng.randrange(50))
            for backend in self.backends.values():
                backend.release_queued()
        limits = SessionLimits(self.session.domains)
        check_session(self.session.recorder.events, limits)

    def start(self) -> None:
        """Take a request and send it."""
        method = self.rng.choice(('GET', 'POST'))
        call = self.caller.accept(method, '/bookings')
        self.waiting[call.request_id] = call
        self.send(call, self.caller.choose(call))

    def send(self, call: Call, name: str) -> None:
        """Send an attempt; its frame may be lost, and may come late."""
        backend = self.backends[name]
        is_lost = self.rng.random() < _LOSS_SHARE
        start = self.caller.send(call, name, is_lost=is_lost)
        if is_lost:
            self.delayed.append((backend, start))
            return
        refusal = backend.handle_call(start, self.caller.name)
        if refusal is not None:
            decision = self.caller.handle_refusal(call, refusal)
            code = ErrorCode(refusal.code)
            self.follow(call, decision, code, refusal.run_state)

    def follow(
        self,
        call: Call,
        decision: RetryDecision,
        code: ErrorCode,
        run_state: int,
    ) -> None:
        """Do what was decided."""
        if decision is RetryDecision.RETRY:
            self.send(call, self.caller.choose(call, without=call.target_name))
        elif decision is RetryDecision.ASK_OUTCOME:
            query = self.caller.query_outcome(call)
            backend = self.backends[call.target_name]
            reply = backend.handle_query(query, self.caller.name)
            if reply.run_state == RunState.RUNNING:
                return
            decision = self.caller.decide(call, reply.run_state, code)
            self.follow(call, decision, code, reply.run_state)
        else:
            self.waiting.pop(call.request_id)
            self.caller.refuse(call, code, run_state)

    def answer(self) -> None:
        """Let a backend server answer one request."""
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
        call = self.waiting.get(request_id)
        if call is None or is_lost or call.attempt_id != attempt_id:
            return
        self.waiting.pop(request_id)
        self.caller.deliver(call, answer)

    def give_up_waiting(self) -> None:
        """Take the connection of a request for silent."""
        if not self.waiting:
            return
        call = self.rng.choice(list(self.waiting.values()))
        self.session.wait_ms(200)
        lost = ErrorCode.PEER_UNREACHABLE
        decision = self.caller.decide(call, RunState.UNKNOWN, lost)
        self.follow(call, decision, lost, RunState.UNKNOWN)

    def arrive_late(self) -> None:
        """Let a delayed frame arrive, the oldest first."""
        if self.delayed:
            backend, start = self.delayed.pop(0)
            backend.handle_call(start, self.caller.name)

    def probe(self) -> None:
        """Ask a backend side for a probe."""
        backend = self.rng.choice(list(self.backends.values()))
        backend.handle_probe(self.caller.name)

    def replace(self) -> None:
        """Replace an instance now and then; its attempts are gone."""
        if self.rng.random() > _LOSS_SHARE:
            return
        name = self.rng.choice(list(self.backends))
        number = int(name.removeprefix('daemon-'))
        backend = BackendSide(self.session, number, 'Langley')
        self.delayed = [
            (backend if late.name == name else late, start)
            for late, start in self.delayed
        ]
        self.backends[name] = backend
        self.caller.states[name].target = backend.target


class TestRandomSessions:
    """Guards against combinations of failures that no session tells of."""

    @pytest.mark.parametrize('seed', range(_SESSION_COUNT))
    def test_invariants(self, seed: int) -> None:
        """The invariants hold after every random session."""
        _Chaos(seed).run()
