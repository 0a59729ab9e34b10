"""What an entry knows of one target, by the last word of its guard.

Own requests are known exactly, those of others by a report that fades.
"""

import math

from forklift import health
from forklift import messages

State = messages.TargetState
OUT_OF_SERVICE = (State.PAUSED, State.DRAINING, State.LEFT)

# Seconds in which load that others caused fades to a third.
LOAD_DECAY_SECONDS = 1.0


class TargetView:
    """What the entry knows of one target."""

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
        self.next_probe_at = 0.0
        # Whether its guard asked for work.
        self.wants_work = False
        self._state = info.state
        self.version = 0
        self._risk = health.UNHEALTHY_PRIOR
        self._used_at = float("-inf")
        self._others = 0.0
        self._others_at = float("-inf")

    def update_info(self, info: messages.TargetInfo) -> None:
        """Takes in what its guard tells everybody: that it leaves."""
        if info.state in OUT_OF_SERVICE:
            self._state = info.state

    def update_load(self, load: messages.Load, now: float) -> None:
        """Takes in the load that an answer or a notice carried."""
        if load.version < self.version or self._state in OUT_OF_SERVICE:
            return
        self.version = load.version
        self._state = load.state
        self._risk = load.unhealthy_probability
        self._used_at = max(self._used_at, now - load.idle)
        others = load.in_flight + load.queued - self.in_flight
        self._others = max(0, others)
        self._others_at = now

    def state(self, now: float) -> State:
        """Where it stands, by the last word of its guard.

        That it refused a request itself is forgotten soon: its guard says so
        only to those that send to it, which nobody would any more.
        """
        fades = now - self._others_at >= health.SHEDDING_SECONDS
        if self._state is State.SHEDDING and fades:
            return State.IN_SERVICE
        return self._state

    def unhealthy_probability(self, now: float) -> float:
        """How likely it is in a bad phase, as far as is known here."""
        return health.predict(self._risk, now - self._others_at)

    def idle_seconds(self, now: float) -> float:
        """Seconds since a request is known to have begun there."""
        return now - self._used_at

    def load(self, now: float) -> float:
        """Own requests plus those of others, which fade with age."""
        age = now - self._others_at
        return self.in_flight + self._others * math.exp(
            -age / LOAD_DECAY_SECONDS
        )
