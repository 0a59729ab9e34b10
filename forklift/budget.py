"""The budget of repeats: how many arrivals beyond the first are allowed.

All processes together keep one bound for each service: in any window, repeats
may be at most a ratio of the requests plus a reserve. Each process keeps its
own part of it by what it sees itself, so the sum is right without asking
anybody, also while some processes are cut off.
"""

import collections

# Part of the allowance that is used; the rest covers calls that repeated runs
# make themselves, which no process can see (trials: about 0.7 calls a run).
USED_SHARE = 0.85


class Window:
    """Counts events of the last seconds.

    >>> window = Window(10.0)
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


class Budget:
    """The part of one process in the budget of one service.

    >>> budget = Budget(ratio=0.5, window=10.0, reserve=2.0)
    >>> budget.spend(0.0, 1), budget.spend(0.0, 1)
    (True, False)
    """

    def __init__(self, ratio: float, window: float, reserve: float):
        self._ratio = ratio
        self._reserve = reserve
        self._requests = Window(window)
        self._repeats = Window(window)
        self._most_processes = 1
        self.refused = 0

    def bound(self, ratio: float, window: float, reserve: float) -> None:
        """Takes other bounds; what was counted stays."""
        self._ratio = ratio
        self._reserve = reserve
        self._requests.seconds = window
        self._repeats.seconds = window

    def request(self, now: float) -> None:
        """A request of the service was taken from a caller."""
        self._requests.add(now)

    def spend(self, now: float, processes: int) -> bool:
        """Takes one repeat, if this process still has one.

        Args:
            now: Monotonic seconds.
            processes: Processes known, this one too. Fewer than before may
                mean a cut, so the most ever known divides the reserve.
        """
        self._most_processes = max(self._most_processes, processes)
        reserve = self._reserve / self._most_processes
        allowed = self._ratio * self._requests.count(now) + reserve
        if self._repeats.count(now) + 1 > USED_SHARE * allowed:
            self.refused += 1
            return False
        self._repeats.add(now)
        return True
