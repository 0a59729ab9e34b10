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


class Sign(enum.StrEnum):
    """What the end of a request, or its age, says of its target."""

    WELL = "well"
    ERROR = "error"
    BROKEN = "broken"
    OVERDUE = "overdue"
    SHED = "shed"
    UNREACHABLE = "unreachable"


# Mean length of good and of bad phases, seconds. Phases of 2 to 8 s were seen,
# targets being bad for a quarter to a third of all time.
GOOD_FOR = 12.0
BAD_FOR = 4.0
# Share of the requests that fail in a bad phase: 0.75 to 0.85 were seen.
FAILS_WHEN_BAD = 0.75
# Share of requests that end so in a good phase. Errors: until they are counted,
# and at least; a target's own were 1.2 in 100, but a target whose calls to
# others fail answered one in five with an error and was well itself.
ERRORS_LEAST = 0.03
ERRORS_MOST = 0.5
# Weight of the last answer in the share of errors: some thirty answers.
ERRORS_GAIN = 0.03
FAILS_WHEN_GOOD_BY_SIGN = {
    Sign.BROKEN: 0.005,
    Sign.UNREACHABLE: 0.005,
    Sign.OVERDUE: 0.005,
}
# No belief is firmer than this: a phase may end at any moment, and three good
# answers are to be enough to see it.
FIRMEST = 0.97
# Risk from which a target is doubted, and below which it is trusted again.
RAISED_FROM = 0.5
LIFTED_BELOW = 0.3
# A failure that shows within this time shows at once, seconds.
AT_ONCE = 0.02
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
SCOUT_GAP = 0.4
# Share of sound requests that still run from which on a test need not be
# waited for.
SCOUT_LATE = 0.1
# Seconds for which one refusal by the target itself counts.
SHED_FOR = 1.0
# Changes that are kept to explain a target to an operator.
KEPT_CHANGES = 20

_RATE = 1 / GOOD_FOR + 1 / BAD_FOR
# Risk of a target of which nothing was heard for long.
UNKNOWN = (1 / GOOD_FOR) / _RATE


def drift(risk: float, seconds: float) -> float:
    """What a risk becomes while nothing is heard.

    >>> drift(UNKNOWN, 3.0) == UNKNOWN, drift(0.9, 60.0) < 0.26
    (True, True)
    """
    return UNKNOWN + (risk - UNKNOWN) * math.exp(-_RATE * max(0.0, seconds))


@dataclasses.dataclass(frozen=True)
class Change:
    """A doubt was raised or lifted.

    Attributes:
        at: Monotonic seconds.
        doubted: Whether the target is doubted since.
        sign: What caused it.
        risk: How likely the target is in a bad phase, 0 to 1.
    """

    at: float
    doubted: bool
    sign: Sign
    risk: float


@dataclasses.dataclass
class _Run:
    """One request that the target was given."""

    started: float
    usual: latency.Latency
    sign: Sign | None = None
    # Share of errors among answers when it ended.
    errors: float = ERRORS_LEAST
    # How long it was watched, once that is over.
    watched: float | None = None


class Health:
    """What is believed of one target."""

    def __init__(self):
        self.since: float | None = None
        self.changes: list[Change] = []
        self.sign = Sign.WELL
        self._slow_share = SLOW_SHARE
        self._errors = ERRORS_LEAST
        self._run_by_id: dict[object, _Run] = {}
        # In the order of their starts; what came before is in the belief.
        self._runs: list[_Run] = []
        self._belief = UNKNOWN
        self._believed_at = float("-inf")
        self._shed_at = float("-inf")
        self._next_scout = float("-inf")

    @property
    def raised(self) -> bool:
        """Whether the target is doubted."""
        return self.since is not None

    def shedding(self, now: float) -> bool:
        """Whether the target itself refused a request of late."""
        return now - self._shed_at < SHED_FOR

    def begin(
        self, request: object, usual: latency.Latency, now: float
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
        if self.raised:
            self._next_scout = now + SCOUT_GAP

    def end(self, request: object, sign: Sign | None, now: float) -> bool:
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
        run.sign = sign
        run.errors = self._errors
        self._count_error(sign)
        if sign is Sign.SHED:
            self._shed_at = now
        elif sign is not Sign.WELL:
            self._learn_shape(run, age)
        elif run.started > self._shed_at:
            self._shed_at = float("-inf")
        if sign is Sign.WELL and self.raised:
            # The next test need not wait: this one did well.
            self._next_scout = now
        return self.judge(now, sign)

    def risk(self, now: float) -> float:
        """How likely the target is in a bad phase, 0 to 1."""
        self._settle(now)
        belief, at = self._belief, self._believed_at
        for run in self._runs:
            belief = self._weigh(drift(belief, run.started - at), run, now)
            at = run.started
        return drift(belief, now - at)

    def judge(self, now: float, sign: Sign | None = None) -> bool:
        """Raises or lifts the doubt; True when that changed.

        Args:
            now: Monotonic seconds.
            sign: How a request has just ended; None where only time passed.
        """
        risk = self.risk(now)
        if not self.raised and risk > RAISED_FROM:
            self.since = now
            failed = sign not in (None, Sign.WELL, Sign.SHED)
            self.sign = sign if failed else Sign.OVERDUE
            self._next_scout = now + SCOUT_GAP
        elif self.raised and risk < LIFTED_BELOW:
            self.since = None
        else:
            return False
        self._change(Change(now, self.raised, self.sign, round(risk, 3)))
        if not self.raised:
            self.sign = Sign.WELL
        return True

    def may_scout(self, now: float) -> bool:
        """Whether a repeatable request may test the target now."""
        return now >= self._next_scout and not self._tested(now)

    def excuse(self, seconds: float) -> None:
        """This process stood still: what is in flight aged unseen."""
        for run in self._run_by_id.values():
            run.started += seconds

    def _tested(self, now: float) -> bool:
        """Whether a request is under way whose end is worth waiting for."""
        since = self.since if self.since is not None else now
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
            belief = drift(self._belief, run.started - self._believed_at)
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
        if run.sign is Sign.WELL:
            return 1 - FAILS_WHEN_BAD
        if run.sign is Sign.SHED:
            return 1.0
        if run.sign is not None:
            good = FAILS_WHEN_GOOD_BY_SIGN.get(run.sign, run.errors)
            return FAILS_WHEN_BAD / good
        age = now - run.started if run.watched is None else run.watched
        sound = run.usual.survival(age)
        hidden = 1.0 if age < AT_ONCE else self._slow_share
        bad = (1 - FAILS_WHEN_BAD) * sound + FAILS_WHEN_BAD * hidden
        hangs = FAILS_WHEN_GOOD_BY_SIGN[Sign.OVERDUE]
        return bad / (hangs + (1 - hangs) * sound)

    def _count_error(self, sign: Sign | None) -> None:
        """Keeps the share of errors among answers."""
        if sign not in (Sign.WELL, Sign.ERROR):
            return
        share = self._errors + ERRORS_GAIN * (
            (sign is Sign.ERROR) - self._errors
        )
        self._errors = min(ERRORS_MOST, max(ERRORS_LEAST, share))

    def _learn_shape(self, run: _Run, age: float) -> None:
        """Whether failures show at once here, or only by taking long."""
        late = run.usual.survival(age) < SCOUT_LATE
        if run.sign is None and not late:
            # Cut off young: it says nothing of how it would have ended.
            return
        slow = float(age > AT_ONCE)
        self._slow_share += SLOW_GAIN * (slow - self._slow_share)

    def _change(self, change: Change) -> None:
        self.changes.append(change)
        del self.changes[:-KEPT_CHANGES]
