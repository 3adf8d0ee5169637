"""Tests of telling slowdowns of a host from lasting slowness."""

from cornelbeam_core.host_speed import MIN_BASELINE_SAMPLE_COUNT, HostSpeed

STEP_S = 0.1


def note_samples(speed, percent, count, started_at_s=0):
    """Record a sample ``count`` times; return the time of the next one."""
    for number in range(count):
        speed.note(percent, started_at_s + number * STEP_S)
    return started_at_s + count * STEP_S


class TestBaseline:
    """Guards against holding calls back until a cold start ends."""

    def test_slowdown_is_detected(self):
        speed = HostSpeed()
        note_samples(speed, 400, 3, note_samples(speed, 100, 10))
        assert speed.is_slow
        assert speed.baseline_factor == 1

    def test_lasting_slowness_is_the_baseline(self):
        speed = HostSpeed()
        note_samples(speed, 200, 30)
        assert not speed.is_slow
        assert (speed.factor, speed.baseline_factor) == (2, 2)

    def test_slowdown_of_a_cold_host(self):
        speed = HostSpeed()
        note_samples(speed, 800, 1, note_samples(speed, 200, 10))
        assert speed.is_slow
        assert speed.factor == 8

    def test_few_samples_do_not_change_the_baseline(self):
        speed = HostSpeed()
        note_samples(speed, 400, MIN_BASELINE_SAMPLE_COUNT - 1)
        assert speed.is_slow

    def test_baseline_of_a_warm_host_falls_at_once(self):
        speed = HostSpeed()
        note_samples(speed, 100, 1, note_samples(speed, 200, 30))
        assert speed.baseline_factor == 1

    def test_long_silence_resets_the_baseline(self):
        speed = HostSpeed()
        later_s = note_samples(speed, 200, 30) + 60
        note_samples(speed, 200, 1, later_s)
        assert speed.is_slow

    def test_length_of_slowdowns_is_learned(self):
        speed = HostSpeed()
        next_s = 0
        for _ in range(20):
            next_s = note_samples(speed, 100, 6, next_s)
            next_s = note_samples(speed, 400, 6, next_s)
        assert abs(speed.mean_slowdown_s - 6 * STEP_S) < STEP_S
