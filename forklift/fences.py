"""Tracks started and fenced requests, to prove that a request was not run.

A request is identified by the boot identity of its sender and the sequence
number that the sender assigned. A fenced request never starts; a started
request is never reported as not run.
"""

import collections
import dataclasses
from typing import TypeAlias

from forklift import invariants

# Seconds for which a request is remembered; longer than any deadline.
RETENTION_SECONDS = 150.0
RequestKey: TypeAlias = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    expires_at: float
    started: bool


class Fences:
    """Started and fenced requests of one process."""

    def __init__(self):
        self._entry_by_key: collections.OrderedDict[RequestKey, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def may_start(self, request: RequestKey) -> bool:
        """Whether the request is neither started nor fenced."""
        return request not in self._entry_by_key

    def has_started(self, request: RequestKey) -> bool:
        """Whether the request was started by this process."""
        entry = self._entry_by_key.get(request)
        return entry is not None and entry.started

    def try_start(self, request: RequestKey, now: float) -> bool:
        """Marks a request as started; returns False if it must not start."""
        self._expire(now)
        if not self.may_start(request):
            return False
        self._entry_by_key[request] = _Entry(now + RETENTION_SECONDS, True)
        return True

    def fence(self, request: RequestKey, now: float) -> bool:
        """Prevents a request from starting; returns False if it started."""
        self._expire(now)
        entry = self._entry_by_key.get(request)
        if entry is None:
            self._entry_by_key[request] = _Entry(now + RETENTION_SECONDS, False)
            return True
        return not entry.started

    def check_not_started(self, request: RequestKey) -> bool:
        """Checks that a request reported as not run was not started."""
        started = self.has_started(request)
        return invariants.not_run_is_true(started, f"{request}")

    def _expire(self, now: float) -> None:
        while self._entry_by_key:
            first = next(iter(self._entry_by_key))
            if self._entry_by_key[first].expires_at > now:
                return
            del self._entry_by_key[first]
