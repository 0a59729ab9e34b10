"""Log lines: bounded, never in the way."""

import os

from forklift.shell import logs


def test_a_reader_that_stops_reading_loses_lines_and_blocks_nothing():
    reader, pipe = os.pipe()
    writer = logs.NonBlockingWriter(pipe)
    before = logs.dropped_by_event.total()
    line = "x" * 1000
    for _ in range(2000):
        writer.msg(line)
    assert logs.dropped_by_event.total() > before
    os.close(reader)
    os.close(pipe)
