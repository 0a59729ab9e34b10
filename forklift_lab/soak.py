"""`forklift-lab soak`: real processes, random faults, promises checked.

Each seed draws a few troubles from a registry and lets them overlap, while
callers keep their connections open and send. What callers and targets saw is
then held against the promises; the faults come from outside the processes.
"""

import asyncio
import collections
import contextlib
import math
import random
import signal
import time
from collections.abc import Callable

from forklift import heartbeats
from forklift.platform import platform_headers
from forklift.shell import client
from forklift.shell import target_registry
from forklift_lab import downloads
from forklift_lab import kept
from forklift_lab import observations
from forklift_lab import programs
from forklift_lab import records
from forklift_lab import relay
from forklift_lab import scripted
from forklift_lab import seed_plan
from forklift_lab import uploads

DOMAINS = ("plateau", "almadies")
# Processes of a seed: few, whose troubles meet, or more than one asks at once.
PROCESSES = (5, 12)
# Callers for each process, and such that ask for large answers.
CALLERS = 2.4
DOWNLOADERS = 4.0
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
# Seconds after its acknowledgement from which users count on a version.
USERS_WITHIN = 2.0
# Seconds between two looks at how late this loop is.
TICK = 0.05
# Seconds within which all must serve again once the faults are over: a bound
# against hanging, far above what it takes.
RECOVER_WITHIN = 90.0
# Seconds within which a target that returned has work after its first heartbeat
# was taken: its process sends it some after 0.7 s without any.
WORK_WITHIN = 4.0
# Callers for each process that send long bodies.
UPLOADERS = 2.0
LARGE_PATHS = tuple(f"/{name}/ ".encode() for name in records.LARGE_KINDS)
# Requests that a target of such a seed runs at once: most wait for their bytes.
LARGE_SLOTS = 12
# Callers of the limited organisation, each of which repeats a request when
# refused.
PRESSING = 6
# The deadly request, as targets see the head of one, and its path.
DEADLY_PATH = "/history/deadly"
DEADLY = DEADLY_PATH.encode() + b" "
# Seconds that a target is down which it crashed.
DOWN = (0.2, 1.5)
# Seconds in which all processes learn of a crash: the users'.
CONTACT = 3.0
# Milliseconds between two heartbeats, as processes of such seeds are told, and
# the seconds that are played on, in which the lease of a target that is taken
# for silent ends and its work is missed.
HEARTBEAT_MS = 500
OUTLIVES = target_registry.MAX_MISSED_HEARTBEATS * HEARTBEAT_MS / 1000
OUTLIVES += target_registry.HEARTBEAT_TOLERANCE + WORK_WITHIN + 0.5
# Pause of a caller between two requests, seconds.
THINKS = 0.1


class Soak:
    """One seed: its processes, its callers and what they saw."""

    def __init__(self, seed: int, running: programs.Programs):
        self.rng = random.Random(seed)
        self.running = running
        self.seen: list[observations.Seen] = []
        self.told: list[str] = []
        self.breaches: list[str] = []
        self.version = 0
        # Loop seconds when the store acknowledged each version.
        self.acknowledged_by_version: dict[int, float] = {}
        # Spans in which a process was killed, paused or its callers cut off,
        # was starting, was stopping, was cut off from others, and was not
        # answered by the store; those of all of the store are under "".
        self.harms_by_place = _spans()
        self.starts_by_place = _spans()
        self.stops_by_place = _spans()
        self.cuts_by_place = _spans()
        self.unserved_by_place = _spans()
        # Spans in which a process was killed, and in which its links to its
        # peers and to its target were reset.
        self.kills_by_place = _spans()
        self.resets_by_place = _spans()
        # Large answers, as far as they arrived.
        self.large: list[observations.LargeAnswer] = []
        # Uploads by identity.
        self.upload_by_id: dict[str, uploads.Upload] = {}
        # The process and the loop seconds at which callers left.
        self.left_at_by_id: dict[str, tuple[str, float]] = {}
        # When connections of each process that were open fell silent.
        self.died_at_by_place: dict[str, list[float]] = collections.defaultdict(
            list
        )
        # Processes that a trouble is ending or pausing just now.
        self.busy: set[str] = set()
        self.stopped: list[tuple[str, int]] = []
        # Runs of each process so far.
        self.runs_by_place: collections.Counter[str] = collections.Counter()
        self.lives: collections.Counter[str] = collections.Counter()
        self.over = False
        self.over_at = math.inf
        # When this loop was late, and by how much.
        self.lateness: list[tuple[float, float]] = []
        # Lives that began under a name that was used before, with the process
        # beside, and when each life ended.
        self.returns: list[tuple[str, heartbeats.TargetIncarnation]] = []
        self.ended_at_by_incarnation: dict[
            heartbeats.TargetIncarnation, float
        ] = {}
        self.plan = seed_plan.draw(seed, self.rng)
        # When runs of targets began to say in their answers that they leave.
        self.said_leaving_at_by_incarnation: dict[
            heartbeats.TargetIncarnation, float
        ] = {}
        # Limits that targets named, once they are over.
        self.limits: list[observations.NamedLimit] = []
        self._number = 0

    def now(self) -> float:
        """Loop seconds."""
        return asyncio.get_running_loop().time()

    async def watch(self) -> None:
        """Notes by how much this loop is late, until the seed is over."""
        while not self.over:
            due = self.now() + TICK
            await asyncio.sleep(TICK)
            self.lateness.append((due, self.now() - due))

    def late(self, began: float, ended: float) -> float:
        """Seconds by which this loop was late in a span, all in all."""
        return sum(late for at, late in self.lateness if began <= at <= ended)

    def tell(self, text: str) -> None:
        """Notes what was done, for the report of a seed that failed."""
        self.told.append(f"{time.strftime('%H:%M:%S')} {text}")

    def harm(self, place: str):
        """Marks a process as harmed for as long as the context is open."""
        return self._during(self.harms_by_place[place])

    def reset(self, place: str, way: relay.Relay) -> None:
        """Resets the connections of one way of a process."""
        self.resets_by_place[place].append((self.now(), self.now()))
        way.reset()

    def cut(self, place: str = ""):
        """Marks a process, or the store, as cut off from the others."""
        return self._during(self.cuts_by_place[place])

    def unserved(self, place: str):
        """Marks a process as one that the store does not answer."""
        return self._during(self.unserved_by_place[place])

    @contextlib.contextmanager
    def _during(self, spans: list[tuple[float, float]]):
        began = self.now()
        try:
            yield
        finally:
            spans.append((began, self.now()))

    def configure(self) -> None:
        """The operator writes a further version."""
        self.version += 1
        self.running.store.configure(self.configuration())
        self.acknowledged_by_version[self.version] = self.now()

    def configuration(self) -> dict:
        """The newest record of the operator."""
        record = records.configuration(self.version)
        if self.plan.limited:
            record = records.with_limited_organisation(record)
        if self.plan.large:
            record = records.with_many_organisations(record)
        if self.plan.asks_large:
            record = records.with_large_answers(record)
        if self.plan.theme == seed_plan.FULL:
            record = records.with_long_objectives(record)
        return record

    def due(self, at: float, within: float) -> int:
        """The newest version acknowledged so many seconds before; 0 if none."""
        found = self.acknowledged_by_version.items()
        return max((v for v, when in found if when + within < at), default=0)

    def harmed(self, seen: observations.Seen) -> bool:
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

    async def press(self, rng: random.Random) -> None:
        """A caller of the organisation that sends more than it may."""
        while not self.over:
            asker = client.Client(rng.choice(self.running.places).caller)
            fields = (
                (
                    platform_headers.PLATFORM.request_id.decode(),
                    self.new_id("few"),
                ),
                (platform_headers.PLATFORM.key.decode(), records.KEY),
            )
            with contextlib.suppress(client.RequestFailed):
                path = f"/{records.ORGANISATION}/"
                await asker.request("GET", path, b"", fields, 5.0, host="h")
            asker.close()
            await asyncio.sleep(THINKS / 2)

    async def ask(
        self, asker: client.Client, place: programs.Place, rng: random.Random
    ) -> bool:
        """Sends one request; False when the connection is of no use."""
        kind = rng.choices(
            ("copies", "history", "version", "since"), (9, 9, 2, 6)
        )[0]
        version = self.version - rng.randrange(2) if kind == "version" else 0
        since = self.due(self.now(), USERS_WITHIN) if kind == "since" else 0
        request_id = self.new_id(kind)
        fields = (
            (platform_headers.PLATFORM.request_id.decode(), request_id),
            (platform_headers.PLATFORM.deadline.decode(), str(DEADLINE_MS)),
        )
        method = "POST" if kind == "copies" else "GET"
        path = (
            f"/{kind}/"
            if kind in records.KINDS
            else f"/{kind}{version or since}/"
        )
        incarnation = self.runs_by_place[place.name]
        began = self.now()
        status, own = 0, True
        limited = leaving = False
        answered_by = ""
        try:
            answer = await asker.request(
                method, path, b"", fields, HANGS_AFTER, host="h"
            )
            status = answer.status
            own = status != 200 or _is_own(answer, request_id)
            value_by_name = dict(answer.headers)
            limited = platform_headers.PLATFORM.rate_limit in value_by_name
            leaving = platform_headers.PLATFORM.leaving in value_by_name
            answered_by = value_by_name.get(scripted.ANSWERED_BY, b"").decode()
        except client.RequestFailed:
            # No answer: what that means is for the promises to say.
            status = 0
        ended = self.now()
        hung = not status and ended - began >= HANGS_AFTER
        self.seen.append(
            observations.Seen(
                request_id,
                place.name,
                began,
                ended,
                status,
                own,
                hung,
                incarnation,
                version,
                since,
                limited=limited,
                leaving=leaving,
                answered_by=answered_by,
            )
        )
        return bool(status)

    async def download(self, rng: random.Random) -> None:
        """One caller that asks for large answers."""
        while not self.over:
            place = rng.choice(self.running.places)
            asker = downloads.Downloader(rng.choice(downloads.READ_PAUSES))
            try:
                await asker.open(place.caller)
                for _ in range(rng.randint(1, 5)):
                    path = f"/{rng.choice(tuple(records.LARGE_KINDS))}/"
                    if self.over or not await self.ask_large(
                        asker, place, path
                    ):
                        break
            except OSError:
                # Nobody listens: it is gone, and was asked nothing.
                pass
            finally:
                asker.close()
            await asyncio.sleep(THINKS)

    async def ask_large(
        self, asker: downloads.Downloader, place: programs.Place, path: str
    ) -> bool:
        """Sends one request; False when the connection is of no use."""
        request_id = self.new_id("large")
        incarnation = self.runs_by_place[place.name]
        began = self.now()
        answer = await asker.ask(path, request_id)
        ended = self.now()
        seen = observations.Seen(
            request_id,
            place.name,
            began,
            ended,
            answer.status,
            own=answer.own or answer.status != 200,
            hung=not answer.status and ended - began >= downloads.HANGS_AFTER,
            incarnation=incarnation,
        )
        self.seen.append(seen)
        self.large.append(
            observations.LargeAnswer(seen, answer.size, answer.complete)
        )
        return answer.complete and asker.reuse()

    async def upload(self, rng: random.Random) -> None:
        """One caller that sends long bodies, and leaves some of them."""
        while not self.over:
            place = rng.choice(self.running.places)
            kind = rng.choice(tuple(records.KINDS))
            upload = uploads.draw(rng, self.new_id(kind), f"/{kind}/")
            self.upload_by_id[upload.id] = upload
            incarnation = self.runs_by_place[place.name]
            began = self.now()
            outcome = await uploads.send(place.caller, upload)
            if outcome.close_arrived:
                self.left_at_by_id[upload.id] = (place.name, self.now())
            if not upload.is_left:
                self.seen.append(
                    observations.Seen(
                        upload.id,
                        place.name,
                        began,
                        self.now(),
                        outcome.status,
                        outcome.own,
                        hung=not outcome.status
                        and self.now() - began >= uploads.HANGS_AFTER,
                        incarnation=incarnation,
                    )
                )
            await asyncio.sleep(THINKS)

    async def ask_kept(
        self, asker: kept.Kept, place: programs.Place, gap: float = 0.0
    ) -> bool:
        """Sends one request on a kept connection; False when it has ended."""
        kind = self.rng.choice(tuple(records.KINDS))
        request_id = self.new_id(kind)
        method = "POST" if kind == "copies" else "GET"
        incarnation = self.runs_by_place[place.name]
        began = self.now()
        status, own, hung = 0, True, False
        ended = kept.Ended()
        try:
            async with asyncio.timeout(HANGS_AFTER):
                status, own = await asker.ask(
                    method, f"/{kind}/", request_id, gap
                )
        except kept.Ended as error:
            ended = error
        except TimeoutError:
            hung = True
        self.seen.append(
            observations.Seen(
                request_id,
                place.name,
                began,
                self.now(),
                status,
                own,
                hung,
                incarnation,
                ended_after=ended.after,
                told=ended.told,
            )
        )
        return bool(status)

    def new_id(self, kind: str) -> str:
        """An identity that tells whether the request may be repeated."""
        self._number += 1
        return f"{'u' if kind == 'copies' else 's'}-{self._number}"

    # The whole.

    async def run(self) -> list[str]:
        """Plays the seed; returns the promises that were broken."""
        self.configure()
        count = self.rng.choice(PROCESSES)
        for number in range(count):
            domain = DOMAINS[number % len(DOMAINS)]
            await self.running.add(
                f"{domain}-{number}", domain, records.SERVICE
            )
        if self.plan.asks_large:
            for target in self.running.target_by_name.values():
                target.large_for = LARGE_PATHS
                target.slots = LARGE_SLOTS
        if self.plan.theme == seed_plan.FULL:
            for target in self.running.target_by_name.values():
                target.slots = 1
        await self.recovered()
        self.tell(f"{count} processes, theme {self.plan.theme}")
        callers = [
            asyncio.create_task(self.call(random.Random(self.rng.random())))
            for _ in range(int(count * CALLERS))
        ]
        if self.plan.limited:
            callers += [
                asyncio.create_task(self.press(random.Random(number)))
                for number in range(PRESSING)
            ]
        if self.plan.asks_large:
            callers += [
                asyncio.create_task(self.download(random.Random(number)))
                for number in range(int(count * DOWNLOADERS))
            ]
        if self.plan.uploads:
            callers += [
                asyncio.create_task(self.upload(random.Random(number)))
                for number in range(int(count * UPLOADERS))
            ]
        watching = asyncio.create_task(self.watch())
        troubles = [
            asyncio.create_task(self.trouble()) for _ in range(TROUBLES)
        ]
        await asyncio.gather(*troubles)
        breaches = []
        if not await self.recovered():
            breaches.append("not all processes served again")
        if self.plan.returning:
            await asyncio.sleep(OUTLIVES)
        if self.plan.deadly:
            await self._come_again()
        self.over_at = self.now()
        self.over = True
        await asyncio.gather(watching, *callers)
        return breaches + list(check(self))

    async def trouble(self) -> None:
        """Waits a while, then makes one trouble."""
        await asyncio.sleep(self.rng.uniform(0.0, SECONDS))
        name = self.rng.choice(self.plan.troubles)
        place = self.rng.choice(self.running.places)
        self.tell(f"{name} at {place.name}")
        await seed_plan.trouble_by_name[name](self, place)

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
        except client.RequestFailed:
            return False
        finally:
            asker.close()

    async def restart(self, place: programs.Place, number: int) -> int:
        """Ends a process by a signal and starts it again."""
        began = self.now()
        with self._during(self.stops_by_place[place.name]):
            status = await self.running.stop(place.name, number)
        if number == signal.SIGKILL:
            self.kills_by_place[place.name].append((began, self.now()))
        self.runs_by_place[place.name] += 1
        with self._during(self.starts_by_place[place.name]):
            await self.running.start(place)
        return status

    def target(self, place: programs.Place) -> scripted.ScriptedTarget:
        """The target beside a process."""
        return self.running.target_by_name[place.name]

    def rename(self, place: programs.Place) -> None:
        """Another target begins at the address of the one beside a process."""
        self.ended_at_by_incarnation[self.target(place).incarnation] = (
            self.now()
        )
        self.lives[place.name] += 1
        name = f"i-{place.name}-{self.lives[place.name]}"
        self.target(place).name = name

    def bring_back(self, place: programs.Place) -> None:
        """The target beside a process crashes, and is back under its name."""
        target = self.target(place)
        self.ended_at_by_incarnation[target.incarnation] = self.now()
        target.restart()
        self.returns.append((place.name, target.incarnation))
        self.tell(f"{target.incarnation.name} is back")

    async def ask_deadly(self, place: programs.Place) -> None:
        """Sends the request that crashes each target which runs it."""
        for one in self.running.places:
            self.target(one).crashes_on = DEADLY
        asker = client.Client(place.caller)
        with contextlib.suppress(client.RequestFailed):
            await asker.request("GET", DEADLY_PATH, timeout=3.0, host="h")
        asker.close()
        down = [one for one in self.running.places if self.target(one).down]
        await asyncio.gather(*(self._revive(one) for one in down))

    async def _come_again(self) -> None:
        """It comes once more everywhere, twice, where all have settled."""
        for _ in range(2):
            for place in self.running.places:
                await self.ask_deadly(place)
            await asyncio.sleep(CONTACT + DOWN[1])

    async def _revive(self, place: programs.Place) -> None:
        """The target beside a process crashed: it is back after a while."""
        target = self.target(place)
        await asyncio.sleep(self.rng.uniform(*DOWN))
        if target.down:
            self.ended_at_by_incarnation[target.incarnation] = self.now()
            await target.revive()
            self.tell(f"{target.incarnation.name} is back after a crash")

    def relays(self, place: programs.Place) -> programs.Relays:
        """The relays around a process."""
        return self.running.relays_by_name[place.name]


def _spans() -> dict[str, list[tuple[float, float]]]:
    return collections.defaultdict(list)


def _is_own(answer: client.Response, request_id: str) -> bool:
    given = dict(answer.headers).get(
        platform_headers.PLATFORM.request_id.lower()
    )
    own = given == request_id.encode()
    return own and answer.body == scripted.BODY


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
