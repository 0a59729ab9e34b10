"""Idempotency keys at their owner: each runs at most once.

A key has one owner, the holder of the lease on its shard. What the owner
remembers dies with it, so a new owner must tell a key that never ran from one
that ran before its tenure:

- a time-ordered key (UUID version 7, RFC 9562) issued after the tenure began
  can't have run before; it needs no word from the log;
- any other key is claimed on the log before it runs, and a new owner reads
  the claims of the owners before it.

A key that may have run under an earlier owner gets the outcome `unknown`.
"""

import collections
import dataclasses
import enum
import uuid

import xxhash

from forklift import invariants
from forklift import messages

SHARDS = 4
# Most that the wall clocks of two instances differ, seconds.
SKEW = 2.0


class Verdict(enum.Enum):
    """What is done with a request that carries a key."""

    RUN = "run"
    CLAIM = "claim"
    REPLAY = "replay"
    IN_PROGRESS = "in-progress"
    MISMATCH = "mismatch"
    LOST = "lost"
    FULL = "full"


class _State(enum.Enum):
    CLAIMING = "claiming"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer recorded for a key.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(slots=True)
class _Entry:
    fingerprint: bytes
    state: _State
    until: float
    answer: Answer | None = None
    starts: int = 0


def shard_of(key: bytes) -> int:
    """The shard of a hashed key."""
    return key[0] % SHARDS


def hash_key(service: str, caller: bytes, key: str) -> bytes:
    """Identity of a key: the same text of another caller is another key."""
    digest = xxhash.xxh3_128(service.encode())
    digest.update(b"\0" + caller + b"\0" + key.encode())
    return digest.digest()


def fingerprint(method: bytes, path: bytes, body: bytes) -> bytes:
    """Identity of what a request asks for."""
    digest = xxhash.xxh3_128(method)
    digest.update(b"\0" + path + b"\0" + body)
    return digest.digest()


def issued_at(key: str) -> float | None:
    """When a time-ordered key was made, seconds since the epoch.

    >>> issued_at("018f0000-0000-7000-8000-000000000000")
    1713691951.104
    >>> issued_at("anything else") is None
    True
    """
    try:
        parsed = uuid.UUID(key.strip().strip('"'))
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000


class Ledger:
    """The keys of one shard, at the holder of its lease."""

    def __init__(
        self,
        known_from: float,
        most: int,
        recorded_bytes: int,
        fresh_from: float | None = None,
    ):
        """Starts a tenure.

        Args:
            known_from: Wall time since when every key that may have run is
                known here, once the claims are loaded.
            most: Keys remembered at once.
            recorded_bytes: Bytes of recorded answers kept at once.
            fresh_from: Wall time since when no earlier owner can have run a
                key; `known_from` where it is not given.
        """
        self.known_from = known_from
        self._fresh_from = known_from if fresh_from is None else fresh_from
        self.loaded = False
        self._most = most
        self._bytes_left = recorded_bytes
        self._entry_by_key: collections.OrderedDict[bytes, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def inherit(self, claim: messages.Claim, memory: float) -> None:
        """A claim of an earlier owner was read from the log."""
        if claim.key not in self._entry_by_key:
            self._entry_by_key[claim.key] = _Entry(
                claim.fingerprint, _State.UNKNOWN, claim.at + memory
            )

    def begin(
        self,
        key: bytes,
        print_: bytes,
        issued: float | None,
        memory: float,
        wall: float,
    ) -> Verdict:
        """Decides on a request; RUN and CLAIM reserve the key for it.

        Args:
            key: Hashed key.
            print_: Fingerprint of the request.
            issued: When the key was made, where it tells.
            memory: Seconds that a key is remembered.
            wall: Seconds since the epoch.
        """
        self._expire(wall)
        entry = self._entry_by_key.get(key)
        if entry is not None:
            return self._again(entry, print_)
        if len(self._entry_by_key) >= self._most:
            return Verdict.FULL
        in_time = issued is not None and issued <= wall + SKEW
        if in_time and issued > wall - memory + SKEW:
            if issued <= self.known_from:
                return Verdict.LOST
            if not self.loaded and issued <= self._fresh_from:
                # The owner before named it on the log, perhaps.
                return Verdict.FULL
            self._reserve(key, print_, _State.RUNNING, wall + memory)
            return Verdict.RUN
        if issued is not None and issued <= wall:
            # Older than keys are remembered: it may have run and expired.
            return Verdict.LOST
        if not self.loaded:
            return Verdict.FULL
        self._reserve(key, print_, _State.CLAIMING, wall + memory)
        return Verdict.CLAIM

    def claimed(self, key: bytes) -> None:
        """The claim is on the log: the key may run."""
        entry = self._entry_by_key[key]
        entry.state = _State.RUNNING

    def started(self, key: bytes) -> None:
        """The request passed the point of no return."""
        entry = self._entry_by_key.get(key)
        if entry is not None:
            entry.starts += 1
            invariants.at_most_once(entry.starts, key.hex())

    def finish(
        self, key: bytes, outcome: messages.Outcome, answer: Answer | None
    ) -> None:
        """The request ended; one that did not run frees its key."""
        entry = self._entry_by_key.get(key)
        if entry is None:
            return
        if outcome is messages.Outcome.NOT_RUN:
            del self._entry_by_key[key]
            return
        entry.state = _State.UNKNOWN
        if outcome is messages.Outcome.ANSWERED:
            entry.state = _State.ANSWERED
            self._record(entry, answer)

    def answer(self, key: bytes) -> Answer | None:
        """The recorded answer; None when it was too large to keep."""
        return self._entry_by_key[key].answer

    def unclaimed(self, wall: float) -> list[messages.Claim]:
        """Claims for all keys, for the log at a planned stop."""
        return [
            messages.Claim(key, entry.fingerprint, wall)
            for key, entry in self._entry_by_key.items()
        ]

    def _again(self, entry: _Entry, print_: bytes) -> Verdict:
        if entry.fingerprint != print_:
            return Verdict.MISMATCH
        if entry.state in (_State.CLAIMING, _State.RUNNING):
            return Verdict.IN_PROGRESS
        if entry.state is _State.ANSWERED and entry.answer is not None:
            return Verdict.REPLAY
        return Verdict.LOST

    def _reserve(
        self, key: bytes, print_: bytes, state: _State, until: float
    ) -> None:
        self._entry_by_key[key] = _Entry(print_, state, until)

    def _record(self, entry: _Entry, answer: Answer | None) -> None:
        if answer is None or len(answer.body) > self._bytes_left:
            return
        self._bytes_left -= len(answer.body)
        entry.answer = answer

    def _expire(self, wall: float) -> None:
        while self._entry_by_key:
            key, entry = next(iter(self._entry_by_key.items()))
            if entry.until > wall:
                return
            if entry.state in (_State.CLAIMING, _State.RUNNING):
                return
            if entry.answer is not None:
                self._bytes_left += len(entry.answer.body)
            del self._entry_by_key[key]
