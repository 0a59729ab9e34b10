"""What an entry knows of targets, paths and services."""

import math

from forklift import messages
from forklift import policy
from forklift import retries

LOAD_FADES = 1.0


class View:
    """What the entry knows of one target."""

    def __init__(
        self,
        info: messages.TargetInfo,
        process: messages.ProcessInfo,
        near: bool,
    ):
        self.process = process.name
        self.boot = process.boot
        self.near = near
        self.in_flight = 0
        self.picked = 0
        self.reported = 0.0
        self.reported_at = float("-inf")
        self.avoided_until = 0.0
        self.info = info
        self.state = info.state
        self.weight = info.weight
        self.version = info.version
        self.latency = info.latency
        self.failures = info.failures

    def follow(self, info: messages.TargetInfo) -> None:
        """Takes in what its guard says of it, unless it is old."""
        self.info = info
        if info.version >= self.version:
            self.state = info.state
            self.weight = info.weight
            self.version = info.version
            self.latency = info.latency
            self.failures = info.failures

    def report(self, load: messages.Load, now: float) -> None:
        """Takes in the load that an answer carried."""
        if load.version < self.version:
            return
        self.version = load.version
        self.state = load.state
        self.weight = load.weight
        self.latency = load.latency
        self.failures = load.failures
        # What others have on it; our own part is counted here exactly.
        others = load.in_flight + load.queued - self.in_flight
        self.reported = max(0, others)
        self.reported_at = now

    def load(self, now: float) -> float:
        """Own requests plus those of others, which fade with age."""
        age = now - self.reported_at
        return self.in_flight + self.reported * math.exp(-age / LOAD_FADES)


class Path:
    """What the entry knows of its path to one process.

    A path that failed stays avoided until the process is heard again; beats
    ask for that, so that no request is spent on finding out.
    """

    def __init__(self):
        self.failures = 0
        self.avoided = False
        self.next_beat = 0.0
        self.owed_since: float | None = None
        self.cause = ""


class Group:
    """One service as the entry sees it."""

    def __init__(self, program: policy.Service):
        self.program = program
        self.view_by_target: dict[str, View] = {}
        # None after a change, until the next pick.
        self.subset: list[str] | None = None
        self.budget = retries.Budget(program.retry_share)
