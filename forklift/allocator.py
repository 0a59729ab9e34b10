"""Allocates the rate limits of a shard of organisations to the processes.

Each of N processes delegates its share of the limits, 1/N, to the process that
it has selected as allocator of the shard. An allocator grants no more than the
shares delegated to it. The sum over all processes therefore stays within the
limits even if several processes act as allocator, or if processes are
partitioned, paused or restarted. Leases expire before the delegations that
cover them.
"""

import collections
import dataclasses
import itertools
import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from forklift import limit_messages as messages
from forklift import organisations
from forklift import rate_limits

# Seconds between two delegations of a process.
DELEGATION_PERIOD_SECONDS = 1.0
# Seconds for which a delegation is valid. It spans several delegations, so that
# a few lost messages in a row take nothing away.
DELEGATION_SECONDS = 5.0
# Seconds for which a lease is valid; shorter than DELEGATION_SECONDS, so that
# the lease expires before the delegations that cover it.
LEASE_SECONDS = 2.5
# Fraction of the delegated capacity that may be leased. The rest is granted as
# single tokens to processes whose leases are used up. The unused rest of a
# lease helps no other process.
LEASABLE_FRACTION = 0.5
# Tokens that are earned within this time are granted in advance. A request
# waits for its token for a shorter time than a rejected caller would.
MAX_TOKEN_WAIT_SECONDS = 0.05
# Upper bound for the retry_after of a token grant.
MAX_RETRY_AFTER_SECONDS = 10.0
# Upper bound for the time after which a process whose request was refused is
# told to ask again while other processes wait for tokens, too. Tokens that
# become available earlier, as leases expire, stay unused for no longer.
MAX_TURN_SECONDS = 1.0
# Increase of the capacity, as a fraction of a limit, after which new token
# pools are filled only with the tokens since that increase. Another allocator
# may have granted the earlier tokens.
NOTABLE_CAPACITY_RISE = 0.1
# Share of the limits from which on an allocator counts as having the whole: the
# shares of processes that have just ended are missing for some seconds.
COMPLETE_SHARE = 1.0 - NOTABLE_CAPACITY_RISE
# Seconds after which an unused token pool is deleted.
POOL_RETENTION_SECONDS = 60.0
# Upper bound for the duration of a handover. Delegations that are handed over
# expire this much earlier.
HANDOVER_SECONDS = 0.25

FindOrganisation = Callable[[str], organisations.Organisation | None]


@dataclasses.dataclass(frozen=True)
class FormerShard:
    """A shard that this process handed over to another allocator.

    Attributes:
        successor: The process that received it.
        until: Time until which the successor may grant the shares that were
            handed over, monotonic seconds.
    """

    successor: messages.ProcessRun
    until: float


@dataclasses.dataclass
class _IssuedAllocation:
    """An allocation whose leases may be in use.

    Attributes:
        sequence: Sequence number; 0 if an earlier allocator issued it.
        sent_at: Time of sending, monotonic seconds.
        expires_at: Time at which the leases expire, monotonic seconds.
        share_by_organisation: Leased fraction of each limit.
    """

    sequence: int
    sent_at: float
    expires_at: float
    share_by_organisation: dict[str, float]


@dataclasses.dataclass
class _Delegator:
    """State of a process that delegates its share to the allocator."""

    process: messages.ProcessRun
    share: float = 0.0
    # Period in which the allocator may grant the share, monotonic seconds.
    grantable_from: float = math.inf
    expires_at: float = -math.inf
    # Whether no allocator but earlier runs of this one may still grant the
    # share.
    only_earlier_own_runs: bool = False
    last_sequence: int = 0
    heard_at: float = -math.inf
    issued: collections.deque[_IssuedAllocation] = dataclasses.field(
        default_factory=collections.deque
    )
    rate_by_organisation: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def leased_share(self, organisation: str, now: float) -> float:
        """Largest share of a limit that valid leases of the process cover."""
        return max(
            (
                one.share_by_organisation.get(organisation, 0.0)
                for one in self.issued
                if one.expires_at > now
            ),
            default=0.0,
        )

    def acknowledge(self, sequence: int) -> _IssuedAllocation | None:
        """Drops allocations older than the one that the process echoed.

        Args:
            sequence: Sequence number of the echoed allocation.

        Returns:
            The echoed allocation; None if it is not known.
        """
        if all(one.sequence != sequence for one in self.issued):
            return None
        while self.issued[0].sequence != sequence:
            self.issued.popleft()
        return self.issued[0]


class _TokenPool:
    """Tokens of one organisation that are granted one by one."""

    def __init__(self, since: float):
        self.bucket = rate_limits.TokenBucket(since)
        self.free_share: float | None = None
        self.used_at = since
        # Time from which the next process may be told to ask, monotonic
        # seconds.
        self._next_turn_at = -math.inf

    def refill(
        self, now: float, free_share: float, rate: float, depth: float
    ) -> rate_limits.TokenBucket:
        """Adds tokens for the time since the last call.

        Tokens accrue at the smaller of the current and the previous free share.

        Args:
            now: Monotonic seconds.
            free_share: Fraction of the limit that is not leased, 0 to 1.
            rate: Tokens per second of the whole limit.
            depth: Tokens that the whole limit may store.
        """
        earning = (
            free_share
            if self.free_share is None
            else min(free_share, self.free_share)
        )
        self.bucket.refill(now, rate * earning, depth * free_share)
        self.free_share, self.used_at = free_share, now
        return self.bucket

    def take_turn(
        self, now: float, wait: float, tokens: int, rate: float
    ) -> float:
        """Tells a process when to ask again, after those refused before it.

        If all were told when the next token is due, each of them would ask for
        that token, and all but one in vain.

        Args:
            now: Monotonic seconds.
            wait: Seconds until the next token.
            tokens: Number of tokens that the process still wants.
            rate: Tokens per second.

        Returns:
            Seconds until the process is to ask.
        """
        last = now + max(wait, MAX_TURN_SECONDS)
        turn = min(last, max(now + wait, self._next_turn_at))
        self._next_turn_at = min(last, turn + tokens / rate)
        return turn - now


class Allocator:
    """Grants the limits of one shard of the organisations."""

    def __init__(
        self,
        own: messages.ProcessRun,
        shard: int,
        bounds: rate_limits.Bounds,
        find_organisation: FindOrganisation,
        find_lease_holders: Callable[[float], Iterable[str]],
        now: float,
        sequences: Iterator[int] | None = None,
        former_shard: FormerShard | None = None,
        overload_control: Callable[[], bool] = lambda: False,
    ):
        """Creates an allocator without delegations.

        Args:
            own: This process.
            shard: Number of the shard.
            bounds: Permitted overshoot of the limits.
            find_organisation: Finds an organisation by its name.
            find_lease_holders: Returns the names of the processes that may
                delegate shares or hold leases at a time, monotonic seconds.
            now: Monotonic seconds.
            sequences: Increasing sequence numbers, shared by all allocators of
                this run of the process.
            former_shard: The shard, if this process handed it over recently.
            overload_control: Whether overload control is in force.
        """
        self._sequences = sequences or itertools.count(1)
        self._former_shard = former_shard
        self._overload_control = overload_control
        self._own = own
        self._shard = shard
        self._bounds = bounds
        self._find_organisation = find_organisation
        self._find_lease_holders = find_lease_holders
        self._delegator_by_name: dict[str, _Delegator] = {}
        self._user_names_by_organisation: dict[str, set[str]] = {}
        self._pool_by_organisation: dict[str, _TokenPool] = {}
        # Time at which all leases of each run that handed over to this
        # allocator have expired, by boot; monotonic seconds.
        self._superseded: dict[int, float] = {}
        # Time of the last notable increase of the capacity in monotonic
        # seconds, and the lowest capacity since then.
        self._stable_since = now
        self._stable_capacity = 0.0
        # Capacity before that increase.
        self._stable_capacity_before = 0.0

    # Delegations.

    def capacity(self, now: float) -> float:
        """Fraction of each limit that this allocator may grant, 0 to 1."""
        complete = self._all_delegated(now)
        delegated = 0.0
        for one in self._delegator_by_name.values():
            if one.expires_at < now + LEASE_SECONDS:
                continue
            if one.grantable_from <= now or (
                complete and one.only_earlier_own_runs
            ):
                delegated += one.share
        delegated = min(1.0, delegated)
        if delegated > self._stable_capacity + NOTABLE_CAPACITY_RISE:
            self._stable_capacity_before = self._stable_capacity
            self._stable_since, self._stable_capacity = now, delegated
        self._stable_capacity = min(self._stable_capacity, delegated)
        return delegated

    def _all_delegated(self, now: float) -> bool:
        """Whether no process may hold a lease of another allocator.

        If all possible lease holders delegate to this run, leases of earlier
        runs of this process are no longer in use.
        """
        for name in self._find_lease_holders(now):
            delegator = self._delegator_by_name.get(name)
            if (
                delegator is None
                or now - delegator.heard_at > DELEGATION_SECONDS
            ):
                return False
            if (
                delegator.grantable_from > now
                and not delegator.only_earlier_own_runs
            ):
                return False
        return True

    def receive_delegation(
        self, delegation: messages.Delegation, now: float
    ) -> messages.Allocation | None:
        """Answers a delegation; returns None if it arrives out of order."""
        delegator = self._delegator_by_name.get(delegation.sender.name)
        if (
            delegator is None
            or delegator.process.boot != delegation.sender.boot
        ):
            # Leases of an earlier run of the process ended with that run.
            self._drop(delegation.sender.name)
            delegator = _Delegator(delegation.sender)
            self._delegator_by_name[delegation.sender.name] = delegator
        if delegation.sequence <= delegator.last_sequence:
            return None
        delegator.process = delegation.sender
        delegator.last_sequence, delegator.heard_at = delegation.sequence, now
        self._update_share(delegator, delegation, now)
        self._update_demands(delegator, delegation.demands)
        return self._allocate(delegator, delegation, now)

    def _update_share(
        self, delegator: _Delegator, delegation: messages.Delegation, now: float
    ) -> None:
        delegator.only_earlier_own_runs = all(
            name == self._own.name for name, _ in delegation.previous_allocators
        )
        handed_over = all(
            boot in self._superseded
            for _, boot in delegation.previous_allocators
        )
        wait = 0.0 if handed_over else delegation.exclusive_in
        delegator.grantable_from = now + wait
        if self._successor_may_grant(delegation):
            delegator.only_earlier_own_runs = False
            delegator.grantable_from = max(
                delegator.grantable_from, self._former_shard.until
            )
        if delegation.echo_boot != self._own.boot:
            return
        echoed = delegator.acknowledge(delegation.echo)
        if echoed is not None:
            delegator.share = delegation.share
            delegator.expires_at = max(
                delegator.expires_at, echoed.sent_at + delegation.valid_for
            )

    def _successor_may_grant(self, delegation: messages.Delegation) -> bool:
        """Whether a share was handed over without the delegator's knowledge."""
        if self._former_shard is None:
            return False
        successor = self._former_shard.successor
        return (
            successor.boot not in self._superseded
            and (successor.name, successor.boot)
            not in delegation.previous_allocators
        )

    def _update_demands(
        self, delegator: _Delegator, demands: Iterable[messages.Demand]
    ) -> None:
        name = delegator.process.name
        for organisation in delegator.rate_by_organisation:
            self._user_names_by_organisation[organisation].discard(name)
        delegator.rate_by_organisation = {}
        for one in demands:
            if one.rate > 0:
                delegator.rate_by_organisation[one.organisation] = one.rate
        leased = {
            name
            for sent in delegator.issued
            for name in sent.share_by_organisation
        }
        for organisation in leased | set(delegator.rate_by_organisation):
            self._user_names(organisation).add(name)

    def _user_names(self, organisation: str) -> set[str]:
        """Names of processes with demand or leases of an organisation."""
        return self._user_names_by_organisation.setdefault(organisation, set())

    # Allocations.

    def _allocate(
        self, delegator: _Delegator, delegation: messages.Delegation, now: float
    ) -> messages.Allocation:
        capacity = self.capacity(now)
        shares = {}
        for organisation in delegator.rate_by_organisation:
            share = self._share_to_lease(delegator, organisation, capacity, now)
            if share:
                shares[organisation] = share
        sequence = next(self._sequences)
        delegator.issued.append(
            _IssuedAllocation(sequence, now, now + LEASE_SECONDS, shares)
        )
        for organisation in shares:
            self._user_names(organisation).add(delegator.process.name)
        return messages.Allocation(
            self._own,
            self._shard,
            sequence,
            delegation.sequence,
            LEASE_SECONDS,
            tuple(
                messages.Lease(name, share) for name, share in shares.items()
            ),
            self._answer_token_requests(delegation.demands, capacity, now),
            tuple(self._superseded),
        )

    def _answer_token_requests(
        self,
        demands: Iterable[messages.Demand],
        capacity: float,
        now: float,
    ) -> tuple[messages.TokenGrant, ...]:
        """Answers the requests for tokens, unless capacity may arrive any time.

        Requests for tokens of a limit that is not known are not answered,
        either. A process whose request is not answered asks again.
        """
        capacity_in = 0.0 if capacity else self._seconds_until_capacity(now)
        if math.isinf(capacity_in):
            return ()
        grants = []
        for one in demands:
            limit = self._limit_of(one)
            if one.tokens_wanted and limit is not None:
                grants.append(
                    self._grant_tokens(one, limit, capacity, capacity_in, now)
                )
        return tuple(grants)

    def _limit_of(
        self, demand: messages.Demand
    ) -> organisations.Organisation | None:
        """Limit of an organisation, as an organisation; None if not known.

        A process that has just started may have no configuration yet, and the
        organisation may be newer than the version that it has. The limit that
        the sender of the demand enforces holds then.
        """
        known = self._find_organisation(demand.organisation)
        if known is not None or not demand.limit_rate:
            return known
        return organisations.Organisation(
            demand.organisation,
            (),
            rate=demand.limit_rate,
            burst=demand.limit_burst,
        )

    def _seconds_until_capacity(self, now: float) -> float:
        """Seconds until a delegated share may be granted; infinite if unknown.

        Delegations that were not renewed, as during a pause of this process,
        may be renewed by the next message.
        """
        wait = min(
            (
                one.grantable_from - now
                for one in self._delegator_by_name.values()
                if one.share
            ),
            default=0.0,
        )
        return wait if wait > 0 else math.inf

    def _share_to_lease(
        self,
        delegator: _Delegator,
        organisation: str,
        capacity: float,
        now: float,
    ) -> float:
        """Share of a limit to lease to a process, in proportion to demand."""
        limit = self._find_organisation(organisation)
        if limit is None or not limit.limited:
            return 0.0
        depth = self._bounds.depth(limit.rate, limit.burst)
        leasable = LEASABLE_FRACTION * capacity
        wanted = self._wanted_share(delegator, organisation, limit, depth)
        all_wanted = sum(
            self._wanted_share(
                self._delegator_by_name[name], organisation, limit, depth
            )
            for name in self._user_names_by_organisation[organisation]
        )
        share = wanted * min(1.0, leasable / max(all_wanted, wanted))
        others = self._total_leased(organisation, now) - delegator.leased_share(
            organisation, now
        )
        share = min(share, leasable - others)
        # A bucket that can't store a whole token admits no request.
        return round(share, 4) if share * depth >= 1.0 else 0.0

    def _wanted_share(
        self,
        delegator: _Delegator,
        organisation: str,
        limit: organisations.Organisation,
        depth: float,
    ) -> float:
        rate = delegator.rate_by_organisation.get(organisation, 0.0)
        if not rate:
            return 0.0
        return max(1.0 / depth, rate / limit.rate)

    def _total_leased(self, organisation: str, now: float) -> float:
        """Upper bound for the sum of all valid leases of a limit, 0 to 1."""
        return sum(
            self._delegator_by_name[name].leased_share(organisation, now)
            for name in self._user_names_by_organisation.get(organisation, ())
        )

    def _grant_tokens(
        self,
        demand: messages.Demand,
        limit: organisations.Organisation,
        capacity: float,
        capacity_in: float,
        now: float,
    ) -> messages.TokenGrant:
        if not limit.limited:
            return messages.TokenGrant(
                demand.organisation, demand.tokens_wanted, 0.0
            )
        depth = self._bounds.depth(limit.rate, limit.burst)
        free = max(0.0, capacity - self._total_leased(demand.organisation, now))
        pool = self._pool(demand.organisation, self._stable_since)
        bucket = pool.refill(now, free, limit.rate, depth)
        rate = limit.rate * free
        soon = rate * MAX_TOKEN_WAIT_SECONDS
        count = max(0, min(demand.tokens_wanted, int(bucket.tokens + soon)))
        bucket.tokens -= count
        retry_after = 0.0
        if count < demand.tokens_wanted:
            # Without a free share tokens accrue again once leases expire.
            wait = bucket.wait(rate, 1.0) if rate else LEASE_SECONDS
            if rate and self._overload_control():
                missing = demand.tokens_wanted - count
                wait = pool.take_turn(now, wait, missing, rate)
            retry_after = min(MAX_RETRY_AFTER_SECONDS, capacity_in or wait)
        return messages.TokenGrant(
            demand.organisation,
            count,
            round(retry_after, 3),
            round(bucket.wait(rate, 0.0), 3),
            round(self._granted_share(limit, capacity, now), 3),
            round(self._demand_rate(demand.organisation, now) / limit.rate, 3),
        )

    def _granted_share(
        self, limit: organisations.Organisation, capacity: float, now: float
    ) -> float:
        """Fraction of a limit that this allocator could grant recently, 0 to 1.

        After an increase of the capacity the pool is filled only with the
        tokens since then, while the organisation may be due its whole burst.
        """
        refilled = (now - self._stable_since) * limit.rate
        if refilled < limit.burst:
            return min(capacity, self._stable_capacity_before)
        return capacity

    def _demand_rate(self, organisation: str, now: float) -> float:
        """Requests per second of an organisation at all processes.

        Processes that this allocator does not hear of, as it is cut off from
        them, are taken to have as much demand each as the others; 0 if that is
        not known.
        """
        heard = sum(
            one.share
            for one in self._delegator_by_name.values()
            if now - one.heard_at <= DELEGATION_SECONDS
        )
        if not heard:
            return 0.0
        rate = sum(
            self._delegator_by_name[name].rate_by_organisation.get(
                organisation, 0.0
            )
            for name in self._user_names_by_organisation.get(organisation, ())
        )
        return rate / min(1.0, heard)

    def _pool(self, organisation: str, since: float) -> _TokenPool:
        """Returns the pool of an organisation; a new one fills up from since.

        Args:
            organisation: Name of the organisation.
            since: Monotonic seconds.
        """
        pool = self._pool_by_organisation.get(organisation)
        if pool is None:
            pool = self._pool_by_organisation[organisation] = _TokenPool(since)
        return pool

    # Expiry and handover.

    def tick(self, now: float) -> None:
        """Drops expired state.

        This covers delegations, unused token pools, and the records of runs
        that handed over to this allocator.
        """
        for name, delegator in list(self._delegator_by_name.items()):
            ended = max(
                delegator.heard_at + DELEGATION_SECONDS, delegator.expires_at
            )
            if now > ended and all(
                one.expires_at <= now for one in delegator.issued
            ):
                self._drop(name)
        for organisation, pool in list(self._pool_by_organisation.items()):
            if now - pool.used_at > POOL_RETENTION_SECONDS:
                del self._pool_by_organisation[organisation]
        for boot, until in list(self._superseded.items()):
            if now > until:
                del self._superseded[boot]

    def hand_over(self, to_boot: int, now: float) -> messages.Handover | None:
        """Transfers all delegations to another allocator.

        This allocator must not be used afterwards.

        Args:
            to_boot: Run of the process that receives them.
            now: Monotonic seconds.

        Returns:
            The message to send; None if there are no delegations.
        """
        delegations = tuple(
            self._held_delegation(one, now)
            for one in self._delegator_by_name.values()
            if one.expires_at > now and one.share
        )
        if not delegations:
            return None
        supersedes = (*self._superseded, self._own.boot)
        pools = tuple(
            messages.PooledTokens(name, round(pool.bucket.tokens, 3))
            for name, pool in self._pool_by_organisation.items()
        )
        return messages.Handover(
            self._own, to_boot, self._shard, supersedes, delegations, pools
        )

    def _held_delegation(
        self, delegator: _Delegator, now: float
    ) -> messages.HeldDelegation:
        names = {
            name
            for one in delegator.issued
            for name in one.share_by_organisation
        }
        shares = {name: delegator.leased_share(name, now) for name in names}
        until = max((one.expires_at for one in delegator.issued), default=now)
        counts = delegator.grantable_from <= now
        return messages.HeldDelegation(
            delegator.process,
            delegator.share if counts else 0.0,
            round(delegator.expires_at - now, 3),
            tuple(messages.Lease(*item) for item in shares.items() if item[1]),
            round(max(0.0, until - now), 3),
        )

    def accept_handover(self, handover: messages.Handover, now: float) -> None:
        """Takes over the delegations of an allocator that stops allocating."""
        for boot in handover.supersedes:
            self._superseded[boot] = now + DELEGATION_SECONDS
        for one in handover.pools:
            self._pool(one.organisation, now).bucket.tokens += one.tokens
        for held in handover.delegations:
            delegator = self._delegator_by_name.get(held.delegator.name)
            if delegator is None:
                delegator = _Delegator(held.delegator, held.share, now)
                delegator.expires_at = now + held.expires_in - HANDOVER_SECONDS
                delegator.heard_at = now
                self._delegator_by_name[held.delegator.name] = delegator
            if delegator.process.boot == held.delegator.boot:
                shares = {one.organisation: one.share for one in held.leases}
                delegator.issued.append(
                    _IssuedAllocation(
                        0, now, now + held.leases_valid_for, shares
                    )
                )
                for organisation in shares:
                    self._user_names(organisation).add(held.delegator.name)

    def _drop(self, name: str) -> None:
        self._delegator_by_name.pop(name, None)
        for organisation, names in list(
            self._user_names_by_organisation.items()
        ):
            names.discard(name)
            if not names:
                del self._user_names_by_organisation[organisation]
