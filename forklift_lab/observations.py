"""What a soak run records of requests and of targets."""

import dataclasses

from forklift import heartbeats


@dataclasses.dataclass(frozen=True)
class Seen:
    """One request as its caller saw it.

    Attributes:
        id: Its identity.
        place: Process that it was sent to.
        began: Loop seconds when it was sent.
        ended: Loop seconds when it ended for the caller.
        status: HTTP status; 0 where there was no answer.
        own: Whether the answer was whole and its own.
        hung: Whether nothing came within the longest time.
        life: Number of the run of the process that it was sent to.
        version: The only version of the configuration that has its route; 0
            where all have it.
        since: The first version of the configuration that has its route; 0
            where all have it.
        ended_after: Seconds from its last byte to the plain end of its
            connection; 0 where there was none.
        told: Whether an answer before on its connection had said that this
            closes.
        limited: Whether the answer named a limit of its target.
        leaving: Whether the answer said that its target leaves.
        answered_by: Name of the target that answered; empty if none did.
    """

    id: str
    place: str
    began: float
    ended: float
    status: int
    own: bool = True
    hung: bool = False
    incarnation: int = 0
    version: int = 0
    since: int = 0
    ended_after: float = 0.0
    told: bool = False
    limited: bool = False
    leaving: bool = False
    answered_by: str = ""


@dataclasses.dataclass(frozen=True)
class NamedLimit:
    """A limit that a target named for a while.

    Attributes:
        place: Process beside the target.
        incarnation: The run of the target.
        rate: Requests a second.
        began: Loop seconds when it was named first.
        ended: Loop seconds when it was named no more.
    """

    place: str
    incarnation: heartbeats.TargetIncarnation
    rate: float
    began: float
    ended: float


@dataclasses.dataclass(frozen=True)
class LargeAnswer:
    """What a caller received of a large answer.

    Attributes:
        seen: The request as its caller saw it. A status other than 0 shows
            that the answer had begun.
        size: Bytes of its body that arrived.
        complete: Whether it ended as a complete answer does.
    """

    seen: Seen
    size: int
    complete: bool
