"""Retry budget: limits retries and hedges to a share of the requests.

In any window, the retries of a service may not exceed a ratio of its requests
plus a reserve, over all processes. Each process applies the ratio to its own
requests and divides the reserve by the number of processes, so the limit holds
without coordination, also during a network partition.
"""

import collections

# Share of the budget that may be spent. The remainder covers retries in flight
# when the window moves.
USABLE_SHARE = 0.9


class SlidingWindow:
    """Counts events within a sliding window.

    >>> window = SlidingWindow(10.0)
    >>> window.add(0.0)
    >>> window.count(9.0), window.count(11.0)
    (1, 0)
    """

    def __init__(self, seconds: float):
        self.seconds = seconds
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Records an event."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Number of events within the window."""
        while self._times and self._times[0] <= now - self.seconds:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Share of one process in the retry budget of one service.

    >>> budget = RetryBudget(ratio=0.5, window=10.0, reserve=2.0)
    >>> budget.spend(0.0, 1), budget.spend(0.0, 1)
    (True, False)
    """

    def __init__(self, ratio: float, window: float, reserve: float):
        self._ratio = ratio
        self._reserve = reserve
        self._requests = SlidingWindow(window)
        self._retries = SlidingWindow(window)
        self._charged_calls = 0.0
        self._charges: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._window_seconds = window
        self._max_processes = 0
        self.refused = 0

    def set_limits(self, ratio: float, window: float, reserve: float) -> None:
        """Changes the limits and keeps the counted events.

        Args:
            ratio: Retries allowed for each request.
            window: Length of the window, seconds.
            reserve: Retries allowed in a window without requests, over all
                processes.
        """
        self._ratio = ratio
        self._reserve = reserve
        self._requests.seconds = window
        self._retries.seconds = window
        self._window_seconds = window

    def record_request(self, now: float) -> None:
        """Counts a caller's request to the service."""
        self._requests.add(now)

    def spend(self, now: float, processes: int, share: float = 1.0) -> bool:
        """Spends one retry; returns False if the budget is exhausted.

        Args:
            now: Monotonic seconds.
            processes: Number of known processes, including this one; 0 until
                the first peer is known, when the reserve can't be used. The
                reserve is divided by the highest number so far, as a lower
                number may be caused by a network partition.
            share: Fraction of the budget that this kind of retry may use.
        """
        if self.used(now) + 1 > share * self.usable(now, processes):
            self.refused += 1
            return False
        self._retries.add(now)
        return True

    def usable(self, now: float, processes: int) -> float:
        """Returns the number of retries that may be spent in a window.

        Args:
            now: Monotonic seconds.
            processes: Number of known processes, as for `spend`.
        """
        self._max_processes = max(self._max_processes, processes)
        reserve = 0.0
        if self._max_processes:
            reserve = self._reserve / self._max_processes
        allowed = self._ratio * self._requests.count(now) + reserve
        return USABLE_SHARE * allowed

    def used(self, now: float) -> float:
        """Returns the retries spent and calls charged within the window."""
        return self._retries.count(now) + self._count_charged_calls(now)

    def charge_calls(self, now: float, calls: float) -> None:
        """Charges the calls that a retry of another service may cause.

        Args:
            now: Monotonic seconds.
            calls: Mean number of calls to this service.
        """
        self._charges.append((now, calls))
        self._charged_calls += calls

    def _count_charged_calls(self, now: float) -> float:
        """Calls charged within the window for retries of other services."""
        while (
            self._charges and self._charges[0][0] <= now - self._window_seconds
        ):
            self._charged_calls -= self._charges.popleft()[1]
        return self._charged_calls
