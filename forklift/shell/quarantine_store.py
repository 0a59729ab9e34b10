"""Keeps in the store which requests are held back, past the end of processes.

All processes may end at the same moment, and the request that crashes targets
come again to those that follow. What they need to know is written beside the
processes' own records, which each reads at its start anyway.
"""

import random
from collections.abc import Callable
from collections.abc import Coroutine

import structlog

from forklift import errors
from forklift import interfaces
from forklift import invalid_input
from forklift import messages
from forklift import quarantine as quarantines
from forklift import rendezvous
from forklift.shell import clock as clocks
from forklift.shell import store_follower

_log = structlog.get_logger(__name__)

# Begins the names of such records; no process has one that begins so.
RECORD_PREFIX = "held/"


class QuarantineStore:
    """Writes and reads the records of one process's quarantine."""

    def __init__(
        self,
        name: str,
        quarantine: quarantines.Quarantine,
        store: interfaces.Registry,
        clock: clocks.SystemClock,
        rng: random.Random,
        spawn: Callable[[Coroutine], None],
        others: Callable[[], list[str]],
    ):
        """Makes a keeper that wrote nothing yet.

        Args:
            name: Name of this process.
            quarantine: What is kept.
            store: Where it is kept.
            clock: Time.
            rng: Draws pauses.
            spawn: Runs a coroutine beside.
            others: Names of the other processes.
        """
        self._name = name
        self._others = others
        self._quarantine = quarantine
        self._store = store
        self._clock = clock
        self._rng = rng
        self._spawn = spawn
        # Crashes that the record of each request tells, or is about to.
        self._crashes_by_fingerprint: dict[bytes, frozenset[int]] = {}

    def save(self) -> None:
        """This process saw a crash: it writes what that tells at once."""
        now = self._clock.monotonic()
        for fingerprint in self._quarantine.quarantined(now):
            self._refresh(fingerprint, now)

    def rewrite_all(self) -> None:
        """The store lost records: all that are needed are written anew."""
        self._crashes_by_fingerprint.clear()

    def tick(self) -> None:
        """Looks after the records that are this process's part.

        Who saw a crash may have ended before its record was written, and a
        request that is released has no use for one.
        """
        now = self._clock.monotonic()
        held = set(self._quarantine.quarantined(now))
        for fingerprint in held:
            if self._owns(fingerprint):
                self._refresh(fingerprint, now)
        for fingerprint in set(self._crashes_by_fingerprint) - held:
            del self._crashes_by_fingerprint[fingerprint]
            if self._owns(fingerprint):
                self._spawn(self._write(fingerprint))

    def load(self, name: str, data: bytes) -> None:
        """Takes a record of the store in."""
        try:
            kept = messages.decode_evidence(data)
        except messages.MalformedMessage as error:
            invalid_input.record(
                invalid_input.Source.MEMBER, str(error), name=name
            )
            return
        since = max(0.0, self._clock.wall() - kept.at)
        aged = messages.age_evidence(kept.evidence, since)
        self._quarantine.merge([aged], self._clock.monotonic())
        crashes = frozenset(one.id for one in aged.crashes)
        self._crashes_by_fingerprint[aged.fingerprint] = crashes

    def _owns(self, fingerprint: bytes) -> bool:
        """Whether it is this process, of all, that writes a record."""
        names = [self._name, *self._others()]
        return rendezvous.select(fingerprint.hex(), names, 1) == [self._name]

    def _refresh(self, fingerprint: bytes, now: float) -> None:
        """Has a record written that is missing or behind."""
        evidence = self._quarantine.evidence(fingerprint, now)
        crashes = frozenset(one.id for one in evidence.crashes)
        if self._crashes_by_fingerprint.get(fingerprint) != crashes:
            self._crashes_by_fingerprint[fingerprint] = crashes
            self._spawn(self._write(fingerprint))

    async def _write(self, fingerprint: bytes) -> None:
        """Writes the record as it is to be, or drops it."""
        pause = store_follower.Backoff(self._rng)
        while True:
            now = self._clock.monotonic()
            data = b""
            if self._quarantine.quarantined_for(fingerprint, now):
                evidence = self._quarantine.evidence(fingerprint, now)
                wall = self._clock.wall()
                data = messages.encode(messages.StoredEvidence(wall, evidence))
            try:
                await self._store.announce(
                    RECORD_PREFIX + fingerprint.hex(), data
                )
                return
            except errors.RegistryUnavailable as error:
                _log.info("keeping_failed", detail=str(error))
                await pause.wait()
