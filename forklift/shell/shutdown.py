"""Graceful shutdown of a process: every caller gets its response first."""

import asyncio

import structlog

from forklift import invariants
from forklift import stop_deadlines

_log = structlog.get_logger(__name__)

# Seconds after SIGTERM during which new connections are still accepted. Must
# exceed the time until the platform stops sending callers, which is after two
# failed readiness checks.
LAME_DUCK_SECONDS = 2.6
# Seconds between two checks whether a step of the shutdown is complete.
POLL_INTERVAL = 0.05
# Maximum seconds to wait until the peers have received what is still in the
# socket buffers and have closed their connections. Peers that were sent a
# response during the shutdown have until the exit, as they may be paused.
PEER_CLOSE_TIMEOUT = 1.0


async def stop(proxy) -> None:
    """Shuts a process down gracefully.

    Accepts connections during the lame-duck time, as callers still arrive.
    Then waits until no response is pending or the deadline passes.

    Args:
        proxy: The process, whose shutdown was requested.
    """
    stopping_since = asyncio.get_running_loop().time()
    now = proxy.clock.monotonic()
    lame_duck_end = now + min(
        LAME_DUCK_SECONDS, proxy.settings.platform.grace / 2
    )
    proxy.ingress.stopping = True
    _log.info("stopping", running=proxy.running())
    proxy.target_registry.pause_targets()
    proxy.apply_stop_deadlines()
    while proxy.clock.monotonic() < lame_duck_end:
        await asyncio.sleep(POLL_INTERVAL)
    proxy.stop_accepting()
    await _drain(proxy)
    proxy.control_protocols.leave()
    await asyncio.sleep(POLL_INTERVAL)
    await _flush(proxy, stopping_since)
    # Peers may have sent requests in the meantime.
    await _drain(proxy)
    await _close_peer_connections(proxy, stopping_since)
    pending = proxy.pending_responses()
    deadline_passed = proxy.clock.monotonic() >= proxy.stop_deadlines.exit_at
    invariants.nothing_cut_off(pending, deadline_passed)
    _log.info("stopped", cut_off=pending)


async def _drain(proxy) -> None:
    """Waits until no response is pending, or until the process must exit.

    Must not await between closing the idle connections and checking for
    pending responses: a request that arrives in between would be forwarded
    but never answered.
    """
    while True:
        now = proxy.clock.monotonic()
        proxy.ingress.close_idle()
        if now >= proxy.stop_deadlines.reject_at:
            proxy.ingress.reject_incomplete_requests()
        proxy.forwarder.withdraw_waiting(now)
        if not proxy.pending_responses() or now >= proxy.stop_deadlines.exit_at:
            return
        await asyncio.sleep(POLL_INTERVAL)


async def _close_peer_connections(proxy, stopping_since: float) -> None:
    """Half-closes the peers' connections and waits until the peers close.

    Closing a connection with unread input would reset it and discard what is
    in the socket buffer, as would the next keep-alive of the peer.

    Args:
        proxy: The process.
        stopping_since: Loop seconds when the shutdown began.
    """
    for connection in list(proxy.server_connections):
        connection.half_close()
    await _wait_for_peers(
        proxy, stopping_since, PEER_CLOSE_TIMEOUT, lambda connection: True
    )


async def _flush(proxy, stopping_since: float) -> None:
    """Waits until the writes to peers have been sent."""
    await _wait_for_peers(
        proxy,
        stopping_since,
        stop_deadlines.FINAL_RESPONSE_SECONDS,
        lambda connection: connection.unsent_bytes,
    )


async def _wait_for_peers(
    proxy, stopping_since: float, timeout: float, is_pending
) -> None:
    """Waits for peers, longest for those that may be reading a response.

    Args:
        proxy: The process.
        stopping_since: Loop seconds when the shutdown began. Peers that were
            sent a response since then have until the exit.
        timeout: Seconds that all other peers have.
        is_pending: Returns whether a connection is waited for.
    """
    started = now = proxy.clock.monotonic()
    while now < proxy.stop_deadlines.exit_at:
        in_time = now < started + timeout
        if not any(
            is_pending(connection)
            and (in_time or connection.last_response_at >= stopping_since)
            for connection in proxy.server_connections
        ):
            return
        await asyncio.sleep(POLL_INTERVAL)
        now = proxy.clock.monotonic()
