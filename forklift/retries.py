"""One request on its way over targets: what it accepts next, step by step.

Targets refuse, fail, or are busy; each answer changes what the request accepts
afterwards, up to the point where it is given up. Time is handed in.
"""

import collections
import dataclasses
import math

from forklift import admission
from forklift import latency
from forklift import messages

Reason = messages.Reason

# Seconds until the next look for a target when none may be sent to; it doubles
# up to the second figure, as each look may cost a message to each gate.
POLL_INTERVAL = 0.02
MAX_POLL_INTERVAL = 0.16
# Part of its time after which a request that may repeat takes a doubted target
# where no sound one is known: waiting longer leaves no time for an answer.
RELAX_AFTER_SHARE = 0.25
# Part of its time within which a request must have left the queue of a gate,
# the first time: what starts later mostly ends unserved, and its caller is
# better told to come back.
START_DEADLINE_SHARE = 0.8
# Seconds that any request waits: bursts are over sooner than its caller could
# be back.
MIN_QUEUE_TIME = 0.15
# Gates that are asked for a free slot before a request waits at one.
MAX_REFUSALS = 4
# Gates, the least filled ones, that may say that waiting takes too long before
# the request is given up: it then has its final answer at once.
MAX_QUEUE_REJECTIONS = 3
# Standard deviations above the usual latency of its route after which a
# request that may repeat is also sent to a second target: of sound requests
# one in twenty-five is that late. Where an answer of full worth could still
# come from a second target, less is waited, but not less than the second
# figure: one in six.
HEDGE_DEVIATIONS = 1.75
MIN_HEDGE_DEVIATIONS = 1.0
# Part by which the time to come back is drawn longer: callers that were refused
# together would all return together, and be refused once more.
RETRY_AFTER_JITTER = 0.5
# What arrived at a target though it did not run.
_REFUSED_BY_TARGET = (Reason.SHED,)
# A refusal of this kind says nothing that the view of the target tells too.
_RETRY_ELSEWHERE = (
    Reason.BUSY,
    Reason.STALE,
    Reason.CONNECT_FAILED,
    Reason.PEER_LOST,
    Reason.UNKNOWN_TARGET,
    Reason.DOUBTED,
    Reason.UNPROVEN,
    Reason.MISDIRECTED,
)


@dataclasses.dataclass
class RetryState:
    """What became of a request so far, and what it accepts.

    Attributes:
        started: Monotonic seconds when it came.
        deadline: Monotonic seconds.
        tried: Targets that it arrived at.
        refused: Targets that can't take it just now.
        unproven: Those of them whose risk was too high to be the first choice.
        attempts: Arrivals at targets.
        possible_runs: Those of them that may have run.
        budget_charged: Whether the next arrival has been taken from the budget.
        process_exits_at: Monotonic seconds by which it must be over, as its
            process ends then.
        sound: Whether it accepts targets whose risk is not low, only no doubt.
        wait: Whether it waits where no slot is free.
        exclusive: Whether a target crashed that was running it.
        polls: How often it found no target that it may be sent to.
        refusals_by_reason: How often it was refused, for its story.
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
    sound: bool = False
    wait: bool = False
    exclusive: bool = False
    refusals_by_reason: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    polls: int = 0
    _expired: bool = False
    _refusals: int = 0
    _queue_rejections: int = 0

    @property
    def exhausted(self) -> bool:
        """Whether gates said that waiting takes too long, or has taken so."""
        return self._expired or self._queue_rejections >= MAX_QUEUE_REJECTIONS

    def start_by(self, usual: latency.Distribution, aim: float) -> float:
        """When it must have started; what ran once already is not bound.

        Where there is too little for all, each slot given to a request that
        can't be in time any more makes a further one late. So a request waits
        only as long as its answer can have its full worth, and its caller is
        told at once.

        Args:
            usual: Usual latency of its route.
            aim: Monotonic seconds up to which an answer has its full worth.
        """
        if self.attempts:
            return self.process_exits_at
        whole = self.deadline - self.started
        latest = min(
            self.process_exits_at, self.started + START_DEADLINE_SHARE * whole
        )
        timely = max(aim - usual.learned_median, self.started + MIN_QUEUE_TIME)
        return min(latest, timely)

    def required_health(self, now: float) -> admission.RequiredHealth:
        """How much doubt about a target it accepts by now."""
        whole = self.deadline - self.started
        if now >= self.started + RELAX_AFTER_SHARE * whole:
            return admission.RequiredHealth.ANY
        return (
            admission.RequiredHealth.SOUND
            if self.sound
            else admission.RequiredHealth.PROVEN
        )

    def relax_requirements(self) -> bool:
        """Accepts a worse target, where that is left; True when it is.

        First one with a slot free that did well of late; then an idle one of
        which little is known; at last, to wait. While idle ones are left,
        waiting at the others would waste them.
        """
        if self.unproven and not self.sound:
            self.sound = True
            # Those that are busy stay so; the idle ones are next.
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
        """Seconds until the next look, when nothing more can be accepted."""
        seconds = min(MAX_POLL_INTERVAL, POLL_INTERVAL * 2**self.polls)
        self.polls += 1
        self.refused.clear()
        return seconds

    def record_not_run(self, target: str, reason: Reason | None) -> None:
        """A target did not run it."""
        self.refusals_by_reason[str(reason or "")] += 1
        if reason in _REFUSED_BY_TARGET:
            self._record_arrival(target)
        if reason in (Reason.DEADLINE, Reason.QUARANTINED):
            # Any other gate would say the same, at once.
            self._expired = True
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
        """A target ran it, or may have."""
        self._record_arrival(target)
        self.possible_runs += 1
        self.exclusive = self.exclusive or reason is Reason.TARGET_CRASHED

    def should_give_up(
        self, usual: latency.Distribution, aim: float, now: float
    ) -> bool:
        """Whether it is given up: no answer can come in time any more.

        Args:
            usual: Usual latency of its route.
            aim: Monotonic seconds up to which an answer has its full worth.
            now: Monotonic seconds.
        """
        if (
            self.polls
            and not self.attempts
            and now >= self.start_by(usual, aim)
        ):
            return True
        if now >= min(self.deadline, self.process_exits_at):
            return True
        # The first attempt is made whatever the time that is left.
        return self.attempts > 0 and now + usual.median / 2 > self.deadline

    def hedge_delay(
        self, usual: latency.Distribution, aim: float, now: float
    ) -> float | None:
        """Seconds until a second attempt beside the first; None for none.

        Args:
            usual: Usual latency of its route.
            aim: Monotonic seconds up to which an answer has its full worth.
            now: Monotonic seconds.
        """
        in_time = aim - now - usual.median
        late, least = (
            usual.quantile(HEDGE_DEVIATIONS),
            usual.quantile(MIN_HEDGE_DEVIATIONS),
        )
        hedge_delay = max(least, min(late, in_time))
        if now + hedge_delay + usual.median >= self.deadline:
            return None
        return hedge_delay

    def retry_after(self, expected: float, draw: float) -> float:
        """Seconds after which its caller is told to come back.

        Args:
            expected: Seconds after which a slot is likely.
            draw: A random number from 0 to 1.
        """
        return expected * (1 + RETRY_AFTER_JITTER * draw)

    def _record_arrival(self, target: str) -> None:
        self.attempts += 1
        self.budget_charged = False
        self.tried.add(target)
