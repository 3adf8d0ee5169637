"""Exhaustive model check of the attempts of one request, with mutations."""

import pytest
from cornelbeam_core.attempts import AttemptLedger
from cornelbeam_core.errors import RunState
from cornelbeam_core.retry import RetryDecision, decide_retry
from cornelbeam_standins.attempt_model import AttemptModel, AttemptRules
from cornelbeam_standins.model_search import (
    UnfinishedSearchError,
    find_violation,
    search,
)

MAX_STATES = 400_000


class UnfencedLedger(AttemptLedger):
    """Ignores the incarnation of attempts and queries."""

    def record(self, attempt_id, incarnation, now_s, deadline_s):
        return super().record(attempt_id, self.incarnation, now_s, deadline_s)

    def forbid(self, attempt_id, incarnation, now_s, deadline_s):
        return super().forbid(attempt_id, self.incarnation, now_s, deadline_s)


class UnfencedRecordLedger(AttemptLedger):
    """Ignores the incarnation of attempts."""

    def record(self, attempt_id, incarnation, now_s, deadline_s):
        return super().record(attempt_id, self.incarnation, now_s, deadline_s)


class NoTombstoneLedger(AttemptLedger):
    """Forbids an attempt without recording the tombstone."""

    def forbid(self, attempt_id, incarnation, now_s, deadline_s):
        run_state = super().forbid(attempt_id, incarnation, now_s, deadline_s)
        if run_state is RunState.NOT_RUN:
            self._entries.pop(attempt_id)
        return run_state


class DroppingLedger(AttemptLedger):
    """Drops the oldest entry when full."""

    def _has_room(self, now_s):
        if len(self._entries) >= self._capacity:
            self._entries.pop(next(iter(self._entries)))
        return True


def repeat_after_unknown(attempt, *others):
    if attempt.run_state is RunState.UNKNOWN:
        if attempt.attempt_count < 2:
            return RetryDecision.RETRY
    return decide_retry(attempt, *others)


SEARCHES = {
    'short': {},
    'long': {'remaining': 2, 'end': 4},
    # Without the check of stream ids, only the ledger detects a repeated frame,
    # and only while it keeps the entry.
    'repeated frames': {'is_checking_streams': False, 'end': 2},
    'full ledger': {'capacity': 1},
}
MUTATIONS = {
    'repeat after unknown': ({'decide': repeat_after_unknown}, 'at_most_once'),
    'ignored incarnation': (
        {'ledger_type': UnfencedLedger},
        'not_run_is_true',
    ),
    'ignored incarnation of attempts': (
        {'ledger_type': UnfencedRecordLedger},
        'incarnation_is_fenced',
    ),
    'record written after hand-over': (
        {
            'is_recording_first': False,
            'is_checking_streams': False,
            'end': 2,
        },
        'at_most_once',
    ),
    'tombstone not recorded': (
        {'ledger_type': NoTombstoneLedger, 'is_closing_older': False},
        'not_run_is_true',
    ),
    'older connections left open': (
        {'is_closing_older': False},
        'at_most_once',
    ),
    'late outcome believed': (
        {'interpret': lambda run_state, now_s, deadline_s: run_state},
        'not_run_is_true',
    ),
    'stream ids unchecked': ({'is_checking_streams': False}, 'at_most_once'),
    'full ledger drops entries': (
        {'ledger_type': DroppingLedger, 'capacity': 1, 'end': 2},
        'not_run_is_true',
    ),
}


class TestAttemptModel:
    """Guards against a second execution and a false "not run"."""

    @pytest.mark.parametrize('name', SEARCHES)
    def test_shipped_transitions_keep_all_invariants(self, name):
        rules = AttemptRules(**SEARCHES[name])
        report = search(AttemptModel(rules).protocol(), MAX_STATES)
        print(f'attempts, {name}: {report.state_count} states')
        assert not report.violations

    @pytest.mark.parametrize('name', MUTATIONS)
    def test_mutation_is_caught(self, name):
        changes, invariant = MUTATIONS[name]
        rules = AttemptRules(**changes)
        protocol = AttemptModel(rules).protocol()
        trace = find_violation(protocol, invariant, MAX_STATES)
        print(f'{name}: {" > ".join(trace)}')
        assert trace

    def test_unfinished_search_is_an_error(self):
        with pytest.raises(UnfinishedSearchError):
            search(AttemptModel(AttemptRules()).protocol(), 1000)
