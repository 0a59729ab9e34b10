"""Graceful shutdown of a process: every caller gets its response first."""

import asyncio
import dataclasses

import structlog

from forklift import invariants

_log = structlog.get_logger(__name__)

# Seconds after SIGTERM during which new connections are still accepted. Must
# exceed the time until the platform stops sending callers, which is after two
# failed readiness checks.
LAME_DUCK_SECONDS = 2.6
# Fraction of the grace period after which the process exits, even if requests
# are still in flight.
USABLE_GRACE_FRACTION = 0.9
# Seconds between two checks whether a step of the shutdown is complete.
POLL_INTERVAL = 0.05
# Seconds before the exit that are reserved for sending the last responses.
FINAL_RESPONSE_SECONDS = 0.2
# Maximum seconds to wait until the peers have received what is still in the
# socket buffers and have closed their connections. Peers that were sent a
# response during the shutdown have until the exit, as they may be paused.
PEER_CLOSE_TIMEOUT = 1.0


@dataclasses.dataclass(frozen=True)
class Deadlines:
    """Deadlines of a shutdown, in monotonic seconds.

    Attributes:
        reject_at: From then on, requests that were not sent to a target are
            rejected.
        abandon_at: Requests that are still at a target end then, with an
            unknown outcome.
        exit_at: The process exits, even if responses are pending.
    """

    reject_at: float
    abandon_at: float
    exit_at: float


def initial_deadlines(now: float, grace: float) -> Deadlines:
    """Returns the deadlines of a shutdown that was requested now.

    Args:
        now: Monotonic seconds.
        grace: Seconds after which the platform may kill the process.
    """
    exit_at = now + USABLE_GRACE_FRACTION * grace
    return Deadlines(
        exit_at - FINAL_RESPONSE_SECONDS,
        exit_at - FINAL_RESPONSE_SECONDS,
        exit_at,
    )


def extended_deadlines(
    current: Deadlines, now: float, grace: float
) -> Deadlines:
    """Returns the deadlines after another shutdown signal.

    The platform may count the grace period from the first or from the last
    signal. Requests at a target get the time from the last signal. Requests
    that were not sent to a target are still rejected at the first deadline, as
    they would be lost if the platform counted from the first signal.

    Args:
        current: Deadlines before this signal.
        now: Monotonic seconds.
        grace: Seconds after which the platform may kill the process.
    """
    extended = initial_deadlines(now, grace)
    return dataclasses.replace(extended, reject_at=current.reject_at)


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
    proxy.forwarder.set_stop_deadlines(proxy.stop_deadlines)
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
        FINAL_RESPONSE_SECONDS,
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
