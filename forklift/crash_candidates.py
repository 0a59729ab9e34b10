"""Requests that a crash of a target may be blamed on."""

import dataclasses

# Seconds for which a request that ended without a response remains a candidate.
# The target may still be running it, and a crash is noticed only with the
# heartbeat after the restart.
RETENTION_SECONDS = 5.0
# Maximum number of ended requests; the oldest are dropped first.
MAX_ENDED = 64


@dataclasses.dataclass
class _Request:
    fingerprint: bytes
    ended: float | None = None


class CrashCandidates:
    """Requests without a response, of one incarnation of a target."""

    def __init__(self):
        self._request_by_id: dict[object, _Request] = {}

    def add(self, request: object, fingerprint: bytes, now: float) -> None:
        """Adds a request that is about to be sent to the target."""
        self._expire(now)
        self._request_by_id[request] = _Request(fingerprint)

    def discard(self, request: object) -> None:
        """Removes a request that has a response or was not run."""
        self._request_by_id.pop(request, None)

    def mark_ended(self, request: object, now: float) -> None:
        """Marks a request that ended without a response.

        The target may still be running it.
        """
        candidate = self._request_by_id.get(request)
        if candidate is not None:
            candidate.ended = now

    def contains(self, request: object) -> bool:
        """Whether a crash now could be blamed on the request."""
        return request in self._request_by_id

    def take_fingerprints(self, now: float) -> set[bytes]:
        """Removes all requests and returns their fingerprints."""
        self._expire(now)
        fingerprints = {
            candidate.fingerprint for candidate in self._request_by_id.values()
        }
        self._request_by_id.clear()
        return fingerprints

    def _expire(self, now: float) -> None:
        ended = [
            request
            for request, candidate in self._request_by_id.items()
            if candidate.ended is not None
        ]
        for number, request in enumerate(reversed(ended)):
            expired = (
                now - self._request_by_id[request].ended > RETENTION_SECONDS
            )
            if expired or number >= MAX_ENDED:
                del self._request_by_id[request]
