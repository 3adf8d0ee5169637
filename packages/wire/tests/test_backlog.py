"""Tests of the count of bytes for slow peers."""

from cornelbeam_wire.backlog import WriteBacklog


class TestBacklog:
    """Guards against bytes for slow peers that nobody counts."""

    def test_only_a_slow_peer_counts(self):
        changes: list[int] = []
        backlog = WriteBacklog(changes.append)
        backlog.add(10)
        assert not changes
        backlog.start(70)
        backlog.add(10)
        backlog.clear()
        backlog.clear()
        backlog.add(10)
        assert changes == [70, 10, -80]
        assert backlog.size_bytes == 0

    def test_nobody_needs_to_know(self):
        backlog = WriteBacklog(None)
        backlog.start(70)
        assert backlog.size_bytes == 70
