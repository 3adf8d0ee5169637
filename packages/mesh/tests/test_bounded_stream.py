"""Log lines neither block the daemon nor flood its output."""

import os
from itertools import repeat

from cornelbeam_mesh.bounded_stream import BURST_LINE_COUNT, BoundedStream


class TestBounds:
    """Guards against a daemon that blocks on the reader of its log."""

    def test_full_pipe_does_not_block(self):
        reading, writing = os.pipe()
        stream = BoundedStream(writing, clock=float)
        for _ in range(BURST_LINE_COUNT):
            stream.write('x' * 4000)
        os.close(reading)
        os.close(writing)

    def test_lines_beyond_the_rate_are_counted(self):
        reading, writing = os.pipe()
        times = [*repeat(0, BURST_LINE_COUNT + 7), 1]
        stream = BoundedStream(writing, clock=iter(times).__next__)
        for _ in times:
            stream.write('.\n')
        os.close(writing)
        with os.fdopen(reading) as lines:
            read = lines.read().splitlines()
        assert len(read) == BURST_LINE_COUNT + 2
        assert 'dropped 7' in read[-2]
