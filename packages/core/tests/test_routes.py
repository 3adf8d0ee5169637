"""Tests of routes, shared objects, repeats and refusals of the mesh."""

import random

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.refusals import refusal_status, retry_delay_s
from cornelbeam_core.repeat_budget import RepeatBudget
from cornelbeam_core.routes import (
    RequestKind,
    RouteRule,
    RouteTable,
    RoutingConfiguration,
    ServiceShare,
)
from cornelbeam_core.shared_objects import (
    Listing,
    SharedKind,
    SharedObject,
    SharedObjects,
)


def rule(prefix, **shares):
    """Create a route of the host ``yard``."""
    return RouteRule(
        prefix,
        'yard',
        prefix,
        RequestKind.IDEMPOTENT,
        tuple(ServiceShare(name, weight) for name, weight in shares.items()),
        timeout_ms=1000,
        objective_ms=500,
        max_target_count=2,
        priority=1,
    )


def evacuation(version, *, is_deleted=False, name='north'):
    """Create a version of an evacuation object."""
    return SharedObject(SharedKind.EVACUATION, name, version, is_deleted, b'')


class TestRoutes:
    """Guards against routing requests to the wrong service."""

    def test_longest_prefix_wins(self):
        table = RouteTable(
            RoutingConfiguration(1, (rule('/a/', x=1), rule('/a/b/', y=1)), ()),
        )
        assert table.find('yard', '/a/b/c').path_prefix == '/a/b/'
        assert table.find('yard', '/a/c').path_prefix == '/a/'
        assert table.find('yard', '/b/') is None
        assert table.find('other', '/a/') is None

    def test_shares_are_exact(self):
        split = rule('/a/', x=90, y=10)
        table = RouteTable(RoutingConfiguration(1, (split,), ()))
        picks = [table.pick_service(split) for _ in range(200)]
        assert picks.count('y') == 20


class TestSharedObjects:
    """Guards against reverting to an older state."""

    def test_older_version_changes_nothing(self):
        held = SharedObjects()
        assert held.merge(evacuation(5))
        assert not held.merge(evacuation(4, is_deleted=True))
        assert held.get(SharedKind.EVACUATION, 'north') is not None

    def test_deletion_is_not_undone_by_a_late_message(self):
        held = SharedObjects()
        held.merge(evacuation(6, is_deleted=True))
        assert not held.merge(evacuation(5))

    def test_listing_implies_deletions(self):
        held = SharedObjects()
        held.merge(evacuation(5))
        held.merge(evacuation(9, name='south'))
        held.merge_listing(Listing(SharedKind.EVACUATION, (), 7, 0))
        assert held.get(SharedKind.EVACUATION, 'north') is None
        # The object was written after the revision of the listing.
        assert held.get(SharedKind.EVACUATION, 'south') is not None


class TestRepeats:
    """Guards against repeats that worsen an overload."""

    def test_all_gates_together_keep_the_bound(self):
        """All requests fail, and each failure is repeated if possible."""
        ratio, slack, window_s, gate_count = 0.2, 60, 10, 4
        gates = [RepeatBudget(ratio, slack, window_s) for _ in range(4)]
        repeats: list[float] = []
        request_count = 0
        for each_gate in gates:
            each_gate.divide_among(gate_count)
        for tick in range(3000):
            now_s = tick / 100
            gate = gates[tick % gate_count]
            gate.note_request(now_s)
            request_count += 1
            if gate.try_repeat(now_s):
                repeats.append(now_s)
        for start_s in range(20):
            in_window = [each for each in repeats if 0 <= each - start_s < 10]
            assert len(in_window) <= ratio * 1000 + slack


RATIO, SLACK_COUNT, WINDOW_S = 0.2, 60, 10
PARENTS_PER_S = 150
CALL_SHARE = 0.7
SHED_SHARE = 0.55
TARGET_COUNT = 4


class CalledService:
    """Service whose targets shed most calls; records calls and repeats."""

    def __init__(self, rng) -> None:
        """Start with all budgets full."""
        self.rng = rng
        self.budgets = [
            RepeatBudget(RATIO, SLACK_COUNT, WINDOW_S)
            for _ in range(TARGET_COUNT)
        ]
        for budget in self.budgets:
            budget.divide_among(TARGET_COUNT)
        self.call_times_s: list[float] = []
        self.repeat_times_s: list[float] = []

    def call(self, now_s, *, is_of_repeat) -> bool:
        """Try the targets in turn; return whether one served the call."""
        self.call_times_s.append(now_s)
        first = self.rng.randrange(TARGET_COUNT)
        for number in range(TARGET_COUNT):
            budget = self.budgets[(first + number) % TARGET_COUNT]
            if not number:
                budget.note_request(now_s)
            elif not budget.try_repeat(now_s):
                continue
            if number or is_of_repeat:
                self.repeat_times_s.append(now_s)
            if self.rng.random() >= SHED_SHARE:
                return True
        return False


def count_in(times_s, start_s):
    """Return how many of the times are in the window."""
    return sum(start_s <= each < start_s + WINDOW_S for each in times_s)


class TestRepeatsOfCallers:
    """Guards against too many repeats caused by repeated requests.

    Each request makes two calls to a service that sheds load. A request with a
    failed call is repeated and makes both calls again, which count as repeats.
    """

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_called_service_keeps_the_bound(self, seed):
        rng = random.Random(seed)
        called = CalledService(rng)
        own = RepeatBudget(RATIO, SLACK_COUNT, WINDOW_S)
        for tick in range(2 * WINDOW_S * PARENTS_PER_S):
            now_s = tick / PARENTS_PER_S
            own.note_request(now_s)
            if rng.random() >= CALL_SHARE:
                continue
            served = [called.call(now_s, is_of_repeat=False) for _ in 'ab']
            if not all(served) and own.try_repeat(now_s):
                for _ in 'ab':
                    called.call(now_s + 0.3, is_of_repeat=True)
        for start_s in range(WINDOW_S):
            allowed = RATIO * count_in(called.call_times_s, start_s)
            repeats = count_in(called.repeat_times_s, start_s)
            assert repeats <= allowed + SLACK_COUNT


class TestRefusals:
    """Guards against a false promise that a request has not run."""

    @pytest.mark.parametrize('code', list(ErrorCode))
    def test_unclear_outcome_promises_nothing(self, code):
        for run_state in (RunState.RAN, RunState.UNKNOWN, RunState.RUNNING):
            error = CornelbeamError(code, 'answer', run_state=run_state)
            assert refusal_status(error) not in {408, 421, 429, 503}

    def test_late_request_that_has_not_run_may_come_back(self):
        error = CornelbeamError(ErrorCode.DEADLINE_PASSED, 'admission')
        assert refusal_status(error) == 503

    def test_callers_do_not_return_together(self):
        first = retry_delay_s(wait_ms=400, remaining_s=9, jitter=0)
        last = retry_delay_s(wait_ms=400, remaining_s=9, jitter=1)
        assert first < last

    def test_return_leaves_time(self):
        delay_s = retry_delay_s(wait_ms=5000, remaining_s=1.5, jitter=1)
        assert delay_s <= 1.5 / 3
