"""`forklift-lab soak`: real processes, random faults, promises checked.

Each seed draws a few troubles from a registry and lets them overlap, while
callers keep their connections open and send. What callers and targets saw is
then held against the promises; the faults come from outside the processes.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random
import signal
import sys
import time
from collections.abc import Awaitable
from collections.abc import Callable

import click

from forklift.platform import names
from forklift.shell import client
from forklift_lab import programs
from forklift_lab import relay
from forklift_lab import scripted

DOMAINS = ("plateau", "almadies")
PROCESSES = 5
CALLERS = 12
SERVICE = "releves"
# Seconds that one seed makes trouble for, and troubles it draws.
SECONDS = 8.0
TROUBLES = 8
# Milliseconds that a caller allows, and seconds after which the lack of any
# answer is a breach: many times that, as this machine may be busy.
DEADLINE_MS = 2000
HANGS_AFTER = 30.0
# Seconds after its acknowledgement in which a leaving target may still get
# work, as the platform bounds it.
DRAIN_WITHIN = 2.0
# Seconds within which all must serve again once the faults are over: a bound
# against hanging, far above what it takes.
RECOVER_WITHIN = 90.0
# Pause of a caller between two requests, seconds.
THINKS = 0.03
# Faults of a target that its answers show.
TARGET_FAULTS = (
    "reset",
    "error",
    "garbage",
    "stray-before",
    "extra-after",
    "refuse",
    "short",
    "close",
    "unframed-reset",
)
_NOT_RUN = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True)
class Seen:
    """One request as its caller saw it.

    Attributes:
        id: Its identity.
        place: Process that it was sent to.
        began: Loop seconds when it was sent.
        ended: Loop seconds when it ended for the caller.
        status: HTTP status; 0 where there was no answer.
        own: Whether the answer was whole and its own.
        hung: Whether nothing came within the longest time.
    """

    id: str
    place: str
    began: float
    ended: float
    status: int
    own: bool = True
    hung: bool = False


class Soak:
    """One seed: its processes, its callers and what they saw."""

    def __init__(self, seed: int, running: programs.Programs):
        self.rng = random.Random(seed)
        self.running = running
        self.seen: list[Seen] = []
        self.told: list[str] = []
        self.breaches: list[str] = []
        self.version = 1
        # Spans in which a process was killed, paused or its callers cut off.
        self.harms_by_place: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        # Processes that a trouble is ending or pausing just now.
        self.busy: set[str] = set()
        self.stopped: list[tuple[str, int]] = []
        self.lives: collections.Counter[str] = collections.Counter()
        self.over = False
        self._number = 0

    def now(self) -> float:
        """Loop seconds."""
        return asyncio.get_running_loop().time()

    def tell(self, text: str) -> None:
        """Notes what was done, for the report of a seed that failed."""
        self.told.append(f"{time.strftime('%H:%M:%S')} {text}")

    @contextlib.contextmanager
    def harm(self, place: str):
        """Marks a process as harmed for as long as the context is open."""
        began = self.now()
        try:
            yield
        finally:
            self.harms_by_place[place].append((began, self.now()))

    def harmed(self, seen: Seen) -> bool:
        """Whether the process of a request was harmed while it lasted."""
        spans = self.harms_by_place[seen.place]
        return any(a <= seen.ended and seen.began <= b for a, b in spans)

    # Callers.

    async def call(self, rng: random.Random) -> None:
        """One caller: keeps its connection until the process is gone."""
        while not self.over:
            place = rng.choice(self.running.places)
            asker = client.Client(place.caller)
            try:
                for _ in range(rng.randint(1, 40)):
                    if self.over or not await self.ask(asker, place, rng):
                        break
                    await asyncio.sleep(THINKS)
            finally:
                asker.close()
            await asyncio.sleep(THINKS)

    async def ask(
        self, asker: client.Client, place: programs.Place, rng: random.Random
    ) -> bool:
        """Sends one request; False when the connection is of no use."""
        self._number += 1
        unsafe = rng.random() < 0.5
        request_id = f"{'u' if unsafe else 's'}-{self._number}"
        fields = (
            (names.DIALECT.request_id.decode(), request_id),
            (names.DIALECT.deadline.decode(), str(DEADLINE_MS)),
        )
        method, path = ("POST", "/copies/") if unsafe else ("GET", "/history/")
        began = self.now()
        try:
            answer = await asker.request(
                method, path, b"", fields, HANGS_AFTER, host="h"
            )
        except client.Failed:
            ended = self.now()
            hung = ended - began >= HANGS_AFTER
            self.seen.append(
                Seen(request_id, place.name, began, ended, 0, hung=hung)
            )
            return False
        own = answer.status != 200 or _is_own(answer, request_id)
        self.seen.append(
            Seen(request_id, place.name, began, self.now(), answer.status, own)
        )
        return True

    # The whole.

    async def run(self) -> list[str]:
        """Plays the seed; returns the promises that were broken."""
        self.running.store.configure(configuration(self.version))
        for number in range(PROCESSES):
            domain = DOMAINS[number % len(DOMAINS)]
            await self.running.add(f"{domain}-{number}", domain, SERVICE)
        await self.recovered()
        callers = [
            asyncio.create_task(self.call(random.Random(self.rng.random())))
            for _ in range(CALLERS)
        ]
        troubles = [
            asyncio.create_task(self.trouble()) for _ in range(TROUBLES)
        ]
        await asyncio.gather(*troubles)
        breaches = []
        if not await self.recovered():
            breaches.append("not all processes served again")
        self.over = True
        await asyncio.gather(*callers)
        return breaches + list(check(self))

    async def trouble(self) -> None:
        """Waits a while, then makes one trouble."""
        await asyncio.sleep(self.rng.uniform(0.0, SECONDS))
        name = self.rng.choice(sorted(trouble_by_name))
        place = self.rng.choice(self.running.places)
        self.tell(f"{name} at {place.name}")
        await trouble_by_name[name](self, place)

    async def recovered(self) -> bool:
        """Waits until each process is ready and serves what may repeat."""
        try:
            async with asyncio.timeout(RECOVER_WITHIN):
                for place in self.running.places:
                    while not await self.serves(place):
                        await asyncio.sleep(0.1)
        except TimeoutError:
            return False
        return True

    async def serves(self, place: programs.Place) -> bool:
        """Whether a process is ready and a request through it is answered."""
        if not await self.running.ready(place):
            return False
        asker = client.Client(place.caller)
        try:
            answer = await asker.request("GET", "/history/", host="h")
            return answer.status == 200
        except client.Failed:
            return False
        finally:
            asker.close()

    async def restart(self, place: programs.Place, number: int) -> int:
        """Ends a process by a signal and starts it again."""
        status = await self.running.stop(place.name, number)
        await self.running.start(place)
        return status

    def life(self, place: programs.Place) -> scripted.ScriptedTarget:
        """The target beside a process."""
        return self.running.target_by_name[place.name]

    def relays(self, place: programs.Place) -> programs.Relays:
        """The relays around a process."""
        return self.running.relays_by_name[place.name]


def _is_own(answer: client.Response, request_id: str) -> bool:
    given = dict(answer.headers).get(names.DIALECT.request_id.lower())
    own = given == request_id.encode()
    return own and answer.body == scripted.BODY


def configuration(version: int) -> dict:
    """The operator's record; each version has a route of its own."""

    def route(prefix: str, kind: str) -> dict:
        return {
            "host": "h",
            "path-prefix": prefix,
            "kind": kind,
            "service": SERVICE,
            "timeout-ms": 3000,
            "target-latency-ms": 800,
            "retry-attempts": 2,
        }

    return {
        "version": version,
        "routes": {
            "history": route("/history/", "idempotent"),
            "copies": route("/copies/", "non_idempotent"),
            f"v{version}": route(f"/v{version}/", "idempotent"),
        },
        "services": {SERVICE: {"health-check": "/health"}},
    }


# Troubles.

Trouble = Callable[[Soak, programs.Place], Awaitable[None]]
trouble_by_name: dict[str, Trouble] = {}


def trouble(name: str) -> Callable[[Trouble], Trouble]:
    """Registers a kind of trouble."""

    def register(function: Trouble) -> Trouble:
        trouble_by_name[name] = function
        return function

    return register


@contextlib.contextmanager
def _alone(soak: Soak, place: programs.Place):
    """Whether this trouble is the only one that signals the process."""
    if place.name in soak.busy:
        yield False
        return
    soak.busy.add(place.name)
    try:
        yield True
    finally:
        soak.busy.discard(place.name)


@trouble("pause")
async def _pause(soak: Soak, place: programs.Place) -> None:
    with _alone(soak, place) as alone:
        if not alone:
            return
        process = soak.running.process_by_name[place.name]
        with soak.harm(place.name):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(soak.rng.uniform(0.3, 4.0))
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.5)


@trouble("kill")
async def _kill(soak: Soak, place: programs.Place) -> None:
    with _alone(soak, place) as alone:
        if alone:
            with soak.harm(place.name):
                await soak.restart(place, signal.SIGKILL)


@trouble("kill-many")
async def _kill_many(soak: Soak, place: programs.Place) -> None:
    soak.version += 1
    soak.running.store.configure(configuration(soak.version))
    await asyncio.gather(*(_kill(soak, one) for one in soak.running.places))


@trouble("stop")
async def _stop(soak: Soak, place: programs.Place) -> None:
    with _alone(soak, place) as alone:
        # One that is still loading has nothing to end, and just dies.
        if not alone or not await soak.running.ready(place):
            return
        status = await soak.restart(place, signal.SIGTERM)
        soak.stopped.append((place.name, status))


@trouble("roll")
async def _roll(soak: Soak, place: programs.Place) -> None:
    for one in soak.running.places[:3]:
        await _stop(soak, one)


@trouble("hang-up")
async def _hang_up(soak: Soak, place: programs.Place) -> None:
    for _ in range(soak.rng.randint(1, 5)):
        process = soak.running.process_by_name[place.name]
        if process.returncode is None:
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.05)


@trouble("relay")
async def _relay(soak: Soak, place: programs.Place) -> None:
    """Delays, resets or silences one way of a process."""
    chosen = soak.rng.choice(soak.relays(place).all())
    kind = soak.rng.choice(("delay", "reset", "up", "down", "both"))
    if kind == "delay":
        chosen.delay = soak.rng.uniform(0.02, 0.4)
    elif kind == "reset":
        chosen.reset()
    if kind in ("up", "both"):
        chosen.silence(relay.Way.UP)
    if kind in ("down", "both"):
        chosen.silence(relay.Way.DOWN)
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    chosen.heal()


@trouble("store")
async def _store(soak: Soak, place: programs.Place) -> None:
    """The store is away, busy, slow, forgetful or loses answers."""
    store = soak.running.store
    kind = soak.rng.choice(("away", "busy", "slow", "losing", "forget"))
    if kind == "away":
        store.go_away()
    elif kind == "busy":
        store.refusing = 503
    elif kind == "slow":
        store.slow = 0.3
    elif kind == "losing":
        store.losing = True
    else:
        store.forget()
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    store.away = False
    store.refusing = 0
    store.slow = 0.0
    store.losing = False


@trouble("configure")
async def _configure(soak: Soak, place: programs.Place) -> None:
    for _ in range(soak.rng.randint(1, 3)):
        soak.version += 1
        soak.running.store.configure(configuration(soak.version))
        await asyncio.sleep(soak.rng.uniform(0.0, 0.3))


@trouble("target-fails")
async def _target_fails(soak: Soak, place: programs.Place) -> None:
    kind = soak.rng.choice(TARGET_FAULTS)
    soak.life(place).script += [kind] * soak.rng.randint(1, 20)
    await asyncio.sleep(0)


@trouble("target-leaves")
async def _target_leaves(soak: Soak, place: programs.Place) -> None:
    """A target drains, and another begins at its address."""
    target = soak.life(place)
    if target.leaving:
        return
    target.leaving = True
    for _ in range(20):
        if target.name in target.left_at_by_name:
            break
        await asyncio.sleep(programs.HEARTBEAT_EVERY / 2)
    await asyncio.sleep(DRAIN_WITHIN + 1.0)
    soak.lives[place.name] += 1
    target.name = f"i-{place.name}-{soak.lives[place.name]}"
    target.leaving = False


# Promises.

Promise = Callable[[Soak], list[str]]
promise_by_name: dict[str, Promise] = {}


def promise(name: str) -> Callable[[Promise], Promise]:
    """Registers a promise that is checked once a seed is over."""

    def register(function: Promise) -> Promise:
        promise_by_name[name] = function
        return function

    return register


def check(soak: Soak) -> list[str]:
    """The breaches of a seed, each with the name of its promise."""
    return [
        f"{name}: {breach}"
        for name, found in promise_by_name.items()
        for breach in found(soak)
    ]


def runs_by_id(soak: Soak) -> collections.Counter[str]:
    """How often each request reached a target that did not refuse it."""
    runs: collections.Counter[str] = collections.Counter()
    for target in soak.running.target_by_name.values():
        for received, fault in zip(target.received, target.played, strict=True):
            if fault not in ("refuse", "misdirected"):
                field = names.DIALECT.request_id
                runs[received.field(field).decode()] += 1
    return runs


@promise("at most once")
def _once(soak: Soak) -> list[str]:
    runs = runs_by_id(soak)
    return [
        name for name, count in runs.items() if name[0] == "u" and count > 1
    ]


@promise("not run is true")
def _true_refusals(soak: Soak) -> list[str]:
    runs = runs_by_id(soak)
    return [
        f"{seen.id} {seen.status}"
        for seen in soak.seen
        if seen.status in _NOT_RUN and seen.id[0] == "u" and runs[seen.id]
    ]


@promise("own answer")
def _own(soak: Soak) -> list[str]:
    return [seen.id for seen in soak.seen if not seen.own]


@promise("an answer in the end")
def _answered(soak: Soak) -> list[str]:
    return [
        seen.id for seen in soak.seen if seen.hung and not soak.harmed(seen)
    ]


@promise("nothing cut off")
def _nothing_cut_off(soak: Soak) -> list[str]:
    """A request that ran has an answer, unless its process was harmed."""
    runs = runs_by_id(soak)
    return [
        seen.id
        for seen in soak.seen
        if seen.status == 0 and runs[seen.id] and not soak.harmed(seen)
    ]


@promise("planned stops end well")
def _stops(soak: Soak) -> list[str]:
    return [f"{name} {status}" for name, status in soak.stopped if status]


@promise("a leaving target gets no work")
def _drained(soak: Soak) -> list[str]:
    late = []
    for target in soak.running.target_by_name.values():
        arrivals = zip(target.received, target.names_received, strict=True)
        for received, name in arrivals:
            left = target.left_at_by_name.get(name)
            if left is not None and received.at > left + DRAIN_WITHIN:
                late.append(f"{name} {received.at - left:.1f} s after")
    return late


async def play(seed: int) -> Soak:
    """Plays one seed and reports it; the breaches are in `told`."""
    async with programs.Programs(relayed=True) as running:
        soak = Soak(seed, running)
        soak.breaches = await soak.run()
        for breach in soak.breaches:
            soak.tell(f"BROKEN {breach}")
        statuses = collections.Counter(seen.status for seen in soak.seen)
        soak.tell(f"statuses {dict(sorted(statuses.items()))}")
        soak.tell(f"logs in {running.folder}")
        return soak


@click.command("soak")
@click.option("--seed", default=1, show_default=True, help="first seed")
@click.option("--seeds", default=1, show_default=True, help="how many")
def command(seed: int, seeds: int) -> None:
    """Play random faults; exit status 1 if a promise broke."""
    failed = []
    for number in range(seed, seed + seeds):
        soak = asyncio.run(play(number))
        click.echo(
            f"seed {number}: {len(soak.breaches)} broken, {soak.told[-2]}"
        )
        if soak.breaches:
            failed.append(number)
            click.echo("\n".join(soak.told))
    click.echo(f"{seeds} seeds, failed: {failed or 'none'}")
    if failed:
        sys.exit(1)
