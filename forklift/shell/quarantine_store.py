"""Stores the evidence on quarantined requests, so that it survives restarts.

If all processes end at once, a request that crashes targets would otherwise be
sent to targets again. The records are stored next to those of the processes,
which each process reads when it starts.
"""

import itertools
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
from forklift import stored_records
from forklift.shell import clock as clocks
from forklift.shell import store_follower

_log = structlog.get_logger(__name__)

# Maximum number of old records that are deleted in a tick. Other programs can
# write any number of them.
MAX_DELETIONS_PER_TICK = 8


class QuarantineStore:
    """Writes and loads the evidence of the quarantine of a process."""

    def __init__(
        self,
        name: str,
        quarantine: quarantines.Quarantine,
        store: interfaces.Registry,
        clock: clocks.SystemClock,
        rng: random.Random,
        spawn: Callable[[Coroutine], None],
        other_processes: Callable[[], list[str]],
    ):
        """Creates an instance that has written nothing.

        Args:
            name: Name of this process.
            quarantine: Quarantine of this process.
            store: Store that the records are written to.
            clock: Source of time.
            rng: Random numbers for the backoff.
            spawn: Runs a coroutine in the background.
            other_processes: Returns the names of the other processes.
        """
        self._name = name
        self._other_processes = other_processes
        self._quarantine = quarantine
        self._store = store
        self._clock = clock
        self._rng = rng
        self._spawn = spawn
        # Ids of the crashes in the stored record of each request, or in the
        # record that is being written.
        self._crash_ids_by_fingerprint: dict[bytes, frozenset[int]] = {}

    def save(self) -> None:
        """Writes the evidence on all quarantined requests that changed.

        The process that sees a crash calls this at once, even if another
        process owns the records.
        """
        now = self._clock.monotonic()
        for fingerprint in self._quarantine.quarantined(now):
            self._write_if_changed(fingerprint, now)

    def rewrite_all(self) -> None:
        """Causes all records to be written again after the store lost some."""
        self._crash_ids_by_fingerprint.clear()

    def tick(self) -> None:
        """Updates the records that this process owns.

        The process that saw a crash may have ended before it wrote the record.
        Records of requests that are no longer quarantined are deleted.
        """
        now = self._clock.monotonic()
        quarantined = set(self._quarantine.quarantined(now))
        for fingerprint in quarantined:
            if self._owns(fingerprint):
                self._write_if_changed(fingerprint, now)
        old = set(self._crash_ids_by_fingerprint) - quarantined
        for fingerprint in itertools.islice(old, MAX_DELETIONS_PER_TICK):
            del self._crash_ids_by_fingerprint[fingerprint]
            if self._owns(fingerprint):
                self._spawn(self._write(fingerprint))

    def load(self, name: str, data: bytes) -> None:
        """Merges a stored record into the quarantine.

        An invalid record is counted and ignored.

        Args:
            name: Name of the record.
            data: Contents of the record.
        """
        try:
            stored = stored_records.decode(name, data)
        except messages.MalformedMessage as error:
            invalid_input.record(
                invalid_input.Source.MEMBER, str(error), name=name
            )
            return
        age = max(0.0, self._clock.wall() - stored.at)
        evidence = quarantines.age_evidence(stored.evidence, age)
        self._quarantine.merge([evidence], self._clock.monotonic())
        if not self._quarantine.has_evidence(evidence.fingerprint):
            # There is evidence against more requests than are kept.
            return
        crashes = frozenset(crash.id for crash in evidence.crashes)
        self._crash_ids_by_fingerprint[evidence.fingerprint] = crashes

    def _owns(self, fingerprint: bytes) -> bool:
        """Whether this process is responsible for the record of a request."""
        names = [self._name, *self._other_processes()]
        return rendezvous.select(fingerprint.hex(), names, 1) == [self._name]

    def _write_if_changed(self, fingerprint: bytes, now: float) -> None:
        """Starts a write if the record is missing or lacks a crash."""
        evidence = self._quarantine.evidence(fingerprint, now)
        crashes = frozenset(crash.id for crash in evidence.crashes)
        if self._crash_ids_by_fingerprint.get(fingerprint) != crashes:
            self._crash_ids_by_fingerprint[fingerprint] = crashes
            self._spawn(self._write(fingerprint))

    async def _write(self, fingerprint: bytes) -> None:
        """Writes a record, or deletes it if the quarantine is over.

        Retries with backoff until the store answers.
        """
        backoff = store_follower.Backoff(self._rng)
        while True:
            now = self._clock.monotonic()
            data = b""
            if self._quarantine.quarantined_for(fingerprint, now):
                evidence = self._quarantine.evidence(fingerprint, now)
                wall = self._clock.wall()
                data = messages.encode(messages.StoredEvidence(wall, evidence))
            try:
                await self._store.announce(
                    stored_records.evidence_name(fingerprint), data
                )
                return
            except errors.RegistryUnavailable as error:
                _log.info("quarantine_write_failed", detail=str(error))
                await backoff.wait()
