"""Simulates retries of a fleet while targets reject a share of the requests.

Each process has the real retry budgets and the real allocation on simulated
time. Targets accept or reject each send at random, independently of the others.
"""

import bisect
import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from forklift import messages
from forklift import retry_allocation
from forklift import retry_budgets

# Seconds until a target's rejection arrives.
REJECTION_SECONDS = 0.01


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests of one route.

    Attributes:
        name: Name of the route.
        request: What the allocation knows of a request.
        rate: Requests per second at each process.
        work: Mean seconds of work.
    """

    name: str
    request: retry_allocation.Request
    rate: float
    work: float


class Tally:
    """What became of the requests of one kind.

    Attributes:
        asked: Number of requests.
        served: Number of served requests.
        sends: Number of sends.
    """

    def __init__(self):
        self.asked = 0
        self.served = 0
        self.sends = 0

    @property
    def served_share(self) -> float:
        """Share of the requests that were served."""
        return self.served / self.asked


class Fleet:
    """Processes that send to one service.

    Attributes:
        tally_by_name: Requests that arrived in the measured time, by kind.
        request_times: Arrivals of all requests.
        retry_times: Times of all retries.
    """

    def __init__(
        self,
        processes: int,
        limits: retry_budgets.Limits,
        kinds: list[Kind],
        rejected_share: Callable[[float], float],
        is_enabled: bool,
        seed: int,
        known_processes: Callable[[int, float], int] | None = None,
    ):
        """Creates a fleet.

        Args:
            processes: Number of processes.
            limits: Limits of the retry budgets.
            kinds: The requests.
            rejected_share: Returns the share of sends that targets reject at
                a time.
            is_enabled: Whether the allocation is in force.
            seed: Seed of all random draws.
            known_processes: Returns the number of processes that a process
                knows at a time; all of them by default.
        """
        self._rng = random.Random(seed)
        self._kinds = kinds
        self._rejected_share = rejected_share
        self._known = known_processes or (lambda number, now: processes)
        self.now = 0.0
        self.allocations = []
        for number in range(processes):
            budgets = retry_budgets.RetryBudgets(
                limits, lambda number=number: self._known(number, self.now)
            )
            self.allocations.append(
                (
                    budgets,
                    retry_allocation.RetryAllocation(
                        budgets, lambda: is_enabled
                    ),
                )
            )
        self.tally_by_name: collections.defaultdict[str, Tally] = (
            collections.defaultdict(Tally)
        )
        self.request_times: list[float] = []
        self.retry_times: list[float] = []

    def run(self, until: float, measured: tuple[float, float]) -> None:
        """Runs all requests that arrive until a time.

        Args:
            until: End of the arrivals.
            measured: Begin and end of the arrivals that are tallied.
        """
        order = itertools.count()
        events: list = []

        def schedule(at: float, action, *arguments) -> None:
            heapq.heappush(events, (at, next(order), action, arguments))

        def arrive(number: int, kind: Kind) -> None:
            at = self.now + self._rng.expovariate(kind.rate)
            if at < until:
                schedule(at, arrive, number, kind)
            budgets, _ = self.allocations[number]
            service = kind.request.service
            budgets.for_service(service).record_request(self.now)
            self.request_times.append(self.now)
            is_measured = measured[0] <= self.now < measured[1]
            tally = self.tally_by_name[kind.name] if is_measured else Tally()
            tally.asked += 1
            send(number, kind, tally, 1, self._rng.random())

        def send(
            number: int, kind: Kind, tally: Tally, sends: int, draw: float
        ) -> None:
            tally.sends += 1
            is_rejected = self._rng.random() < self._rejected_share(self.now)
            seconds = REJECTION_SECONDS
            if not is_rejected:
                seconds = kind.work * self._rng.lognormvariate(0.0, 0.25)
            schedule(
                self.now + seconds,
                finish,
                number,
                kind,
                tally,
                sends,
                draw,
                is_rejected,
            )

        def finish(
            number: int,
            kind: Kind,
            tally: Tally,
            sends: int,
            draw: float,
            is_rejected: bool,
        ) -> None:
            _, allocation = self.allocations[number]
            allocation.record_send(
                kind.request,
                messages.Outcome.NOT_RUN
                if is_rejected
                else messages.Outcome.ANSWERED,
                messages.Reason.SHED if is_rejected else None,
                sends == 1,
                self.now,
            )
            if not is_rejected:
                tally.served += 1
                return
            if sends >= kind.request.max_attempts:
                return
            retry = retry_allocation.Retry(
                kind.request, retry_allocation.Cause.REJECTED
            )
            if allocation.spend(retry, self.now, draw):
                self.retry_times.append(self.now)
                send(number, kind, tally, sends + 1, draw)

        for number, kind in itertools.product(
            range(len(self.allocations)), self._kinds
        ):
            at = self._rng.expovariate(kind.rate)
            schedule(at, arrive, number, kind)
        while events:
            self.now, _, action, arguments = heapq.heappop(events)
            action(*arguments)

    def total(self) -> Tally:
        """Returns the sum of all tallies."""
        total = Tally()
        for tally in self.tally_by_name.values():
            total.asked += tally.asked
            total.served += tally.served
            total.sends += tally.sends
        return total

    def max_budget_use(self, limits: retry_budgets.Limits) -> float:
        """Returns the largest share of the budget of all processes in use.

        Retries of any window are compared with what the requests of the same
        window, or of the one before, allow.
        """
        worst = 0.0
        for start in self.retry_times:
            end = start + limits.window
            retries = _count(self.retry_times, start, end)
            requests = max(
                _count(self.request_times, start, end),
                _count(self.request_times, start - limits.window, start),
            )
            allowed = limits.ratio * requests + limits.reserve
            worst = max(worst, retries / allowed)
        return worst


def _count(times: list[float], start: float, end: float) -> int:
    """Number of sorted times from a start to before an end."""
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)
