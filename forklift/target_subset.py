"""Selects the targets of a service that a process sends to.

In a service of many targets, a process sends to some of them only, so that it
needs few connections. It always sends to its local targets, which it must keep
in use, and for a short time to targets that were announced to it as idle.
"""

from collections.abc import Mapping

from forklift import rendezvous
from forklift import target_view

# Maximum number of targets that are drawn from those of other processes.
SUBSET_SIZE = 64


class TargetSubset:
    """The targets of one service that one process sends to."""

    def __init__(self, process: str):
        """Creates the subset of a service without targets.

        Args:
            process: Name of the process.
        """
        self._process = process
        self._drawn: list[str] | None = None
        # Targets outside of `_drawn`.
        self._announced: set[str] = set()

    def invalidate(self) -> None:
        """Draws the targets again, as those of the service have changed."""
        self._drawn = None

    def announce(self, target: str) -> None:
        """Adds a target for as long as its announcement holds."""
        self._announced.add(target)

    def names(
        self, view_by_target: Mapping[str, target_view.TargetView], now: float
    ) -> list[str]:
        """Returns the names of the targets to send to.

        Args:
            view_by_target: All known targets of the service.
            now: Monotonic seconds.
        """
        if self._drawn is None:
            self._drawn = self._draw(view_by_target)
        if not self._announced:
            return self._drawn
        self._announced = {
            name
            for name in self._announced.difference(self._drawn)
            if name in view_by_target and view_by_target[name].wants_work(now)
        }
        return self._drawn + sorted(self._announced)

    def _draw(
        self, view_by_target: Mapping[str, target_view.TargetView]
    ) -> list[str]:
        local = [
            name
            for name, view in view_by_target.items()
            if view.process == self._process
        ]
        others = rendezvous.select(
            self._process, view_by_target.keys() - local, SUBSET_SIZE
        )
        return sorted(local + others)
