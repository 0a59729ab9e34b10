"""What a target was running when it crashed."""

import dataclasses

# Seconds after its end in which a request without an answer may still have been
# the cause: a target may run on though nobody waits, and tells of its restart
# with its next heartbeat only.
LINGERS = 5.0
# Requests kept of those that ended so; the oldest are dropped first.
MOST_ENDED = 64


@dataclasses.dataclass
class _Run:
    fingerprint: bytes
    ended: float | None = None


class CrashCandidates:
    """The requests that one life of a target was given and did not answer."""

    def __init__(self):
        self._run_by_id: dict[object, _Run] = {}

    def add(self, request: object, fingerprint: bytes, now: float) -> None:
        """A request is about to be sent to the target."""
        self._forget(now)
        self._run_by_id[request] = _Run(fingerprint)

    def discard(self, request: object) -> None:
        """The target answered it, or did not run it."""
        self._run_by_id.pop(request, None)

    def mark_ended(self, request: object, now: float) -> None:
        """It ended without an answer; the target may still run it."""
        run = self._run_by_id.get(request)
        if run is not None:
            run.ended = now

    def contains(self, request: object) -> bool:
        """Whether it is among what a crash now would be held against."""
        return request in self._run_by_id

    def take_fingerprints(self, now: float) -> set[bytes]:
        """The target crashed: fingerprints of what it may have run."""
        self._forget(now)
        found = {run.fingerprint for run in self._run_by_id.values()}
        self._run_by_id.clear()
        return found

    def _forget(self, now: float) -> None:
        ended = [
            request
            for request, run in self._run_by_id.items()
            if run.ended is not None
        ]
        for number, request in enumerate(reversed(ended)):
            late = now - self._run_by_id[request].ended > LINGERS
            if late or number >= MOST_ENDED:
                del self._run_by_id[request]
