"""The budget of repeats: how many arrivals beyond the first are allowed.

All processes together keep one bound for each service: in any window, repeats
may be at most a ratio of the requests plus a reserve. Each process keeps its
own part of it by what it sees itself, so the sum is right without asking
anybody, also while some processes are cut off.
"""

import collections

# Part of the allowance that is used; the rest covers what is on its way when
# the window moves.
USABLE_SHARE = 0.9


class SlidingWindow:
    """Counts events of the last seconds.

    >>> window = SlidingWindow(10.0)
    >>> window.add(0.0)
    >>> window.count(9.0), window.count(11.0)
    (1, 0)
    """

    def __init__(self, seconds: float):
        self.seconds = seconds
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """An event happened."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Events within the window."""
        while self._times and self._times[0] <= now - self.seconds:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """The part of one process in the budget of one service.

    >>> budget = RetryBudget(ratio=0.5, window=10.0, reserve=2.0)
    >>> budget.spend(0.0, 1), budget.spend(0.0, 1)
    (True, False)
    """

    def __init__(self, ratio: float, window: float, reserve: float):
        self._ratio = ratio
        self._reserve = reserve
        self._requests = SlidingWindow(window)
        self._repeats = SlidingWindow(window)
        self._charged = 0.0
        self._charges: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._window = window
        self._most_processes = 0
        self.refused = 0

    def set_limits(self, ratio: float, window: float, reserve: float) -> None:
        """Takes other bounds; what was counted stays."""
        self._ratio = ratio
        self._reserve = reserve
        self._requests.seconds = window
        self._repeats.seconds = window
        self._window = window

    def record_request(self, now: float) -> None:
        """A request of the service was taken from a caller."""
        self._requests.add(now)

    def spend(self, now: float, processes: int, share: float = 1.0) -> bool:
        """Takes one repeat, if this process still has one.

        Args:
            now: Monotonic seconds.
            processes: Processes known, this one too; 0 before any were met:
                many may have started with this one, so none of the reserve
                is its own yet. Fewer than before may mean a cut, so the most
                ever known divides the reserve.
            share: Part of the allowance that this repeat may be the last of.
        """
        self._most_processes = max(self._most_processes, processes)
        reserve = 0.0
        if self._most_processes:
            reserve = self._reserve / self._most_processes
        allowed = self._ratio * self._requests.count(now) + reserve
        used = self._repeats.count(now) + self._called(now)
        if used + 1 > USABLE_SHARE * share * allowed:
            self.refused += 1
            return False
        self._repeats.add(now)
        return True

    def charge_calls(self, now: float, calls: float) -> None:
        """A repeat of another service may make calls to this one.

        Args:
            now: Monotonic seconds.
            calls: Calls that it makes, on average.
        """
        self._charges.append((now, calls))
        self._charged += calls

    def _called(self, now: float) -> float:
        """Calls within the window that repeats of other services may make."""
        while self._charges and self._charges[0][0] <= now - self._window:
            self._charged -= self._charges.popleft()[1]
        return self._charged
