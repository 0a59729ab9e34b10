"""Ends of real processes that no test or soak brought about are reported."""

import os
import signal
import sys

import pytest

from forklift_lab import programs
from test import helper

# A process that says that it listens, and exits with 3 on SIGTERM.
CODE = """
import signal, sys, time
signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(3))
print('{"event": "listening"}', flush=True)
time.sleep(60)
"""
PROGRAM = (sys.executable, "-c", CODE)
ENDS = {
    "crash": ("kill", signal.SIGSEGV, -signal.SIGSEGV, None),
    "killed by another": ("kill", signal.SIGKILL, -signal.SIGKILL, None),
    "stop with a status": ("stop", signal.SIGTERM, 3, 0),
}


async def end(running: programs.Programs, way: str, number: int) -> None:
    """Ends process "p" from outside, or as a planned stop."""
    process = running.process_by_name["p"]
    if way == "stop":
        await running.stop("p", number)
    else:
        os.kill(process.pid, number)
        await process.wait()


@pytest.mark.parametrize("case", ENDS)
def test_unexpected_end_is_reported(case):
    """Guards against a soak that overlooks the crash of a process."""
    way, number, status, expected = ENDS[case]

    async def run_test():
        async with programs.Programs() as running:
            await running.add("p", "d", "s", PROGRAM)
            await end(running, way, number)
            await helper.until(lambda: running._unexpected_ends)
            (found,) = running.take_unexpected_ends()
            assert (found.status, found.expected) == (status, expected)
            assert "listening" in found.last_lines

    helper.run(run_test())


def test_unexpected_end_fails_whoever_does_not_look_for_it():
    async def run_test():
        async with programs.Programs() as running:
            await running.add("p", "d", "s", PROGRAM)
            await end(running, "kill", signal.SIGSEGV)

    with pytest.raises(programs.ProcessesEnded, match="status -11"):
        helper.run(run_test())


def test_ends_that_were_brought_about_are_not_reported():
    async def run_test():
        async with programs.Programs() as running:
            await running.add("p", "d", "s", PROGRAM)
            assert await running.stop("p", signal.SIGKILL) == -signal.SIGKILL
            await running.start(running.places[0], PROGRAM)
            # The context ends the other run.

    helper.run(run_test())
