"""Timeouts that detect unresponsive connections add up to less than the limits.

The sums are those of the table in docs/DESIGN.md; the limits are the strictest
of all deployments.
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
# Maximum one-way latency between two failure domains in seconds.
ONE_WAY_LATENCY = 0.01
TICK = ticker.BUSY_INTERVAL

# Sum of the timeouts and its limit, in seconds, by row of the table.
SUM_BY_ROW = {
    "a version reaches who the store leaves out": (
        # Waits for the store. The first offer is lost and repeated over a new
        # connection. The requested catalog is lost too and requested again.
        dissemination.PEER_FALLBACK_DELAY
        + TICK
        + dissemination.INITIAL_RETRY_DELAY
        + TICK
        + dissemination.INITIAL_RETRY_DELAY
        + TICK
        + 4 * ONE_WAY_LATENCY,
        2.0,
    ),
    "processes that lost each other meet after the store is back": (
        store.REQUEST_TIMEOUT
        + store_follower.MAX_BACKOFF
        + 3 * ONE_WAY_LATENCY,
        2.0,
    ),
    "a request leaves a path that fell silent": (
        # One tick sets the reply deadline, another one detects that it passed.
        reachability.REPLY_TIMEOUT_SECONDS + 2 * TICK + ONE_WAY_LATENCY,
        0.8,
    ),
    "a silent control connection is opened anew": (
        gossip.PING_PERIOD + gossip.PONG_TIMEOUT + 2 * ticker.IDLE_INTERVAL,
        3.0,
    ),
}


def test_peer_may_miss_two_keepalives_before_it_is_unreachable():
    """Peers send keep-alives at ticks, and one may be a tick late."""
    assert (
        reachability.REPLY_TIMEOUT_SECONDS
        >= 2 * proxy.KEEPALIVE_INTERVAL + ticker.BUSY_INTERVAL - 1e-9
    )


@pytest.mark.parametrize("row_name", SUM_BY_ROW)
def test_sum_of_timeouts_is_within_its_limit(row_name):
    total, limit = SUM_BY_ROW[row_name]
    assert total <= limit


@pytest.mark.parametrize("row_name", SUM_BY_ROW)
def test_table_in_design_document_matches_the_code(row_name):
    total, limit = SUM_BY_ROW[row_name]
    numbers = r"[^|]* \| ([\d.]+) \| ([\d.]+) \|"
    row = re.search(rf"\| {row_name} \| {numbers}", DESIGN.read_text())
    assert row, "the table has no such row"
    assert (float(row[1]), float(row[2])) == (round(total, 2), limit)
