"""JSON objects of the admin interface."""

import msgspec


class _Report(msgspec.Struct, frozen=True):
    """Base class of all reports, encoded as JSON objects."""


class Problem(_Report):
    """Reason why a call was rejected, and how to fix the call."""

    error: str


class EjectionChange(_Report):
    """Ejection or reinstatement of a target.

    Attributes:
        at: Wall time, seconds since the epoch.
        doubted: Whether the target was ejected; False if it was reinstated.
        sign: Signal that caused the change.
        risk: Probability that the target was unhealthy at that time, 0 to 1.
    """

    at: float
    doubted: bool
    sign: str
    risk: float


class CalledRoute(_Report):
    """What the runs of a route call, as learned by the target's process.

    Attributes:
        route: Route of the runs.
        called_route: Route that they call.
        service: Service that serves the called route.
        calls_per_run: Mean number of calls in a run.
        seconds: Mean duration of a call.
        rejected: Share of the calls that was rejected for lack of room.
    """

    route: str
    called_route: str
    service: str
    calls_per_run: float
    seconds: float
    rejected: float


class HeldRoute(_Report):
    """Runs that are held back as the calls of others found no room.

    Attributes:
        route: Route of the runs.
        share: Share of the runs that is started at present, 0 to 1.
        held: Number of runs that were held back so far.
    """

    route: str
    share: float
    held: int


class RoomShares(_Report):
    """Who gets the room of a target, and who waits or was refused.

    Organisations are the busiest by name; the empty name stands for the sum of
    all others, and of requests without an organisation.

    Attributes:
        fair: Whether the queue is ordered by fair queueing.
        starts_by_priority: Number of started requests.
        refusals_by_priority: Number of refused requests.
        waiting_by_priority: Number of queued requests.
        waiting_by_organisation: Number of queued requests.
        displaced: Number of queued requests that were refused in favour of
            others.
        displaced_by_organisation: The same, of the last seconds, decaying.
        work_by_organisation: Expected seconds of work that were started per
            second, over the last seconds.
    """

    fair: bool
    starts_by_priority: dict[str, int]
    refusals_by_priority: dict[str, int]
    waiting_by_priority: dict[str, int]
    waiting_by_organisation: dict[str, int]
    displaced: int
    displaced_by_organisation: dict[str, float]
    work_by_organisation: dict[str, float]


class TargetExplanation(_Report):
    """State of a target and its causes, reported by the target's process.

    Attributes:
        target: Name of the target.
        service: Name of the service.
        process: Name of the process that owns the target.
        state: State of the target.
        sign: Signal that caused the ejection; `well` if it is not ejected.
        running: Number of running requests.
        waiting: Number of queued requests.
        slots: Number of requests that the target runs concurrently.
        idle: Seconds since the target last started a request.
        risk: Probability that the target is unhealthy, 0 to 1.
        latency_by_route: Median latency of each route, in seconds.
        refusals: Number of rejected requests, by reason.
        changes: Ejections and reinstatements, oldest first.
        rate_limit: Requests per second that the target takes from all
            processes together; None if it has named no limit.
        starts: Number of requests that were started on the target.
        called_routes: What the runs of its routes call.
        reserved: Number of slots that only calls of runs get at present.
        room: Who gets the room of the target; None from an older process.
        held_routes: Runs that are held back.
    """

    target: str
    service: str
    process: str
    state: str
    sign: str
    running: int
    waiting: int
    slots: int
    idle: float
    risk: float
    latency_by_route: dict[str, float]
    refusals: dict[str, int]
    changes: tuple[EjectionChange, ...]
    rate_limit: float | None = None
    starts: int = 0
    called_routes: tuple[CalledRoute, ...] = ()
    reserved: int = 0
    room: RoomShares | None = None
    held_routes: tuple[HeldRoute, ...] = ()


class Target(_Report):
    """A target as seen by one process.

    Attributes:
        name: Name of the target.
        service: Name of the service.
        process: Name of the process that owns the target.
        near: Whether it is in the same failure domain.
        state: Last known state.
        load: Last known number of requests on the target.
        slots: Number of requests that the target runs concurrently.
        path: Why this process avoids the connection to the target's process;
            empty if it does not.
    """

    name: str
    service: str
    process: str
    near: bool
    state: str
    load: float
    slots: int
    path: str


class Process(_Report):
    """A process as seen by another one.

    Attributes:
        name: Name of the process.
        domain: Failure domain.
        admin: Address of its admin listener.
        liveness: Membership state.
        config: Version of its active configuration.
    """

    name: str
    domain: str
    admin: str
    liveness: str
    config: int


class Status(_Report):
    """The fleet as seen by one process.

    Attributes:
        process: Name of the process.
        version: Version of its software.
        ready: Whether it is ready for callers.
        config: Version of the active configuration; 0 if there is none.
        policy: Name of the active policy.
        targets: Known targets.
        processes: Known processes.
        broken: Number of violations by invariant.
    """

    process: str
    version: str
    ready: bool
    config: int
    policy: str
    targets: tuple[Target, ...]
    processes: tuple[Process, ...]
    broken: dict[str, int]


class OrganisationUsage(_Report):
    """Recent requests of an organisation at one process.

    Attributes:
        name: Name of the organisation; empty for the sum of those not listed.
        admitted: Number of admitted requests.
        refused: Number of requests rejected by the rate limit.
        rate: Rate limit across all processes, requests per second.
        part: Share of the rate limit leased to this process, 0 to 1.
        arrivals: Recent arrival rate at this process, requests per second.
    """

    name: str
    admitted: int
    refused: int
    rate: float = 0.0
    part: float = 0.0
    arrivals: float = 0.0


class ServiceRetries(_Report):
    """Retries of one process to one service.

    Attributes:
        rejected: Share of recent sends that targets rejected, 0 to 1.
        usable: Number of retries that this process may make in a window.
        used: Number of retries made, and calls charged, in the last window.
    """

    rejected: float
    usable: float
    used: float


class LimitRefusals(_Report):
    """Requests of an organisation that this process refused with status 429.

    The counts never decrease; see `limit_refusals`.

    Attributes:
        name: Name of the organisation; empty for the sum of those not listed.
        refused: Number of refused requests, by cause.
        within: Estimated number of these that were within the limit.
    """

    name: str
    refused: dict[str, int]
    within: float


class AdmissionLevel(_Report):
    """Admission level of a service at one process.

    Attributes:
        service: Name of the service.
        level: Share of the requests that is admitted now, 0 to 1.
        admitted: Number of admitted requests, by priority.
        refused: Number of requests refused at once for lack of room, by
            priority.
    """

    service: str
    level: float
    admitted: dict[int, int]
    refused: dict[int, int]


class StateDump(_Report):
    """Complete state dump of a process.

    Attributes:
        status: Status of the process.
        beside: Explanations of the targets that it owns.
        requests: Number of completed requests by outcome and reason.
        repeats_refused: Number of retries refused by the retry budget, by
            service.
        sends: Number of attempts at targets, and how many were retries.
        running: Number of requests in flight.
        connections: Number of open connections of callers.
        incarnation: Increases with each detected pause of the process.
        held: Remaining quarantine time of requests that crashed targets, in
            seconds, by fingerprint.
        store: Number of calls to the store, and how many failed.
        organisations: The busiest organisations with a limit, and the sum of
            the others.
        retries: Retries by service, for the services that this process sent
            requests to.
        retry_decisions: Number of retries asked for under overload control, by
            priority, cause and decision.
        calls: Number of requests that may have been calls of local targets:
            `matched` to a run, of these `ambiguous`, and `unmatched`.
        called_routes: What the runs of local targets call.
        limit_refusals: Requests refused by rate limits since the start of the
            process, for the organisations with most of them and the sum of the
            others.
        admission: Services with the most requests refused at once for lack of
            room; empty while overload control is off.
        held_routes: Runs of local targets that are held back.
    """

    status: Status
    beside: tuple[TargetExplanation, ...]
    requests: dict[str, int]
    repeats_refused: dict[str, int]
    sends: dict[str, int]
    running: int
    connections: int
    incarnation: int
    held: dict[str, float]
    store: dict[str, int]
    organisations: tuple[OrganisationUsage, ...] = ()
    retries: dict[str, ServiceRetries] = {}
    retry_decisions: dict[str, int] = {}
    calls: dict[str, int] = {}
    called_routes: tuple[CalledRoute, ...] = ()
    limit_refusals: tuple[LimitRefusals, ...] = ()
    admission: tuple[AdmissionLevel, ...] = ()
    held_routes: tuple[HeldRoute, ...] = ()


class TargetAnnouncement(_Report):
    """Registration or heartbeat of a target through the admin interface.

    Attributes:
        service: Name of the service.
        address: Address of the target, ip:port.
        slots: Number of requests that the target runs concurrently.
        sequence: Increases with each announcement; lower ones are ignored.
        leaving: Whether the target accepts no new requests.
        born: Start time of the target in Unix milliseconds, which distinguishes
            restarts under the same name; 0 if each run has its own name.
    """

    service: str
    address: str
    slots: int
    sequence: int
    leaving: bool = False
    born: int = 0
