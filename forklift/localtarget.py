"""One target beside this process: an aggregate with its own rules."""

import dataclasses

from forklift import fences
from forklift import health
from forklift import limits
from forklift import messages
from forklift import policy
from forklift import standing

State = messages.TargetState

LATENCY_GUESS = 0.1
LATENCY_GAIN = 0.1
# The whole service is slow from this factor on its usual latency on, which
# follows within some minutes of calls to `compare`.
SERVICE_SLOWDOWN = 1.3
USUAL_GAIN = 0.0005
ALONE_RATIO = 1.5
# Before the first permit is asked for.
NEVER = -1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks to run.

    Attributes:
        id: Boot and number given by its sender.
        target: Name of the target.
        service: Name of the service.
        route: Name of the route, for evidence by route.
        repeatable: Whether a second run does no harm.
        deadline: Monotonic seconds of this process.
        incarnation: Incarnation of this guard that the sender knew.
    """

    id: fences.Identity
    target: str
    service: str
    route: str
    repeatable: bool
    deadline: float
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Denial:
    """A refusal of the floor owner, kept to explain it.

    Attributes:
        at: Monotonic seconds.
        cause: Why.
    """

    at: float
    cause: str


class LocalTarget:
    """Slots, queue, evidence and state of one target."""

    def __init__(
        self,
        name: str,
        service: str,
        slots: int,
        program: policy.Service,
        now: float,
    ):
        self.name = name
        self.service = service
        self.slots = slots
        self.standing = standing.Standing(now)
        self.judge = health.Judge(program.detection)
        self.normal = health.UNKNOWN
        self.usual_latency = 0.0
        self._compared = 0
        self.ticket_by_id: dict[fences.Identity, Ticket] = {}
        self.waiting_by_id: dict[fences.Identity, Ticket] = {}
        self.mean_latency = LATENCY_GUESS
        self.last_ask = NEVER
        self.denial: Denial | None = None
        self.follow(program)

    def follow(self, program: policy.Service) -> None:
        """Takes the service's program in force."""
        self.program = program
        self.judge.threshold = program.detection
        self.limit = limits.limit_by_name[program.limit](self.slots)
        waiting = self.queue.take_all() if hasattr(self, "queue") else []
        self.queue = limits.queue_by_name[program.queue]()
        for request in waiting:
            self.queue.add(request)

    def compare(self, normal: health.Reference) -> None:
        """Takes in what is normal for the service now."""
        self.normal = normal
        if normal.latency <= 0.0:
            return
        # A plain mean at first, then one that forgets.
        self._compared += 1
        gain = max(USUAL_GAIN, 1 / self._compared)
        self.usual_latency += gain * (normal.latency - self.usual_latency)

    def slow_alone(self, now: float) -> bool:
        """Whether it is slow against its service, and not with it.

        Both sides of the comparison lag alike, so that load which comes over
        all targets at once is not taken for one sick target.
        """
        usual = max(health.LEAST_LATENCY, self.usual_latency)
        if self.normal.latency > SERVICE_SLOWDOWN * usual:
            return False
        normal = max(health.LEAST_LATENCY, self.normal.latency)
        return self.judge.latency_now(now) >= ALONE_RATIO * normal

    @property
    def in_flight(self) -> int:
        """Requests that the target is running."""
        return len(self.ticket_by_id)

    def allowed(self) -> int:
        """Requests that may run at once now."""
        if self.standing.state is State.TRIAL:
            return 1
        return self.limit.allowed()

    def assess(self, now: float) -> health.Assessment:
        """The evidence against the target now."""
        return self.judge.assess(self.normal, now)

    def load(self, now: float) -> messages.Load:
        """Its load, to travel on answers."""
        return messages.Load(
            self.in_flight,
            len(self.queue),
            self.allowed(),
            self.standing.weight(now),
            self.standing.state,
            self.standing.version,
            round(self.judge.latency_now(now), 4),
            self.judge.failure_share,
        )

    def expected_wait(self) -> float:
        """Seconds that a request arriving now would wait."""
        ahead = len(self.queue) + 1
        return ahead * self.mean_latency / max(1, self.allowed())

    def answered(self, latency: float, now: float) -> None:
        """A request was answered well after `latency` seconds."""
        self.mean_latency += LATENCY_GAIN * (latency - self.mean_latency)
        self.limit.note(latency, now)
