"""Quarantine of requests that crash targets.

A request that crashes each target that runs it (a "query of death") takes down
a service one target at a time, as callers and proxies retry it. Each crash is
therefore evidence against the requests that the target was running. A request
is cleared when any target answers it with success. A suspected request runs
alone, so that its next run shows whether it was the cause.

Evidence only grows: crashes are added, and each may become void. Processes
therefore reach the same verdicts if they receive evidence in any order,
repeatedly or after a partition.
"""

import collections
import dataclasses
import enum
from collections.abc import Collection
from collections.abc import Iterable

import xxhash

from forklift import messages

# Weight of evidence at which a request is quarantined. So at most three targets
# crash, or two if one of them ran no other request. A single crash may be a
# coincidence.
QUARANTINE_WEIGHT = 3
# Weight of the crash of a target that ran no other request; other crashes
# weigh 1.
SOLE_REQUEST_WEIGHT = 2
# Seconds for which a request is quarantined after its last crash, before
# doubling.
QUARANTINE_SECONDS = 600.0
# Maximum number of doublings; each crash beyond QUARANTINE_WEIGHT doubles the
# duration.
MAX_DOUBLINGS = 6
# Seconds for which evidence is kept after the last crash or the release from
# quarantine. Void evidence is kept as well, so that late reports of it change
# nothing. A single crash within this time after the release quarantines the
# request again.
RETENTION_SECONDS = 3600.0
# Seconds after a successful response during which a request is not blamed for
# crashes. A request that crashes each target never gets a successful response.
EXONERATION_SECONDS = 10.0
# Maximum number of requests with evidence that are kept.
MAX_CASES = 512
# Maximum number of crashes that are kept per request.
MAX_CRASHES_PER_CASE = 8
# Maximum number of recent successful requests that are remembered, to clear
# them when other processes report evidence.
MAX_RECENT_SUCCESSES = 512


class Verdict(enum.Enum):
    """Whether a request may run."""

    CLEAR = "clear"
    # The request may have crashed a target; it runs alone.
    SUSPECTED = "suspect"
    # The request is rejected.
    QUARANTINED = "held"


@dataclasses.dataclass(frozen=True)
class Crash:
    """A crash of a target while it ran a request.

    Attributes:
        at: Time of the crash, monotonic seconds of this process.
        alone: Whether the target ran no other request.
        void: Whether the request was found not to be the cause.
    """

    at: float
    alone: bool
    void: bool = False


@dataclasses.dataclass(frozen=True)
class _Case:
    """The evidence against one request."""

    crash_by_id: dict[int, Crash]

    @property
    def valid_crashes(self) -> list[Crash]:
        """Crashes that are not void, oldest first."""
        return [one for one in self._crashes_by_time if not one.void]

    @property
    def _crashes_by_time(self) -> list[Crash]:
        return sorted(self.crash_by_id.values(), key=lambda one: one.at)

    @property
    def last_crash_at(self) -> float:
        """Time of the last crash, void or not, monotonic seconds."""
        return max(one.at for one in self.crash_by_id.values())

    @property
    def weight(self) -> int:
        """Weight of all crashes that are not void."""
        return sum(
            SOLE_REQUEST_WEIGHT if one.alone else 1
            for one in self.valid_crashes
        )

    def quarantined_until(self) -> float | None:
        """End of the quarantine, monotonic seconds; None if there is none."""
        return _quarantine_end(self.valid_crashes)

    def expires_at(self) -> float:
        """Time at which the evidence expires, monotonic seconds."""
        release = _quarantine_end(self._crashes_by_time)
        return (
            self.last_crash_at if release is None else release
        ) + RETENTION_SECONDS


def _quarantine_end(crashes: list[Crash]) -> float | None:
    """Computes the end of the quarantine that crashes justify.

    Args:
        crashes: Crashes to count, oldest first.

    Returns:
        Monotonic seconds; None if the crashes weigh too little.
    """
    weight = 0
    for number, crash in enumerate(crashes, 1):
        weight += SOLE_REQUEST_WEIGHT if crash.alone else 1
        if weight >= QUARANTINE_WEIGHT:
            further = min(MAX_DOUBLINGS, len(crashes) - number)
            return crashes[-1].at + QUARANTINE_SECONDS * 2**further
    return None


@dataclasses.dataclass(frozen=True)
class Changes:
    """Evidence that changed and has not been sent yet.

    Attributes:
        local: Evidence that this process extended.
        relayed: Evidence that is unchanged since another process reported it.
    """

    local: list[messages.Evidence]
    relayed: list[messages.Evidence]


class Quarantine:
    """Evidence and verdicts on requests, as known to one process.

    >>> quarantine = Quarantine()
    >>> quarantine.record_crash({b"a", b"b"}, 1, 0.0)
    >>> quarantine.record_success(b"b", 0.1)
    >>> quarantine.record_crash({b"a"}, 2, 0.2)
    >>> quarantine.verdict(b"a", 0.3), quarantine.verdict(b"b", 0.3)
    (<Verdict.QUARANTINED: 'held'>, <Verdict.CLEAR: 'clear'>)
    """

    def __init__(self):
        self._case_by_fingerprint: dict[bytes, _Case] = {}
        self._success_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # Whether this process extended the evidence, for each request with
        # changes that have not been sent.
        self._unsent: dict[bytes, bool] = {}
        self._digest: int | None = 0

    # Verdicts.

    def verdict(self, fingerprint: bytes, now: float) -> Verdict:
        """Returns the verdict on a request."""
        case = self._case_by_fingerprint.get(fingerprint)
        if case is None or not case.valid_crashes or now >= case.expires_at():
            return Verdict.CLEAR
        until = case.quarantined_until()
        if until is not None and now < until:
            return Verdict.QUARANTINED
        return Verdict.SUSPECTED

    def quarantined_for(self, fingerprint: bytes, now: float) -> float:
        """Seconds until a request is released; 0 if it is not quarantined."""
        if self.verdict(fingerprint, now) is not Verdict.QUARANTINED:
            return 0.0
        case = self._case_by_fingerprint[fingerprint]
        return case.quarantined_until() - now

    def is_suspected(self, fingerprint: bytes, now: float) -> bool:
        """Whether a request may run, but only alone."""
        return self.verdict(fingerprint, now) is Verdict.SUSPECTED

    def quarantined(self, now: float) -> list[bytes]:
        """Fingerprints of the requests that are quarantined."""
        return [
            one
            for one in self._case_by_fingerprint
            if self.verdict(one, now) is Verdict.QUARANTINED
        ]

    # Evidence of this process.

    def record_crash(
        self, running: Collection[bytes], crash: int, now: float
    ) -> None:
        """Records the crash of a target.

        Args:
            running: Fingerprints of the requests that the target ran; empty
                for a request without a fingerprint.
            crash: Identifier of the crash.
            now: Monotonic seconds.
        """
        # If quarantined requests ran, only they are blamed.
        known = {one for one in running if self.quarantined_for(one, now)}
        blamed = known or set(running)
        alone = len(blamed) == 1
        for fingerprint in blamed - {b""}:
            self._add(fingerprint, {crash: Crash(now, alone)}, now)

    def record_success(self, fingerprint: bytes, now: float) -> None:
        """Clears a request that a target answered with success."""
        if not fingerprint:
            return
        self._success_at[fingerprint] = now
        self._success_at.move_to_end(fingerprint)
        if len(self._success_at) > MAX_RECENT_SUCCESSES:
            self._success_at.popitem(last=False)
        case = self._case_by_fingerprint.get(fingerprint)
        if case is not None and case.valid_crashes:
            self._add(fingerprint, case.crash_by_id, now)

    # Exchange with other processes.

    @property
    def has_changes(self) -> bool:
        """Whether there is evidence that has not been sent yet."""
        return bool(self._unsent)

    def take_changes(self, now: float) -> Changes:
        """Returns the evidence that changed since the last call."""
        unsent, self._unsent = self._unsent, {}
        changes = Changes([], [])
        for fingerprint, own in unsent.items():
            if fingerprint in self._case_by_fingerprint:
                target = changes.local if own else changes.relayed
                target.append(self.evidence(fingerprint, now))
        return changes

    def all_evidence(self, now: float) -> list[messages.Evidence]:
        """Returns all evidence, as sent to other processes."""
        return [self.evidence(one, now) for one in self._case_by_fingerprint]

    def evidence(self, fingerprint: bytes, now: float) -> messages.Evidence:
        """Returns the evidence against a request, as sent to others."""
        case = self._case_by_fingerprint[fingerprint]
        crashes = tuple(
            messages.Crash(
                number, round(max(0.0, now - one.at), 3), one.alone, one.void
            )
            for number, one in case.crash_by_id.items()
        )
        return messages.Evidence(fingerprint, crashes)

    def merge(self, found: Iterable[messages.Evidence], now: float) -> None:
        """Merges the evidence of another process."""
        for one in found:
            if not one.fingerprint:
                continue
            crash_by_id = {
                crash.id: Crash(
                    now - max(0.0, crash.age), crash.alone, crash.void
                )
                for crash in one.crashes
            }
            self._add(one.fingerprint, crash_by_id, now, own=False)

    def has_evidence(self, fingerprint: bytes) -> bool:
        """Whether any evidence against a request is kept."""
        return fingerprint in self._case_by_fingerprint

    def digest(self) -> int:
        """Digest of all evidence, without times; 0 if there is none."""
        if self._digest is None:
            self._digest = 0
            for fingerprint, case in self._case_by_fingerprint.items():
                for number, one in case.crash_by_id.items():
                    flags = bytes((one.alone, one.void))
                    data = fingerprint + number.to_bytes(8, "big") + flags
                    self._digest ^= xxhash.xxh3_64_intdigest(data)
        return self._digest

    def expire(self, now: float) -> None:
        """Drops evidence that is too old to matter."""
        for fingerprint, case in list(self._case_by_fingerprint.items()):
            if now >= case.expires_at():
                del self._case_by_fingerprint[fingerprint]
                self._digest = None

    def _add(
        self,
        fingerprint: bytes,
        crash_by_id: dict[int, Crash],
        now: float,
        own: bool = True,
    ) -> None:
        """Merges evidence against one request.

        Args:
            fingerprint: The request.
            crash_by_id: Crashes by identifier.
            now: Monotonic seconds.
            own: Whether this process found the evidence.
        """
        before = self._case_by_fingerprint.get(fingerprint, _Case({}))
        merged = dict(before.crash_by_id)
        success_at = self._success_at.get(fingerprint, float("-inf"))
        for number, crash in crash_by_id.items():
            known = merged.get(number, crash)
            merged[number] = Crash(
                min(known.at, crash.at),
                known.alone or crash.alone,
                known.void
                or crash.void
                or crash.at <= success_at + EXONERATION_SECONDS,
            )
        case = _Case(_most_recent(merged))
        if not merged or now >= case.expires_at() or _equivalent(before, case):
            return
        self._case_by_fingerprint[fingerprint] = case
        # Evidence of another process is only relayed, unless this process
        # extends it.
        more = own or not _equivalent(_Case(crash_by_id), case)
        self._unsent[fingerprint] = more or self._unsent.get(fingerprint, False)
        self._digest = None
        if case.quarantined_until() is not None:
            self._void_shared_crashes(fingerprint)
        self._enforce_case_limit()

    def _void_shared_crashes(self, culprit: bytes) -> None:
        """Voids the crashes of a quarantined request in other cases.

        Cases that are quarantined themselves are left unchanged.

        Args:
            culprit: Fingerprint of the quarantined request.
        """
        culprit_crash_by_id = self._case_by_fingerprint[culprit].crash_by_id
        for fingerprint, case in self._case_by_fingerprint.items():
            if fingerprint == culprit or case.quarantined_until() is not None:
                continue
            crash_by_id = {
                number: dataclasses.replace(
                    one, void=one.void or number in culprit_crash_by_id
                )
                for number, one in case.crash_by_id.items()
            }
            if crash_by_id != case.crash_by_id:
                # This is not sent, as other processes conclude the same from
                # the evidence against the culprit.
                self._case_by_fingerprint[fingerprint] = _Case(crash_by_id)

    def _enforce_case_limit(self) -> None:
        """Drops the case with the least evidence if there are too many."""
        if len(self._case_by_fingerprint) <= MAX_CASES:
            return
        case_by_fingerprint = self._case_by_fingerprint
        weakest = min(
            case_by_fingerprint,
            key=lambda one: (
                case_by_fingerprint[one].weight,
                case_by_fingerprint[one].last_crash_at,
            ),
        )
        del case_by_fingerprint[weakest]


def _most_recent(crash_by_id: dict[int, Crash]) -> dict[int, Crash]:
    """Returns the most recent crashes, at most MAX_CRASHES_PER_CASE."""
    order = sorted(crash_by_id, key=lambda one: crash_by_id[one].at)
    return {one: crash_by_id[one] for one in order[-MAX_CRASHES_PER_CASE:]}


def _equivalent(before: _Case, after: _Case) -> bool:
    """Whether two cases are equal except for the times of crashes."""
    if before.crash_by_id.keys() != after.crash_by_id.keys():
        return False
    return all(
        (one.alone, one.void)
        == (after.crash_by_id[number].alone, after.crash_by_id[number].void)
        for number, one in before.crash_by_id.items()
    )


def age_evidence(
    evidence: messages.Evidence, seconds: float
) -> messages.Evidence:
    """Returns evidence with the age of each crash increased.

    >>> crash = messages.Crash(1, 2.0, True, False)
    >>> age_evidence(messages.Evidence(b"f", (crash,)), 3.0).crashes[0].age
    5.0
    """
    crashes = tuple(
        messages.Crash(one.id, one.age + seconds, one.alone, one.void)
        for one in evidence.crashes
    )
    return messages.Evidence(evidence.fingerprint, crashes)
