"""`forklift-lab demo`: a fleet carries requests through gray faults."""

import asyncio
import collections
import dataclasses
import random
import sys
import time

import click

from forklift.platform import platform_headers
from forklift.shell import client
from forklift_lab import programs
from forklift_lab import scripted

DOMAINS = ("plateau", "almadies", "diamniadio")
PROCESSES = 12
SECONDS = 12.0
RATE = 60.0
WARM_UP = 30.0
# Part of the requests that must not repeat.
UNREPEATABLE = 0.6
FAULTS = ("reset", "error", "garbage", "stray-before", "refuse", "short")
STOPPED = 3
_SERVICE = "releves"


def configuration(version: int) -> dict:
    """The operator's record."""
    kinds = {"history": "idempotent", "copies": "non_idempotent"}
    return programs.configuration(version, _SERVICE, kinds)


@dataclasses.dataclass
class Tally:
    """What callers and targets saw."""

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    mixed: int = 0
    no_answer: int = 0
    seconds: list[float] = dataclasses.field(default_factory=list)
    refused_ids: set[str] = dataclasses.field(default_factory=set)


async def ask(place: programs.Place, number: int, tally: Tally, rng) -> None:
    """Sends one request and counts how it ended."""
    unsafe = rng.random() < UNREPEATABLE
    path = f"/{'copies' if unsafe else 'history'}/{number}"
    request_id = f"{'u' if unsafe else 's'}-{number}"
    asker = client.Client(place.caller)
    began = time.monotonic()
    fields = (
        (platform_headers.PLATFORM.request_id.decode(), request_id),
        (platform_headers.PLATFORM.deadline.decode(), "3000"),
    )
    try:
        answer = await asker.request(
            "POST" if unsafe else "GET", path, b"", fields, 10.0, host="h"
        )
    except client.RequestFailed:
        tally.no_answer += 1
        return
    finally:
        asker.close()
    tally.seconds.append(time.monotonic() - began)
    if answer.status == 200:
        tally.answered += 1
        tally.mixed += answer.body != scripted.BODY
    elif answer.status == 503:
        tally.not_run += 1
        tally.refused_ids.add(request_id)
    else:
        tally.unknown += 1


def runs_by_id(running: programs.Programs) -> collections.Counter[str]:
    """How often each request reached a target that did not refuse it."""
    runs: collections.Counter[str] = collections.Counter()
    for target in running.target_by_name.values():
        for received, fault in zip(target.received, target.played, strict=True):
            if fault != "refuse":
                field = platform_headers.PLATFORM.request_id
                runs[received.field(field).decode()] += 1
    return runs


async def _load(running: programs.Programs, places, rng) -> Tally:
    tally = Tally()
    tasks = []
    count = int(SECONDS * RATE)
    for number in range(count):
        await asyncio.sleep(rng.expovariate(RATE))
        _make_trouble(running, rng)
        place = rng.choice(places)
        tasks.append(asyncio.create_task(ask(place, number, tally, rng)))
    await asyncio.gather(*tasks)
    return tally


def _make_trouble(running: programs.Programs, rng) -> None:
    """Now and then a target begins to fail some requests in a row."""
    if rng.random() < 0.05:
        target = rng.choice(list(running.target_by_name.values()))
        target.script += [rng.choice(FAULTS)] * rng.randrange(1, 6)


def _say(text: str) -> None:
    click.echo(f"{time.strftime('%H:%M:%S')} {text}", err=True)


async def run(seed: int) -> bool:
    """Runs the demo; True when every promise held."""
    rng = random.Random(seed)
    async with programs.Programs() as running:
        running.store.configure(configuration(1))
        for number in range(PROCESSES):
            domain = DOMAINS[number % len(DOMAINS)]
            await running.add(f"{domain}-{number}", domain, _SERVICE)
        _say(f"{PROCESSES} processes start")
        async with asyncio.timeout(WARM_UP):
            for place in running.places:
                while not await running.ready(place):
                    await asyncio.sleep(0.1)
        _say("all are ready; load and faults begin")
        stopped = running.places[:STOPPED]
        load = asyncio.create_task(
            _load(running, running.places[STOPPED:], rng)
        )
        await asyncio.sleep(SECONDS / 3)
        _say(f"a planned stop of {stopped[0].name}; a configuration")
        running.store.configure(configuration(2))
        status = await running.stop(stopped[0].name)
        running.store.go_away()
        _say("the store is away")
        tally = await load
        return _report(running, tally, status)


def _report(running: programs.Programs, tally: Tally, stop_status: int) -> bool:
    runs = runs_by_id(running)
    twice = sum(
        1 for name, count in runs.items() if name[0] == "u" and count > 1
    )
    ran = sum(1 for name in tally.refused_ids if runs[name])
    untrue = sum(1 for n in tally.refused_ids if runs[n] and n[0] == "u")
    slowest = sorted(tally.seconds)[int(len(tally.seconds) * 0.99)]
    rows = (
        ("processes", len(running.places)),
        ("answered", tally.answered),
        ("told not run / told unknown", f"{tally.not_run} / {tally.unknown}"),
        ("99 in 100 answered within", f"{slowest * 1000:.0f} ms"),
        ("no answer at all", tally.no_answer),
        ("ran twice", twice),
        ("told not run but ran", untrue),
        ("repeatable, told not run, ran", ran - untrue),
        ("answers mixed up", tally.mixed),
        ("exit status of the planned stop", stop_status),
    )
    for name, value in rows:
        click.echo(f"{name:<32} {value}")
    wrong = twice + untrue + tally.mixed + tally.no_answer + stop_status
    return wrong == 0 and tally.answered > 0


@click.command("demo")
@click.option("--seed", default=1, show_default=True)
def command(seed: int) -> None:
    """Run a fleet through gray faults; exit status 1 if a promise broke."""
    if not asyncio.run(run(seed)):
        sys.exit(1)
