"""Selects targets that were idle for too long.

While many requests fail, every sound target must stay in use. Each process
keeps its local target in use, independently of how other processes spread their
load. A target whose own process has too few callers is announced to others
(`idle_phases`).
"""

import collections
import random

from forklift import admission
from forklift import rates
from forklift import target_view

TargetView = target_view.TargetView

# Seconds within which every healthy target must receive a request while the
# failure rate is high.
CAPACITY_FLOOR_SECONDS = 2.0
# Share of failed requests from which the failure rate counts as high. The floor
# on capacity applies while a tenth or more fail.
HIGH_FAILURE_SHARE = 0.08
# Seconds without a request after which the local target receives the next
# idempotent request.
MAX_LOCAL_IDLE_SECONDS = 0.7
# Minimum seconds without a request before the local target receives the next
# request of any kind. This applies while the failure rate is high.
MIN_LOCAL_IDLE_SECONDS = 0.3
# Number of requests expected in the rest of `CAPACITY_FLOOR_SECONDS` at which
# the local target receives the next request of any kind. Four of five targets
# then receive one in time; an ingress process of a large fleet receives about
# one request a second.
EXPECTED_REQUESTS_LEFT = 1.6
# Seconds for which an announcement of an idle target holds. It must exceed the
# time between two announcements.
WORK_REQUEST_SECONDS = 0.6
# Reported idle time above which a target has never received a request.
MIN_UNUSED_IDLE_SECONDS = admission.UNUSED_IDLE_SECONDS - 10.0


class IdleSelection:
    """Selects idle targets for the requests of one process.

    Attributes:
        count_by_source: Number of requests sent to idle targets, by how this
            process knew of them: "local" or "announced".
    """

    def __init__(self, name: str, rng: random.Random):
        """Creates a selection.

        Args:
            name: Name of the process.
            rng: Source of randomness.
        """
        self.count_by_source: collections.Counter[str] = collections.Counter()
        self._name = name
        self._rng = rng

    def select_ejected(
        self, ejected: list[TargetView], now: float
    ) -> TargetView | None:
        """Returns an ejected target that waits long for a trial, if any."""
        waiting = [
            view
            for view in ejected
            if now >= view.next_trial_at
            and view.has_room(now)
            and self._waits_for_trial(view, now)
        ]
        if not waiting:
            return None
        view = self._rng.choice(waiting)
        self._count(view, now)
        return view

    def select_healthy(
        self,
        idempotent: bool,
        healthy: list[TargetView],
        failure_rate: rates.FailureRate,
        now: float,
    ) -> TargetView | None:
        """Returns a healthy target that was idle for too long, if any.

        Args:
            idempotent: Whether the request is idempotent.
            healthy: The healthy targets of the service.
            failure_rate: Failure rate of the service.
            now: Monotonic seconds.
        """
        max_idle = MAX_LOCAL_IDLE_SECONDS
        if not idempotent:
            max_idle = _max_idle_seconds(failure_rate, now)
        for view in healthy:
            if view.process == self._name and view.idle_seconds(now) > max_idle:
                if not view.probably_accepts(now):
                    return None
                self._count(view, now)
                return view
        return self._select_announced(idempotent, healthy, failure_rate, now)

    def _select_announced(
        self,
        idempotent: bool,
        healthy: list[TargetView],
        failure_rate: rates.FailureRate,
        now: float,
    ) -> TargetView | None:
        """Returns a target that another process announced as idle, if any.

        An idempotent request can be retried if the target turns out to be
        unhealthy. Any other goes there only while requests fail anyway, if the
        target has never received one, or if it asks for any, as no idempotent
        request has reached it that could show its health.
        """
        announced = [
            view
            for view in healthy
            if view.wants_work(now) and view.probably_accepts(now)
        ]
        if not idempotent:
            is_failing = failure_rate.combined(now) >= HIGH_FAILURE_SHARE
            announced = [
                view
                for view in announced
                if _takes_any_kind(view, is_failing, now)
            ]
        if not announced:
            return None
        # Several processes know of the same targets.
        view = self._rng.choice(announced)
        self._count(view, now)
        return view

    def _waits_for_trial(self, view: TargetView, now: float) -> bool:
        is_local = view.process == self._name
        is_idle = view.idle_seconds(now) > MAX_LOCAL_IDLE_SECONDS
        return view.wants_work(now) or (is_local and is_idle)

    def _count(self, view: TargetView, now: float) -> None:
        """Counts a request for an idle target, which asked for a single one."""
        view.work_requested_until = now
        source = "local" if view.process == self._name else "announced"
        self.count_by_source[source] += 1


def _takes_any_kind(view: TargetView, is_failing: bool, now: float) -> bool:
    """Whether an announced target gets a request that must run once."""
    idle_seconds = view.idle_seconds(now)
    if not view.asks_for_any_kind:
        return is_failing or idle_seconds > MIN_UNUSED_IDLE_SECONDS
    # One that goes on asking after a first success is not idle.
    return not is_failing or idle_seconds > MAX_LOCAL_IDLE_SECONDS


def _max_idle_seconds(failure_rate: rates.FailureRate, now: float) -> float:
    """Returns the idle time after which a target gets the next request.

    While the failure rate is low, only a target that has never received a
    request gets it. At startup, the health of the others is unknown, too.
    """
    if failure_rate.combined(now) < HIGH_FAILURE_SHARE:
        return MIN_UNUSED_IDLE_SECONDS
    lead_time = EXPECTED_REQUESTS_LEFT * failure_rate.requests.mean_interval(
        now
    )
    return max(MIN_LOCAL_IDLE_SECONDS, CAPACITY_FLOOR_SECONDS - lead_time)
