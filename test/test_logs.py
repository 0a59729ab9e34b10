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


def test_discarded_buffer_leaves_no_part_of_a_line():
    """Guards against a line that is glued to the rest of another one."""
    reader, pipe = os.pipe()
    os.set_blocking(reader, False)
    writer = logs.NonBlockingWriter(pipe)
    before = logs.dropped_by_event.total()
    # Numbers of lines that fill the pipe and the buffer, twice.
    lines = [f"{number:04}" + "x" * 997 for number in range(1000)]
    for line in lines:
        writer.msg(line)
    output = bytearray()
    while True:
        try:
            output += os.read(reader, 1 << 20)
        except BlockingIOError:
            if not writer._buffer:
                break
            writer.flush()
    os.close(reader)
    os.close(pipe)
    written = output.decode().splitlines()
    assert set(written) <= set(lines)
    dropped = logs.dropped_by_event.total() - before
    assert len(written) + dropped == len(lines)


def test_each_line_without_a_reader_is_counted():
    reader, pipe = os.pipe()
    writer = logs.NonBlockingWriter(pipe)
    for _ in range(100):
        writer.msg("x" * 1000)
    waiting = writer._buffer.count(b"\n")
    os.close(reader)
    before = logs.dropped_by_event["(no reader)"]
    writer.msg("x")
    assert logs.dropped_by_event["(no reader)"] - before == waiting + 1
    os.close(pipe)
