"""Messages by which processes share the rate limits of organisations."""

import msgspec


class _Wire(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the messages and of their parts."""


class ProcessRun(_Wire):
    """One run of a process.

    Attributes:
        name: Name of the process.
        control: Address of its control listener, "ip:port".
        boot: Random ID of the run.
    """

    name: str
    control: str
    boot: int


class Demand(_Wire):
    """Demand of a process for the limit of one organisation.

    Attributes:
        organisation: Name of the organisation.
        rate: Recent arrival rate at the process, requests per second.
        tokens_wanted: Number of requests that wait for a token now.
        limit_rate: Rate of the limit that the process enforces, requests per
            second; 0 from an older version, which doesn't tell.
        limit_burst: Burst of that limit, requests.
    """

    organisation: str
    rate: float
    tokens_wanted: int
    limit_rate: float = 0.0
    limit_burst: float = 0.0


class Lease(_Wire):
    """A share of a limit that one process may use without asking.

    Attributes:
        organisation: Name of the organisation.
        share: Fraction of the limit, 0 to 1.
    """

    organisation: str
    share: float


class TokenGrant(_Wire):
    """The answer to a request for single tokens.

    Attributes:
        organisation: Name of the organisation.
        count: Number of tokens granted.
        retry_after: Seconds until more are available; 0 if all were granted.
        usable_in: Seconds until all of the granted tokens may be used.
        granted_share: Fraction of the limit that the allocator could grant
            recently, 0 to 1; None from an older version, which doesn't tell.
        load: Demand of all processes as a multiple of the limit's rate; 0 if it
            is not known.
    """

    organisation: str
    count: int
    retry_after: float
    usable_in: float = 0.0
    granted_share: float | None = None
    load: float = 0.0


class Delegation(_Wire, tag=60):
    """Delegates the sender's share of all limits of a shard to an allocator.

    Also reports the sender's demand and acknowledges the last allocation.

    Attributes:
        sender: The process that delegates its share.
        shard: Number of the shard.
        sequence: Increases with each delegation to this allocator.
        echo: Sequence number of the last allocation that the sender received
            from this allocator; 0 if there is none.
        echo_boot: Run of the allocator that sent that allocation.
        valid_for: Seconds for which the share is delegated, counted from when
            the echoed allocation was sent.
        share: The sender's share, 0 to 1; 0 if it does not know the size of
            the fleet.
        previous_allocators: Name and boot of the other allocators that may
            still grant the share.
        exclusive_in: Seconds until none of these may grant the share.
        demands: Demand for each organisation with recent or waiting requests.
    """

    sender: ProcessRun
    shard: int
    sequence: int
    echo: int
    echo_boot: int
    valid_for: float
    share: float
    previous_allocators: tuple[tuple[str, int], ...]
    exclusive_in: float
    demands: tuple[Demand, ...]


class Allocation(_Wire, tag=61):
    """Answers a delegation with leases and single tokens.

    Attributes:
        sender: The allocator.
        shard: Number of the shard.
        sequence: Increases with each allocation to this receiver.
        echo: Sequence number of the delegation that this answers.
        valid_for: Seconds for which the leases are valid, counted from when
            that delegation was sent.
        leases: All leases of the receiver; they replace the earlier leases
            from this allocator.
        token_grants: Answers to the receiver's requests for tokens; none if the
            sender doesn't know when it may grant tokens.
        supersedes: Boots of earlier allocators whose leases become invalid.
    """

    sender: ProcessRun
    shard: int
    sequence: int
    echo: int
    valid_for: float
    leases: tuple[Lease, ...]
    token_grants: tuple[TokenGrant, ...]
    supersedes: tuple[int, ...]


class HeldDelegation(_Wire):
    """A delegation that one allocator hands over to another.

    Attributes:
        delegator: The process that delegated its share.
        share: Share that the receiver may grant; 0 if another allocator may
            still grant it.
        expires_in: Seconds until the delegation expires.
        leases: Leases that the delegator may still use.
        leases_valid_for: Seconds until the last of these leases expires.
    """

    delegator: ProcessRun
    share: float
    expires_in: float
    leases: tuple[Lease, ...]
    leases_valid_for: float


class PooledTokens(_Wire):
    """Tokens of an organisation that an allocator has not granted yet.

    Attributes:
        organisation: Name of the organisation.
        tokens: Number of tokens; negative if some were granted in advance.
    """

    organisation: str
    tokens: float


class Handover(_Wire, tag=62):
    """Transfers a shard to another allocator; the sender stops allocating.

    Attributes:
        sender: The allocator that gives up the shard.
        to_boot: Run of the receiver for which the message is meant.
        shard: Number of the shard.
        supersedes: Boots of allocators whose leases may still be in use,
            including the sender.
        delegations: All delegations that the sender holds.
        pools: The tokens that the sender has not granted yet.
    """

    sender: ProcessRun
    to_boot: int
    shard: int
    supersedes: tuple[int, ...]
    delegations: tuple[HeldDelegation, ...]
    pools: tuple[PooledTokens, ...] = ()


class AllocatorMoved(_Wire, tag=63):
    """Answers a delegation after the receiver has handed over the shard.

    Attributes:
        sender: The former allocator.
        shard: Number of the shard.
        successor: The process to which the sender handed over the shard.
    """

    sender: ProcessRun
    shard: int
    successor: ProcessRun
