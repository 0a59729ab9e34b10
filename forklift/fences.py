"""What a guard knows for certain of starts: the base of 'not run'.

A request is named by the boot and number that its sender gave it. Once it is
fenced it never starts; once it has started it is never reported as not run.
"""

import collections
import dataclasses
from typing import TypeAlias

from forklift import invariants

RETENTION_SECONDS = 150.0
RequestKey: TypeAlias = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Mark:
    until: float
    started: bool


class Fences:
    """Starts and fences of a guard, each remembered past any deadline."""

    def __init__(self):
        self._mark_by_id: collections.OrderedDict[RequestKey, _Mark] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._mark_by_id)

    def may_start(self, request: RequestKey) -> bool:
        """Whether it was neither started nor fenced."""
        return request not in self._mark_by_id

    def has_started(self, request: RequestKey) -> bool:
        """Whether it passed the point of no return here."""
        mark = self._mark_by_id.get(request)
        return mark is not None and mark.started

    def try_start(self, request: RequestKey, now: float) -> bool:
        """Marks the point of no return; False when it must not start."""
        self._expire(now)
        if not self.may_start(request):
            return False
        self._mark_by_id[request] = _Mark(now + RETENTION_SECONDS, True)
        return True

    def fence(self, request: RequestKey, now: float) -> bool:
        """Forbids a start; False when it has started already."""
        self._expire(now)
        mark = self._mark_by_id.get(request)
        if mark is None:
            self._mark_by_id[request] = _Mark(now + RETENTION_SECONDS, False)
            return True
        return not mark.started

    def check_not_started(self, request: RequestKey) -> bool:
        """Asserts that a request which is reported as not run isn't."""
        started = self.has_started(request)
        return invariants.not_run_is_true(started, f"{request}")

    def _expire(self, now: float) -> None:
        while self._mark_by_id:
            first = next(iter(self._mark_by_id))
            if self._mark_by_id[first].until > now:
                return
            del self._mark_by_id[first]
