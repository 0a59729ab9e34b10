"""Enforces the rate limits of organisations together with other processes.

Each process selects the allocator of a shard by rendezvous hashing over the
usable processes. While their views of the fleet differ, several processes may
allocate the same shard; none grants more than the shares delegated to it.
"""

import dataclasses
import itertools
from collections.abc import Callable

from forklift import allocator as allocators
from forklift import limit_messages
from forklift import local_quota
from forklift import membership
from forklift import messages
from forklift import rate_limits
from forklift import rendezvous

# Seconds without an answer after which this process selects another allocator.
# Two delegations in a row are lost now and then, and the membership notices an
# end much later.
ALLOCATOR_TIMEOUT = 2.2 * allocators.DELEGATION_PERIOD_SECONDS
# Seconds between two selections of allocators.
ASSIGNMENT_PERIOD = 0.25
# Seconds for which this process follows a former allocator's word on who
# allocates a shard; long enough to hear of a new process by gossip.
REDIRECT_SECONDS = 2.0


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
        | limit_messages.AllocatorMoved
    )


@dataclasses.dataclass(frozen=True)
class _Redirect:
    """The allocator of a shard, as its former allocator says.

    Attributes:
        allocator: The allocator.
        until: Time until which the redirect is followed, monotonic seconds.
    """

    allocator: limit_messages.ProcessRun
    until: float


class Limiter:
    """Enforces the limits at one process and allocates shards of them.

    Attributes:
        quota: Admits requests of this process within its leases.
    """

    def __init__(
        self,
        directory: membership.Directory,
        bounds: rate_limits.Bounds,
        find_organisation: allocators.FindOrganisation,
        any_limited: Callable[[], bool | None],
        fleet_size_known: Callable[[], bool],
        on_tokens: Callable[[limit_messages.TokenGrant], None],
        on_redirect: Callable[[int], None] = lambda shard: None,
        overload_control: Callable[[], bool] = lambda: False,
    ):
        """Creates a limiter without leases.

        Args:
            directory: The members of the fleet.
            bounds: Permitted overshoot of the limits.
            find_organisation: Finds an organisation by its name.
            any_limited: Whether any organisation has a limit; None if there is
                no configuration yet.
            fleet_size_known: Whether this process knows the number of
                processes.
            on_tokens: Called with each answer to a request for tokens.
            on_redirect: Called with a shard whose requests for tokens the
                former allocator did not answer; they are to be sent again.
            overload_control: Whether overload control is in force.
        """
        self._directory = directory
        self._bounds = bounds
        self._find_organisation = find_organisation
        self._any_limited = any_limited
        self._fleet_size_known = fleet_size_known
        self._on_tokens = on_tokens
        self._on_redirect = on_redirect
        self._overload_control = overload_control
        self.quota = local_quota.LocalQuota(
            self._own_run,
            bounds,
            find_organisation,
            self._own_share,
            self._has_ended,
            overload_control,
        )
        self._allocator_by_shard: dict[int, allocators.Allocator] = {}
        self._allocation_sequences = itertools.count(1)
        # Shards that this process handed over to another.
        self._former_by_shard: dict[int, allocators.FormerShard] = {}
        # Shards whose former allocator named its successor.
        self._redirect_by_shard: dict[int, _Redirect] = {}
        # Allocators that did not answer in time and have sent no message since.
        self._unresponsive: set[str] = set()
        self._allocator_names: list[str] = [directory.own.name]
        self._next_assignment = 0.0

    def mark_alive(self, name: str) -> None:
        """Records that another process has sent a message."""
        self._unresponsive.discard(name)

    def set_bounds(self, bounds: rate_limits.Bounds) -> None:
        """Sets the permitted overshoot of the limits."""
        self._bounds = bounds
        self.quota.bounds = bounds

    def tick(self, now: float) -> list[Send]:
        """Selects allocators and returns the messages that are due."""
        if now < self._next_assignment or not self._is_needed():
            return []
        self._next_assignment = now + ASSIGNMENT_PERIOD
        self._detect_unresponsive(now)
        self._allocator_names = self._allocator_candidates()
        self._drop_expired(now)
        self.quota.tick(now)
        sends = []
        for shard in range(local_quota.SHARD_COUNT):
            name = self._allocator_of_shard(shard)
            sends += self._update_allocator(shard, name, now)
            if self.quota.delegation_due(shard, name, now):
                sends += self._delegate(shard, name, now)
        return sends

    def _is_needed(self) -> bool:
        """Whether this process takes part in the allocation of limits.

        If it has no configuration yet, but other processes delegate to it, they
        know of limits. Their shares can be granted sooner if it also delegates.
        """
        any_limited = self._any_limited()
        if any_limited is None:
            return bool(self._allocator_by_shard)
        return any_limited

    def request_tokens(
        self, organisation: str, count: int, now: float
    ) -> list[Send]:
        """Asks the allocator of an organisation for tokens.

        Args:
            organisation: Name of the organisation.
            count: Number of requests that wait for a token.
            now: Monotonic seconds.
        """
        self.quota.set_tokens_wanted(organisation, count)
        shard = local_quota.shard_of(organisation)
        return self._delegate(shard, self._allocator_of_shard(shard), now)

    def allocator_of(self, organisation: str) -> str:
        """Name of the process selected as allocator of an organisation."""
        return self._allocator_of_shard(local_quota.shard_of(organisation))

    def receive(self, message: object, now: float) -> list[Send]:
        """Handles a message of another process about limits."""
        self.mark_alive(message.sender.name)
        if isinstance(message, limit_messages.Delegation):
            return self._receive_delegation(message, now)
        if isinstance(message, limit_messages.Allocation):
            return self._receive_allocation(message, now)
        if isinstance(message, limit_messages.AllocatorMoved):
            return self._receive_redirect(message, now)
        self._receive_handover(message, now)
        return []

    # Delegation of this process's share.

    def _own_run(self) -> limit_messages.ProcessRun:
        own = self._directory.own
        return limit_messages.ProcessRun(own.name, own.control, own.boot)

    def _own_share(self) -> float:
        """Share of this process; equal for all processes that may run."""
        if not self._fleet_size_known():
            return 0.0
        return 1.0 / (1 + sum(1 for _ in self._members_not_left()))

    def _has_ended(self, name: str, boot: int) -> bool:
        """Whether a run of a process is known to have left or restarted."""
        if name == self._directory.own.name:
            return boot != self._directory.own.boot
        member = self._directory.member_by_name.get(name)
        if member is None:
            return False
        left = member.liveness is messages.Liveness.LEFT
        return left or member.info.boot != boot

    def _members_not_left(self):
        """Yields other processes that have not left, reachable or not."""
        for name, member in self._directory.member_by_name.items():
            if member.liveness is not messages.Liveness.LEFT:
                yield name, member

    def _delegate(self, shard: int, name: str, now: float) -> list[Send]:
        delegation = self.quota.delegate(shard, name, now)
        if name == self._directory.own.name:
            return self._receive_delegation(delegation, now)
        address = self._control_address(shard, name)
        return [Send(address, delegation)] if address else []

    def _control_address(self, shard: int, name: str) -> str:
        """Control address of an allocator; empty if it is not known."""
        member = self._directory.member_by_name.get(name)
        if member is not None:
            return member.info.control
        redirect = self._redirect_by_shard.get(shard)
        if redirect is not None and redirect.allocator.name == name:
            return redirect.allocator.control
        return ""

    def _receive_redirect(
        self, moved: limit_messages.AllocatorMoved, now: float
    ) -> list[Send]:
        """Turns to the successor of an allocator that handed over a shard."""
        if not 0 <= moved.shard < local_quota.SHARD_COUNT:
            return []
        name = moved.successor.name
        if (
            # Two former allocators may name each other.
            moved.shard in self._redirect_by_shard
            or name in self._unresponsive
            or moved.sender.name != self._allocator_of_shard(moved.shard)
        ):
            return []
        self._redirect_by_shard[moved.shard] = _Redirect(
            moved.successor, now + REDIRECT_SECONDS
        )
        sends = self._delegate(moved.shard, name, now)
        self._on_redirect(moved.shard)
        return sends

    def _receive_allocation(
        self, given: limit_messages.Allocation, now: float
    ) -> list[Send]:
        tokens = self.quota.receive(given, now)
        if tokens is None:
            return []
        for one in tokens:
            self._on_tokens(one)
        if self.quota.delegation_confirmed(given.shard):
            return []
        # Delegates again at once, as the allocator may grant the share only
        # after a delegation that echoes an allocation.
        name = self._allocator_of_shard(given.shard)
        if name != given.sender.name:
            return []
        return self._delegate(given.shard, name, now)

    # Allocation of shards.

    def _detect_unresponsive(self, now: float) -> None:
        """Excludes allocators that don't answer."""
        for shard in range(local_quota.SHARD_COUNT):
            if self.quota.seconds_unanswered(shard, now) > ALLOCATOR_TIMEOUT:
                self._unresponsive.add(self._allocator_of_shard(shard))
        self._unresponsive &= set(self._directory.member_by_name)

    def _allocator_candidates(self) -> list[str]:
        """Names of usable processes that answer and are not stopping."""
        own = self._directory.own.name
        return [
            info.name
            for info in self._directory.usable()
            if not _all_targets_paused(info)
            and (info.name == own or info.name not in self._unresponsive)
        ]

    def _drop_expired(self, now: float) -> None:
        """Drops redirects and records of handovers that have expired."""
        for shard, redirect in list(self._redirect_by_shard.items()):
            failed = redirect.allocator.name in self._unresponsive
            if failed or now >= redirect.until:
                del self._redirect_by_shard[shard]
        for shard, former in list(self._former_by_shard.items()):
            if now >= former.until:
                del self._former_by_shard[shard]

    def _allocator_of_shard(self, shard: int) -> str:
        """Name of the process selected as allocator of a shard."""
        redirect = self._redirect_by_shard.get(shard)
        if redirect is not None:
            return redirect.allocator.name
        names = self._allocator_names or [self._directory.own.name]
        salt = f"limits-{shard}"
        return max(names, key=lambda name: (rendezvous.score(salt, name), name))

    def _update_allocator(
        self, shard: int, name: str, now: float
    ) -> list[Send]:
        """Starts, continues or hands over the allocation of a shard."""
        allocator = self._allocator_by_shard.get(shard)
        if name == self._directory.own.name:
            if allocator is None:
                self._start_allocator(shard, now)
            else:
                allocator.tick(now)
            return []
        if allocator is None:
            return []
        allocator.tick(now)
        member = self._directory.member_by_name.get(name)
        if member is None or not self.quota.has_answered(shard, name):
            # The process may have failed; the delegations would be lost.
            return []
        del self._allocator_by_shard[shard]
        given = allocator.hand_over(member.info.boot, now)
        if given is None:
            return []
        successor = limit_messages.ProcessRun(
            name, member.info.control, member.info.boot
        )
        self._former_by_shard[shard] = allocators.FormerShard(
            successor, now + allocators.DELEGATION_SECONDS
        )
        return [Send(member.info.control, given)]

    def _start_allocator(self, shard: int, now: float) -> allocators.Allocator:
        allocator = allocators.Allocator(
            self._own_run(),
            shard,
            self._bounds,
            self._find_organisation,
            self._possible_lease_holders,
            now,
            self._allocation_sequences,
            self._former_by_shard.get(shard),
            self._overload_control,
        )
        self._allocator_by_shard[shard] = allocator
        return allocator

    def _possible_lease_holders(self, now: float) -> list[str]:
        """Names of processes that may still hold leases."""
        names = [self._directory.own.name]
        for name, member in self._members_not_left():
            dead = member.liveness is messages.Liveness.DEAD
            if not (
                dead and now - member.since > allocators.DELEGATION_SECONDS
            ):
                names.append(name)
        return names

    def _receive_delegation(
        self, delegation: limit_messages.Delegation, now: float
    ) -> list[Send]:
        if not 0 <= delegation.shard < local_quota.SHARD_COUNT:
            return []
        allocator = self._allocator_by_shard.get(delegation.shard)
        if allocator is None:
            redirect = self._redirect_to_successor(delegation)
            if redirect:
                return redirect
            # This is safe even if this process selects another allocator: an
            # allocator grants no more than the shares delegated to it.
            allocator = self._start_allocator(delegation.shard, now)
        given = allocator.receive_delegation(delegation, now)
        if given is None:
            return []
        if delegation.sender.name == self._directory.own.name:
            return self._receive_allocation(given, now)
        return [Send(delegation.sender.control, given)]

    def _redirect_to_successor(
        self, delegation: limit_messages.Delegation
    ) -> list[Send]:
        """Names the successor if this process handed over the shard."""
        shard, sender = delegation.shard, delegation.sender
        former = self._former_by_shard.get(shard)
        if former is None or sender.name == former.successor.name:
            return []
        if self._allocator_of_shard(shard) == self._directory.own.name:
            return []
        moved = limit_messages.AllocatorMoved(
            self._own_run(), shard, former.successor
        )
        return [Send(sender.control, moved)]

    def _receive_handover(
        self, given: limit_messages.Handover, now: float
    ) -> None:
        if given.to_boot != self._directory.own.boot:
            # The message is meant for an earlier run of this process.
            return
        if not 0 <= given.shard < local_quota.SHARD_COUNT:
            return
        allocator = self._allocator_by_shard.get(given.shard)
        if allocator is None:
            allocator = self._start_allocator(given.shard, now)
        allocator.accept_handover(given, now)


def _all_targets_paused(info: messages.ProcessInfo) -> bool:
    """Whether a process reports all its targets as paused."""
    paused = messages.TargetState.PAUSED
    states = [target.state for target in info.targets]
    return bool(states) and all(state is paused for state in states)
