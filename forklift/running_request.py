"""A request that a target is running, as its admission controller knows it."""

import dataclasses
from typing import Protocol

from forklift import latency

# Survival probability of a request's age below which the request counts as
# hanging: its slot is then expected to become free only at its deadline.
HANG_SURVIVAL = 0.03


class Ticket(Protocol):
    """A request for admission, see `admission.Ticket`."""

    deadline: float
    route: str
    is_call: bool


@dataclasses.dataclass
class RunningRequest:
    """A request that a target is running.

    Attributes:
        ticket: The request.
        started: Monotonic seconds at which it started.
        distribution: Latency distribution of its route.
    """

    ticket: Ticket
    started: float
    distribution: latency.Distribution

    def remaining(self, now: float) -> float:
        """Expected seconds until the request ends.

        Latencies vary so much that the age of a request says little about its
        remaining time. That the first of several requests ends sooner is left
        out on purpose: with it, more requests waited, and more in vain.
        """
        time_left = max(0.0, self.ticket.deadline - now)
        if self.distribution.survival(now - self.started) < HANG_SURVIVAL:
            return time_left
        return min(time_left, self.distribution.mean)

    def earliest_end(self, now: float) -> float:
        """Seconds until the request ends if it takes its usual time in all."""
        usual = self.started + self.distribution.mean - now
        return max(0.0, min(self.remaining(now), usual))
