"""Retry budgets of all services that one process sends to.

Each service has a budget of its own. The calls that a retried run makes to
other services are charged to their budgets.
"""

import dataclasses
import math
from collections.abc import Callable

from forklift import retry_budget


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the retry budgets, shared by all processes.

    Attributes:
        ratio: Retries allowed per request to a service.
        window: Seconds over which requests and retries are counted.
        reserve: Retries allowed in each window regardless of the ratio.
        calls: Maximum average number of calls that one run makes to another
            service. The calls of a retried run count as retries there.
    """

    ratio: float = 0.1
    window: float = 10.0
    reserve: float = 5.0
    calls: float = 1.0


class RetryBudgets:
    """Retry budgets by service.

    Attributes:
        limits: Limits of all budgets.
        shortest_objective_by_service: Shortest latency objective of the routes
            of each service, in seconds.
    """

    def __init__(self, limits: Limits, count_processes: Callable[[], int]):
        """Creates the budgets of a process without services.

        Args:
            limits: Limits of all budgets.
            count_processes: Returns the number of known processes including
                this one; 0 until the first contact.
        """
        self.limits = limits
        self.shortest_objective_by_service: dict[str, float] = {}
        self._count_processes = count_processes
        self._budget_by_service: dict[str, retry_budget.RetryBudget] = {}

    def set_limits(self, limits: Limits) -> None:
        """Changes the limits of all retry budgets and keeps their counts."""
        self.limits = limits
        for budget in self._budget_by_service.values():
            budget.set_limits(limits.ratio, limits.window, limits.reserve)

    def for_service(self, service: str) -> retry_budget.RetryBudget:
        """Returns the budget of a service, created if it is missing."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            limits = self.limits
            budget = self._budget_by_service[service] = (
                retry_budget.RetryBudget(
                    limits.ratio, limits.window, limits.reserve
                )
            )
        return budget

    def spend(
        self,
        service: str,
        now: float,
        share: float = 1.0,
        objective: float = math.inf,
    ) -> bool:
        """Charges a retry to the budget of a service, if any is left.

        The calls made by a retried run are charged as retries, too. A call
        ends before the run that makes it, so only services with a route of a
        shorter latency objective can be called.

        Args:
            service: Name of the service.
            now: Monotonic seconds.
            share: Fraction of the budget that this kind of retry may use.
            objective: Latency objective of the route, seconds.

        Returns:
            Whether the retry is allowed.
        """
        budget = self.for_service(service)
        if not budget.spend(now, self._count_processes(), share):
            return False
        for name, other in self._budget_by_service.items():
            may_be_called = (
                self.shortest_objective_by_service.get(name, 0.0) < objective
            )
            if may_be_called and name != service:
                other.charge_calls(now, self.limits.calls)
        return True

    def usable(self, service: str, now: float) -> float:
        """Returns the retries that this process may make in a window."""
        budget = self.for_service(service)
        return budget.usable(now, self._count_processes())

    def used(self, service: str, now: float) -> float:
        """Returns the retries and charged calls of the current window."""
        return self.for_service(service).used(now)

    def record_refusal(self, service: str) -> None:
        """Counts a retry that was refused before it was charged."""
        self.for_service(service).refused += 1

    def refused(self, service: str) -> int:
        """Returns the number of retries to a service refused by the budget."""
        budget = self._budget_by_service.get(service)
        return budget.refused if budget is not None else 0
