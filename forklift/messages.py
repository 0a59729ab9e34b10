"""Typed messages: frames between processes, control messages, stored records.

All messages are frozen msgspec structs that are encoded as MessagePack arrays
and tagged with a number, so that each union is decoded in a single pass.
Unknown or malformed messages are rejected.
"""

import enum
import math
from typing import Annotated
from typing import TypeAlias

import msgspec

from forklift import errors
from forklift import ini
from forklift import limit_messages

MAX_FRAME_BYTES = 1 << 20
MAX_CONTROL_BYTES = 1 << 18


class Outcome(enum.StrEnum):
    """Outcome of a request.

    A request that may have run on a target but has no complete response is
    `UNKNOWN`.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was rejected, was aborted or failed."""

    BUSY = "busy"
    CANCELLED = "cancelled"
    CONNECT_FAILED = "connect-failed"
    DEADLINE = "deadline"
    EJECTED = "doubted"
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
    """State of a target, as its own process reports it."""

    IN_SERVICE = "in-service"
    SUSPECT = "suspect"
    SHEDDING = "shedding"
    # The process that owns the target stops; the target itself keeps running.
    PAUSED = "paused"
    DRAINING = "draining"
    LEFT = "left"


class Liveness(enum.IntEnum):
    """Membership state of a process; a higher value overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class _Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base class of all messages."""


class RateLimitStatus(_Message):
    """Rate limit that a target has named.

    Attributes:
        rate: Requests per second from all processes together.
        wait: Seconds until the limit lets a further request start.
    """

    rate: float
    wait: float


class Load(_Message):
    """Load and state of a target, piggybacked on responses and failures.

    Attributes:
        in_flight: Number of requests that the target is running.
        queued: Number of requests in the admission queue of the target.
        limit: Concurrency limit of the target.
        state: State of the target.
        version: Version of the state; increases within one boot.
        latency: Median latency of the route in seconds; 0 if unknown.
        idle: Seconds since the target last started a request.
        unhealthy_probability: Probability that the target is unhealthy, 0 to 1.
        latency_spread: Standard deviation of the logarithm of the latency.
        failure_percent: Percentage of failed requests to the service, as
            measured by the process that owns the target.
        rate_limit: Rate limit of the target; None if it has named none.
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
    rate_limit: RateLimitStatus | None = None


# Frames on a connection between two processes.


class Hello(_Message, tag=1):
    """First frame on a connection, sent by both sides.

    Attributes:
        name: Name of the sending process.
        boot: Random ID of this run of the process.
        incarnation: Increases when the process detects that it was paused.
        nonce: Random bytes that the proof of the other side must cover.
        compress: Whether frames are compressed after the handshake. The client
            requests it and the server confirms it.
    """

    name: str
    boot: int
    incarnation: int
    nonce: bytes
    compress: bool = False


class Proof(_Message, tag=2):
    """Proves knowledge of the shared key by a digest over both nonces."""

    digest: bytes


class RequestStart(_Message, tag=3):
    """Head of a request to the process that owns the target.

    Attributes:
        id: Stream ID; never reused on a connection.
        seq: Sequence number of the request; never reused within one boot of
            the sender.
        service: Name of the service.
        target: Name of the target.
        method: HTTP method.
        path: Request target, as received from the caller.
        headers: End-to-end headers.
        request_id: Request ID for logs and responses.
        remaining: Seconds until the deadline, at the time of sending.
        idempotent: Whether the request may safely run more than once.
        incarnation: Incarnation of the receiver, as known to the sender.
        length: Length of the body in bytes; -1 if it is chunked.
        body: First bytes of the body.
        complete: Whether `body` is the complete body. Otherwise the rest
            follows in `BodyChunk` frames as the receiver grants credit.
        route: Name of the route.
        origin: Service on the instance that received the request.
        priority: Priority; 0 is the highest.
        required_health: Minimum health of the target, as the number of an
            `admission.RequiredHealth`.
        objective_remaining: Seconds until the latency objective, at the time
            of sending; negative if it has been missed.
        wait: Whether the request may wait for a free slot instead of being
            rejected.
        start_within: Seconds after sending within which the request must start.
        fingerprint: Fingerprint of the request; the same for a retry.
        exclusive: Whether the request must not run concurrently with others,
            as a target crashed while running it.
        organisation: Name of the calling organisation, or empty.
        rate_limit: Rate limit that the target had named, as far as the sender
            knows, in requests per second; None if there is none. The receiver
            may have forgotten it in a restart.
        is_call: Whether a run of a target makes the request.
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
    rate_limit: float | None = None
    is_call: bool = False


class BodyChunk(_Message, tag=4):
    """Part of a request or response body.

    Attributes:
        id: Stream ID.
        data: Body bytes.
        is_last: Whether this chunk completes the body.
    """

    id: int
    data: bytes
    is_last: bool


class Credit(_Message, tag=5):
    """Flow control: allows the peer to send more body bytes on a stream.

    Attributes:
        id: Stream ID.
        size: Number of additional bytes.
    """

    id: int
    size: int


class ResponseStart(_Message, tag=6):
    """Head of a response.

    Attributes:
        id: Stream ID.
        request_id: ID of the request.
        status: HTTP status.
        headers: End-to-end headers.
        length: Declared length of the body in bytes; -1 if it is chunked.
        target: Name of the target that responded.
        load: Current load of the target.
    """

    id: int
    request_id: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    length: int
    target: str
    load: Load | None


class Failure(_Message, tag=7):
    """A request ended without a complete response.

    Attributes:
        id: Stream ID.
        outcome: `NOT_RUN` or `UNKNOWN`.
        reason: Why the request failed.
        retry_after: Seconds after which the caller should retry; 0 for no hint.
        incarnation: Current incarnation of the sender.
        target: Name of the target, if one was selected.
        load: Current load of the target.
    """

    id: int
    outcome: Outcome
    reason: Reason
    retry_after: float
    incarnation: int
    target: str
    load: Load | None


class Cancel(_Message, tag=8):
    """The sender abandoned the request on a stream."""

    id: int


class KeepAlive(_Message, tag=11):
    """Liveness check of a connection, or the reply to one.

    Replies are also sent unsolicited while a response is pending.

    Attributes:
        number: Sequence number of the check; 0 if unsolicited.
        is_reply: Whether this is a reply; otherwise it requests one.
    """

    number: int
    is_reply: bool


class FenceRequest(_Message, tag=9):
    """Asks the receiver to ensure that a request never starts from now on.

    Attributes:
        id: Stream ID of this frame.
        boot: Boot of the process that sent the request.
        seq: Sequence number of the request at that process.
        to_boot: Boot of the process that the request was sent to.
        forward_to: Name of the process to forward the frame to, if the sender
            can't reach it directly; otherwise empty.
    """

    id: int
    boot: int
    seq: int
    to_boot: int
    forward_to: str = ""


class FenceReply(_Message, tag=10):
    """Reply to a FenceRequest.

    Attributes:
        id: Stream ID of the FenceRequest.
        not_run: Whether it is certain that the fenced request has not started
            and will not start.
    """

    id: int
    not_run: bool


class LoadUpdate(_Message, tag=12):
    """Unsolicited update of the load and state of a target.

    Attributes:
        target: Name of the target.
        load: Current load and state.
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


# Membership.


class TargetInfo(_Message):
    """Description of a target by the process that owns it.

    Attributes:
        name: Name; unique within the service.
        service: Name of the service.
        domain: Failure domain.
        slots: Number of requests that the target runs concurrently.
        state: State of the target.
        version: Version of the description; higher is newer.
    """

    name: str
    service: str
    domain: str
    slots: int
    state: TargetState
    version: int


class ProcessInfo(_Message):
    """Description of a process by itself.

    Attributes:
        name: Name; unique within the fleet.
        boot: Random ID of this run of the process.
        incarnation: Increases when the process refutes a suspicion or was
            paused.
        domain: Failure domain.
        peer: Address of the listener for peer connections, "ip:port".
        control: Address of the listener for control messages, "ip:port".
        admin: Address of the admin listener, "ip:port".
        version: Version of the description; increases within one boot.
        started: Wall time of the start, seconds since the epoch. Of two boots
            with the same name, the later one wins.
        targets: Targets of the process.
        config: Version of the active configuration.
        unreachable_peers: Always empty; earlier versions expect the field.
        store_epoch: Latest known epoch of the store; increases whenever the
            store loses records.
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


class Sender(_Message):
    """Name and address of the sender of a message.

    Attributes:
        name: Name of the process.
        control: Address of its listener for control messages, "ip:port".
    """

    name: str
    control: str


class Rumor(_Message):
    """Gossiped membership update about one process.

    Attributes:
        liveness: Membership state.
        info: Latest description that the process published of itself.
    """

    liveness: Liveness
    info: ProcessInfo


# Records in the store.


class Announcement(_Message, tag=22):
    """Stored description of a process that can be joined, without targets."""

    info: ProcessInfo


# One-way control messages between processes.


class Ping(_Message, tag=40):
    """Gossip heartbeat with membership updates.

    Attributes:
        sender: Description of the sending process.
        number: Sequence number.
        sent: Monotonic time of the sender in seconds; 0 if no Pong is expected.
        digest: Digest of the sender's membership table.
        rumors: Membership updates.
        is_retry: Whether an earlier ping was not answered. The receiver then
            replies over a new connection.
        evidence_digest: Digest of the sender's quarantine; 0 if it is empty.
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
        """Whether the sender expects a Pong."""
        return self.sent > 0


class Pong(_Message, tag=41):
    """Reply to a Ping, with the sequence number of the Ping."""

    sender: Sender
    number: int
    digest: int
    rumors: tuple[Rumor, ...]
    evidence_digest: int = 0


class SyncRequest(_Message, tag=42):
    """Requests the complete membership table and quarantine evidence."""

    sender: ProcessInfo
    evidence_digest: int = 0


class SyncReply(_Message, tag=43):
    """Part of the complete membership table of the sender."""

    sender: ProcessInfo
    rumors: tuple[Rumor, ...]


class CatalogOffer(_Message, tag=50):
    """The active configuration, for a process that has an older version.

    Attributes:
        sender: Sending process.
        version: Version of the configuration.
        compressed: Configuration record, compressed with zlib.
        age: Seconds since the version became active at the first process.
    """

    sender: Sender
    version: int
    compressed: bytes
    age: float = 0.0


class LeavingTargets(_Message, tag=51):
    """Reminds a restarted process of targets that were leaving.

    Attributes:
        sender: Sending process.
        names: Names of targets that the previous run of the receiver reported
            as leaving.
    """

    sender: Sender
    names: tuple[str, ...]


class CatalogVersion(_Message, tag=52):
    """Version of the active configuration of a process.

    Attributes:
        sender: The process.
        boot: Boot of the process.
        version: Version of the configuration.
        age: Seconds since the version became active at the first process.
        confirm: Whether the receiver should reply with its own version.
        is_retry: Whether an earlier message was not answered. The receiver then
            replies over a new connection.
    """

    sender: Sender
    boot: int
    version: int
    age: float
    confirm: bool = False
    is_retry: bool = False


class CatalogRequest(_Message, tag=53):
    """Requests the active configuration of the receiver.

    Attributes:
        sender: Requesting process.
        boot: Boot of that process.
        version: Active version of that process; only a newer one is sent.
        is_retry: Whether an earlier request was not answered. The receiver then
            replies over a new connection.
    """

    sender: Sender
    boot: int
    version: int
    is_retry: bool = False


class Crash(_Message):
    """Crash of a target while it ran a request.

    Attributes:
        id: Random ID, chosen by the process that owns the target.
        age: Seconds since the crash, at the time of sending.
        alone: Whether the target ran no other request.
        void: Whether the request was found not to be the cause.
    """

    id: Annotated[int, msgspec.Meta(ge=0)]
    age: float
    alone: bool
    void: bool


class Evidence(_Message):
    """Crashes that a request may have caused.

    Attributes:
        fingerprint: Fingerprint of the request.
        crashes: Crashes of targets while they ran the request.
    """

    fingerprint: bytes
    crashes: tuple[Crash, ...]


class SuspectedRequests(_Message, tag=54):
    """Evidence about requests that may have crashed targets.

    Attributes:
        sender: Sending process.
        digest: Digest of all evidence that the sender has.
        evidence: New evidence, or a part of all evidence.
        wants_reply: Whether this is the last part of all evidence, and the
            receiver should send its own if it has more.
    """

    sender: Sender
    digest: int
    evidence: tuple[Evidence, ...]
    wants_reply: bool = False


class IdleTarget(_Message, tag=55):
    """Tells a peer about a target in service that receives no requests.

    Attributes:
        sender: Process that owns the target.
        target: Name of the target.
        load: Current load of the target.
        any_kind: Whether it asks for any request, as no idempotent one comes.
    """

    sender: Sender
    target: str
    load: Load
    any_kind: bool = False


class StoredEvidence(_Message, tag=23):
    """Stored evidence about a quarantined request.

    Attributes:
        at: Wall time of the write, seconds since the epoch.
        evidence: Evidence at that time.
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
    | limit_messages.AllocatorMoved
)

_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(Frame)
_announcement_decoder = msgspec.msgpack.Decoder(Announcement)
_evidence_decoder = msgspec.msgpack.Decoder(StoredEvidence)
_control_decoder = msgspec.msgpack.Decoder(Control)


class MalformedMessage(errors.ForkliftError):
    """Received bytes are not a valid message."""

    def __init__(self, detail: str):
        super().__init__(
            f"malformed message ({detail}); run one version on both sides"
        )


def sender_of(info: ProcessInfo) -> Sender:
    """Returns the name and control address of a process."""
    return Sender(info.name, info.control)


def announcement_of(info: ProcessInfo) -> Announcement:
    """Returns the stored form of a process description, without targets."""
    return Announcement(msgspec.structs.replace(info, targets=()))


def encode(message: msgspec.Struct) -> bytes:
    """Encodes a message.

    >>> decode_frame(encode(Cancel(7)))
    Cancel(id=7)
    """
    return _encoder.encode(message)


def decode_frame(data: bytes | memoryview) -> Frame:
    """Decodes a frame.

    Raises:
        MalformedMessage: The bytes are not a valid frame.
    """
    return _decode(_frame_decoder, data)


def decode_announcement(name: str, data: bytes) -> Announcement:
    """Decodes and validates a stored announcement.

    Args:
        name: Key of the record, which is the name of the process.
        data: Stored record.

    Raises:
        MalformedMessage: The record is not a valid announcement of `name`.
    """
    record = _decode(_announcement_decoder, data)
    info = record.info
    try:
        ini.endpoint(info.peer)
        ini.endpoint(info.control)
    except ValueError as error:
        raise MalformedMessage(f"address: {error}") from error
    if info.name != name or info.targets:
        raise MalformedMessage(
            "the record does not describe the process that it is stored under"
        )
    if not (math.isfinite(info.started) and info.config >= 0):
        raise MalformedMessage("a number is out of range")
    return record


def decode_evidence(data: bytes) -> StoredEvidence:
    """Decodes and validates stored evidence.

    Raises:
        MalformedMessage: The record is not valid evidence.
    """
    kept = _decode(_evidence_decoder, data)
    ages = [crash.age for crash in kept.evidence.crashes]
    if not all(map(math.isfinite, (kept.at, *ages))):
        raise MalformedMessage("a number is out of range")
    return kept


def decode_control(data: bytes) -> Control:
    """Decodes a control message.

    Raises:
        MalformedMessage: The bytes are not a valid control message.
    """
    return _decode(_control_decoder, data)


def _decode(decoder: msgspec.msgpack.Decoder, data: bytes | memoryview):
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedMessage(str(error)) from error
