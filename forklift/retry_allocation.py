"""Decides which request gets a retry while the retry budget is short.

Load handled: many targets of a service reject a large share of the requests at
the same time, always as not run. A request then needs 1 / (1 - share rejected)
sends for one response, and all requests together need more retries than the
budget allows. One process has room for a handful of retries per window, so the
decision compares small numbers: what is left of the budget with what more
valuable requests are expected to need until spent retries return to it.

The allocation only refuses retries that the budget would allow. It never allows
one that the budget refuses, so the limit over all processes holds unchanged.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Callable

from forklift import messages
from forklift import rates
from forklift import retry_budget
from forklift import retry_budgets

# Expected number of sends for one response above which a request is not
# retried. With 5 sends, 4 in 5 are rejected, and a request that may be sent to
# three targets, the default of routes, is more likely refused than answered.
MAX_SENDS_PER_RESPONSE = 5.0
# Minimum probability that the response of a retry meets the latency objective.
# Below it, the retry is more likely late, and its slot is lost for others.
MIN_IN_TIME = 0.5
# Share of the budget that only non-idempotent requests may use, as far as they
# are expected to need it. A retry after a rejection is their only second
# chance, so even the least urgent of them keeps a part. Half as much as all
# others together keeps the order by priority in force for the larger part.
NON_IDEMPOTENT_RESERVE = 1 / 3
# Share of the budget up to which every retry is granted, as without the
# allocation. Single rejections are normal and need no order; with a quarter, a
# process that may make four retries in a window grants the first one to anyone.
PLENTY_SHARE = 0.25
# Time constant of the shares of rejected and failed sends by which the need of
# other requests is estimated, seconds. A longer one notices a change only after
# the budget is spent; a shorter one has too few sends at each process and
# refuses retries that the budget suffices for.
RECENT_SECONDS = 2.0
# Weight of the assumption that no recent send is lost, in sends.
RECENT_PRIOR = 0.5
# Time constant of the share of rejected sends by which requests are refused,
# seconds. A process with a few sends per second needs several seconds for it.
SHARE_DECAY_SECONDS = 4.0
# Weight of the assumption that no send is rejected, in sends. A process that
# has just started would otherwise take its first rejection for a share of 1.
PRIOR_SENDS = 2.0
# Priorities from this one on are treated alike, which bounds the state.
MAX_PRIORITY = 9
# Maximum number of services with state; the least recently used is evicted.
MAX_SERVICES = 256
# Retry-After while no send is rejected, seconds. It grows with the expected
# number of sends for one response, so that repeated requests do not arrive
# faster than targets accept them.
RETRY_AFTER_SECONDS = 0.5
# Maximum of Retry-After, seconds. The share of rejected sends says little about
# a later time.
MAX_RETRY_AFTER_SECONDS = SHARE_DECAY_SECONDS


class Cause(enum.StrEnum):
    """Why a request is sent again."""

    REJECTED = "rejected"
    FAILED = "failed"
    HEDGE = "hedge"


class Verdict(enum.StrEnum):
    """Result of a decision."""

    GRANTED = "granted"
    # More valuable requests are expected to need the rest of the budget.
    OUTRANKED = "outranked"
    # A response would need too many sends.
    REJECTING = "rejecting"
    # A response would probably miss the latency objective.
    LATE = "late"
    # The retry budget itself is exhausted.
    EXHAUSTED = "exhausted"


@dataclasses.dataclass(frozen=True)
class Request:
    """What the allocation needs to know of a request.

    Attributes:
        service: Name of the service.
        priority: Priority of the request; 0 is the most urgent. A call has the
            priority of the run that it belongs to.
        idempotent: Whether the request is idempotent.
        max_attempts: Maximum number of targets that the request is sent to.
        objective: Latency objective of the route, seconds.
    """

    service: str
    priority: int
    idempotent: bool
    max_attempts: int
    objective: float = math.inf

    @property
    def rank(self) -> int:
        """Priority, bounded."""
        return max(0, min(MAX_PRIORITY, self.priority))


@dataclasses.dataclass(frozen=True)
class Retry:
    """A retry or hedge that a request asks for.

    Attributes:
        request: The request.
        cause: Why the request is sent again.
        in_time: Probability that a run which starts now meets the latency
            objective.
        share: Fraction of the budget that this kind of retry may use.
    """

    request: Request
    cause: Cause
    in_time: float = 1.0
    share: float = 1.0


@dataclasses.dataclass(frozen=True)
class Decision:
    """A decision and its inputs.

    Attributes:
        verdict: The decision.
        rank: Bounded priority of the request.
        cause: Why the request is sent again.
        rejected: Share of recent sends that targets rejected, 0 to 1.
        in_time: Probability that a response meets the latency objective.
        usable: Retries that this process may make in a window.
        used: Retries made in the current window.
        kept: Retries kept for more valuable requests.
    """

    verdict: Verdict
    rank: int
    cause: Cause
    rejected: float
    in_time: float
    usable: float
    used: float
    kept: float

    @property
    def granted(self) -> bool:
        """Whether the retry may be made."""
        return self.verdict is Verdict.GRANTED

    def log_fields(self) -> dict[str, object]:
        """Returns the decision and its inputs for a log line."""
        fields = dataclasses.asdict(self)
        return {
            key: round(value, 2) if isinstance(value, float) else value
            for key, value in fields.items()
        }


class _Class(enum.IntEnum):
    """Kinds of retries of one priority, the most valuable first."""

    # Its only second chance.
    NON_IDEMPOTENT = 0
    # A target has done the work of the request already, and without a retry
    # the caller receives an error that may not be safe to repeat.
    AFTER_FAILURE = 1
    # Not run: the caller can repeat the request without any risk.
    AFTER_REJECTION = 2


# Key of a kind of retries: the lower, the more valuable.
_Key = tuple[int, _Class]


class _Shares:
    """Shares of recent sends that were rejected or failed."""

    def __init__(self, seconds: float, prior: float):
        """Creates the shares of a process without sends.

        Args:
            seconds: Time constant.
            prior: Weight of the assumption that no send is lost, in sends.
        """
        self.sends = rates.DecayingCounter(seconds)
        self.rejections = rates.DecayingCounter(seconds)
        self.failures = rates.DecayingCounter(seconds)
        self._prior = prior

    def rejected(self, now: float) -> float:
        """Share of the sends that targets rejected."""
        return self._share(self.rejections, now)

    def failed(self, now: float) -> float:
        """Share of the sends that failed."""
        return self._share(self.failures, now)

    def _share(self, lost: rates.DecayingCounter, now: float) -> float:
        return lost.count(now) / (self._prior + self.sends.count(now))


class _ServiceState:
    """What one process knows of the sends to one service.

    Attributes:
        retries_by_key: Granted retries in the window.
    """

    def __init__(self):
        self._recent = _Shares(RECENT_SECONDS, RECENT_PRIOR)
        self._smoothed = _Shares(SHARE_DECAY_SECONDS, PRIOR_SENDS)
        self._requests_by_kind: dict[
            tuple[int, bool], retry_budget.SlidingWindow
        ] = {}
        # Limit of the latest request of each kind.
        self._max_attempts_by_kind: dict[tuple[int, bool], int] = {}
        self.retries_by_key: dict[_Key, retry_budget.SlidingWindow] = {}

    def record_first_send(
        self, request: Request, now: float, window: float
    ) -> None:
        """Records that a request reached a target for the first time."""
        kind = request.rank, request.idempotent
        self._max_attempts_by_kind[kind] = request.max_attempts
        _add(self._requests_by_kind, kind, now, window)

    def record_send(self, rejected: bool, now: float) -> None:
        """Records the end of a send that reached a target."""
        for shares in (self._recent, self._smoothed):
            shares.sends.record(now)
            if rejected:
                shares.rejections.record(now)

    def record_failure(self, now: float) -> None:
        """Records that a send failed and may be retried."""
        self._recent.failures.record(now)

    def rejected_share(self, now: float) -> float:
        """Share of recent sends that targets rejected."""
        return self._smoothed.rejected(now)

    def needed(self, now: float, window: float) -> dict[_Key, float]:
        """Returns the retries that requests are still expected to need.

        As many requests are assumed in the next window as in the last one.
        Retries granted in the last window return to the budget within the next
        one, so they are subtracted.
        """
        needed: dict[_Key, float] = {}
        rejected, failed = self._recent.rejected(now), self._recent.failed(now)
        for (rank, idempotent), requests in self._requests_by_kind.items():
            requests.seconds = window
            count = requests.count(now)
            attempts = self._max_attempts_by_kind[rank, idempotent]
            if not idempotent:
                retries = count * _mean_retries(rejected, attempts)
                needed[rank, _Class.NON_IDEMPOTENT] = retries
                continue
            lost = rejected + failed
            retries = count * _mean_retries(min(1.0, lost), attempts)
            after_failure = retries * failed / lost if lost else 0.0
            needed[rank, _Class.AFTER_FAILURE] = after_failure
            needed[rank, _Class.AFTER_REJECTION] = retries - after_failure
        return {
            key: max(0.0, retries - self.granted(key, now, window))
            for key, retries in needed.items()
        }

    def granted(self, key: _Key, now: float, window: float) -> int:
        """Returns the number of granted retries of a kind in the window."""
        retries = self.retries_by_key.get(key)
        if retries is None:
            return 0
        retries.seconds = window
        return retries.count(now)

    def granted_non_idempotent(self, now: float, window: float) -> int:
        """Returns the granted retries of non-idempotent requests."""
        return sum(
            self.granted(key, now, window)
            for key in self.retries_by_key
            if key[1] is _Class.NON_IDEMPOTENT
        )


class RetryAllocation:
    """Allocates the retries of one process among its requests.

    Attributes:
        is_enabled: Returns whether the allocation is in force. While it is not,
            the retry budget alone decides.
        count_by_decision: Number of retries by rank, cause and verdict, since
            the start of the process. A hedge is asked for repeatedly while it
            is refused, and each time counts.
    """

    def __init__(
        self,
        budgets: retry_budgets.RetryBudgets,
        is_enabled: Callable[[], bool],
    ):
        self.is_enabled = is_enabled
        self.count_by_decision: collections.Counter[
            tuple[int, Cause, Verdict]
        ] = collections.Counter()
        self._budgets = budgets
        self._state_by_service: collections.OrderedDict[str, _ServiceState] = (
            collections.OrderedDict()
        )

    def record_send(
        self,
        request: Request,
        outcome: messages.Outcome,
        reason: messages.Reason | None,
        is_first: bool,
        now: float,
    ) -> None:
        """Records the end of a send, if it reached a target.

        Args:
            request: The request.
            outcome: How the send ended.
            reason: Why there is no response.
            is_first: Whether the request had not reached a target before.
            now: Monotonic seconds.
        """
        rejected = reason is messages.Reason.SHED
        if outcome is messages.Outcome.NOT_RUN and not rejected:
            return
        state = self._state(request.service)
        state.record_send(rejected, now)
        if is_first:
            state.record_first_send(request, now, self._window)

    def record_failure(self, request: Request, now: float) -> None:
        """Records that a send failed and the request may be retried."""
        self._state(request.service).record_failure(now)

    def decide(self, retry: Retry, now: float, draw: float) -> Decision:
        """Decides whether a request may be retried; spends nothing.

        Args:
            retry: The retry.
            now: Monotonic seconds.
            draw: A random number from 0 to 1, the same for all decisions on
                one request.
        """
        service = retry.request.service
        state = self._state(service)
        usable = self._budgets.usable(service, now)
        used = self._budgets.used(service, now)
        rejected = state.rejected_share(now)
        needed = state.needed(now, self._window)
        room = retry.share * usable - used
        kept = 0.0
        plenty = (
            used + 1 <= PLENTY_SHARE * usable
            or usable - used >= sum(needed.values())
            or self._covers(rejected, retry.request.max_attempts)
        )
        if room < 1:
            verdict = Verdict.EXHAUSTED
        elif plenty:
            verdict = Verdict.GRANTED
        elif MAX_SENDS_PER_RESPONSE * (1 - rejected) < 1:
            verdict = Verdict.REJECTING
        elif retry.in_time < MIN_IN_TIME:
            verdict = Verdict.LATE
        else:
            reserve = max(
                0.0,
                NON_IDEMPOTENT_RESERVE * usable
                - state.granted_non_idempotent(now, self._window),
            )
            left = _left(retry, room, needed, reserve)
            kept = room - left
            # A fraction of a retry is granted with this probability, so that
            # budgets of a few retries are not rounded down to none.
            is_granted = left >= 1 or draw < left
            verdict = Verdict.GRANTED if is_granted else Verdict.OUTRANKED
        return Decision(
            verdict,
            retry.request.rank,
            retry.cause,
            rejected,
            retry.in_time,
            usable,
            used,
            kept,
        )

    def would_grant(self, retry: Retry, now: float, draw: float) -> bool:
        """Returns whether a retry would be allowed; spends and counts nothing.

        Args:
            retry: The retry.
            now: Monotonic seconds.
            draw: As for `decide`.
        """
        if self.is_enabled():
            return self.decide(retry, now, draw).granted
        service = retry.request.service
        usable = retry.share * self._budgets.usable(service, now)
        return usable - self._budgets.used(service, now) >= 1

    def check(self, retry: Retry, now: float, draw: float) -> Decision | None:
        """Checks whether a request may be retried; spends nothing.

        Args:
            retry: The retry.
            now: Monotonic seconds.
            draw: As for `decide`.

        Returns:
            The refusal, which is counted; None if the retry is allowed.
        """
        if not self.is_enabled():
            return None
        decision = self.decide(retry, now, draw)
        if decision.granted:
            return None
        self._count(retry, decision.verdict)
        if decision.verdict is Verdict.EXHAUSTED:
            self._budgets.record_refusal(retry.request.service)
        return decision

    def spend(self, retry: Retry, now: float, draw: float) -> bool:
        """Charges a retry to the budget if it is allowed.

        Args:
            retry: The retry.
            now: Monotonic seconds.
            draw: As for `decide`.

        Returns:
            Whether the retry is allowed.
        """
        if self.check(retry, now, draw) is not None:
            return False
        request = retry.request
        if not self._budgets.spend(
            request.service, now, retry.share, request.objective
        ):
            return False
        if self.is_enabled():
            self._count(retry, Verdict.GRANTED)
            kind = _class(retry)
            if kind is not None:
                retries = self._state(request.service).retries_by_key
                _add(retries, (request.rank, kind), now, self._window)
        return True

    def retry_after(self, service: str, now: float) -> float:
        """Returns Retry-After of a rejected request, seconds, without jitter.

        Args:
            service: Name of the service.
            now: Monotonic seconds.
        """
        return _retry_after(self._state(service).rejected_share(now))

    def rejected_share_by_service(self, now: float) -> dict[str, float]:
        """Returns the share of recent sends that targets rejected."""
        return {
            service: round(state.rejected_share(now), 3)
            for service, state in self._state_by_service.items()
        }

    def _covers(self, rejected: float, attempts: int) -> bool:
        """Whether the ratio alone covers the retries after rejections.

        Without mass rejections nothing is kept: hedges and retries after
        failures would be refused for a need that does not come.
        """
        ratio = self._budgets.limits.ratio
        return _mean_retries(rejected, attempts) <= ratio

    @property
    def _window(self) -> float:
        return self._budgets.limits.window

    def _count(self, retry: Retry, verdict: Verdict) -> None:
        key = retry.request.rank, retry.cause, verdict
        self.count_by_decision[key] += 1

    def _state(self, service: str) -> _ServiceState:
        state = self._state_by_service.get(service)
        if state is None:
            state = self._state_by_service[service] = _ServiceState()
            if len(self._state_by_service) > MAX_SERVICES:
                self._state_by_service.popitem(last=False)
        self._state_by_service.move_to_end(service)
        return state


def _add(window_by_key: dict, key, now: float, seconds: float) -> None:
    """Adds an event to the window of a key, and discards old ones."""
    window = window_by_key.get(key)
    if window is None:
        window = window_by_key[key] = retry_budget.SlidingWindow(seconds)
    window.seconds = seconds
    window.add(now)
    window.count(now)


def _class(retry: Retry) -> _Class | None:
    """Returns the class of a retry; None for a hedge."""
    if retry.cause is Cause.HEDGE:
        return None
    if not retry.request.idempotent:
        return _Class.NON_IDEMPOTENT
    if retry.cause is Cause.FAILED:
        return _Class.AFTER_FAILURE
    return _Class.AFTER_REJECTION


def _mean_retries(lost: float, attempts: int) -> float:
    """Returns the mean number of retries of a request.

    Args:
        lost: Probability that a send needs a retry.
        attempts: Maximum number of sends.

    >>> _mean_retries(0.5, 3), _mean_retries(0.5, 1)
    (0.75, 0)
    """
    return sum(lost**number for number in range(1, attempts))


def _left(
    retry: Retry, room: float, needed: dict[_Key, float], reserve: float
) -> float:
    """Returns the part of the budget that is left for a retry.

    Args:
        retry: The retry.
        room: Part of the budget that is not used.
        needed: Retries that all requests are still expected to need.
        reserve: Part of the reserve of non-idempotent requests that is not
            used.
    """
    kind = _class(retry)
    if kind is None:
        # Hedges come after all retries.
        return room - sum(needed.values())
    own = retry.request.rank, kind
    left = room - sum(count for key, count in needed.items() if key < own)
    other_non_idempotent = {
        key: count
        for key, count in needed.items()
        if key[1] is _Class.NON_IDEMPOTENT and key != own
    }
    if kind is _Class.NON_IDEMPOTENT:
        # More urgent requests of the class come first in the reserve, too.
        reserve -= sum(
            count for key, count in other_non_idempotent.items() if key < own
        )
        return max(left, min(room, reserve))
    less_urgent = sum(
        count for key, count in other_non_idempotent.items() if key > own
    )
    return left - min(less_urgent, reserve)


def _retry_after(rejected: float) -> float:
    """Returns Retry-After, in seconds, without jitter.

    Args:
        rejected: Share of sends that targets reject.

    >>> _retry_after(0.0), _retry_after(0.5), _retry_after(1.0)
    (0.5, 1.0, 4.0)
    """
    accepted = max(RETRY_AFTER_SECONDS / MAX_RETRY_AFTER_SECONDS, 1 - rejected)
    return RETRY_AFTER_SECONDS / accepted
