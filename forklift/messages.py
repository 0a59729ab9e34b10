"""Typed messages: frames between processes, control messages, records.

All are frozen msgspec structs, encoded as MessagePack arrays. A struct is
tagged with a small number, so that each union decodes in one pass and an
unknown or malformed message is refused whole.
"""

import enum
import math
from typing import TypeAlias

import msgspec

from forklift import errors
from forklift import ini
from forklift import limit_messages

MAX_FRAME_BYTES = 1 << 20
MAX_CONTROL_BYTES = 1 << 18


class Outcome(enum.StrEnum):
    """What became of a request; there is no fourth."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why something was refused, broken off or decided."""

    BUSY = "busy"
    CANCELLED = "cancelled"
    CONNECT_FAILED = "connect-failed"
    DEADLINE = "deadline"
    DOUBTED = "doubted"
    DRAINING = "draining"
    FENCED = "fenced"
    LIMITED = "limited"
    MISDIRECTED = "misdirected"
    NO_CONFIGURATION = "no-configuration"
    NO_TARGET = "no-target"
    NO_SERVICE = "no-service"
    PEER_LOST = "peer-lost"
    QUARANTINED = "quarantined"
    SHED = "shed"
    STALE = "stale"
    TARGET_BROKE = "target-broke"
    TARGET_CRASHED = "target-crashed"
    TIMEOUT = "timeout"
    UNPROVEN = "unproven"
    UNKNOWN_CALLER = "unknown-caller"
    UNKNOWN_TARGET = "unknown-target"
    WRONG_ANSWER = "wrong-answer"


class TargetState(enum.StrEnum):
    """Where a target stands in the eyes of its guard."""

    IN_SERVICE = "in-service"
    SUSPECT = "suspect"
    SHEDDING = "shedding"
    # The process beside it stops; the target itself lives on.
    PAUSED = "paused"
    DRAINING = "draining"
    LEFT = "left"


class Liveness(enum.IntEnum):
    """How a process is seen by its peers; a higher one overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class _Wire(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base of all messages."""


class Load(_Wire):
    """A target's load, carried on what is being sent anyway.

    Attributes:
        in_flight: Requests that the target is running.
        queued: Requests that wait at the guard.
        limit: Requests the guard lets run at once.
        state: Where the target stands.
        version: Counter of the state; higher is newer in one boot.
        latency: Median latency of the route that is answered, seconds; 0 when
            unknown.
        idle: Seconds since a request last began there.
        unhealthy_probability: How likely it is in a bad phase, 0 to 1.
        latency_spread: Standard deviation of the logarithm of that latency.
        failure_percent: Requests of the service that fail, of a hundred, as the
            process beside the target sees it in its own.
    """

    in_flight: int
    queued: int
    limit: int
    state: TargetState
    version: int
    latency: float
    idle: float = 0.0
    unhealthy_probability: float = 0.0
    latency_spread: float = 0.0
    failure_percent: int = 0


# Frames on the stream between two processes.


class Hello(_Wire, tag=1):
    """Opens a connection; the answer to it is a Hello too.

    Attributes:
        name: Name of the sending process.
        boot: Random identity of this run of the process.
        incarnation: Rises when the process finds that it was paused.
        nonce: Random bytes that the other side's proof must cover.
        compress: Whether both sides compress what follows: the side that
            opened the connection asks for it, the other agrees.
    """

    name: str
    boot: int
    incarnation: int
    nonce: bytes
    compress: bool = False


class Proof(_Wire, tag=2):
    """Shows knowledge of the shared key, over both nonces."""

    digest: bytes


class RequestStart(_Wire, tag=3):
    """A request on its way to a guard.

    Attributes:
        id: Stream number, never reused on a connection.
        seq: Number of the request at its sender, never reused in a boot.
        service: Name of the service.
        target: Name of the target.
        method: HTTP method.
        path: Request target as the caller sent it.
        headers: End-to-end headers.
        request_id: Identity that logs and answers carry.
        remaining: Seconds left until the deadline, when sent.
        idempotent: Whether a second run does no harm.
        incarnation: Incarnation of the receiver that the sender knows.
        length: Length of the body in bytes, -1 when chunked.
        body: The first bytes of the body.
        complete: Whether `body` is all of it; else the rest follows once the
            receiver gives credit.
        route: Name of the route.
        origin: Service on the instance where the request began.
        priority: Rank; 0 is the most urgent.
        required_health: How much doubt about its target it accepts; see
            `admission.RequiredHealth`.
        objective_remaining: Seconds left, when sent, for an answer of full
            worth; negative
            when that has passed.
        wait: Whether it waits for a slot, rather than being refused.
        start_within: Seconds, when sent, within which it must have started.
        fingerprint: Tells it from all others; the same when it comes again.
        exclusive: Whether it runs only where nothing else does: a target
            crashed
            that was running it.
        organisation: Name of the organisation that calls, if any.
    """

    id: int
    seq: int
    service: str
    target: str
    method: bytes
    path: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    request_id: str
    remaining: float
    idempotent: bool
    incarnation: int
    length: int
    body: bytes
    complete: bool
    route: str
    origin: str = ""
    priority: int = 0
    required_health: int = 0
    objective_remaining: float = 0.0
    wait: bool = False
    start_within: float = math.inf
    fingerprint: bytes = b""
    exclusive: bool = False
    organisation: str = ""


class BodyChunk(_Wire, tag=4):
    """A piece of a body, either way.

    Attributes:
        id: Stream number.
        data: The bytes.
        is_last: Whether the body is complete with this piece.
    """

    id: int
    data: bytes
    is_last: bool


class Credit(_Wire, tag=5):
    """Allows the other side to send more body bytes on a stream."""

    id: int
    size: int


class ResponseStart(_Wire, tag=6):
    """Head of an answer.

    Attributes:
        id: Stream number.
        request_id: Identity of the request that it answers.
        status: HTTP status.
        headers: End-to-end headers.
        length: Declared length of the body, -1 when chunked.
        target: Name of the target that answered.
        load: Its load.
    """

    id: int
    request_id: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    length: int
    target: str
    load: Load | None


class Failure(_Wire, tag=7):
    """A request ended without a whole answer.

    Attributes:
        id: Stream number.
        outcome: NOT_RUN or UNKNOWN.
        reason: Why.
        retry_after: Seconds after which to come back; 0 gives no hint.
        incarnation: Incarnation of the sender now.
        target: Name of the target, where one was chosen.
        load: Its load.
    """

    id: int
    outcome: Outcome
    reason: Reason
    retry_after: float
    incarnation: int
    target: str
    load: Load | None


class Cancel(_Wire, tag=8):
    """The sender gave up on a stream."""

    id: int


class KeepAlive(_Wire, tag=11):
    """A sign of life, unasked while an answer is owed, or asks for one.

    Attributes:
        number: Its number; 0 where nobody asked.
        is_reply: Whether this is the sign; else it asks for one.
    """

    number: int
    is_reply: bool


class FenceRequest(_Wire, tag=9):
    """Asks that a request never starts from now on.

    Attributes:
        id: Stream number of this question.
        boot: Boot of the sender of the request.
        seq: Its number there.
        to_boot: Boot of the guard that the request was sent to.
        forward_to: Name of that guard's process where the receiver is to pass
            the question on, as the sender's own path is silent; else empty.
    """

    id: int
    boot: int
    seq: int
    to_boot: int
    forward_to: str = ""


class FenceReply(_Wire, tag=10):
    """Answer to a FenceRequest.

    Attributes:
        id: Stream number of the question.
        not_run: Whether the request is proven never to start.
    """

    id: int
    not_run: bool


class LoadUpdate(_Wire, tag=12):
    """A guard tells unasked how its target stands now.

    Attributes:
        target: Name of the target.
        load: Its load and state.
    """

    target: str
    load: Load


Frame: TypeAlias = (
    Hello
    | Proof
    | RequestStart
    | BodyChunk
    | Credit
    | ResponseStart
    | Failure
    | Cancel
    | KeepAlive
    | FenceRequest
    | FenceReply
    | LoadUpdate
)


# What is known of processes and targets.


class TargetInfo(_Wire):
    """A target as its guard describes it.

    Attributes:
        name: Name, unique in its service.
        service: Name of the service.
        domain: Failure domain.
        slots: Requests it runs at once.
        state: Where it stands.
        version: Counter of the description; higher is newer.
    """

    name: str
    service: str
    domain: str
    slots: int
    state: TargetState
    version: int


class ProcessInfo(_Wire):
    """A process as it describes itself.

    Attributes:
        name: Name, unique in the fleet.
        boot: Random identity of this run.
        incarnation: Rises when it refutes a suspicion or was paused.
        domain: Failure domain.
        peer: Address of its peer listener, "ip:port".
        control: Address of its control listener, "ip:port".
        admin: Address of its admin listener, "ip:port".
        version: Counter of the description; higher is newer in a boot.
        started: Wall time of its start; a later boot of a name wins.
        targets: Its targets.
        config: Version of the configuration it has in force.
        unreachable_peers: Names of peers it can't hear.
        store_epoch: How often the store lost records, as far as it knows.
    """

    name: str
    boot: int
    incarnation: int
    domain: str
    peer: str
    control: str
    admin: str
    version: int
    started: float
    targets: tuple[TargetInfo, ...]
    config: int
    unreachable_peers: tuple[str, ...] = ()
    store_epoch: int = 0


class Sender(_Wire):
    """Who sends a message that needs no more than an answer.

    Attributes:
        name: Name of the process.
        control: Address of its control listener, "ip:port".
    """

    name: str
    control: str


class Rumor(_Wire):
    """News of one process.

    Attributes:
        liveness: How it is seen.
        info: Its own latest description.
    """

    liveness: Liveness
    info: ProcessInfo


# Records in the store.


class Announcement(_Wire, tag=22):
    """A process that can be joined through, without its targets."""

    info: ProcessInfo


# Control messages between processes, one way each.


class Ping(_Wire, tag=40):
    """A heartbeat with news; the receiver answers with a Pong where one is due.

    Attributes:
        sender: Who sends it.
        number: Its number.
        sent: Monotonic seconds of the sender; 0 where no answer is due.
        digest: Of all that the sender knows of processes.
        rumors: News.
        is_retry: Whether an earlier one was not answered, so that the answer
            goes over a new connection.
        evidence_digest: Digest of the sender's quarantine; 0 of an empty one.
    """

    sender: ProcessInfo
    number: int
    sent: float
    digest: int
    rumors: tuple[Rumor, ...]
    is_retry: bool = False
    evidence_digest: int = 0

    @property
    def wants_answer(self) -> bool:
        """Whether a Pong is due."""
        return self.sent > 0


class Pong(_Wire, tag=41):
    """Answer to a Ping."""

    sender: Sender
    number: int
    digest: int
    rumors: tuple[Rumor, ...]
    evidence_digest: int = 0


class SyncRequest(_Wire, tag=42):
    """Asks for all that the receiver knows of processes, and its quarantine."""

    sender: ProcessInfo
    evidence_digest: int = 0


class SyncReply(_Wire, tag=43):
    """All that the sender knows of processes, in parts."""

    sender: ProcessInfo
    rumors: tuple[Rumor, ...]


class CatalogOffer(_Wire, tag=50):
    """The configuration in force, for a process that is behind.

    Attributes:
        sender: Who offers it.
        version: Its version.
        compressed: The record it was decoded from, compressed.
        age: Seconds for which it has been in force anywhere.
    """

    sender: Sender
    version: int
    compressed: bytes
    age: float = 0.0


class LeavingTargets(_Wire, tag=51):
    """Reminds a process that started again of targets it had let go.

    Attributes:
        sender: Who remembers.
        names: Names of targets that its earlier run had said are leaving.
    """

    sender: Sender
    names: tuple[str, ...]


class CatalogVersion(_Wire, tag=52):
    """Which version of the configuration a process has in force.

    Attributes:
        sender: The process.
        boot: Its run.
        version: The version.
        age: Seconds for which it has been in force anywhere.
        confirm: Whether the receiver is to tell its own.
        is_retry: Whether an earlier message was not answered, so that the
            answer goes over a new connection.
    """

    sender: Sender
    boot: int
    version: int
    age: float
    confirm: bool = False
    is_retry: bool = False


class CatalogRequest(_Wire, tag=53):
    """Asks for the configuration in force at the receiver.

    Attributes:
        sender: Who asks.
        boot: Its run.
        version: The version it has; only a newer one is wanted.
        is_retry: Whether an earlier request was not answered, so that the
            answer goes over a new connection.
    """

    sender: Sender
    boot: int
    version: int
    is_retry: bool = False


class Crash(_Wire):
    """The end of a target while it ran a request.

    Attributes:
        id: Drawn by the process beside the target.
        age: Seconds since then, when sent.
        alone: Whether the target ran nothing else.
        void: Whether the request turned out not to be the cause.
    """

    id: int
    age: float
    alone: bool
    void: bool


class Evidence(_Wire):
    """What there is against a request.

    Attributes:
        fingerprint: Of the request.
        crashes: Targets that crashed while they ran it.
    """

    fingerprint: bytes
    crashes: tuple[Crash, ...]


class SuspectedRequests(_Wire, tag=54):
    """Requests that may have crashed targets.

    Attributes:
        sender: Who tells.
        digest: Of all that the sender knows of such requests.
        evidence: News, or a part of all.
        wants_reply: Whether this is the last part of all it knows, and the
            receiver is to tell its own where it knows more.
    """

    sender: Sender
    digest: int
    evidence: tuple[Evidence, ...]
    wants_reply: bool = False


class IdleTarget(_Wire, tag=55):
    """A target in service that nobody sends work to.

    Attributes:
        sender: The process beside it.
        target: Its name.
        load: Its load.
    """

    sender: Sender
    target: str
    load: Load


class StoredEvidence(_Wire, tag=23):
    """What the store keeps of a request that is held back.

    Attributes:
        at: Time of day when it was written, seconds since the epoch.
        evidence: What there was against it then.
    """

    at: float
    evidence: Evidence


Control: TypeAlias = (
    Ping
    | Pong
    | SyncRequest
    | SyncReply
    | CatalogOffer
    | LeavingTargets
    | CatalogVersion
    | CatalogRequest
    | SuspectedRequests
    | IdleTarget
    | limit_messages.Delegation
    | limit_messages.Allocation
    | limit_messages.Handover
)

_encoder = msgspec.msgpack.Encoder()
_frames = msgspec.msgpack.Decoder(Frame)
_records = msgspec.msgpack.Decoder(Announcement)
_kept = msgspec.msgpack.Decoder(StoredEvidence)
_controls = msgspec.msgpack.Decoder(Control)


class MalformedMessage(errors.ForkliftError):
    """Bytes that are no message of ours."""

    def __init__(self, detail: str):
        super().__init__(
            f"malformed message ({detail}); run one version on both sides"
        )


def sender_of(info: ProcessInfo) -> Sender:
    """The short form of a process's description."""
    return Sender(info.name, info.control)


def announcement_of(info: ProcessInfo) -> Announcement:
    """What the store keeps of a process: enough to join through it."""
    return Announcement(msgspec.structs.replace(info, targets=()))


def encode(message: msgspec.Struct) -> bytes:
    """Encodes any message.

    >>> decode_frame(encode(Cancel(7)))
    Cancel(id=7)
    """
    return _encoder.encode(message)


def decode_frame(data: bytes | memoryview) -> Frame:
    """Decodes a frame between processes.

    Raises:
        MalformedMessage: The bytes are no frame.
    """
    return _decode(_frames, data)


def decode_announcement(name: str, data: bytes) -> Announcement:
    """Decodes a record of the store.

    Args:
        name: Key of the record, which is the name of its process.
        data: The record.

    Raises:
        MalformedMessage: No process of ours wrote it.
    """
    record = _decode(_records, data)
    info = record.info
    try:
        ini.endpoint(info.peer)
        ini.endpoint(info.control)
    except ValueError as error:
        raise MalformedMessage(f"address: {error}") from error
    if info.name != name or info.targets:
        raise MalformedMessage("not what a process writes of itself")
    if not (math.isfinite(info.started) and info.config >= 0):
        raise MalformedMessage("a number out of range")
    return record


def decode_evidence(data: bytes) -> StoredEvidence:
    """Decodes a record of a request that is held back.

    Raises:
        MalformedMessage: No process of ours wrote it.
    """
    kept = _decode(_kept, data)
    ages = [crash.age for crash in kept.evidence.crashes]
    if not all(map(math.isfinite, (kept.at, *ages))):
        raise MalformedMessage("a number out of range")
    return kept


def age_evidence(evidence: Evidence, seconds: float) -> Evidence:
    """Evidence some time after it was told.

    >>> crash = Crash(1, 2.0, True, False)
    >>> age_evidence(Evidence(b"f", (crash,)), 3.0).crashes[0].age
    5.0
    """
    crashes = tuple(
        Crash(one.id, one.age + seconds, one.alone, one.void)
        for one in evidence.crashes
    )
    return Evidence(evidence.fingerprint, crashes)


def decode_control(data: bytes) -> Control:
    """Decodes a control message.

    Raises:
        MalformedMessage: The bytes are no control message.
    """
    return _decode(_controls, data)


def _decode(decoder: msgspec.msgpack.Decoder, data: bytes | memoryview):
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedMessage(str(error)) from error
