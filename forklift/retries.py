"""Retry state of one request: when to wait, retry, hedge or give up.

Targets may refuse a request, fail or be busy. Each result changes which
targets the request accepts next, until it is given up. The state performs no
input or output; the current time is a parameter.
"""

import collections
import dataclasses
import math

from forklift import admission
from forklift import latency
from forklift import messages

Reason = messages.Reason

# Initial seconds between two searches for a target while none is available. The
# interval doubles after each search. Each search may cost a message to each
# target's process.
INITIAL_POLL_SECONDS = 0.02
# Maximum seconds between two searches.
MAX_POLL_SECONDS = 0.16
# Fraction of the time limit after which an idempotent request accepts an
# ejected target if there is no other. Waiting for longer would leave no time
# for a response.
ACCEPT_EJECTED_AFTER_FRACTION = 0.25
# Fraction of the time limit within which the first attempt must leave the queue
# of its target. Otherwise the caller is told to retry. Requests that start
# later mostly end unserved.
START_DEADLINE_FRACTION = 0.8
# Seconds for which every request may queue, even if it misses its latency
# objective. Most bursts are over before a refused caller could be back.
MIN_QUEUE_SECONDS = 0.15
# Number of refusals after which the requirements are relaxed: first an unproven
# target is accepted, then queueing.
MAX_REFUSALS = 4
# Number of targets whose queue is too long for the request, after which the
# request is given up. These are the least loaded targets, so others would
# refuse it, too.
MAX_QUEUE_REJECTIONS = 3
# The same for an organisation that sends no more than its part. Its queues are
# long only at targets where some of its requests meet.
MAX_QUEUE_REJECTIONS_WITHIN_PART = 6
# Standard deviations above the median latency of the route after which an
# idempotent request is hedged. The hedge is sent earlier if it can then still
# meet the latency objective. One in twenty-five requests to healthy targets
# takes that long.
HEDGE_DEVIATIONS = 1.75
# Standard deviations above the median latency before which no hedge is sent.
# One in six requests to healthy targets takes that long.
MIN_HEDGE_DEVIATIONS = 1.0
# Maximum fraction added at random to Retry-After, so that callers that were
# refused together do not all retry at the same time.
RETRY_AFTER_JITTER = 0.5
# Refusals by the target itself: the request reached it but did not run.
_REFUSED_BY_TARGET = (Reason.SHED,)
# Refusals after which the target is skipped for a while. After all others, the
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
    """Results of the attempts so far, and which targets are accepted next.

    Attributes:
        started: Monotonic seconds at which the request arrived.
        deadline: Monotonic seconds at which the request times out.
        tried: Targets that the request reached.
        refused: Targets that can't accept the request at the moment.
        unproven: Refused targets that were not known to be healthy enough.
        attempts: Number of attempts that reached a target.
        possible_runs: Number of attempts that ran or may have run.
        ran_last: Whether the last attempt that reached a target ran, or may
            have run.
        budget_charged: Whether the next attempt has been charged to the retry
            budget.
        reserved_retries: Number of attempts in flight whose retry has been
            charged already.
        latest_start: Monotonic seconds from which on no attempt starts, as this
            process stops; infinite before that.
        max_queue_rejections: Number of targets whose queue is too long, after
            which the request is given up.
        accepts_unproven: Whether the request accepts targets that are not
            ejected but not proven to be healthy.
        wait: Whether the request queues at a target without a free slot.
        exclusive: Whether no other request may run on the target at the same
            time, as a target crashed while running the request.
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
    ran_last: bool = False
    budget_charged: bool = False
    reserved_retries: int = 0
    latest_start: float = math.inf
    max_queue_rejections: int = MAX_QUEUE_REJECTIONS
    accepts_unproven: bool = False
    wait: bool = False
    exclusive: bool = False
    refusals_by_reason: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    polls: int = 0
    _refused_permanently: bool = False
    _refusals: int = 0
    _queue_rejections: int = 0

    @property
    def exhausted(self) -> bool:
        """Whether no target is left that could accept the request in time."""
        return (
            self._refused_permanently
            or self._queue_rejections >= self.max_queue_rejections
        )

    def start_by(
        self, distribution: latency.Distribution, soft_deadline: float
    ) -> float:
        """Returns the monotonic time by which the request must start to run.

        During overload, a slot given to a request that misses its objective
        makes another request miss its own. So a request is refused as soon as
        it can't meet the objective any more. Requests that have reached a
        target may start later.

        Args:
            distribution: Latency distribution of the route.
            soft_deadline: Monotonic seconds up to which the objective is met.
        """
        if self.attempts:
            return self.latest_start
        time_limit = self.deadline - self.started
        latest_start = min(
            self.latest_start,
            self.started + START_DEADLINE_FRACTION * time_limit,
        )
        latest_for_objective = max(
            soft_deadline - distribution.learned_median,
            self.started + MIN_QUEUE_SECONDS,
        )
        return min(latest_start, latest_for_objective)

    def required_health(self, now: float) -> admission.RequiredHealth:
        """Returns how healthy a target must be to be accepted now."""
        time_limit = self.deadline - self.started
        if now >= self.started + ACCEPT_EJECTED_AFTER_FRACTION * time_limit:
            return admission.RequiredHealth.ANY
        return (
            admission.RequiredHealth.SOUND
            if self.accepts_unproven
            else admission.RequiredHealth.PROVEN
        )

    def relax_requirements(self) -> bool:
        """Relaxes the requirements on the next target.

        The request first requires a proven target with a free slot, then
        accepts an unproven target with a free slot, and finally queues. It does
        not queue earlier, as unproven targets would stay idle meanwhile.

        Returns:
            Whether any requirement was left to relax.
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
        delay = min(MAX_POLL_SECONDS, INITIAL_POLL_SECONDS * 2**self.polls)
        self.polls += 1
        self.refused.clear()
        return delay

    def record_not_run(self, target: str, reason: Reason | None) -> None:
        """Records that a target did not run the request."""
        self.refusals_by_reason[str(reason or "")] += 1
        if reason in _REFUSED_BY_TARGET:
            self._record_arrival(target)
            self.ran_last = False
        if reason in (Reason.DEADLINE, Reason.QUARANTINED):
            # All other targets would refuse the request for the same reason.
            self._refused_permanently = True
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
        self.ran_last = True
        self.exclusive = self.exclusive or reason is Reason.TARGET_CRASHED

    def should_give_up(
        self,
        distribution: latency.Distribution,
        soft_deadline: float,
        now: float,
    ) -> bool:
        """Returns whether it is too late to receive a response.

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
        if now >= min(self.deadline, self.latest_start):
            return True
        # The first attempt is made regardless of the remaining time.
        return self.attempts > 0 and not self.has_time_for_retry(
            distribution, now
        )

    def has_time_for_retry(
        self, distribution: latency.Distribution, now: float
    ) -> bool:
        """Returns whether a retry could still receive a response in time.

        Args:
            distribution: Latency distribution of the route.
            now: Monotonic seconds.
        """
        return (
            now < min(self.deadline, self.latest_start)
            and now + distribution.median / 2 <= self.deadline
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
        self.budget_charged = self.reserved_retries > 0
        self.reserved_retries = max(0, self.reserved_retries - 1)
        self.tried.add(target)
