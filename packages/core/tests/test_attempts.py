"""Tests of the ledger that at-most-once execution relies on."""

from cornelbeam_core.attempts import (
    MAX_ANSWER_BYTES,
    MAX_KEPT_BYTES,
    AttemptLedger,
    RecordResult,
    interpret_outcome,
)
from cornelbeam_core.errors import RunState
from hypothesis import given, settings
from hypothesis import strategies as st

OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(('record', 'finish', 'forbid', 'expire', 'discard')),
        st.sampled_from((b'a', b'b', b'c')),
        st.integers(1, 2),
        st.integers(0, 3),
    ),
    max_size=40,
)


class TestLedger:
    """Guards against a second execution and a wrong run state."""

    @settings(derandomize=True, max_examples=300)
    @given(OPERATIONS)
    def test_handed_over_at_most_once_while_kept(self, operations):
        ledger = AttemptLedger(incarnation=1, capacity=2, keep_s=1000)
        forwarded, forbidden = set(), set()
        for now_s, (name, attempt, incarnation, time_s) in enumerate(
            operations
        ):
            deadline_s = now_s + time_s
            if name == 'record':
                recorded = ledger.record(
                    attempt, incarnation, now_s, deadline_s
                )
                if recorded is RecordResult.HAND_OVER:
                    assert attempt not in forwarded | forbidden
                    assert incarnation == 1 and time_s
                    forwarded.add(attempt)
            elif name == 'finish':
                ledger.finish(attempt, b'x', now_s)
            elif name == 'forbid':
                state = ledger.forbid(attempt, incarnation, now_s, deadline_s)
                if state is RunState.NOT_RUN:
                    assert attempt not in forwarded
                    forbidden.add(attempt)
            elif name == 'discard':
                ledger.discard_answer(attempt)
            else:
                ledger.expire(now_s)
            assert len(ledger) <= 2

    def test_running_attempt_never_expires(self):
        ledger = AttemptLedger(1, capacity=5, keep_s=1)
        ledger.record(b'a', 1, 0, 1)
        assert not ledger.expire(1000)
        assert ledger.query(b'a', 1, 1000) is RunState.RUNNING
        assert list(ledger.running()) == [b'a']
        ledger.finish(b'a', None, 1000)
        assert not list(ledger.running())
        assert not ledger.expire(1001)
        assert ledger.expire(1001.5) == 1

    def test_query_without_entry_proves_nothing(self):
        ledger = AttemptLedger(1, capacity=5, keep_s=1)
        assert ledger.query(b'a', 1, 0) is RunState.UNKNOWN
        assert ledger.query(b'a', 2, 0) is RunState.UNKNOWN

    def test_unserved_attempt_is_not_run_and_stays_so(self):
        ledger = AttemptLedger(1, capacity=5, keep_s=1)
        ledger.record(b'a', 1, 0, 5)
        ledger.finish(b'a', None, 1, RunState.NOT_RUN)
        assert ledger.forbid(b'a', 1, 2, 5) is RunState.NOT_RUN
        assert ledger.record(b'a', 1, 2, 5) is RecordResult.FORBIDDEN

    def test_kept_answers_are_bounded(self):
        ledger = AttemptLedger(1, capacity=1000, keep_s=10)
        answer = b'x' * MAX_ANSWER_BYTES
        for number in range(MAX_KEPT_BYTES // MAX_ANSWER_BYTES + 1):
            attempt = str(number).encode()
            ledger.record(attempt, 1, 0, 5)
            ledger.finish(attempt, answer, 1)
        assert ledger.kept_bytes == MAX_KEPT_BYTES
        assert ledger.kept_answer(b'0') == answer
        assert ledger.kept_answer(attempt) is None
        assert ledger.query(attempt, 1, 1) is RunState.RAN
        ledger.expire(1000)
        assert not ledger.kept_bytes

    def test_late_not_run_proves_nothing(self):
        assert interpret_outcome(RunState.NOT_RUN, 4, 5) is RunState.NOT_RUN
        assert interpret_outcome(RunState.NOT_RUN, 5, 5) is RunState.UNKNOWN
        assert interpret_outcome(RunState.RAN, 9, 5) is RunState.RAN
