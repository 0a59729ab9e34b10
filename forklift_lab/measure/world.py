"""A small world on a virtual clock: the fakes behind the four ports.

The network between processes (latency, cuts), the log (delay, outage), the
targets (slots, faults), the clock, and callers who arrive at random.
"""

import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable

from forklift import messages
from forklift_lab import faults
from forklift_lab.measure import carrier
from forklift_lab.measure import figures

NEAR = 0.0002
FAR = 0.0015
LOG_DELAY = 0.005
EPOCH = 1_750_000_000.0
HARMLESS = 0.01


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Sizes of a deployment, from the brief.

    Attributes:
        policy: Text of its policy.
        targets_by_service: Targets of each service.
        slots: Requests that a target runs at once.
        domains: Failure domains.
        median: Median service time, seconds.
    """

    policy: str
    targets_by_service: dict[str, int]
    slots: int
    domains: tuple[str, ...]
    median: float = 0.15
    sigma: float = 0.5

    def capacity(self, service: str) -> float:
        """Requests a second that all slots of a service can serve."""
        mean = self.median * math.exp(self.sigma**2 / 2)
        return self.targets_by_service[service] * self.slots / mean


class World:
    """Processes, targets, network, log and callers of one run."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        make: type[carrier.Process] = carrier.Process,
    ):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.now = 0.0
        self._make = make
        self.figures = figures.Figures()
        self._events: list = []
        self._numbers = itertools.count()
        self.cuts: set[tuple[str, str]] = set()
        self.log_away = False
        self.log: list[messages.LogRecord] = []
        self.process_by_name: dict[str, carrier.Process] = {}
        self.target_by_name: dict[str, Target] = {}
        self.rate_by_service: dict[str, Callable[[float], float]] = {}
        self._names: list[str] = []
        self._build()

    def monotonic(self) -> float:
        """See `ports.Clock`."""
        return self.now

    def wall(self) -> float:
        """See `ports.Clock`."""
        return EPOCH + self.now

    def after(self, delay: float, act: Callable[[], None]) -> None:
        """Does something later."""
        number = next(self._numbers)
        heapq.heappush(self._events, (self.now + delay, number, act))

    def run(self, until: float) -> None:
        """Lets the world go on to a moment."""
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = until

    def send(self, sender: carrier.Process, address: str, message) -> bool:
        """The network between processes: one way, may lose."""
        receiver = self.process_by_name.get(address)
        self.figures.control(sender.name, message)
        if receiver is None or not self.passes(sender, receiver):
            return False
        delay = self.latency(sender, receiver)
        self.after(delay, lambda: receiver.hand(message))
        return True

    def passes(
        self, sender: carrier.Process, receiver: carrier.Process
    ) -> bool:
        """Whether packets pass one way."""
        if sender.dead or receiver.dead:
            return False
        pairs = (
            (sender.name, receiver.name),
            (sender.domain, receiver.domain),
        )
        return not any(pair in self.cuts for pair in pairs)

    def latency(self, one: carrier.Process, other: carrier.Process) -> float:
        """Seconds one way."""
        if one is other:
            return 0.0
        return NEAR if one.domain == other.domain else FAR

    def append(self, record: messages.LogRecord) -> None:
        """The log: an append that may be lost."""
        if self.log_away:
            return
        self.after(LOG_DELAY, lambda: self._appended(record))

    def publish(self, publication: messages.Publication) -> None:
        """An operator publishes through the log."""
        offset = len(self.log)
        self.log.append(publication)
        for process in self.process_by_name.values():
            self.after(LOG_DELAY, lambda p=process: p.publication(
                offset, publication))  # fmt: skip

    def load(self, service: str, share: float, until: float) -> None:
        """Callers arrive at a share of capacity; 0.5 is half of the slots."""
        rate = share * self.deployment.capacity(service)
        self.rate_by_service[service] = lambda now: rate
        self._arrive(service, until)

    def _arrive(self, service: str, until: float) -> None:
        if self.now >= until:
            return
        rate = self.rate_by_service[service](self.now)
        self.after(self.rng.expovariate(rate), lambda: self._caller(
            service, until))  # fmt: skip

    def _caller(self, service: str, until: float) -> None:
        process = self.process_by_name[self.rng.choice(self._names)]
        if not process.dead:
            process.accept(service)
        self._arrive(service, until)

    def _appended(self, record: messages.LogRecord) -> None:
        self.log.append(record)
        for process in self.process_by_name.values():
            delay = LOG_DELAY * (1 + self.rng.random())
            self.after(delay, lambda p=process: p.hand(record))

    def _build(self) -> None:
        number = 0
        for service, count in self.deployment.targets_by_service.items():
            for index in range(count):
                name = f"{service}-{index + 1}"
                domain = self.deployment.domains[
                    index % len(self.deployment.domains)
                ]
                number += 1
                process = self._make(self, name, domain, number)
                self.process_by_name[name] = process
                self._names.append(name)
                self.target_by_name[name] = Target(self, name, service)
        publication = messages.Publication(
            "first", "p", 0, "lab", self.deployment.policy
        )
        self.publish(publication)
        for process in self.process_by_name.values():
            self.after(0.1 + self.rng.random() * 0.2, process.begin)


class Target:
    """A target: slots, service times, and a fault while it lasts."""

    def __init__(self, world: World, name: str, service: str):
        self.world = world
        self.name = name
        self.service = service
        self.fault: str = "none"
        self.rng = random.Random(f"{name}-{world.rng.random()}")

    def start(self, attempt: carrier.Try) -> None:
        """A request reaches the target."""
        world = self.world
        attempt.begun = world.now
        self.world.figures.met(self.name, world.now, attempt.ticket.repeatable)
        if self.fault == "refuse":
            world.after(NEAR, lambda: attempt.job_done(0, True, False))
            return
        effect = faults.fault_by_name[self.fault](
            self.rng, attempt.job.route, world.now
        )
        if effect.hang:
            return
        seconds = world.deployment.median * math.exp(
            self.rng.gauss(0.0, world.deployment.sigma)
        )
        seconds = seconds * effect.slower + effect.pause
        status = effect.status or 200
        if effect.short:
            status = 0
        elif status == 200 and self.rng.random() < HARMLESS:
            status = 500
        world.after(seconds, lambda: attempt.job_done(status, False, True))
