"""Keeps one process to the limits of organisations, with all the others.

Which process allocates a shard everyone finds alike, by rendezvous hashing over
those that are there. Where views differ two may take themselves for it; neither
grants more than it was lent.
"""

import dataclasses
from collections.abc import Callable

from forklift import allocator as allocators
from forklift import limit_messages
from forklift import local_quota
from forklift import membership
from forklift import messages
from forklift import rate_limits
from forklift import rendezvous

# Seconds without an answer after which an allocator is taken for gone, here:
# two votes in a row are lost now and then, and others notice an end much later.
ALLOCATOR_TIMEOUT = 2.2 * allocators.DELEGATION_PERIOD
# Seconds between two looks which process allocates which shard.
ASSIGNMENT_PERIOD = 0.25


@dataclasses.dataclass(frozen=True)
class Send:
    """A message to another process.

    Attributes:
        address: Control address of the receiver.
        message: The message.
    """

    address: str
    message: (
        limit_messages.Delegation
        | limit_messages.Allocation
        | limit_messages.Handover
    )


class Limiter:
    """What one process does about limits."""

    def __init__(
        self,
        directory: membership.Directory,
        bounds: rate_limits.Bounds,
        find_organisation: allocators.FindOrganisation,
        any_limited: Callable[[], bool],
        counted: Callable[[], bool],
        on_tokens: Callable[[limit_messages.TokenGrant], None],
    ):
        """Makes a limiter that knows nothing yet.

        Args:
            directory: Who is there.
            bounds: What may be run beyond limits.
            find_organisation: Finds an organisation by its name.
            any_limited: Whether any organisation is limited.
            counted: Whether the number of processes is known.
            on_tokens: Takes answers to what was asked for.
        """
        self._directory = directory
        self._bounds = bounds
        self._limit_of = find_organisation
        self._any_limited = any_limited
        self._counted = counted
        self._on_tokens = on_tokens
        self.quota = local_quota.LocalQuota(
            self._own, bounds, find_organisation, self._weight, self._ended
        )
        self._allocator_by_shard: dict[int, allocators.Allocator] = {}
        # Processes that did not answer, and were not heard of since.
        self._silent: set[str] = set()
        self._names: list[str] = [directory.own.name]
        self._next_look = 0.0

    def mark_alive(self, name: str) -> None:
        """Another process is there."""
        self._silent.discard(name)

    def set_bounds(self, bounds: rate_limits.Bounds) -> None:
        """Takes other bounds."""
        self._bounds = bounds
        self.quota.bounds = bounds

    def tick(self, now: float) -> list[Send]:
        """Lets time pass."""
        if now < self._next_look or not self._any_limited():
            return []
        self._next_look = now + ASSIGNMENT_PERIOD
        self._note_silent(now)
        self._names = self._candidates()
        self.quota.tick(now)
        sends = []
        for shard in range(local_quota.SHARD_COUNT):
            name = self._allocator_of_shard(shard)
            sends += self._update_allocator(shard, name, now)
            if self.quota.delegation_due(shard, name, now):
                sends += self._vote(shard, name, now)
        return sends

    def request_tokens(
        self, organisation: str, count: int, now: float
    ) -> list[Send]:
        """So many requests wait for the word of their allocator."""
        self.quota.set_tokens_wanted(organisation, count)
        shard = local_quota.shard_of(organisation)
        return self._vote(shard, self._allocator_of_shard(shard), now)

    def allocator_of(self, organisation: str) -> str:
        """Name of the process that allocates a limit, as known here."""
        return self._allocator_of_shard(local_quota.shard_of(organisation))

    def receive(self, message: object, now: float) -> list[Send]:
        """Another process sent something about limits."""
        self.mark_alive(message.sender.name)
        if isinstance(message, limit_messages.Delegation):
            return self._hear(message, now)
        if isinstance(message, limit_messages.Allocation):
            return self._take(message, now)
        self._adopt(message, now)
        return []

    # This process's own part.

    def _own(self) -> limit_messages.ProcessRun:
        own = self._directory.own
        return limit_messages.ProcessRun(own.name, own.control, own.boot)

    def _weight(self) -> float:
        """This process's share: all that may be there have the same."""
        if not self._counted():
            return 0.0
        return 1.0 / (1 + sum(1 for _ in self._others()))

    def _ended(self, name: str, boot: int) -> bool:
        """Whether a run of a process is over: it left, or began another."""
        if name == self._directory.own.name:
            return boot != self._directory.own.boot
        member = self._directory.member_by_name.get(name)
        if member is None:
            return False
        left = member.liveness is messages.Liveness.LEFT
        return left or member.info.boot != boot

    def _others(self):
        """Processes that may be there, also where nobody hears of them."""
        for name, member in self._directory.member_by_name.items():
            if member.liveness is not messages.Liveness.LEFT:
                yield name, member

    def _vote(self, shard: int, name: str, now: float) -> list[Send]:
        vote = self.quota.delegate(shard, name, now)
        if name == self._directory.own.name:
            return self._hear(vote, now)
        member = self._directory.member_by_name.get(name)
        return [Send(member.info.control, vote)] if member else []

    def _take(self, given: limit_messages.Allocation, now: float) -> list[Send]:
        tokens = self.quota.receive(given, now)
        if tokens is None:
            return []
        for one in tokens:
            self._on_tokens(one)
        if self.quota.delegation_confirmed(given.shard):
            return []
        # The first one that this allocator can count.
        name = self._allocator_of_shard(given.shard)
        if name != given.sender.name:
            return []
        return self._vote(given.shard, name, now)

    # Allocators.

    def _note_silent(self, now: float) -> None:
        """Passes over allocators that don't answer."""
        for shard in range(local_quota.SHARD_COUNT):
            if self.quota.seconds_unanswered(shard, now) > ALLOCATOR_TIMEOUT:
                self._silent.add(self._allocator_of_shard(shard))
        self._silent &= set(self._directory.member_by_name)

    def _candidates(self) -> list[str]:
        """Processes that are there, answer and go on."""
        own = self._directory.own.name
        return [
            info.name
            for info in self._directory.usable()
            if not _stops(info)
            and (info.name == own or info.name not in self._silent)
        ]

    def _allocator_of_shard(self, shard: int) -> str:
        """Name of the process that allocates a shard, by what is known here."""
        names = self._names or [self._directory.own.name]
        salt = f"limits-{shard}"
        return max(names, key=lambda name: (rendezvous.score(salt, name), name))

    def _update_allocator(
        self, shard: int, name: str, now: float
    ) -> list[Send]:
        """Begins or ends to allocate a shard, as the fleet changes."""
        kept = self._allocator_by_shard.get(shard)
        if name == self._directory.own.name:
            if kept is None:
                self._start_allocator(shard, now)
            else:
                kept.tick(now)
            return []
        if kept is None:
            return []
        kept.tick(now)
        member = self._directory.member_by_name.get(name)
        if member is None or not self.quota.has_answered(shard, name):
            # What is handed to one that is gone would be lost.
            return []
        del self._allocator_by_shard[shard]
        given = kept.hand_over(member.info.boot, now)
        return [Send(member.info.control, given)] if given else []

    def _start_allocator(self, shard: int, now: float) -> allocators.Allocator:
        kept = allocators.Allocator(
            self._own(),
            shard,
            self._bounds,
            self._limit_of,
            self._expected,
            now,
        )
        self._allocator_by_shard[shard] = kept
        return kept

    def _expected(self, now: float) -> list[str]:
        """Processes that may hold what another allocator granted."""
        names = [self._directory.own.name]
        for name, member in self._others():
            gone = member.liveness is messages.Liveness.DEAD
            if not (
                gone and now - member.since > allocators.DELEGATION_SECONDS
            ):
                names.append(name)
        return names

    def _hear(self, vote: limit_messages.Delegation, now: float) -> list[Send]:
        if not 0 <= vote.shard < local_quota.SHARD_COUNT:
            return []
        kept = self._allocator_by_shard.get(vote.shard)
        if kept is None:
            # Also where this process sees another one in its place: it grants
            # no more than it is lent.
            kept = self._start_allocator(vote.shard, now)
        given = kept.receive_delegation(vote, now)
        if given is None:
            return []
        if vote.sender.name == self._directory.own.name:
            return self._take(given, now)
        return [Send(vote.sender.control, given)]

    def _adopt(self, given: limit_messages.Handover, now: float) -> None:
        if given.to_boot != self._directory.own.boot:
            # An earlier run of this process was meant.
            return
        if not 0 <= given.shard < local_quota.SHARD_COUNT:
            return
        kept = self._allocator_by_shard.get(given.shard)
        if kept is None:
            kept = self._start_allocator(given.shard, now)
        kept.accept_handover(given, now)


def _stops(info: messages.ProcessInfo) -> bool:
    """Whether a process said that it is about to end.

    It tells so of its targets, which live on.
    """
    paused = messages.TargetState.PAUSED
    states = [target.state for target in info.targets]
    return bool(states) and all(state is paused for state in states)
