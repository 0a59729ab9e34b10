"""State and load of a target as known to this process.

Requests that this process sends are counted exactly. Requests of other
processes are known from the last load report of the target's process, whose
weight decays with its age.
"""

import math

from forklift import health
from forklift import messages
from forklift import target_rate_limit

State = messages.TargetState
OUT_OF_SERVICE = (State.PAUSED, State.DRAINING, State.LEFT)

# Time constant of the decay of load caused by other processes.
LOAD_DECAY_SECONDS = 1.0
# Maximum seconds for which a target counts as having no room because of its
# rate limit. The limit may have ended since the last report.
MAX_LIMITED_SECONDS = 1.0


class TargetView:
    """View of one target, updated by gossip and load reports.

    Attributes:
        name: Name of the target.
        process: Name of the process that owns the target.
        boot: Boot number of that process.
        same_domain: Whether the target is in our failure domain.
        slots: Maximum number of requests that the target runs concurrently.
        in_flight: Number of our requests on the target.
        pick_count: Number of times that this process selected the target.
        next_trial_at: Monotonic seconds from which a trial request may be sent
            while the target is ejected.
        work_requested_until: Monotonic seconds until which an announcement
            holds that the target is idle.
        asks_for_any_kind: Whether the announcement asks for any request, and
            not for an idempotent one only.
        version: Version of the last load report.
        rate_limit: Rate limit of the target as last reported; None if there
            is none.
        room_at: Monotonic seconds from which its rate limit is expected to let
            a further request start.
    """

    def __init__(
        self,
        info: messages.TargetInfo,
        process: messages.ProcessInfo,
        same_domain: bool,
    ):
        self.name = info.name
        self.process = process.name
        self.boot = process.boot
        self.same_domain = same_domain
        self.slots = max(1, info.slots)
        self.in_flight = 0
        self.pick_count = 0
        self.next_trial_at = 0.0
        self.work_requested_until = float("-inf")
        self.asks_for_any_kind = False
        self._state = info.state
        self.version = 0
        self.rate_limit: messages.RateLimitStatus | None = None
        self.room_at = float("-inf")
        self._unhealthy_probability = health.UNHEALTHY_PRIOR
        self._used_at = float("-inf")
        self._others_load = 0.0
        self._reported_at = float("-inf")

    def update_info(self, info: messages.TargetInfo) -> None:
        """Applies the state from gossip if the target goes out of service."""
        if info.state in OUT_OF_SERVICE:
            self._state = info.state

    def mark_draining(self) -> None:
        """Records that the target itself said that it is leaving."""
        if self._state is not State.LEFT:
            self._state = State.DRAINING

    def update_load(self, load: messages.Load, now: float) -> None:
        """Applies the load report of a response or load update."""
        if load.version < self.version or self._state in OUT_OF_SERVICE:
            return
        self.version = load.version
        self._state = load.state
        self._unhealthy_probability = load.unhealthy_probability
        self._used_at = max(self._used_at, now - load.idle)
        others = load.in_flight + load.queued - self.in_flight
        self._others_load = max(0, others)
        self._reported_at = now
        self.rate_limit = load.rate_limit
        wait = load.rate_limit.wait if load.rate_limit is not None else 0.0
        self.room_at = now + min(wait, MAX_LIMITED_SECONDS)

    def record_selection(self, now: float) -> None:
        """Records that this process sends a request to the target."""
        self.in_flight += 1
        self.pick_count += 1
        if self.rate_limit is None:
            return
        rate = max(self.rate_limit.rate, target_rate_limit.MIN_RATE)
        interval = min(1 / rate, MAX_LIMITED_SECONDS)
        self.room_at = max(now, self.room_at) + interval

    def wants_work(self, now: float) -> bool:
        """Whether its process has announced lately that the target is idle."""
        return now < self.work_requested_until

    def probably_accepts(self, now: float) -> bool:
        """Whether there is probably a free slot, and room in the rate limit."""
        return self.load(now) < self.slots and self.has_room(now)

    def has_room(self, now: float) -> bool:
        """Whether its rate limit is expected to let a request start."""
        return now >= self.room_at

    def state(self, now: float) -> State:
        """Returns the last reported state.

        Load shedding expires after `health.SHEDDING_SECONDS`. Otherwise no
        process would send a request whose response could report its end.
        """
        expired = now - self._reported_at >= health.SHEDDING_SECONDS
        if self._state is State.SHEDDING and expired:
            return State.IN_SERVICE
        return self._state

    def unhealthy_probability(self, now: float) -> float:
        """Returns the estimated probability that the target is unhealthy."""
        return health.predict(
            self._unhealthy_probability, now - self._reported_at
        )

    @property
    def reported_at(self) -> float:
        """Monotonic seconds of the last load report; -inf without one."""
        return self._reported_at

    @property
    def reported_room(self) -> int:
        """Free slots by the last report; negative if requests are queued."""
        return self.slots - self.in_flight - self._others_load

    def idle_seconds(self, now: float) -> float:
        """Returns the seconds since the last known start of a request."""
        return now - self._used_at

    def load(self, now: float) -> float:
        """Returns our requests plus the decayed load of other processes."""
        age = now - self._reported_at
        return self.in_flight + self._others_load * math.exp(
            -age / LOAD_DECAY_SECONDS
        )
