"""Judges one target, at its guard, by the requests that it was given.

Targets fail most of what reaches them for some seconds at a time, while their
health endpoint says that all is well. Some break connections at once, some
answer with errors, some never answer. So the target is taken to be in one of
two phases, good or bad, and each request is weighed by how likely its course
so far is in either: a filter over a two-state Markov chain. A request that has
not ended is evidence, too: weak while it is young, strong once a sound target
would have answered.
"""

import dataclasses
import enum
import math

from forklift import latency


class Signal(enum.StrEnum):
    """What the end of a request, or its age, says of its target."""

    WELL = "well"
    ERROR = "error"
    BROKEN = "broken"
    OVERDUE = "overdue"
    SHED = "shed"
    UNREACHABLE = "unreachable"


# Mean length of good and of bad phases, seconds. Phases of 2 to 8 s were seen,
# targets being bad for a quarter to a third of all time.
MEAN_HEALTHY_SECONDS = 12.0
MEAN_UNHEALTHY_SECONDS = 4.0
# Share of the requests that fail in a bad phase: 0.75 to 0.85 were seen.
UNHEALTHY_FAILURE_RATE = 0.75
# Share of requests that end so in a good phase. Errors: until they are counted,
# and at least; a target's own were 1.2 in 100, but a target whose calls to
# others fail answered one in five with an error and was well itself.
ERRORS_LEAST = 0.03
ERRORS_MOST = 0.5
# Weight of the last answer in the share of errors: some thirty answers.
ERRORS_GAIN = 0.03
FAILS_WHEN_GOOD_BY_SIGN = {
    Signal.BROKEN: 0.005,
    Signal.UNREACHABLE: 0.005,
    Signal.OVERDUE: 0.005,
}
# No belief is firmer than this: a phase may end at any moment, and three good
# answers are to be enough to see it.
FIRMEST = 0.97
# Risk from which a target is doubted, and below which it is trusted again.
EJECTION_THRESHOLD = 0.5
REINSTATEMENT_THRESHOLD = 0.3
# A failure that shows within this time shows at once, seconds.
FAST_FAILURE_SECONDS = 0.02
# Share of failures that take long, until failures have told, and the weight
# of the last one in it: a target mostly keeps to one way to fail.
SLOW_SHARE = 0.5
SLOW_GAIN = 0.3
# Share of sound requests that still run from which on one that ran so long
# says all it can.
SETTLED = 0.01
# Seconds between two tests of a doubted target while they fail: a test that
# hangs costs a repeat, and a target is to be back within a second after it is
# well again.
TRIAL_INTERVAL_SECONDS = 0.4
# Share of sound requests that still run from which on a test need not be
# waited for.
SCOUT_LATE = 0.1
# Seconds for which one refusal by the target itself counts.
SHEDDING_SECONDS = 1.0
# Changes that are kept to explain a target to an operator.
MAX_CHANGES = 20

_RATE = 1 / MEAN_HEALTHY_SECONDS + 1 / MEAN_UNHEALTHY_SECONDS
# Risk of a target of which nothing was heard for long.
UNHEALTHY_PRIOR = (1 / MEAN_HEALTHY_SECONDS) / _RATE


def predict(unhealthy_probability: float, seconds: float) -> float:
    """What a risk becomes while nothing is heard.

    >>> predict(UNHEALTHY_PRIOR, 3.0) == UNHEALTHY_PRIOR
    True
    >>> predict(0.9, 60.0) < 0.26
    True
    """
    return UNHEALTHY_PRIOR + (
        unhealthy_probability - UNHEALTHY_PRIOR
    ) * math.exp(-_RATE * max(0.0, seconds))


@dataclasses.dataclass(frozen=True)
class EjectionChange:
    """A doubt was raised or lifted.

    Attributes:
        at: Monotonic seconds.
        doubted: Whether the target is doubted since.
        sign: What caused it.
        risk: How likely the target is in a bad phase, 0 to 1.
    """

    at: float
    ejected: bool
    signal: Signal
    unhealthy_probability: float


@dataclasses.dataclass
class _Run:
    """One request that the target was given."""

    started: float
    usual: latency.Distribution
    signal: Signal | None = None
    # Share of errors among answers when it ended.
    errors: float = ERRORS_LEAST
    # How long it was watched, once that is over.
    watched: float | None = None


class Health:
    """What is believed of one target."""

    def __init__(self):
        self.ejected_since: float | None = None
        self.changes: list[EjectionChange] = []
        self.signal = Signal.WELL
        self._slow_share = SLOW_SHARE
        self._errors = ERRORS_LEAST
        self._run_by_id: dict[object, _Run] = {}
        # In the order of their starts; what came before is in the belief.
        self._runs: list[_Run] = []
        self._belief = UNHEALTHY_PRIOR
        self._believed_at = float("-inf")
        self._shed_at = float("-inf")
        self._next_scout = float("-inf")

    @property
    def ejected(self) -> bool:
        """Whether the target is doubted."""
        return self.ejected_since is not None

    def shedding(self, now: float) -> bool:
        """Whether the target itself refused a request of late."""
        return now - self._shed_at < SHEDDING_SECONDS

    def begin(
        self, request: object, usual: latency.Distribution, now: float
    ) -> None:
        """The target is given a request.

        Args:
            request: Names it until its end.
            usual: The latency of its route.
            now: Monotonic seconds.
        """
        run = _Run(now, usual)
        self._run_by_id[request] = run
        self._runs.append(run)
        if self.ejected:
            self._next_scout = now + TRIAL_INTERVAL_SECONDS

    def end(self, request: object, sign: Signal | None, now: float) -> bool:
        """A request is over; True when a doubt was raised or lifted.

        Args:
            request: The same as at its start.
            sign: How it ended; None where it was cut off from outside.
            now: Monotonic seconds.
        """
        run = self._run_by_id.pop(request, None)
        if run is None:
            return False
        age = now - run.started
        run.watched = age
        run.signal = sign
        run.errors = self._errors
        self._count_error(sign)
        if sign is Signal.SHED:
            self._shed_at = now
        elif sign is not Signal.WELL:
            self._learn_shape(run, age)
        elif run.started > self._shed_at:
            self._shed_at = float("-inf")
        if sign is Signal.WELL and self.ejected:
            # The next test need not wait: this one did well.
            self._next_scout = now
        return self.evaluate(now, sign)

    def unhealthy_probability(self, now: float) -> float:
        """How likely the target is in a bad phase, 0 to 1."""
        self._settle(now)
        belief, at = self._belief, self._believed_at
        for run in self._runs:
            belief = self._weigh(predict(belief, run.started - at), run, now)
            at = run.started
        return predict(belief, now - at)

    def evaluate(self, now: float, sign: Signal | None = None) -> bool:
        """Raises or lifts the doubt; True when that changed.

        Args:
            now: Monotonic seconds.
            sign: How a request has just ended; None where only time passed.
        """
        unhealthy_probability = self.unhealthy_probability(now)
        if not self.ejected and unhealthy_probability > EJECTION_THRESHOLD:
            self.ejected_since = now
            failed = sign not in (None, Signal.WELL, Signal.SHED)
            self.signal = sign if failed else Signal.OVERDUE
            self._next_scout = now + TRIAL_INTERVAL_SECONDS
        elif self.ejected and unhealthy_probability < REINSTATEMENT_THRESHOLD:
            self.ejected_since = None
        else:
            return False
        self._change(
            EjectionChange(
                now, self.ejected, self.signal, round(unhealthy_probability, 3)
            )
        )
        if not self.ejected:
            self.signal = Signal.WELL
        return True

    def allows_trial(self, now: float) -> bool:
        """Whether a repeatable request may test the target now."""
        return now >= self._next_scout and not self._tested(now)

    def exclude_pause(self, seconds: float) -> None:
        """This process stood still: what is in flight aged unseen."""
        for run in self._run_by_id.values():
            run.started += seconds

    def _tested(self, now: float) -> bool:
        """Whether a request is under way whose end is worth waiting for."""
        since = self.ejected_since if self.ejected_since is not None else now
        return any(
            run.started >= since
            and run.usual.survival(now - run.started) > SCOUT_LATE
            for run in self._run_by_id.values()
        )

    def _settle(self, now: float) -> None:
        """Takes into the belief what can change no more."""
        count = 0
        for run in self._runs:
            if run.watched is None and self._open(run, now):
                break
            belief = predict(self._belief, run.started - self._believed_at)
            self._belief = self._weigh(belief, run, now)
            self._believed_at = run.started
            count += 1
        del self._runs[:count]

    def _open(self, run: _Run, now: float) -> bool:
        return run.usual.survival(now - run.started) > SETTLED

    def _weigh(self, belief: float, run: _Run, now: float) -> float:
        odds = belief / (1 - belief) * self._ratio(run, now)
        return min(FIRMEST, max(1 - FIRMEST, odds / (1 + odds)))

    def _ratio(self, run: _Run, now: float) -> float:
        """Likelihood of a request's course in a bad phase against a good."""
        if run.signal is Signal.WELL:
            return 1 - UNHEALTHY_FAILURE_RATE
        if run.signal is Signal.SHED:
            return 1.0
        if run.signal is not None:
            good = FAILS_WHEN_GOOD_BY_SIGN.get(run.signal, run.errors)
            return UNHEALTHY_FAILURE_RATE / good
        age = now - run.started if run.watched is None else run.watched
        sound = run.usual.survival(age)
        hidden = 1.0 if age < FAST_FAILURE_SECONDS else self._slow_share
        bad = (
            1 - UNHEALTHY_FAILURE_RATE
        ) * sound + UNHEALTHY_FAILURE_RATE * hidden
        hangs = FAILS_WHEN_GOOD_BY_SIGN[Signal.OVERDUE]
        return bad / (hangs + (1 - hangs) * sound)

    def _count_error(self, sign: Signal | None) -> None:
        """Keeps the share of errors among answers."""
        if sign not in (Signal.WELL, Signal.ERROR):
            return
        share = self._errors + ERRORS_GAIN * (
            (sign is Signal.ERROR) - self._errors
        )
        self._errors = min(ERRORS_MOST, max(ERRORS_LEAST, share))

    def _learn_shape(self, run: _Run, age: float) -> None:
        """Whether failures show at once here, or only by taking long."""
        late = run.usual.survival(age) < SCOUT_LATE
        if run.signal is None and not late:
            # Cut off young: it says nothing of how it would have ended.
            return
        slow = float(age > FAST_FAILURE_SECONDS)
        self._slow_share += SLOW_GAIN * (slow - self._slow_share)

    def _change(self, change: EjectionChange) -> None:
        self.changes.append(change)
        del self.changes[:-MAX_CHANGES]
