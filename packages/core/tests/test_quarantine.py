"""Requests that crash targets, as decisions without a network."""

import random

import pytest
from cornelbeam_core.quarantine import (
    FIRST_QUARANTINE_S,
    MAX_QUARANTINE_S,
    MAX_RECORD_COUNT,
    CrashedRun,
    Quarantine,
    QuarantineEntry,
    Verdict,
    fingerprint_request,
)

DEADLY = b'deadly'
REQUEST_COUNT = 2000
REQUESTS_PER_S = 80
DEADLY_SHARE = 0.03
# What operators tolerate until all daemons must know.
MAX_CRASH_COUNT = 3


def crash(quarantine, name, *fingerprints, now_s=0):
    """Let a target crash that was running some requests."""
    runs = [
        CrashedRun(each, quarantine.verdict(each, now_s) is Verdict.SUSPECTED)
        for each in fingerprints
    ]
    return quarantine.note_crash(name, runs, now_s)


class TestVerdicts:
    """Guards against crashes without an end, and against refusing others."""

    def test_second_crash_is_enough(self):
        quarantine = Quarantine()
        crash(quarantine, 'a', DEADLY)
        assert quarantine.verdict(DEADLY, 0) is Verdict.SUSPECTED
        crash(quarantine, 'b', DEADLY)
        assert quarantine.verdict(DEADLY, 0) is Verdict.QUARANTINED

    def test_two_crashes_at_the_same_time_prove_nothing(self):
        """A failure domain may lose all of its targets at once."""
        quarantine = Quarantine()
        runs = [CrashedRun(DEADLY, was_suspected=False)]
        for name in ('a', 'b'):
            findings = quarantine.note_crash(name, runs, 0)
            assert not findings.quarantined

    def test_same_crash_that_is_reported_twice_proves_nothing(self):
        quarantine = Quarantine()
        quarantine.note_suspects('a', [DEADLY])
        assert not crash(quarantine, 'a', DEADLY).quarantined

    def test_requests_beside_a_suspect_are_not_suspected(self):
        quarantine = Quarantine()
        crash(quarantine, 'a', DEADLY)
        crash(quarantine, 'b', DEADLY, b'innocent')
        assert quarantine.verdict(b'innocent', 0) is Verdict.CLEAR

    def test_answered_suspect_is_clear(self):
        quarantine = Quarantine()
        crash(quarantine, 'a', b'innocent')
        assert quarantine.clear(b'innocent', 1)
        assert not crash(quarantine, 'b', b'innocent').quarantined

    def test_suspects_in_the_same_crash_are_told_apart_by_the_next(self):
        quarantine = Quarantine()
        crash(quarantine, 'a', DEADLY, b'innocent')
        assert not crash(quarantine, 'b', DEADLY, b'innocent').quarantined
        crash(quarantine, 'c', DEADLY)
        assert quarantine.verdict(DEADLY, 0) is Verdict.QUARANTINED
        assert quarantine.verdict(b'innocent', 0) is Verdict.SUSPECTED

    def test_suspect_of_more_crashes_is_told_from_others(self):
        quarantine = Quarantine()
        crash(quarantine, 'a', DEADLY, b'innocent', b'other')
        quarantine.note_suspects('b', [DEADLY, b'other'])
        quarantine.clear(b'other', 0)
        findings = crash(quarantine, 'c', DEADLY, b'innocent')
        assert [each.fingerprint for each in findings.quarantined] == [DEADLY]


class TestDuration:
    """Guards against paths that stay refused, and against crashes for hours."""

    def test_path_is_usable_again(self):
        quarantine = Quarantine()
        for name in ('a', 'b'):
            crash(quarantine, name, DEADLY)
        later_s = FIRST_QUARANTINE_S + 1
        assert quarantine.verdict(DEADLY, later_s) is Verdict.SUSPECTED
        assert quarantine.clear(DEADLY, later_s)
        assert quarantine.verdict(DEADLY, later_s) is Verdict.CLEAR

    def test_each_further_quarantine_needs_one_crash_and_lasts_longer(self):
        quarantine = Quarantine()
        crash(quarantine, 'a', DEADLY)
        now_s, crash_count = 0, 1
        while now_s < 3600:
            crash_count += 1
            crash(quarantine, str(crash_count), DEADLY, now_s=now_s)
            now_s += quarantine.remaining_s(DEADLY, now_s)
        assert crash_count <= 9

    def test_entry_of_a_peer_is_bounded(self):
        quarantine = Quarantine()
        quarantine.adopt(QuarantineEntry(DEADLY, 1e9, 3), now_s=0)
        assert quarantine.remaining_s(DEADLY, 0) <= MAX_QUARANTINE_S

    def test_memory_is_bounded(self):
        quarantine = Quarantine()
        for number in range(MAX_RECORD_COUNT + 10):
            quarantine.note_suspects('a', [number.to_bytes(4, 'big')])
        assert len(quarantine._records) == MAX_RECORD_COUNT


class TestFingerprint:
    """Guards against different requests that look alike."""

    def test_parts_are_kept_apart(self):
        assert fingerprint_request((b'a', b'b')) != fingerprint_request(
            (b'ab', b'')
        )


class TestService:
    """Plays a service while deadly requests arrive among others.

    Guards against targets that crash again and again, and against callers that
    are refused for a crash which they have not caused.
    """

    @pytest.mark.parametrize('seed', range(20))
    def test_few_targets_crash_and_nobody_else_is_refused(self, seed):
        rng = random.Random(seed)
        quarantine = Quarantine()
        crash_count = 0
        for number in range(REQUEST_COUNT):
            now_s = number / REQUESTS_PER_S
            beside = {
                b'r%d' % rng.randrange(number, number + 50) for _ in range(6)
            }
            is_deadly = rng.random() < DEADLY_SHARE
            verdict = quarantine.verdict(DEADLY, now_s)
            if is_deadly and verdict is not Verdict.QUARANTINED:
                crash_count += 1
                crash(quarantine, str(number), DEADLY, *beside, now_s=now_s)
            for request in beside:
                verdict = quarantine.verdict(request, now_s)
                assert verdict is not Verdict.QUARANTINED
                quarantine.clear(request, now_s)
        assert crash_count <= MAX_CRASH_COUNT
