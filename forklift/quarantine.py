"""Requests that crash the targets which run them, and who is to be refused.

A request that crashes each target that begins to run it (a "query of death")
takes a service down one target at a time, as it comes again and is repeated.
So each crash is held against what the target was running. What ran beside the
request that did it is held to be innocent as soon as it is answered anywhere:
a suspect therefore runs alone, which either clears it or leaves no doubt.

Evidence only grows: crashes are added, and each may become void. So processes
that learn of it in any order, or twice, come to the same view, also after they
were cut off from each other.
"""

import collections
import dataclasses
import enum
from collections.abc import Collection
from collections.abc import Iterable

import xxhash

from forklift import messages

# Weight from which on a request is held back. A crash beside other work weighs
# one, a crash alone two: three targets at the most, two where one of them ran
# nothing else. One alone may be chance.
QUARANTINE_WEIGHT = 3
SOLE_REQUEST_WEIGHT = 2
# Seconds for which a request is first held back after its last crash; twice as
# long after each that follows its release, up to DOUBLINGS times.
QUARANTINE_SECONDS = 600.0
MAX_DOUBLINGS = 6
# Seconds for which a suspect is remembered, and one that was held back after
# its release, so that a single crash then holds it back again. Evidence that is
# void is kept as long, so that late news of it changes nothing.
RETENTION_SECONDS = 3600.0
# Seconds after an answer for which a request is not taken for the cause of a
# crash: one that crashes each target is never answered.
EXONERATION_SECONDS = 10.0
# Requests under suspicion that are kept: each costs somebody a crash.
MAX_CASES = 512
# Crashes kept of each.
MAX_CRASHES_PER_CASE = 8
# Requests that were answered of late, to clear what is accused by others.
MAX_RECENT_SUCCESSES = 512


class Verdict(enum.Enum):
    """How a request is seen."""

    CLEAR = "clear"
    # It may have crashed a target: it runs alone.
    SUSPECTED = "suspect"
    # It is refused.
    QUARANTINED = "held"


@dataclasses.dataclass(frozen=True)
class Crash:
    """The end of a target while it ran a request.

    Attributes:
        at: Monotonic seconds of this process.
        alone: Whether the target ran nothing else.
        void: Whether the request was answered elsewhere, so it was not the
            cause.
    """

    at: float
    alone: bool
    void: bool = False


@dataclasses.dataclass(frozen=True)
class _Case:
    crash_by_id: dict[int, Crash]

    @property
    def valid(self) -> list[Crash]:
        """Crashes that count, the oldest first."""
        return [one for one in self._all if not one.void]

    @property
    def _all(self) -> list[Crash]:
        return sorted(self.crash_by_id.values(), key=lambda one: one.at)

    @property
    def last(self) -> float:
        """Monotonic seconds of the last crash, void or not."""
        return max(one.at for one in self.crash_by_id.values())

    @property
    def weight(self) -> int:
        """Of all crashes that count."""
        return sum(
            SOLE_REQUEST_WEIGHT if one.alone else 1 for one in self.valid
        )

    def held_until(self) -> float | None:
        """Monotonic seconds of its release; None where it is not held back."""
        return _release(self.valid)

    def forgotten_at(self) -> float:
        """Monotonic seconds from which on it is of no use."""
        release = _release(self._all)
        return (self.last if release is None else release) + RETENTION_SECONDS


def _release(crashes: list[Crash]) -> float | None:
    """When crashes, the oldest first, cease to hold a request back."""
    weight = 0
    for number, crash in enumerate(crashes, 1):
        weight += SOLE_REQUEST_WEIGHT if crash.alone else 1
        if weight >= QUARANTINE_WEIGHT:
            further = min(MAX_DOUBLINGS, len(crashes) - number)
            return crashes[-1].at + QUARANTINE_SECONDS * 2**further
    return None


@dataclasses.dataclass(frozen=True)
class Changes:
    """Evidence that changed.

    Attributes:
        own: Of which this process knows more than it was told.
        heard: As another process told it.
    """

    own: list[messages.Evidence]
    heard: list[messages.Evidence]


class Quarantine:
    """What one process knows of requests that crash targets.

    >>> quarantine = Quarantine()
    >>> quarantine.record_crash({b"a", b"b"}, 1, 0.0)
    >>> quarantine.record_success(b"b", 0.1)
    >>> quarantine.record_crash({b"a"}, 2, 0.2)
    >>> quarantine.verdict(b"a", 0.3), quarantine.verdict(b"b", 0.3)
    (<Verdict.QUARANTINED: 'held'>, <Verdict.CLEAR: 'clear'>)
    """

    def __init__(self):
        self._case_by_fingerprint: dict[bytes, _Case] = {}
        self._answered: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # Those whose evidence changed and was not told yet, and whether this
        # process knows more of them than another told it.
        self._news: dict[bytes, bool] = {}
        self._digest: int | None = 0

    # What is decided.

    def verdict(self, fingerprint: bytes, now: float) -> Verdict:
        """How a request is seen now."""
        case = self._case_by_fingerprint.get(fingerprint)
        if case is None or not case.valid or now >= case.forgotten_at():
            return Verdict.CLEAR
        until = case.held_until()
        if until is not None and now < until:
            return Verdict.QUARANTINED
        return Verdict.SUSPECTED

    def quarantined_for(self, fingerprint: bytes, now: float) -> float:
        """Seconds until a request is released; 0 where it is not held back."""
        if self.verdict(fingerprint, now) is not Verdict.QUARANTINED:
            return 0.0
        case = self._case_by_fingerprint[fingerprint]
        return case.held_until() - now

    def is_suspected(self, fingerprint: bytes, now: float) -> bool:
        """Whether a request may run, but only alone."""
        return self.verdict(fingerprint, now) is Verdict.SUSPECTED

    def quarantined(self, now: float) -> list[bytes]:
        """Requests that are held back."""
        return [
            one
            for one in self._case_by_fingerprint
            if self.verdict(one, now) is Verdict.QUARANTINED
        ]

    # What happens.

    def record_crash(
        self, running: Collection[bytes], crash: int, now: float
    ) -> None:
        """A target crashed.

        Args:
            running: Fingerprints of what it ran; empty for what has none.
            crash: Identity of the crash.
            now: Monotonic seconds.
        """
        # Where one is known to do this, the others only ran beside it.
        known = {one for one in running if self.quarantined_for(one, now)}
        blamed = known or set(running)
        alone = len(blamed) == 1
        for fingerprint in blamed - {b""}:
            self._add(fingerprint, {crash: Crash(now, alone)}, now)

    def record_success(self, fingerprint: bytes, now: float) -> None:
        """A target ran a request, lived, and answered it with success."""
        if not fingerprint:
            return
        self._answered[fingerprint] = now
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_RECENT_SUCCESSES:
            self._answered.popitem(last=False)
        case = self._case_by_fingerprint.get(fingerprint)
        if case is not None and case.valid:
            self._add(fingerprint, case.crash_by_id, now)

    # What is told.

    @property
    def has_changes(self) -> bool:
        """Whether there is evidence that was not told yet."""
        return bool(self._news)

    def take_changes(self, now: float) -> Changes:
        """Evidence that changed since it was last told."""
        news, self._news = self._news, {}
        found = Changes([], [])
        for fingerprint, own in news.items():
            if fingerprint in self._case_by_fingerprint:
                told = found.own if own else found.heard
                told.append(self.evidence(fingerprint, now))
        return found

    def all_evidence(self, now: float) -> list[messages.Evidence]:
        """All evidence."""
        return [self.evidence(one, now) for one in self._case_by_fingerprint]

    def evidence(self, fingerprint: bytes, now: float) -> messages.Evidence:
        """What there is against a request, as others are told."""
        case = self._case_by_fingerprint[fingerprint]
        crashes = tuple(
            messages.Crash(
                number, round(max(0.0, now - one.at), 3), one.alone, one.void
            )
            for number, one in case.crash_by_id.items()
        )
        return messages.Evidence(fingerprint, crashes)

    def merge(self, found: Iterable[messages.Evidence], now: float) -> None:
        """Takes evidence of others in."""
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

    def digest(self) -> int:
        """Equal on two processes that know the same; 0 of nothing."""
        if self._digest is None:
            self._digest = 0
            for fingerprint, case in self._case_by_fingerprint.items():
                for number, one in case.crash_by_id.items():
                    flags = bytes((one.alone, one.void))
                    data = fingerprint + number.to_bytes(8, "big") + flags
                    self._digest ^= xxhash.xxh3_64_intdigest(data)
        return self._digest

    def expire(self, now: float) -> None:
        """Forgets what is of no use any more."""
        for fingerprint, case in list(self._case_by_fingerprint.items()):
            if now >= case.forgotten_at():
                del self._case_by_fingerprint[fingerprint]
                self._digest = None

    def _add(
        self,
        fingerprint: bytes,
        crash_by_id: dict[int, Crash],
        now: float,
        own: bool = True,
    ) -> None:
        """Adds evidence that another told, or that was found here."""
        before = self._case_by_fingerprint.get(fingerprint, _Case({}))
        merged = dict(before.crash_by_id)
        answered = self._answered.get(fingerprint, float("-inf"))
        for number, crash in crash_by_id.items():
            known = merged.get(number, crash)
            merged[number] = Crash(
                min(known.at, crash.at),
                known.alone or crash.alone,
                known.void
                or crash.void
                or crash.at <= answered + EXONERATION_SECONDS,
            )
        case = _Case(_latest(merged))
        if not merged or now >= case.forgotten_at() or _same(before, case):
            return
        self._case_by_fingerprint[fingerprint] = case
        # Others know what one of them told, but not what this adds to it.
        more = own or not _same(_Case(crash_by_id), case)
        self._news[fingerprint] = more or self._news.get(fingerprint, False)
        self._digest = None
        if case.held_until() is not None:
            self._excuse(fingerprint)
        self._bound()

    def _excuse(self, culprit: bytes) -> None:
        """What ran beside a request that is held back was not the cause."""
        explained = self._case_by_fingerprint[culprit].crash_by_id
        for fingerprint, case in self._case_by_fingerprint.items():
            if fingerprint == culprit or case.held_until() is not None:
                continue
            crash_by_id = {
                number: dataclasses.replace(
                    one, void=one.void or number in explained
                )
                for number, one in case.crash_by_id.items()
            }
            if crash_by_id != case.crash_by_id:
                # Whoever learns of the culprit finds the same, untold.
                self._case_by_fingerprint[fingerprint] = _Case(crash_by_id)

    def _bound(self) -> None:
        """Forgets the weakest case where there are too many."""
        if len(self._case_by_fingerprint) <= MAX_CASES:
            return
        case_by_fingerprint = self._case_by_fingerprint
        weakest = min(
            case_by_fingerprint,
            key=lambda one: (
                case_by_fingerprint[one].weight,
                case_by_fingerprint[one].last,
            ),
        )
        del case_by_fingerprint[weakest]


def _latest(crash_by_id: dict[int, Crash]) -> dict[int, Crash]:
    """The last crashes; of those beyond, the oldest ones are dropped."""
    order = sorted(crash_by_id, key=lambda one: crash_by_id[one].at)
    return {one: crash_by_id[one] for one in order[-MAX_CRASHES_PER_CASE:]}


def _same(before: _Case, after: _Case) -> bool:
    """Whether nothing that counts differs; times of others are not exact."""
    if before.crash_by_id.keys() != after.crash_by_id.keys():
        return False
    return all(
        (one.alone, one.void)
        == (after.crash_by_id[number].alone, after.crash_by_id[number].void)
        for number, one in before.crash_by_id.items()
    )
