"""Started and fenced requests of a process, the proof of 'not run'.

A request is identified by the boot identity and the sequence number of its
sender. A fenced request never starts; a started one is never reported as not
run.
"""

import collections
import dataclasses
from typing import TypeAlias

from forklift import invariants

RETENTION_SECONDS = 150.0
RequestKey: TypeAlias = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    expires_at: float
    started: bool


class Fences:
    """Started and fenced requests, kept for longer than any deadline."""

    def __init__(self):
        self._entry_by_key: collections.OrderedDict[RequestKey, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def may_start(self, request: RequestKey) -> bool:
        """Whether the request was neither started nor fenced."""
        return request not in self._entry_by_key

    def has_started(self, request: RequestKey) -> bool:
        """Whether the request was started here."""
        entry = self._entry_by_key.get(request)
        return entry is not None and entry.started

    def try_start(self, request: RequestKey, now: float) -> bool:
        """Marks a request as started; False if it must not start."""
        self._expire(now)
        if not self.may_start(request):
            return False
        self._entry_by_key[request] = _Entry(now + RETENTION_SECONDS, True)
        return True

    def fence(self, request: RequestKey, now: float) -> bool:
        """Prevents a request from starting; False if it has started."""
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
