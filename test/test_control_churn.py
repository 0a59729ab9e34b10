"""Control messages between processes while peers stop, crash and pause."""

import asyncio
import sys

import pytest

from test import control_churn
from test import helper

PROCESSES = 12
SECONDS = 30.0
RESETS = 12_000


@pytest.mark.parametrize("seed", [1, 2])
def test_process_that_sends_control_messages_survives_resets(seed):
    """Guards against native code that uses a connection after its end.

    nng ended the process by a segmentation fault after some 2,000 resets.
    """

    async def run_test():
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "test.control_resets", str(RESETS), str(seed)
        )
        assert await process.wait() == 0

    helper.run(run_test())


def test_process_that_sends_control_messages_survives_the_ends_of_its_peers(
    tmp_path,
):
    """Guards against a segmentation fault that loses all callers of a process.

    Each planned stop must end with status 0, too.
    """
    tally = helper.run(control_churn.play(PROCESSES, SECONDS, 50, tmp_path))
    assert not tally.unexpected
    assert tally.ends > PROCESSES
    assert tally.received > 1000
