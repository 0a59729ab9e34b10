"""Control messages between processes while peers stop, crash and pause."""

from test import control_churn
from test import helper

PROCESSES = 12
SECONDS = 30.0


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
