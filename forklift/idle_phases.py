"""Phases in which a target receives no request although it could run some.

Decides when the process of an idle target asks others for a request, and which
of them.
"""

import collections
import dataclasses
import random
from collections.abc import Collection
from collections.abc import Iterable

from forklift import messages

State = messages.TargetState

# States in which a target can run requests. An ejected one needs trial requests
# to be reinstated.
USABLE_STATES = (State.IN_SERVICE, State.SUSPECT)
# Seconds without a request after which a target is announced as idle. Must
# exceed the time within which an ingress process that has callers sends to an
# idle target anyway.
IDLE_TARGET_SECONDS = 0.8
# Number of processes that the first announcements of a phase ask. Each process
# of a large fleet receives about one request a second, so two are too few if
# the request must come within the window of the capacity floor.
FIRST_FANOUTS = (2, 4, 8, 8)
# Seconds between these announcements.
FIRST_INTERVAL_SECONDS = 0.3
# Number of processes that each later announcement asks. Hardly any of those
# asked before has callers.
LATER_FANOUT = 2
# Seconds between later announcements.
LATER_INTERVAL_SECONDS = 0.5
# Number of requests of any kind that a target asks for if it gets no idempotent
# ones. As many successes show that it is as healthy as those in use.
ANY_KIND_REQUESTS = 3
# Seconds for which the sender of a request counts as one that has callers.
SENDER_SECONDS = 10.0
# Maximum number of senders that are remembered for a target.
MAX_SENDERS = 32


def is_usable(load: messages.Load) -> bool:
    """Whether a target can run a request now."""
    has_room = load.rate_limit is None or load.rate_limit.wait == 0
    return load.state in USABLE_STATES and has_room


@dataclasses.dataclass
class IdlePhase:
    """What the process of a target did while the target was idle.

    Attributes:
        requests_before: Requests to the service that this process had received
            when the phase began.
        announcements: Number of announcements so far.
        reported: Whether the phase was logged.
    """

    requests_before: int
    announcements: int = 0
    reported: bool = False
    _next_at: float = float("-inf")

    def next_fanout(self, now: float) -> int:
        """Returns the number of processes to ask now; 0 if none is due."""
        if now < self._next_at:
            return 0
        if self.announcements < len(FIRST_FANOUTS):
            fanout = FIRST_FANOUTS[self.announcements]
            interval = FIRST_INTERVAL_SECONDS
        else:
            fanout, interval = LATER_FANOUT, LATER_INTERVAL_SECONDS
        self.announcements += 1
        self._next_at = now + interval
        return fanout


class IdlePhases:
    """Idle phases of the local targets, by target."""

    def __init__(self):
        self._phase_by_target: dict[str, IdlePhase] = {}

    def observe(self, target: str, requests: int) -> IdlePhase:
        """Returns the phase of a target that is idle at the moment.

        Args:
            target: Name of the target.
            requests: Requests to the service that this process has received.
        """
        phase = self._phase_by_target.get(target)
        if phase is None:
            phase = self._phase_by_target[target] = IdlePhase(requests)
        return phase

    def end(self, target: str) -> IdlePhase | None:
        """Ends the phase of a target that has started a request, if any."""
        return self._phase_by_target.pop(target, None)

    def retain(self, targets: Iterable[str]) -> None:
        """Forgets the phases of all other targets."""
        for name in self._phase_by_target.keys() - set(targets):
            del self._phase_by_target[name]


@dataclasses.dataclass
class _Proof:
    """Requests by which a target shows its health.

    Attributes:
        until_starts: Number of started requests at which it has shown it.
        next_at: Time of the next announcement, monotonic seconds.
    """

    until_starts: int
    next_at: float = float("-inf")


class Proofs:
    """Local targets that go on asking for requests after they were idle.

    Without idempotent requests, only those that must run once can show the
    health of a target. One of them is too few, as the target would be unproven
    again before another process chooses it.
    """

    def __init__(self):
        self._proof_by_target: dict[str, _Proof] = {}

    def begin(self, target: str, starts: int) -> None:
        """Records that an idle target asks for requests of any kind.

        Args:
            target: Name of the target.
            starts: Requests that the target has started.
        """
        proof = _Proof(starts + ANY_KIND_REQUESTS)
        self._proof_by_target.setdefault(target, proof)

    def is_due(self, target: str, starts: int, now: float) -> bool:
        """Whether to announce a target that is no longer idle again.

        Args:
            target: Name of the target.
            starts: Requests that the target has started.
            now: Monotonic seconds.
        """
        proof = self._proof_by_target.get(target)
        if proof is None:
            return False
        if starts >= proof.until_starts:
            del self._proof_by_target[target]
            return False
        if now < proof.next_at:
            return False
        proof.next_at = now + FIRST_INTERVAL_SECONDS
        return True

    def retain(self, targets: Iterable[str]) -> None:
        """Forgets all other targets."""
        for name in self._proof_by_target.keys() - set(targets):
            del self._proof_by_target[name]


def choose_peers(
    candidates: Collection[str],
    preferred: Collection[str],
    count: int,
    rng: random.Random,
) -> list[str]:
    """Chooses the processes that are asked for a request.

    Args:
        candidates: Names of the processes that may be asked.
        preferred: Names of processes that have callers. Half of those asked
            are among them; the others are drawn from all, as callers change.
        count: Number of processes to ask.
        rng: Source of randomness.
    """
    known = [name for name in preferred if name in candidates]
    chosen = rng.sample(known, min((count + 1) // 2, len(known)))
    others = [name for name in candidates if name not in chosen]
    return chosen + rng.sample(others, min(count - len(chosen), len(others)))


class RecentSenders:
    """Processes that sent requests to a target lately, so they have callers."""

    def __init__(self):
        # Monotonic seconds of the last request, by process, the oldest first.
        self._sent_at_by_process: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._idempotent_at_by_process: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record(self, process: str, idempotent: bool, now: float) -> None:
        """Records a request of a process."""
        _touch(self._sent_at_by_process, process, now)
        if idempotent:
            _touch(self._idempotent_at_by_process, process, now)

    def names(self, state: State, now: float) -> list[str]:
        """Returns those whose requests may run on a target in this state."""
        sent_at_by_process = (
            self._idempotent_at_by_process
            if state is State.SUSPECT
            else self._sent_at_by_process
        )
        return [
            name
            for name, at in sent_at_by_process.items()
            if now - at < SENDER_SECONDS
        ]


def _touch(
    at_by_process: collections.OrderedDict[str, float],
    process: str,
    now: float,
) -> None:
    at_by_process[process] = now
    at_by_process.move_to_end(process)
    if len(at_by_process) > MAX_SENDERS:
        at_by_process.popitem(last=False)
