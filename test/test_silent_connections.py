"""What adds up for each promise that rests on noticing a silent connection.

The figures are those of the table in docs/DESIGN.md; bounds are the least that
users set for any deployment.
"""

import pathlib
import re

import pytest

from forklift import dissemination
from forklift import gossip
from forklift import reachability
from forklift.platform import store
from forklift.shell import proxy
from forklift.shell import store_follower
from forklift.shell import ticker

DESIGN = pathlib.Path(__file__).parent.parent / "docs" / "DESIGN.md"
# The longest way of a message between two failure domains, seconds.
WAY = 0.01
TICK = ticker.BUSY_INTERVAL

# Seconds by promise: what adds up, and the bound.
SUM_BY_PROMISE = {
    "a version reaches who the store leaves out": (
        # It is left to the store; the first offer is lost, the next goes over a
        # new connection; what is asked for is lost too, and asked again.
        dissemination.PEER_FALLBACK_DELAY
        + TICK
        + dissemination.RETRY_INITIAL
        + TICK
        + dissemination.RETRY_INITIAL
        + TICK
        + 4 * WAY,
        2.0,
    ),
    "processes that lost each other meet after the store is back": (
        store.REQUEST_TIMEOUT + store_follower.MAX_BACKOFF + 3 * WAY,
        2.0,
    ),
    "a request leaves a path that fell silent": (
        # One tick notes that a sign is due, another that it did not come.
        reachability.REPLY_TIMEOUT + 2 * TICK + WAY,
        0.8,
    ),
    "a silent control connection is opened anew": (
        gossip.PING_PERIOD + gossip.PONG_TIMEOUT + 2 * ticker.IDLE_INTERVAL,
        3.0,
    ),
}


def test_two_signs_may_be_missing_before_a_path_is_given_up():
    """A peer gives them with its ticks, and a tick may be late by one."""
    assert (
        reachability.REPLY_TIMEOUT
        >= 2 * proxy.KEEPALIVE_INTERVAL + ticker.BUSY_INTERVAL - 1e-9
    )


@pytest.mark.parametrize("promise", SUM_BY_PROMISE)
def test_what_adds_up_is_within_its_bound(promise):
    total, bound = SUM_BY_PROMISE[promise]
    assert total <= bound


@pytest.mark.parametrize("promise", SUM_BY_PROMISE)
def test_the_table_tells_what_the_code_does(promise):
    total, bound = SUM_BY_PROMISE[promise]
    figures = r"[^|]* \| ([\d.]+) \| ([\d.]+) \|"
    row = re.search(rf"\| {promise} \| {figures}", DESIGN.read_text())
    assert row, "the table lacks it"
    assert (float(row[1]), float(row[2])) == (round(total, 2), bound)
