"""Passive health checking of one target, from the requests sent to it.

A target may fail most requests for some seconds while its health endpoint
reports success. The target is modelled as a two-state Markov chain, healthy or
unhealthy, and a Bayesian filter estimates the probability that it is unhealthy
from the end of each request. Requests in flight are evidence, too: the longer a
request runs beyond the usual latency, the likelier it is that the target hangs.
"""

import dataclasses
import enum
import math

from forklift import latency


class Signal(enum.StrEnum):
    """What the end or the age of a request says about the target's health."""

    # The response is not a failure.
    SUCCESS = "well"
    # The response is a failure according to the policy.
    ERROR = "error"
    # The connection broke, or the response was invalid.
    BROKEN = "broken"
    # Requests in flight take too long.
    OVERDUE = "overdue"
    # The target refused the request itself.
    SHED = "shed"
    # No connection to the target could be established.
    UNREACHABLE = "unreachable"


# Mean time for which a target stays healthy.
MEAN_HEALTHY_SECONDS = 12.0
# Mean time for which a target stays unhealthy. Unhealthy phases last 2 to 8 s,
# and make up a quarter to a third of all time.
MEAN_UNHEALTHY_SECONDS = 4.0
# Share of requests that fail at an unhealthy target. Observed rates are 0.75 to
# 0.85.
UNHEALTHY_FAILURE_RATE = 0.75
# Lower bound on the learned error rate of a healthy target. Healthy targets
# themselves answer 1.2 in 100 requests with an error.
MIN_ERROR_RATE = 0.03
# Upper bound on the learned error rate, which rises while calls of the target
# to other services fail. A healthy target whose calls fail may answer one in
# five requests with an error.
MAX_ERROR_RATE = 0.5
# Weight of the latest response in the error rate. The rate thus covers some
# thirty responses.
ERROR_RATE_GAIN = 0.03
# Share of the requests to a healthy target that end with each of these signals.
HEALTHY_FAILURE_RATE_BY_SIGNAL = {
    Signal.BROKEN: 0.005,
    Signal.UNREACHABLE: 0.005,
    Signal.OVERDUE: 0.005,
}
# Upper bound on the probability of either state, so that a few responses
# suffice to detect a change. Three successful responses must be enough.
MAX_CONFIDENCE = 0.97
# Unhealthy probability above which a target is ejected.
EJECTION_THRESHOLD = 0.5
# Unhealthy probability below which an ejected target is reinstated.
REINSTATEMENT_THRESHOLD = 0.3
# The same if the target has received no trial request since its ejection, as in
# a service without idempotent requests. Without evidence, it takes longer to
# reach the other threshold than most unhealthy phases last.
UNTRIED_REINSTATEMENT_THRESHOLD = 0.45
# Age up to which a failure counts as fast, such as a refused connection.
FAST_FAILURE_SECONDS = 0.02
# Initial share of failures that are slow. It is learned, as a target mostly
# keeps failing in the same way.
INITIAL_SLOW_FAILURE_SHARE = 0.5
# Weight of the latest failure in the share of slow failures.
SLOW_FAILURE_GAIN = 0.3
# Survival probability of a request's age below which a request in flight counts
# as final evidence.
CONCLUSIVE_SURVIVAL = 0.01
# Minimum time between trial requests to an ejected target while they fail. A
# trial that hangs costs a retry, and a target must be reinstated within a
# second after its recovery.
TRIAL_INTERVAL_SECONDS = 0.4
# Survival probability of a request's age below which the request counts as
# late. A late trial request does not delay the next one.
LATE_SURVIVAL = 0.1
# Time for which a target counts as shedding load after it refused a request.
SHEDDING_SECONDS = 1.0
# Maximum number of ejections and reinstatements that reports list.
MAX_CHANGES = 20

_TRANSITION_RATE = 1 / MEAN_HEALTHY_SECONDS + 1 / MEAN_UNHEALTHY_SECONDS
# Stationary probability of the unhealthy state.
UNHEALTHY_PRIOR = (1 / MEAN_HEALTHY_SECONDS) / _TRANSITION_RATE


def predict(unhealthy_probability: float, seconds: float) -> float:
    """Probability of being unhealthy after a time without evidence.

    >>> predict(UNHEALTHY_PRIOR, 3.0) == UNHEALTHY_PRIOR
    True
    >>> predict(0.9, 60.0) < 0.26
    True
    """
    return UNHEALTHY_PRIOR + (
        unhealthy_probability - UNHEALTHY_PRIOR
    ) * math.exp(-_TRANSITION_RATE * max(0.0, seconds))


@dataclasses.dataclass(frozen=True)
class EjectionChange:
    """An ejection or a reinstatement of the target.

    Attributes:
        at: Monotonic seconds.
        ejected: Whether the target was ejected; else it was reinstated.
        signal: Cause of the ejection.
        unhealthy_probability: Probability that the target was unhealthy.
    """

    at: float
    ejected: bool
    signal: Signal
    unhealthy_probability: float


@dataclasses.dataclass
class _Request:
    """One request that was sent to the target."""

    started: float
    distribution: latency.Distribution
    signal: Signal | None = None
    # Error rate of the target when the request ended.
    error_rate: float = MIN_ERROR_RATE
    # Age of the request at its end in seconds; None while it is in flight.
    age_at_end: float | None = None


class Health:
    """Health estimate and ejection state of one target.

    Attributes:
        ejected_since: Monotonic seconds of the ejection; None if not ejected.
        changes: The latest ejections and reinstatements, the oldest first.
        signal: Cause of the ejection; `SUCCESS` if not ejected.
    """

    def __init__(self):
        self.ejected_since: float | None = None
        self.changes: list[EjectionChange] = []
        self.signal = Signal.SUCCESS
        self._slow_failure_share = INITIAL_SLOW_FAILURE_SHARE
        self._error_rate = MIN_ERROR_RATE
        self._request_by_id: dict[object, _Request] = {}
        # Ordered by start. `_probability` includes all earlier requests.
        self._requests: list[_Request] = []
        self._probability = UNHEALTHY_PRIOR
        self._probability_at = float("-inf")
        self._shed_request_at = float("-inf")
        self._next_trial_at = float("-inf")
        # Whether a trial request was sent since the last ejection.
        self._trial_sent = False

    @property
    def ejected(self) -> bool:
        """Whether the target is ejected."""
        return self.ejected_since is not None

    def shedding(self, now: float) -> bool:
        """Whether the target has recently refused a request itself."""
        return now - self._shed_request_at < SHEDDING_SECONDS

    def record_start(
        self, request: object, distribution: latency.Distribution, now: float
    ) -> None:
        """Records that a request is sent to the target.

        Args:
            request: Identifier of the request.
            distribution: Latency distribution of the request's route.
            now: Monotonic seconds.
        """
        record = _Request(now, distribution)
        self._request_by_id[request] = record
        self._requests.append(record)
        if self.ejected:
            self._next_trial_at = now + TRIAL_INTERVAL_SECONDS
            self._trial_sent = True

    def record_end(
        self, request: object, signal: Signal | None, now: float
    ) -> bool:
        """Records the end of a request.

        Args:
            request: Identifier that was passed to `record_start`.
            signal: How the request ended; None if it was cancelled.
            now: Monotonic seconds.

        Returns:
            Whether the target was ejected or reinstated.
        """
        record = self._request_by_id.pop(request, None)
        if record is None:
            return False
        age = now - record.started
        record.age_at_end = age
        record.signal = signal
        record.error_rate = self._error_rate
        self._record_error(signal)
        if signal is Signal.SHED:
            self._shed_request_at = now
        elif signal is not Signal.SUCCESS:
            self._record_failure_speed(record, age)
        elif record.started > self._shed_request_at:
            self._shed_request_at = float("-inf")
        if signal is Signal.SUCCESS and self.ejected:
            # A successful trial allows the next one at once.
            self._next_trial_at = now
        return self.evaluate(now, signal)

    def unhealthy_probability(self, now: float) -> float:
        """Probability that the target is unhealthy, 0 to 1."""
        self._apply_final_evidence(now)
        probability, at = self._probability, self._probability_at
        for record in self._requests:
            probability = self._update(
                predict(probability, record.started - at), record, now
            )
            at = record.started
        return predict(probability, now - at)

    def evaluate(self, now: float, signal: Signal | None = None) -> bool:
        """Ejects or reinstates the target by its unhealthy probability.

        Args:
            now: Monotonic seconds.
            signal: How a request has just ended; None if none has.

        Returns:
            Whether the target was ejected or reinstated.
        """
        unhealthy_probability = self.unhealthy_probability(now)
        if not self.ejected and unhealthy_probability > EJECTION_THRESHOLD:
            self.ejected_since = now
            self._trial_sent = False
            failed = signal not in (None, Signal.SUCCESS, Signal.SHED)
            self.signal = signal if failed else Signal.OVERDUE
            self._next_trial_at = now + TRIAL_INTERVAL_SECONDS
        elif (
            self.ejected
            and unhealthy_probability < self._reinstatement_threshold
        ):
            self.ejected_since = None
        else:
            return False
        self._record_change(
            EjectionChange(
                now, self.ejected, self.signal, round(unhealthy_probability, 3)
            )
        )
        if not self.ejected:
            self.signal = Signal.SUCCESS
        return True

    def allows_trial(self, now: float) -> bool:
        """Whether an idempotent request may be sent as a trial now."""
        return now >= self._next_trial_at and not self._trial_pending(now)

    def exclude_pause(self, seconds: float) -> None:
        """Excludes a pause of this process from the age of requests."""
        for record in self._request_by_id.values():
            record.started += seconds

    @property
    def _reinstatement_threshold(self) -> float:
        return (
            REINSTATEMENT_THRESHOLD
            if self._trial_sent
            else UNTRIED_REINSTATEMENT_THRESHOLD
        )

    def _trial_pending(self, now: float) -> bool:
        """Whether a trial request is in flight that is not late yet."""
        since = self.ejected_since if self.ejected_since is not None else now
        return any(
            record.started >= since
            and record.distribution.survival(now - record.started)
            > LATE_SURVIVAL
            for record in self._request_by_id.values()
        )

    def _apply_final_evidence(self, now: float) -> None:
        """Updates the probability with requests that are final evidence."""
        count = 0
        for record in self._requests:
            if record.age_at_end is None and self._is_inconclusive(record, now):
                break
            probability = predict(
                self._probability, record.started - self._probability_at
            )
            self._probability = self._update(probability, record, now)
            self._probability_at = record.started
            count += 1
        del self._requests[:count]

    def _is_inconclusive(self, record: _Request, now: float) -> bool:
        return (
            record.distribution.survival(now - record.started)
            > CONCLUSIVE_SURVIVAL
        )

    def _update(
        self, probability: float, record: _Request, now: float
    ) -> float:
        odds = (
            probability
            / (1 - probability)
            * self._likelihood_ratio(record, now)
        )
        return min(MAX_CONFIDENCE, max(1 - MAX_CONFIDENCE, odds / (1 + odds)))

    def _likelihood_ratio(self, record: _Request, now: float) -> float:
        """Likelihood ratio of a request: unhealthy against healthy target."""
        if record.signal is Signal.SUCCESS:
            return 1 - UNHEALTHY_FAILURE_RATE
        if record.signal is Signal.SHED:
            return 1.0
        if record.signal is not None:
            healthy = HEALTHY_FAILURE_RATE_BY_SIGNAL.get(
                record.signal, record.error_rate
            )
            return UNHEALTHY_FAILURE_RATE / healthy
        age = (
            now - record.started
            if record.age_at_end is None
            else record.age_at_end
        )
        survival = record.distribution.survival(age)
        still_running = (
            1.0 if age < FAST_FAILURE_SECONDS else self._slow_failure_share
        )
        unhealthy = (
            1 - UNHEALTHY_FAILURE_RATE
        ) * survival + UNHEALTHY_FAILURE_RATE * still_running
        overdue_rate = HEALTHY_FAILURE_RATE_BY_SIGNAL[Signal.OVERDUE]
        return unhealthy / (overdue_rate + (1 - overdue_rate) * survival)

    def _record_error(self, signal: Signal | None) -> None:
        """Updates the error rate of the target."""
        if signal not in (Signal.SUCCESS, Signal.ERROR):
            return
        error_rate = self._error_rate + ERROR_RATE_GAIN * (
            (signal is Signal.ERROR) - self._error_rate
        )
        self._error_rate = min(MAX_ERROR_RATE, max(MIN_ERROR_RATE, error_rate))

    def _record_failure_speed(self, record: _Request, age: float) -> None:
        """Updates the share of failures that are slow."""
        was_overdue = record.distribution.survival(age) < LATE_SURVIVAL
        if record.signal is None and not was_overdue:
            # A request that was cancelled early is no evidence.
            return
        slow = float(age > FAST_FAILURE_SECONDS)
        self._slow_failure_share += SLOW_FAILURE_GAIN * (
            slow - self._slow_failure_share
        )

    def _record_change(self, change: EjectionChange) -> None:
        self.changes.append(change)
        del self.changes[:-MAX_CHANGES]
