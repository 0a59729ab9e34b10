"""What a process says of itself: typed, for people and for programs."""

import msgspec


class _Report(msgspec.Struct, frozen=True):
    """Base of all reports; encoded as JSON objects."""


class Evidence(_Report):
    """Evidence against a target at one moment, in nats."""

    total: float
    failures: float
    slowness: float
    overdue: float
    route: str


class Change(_Report):
    """One change of a target's state.

    Attributes:
        at: Wall time, seconds since the epoch.
        before: State before.
        after: State after.
        cause: Why.
        evidence: The evidence then, if any.
    """

    at: float
    before: str
    after: str
    cause: str
    evidence: Evidence | None


class Target(_Report):
    """A target as a process sees it.

    Attributes:
        name: Its name.
        service: Its service.
        domain: Its failure domain.
        process: Process beside it.
        state: Where it stands.
        weight: Share of normal traffic.
        latency: Median latency, seconds.
        failures: Share of failures among recent requests.
        path: Why this process avoids the path to it, or empty.
    """

    name: str
    service: str
    domain: str
    process: str
    state: str
    weight: float
    latency: float
    failures: float
    path: str


class Service(_Report):
    """A service as a process sees it.

    Attributes:
        name: Its name.
        policy: Policy that declares it.
        floor: Targets that must stay in service.
        known: Targets that are alive and not leaving.
        in_service: Those that take requests.
        floor_owner: Process that grants permits, or empty.
        retried: Requests of the service that this process sent again.
        retries_refused: Retries that the budget refused here.
    """

    name: str
    policy: str
    floor: int
    known: int
    in_service: int
    floor_owner: str
    retried: int
    retries_refused: int


class Process(_Report):
    """A process as another sees it.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        liveness: How it is seen.
        config: Sum of the versions of its policies.
        unheard: Peers that it can't hear.
        admin: Its admin address.
    """

    name: str
    domain: str
    liveness: str
    config: int
    unheard: tuple[str, ...]
    admin: str


class PolicyVersion(_Report):
    """A policy in force."""

    name: str
    version: int
    author: str
    certain: bool


class Status(_Report):
    """What one process sees of the fleet.

    Attributes:
        process: Its name.
        version: Version of the program.
        ready: Whether it is ready for callers.
        log_away: Seconds since the log last answered.
        policies: Policies in force.
        clashes: Declarations that don't count.
        services: Services it knows in full.
        targets: Their targets.
        processes: Processes it knows.
        gateways: Admin address of a process that knows a service in full,
            for each other service.
        broken: Broken invariants by promise.
    """

    process: str
    version: str
    ready: bool
    log_away: float
    policies: tuple[PolicyVersion, ...]
    clashes: tuple[str, ...]
    services: tuple[Service, ...]
    targets: tuple[Target, ...]
    processes: tuple[Process, ...]
    gateways: dict[str, str]
    broken: dict[str, int]


class Explanation(_Report):
    """The recent decisions about a local target.

    Attributes:
        target: Its name.
        service: Its service.
        process: Process beside it.
        state: Where it stands.
        evidence: The evidence now.
        threshold: Evidence that ejects.
        normal_latency: Median latency of the service's targets, seconds.
        normal_failures: Median failure share of the service's targets.
        in_flight: Requests it is running.
        queued: Requests that wait.
        denial: Last refusal of a permit, or empty.
        changes: The latest changes, oldest first.
    """

    target: str
    service: str
    process: str
    state: str
    evidence: Evidence
    threshold: float
    normal_latency: float
    normal_failures: float
    in_flight: int
    queued: int
    denial: str
    changes: tuple[Change, ...]


class Lease(_Report):
    """A lease as a process knows it."""

    resource: str
    epoch: int
    holder: str
    held_here: bool
    seconds_left: float
    keys: int


class Counters(_Report):
    """Counters of a process since its start."""

    requests_by_outcome: dict[str, int]
    refusals_by_reason: dict[str, int]
    key_verdicts: dict[str, int]
    attempts: int
    retries: int
    control_sent: int
    control_sent_bytes: int
    control_received: int
    control_received_bytes: int
    control_dropped: int
    control_refused: int
    log_appends: int
    log_failures: int
    permits_granted: int
    permits_denied: int
    checks_by_promise: dict[str, int]
    expression_failures: dict[str, int]


class State(_Report):
    """The full dump of one process.

    Attributes:
        status: What it sees of the fleet.
        local: Explanation of each local target.
        leases: All leases it knows.
        counters: Its counters.
        incarnation: Of its guard.
        running: Requests in flight in any role.
        connections: Open connections of callers.
        avoided: Paths it avoids, with the cause.
        offsets: Next offset of each stream of the log.
    """

    status: Status
    local: tuple[Explanation, ...]
    leases: tuple[Lease, ...]
    counters: Counters
    incarnation: int
    running: int
    connections: int
    avoided: dict[str, str]
    offsets: dict[str, int]


class Problem(_Report):
    """An answer of the admin address that is no success."""

    error: str


class Published(_Report):
    """What became of a publication.

    Attributes:
        accepted: Whether it came into force.
        policy: Name of the policy.
        version: Its version, or that of the winner.
        winner: Author of the version in force.
        changes: What it changes, one line each.
        warnings: What an operator should know.
    """

    accepted: bool
    policy: str
    version: int
    winner: str
    changes: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


class Announce(_Report):
    """How a target announces itself to the process beside it.

    Attributes:
        service: Its service.
        domain: Its failure domain.
        address: Where it takes requests, "ip:port".
        slots: Requests it runs at once.
        connections: Connections it takes.
        health: Path of its health endpoint, or empty.
        load: Path of its load endpoint, or empty.
        echo: Whether it answers with the X-Request-Id it was sent.
    """

    service: str
    domain: str
    address: str
    slots: int
    connections: int = 100
    health: str = ""
    load: str = ""
    echo: bool = False


class Announced(_Report):
    """Answer to an announcement.

    Attributes:
        renew_within: Seconds within which it must be announced again.
        state: Where the target stands.
    """

    renew_within: float
    state: str


class PublishRequest(_Report):
    """A policy to publish.

    Attributes:
        text: The policy file.
        author: Who publishes.
        builds_on: Version that the author had before him; -1 takes the
            version that the process has in force.
        dry_run: Whether only to tell what would change.
    """

    text: str
    author: str
    builds_on: int = -1
    dry_run: bool = False
