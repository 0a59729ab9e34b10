"""Limits over a fleet on simulated time: real decisions, a network of faults.

Processes vote and allocate as they do in service. Messages between them take
time, get lost, and are cut one way or both; processes end, start anew, stand
still, and know each other only by what they hear. One observer counts what all
of them let in.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable
from collections.abc import Iterator

from forklift import limiter
from forklift import local_quota
from forklift import membership
from forklift import messages
from forklift import organisations
from forklift import rate_limits

# Seconds that a message takes.
WAY = 0.0015
TICK = 0.1
# Seconds between two heartbeats of a process, and after which one that was not
# heard is taken for dead.
HEARTBEAT = 1.0
DEAD_AFTER = 4.0
# Seconds for which a request waits for an answer to each request for tokens, as
# in service.
WAITS = (0.03, 0.08, 0.14)
SILENT_WAITS = (0.03, 0.05)
SILENCE = 0.25
# Seconds after its start in which a process has met the others.
MEETS_AFTER = 0.5


@dataclasses.dataclass(frozen=True)
class Figures:
    """What a run showed.

    Attributes:
        worst: The most requests let in within a window, as a part of what the
            users allow.
        within: Requests that the limit allowed.
        refused: Those of them that were refused.
        messages: Messages a process and second.
        refused_in_all: Requests that were refused, within the limit or not.
        lost: How many of these would have kept to the limit together with what
            was let in. This leaves out that others were let in than those that
            came first.
        estimated: How many the processes took for within the limit.
    """

    worst: float
    within: int
    refused: int
    messages: float
    refused_in_all: int = 0
    lost: int = 0
    estimated: float = 0.0


class Node:
    """One process."""

    def __init__(self, model: "Model", name: str, boot: int):
        self.model = model
        self.started = model.now
        # Time from which it has the configuration.
        self.configured_from = -math.inf
        info = messages.ProcessInfo(
            name, boot, 1, "d", name, name, name, 1, float(boot), (), 0
        )
        self.directory = membership.Directory(info, 1 << 16)
        self.heard_at: dict[str, float] = {}
        self.paused_until = -math.inf
        self.busy_until = -math.inf
        self.held: list[Callable[[], None]] = []
        self.waiting: dict[str, list[float]] = collections.defaultdict(list)
        self.limiter = model.way(self)

    @property
    def counted(self) -> bool:
        """Whether it has met the others."""
        return self.model.now - self.started >= MEETS_AFTER

    @property
    def configured(self) -> bool:
        """Whether it has the configuration."""
        return self.model.now >= self.configured_from

    def find_organisation(self, name: str) -> organisations.Organisation | None:
        """The organisation of a name; None as long as it is not known here."""
        return self.model.limits.get(name) if self.configured else None

    def overload_control(self) -> bool:
        """Whether overload control is in force here."""
        return self.model.overload_control(self.directory.own.name)

    def tick(self) -> None:
        """Lets time pass."""
        now = self.model.now
        for name, at in self.heard_at.items():
            if now - at > DEAD_AFTER:
                self.directory.mark(name, messages.Liveness.DEAD, now)
        self.send(self.limiter.tick(now))

    def hear(self, info: messages.ProcessInfo) -> None:
        """Another process is there."""
        now = self.model.now
        self.heard_at[info.name] = now
        if isinstance(self.limiter, limiter.Limiter):
            self.limiter.mark_alive(info.name)
        member = self.directory.member_by_name.get(info.name)
        if member is not None and not member.usable:
            # It refutes what was held of it.
            refuted = messages.ProcessInfo(
                *(
                    member.info.incarnation + 1
                    if field == "incarnation"
                    else getattr(info, field)
                    for field in info.__struct_fields__
                )
            )
            self.directory.apply_direct(refuted, now)
            return
        self.directory.apply_direct(info, now)

    def arrive(self, organisation: str) -> None:
        """A request comes; without a configuration none is accepted."""
        if not self.configured:
            return
        now = self.model.now
        found = self.limiter.quota.admit(organisation, now)
        if found.decision is local_quota.Decision.ASK_ALLOCATOR:
            waiting = self.waiting[organisation]
            waiting.append(now)
            if len(waiting) == 1:
                self._ask(organisation)
            waits = WAITS
            shard = local_quota.shard_of(organisation)
            if self.limiter.quota.seconds_unanswered(shard, now) > SILENCE:
                waits = SILENT_WAITS
            self._await_answer(organisation, now, waits)
            return
        self.model.ended(
            organisation, now, found.decision is local_quota.Decision.ADMIT
        )

    def _ask(self, organisation: str) -> None:
        count = len(self.waiting[organisation])
        self.send(
            self.limiter.request_tokens(organisation, count, self.model.now)
        )

    def _await_answer(
        self, organisation: str, came: float, waits: tuple[float, ...]
    ) -> None:
        """Asks again after the first of some waits, and refuses after all."""

        def end() -> None:
            waiting = self.waiting[organisation]
            if came not in waiting or not self.model.lives(self):
                return
            if len(waits) > 1:
                first = came == waiting[0]
                if first or not self.overload_control():
                    self._ask(organisation)
                self._await_answer(organisation, came, waits[1:])
            else:
                waiting.remove(came)
                self._refuse(organisation, came, False)

        self.model.at(waits[0], end)

    def _refuse(self, organisation: str, came: float, answered: bool) -> None:
        """Refuses a request that waited."""
        now = self.model.now
        self.limiter.quota.record_outcome(organisation, False, answered, now)
        self.model.ended(organisation, came, False)

    def request_tokens(self, shard: int) -> None:
        """Asks again for tokens for the requests that wait."""
        for organisation, asked in list(self.waiting.items()):
            if asked and local_quota.shard_of(organisation) == shard:
                self._ask(organisation)

    def tokens(self, told) -> None:
        """Admits what was granted; refuses the others if there is no more."""
        waiting = self.waiting[told.organisation]
        granted = waiting[: told.count]
        del waiting[: told.count]
        for at in granted:
            self.limiter.quota.record_outcome(
                told.organisation, True, True, self.model.now
            )
            self.model.admit_later(told.organisation, at, told.usable_in)
        if told.retry_after > 0:
            refused, waiting[:] = waiting[:], []
            for at in refused:
                self._refuse(told.organisation, at, True)

    def estimated(self) -> dict[str, float]:
        """Refusals that it took for within the limit, by organisation."""
        return {
            name: tally.within
            for name, tally in self.limiter.quota.refusals.items()
        }

    def send(self, sends: list[limiter.Send]) -> None:
        """Hands messages to the network."""
        for one in sends:
            self.model.send(self.directory.own.name, one.address, one.message)


Way = Callable[[Node], object]
way_by_name: dict[str, Way] = {}


def way(name: str) -> Callable[[Way], Way]:
    """Registers a way to keep to limits."""

    def register(function: Way) -> Way:
        way_by_name[name] = function
        return function

    return register


@way("allocators")
def _allocators(node: Node) -> limiter.Limiter:
    """The one in service: shares are lent to allocators."""
    return limiter.Limiter(
        node.directory,
        node.model.bounds,
        node.find_organisation,
        lambda: True if node.configured else None,
        lambda: node.counted,
        node.tokens,
        node.request_tokens,
        node.overload_control,
    )


class _Shares(local_quota.LocalQuota):
    """Each process has its share and nothing else."""

    def admit(
        self, organisation: str, now: float
    ) -> local_quota.AdmissionResult:
        """See `local_quota.LocalQuota`."""
        found = super().admit(organisation, now)
        if found.decision is local_quota.Decision.ASK_ALLOCATOR:
            return local_quota.AdmissionResult(local_quota.Decision.REJECT)
        return found

    def leased_share(self, organisation: str, now: float) -> float:
        """See `local_quota.LocalQuota`."""
        return self._own_share()


class _Static:
    """Holds shares; see `_Shares`."""

    def __init__(self, node: Node):
        self._node = node
        self.quota = _Shares(
            lambda: None,
            node.model.bounds,
            node.model.find_organisation,
            self._weight,
        )

    def _weight(self) -> float:
        known = 1 + len(self._node.directory.member_by_name)
        return 1 / known if self._node.counted else 0.0

    def tick(self, now: float) -> list[limiter.Send]:
        """Nothing is due."""
        return []


@way("shares")
def _shares(node: Node) -> _Static:
    """Each process lets in one part in N, and asks nobody."""
    return _Static(node)


class _Trusting(limiter.Limiter):
    """Whoever sees itself as the allocator has all of a limit."""

    def _start_allocator(self, shard: int, now: float):
        kept = super()._start_allocator(shard, now)
        kept.capacity = lambda now: 1.0
        return kept


@way("one holder")
def _one_holder(node: Node) -> _Trusting:
    """An allocator that needs no votes."""
    return _Trusting(
        node.directory,
        node.model.bounds,
        node.model.find_organisation,
        lambda: True,
        lambda: node.counted,
        node.tokens,
    )


class Model:
    """A fleet, its network, its callers and the observer."""

    def __init__(
        self,
        seed: int,
        count: int,
        limits: dict[str, organisations.Organisation],
        made: str = "allocators",
        bounds: rate_limits.Bounds | None = None,
        overload_control: Callable[[str], bool] = lambda name: False,
        message_seconds: float = 0.0,
    ):
        """Starts the processes.

        Args:
            seed: Seed of the model's randomness.
            count: Number of processes.
            limits: Organisations by name.
            made: Way to keep to limits.
            bounds: Permitted overshoot of the limits.
            overload_control: Whether overload control is in force at a process,
                by its name.
            message_seconds: Processor time that a message takes at its
                receiver; other messages wait for it.
        """
        self.overload_control = overload_control
        self.message_seconds = message_seconds
        # Number of messages by receiver.
        self.received: collections.Counter[str] = collections.Counter()
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.bounds = bounds or rate_limits.Bounds()
        self.limits = limits
        self.find_organisation = self.limits.get
        self.way = way_by_name[made]
        self.node_by_name: dict[str, Node] = {}
        # Pairs of sender and receiver between which nothing gets through.
        self.cut: set[tuple[str, str]] = set()
        # Pairs of sender and receiver between which heartbeats are lost.
        self.unheard: set[tuple[str, str]] = set()
        self.loses = 0.0
        self.sent = 0
        # When a request came, and whether it was let in, by organisation.
        self.ends: dict[str, list[tuple[float, float, bool]]] = (
            collections.defaultdict(list)
        )
        # What processes that ended took for within the limit, by organisation.
        self._estimated: collections.Counter[str] = collections.Counter()
        self._began = self.now
        self._order = itertools.count(1)
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        for number in range(count):
            self.start(f"p{number}")

    # Processes.

    def start(self, name: str, unconfigured: float = 0.0) -> None:
        """Starts a process, or a new run of it.

        Args:
            name: Name of the process.
            unconfigured: Seconds until it has the configuration.
        """
        node = Node(self, name, next(self._order))
        node.configured_from = self.now + unconfigured
        self.node_by_name[name] = node
        # It reads from the store who is there.
        for other in self.node_by_name.values():
            if other is not node:
                node.directory.apply_direct(other.directory.own, self.now)
                node.heard_at[other.directory.own.name] = self.now
        self.at(self.rng.uniform(0, TICK), lambda: self._tick(node))
        self.at(0.0, lambda: self._beat(node))

    def kill(self, name: str, down: float, unconfigured: float = 0.0) -> None:
        """Ends a process, and starts it again after a while.

        Args:
            name: Name of the process.
            down: Seconds until it starts again.
            unconfigured: Seconds from then on until it has the configuration.
        """
        node = self.node_by_name.pop(name, None)
        if node is not None:
            self._estimated.update(node.estimated())
        self.at(down, lambda: self.start(name, unconfigured))

    def pause(self, name: str, seconds: float) -> None:
        """A process stands still; what comes meanwhile waits."""
        node = self.node_by_name.get(name)
        if node is not None:
            node.paused_until = self.now + seconds
            self.at(seconds, lambda: self._wake(node))

    def isolate(self, names: set[str], one_way: bool = False) -> None:
        """Cuts processes off from all others."""
        for name in names:
            for other in self.node_by_name:
                if other not in names:
                    self.cut.add((name, other))
                    if not one_way:
                        self.cut.add((other, name))

    def _wake(self, node: Node) -> None:
        held, node.held = node.held, []
        for work in held:
            work()

    def lives(self, node: Node) -> bool:
        """Whether it is the run of its process that goes on."""
        return self.node_by_name.get(node.directory.own.name) is node

    def _tick(self, node: Node) -> None:
        if not self.lives(node):
            return
        if self.now >= node.paused_until:
            node.tick()
        self.at(TICK, lambda: self._tick(node))

    def _beat(self, node: Node) -> None:
        if not self.lives(node):
            return
        own = node.directory.own
        if self.now >= node.paused_until:
            for name in list(self.node_by_name):
                lost = (own.name, name) in self.cut | self.unheard
                if name != own.name and not lost:
                    self.at(WAY, lambda name=name: self._hear(name, own))
        self.at(HEARTBEAT, lambda: self._beat(node))

    def _hear(self, name: str, info: messages.ProcessInfo) -> None:
        node = self.node_by_name.get(name)
        if node is not None and self.now >= node.paused_until:
            node.hear(info)

    # The network.

    def send(self, sender: str, receiver: str, message: object) -> None:
        """Carries a message."""
        self.sent += 1
        if (sender, receiver) in self.cut or self.rng.random() < self.loses:
            return
        way = WAY * self.rng.uniform(0.5, 2.0)
        self.at(way, lambda: self._deliver(receiver, message))

    def _deliver(self, receiver: str, message: object) -> None:
        node = self.node_by_name.get(receiver)
        if node is None:
            return
        if self.now < node.paused_until:
            node.held.append(lambda: self._deliver(receiver, message))
            return
        self.received[receiver] += 1
        # A message that arrives meanwhile is handled afterwards.
        wait = max(0.0, node.busy_until - self.now)
        node.busy_until = self.now + wait + self.message_seconds
        if not node.busy_until > self.now:
            node.send(node.limiter.receive(message, self.now))
            return

        def handle() -> None:
            if self.lives(node):
                node.send(node.limiter.receive(message, self.now))

        self.at(node.busy_until - self.now, handle)

    # Requests.

    def load(
        self, organisation: str, rate: float, entries: list[str], until: float
    ) -> None:
        """Callers of an organisation send to some entries."""

        def come() -> None:
            if self.now > until:
                return
            node = self.node_by_name.get(self.rng.choice(entries))
            if node is not None and self.now >= node.paused_until:
                node.arrive(organisation)
            self.at(self.rng.expovariate(rate), come)

        self.at(self.rng.expovariate(rate), come)

    def ended(self, organisation: str, came: float, let_in: bool) -> None:
        """A request was let in now, or refused."""
        self.ends[organisation].append((came, self.now, let_in))

    def admit_later(
        self, organisation: str, came: float, seconds: float
    ) -> None:
        """Admits a request as soon as its token may be used."""
        self.at(seconds, lambda: self.ended(organisation, came, True))

    # Time and the observer.

    def at(self, after: float, work: Callable[[], None]) -> None:
        """Does something later."""
        entry = (self.now + after, next(self._order), work)
        heapq.heappush(self._due, entry)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.now + seconds
        while self._due and self._due[0][0] <= end:
            self.now, _, work = heapq.heappop(self._due)
            work()
        self.now = end

    def worst(self, organisation: str) -> float:
        """The fullest window, as a part of what the users allow."""
        limit = self.limits[organisation]
        allowed = limit.rate * self.bounds.window + limit.burst
        allowed = allowed * (1 + self.bounds.overshoot) + self.bounds.slack
        times = sorted(at for _, at, yes in self.ends[organisation] if yes)
        most, first = 0, 0
        for last, at in enumerate(times):
            while times[first] <= at - self.bounds.window:
                first += 1
            most = max(most, last - first + 1)
        return most / allowed

    def figures(self) -> Figures:
        """What the run showed, over all organisations."""
        within = refused = refused_in_all = lost = 0
        for name in self.limits:
            for _, let_in, allowed in self.judged(name):
                within += allowed
                refused += allowed and not let_in
                refused_in_all += not let_in
            lost += len(self.lost(name))
        spent = (self.now - self._began) * max(1, len(self.node_by_name))
        worst = max((self.worst(name) for name in self.limits), default=0.0)
        return Figures(
            worst,
            within,
            refused,
            self.sent / spent,
            refused_in_all,
            lost,
            sum(self.estimated().values()),
        )

    def judged(self, organisation: str) -> Iterator[tuple[float, bool, bool]]:
        """Yields arrival, whether let in and whether allowed, of each request.

        The limit is one bucket that all requests pass in order of arrival.
        """
        limit = self.limits[organisation]
        tokens, at = limit.burst, self._began
        for came, _, let_in in sorted(self.ends[organisation]):
            earned = (came - at) * limit.rate
            tokens, at = min(limit.burst, tokens + earned), came
            allowed = tokens >= 1.0
            tokens -= allowed
            yield came, let_in, allowed

    def lost(self, organisation: str) -> list[float]:
        """When requests came that were refused though the limit had room.

        What is let in takes from the limit, and so does each of these.
        """
        limit = self.limits[organisation]
        tokens, at = limit.burst, self._began
        found = []
        for came, _, let_in in sorted(self.ends[organisation]):
            earned = (came - at) * limit.rate
            tokens, at = min(limit.burst, tokens + earned), came
            if let_in:
                tokens -= 1.0
            elif tokens >= 1.0:
                tokens -= 1.0
                found.append(came)
        return found

    def estimated(self) -> collections.Counter[str]:
        """What the processes took for refused within the limit.

        By organisation; an empty name has the sum of those without a name.
        """
        found = self._estimated.copy()
        for node in self.node_by_name.values():
            found.update(node.estimated())
        return found
