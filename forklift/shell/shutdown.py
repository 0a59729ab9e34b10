"""The planned stop of a process: whoever is owed an answer gets it first."""

import asyncio
import dataclasses

import structlog

from forklift import invariants

_log = structlog.get_logger(__name__)

# Seconds after SIGTERM during which callers still come, as the platform has
# to ask twice, a second apart, before it sends them elsewhere.
LAME_DUCK_TIME = 2.6
# Part of the grace after which what is still running is left to its fate.
USABLE_GRACE = 0.9
POLL_INTERVAL = 0.05
# Seconds before the end in which the last answers reach their callers.
FINAL_RESPONSE_TIME = 0.2
# Seconds in which peers take what the system holds for them; one that is silent
# holds the end up for no longer.
PEER_CLOSE_TIMEOUT = 1.0


@dataclasses.dataclass(frozen=True)
class Deadlines:
    """Until when a stop lasts, monotonic seconds.

    Attributes:
        reject_at: From then on what no target has is refused.
        resolve_at: By then what a target has is answered as unknown.
        exit_at: The process ends, whoever is owed an answer.
    """

    reject_at: float
    resolve_at: float
    exit_at: float


def initial_deadlines(now: float, grace: float) -> Deadlines:
    """The bounds of a stop that was asked for now.

    Args:
        now: Monotonic seconds.
        grace: Seconds after which the process may be killed.
    """
    until = now + USABLE_GRACE * grace
    return Deadlines(
        until - FINAL_RESPONSE_TIME, until - FINAL_RESPONSE_TIME, until
    )


def extended_deadlines(
    before: Deadlines, now: float, grace: float
) -> Deadlines:
    """The bounds of a stop that is asked for once more.

    Each signal may begin a grace of its own, or only the first: so what runs
    has the time of the last one, and what does not is refused, as it would be
    lost if the process was killed after the first.
    """
    last = initial_deadlines(now, grace)
    return dataclasses.replace(last, reject_at=before.reject_at)


async def stop(proxy) -> None:
    """Serves callers on for a while, then waits until none is owed anything.

    Args:
        proxy: The process, which is told as stopping already.
    """
    now = proxy.clock.monotonic()
    lame_until = now + min(LAME_DUCK_TIME, proxy.settings.platform.grace / 2)
    proxy.ingress.stopping = True
    _log.info("stopping", running=proxy.running())
    proxy.target_registry.pause_targets()
    proxy.forwarder.set_stop_deadlines(proxy.stop_deadlines)
    while proxy.clock.monotonic() < lame_until:
        await asyncio.sleep(POLL_INTERVAL)
    proxy.stop_accepting()
    await _settle(proxy)
    proxy.control_protocols.leave()
    await asyncio.sleep(POLL_INTERVAL)
    await _flush(proxy)
    # Peers may have asked since.
    await _settle(proxy)
    await _part(proxy)
    owing = proxy.pending_responses()
    late = proxy.clock.monotonic() >= proxy.stop_deadlines.exit_at
    invariants.nothing_cut_off(owing, late)
    _log.info("stopped", cut_off=owing)


async def _settle(proxy) -> None:
    """Waits until nobody is owed an answer.

    Between a look that finds nothing owed and the close of what is idle no
    byte may be read: its request would be sent on and not answered.
    """
    while True:
        now = proxy.clock.monotonic()
        proxy.ingress.close_idle()
        if now >= proxy.stop_deadlines.reject_at:
            proxy.ingress.reject_incomplete_requests()
        if not proxy.pending_responses() or now >= proxy.stop_deadlines.exit_at:
            return
        await asyncio.sleep(POLL_INTERVAL)


async def _part(proxy) -> None:
    """Has peers take what the system holds for them, and close."""
    for served in list(proxy.served):
        served.half_close()
    until = min(
        proxy.stop_deadlines.exit_at,
        proxy.clock.monotonic() + PEER_CLOSE_TIMEOUT,
    )
    while proxy.served and proxy.clock.monotonic() < until:
        await asyncio.sleep(POLL_INTERVAL)


async def _flush(proxy) -> None:
    """Lets peers take what was written; a silent one holds up nothing."""
    until = min(
        proxy.stop_deadlines.exit_at,
        proxy.clock.monotonic() + FINAL_RESPONSE_TIME,
    )
    while any(served.unsent for served in proxy.served):
        if proxy.clock.monotonic() >= until:
            return
        await asyncio.sleep(POLL_INTERVAL)
