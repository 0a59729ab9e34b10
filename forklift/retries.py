"""Retry state of one request: when to wait, retry, hedge or give up.

Targets may refuse a request, fail or be busy. Each result changes which
targets the request accepts next, until it is given up. The state does no
input or output; the current time is a parameter.
"""

import collections
import dataclasses
import math

from forklift import admission
from forklift import latency
from forklift import messages

Reason = messages.Reason

# Initial and maximum seconds between two searches for a target while there is
# none to send to. The interval doubles, as a search may send messages to
# several processes.
POLL_INTERVAL = 0.02
MAX_POLL_INTERVAL = 0.16
# Share of the time limit after which an idempotent request accepts an ejected
# target if there is no other: a longer wait leaves no time for a response.
RELAX_AFTER_SHARE = 0.25
# Share of the time limit within which the first attempt must leave the queue of
# its target. Later starts mostly miss the deadline, so the caller is told to
# retry instead.
START_DEADLINE_SHARE = 0.8
# Seconds that every request may queue: most bursts end before the caller could
# retry.
MIN_QUEUE_TIME = 0.15
# Refusals after which the request accepts less: an unproven target, then a
# queue.
MAX_REFUSALS = 4
# Number of targets that reject the request because the wait would be too long,
# after which it is given up. The least used targets are asked first.
MAX_QUEUE_REJECTIONS = 3
# Standard deviations above the median latency of the route after which an
# idempotent request is hedged; one healthy request in 25 is that slow. The
# hedge is sent earlier if it can then still meet the latency objective, but not
# before the second number of deviations, which one in six exceeds.
HEDGE_DEVIATIONS = 1.75
MIN_HEDGE_DEVIATIONS = 1.0
# Maximum share added at random to Retry-After, so that callers that were
# refused together do not all retry at the same time.
RETRY_AFTER_JITTER = 0.5
# Refusals by the target itself: the request reached it but did not run.
_REFUSED_BY_TARGET = (Reason.SHED,)
# Refusals after which the target is skipped for a while. For all others, the
# reported state of the target already keeps requests away.
_RETRY_ELSEWHERE = (
    Reason.BUSY,
    Reason.STALE,
    Reason.CONNECT_FAILED,
    Reason.PEER_LOST,
    Reason.UNKNOWN_TARGET,
    Reason.EJECTED,
    Reason.UNPROVEN,
    Reason.MISDIRECTED,
)


@dataclasses.dataclass
class RetryState:
    """Results of a request so far, and what it accepts next.

    Attributes:
        started: Monotonic seconds at which the request arrived.
        deadline: Monotonic seconds at which the request times out.
        tried: Targets that the request reached.
        refused: Targets that can't accept the request at the moment.
        unproven: Refused targets that were not known to be healthy enough.
        attempts: Number of attempts that reached a target.
        possible_runs: Number of attempts that ran or may have run.
        budget_charged: Whether the next attempt has been charged to the retry
            budget.
        process_exits_at: Monotonic seconds at which this process exits.
        accepts_unproven: Whether it accepts targets that are not ejected but
            not proven to be healthy.
        wait: Whether it queues at a target without a free slot.
        exclusive: Whether it must run alone, as a target crashed while running
            it.
        polls: Number of searches that found no target.
        refusals_by_reason: Number of refusals by reason, for the trace of the
            request.
    """

    started: float
    deadline: float
    tried: set[str] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    unproven: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    possible_runs: int = 0
    budget_charged: bool = False
    process_exits_at: float = math.inf
    accepts_unproven: bool = False
    wait: bool = False
    exclusive: bool = False
    refusals_by_reason: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    polls: int = 0
    _refused_for_good: bool = False
    _refusals: int = 0
    _queue_rejections: int = 0

    @property
    def exhausted(self) -> bool:
        """Whether no target is left that could accept it in time."""
        return (
            self._refused_for_good
            or self._queue_rejections >= MAX_QUEUE_REJECTIONS
        )

    def start_by(
        self, distribution: latency.Distribution, soft_deadline: float
    ) -> float:
        """Returns the monotonic time by which the request must start to run.

        During overload, a slot given to a request that misses its objective
        makes another request miss its own. So a request queues only while it
        can still meet the objective, and is then refused. Requests that have
        reached a target may start until the process exits.

        Args:
            distribution: Latency distribution of the route.
            soft_deadline: Monotonic seconds up to which the objective is met.
        """
        if self.attempts:
            return self.process_exits_at
        time_limit = self.deadline - self.started
        latest_start = min(
            self.process_exits_at,
            self.started + START_DEADLINE_SHARE * time_limit,
        )
        latest_for_objective = max(
            soft_deadline - distribution.learned_median,
            self.started + MIN_QUEUE_TIME,
        )
        return min(latest_start, latest_for_objective)

    def required_health(self, now: float) -> admission.RequiredHealth:
        """Returns how healthy a target must be to be accepted now."""
        time_limit = self.deadline - self.started
        if now >= self.started + RELAX_AFTER_SHARE * time_limit:
            return admission.RequiredHealth.ANY
        return (
            admission.RequiredHealth.SOUND
            if self.accepts_unproven
            else admission.RequiredHealth.PROVEN
        )

    def relax_requirements(self) -> bool:
        """Accepts targets that were not good enough so far.

        The request first requires a proven target with a free slot, then
        accepts an unproven one that is idle, and at last queues. It does not
        queue earlier, as idle targets would stay unused meanwhile.

        Returns:
            Whether there was anything left to relax.
        """
        if self.unproven and not self.accepts_unproven:
            self.accepts_unproven = True
            # Only unproven targets are asked again; the others are busy.
            self.refused -= self.unproven
        elif not self.wait:
            self.wait = True
            self.refused.clear()
        else:
            return False
        self._refusals = 0
        self._queue_rejections = 0
        return True

    def next_poll_delay(self) -> float:
        """Returns the seconds until the next search for a target."""
        delay = min(MAX_POLL_INTERVAL, POLL_INTERVAL * 2**self.polls)
        self.polls += 1
        self.refused.clear()
        return delay

    def record_not_run(self, target: str, reason: Reason | None) -> None:
        """Records that a target did not run the request."""
        self.refusals_by_reason[str(reason or "")] += 1
        if reason in _REFUSED_BY_TARGET:
            self._record_arrival(target)
        if reason in (Reason.DEADLINE, Reason.QUARANTINED):
            # All other targets would refuse the request for the same reason.
            self._refused_for_good = True
        if reason not in _RETRY_ELSEWHERE:
            return
        self.refused.add(target)
        self._refusals += 1
        if self.wait and reason is Reason.BUSY:
            self._queue_rejections += 1
        if reason is Reason.UNPROVEN:
            self.unproven.add(target)
        if self._refusals >= MAX_REFUSALS:
            self.relax_requirements()

    def record_run(self, target: str, reason: Reason | None = None) -> None:
        """Records that a target ran the request, or may have."""
        self._record_arrival(target)
        self.possible_runs += 1
        self.exclusive = self.exclusive or reason is Reason.TARGET_CRASHED

    def should_give_up(
        self,
        distribution: latency.Distribution,
        soft_deadline: float,
        now: float,
    ) -> bool:
        """Returns whether it is too late for a response.

        Args:
            distribution: Latency distribution of the route.
            soft_deadline: Monotonic seconds up to which the objective is met.
            now: Monotonic seconds.
        """
        if (
            self.polls
            and not self.attempts
            and now >= self.start_by(distribution, soft_deadline)
        ):
            return True
        if now >= min(self.deadline, self.process_exits_at):
            return True
        # The first attempt is made regardless of the remaining time.
        return (
            self.attempts > 0 and now + distribution.median / 2 > self.deadline
        )

    def hedge_delay(
        self,
        distribution: latency.Distribution,
        soft_deadline: float,
        now: float,
    ) -> float | None:
        """Returns the seconds until the hedged request; None for no hedge.

        Args:
            distribution: Latency distribution of the route.
            soft_deadline: Monotonic seconds up to which the objective is met.
            now: Monotonic seconds.
        """
        until_objective = soft_deadline - now - distribution.median
        usual_delay, min_delay = (
            distribution.quantile(HEDGE_DEVIATIONS),
            distribution.quantile(MIN_HEDGE_DEVIATIONS),
        )
        delay = max(min_delay, min(usual_delay, until_objective))
        if now + delay + distribution.median >= self.deadline:
            return None
        return delay

    def retry_after(self, expected: float, jitter: float) -> float:
        """Returns the value of Retry-After in seconds, with jitter.

        Args:
            expected: Seconds until a slot is likely to be free.
            jitter: A random number from 0 to 1.
        """
        return expected * (1 + RETRY_AFTER_JITTER * jitter)

    def _record_arrival(self, target: str) -> None:
        self.attempts += 1
        self.budget_charged = False
        self.tried.add(target)
