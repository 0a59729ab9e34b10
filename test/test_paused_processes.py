"""Real processes that are paused in the middle of large responses."""

import asyncio
import signal

import pytest

from forklift_lab import programs
from forklift_lab import scripted
from test import helper
from test import test_silent_peers

INGRESS, PEER = "ingress", "peer"
DOMAIN = "d"
SERVICE = "s"
ROUTE = "a"
CALLERS = 4
TIMEOUT_MS = 60_000
BEGUN = len(scripted.LARGE_BODY) - scripted.HELD_BYTES


def configuration(version: int, kind: str) -> dict:
    record = programs.configuration(version, SERVICE, {ROUTE: kind})
    for route in record["routes"].values():
        route["timeout-ms"] = TIMEOUT_MS
    return record


async def start_callers(
    running: programs.Programs, kind: str
) -> list[test_silent_peers.Caller]:
    """Starts requests whose responses are held back after their first part."""
    ingress = await running.add(INGRESS, DOMAIN, "other")
    peer = await running.add(PEER, DOMAIN, SERVICE)
    running.store.configure(configuration(1, kind))
    for place in (ingress, peer):
        while not await running.ready(place):
            await asyncio.sleep(0.05)
    warm_up = test_silent_peers.Caller(ingress.caller)
    while not warm_up.is_complete() or warm_up.status != 200:
        warm_up = test_silent_peers.Caller(ingress.caller)
        await warm_up.send()
        await warm_up.finish()
    target = running.target_by_name[PEER]
    target.script = ["large-held"] * CALLERS
    callers = [test_silent_peers.Caller(ingress.caller) for _ in range(CALLERS)]
    for caller in callers:
        await caller.send()
    for caller in callers:
        await helper.until(lambda caller=caller: len(caller.body) == BEGUN)
    return callers


# A peer counts as silent after 0.5 s.
@pytest.mark.parametrize(
    ("paused", "seconds", "kind"),
    [
        (PEER, 0.7, "idempotent"),
        (PEER, 0.7, "download"),
        (PEER, 1.5, "download"),
        (PEER, 5.0, "download"),
        (INGRESS, 1.5, "download"),
    ],
)
def test_paused_process_cuts_no_response_off(paused, seconds, kind):
    """Guards against callers cut off half a second into a pause."""

    async def work():
        async with programs.Programs() as running:
            callers = await start_callers(running, kind)
            process = running.process_by_name[paused]
            process.send_signal(signal.SIGSTOP)
            running.store.configure(configuration(2, kind))
            running.target_by_name[PEER].release.set()
            await asyncio.sleep(seconds)
            process.send_signal(signal.SIGCONT)
            for caller in callers:
                await caller.finish()
                assert caller.status == 200
                assert caller.body == scripted.LARGE_BODY

    helper.run(work())
