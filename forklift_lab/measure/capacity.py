"""`forklift-lab measure capacity`: the slopes that docs/CAPACITY.md uses."""

import asyncio
import dataclasses
import datetime
import gc
import json
import random
import time
import tracemalloc
from collections.abc import Callable

import click
import msgspec
import structlog

from forklift import decisions
from forklift import effective
from forklift import entry
from forklift import fences
from forklift import keys
from forklift import leases
from forklift import membership
from forklift import messages
from forklift import policy
from forklift import report
from forklift import routing
from forklift.shell import control
from forklift.shell import framing
from forklift_lab import demo
from forklift_lab import fleet
from forklift_lab.measure import processes

State = messages.TargetState
REPEATS = 2000
IDLE = 10.0
MOST_MEMORY_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Slope:
    """One measured slope.

    Attributes:
        what: What was measured.
        sizes: Sizes it was measured at.
        values: Value at each size.
        unit: Unit of the values.
        slope: Growth of the value for one more.
    """

    what: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    unit: str

    @property
    def slope(self) -> float:
        """Growth from the smallest to the largest size, for one more."""
        rise = self.values[-1] - self.values[0]
        return rise / (self.sizes[-1] - self.sizes[0])


def _microseconds(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Best of three means: noise only adds."""
    best = float("inf")
    for _ in range(3):
        started = time.perf_counter()
        for _ in range(repeats):
            work()
        best = min(best, (time.perf_counter() - started) / repeats)
    return best * 1e6


def _bytes(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


def _over(
    what: str,
    unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Slope:
    return Slope(what, sizes, tuple(measure(size) for size in sizes), unit)


def _routes(count: int) -> list[routing.Route]:
    return [
        routing.Route(f"r{n}", f"host{n % 700}", f"/a{n}/b", f"s{n % 670}")
        for n in range(count)
    ]


def _policy_text(routes: int, services: int = 1) -> str:
    parts = ["[policy]\nname = p\n"]
    for number in range(services):
        parts.append(f"[service s{number}]\nfloor = 1\n")
    for number in range(routes):
        parts.append(
            f"[route r{number}]\nhost = h\nprefix = /a{number}\n"
            f"service = s{number % services}\n"
        )
    return "".join(parts)


def _info(number: int, service: str = "s") -> messages.ProcessInfo:
    target = messages.TargetInfo(
        f"t{number}", service, "d", 4, State.IN_SERVICE, 1.0, 2, 0.1, 0.01
    )
    place = f"10.0.{number // 250}.{number % 250}:7001"
    return messages.ProcessInfo(
        f"p{number}", number + 1, 1, f"d{number % 14}", place, place, place,
        3, 1.7e9, (target,), 5,
    )  # fmt: skip


def _node(count: int) -> messages.ProcessInfo:
    """A process beside several targets."""
    targets = tuple(_info(number).targets[0] for number in range(count))
    return msgspec.structs.replace(_info(77), targets=targets)


def _program() -> policy.Service:
    return policy.parse("p", _policy_text(0)).services_by_name["s0"]


def _entry(count: int) -> entry.Entry:
    made = entry.Entry("p0", "d", random.Random(1))
    made.follow({"s": _program()})
    infos = [_info(number) for number in range(count)]
    for info in infos:
        made.learn(info, frozenset({"s"}))
    return made


def _choose(count: int) -> float:
    made = _entry(count)
    wish = entry.Wish("s", "GET", True, 1e9)

    def pick() -> None:
        choice = made.choose(wish, frozenset(), 0.0)
        made.ended(wish, choice, None, 0.0)

    return _microseconds(pick)


def _directory(count: int) -> membership.Directory:
    made = membership.Directory(_info(0))
    for number in range(1, count):
        made.hear(_info(number), 0.0)
    return made


def _ledger(count: int) -> keys.Ledger:
    made = keys.Ledger(0.0, count + 1, 0)
    for number in range(count):
        key = number.to_bytes(16, "big")
        made.begin(key, key, 1000.0, 3600.0, 1000.0)
        made.finish(key, messages.Outcome.UNKNOWN, None)
    return made


def _fences(count: int) -> fences.Fences:
    made = fences.Fences()
    for number in range(count):
        made.start((1 << 62, number), 0.0)
    return made


def _table(count: int) -> leases.Table:
    made = leases.Table()
    for number in range(count):
        made.apply(
            messages.Takeover(f"s{number}/0", 1, f"p{number}", 1, ("a", "b"))
        )
    return made


def pure() -> list[Slope]:
    """Slopes of state and decisions, in this process."""
    wide = (100, 1000, 10_000)
    service = (20, 200, 2000)
    found = [
        _over("route table, bytes", "B", wide, lambda n: _bytes(
            lambda: routing.Table(_routes(n)))),
        _over("route look-up", "us", wide, lambda n: _look_up(n)),
        _over("policy check", "us", (10, 100, 1000), lambda n: _microseconds(
            lambda: policy.parse("p", _policy_text(n)), 3)),
        _over("all policies merged", "us", wide, _merge),
        _over("entry, bytes for targets of one service", "B", service,
              lambda n: _bytes(lambda: _entry(n))),
        _over("entry, a pick", "us", service, _choose),
        _over("entry, taking news in", "us", service, lambda n: _microseconds(
            lambda: _entry(n), 3)),
        _over("directory, bytes", "B", service, lambda n: _bytes(
            lambda: _directory(n))),
        _over("reference of a service", "us", service, _normal),
        _over("remembered keys, bytes", "B", wide, lambda n: _bytes(
            lambda: _ledger(n))),
        _over("a key's verdict", "us", wide, _verdict),
        _over("remembered starts, bytes", "B", wide, lambda n: _bytes(
            lambda: _fences(n))),
        _over("leases, bytes", "B", wide, lambda n: _bytes(
            lambda: _table(n))),
    ]  # fmt: skip
    return found


def _normal(count: int) -> float:
    made = _entry(count)
    return _microseconds(lambda: made.normal("s"), 50)


def _look_up(count: int) -> float:
    table = routing.Table(_routes(count))
    route = _routes(count)[count // 2]
    return _microseconds(lambda: table.find(route.host, route.prefix + "/x/y"))


def _merge(count: int) -> float:
    routes = _routes(count)
    by_name = {
        f"p{n}": policy.Policy(f"p{n}", {}, tuple(routes[n::67]))
        for n in range(67)
    }
    return _microseconds(lambda: effective.merge(by_name), 5)


def _verdict(count: int) -> float:
    made = _ledger(count)
    key = (1).to_bytes(16, "big")
    return _microseconds(lambda: made.begin(key, key, 1000.0, 3600.0, 1000.0))


def sizes() -> dict[str, int]:
    """Bytes of each message on the wire or the log."""
    info = _info(77)
    rumor = messages.Rumor(messages.Liveness.ALIVE, info)
    publication = messages.Publication(
        "0" * 32, "p", 1, "operator", _policy_text(15)
    )
    grant = messages.Takeover("service-77/3", 2, "p77", 1 << 62, ("a1", "b2"))
    claim = messages.Claim(b"k" * 16, b"f" * 16, 1.7e9)
    shown = {
        "ping without news": messages.Ping(info, 1, 0.0, 1 << 62, ()),
        "ping of a node with 12 targets": messages.Ping(
            _node(12), 1, 0.0, 1 << 62, ()
        ),
        "one piece of news": rumor,
        "pong": messages.Pong(messages.sender(info), 1, 1 << 62, ()),
        "announcement on the log": messages.announcement(info),
        "takeover on the log": grant,
        "claims of 100 keys": messages.Claims("s/1", 1, 1, (claim,) * 100),
        "permit request": messages.PermitRequest(
            messages.sender(info), "s", "t77", False, False, 1
        ),
        "promise request": messages.PromiseRequest(
            messages.sender(info), "s/1", 1, 1
        ),
        "publication of 15 routes": publication,
    }
    return {name: len(messages.encode(what)) for name, what in shown.items()}


class _Nobody:
    """A clock that the caller turns."""

    now = 0.0

    def monotonic(self) -> float:
        """See `ports.Clock`."""
        return self.now

    def wall(self) -> float:
        """See `ports.Clock`."""
        return 1.7e9 + self.now


def key_costs() -> dict[str, float]:
    """Microseconds that the shared key costs.

    The proof is made and checked once a connection; no request pays for it.
    """
    key, nonce = b"k" * 32, b"n" * 16
    wire = control.Control("10.0.0.1:1", 1, key, lambda: 1.7e9, print)
    data = messages.encode(_info(1))

    def both_ways() -> None:
        wire._unseal(wire._seal("10.0.0.1:1", data))

    return {
        "proof of the key, once a connection and side": _microseconds(
            lambda: framing.prove(key, nonce, nonce)
        ),
        "control message sealed and opened": _microseconds(both_ways),
    }


def quiet_process(count: int) -> tuple[float, float]:
    """Processor time and bytes a second of the decisions among n peers.

    The peers are played by their directories' answers: each ping is answered
    by a pong of the same size.
    """
    clock = _Nobody()
    sent = 0

    def send(address: str, message: messages.Control) -> None:
        nonlocal sent
        sent += len(messages.encode(message))
        if isinstance(message, messages.Ping) and message.sent:
            number = int(address.split(":")[0].split(".")[2]) * 250
            number += int(address.split(":")[0].split(".")[3])
            pong = messages.Pong(
                messages.sender(_info(number)),
                message.number,
                made.directory.digest(),
                (),
            )
            made.receive(pong)

    effects = decisions.Effects(
        send, lambda r: None, lambda d: None, lambda n: None, lambda b: None
    )
    made = decisions.Decisions(
        _info(0), effects, clock, random.Random(1), 3600.0
    )
    publication = messages.Publication("i", "p", 0, "a", _policy_text(0))
    publication = messages.Publication(
        "i", "p", 0, "a", publication.text.replace("s0", "s")
    )
    made.configuration.publish(0, publication)
    made.follow("p")
    made.announce("t0", "s", "d", 4)
    for number in range(1, count):
        made.directory.hear(_info(number), 0.0)
    made.tick()
    sent = 0
    seconds = 10.0
    started = time.process_time()
    while clock.now < seconds:
        clock.now += 0.05
        made.tick()
    return (time.process_time() - started) / seconds, sent / seconds


@dataclasses.dataclass(frozen=True)
class Spread:
    """Figures of so many real processes.

    Attributes:
        count: Processes.
        in_force: Seconds until a publication was in force everywhere.
        drain_known: Seconds until a drain was known everywhere.
        cpu: Share of a core that the busiest process uses when idle.
        bytes_out: Bytes a second that a process sends for control, mean.
        memory: Resident memory of the largest process, bytes.
        threads: Threads of a process.
    """

    count: int
    in_force: float
    drain_known: float
    cpu: float
    bytes_out: float
    memory: int
    threads: int


async def spread(count: int) -> Spread:
    """Starts processes of one service and measures how news spreads."""
    places = fleet.places({"s": count}, ["a", "b", "c", "d"])
    log = fleet.free_addresses(1)[0]
    async with fleet.Fleet(log) as running:
        await running.lab("log", "log", "--listen", log)
        for place in places:
            await running.node(place)
        specs: list[str] = []
        for place in places:
            spec = f"{place.name},s,{place.domain},{place.target},{place.admin}"
            specs += ["--spec", spec]
        await running.lab("targets", "target", *specs)
        for place in places:
            await fleet.wait_until(lambda p=place: fleet.answers(p.admin), 120)
        text = _policy_text(15).replace("service s0", "service s").replace(
            "service = s0", "service = s")  # fmt: skip
        await demo.publish(places[0].admin, text)
        for place in places:
            await fleet.wait_until(lambda p=place: _knows(p, count), 120)
        await asyncio.sleep(5.0)
        pids = [running.process_by_name[p.name].pid for p in places]
        before = [processes.cpu_seconds(pid) for pid in pids]
        bytes_before = [await _sent(place) for place in places[:8]]
        started = time.monotonic()
        await asyncio.sleep(IDLE)
        gone = time.monotonic() - started
        after = [processes.cpu_seconds(pid) for pid in pids]
        bytes_after = [await _sent(place) for place in places[:8]]
        at = time.time()
        await demo.publish(places[1].admin, text + "# changed\n")
        await asyncio.sleep(4.0)
        in_force = _latest(running, places, "policy_in_force") - at
        drained_at = time.time()
        path = f"/targets/{places[2].name}/drain"
        await demo.get(places[2].admin, path, report.Explanation, "POST")
        for place in places:
            await fleet.wait_until(lambda p=place: _draining(p, places[2]))
        drain_known = time.time() - drained_at
        rates = [
            (b - a) / gone
            for a, b in zip(bytes_before, bytes_after, strict=True)
        ]
        return Spread(
            count,
            in_force,
            drain_known,
            max((b - a) / gone for a, b in zip(before, after, strict=True)),
            sum(rates) / len(rates),
            max(processes.resident_bytes(pid) for pid in pids),
            processes.threads(pids[0]),
        )


async def _knows(place: fleet.Place, count: int) -> bool:
    status = await demo.get(place.admin, "/status", report.Status)
    return any(s.known == count for s in status.services)


async def _draining(place: fleet.Place, drained: fleet.Place) -> bool:
    status = await demo.get(place.admin, "/status", report.Status)
    return any(
        t.name == drained.name and t.state == "draining" for t in status.targets
    )


async def _sent(place: fleet.Place) -> int:
    state = await demo.get(place.admin, "/state", report.State)
    return state.counters.control_sent_bytes


def _latest(running, places, event: str) -> float:
    """Wall time of the last such line in the logs of all processes."""
    latest = 0.0
    for place in places:
        found = 0
        for line in running.log_of(place.name).splitlines():
            said = json.loads(line)
            if said["event"] == event:
                found += 1
                at = datetime.datetime.fromisoformat(said["timestamp"])
                latest = max(latest, at.timestamp())
        if found < 2:
            raise click.ClickException(f"{place.name} did not take it in force")
    return latest


def show_pure(found: list[Slope]) -> str:
    """The slopes as a Markdown table."""
    lines = ["| what | sizes | values | for one more |", "|---|---|---|---|"]
    for row in found:
        values = ", ".join(f"{value:,.1f}" for value in row.values)
        places = ", ".join(f"{size:,}" for size in row.sizes)
        lines.append(
            f"| {row.what} | {places} | {values} {row.unit} "
            f"| {row.slope:.3f} {row.unit} |"
        )
    return "\n".join(lines)


def show_spread(found: list[Spread]) -> str:
    """The figures of real processes as a Markdown table."""
    lines = [
        "| processes | in force everywhere s | drain known everywhere s "
        "| idle CPU % of a core | control B/s out | RSS MB | threads |",
        "|---|---|---|---|---|---|---|",
    ]
    for row in found:
        lines.append(
            f"| {row.count} | {row.in_force:.2f} | {row.drain_known:.2f} "
            f"| {row.cpu * 100:.2f} | {row.bytes_out:.0f} "
            f"| {row.memory / 1e6:.0f} | {row.threads} |"
        )
    return "\n".join(lines)


@click.command("capacity")
@click.option(
    "--processes",
    "counts",
    multiple=True,
    type=int,
    default=(10, 40, 120),
    show_default=True,
    help="Real processes to start; repeat it. 0 starts none.",
)
def command(counts: tuple[int, ...]) -> None:
    """Measure the slopes of state, messages and time that capacity needs."""
    structlog.configure(processors=[_drop])
    click.echo(show_pure(pure()))
    click.echo("\n| message | bytes |\n|---|---|")
    for name, size in sizes().items():
        click.echo(f"| {name} | {size} |")
    click.echo(
        "\n| peers | decisions, CPU % | control B/s out |\n|---|---|---|"
    )
    for count in (20, 58, 200, 2000):
        cpu, rate = quiet_process(count)
        click.echo(f"| {count} | {cpu * 100:.2f} | {rate:.0f} |")
    found = [asyncio.run(spread(count)) for count in counts if count]
    if found:
        click.echo("\n" + show_spread(found))


def _drop(logger, method, event):
    raise structlog.DropEvent
