"""A peer counts as silent only while this process would have read it."""

import asyncio

import pytest

from forklift import reachability
from forklift.shell import peer_connections
from forklift.shell import ticker
from test import helper

PEER = "p1"
TIMEOUT_TICKS = round(reachability.REPLY_TIMEOUT_SECONDS / ticker.BUSY_INTERVAL)


class Connection:
    """A connection with a request whose peer sends nothing."""

    lost = False
    pending_count = 1

    def __init__(self):
        self.unresponsive = asyncio.Event()

    def silence_log_fields(self) -> dict[str, object]:
        return {}

    def fail_resendable(self) -> None:
        self.unresponsive.set()


class Peers:
    """Connections to one silent peer, on a clock that a test advances."""

    def __init__(self):
        self.clock = helper.FakeClock()
        self.reachability = reachability.Reachability()
        self.connections = peer_connections.PeerConnections(
            None, self.reachability, None, b"", self.clock
        )
        self.connections.connection_by_process[PEER] = Connection()

    def tick(self, seconds: float = ticker.BUSY_INTERVAL) -> bool:
        """Ticks after some seconds; returns whether the peer is reachable."""
        self.clock.now += seconds
        self.connections.tick()
        return self.reachability.is_reachable(PEER)


@pytest.mark.parametrize("ticks_before", [0, 1, 3])
def test_own_delay_is_not_taken_for_a_silent_peer(ticks_before):
    """Guards against a blocked process that gives up what its peers sent."""
    peers = Peers()
    for _ in range(1 + ticks_before):
        assert peers.tick()
    assert peers.tick(seconds=5.0)


def test_silent_peer_is_detected_despite_earlier_delays():
    peers = Peers()
    peers.tick()
    peers.tick(seconds=5.0)
    reachable = [peers.tick() for _ in range(TIMEOUT_TICKS)]
    assert not reachable[-1]


def test_own_delay_after_a_short_silence_is_not_taken_for_a_silent_peer():
    """Guards against a blocked process that gives up what its peers sent.

    One tick before the timeout, the tick that follows the delay ends it
    before the loop has read what arrived during the delay.
    """
    peers = Peers()
    for _ in range(TIMEOUT_TICKS):
        assert peers.tick()
    assert peers.tick(seconds=5.0)


def test_silent_peer_that_was_removed_and_returns_is_detected_again():
    """Guards against a silent peer that counts as reachable for good.

    Gossip declares it dead, which drops its record, and later hears of it
    again, while the connection to it still passes nothing.
    """

    async def work():
        peers = Peers()
        while peers.tick():
            pass
        peers.reachability.remove(PEER)
        reachable = [peers.tick() for _ in range(4 * TIMEOUT_TICKS)]
        assert not reachable[-1]

    # Heartbeats to an unreachable peer are sent by tasks.
    helper.run(work())


def test_silence_is_detected_after_as_many_ticks_as_the_timeout_has():
    """Guards against rounding that makes ticks a little late cost one more.

    Late ticks are the usual case, as timers never fire early.
    """
    for start in range(200):
        peers = Peers()
        peers.clock.now += start * 1.237
        late = ticker.BUSY_INTERVAL + 0.001
        peers.tick(late)
        reachable = [peers.tick(late) for _ in range(TIMEOUT_TICKS)]
        assert not reachable[-1]


def test_slow_process_still_detects_a_silent_peer():
    """Guards against ticks that are all late and end no timeout."""
    peers = Peers()
    late = ticker.BUSY_INTERVAL + 2 * peer_connections.MIN_OWN_DELAY
    assert not all(peers.tick(late) for _ in range(2 + TIMEOUT_TICKS))
