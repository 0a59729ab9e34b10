"""Writing log lines never blocks the event loop."""

import os

from forklift.shell import logs


def test_lines_are_dropped_without_blocking_when_the_reader_stops_reading():
    reader, pipe = os.pipe()
    writer = logs.NonBlockingWriter(pipe)
    before = logs.dropped_by_event.total()
    line = "x" * 1000
    for _ in range(2000):
        writer.msg(line)
    assert logs.dropped_by_event.total() > before
    os.close(reader)
    os.close(pipe)
