"""Allocates the limits of some organisations among the processes of a fleet.

Each process lends its share, one part in N, to the one allocator of a shard
that it sees. An allocator grants what it was lent, and nothing beyond: so the
sum over all processes is right whoever else takes itself for the allocator, and
whoever is cut off, paused or just started. What it was lent lasts for a while
from a moment that the allocator knows, and what it grants ends before.
"""

import collections
import dataclasses
import math
from collections.abc import Callable
from collections.abc import Iterable

from forklift import limit_messages as messages
from forklift import organisations
from forklift import rate_limits

# Seconds between two votes of a process, and for which each lends its share: so
# many that some lost ones in a row take nothing away.
DELEGATION_PERIOD = 1.0
DELEGATION_SECONDS = 5.0
# Seconds for which a part holds: it ends before what it was granted from does,
# though two votes in a row are lost.
LEASE_SECONDS = 2.5
# Share of a limit that is dealt out in parts. The rest answers who asks: what
# is left of a part where nobody calls just then helps no other.
LEASABLE_FRACTION = 0.5
# Longest wait that is told to who asks, seconds.
MAX_RETRY_AFTER = 10.0
# A rise of what it was lent beyond this begins with no tokens stored: those
# before it may have been spent by another allocator.
CAPACITY_RISE = 0.1
# Seconds after which tokens of an organisation that nobody asks for are
# forgotten; they would be full again by then.
FORGET_AFTER = 60.0
# Seconds that a handover may take; what it lends ends earlier by so much.
HANDOVER_SECONDS = 0.25

FindOrganisation = Callable[[str], organisations.Organisation | None]


@dataclasses.dataclass
class _Sent:
    """An allocation that its receiver may go by.

    Attributes:
        number: Its number; 0 for one of an earlier allocator.
        at: Monotonic seconds when it was sent.
        until: Monotonic seconds after which nobody goes by it.
        parts: Parts by organisation.
    """

    number: int
    at: float
    until: float
    parts: dict[str, float]


@dataclasses.dataclass
class _Voter:
    """What is known of a process that votes here."""

    voter: messages.ProcessRun
    weight: float = 0.0
    # From when to when its share counts here.
    counted_from: float = math.inf
    expires: float = -math.inf
    # Whether only earlier runs of this process may count its share elsewhere.
    ours: bool = False
    heard: int = 0
    heard_at: float = -math.inf
    number: int = 0
    sent: collections.deque[_Sent] = dataclasses.field(
        default_factory=collections.deque
    )
    rate_by_organisation: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def part(self, organisation: str, now: float) -> float:
        """The most that it may be using of a limit by itself."""
        return max(
            (
                one.parts.get(organisation, 0.0)
                for one in self.sent
                if one.until > now
            ),
            default=0.0,
        )

    def echoed(self, number: int) -> _Sent | None:
        """Forgets what came before an allocation that it goes by now."""
        if all(one.number != number for one in self.sent):
            return None
        while self.sent[0].number != number:
            self.sent.popleft()
        return self.sent[0]


class _Store:
    """Tokens of one organisation that are granted one by one."""

    def __init__(self, since: float):
        self.bucket = rate_limits.TokenBucket(since)
        self.free: float | None = None
        self.used_at = since

    def refill(
        self, now: float, free: float, rate: float, depth: float
    ) -> rate_limits.TokenBucket:
        """Time passed, in which at least the lesser part was free."""
        earning = free if self.free is None else min(free, self.free)
        self.bucket.refill(now, rate * earning, depth * free)
        self.free, self.used_at = free, now
        return self.bucket


class Allocator:
    """The limits of one shard of the organisations."""

    def __init__(
        self,
        own: messages.ProcessRun,
        shard: int,
        bounds: rate_limits.Bounds,
        find_organisation: FindOrganisation,
        expected: Callable[[float], Iterable[str]],
        now: float,
    ):
        """Makes an allocator that was lent nothing yet.

        Args:
            own: This process.
            shard: Number of the shard.
            bounds: What may be run beyond limits.
            find_organisation: Finds an organisation by its name.
            expected: Names of the processes that may vote or hold parts now.
            now: Monotonic seconds.
        """
        self._own = own
        self._shard = shard
        self._bounds = bounds
        self._limit_of = find_organisation
        self._expected = expected
        self._voter_by_name: dict[str, _Voter] = {}
        self._names_by_organisation: dict[str, set[str]] = {}
        self._store_by_organisation: dict[str, _Store] = {}
        # Runs of allocators that gave their votes to this one, and when what
        # they granted is over.
        self._succeeds: dict[int, float] = {}
        # Since when it was lent about as much as now.
        self._since = now
        self._steady = 0.0

    # What it was lent.

    def capacity(self, now: float) -> float:
        """Share of each limit that may be granted now, 0 to 1."""
        complete = self._complete(now)
        lent = 0.0
        for one in self._voter_by_name.values():
            if one.expires < now + LEASE_SECONDS:
                continue
            if one.counted_from <= now or (complete and one.ours):
                lent += one.weight
        lent = min(1.0, lent)
        if lent > self._steady + CAPACITY_RISE:
            self._since, self._steady = now, lent
        self._steady = min(self._steady, lent)
        return lent

    def _complete(self, now: float) -> bool:
        """Whether no process may go by another allocator than this.

        All vote here, and an earlier run of this process is surely over.
        """
        for name in self._expected(now):
            known = self._voter_by_name.get(name)
            if known is None or now - known.heard_at > DELEGATION_SECONDS:
                return False
            if known.counted_from > now and not known.ours:
                return False
        return True

    def receive_delegation(
        self, vote: messages.Delegation, now: float
    ) -> messages.Allocation | None:
        """A process votes; None for a vote that is late."""
        known = self._voter_by_name.get(vote.sender.name)
        if known is None or known.voter.boot != vote.sender.boot:
            # What an earlier run of it held has ended with that.
            self._drop(vote.sender.name)
            known = _Voter(vote.sender)
            self._voter_by_name[vote.sender.name] = known
        if vote.sequence <= known.heard:
            return None
        known.voter = vote.sender
        known.heard, known.heard_at = vote.sequence, now
        self._count(known, vote, now)
        self._note_demands(known, vote.demands)
        return self._allocate(known, vote, now)

    def _count(
        self, known: _Voter, vote: messages.Delegation, now: float
    ) -> None:
        known.ours = all(
            name == self._own.name for name, _ in vote.previous_allocators
        )
        handed = all(
            boot in self._succeeds for _, boot in vote.previous_allocators
        )
        wait = 0.0 if handed else vote.exclusive_in
        known.counted_from = now + wait
        if vote.echo_boot != self._own.boot:
            return
        echoed = known.echoed(vote.echo)
        if echoed is not None:
            known.weight = vote.share
            known.expires = max(known.expires, echoed.at + vote.valid_for)

    def _note_demands(
        self, known: _Voter, demands: Iterable[messages.Demand]
    ) -> None:
        name = known.voter.name
        for organisation in known.rate_by_organisation:
            self._names_by_organisation[organisation].discard(name)
        known.rate_by_organisation = {}
        for one in demands:
            if one.rate > 0:
                known.rate_by_organisation[one.organisation] = one.rate
        held = {name for sent in known.sent for name in sent.parts}
        for organisation in held | set(known.rate_by_organisation):
            self._users(organisation).add(name)

    def _users(self, organisation: str) -> set[str]:
        """Names of the voters that have requests or a part of one."""
        return self._names_by_organisation.setdefault(organisation, set())

    # What it grants.

    def _allocate(
        self, known: _Voter, vote: messages.Delegation, now: float
    ) -> messages.Allocation:
        lent = self.capacity(now)
        parts = {}
        for organisation in known.rate_by_organisation:
            part = self._part(known, organisation, lent, now)
            if part:
                parts[organisation] = part
        known.number += 1
        known.sent.append(_Sent(known.number, now, now + LEASE_SECONDS, parts))
        for organisation in parts:
            self._users(organisation).add(known.voter.name)
        tokens = tuple(
            self._tokens(one, lent, now)
            for one in vote.demands
            if one.tokens_wanted
        )
        return messages.Allocation(
            self._own,
            self._shard,
            known.number,
            vote.sequence,
            LEASE_SECONDS,
            tuple(messages.Lease(name, part) for name, part in parts.items()),
            tokens,
            tuple(self._succeeds),
        )

    def _part(
        self, known: _Voter, organisation: str, lent: float, now: float
    ) -> float:
        """The part of a limit that a process is to use by itself."""
        limit = self._limit_of(organisation)
        if limit is None or not limit.limited:
            return 0.0
        depth = self._bounds.depth(limit.rate, limit.burst)
        dealt = LEASABLE_FRACTION * lent
        wanted = self._wanted(known, organisation, limit, depth)
        all_wanted = sum(
            self._wanted(self._voter_by_name[name], organisation, limit, depth)
            for name in self._names_by_organisation[organisation]
        )
        part = wanted * min(1.0, dealt / max(all_wanted, wanted))
        others = self._used(organisation, now) - known.part(organisation, now)
        part = min(part, dealt - others)
        # With less than a token in store it could use none of it.
        return round(part, 4) if part * depth >= 1.0 else 0.0

    def _wanted(
        self,
        known: _Voter,
        organisation: str,
        limit: organisations.Organisation,
        depth: float,
    ) -> float:
        rate = known.rate_by_organisation.get(organisation, 0.0)
        if not rate:
            return 0.0
        return max(1.0 / depth, rate / limit.rate)

    def _used(self, organisation: str, now: float) -> float:
        """The most of a limit that processes may be using by themselves."""
        return sum(
            self._voter_by_name[name].part(organisation, now)
            for name in self._names_by_organisation.get(organisation, ())
        )

    def _tokens(
        self, asked: messages.Demand, lent: float, now: float
    ) -> messages.TokenGrant:
        limit = self._limit_of(asked.organisation)
        if limit is None or not limit.limited:
            return messages.TokenGrant(
                asked.organisation, asked.tokens_wanted, 0.0
            )
        depth = self._bounds.depth(limit.rate, limit.burst)
        free = max(0.0, lent - self._used(asked.organisation, now))
        store = self._store_by_organisation.get(asked.organisation)
        if store is None:
            store = _Store(self._since)
            self._store_by_organisation[asked.organisation] = store
        bucket = store.refill(now, free, limit.rate, depth)
        count = min(asked.tokens_wanted, int(bucket.tokens))
        bucket.tokens -= count
        wait = 0.0
        if count < asked.tokens_wanted:
            wait = min(MAX_RETRY_AFTER, bucket.wait(limit.rate * free))
        return messages.TokenGrant(asked.organisation, count, round(wait, 3))

    # Its life.

    def tick(self, now: float) -> None:
        """Forgets who and what was not heard of for long."""
        for name, known in list(self._voter_by_name.items()):
            ended = max(known.heard_at + DELEGATION_SECONDS, known.expires)
            if now > ended and all(one.until <= now for one in known.sent):
                self._drop(name)
        for organisation, store in list(self._store_by_organisation.items()):
            if now - store.used_at > FORGET_AFTER:
                del self._store_by_organisation[organisation]
        for boot, until in list(self._succeeds.items()):
            if now > until:
                del self._succeeds[boot]

    def hand_over(self, to_boot: int, now: float) -> messages.Handover | None:
        """Gives all up to another allocator; None where there is nothing.

        This one must not be used after that.
        """
        lent = tuple(
            self._lent(one, now)
            for one in self._voter_by_name.values()
            if one.expires > now and one.weight
        )
        if not lent:
            return None
        succeeds = (*self._succeeds, self._own.boot)
        return messages.Handover(
            self._own, to_boot, self._shard, succeeds, lent
        )

    def _lent(self, known: _Voter, now: float) -> messages.HeldDelegation:
        names = {name for one in known.sent for name in one.parts}
        parts = {name: known.part(name, now) for name in names}
        until = max((one.until for one in known.sent), default=now)
        counts = known.counted_from <= now
        return messages.HeldDelegation(
            known.voter,
            known.weight if counts else 0.0,
            round(known.expires - now, 3),
            tuple(messages.Lease(*item) for item in parts.items() if item[1]),
            round(max(0.0, until - now), 3),
        )

    def accept_handover(self, given: messages.Handover, now: float) -> None:
        """Another allocator gave up the shard, and grants nothing any more."""
        for boot in given.supersedes:
            self._succeeds[boot] = now + DELEGATION_SECONDS
        for lent in given.delegations:
            known = self._voter_by_name.get(lent.delegator.name)
            if known is None:
                known = _Voter(lent.delegator, lent.share, now)
                known.expires = now + lent.expires_in - HANDOVER_SECONDS
                known.heard_at = now
                self._voter_by_name[lent.delegator.name] = known
            if known.voter.boot == lent.delegator.boot:
                parts = {one.organisation: one.share for one in lent.leases}
                known.sent.append(
                    _Sent(0, now, now + lent.leases_valid_for, parts)
                )
                for organisation in parts:
                    self._users(organisation).add(lent.delegator.name)

    def _drop(self, name: str) -> None:
        self._voter_by_name.pop(name, None)
        for organisation, names in list(self._names_by_organisation.items()):
            names.discard(name)
            if not names:
                del self._names_by_organisation[organisation]
