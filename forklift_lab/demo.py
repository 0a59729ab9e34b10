"""`forklift-lab demo`: Teranga's fleet carries requests through gray faults."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time

import click
import msgspec

from forklift import report
from forklift.shell import client
from forklift_lab import fleet
from forklift_lab import loading

SERVICES = {"releves": 15, "guichet": 6}
DOMAINS = ["plateau", "almadies", "diamniadio"]
SICK = "releves-2"
DRAINED = "guichet-3"
STOPPED = "releves-5"
WARM_UP = 6.0
RATE = 120.0
SECONDS = 22.0
EJECT_TIMEOUT = 10.0
POLICY = pathlib.Path(__file__).parent.parent / "examples" / "teranga.ini"


class Report(msgspec.Struct, frozen=True):
    """What the demo found.

    Attributes:
        processes: Processes of the fleet.
        tally: What the callers saw.
        detection: Seconds from the fault to the ejection; -1: none.
        reason: Reason of the ejection.
        twice: Copies and corrections that ran twice.
        ran_though_not_run: Those told to be not run that ran.
        drain_cut_off: Requests cut off by the drain and the planned stop.
        drained_work: New requests that the drained target got 2 s later.
        broken: Promises that a process saw broken.
    """

    processes: int
    tally: loading.Tally
    detection: float
    reason: str
    twice: int
    ran_though_not_run: int
    drain_cut_off: int
    drained_work: int
    broken: dict[str, int]

    def holds(self) -> bool:
        """Whether every promise held."""
        wrong = (
            self.tally.mixed
            + self.twice
            + self.ran_though_not_run
            + self.drain_cut_off
            + self.drained_work
            + sum(self.broken.values())
        )
        return wrong == 0 and self.detection >= 0


def key_headers() -> tuple[tuple[str, str], ...]:
    """The shared key from the environment, as the commands send it."""
    key = os.environ.get("FORKLIFT_KEY", "")
    return (("authorization", f"Bearer {key}"),) if key else ()


async def get(address: str, path: str, kind: type, method: str = "GET"):
    """Asks an admin address for a report."""
    asker = client.Client(address)
    try:
        response = await asker.request(
            method, path, headers=key_headers(), timeout=5.0
        )
        return msgspec.json.decode(response.body, type=kind)
    finally:
        asker.close()


async def switch(place: fleet.Place, query: str = "") -> dict:
    """Switches a fault of a target on, and returns its counters."""
    asker = client.Client(place.target)
    try:
        response = await asker.request("POST", f"/lab?{query}", timeout=5.0)
        return json.loads(response.body)
    finally:
        asker.close()


async def publish(admin: str, text: str) -> report.Published:
    """Publishes a policy through a process."""
    asker = client.Client(admin)
    request = report.PublishRequest(text, "demo")
    body = msgspec.json.encode(request)
    try:
        response = await asker.request(
            "POST", "/publish", body, key_headers(), timeout=15.0
        )
        return msgspec.json.decode(response.body, type=report.Published)
    finally:
        asker.close()


def _say(text: str) -> None:
    click.echo(f"{time.strftime('%H:%M:%S')} {text}", err=True)


async def run() -> Report:
    """Runs the demo.

    Raises:
        TimeoutError: A process did not start.
    """
    places = fleet.places(SERVICES, DOMAINS)
    log = fleet.free_addresses(1)[0]
    async with fleet.Fleet(log) as running:
        await _start(running, places, log)
        return await _experiment(running, places)


async def _start(
    running: fleet.Fleet, places: list[fleet.Place], log: str
) -> None:
    _say(f"starting the log stand-in and {len(places)} processes")
    await running.lab("log", "log", "--listen", log)
    for place in places:
        await running.node(place)
    specs: list[str] = []
    for place in places:
        spec = (
            f"{place.name},{place.service},{place.domain},"
            f"{place.target},{place.admin}"
        )
        specs += ["--spec", spec]
    await running.lab("targets", "target", *specs)
    for place in places:
        await fleet.wait_until(lambda p=place: fleet.answers(p.admin))
    published = await publish(places[0].admin, POLICY.read_text())
    _say(f"policy {published.policy} version {published.version} in force")
    _say("waiting until every process knows its targets and its floor owner")
    for place in places:
        await fleet.wait_until(lambda p=place: _settled(p))
    await asyncio.sleep(WARM_UP)


async def _settled(place: fleet.Place) -> bool:
    status = await get(place.admin, "/status", report.Status)
    known = {t.service for t in status.targets if t.state != "cold"}
    for service in status.services:
        whole = service.known == SERVICES[service.name]
        if service.name == place.service and not (
            whole and service.floor_owner
        ):
            return False
    return status.ready and place.service in known


async def _experiment(
    running: fleet.Fleet, places: list[fleet.Place]
) -> Report:
    by_name = {place.name: place for place in places}
    load = loading.Load([place.caller for place in places], RATE)
    callers = asyncio.create_task(load.run(SECONDS))
    _say(f"callers send {RATE:g} requests a second")
    await asyncio.sleep(4.0)
    _say(f"{SICK} turns gray: it answers probes and fails real requests")
    faulty_at = time.time()
    await switch(by_name[SICK], "fault=fail")
    detection, reason = await _ejection(by_name[SICK], faulty_at)
    _say(f"{SICK} ejected after {detection:.2f} s ({reason})")
    await asyncio.sleep(2.0)
    _say(f"{DRAINED} drains")
    drained = by_name[DRAINED]
    path = f"/targets/{DRAINED}/drain"
    await get(drained.admin, path, report.Explanation, "POST")
    await asyncio.sleep(2.0)
    begun = (await switch(drained))["begun"]
    _say(f"the process beside {STOPPED} stops as planned")
    running.terminate(STOPPED)
    while not callers.done():
        await asyncio.sleep(1.0)
        done = load.tally
        _say(f"answered {done.answered}, not run {done.not_run}, "
             f"unknown {done.unknown}")  # fmt: skip
    tally = await callers
    drained_work = (await switch(drained))["begun"] - begun
    return await _judge(places, tally, detection, reason, drained_work)


async def _ejection(place: fleet.Place, since: float) -> tuple[float, str]:
    loop = asyncio.get_running_loop()
    ends = loop.time() + EJECT_TIMEOUT
    path = f"/explain/{place.name}"
    while loop.time() < ends:
        told = await get(place.admin, path, report.Explanation)
        for change in told.changes:
            if change.after == "ejected" and change.at >= since:
                evidence = change.evidence
                reason = f"{change.cause}, evidence {evidence.total:.1f}"
                return change.at - since, reason
        await asyncio.sleep(0.05)
    return -1.0, "never"


async def _judge(
    places: list[fleet.Place],
    tally: loading.Tally,
    detection: float,
    reason: str,
    drained_work: int,
) -> Report:
    runs: dict[str, int] = {}
    cut_off = 0
    for place in places:
        counted = await switch(place)
        for token, count in counted["runs"].items():
            runs[token] = runs.get(token, 0) + count
        if place.name in (DRAINED, STOPPED):
            cut_off += counted["cut_off"]
    broken: dict[str, int] = {}
    for place in places:
        if place.name == STOPPED:
            continue
        status = await get(place.admin, "/status", report.Status)
        for promise, count in status.broken.items():
            broken[promise] = broken.get(promise, 0) + count
    ran = sum(1 for token in tally.not_run_tokens if runs.get(token))
    twice = sum(1 for count in runs.values() if count > 1)
    return Report(
        len(places),
        tally,
        detection,
        reason,
        twice,
        ran,
        cut_off,
        drained_work,
        broken,
    )


def _show(found: Report) -> None:
    tally = found.tally
    slowest = sorted(tally.seconds)
    p99 = slowest[int(len(slowest) * 0.99)] if slowest else 0.0
    click.echo("")
    click.echo(f"processes                        {found.processes}")
    click.echo(f"answered                         {tally.answered}")
    click.echo(f"failed answers passed on         {tally.failed}")
    click.echo(f"told not run                     {tally.not_run}")
    click.echo(f"told unknown                     {tally.unknown}")
    click.echo(f"broke off visibly                {tally.broken}")
    click.echo(f"reasons                          {tally.reasons}")
    click.echo(f"99 in 100 answered within        {p99 * 1000:.0f} ms")
    click.echo(f"gray target ejected after        {found.detection:.2f} s")
    click.echo(f"  because of                     {found.reason}")
    click.echo(f"ran twice                        {found.twice}")
    click.echo(f"told not run but ran             {found.ran_though_not_run}")
    click.echo(f"answers mixed up                 {tally.mixed}")
    click.echo(f"cut off by drain and stop        {found.drain_cut_off}")
    click.echo(f"new work 2 s after the drain     {found.drained_work}")
    click.echo(f"broken invariants                {found.broken or 0}")
    verdict = "every promise held" if found.holds() else "A PROMISE BROKE"
    click.echo(f"verdict                          {verdict}")


@click.command("demo")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def command(as_json: bool) -> None:
    """Run Teranga's fleet on loopback through gray faults, in a minute."""

    async def until_stopped() -> Report:
        # Ctrl-C cancels, so that the fleet is ended before this process.
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        return await run()

    try:
        found = asyncio.run(until_stopped())
    except asyncio.CancelledError:
        click.echo("stopped", err=True)
        sys.exit(130)
    if as_json:
        click.echo(msgspec.json.encode(found))
    else:
        _show(found)
    sys.exit(0 if found.holds() else 1)
