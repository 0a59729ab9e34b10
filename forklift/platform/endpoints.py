"""The calls that the platform makes to a process: heartbeats and readiness."""

import dataclasses
import enum
import re
from collections.abc import Callable
from typing import Annotated

import msgspec

from forklift import announcement
from forklift import errors
from forklift import ini
from forklift import invalid_input
from forklift.shell import server

MILLI = 1000
_HEARTBEAT = "/Instances.Heartbeat/"
_LEAVE = "/Instances.Deregister/"
_READY = "/ready"
_OK = server.Response(200, b"{}")
_MALFORMED = server.Response(400, b"{}")

# Bounds on what a target may say; beyond them it is no target that says it.
MAX_BODY_BYTES = 65_536
MAX_SLOTS = 100_000
MAX_WARMUP_MS = 3_600_000
# What a log line tells of a path, characters.
MAX_PATH = 200
# Whole numbers that all formats hold exactly.
MAX_SAFE_INTEGER = 2**53
_TARGET = re.compile(r"[!-~]{1,200}")
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]
_Word = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
# Unix milliseconds of the start of this run of a target; 0 stands for none.
_Born = Annotated[int, msgspec.Meta(ge=1, le=MAX_SAFE_INTEGER)]


class _State(enum.Enum):
    READY = "ready"
    DRAINING = "draining"


class _Wire(msgspec.Struct, frozen=True, rename="kebab"):
    """Base of what a target says; unknown fields are passed over."""


class _Info(_Wire):
    service: _Word
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    # The failure domain.
    zone: str = ""
    # Version of the target's software.
    version: str = ""


class _Status(_Wire):
    state: _State
    # Rises with each call of one run of a target; a late call has a lower one.
    sequence: _Count
    # How much longer the target is slow after its start.
    cold_remaining_ms: Annotated[
        float, msgspec.Meta(ge=0, le=MAX_WARMUP_MS)
    ] = 0.0


class _Heartbeat(_Wire):
    address: str
    info: _Info
    status: _Status
    born: _Born | msgspec.UnsetType = msgspec.UNSET


class _Leave(_Wire):
    born: _Born | msgspec.UnsetType = msgspec.UNSET


_heartbeats = msgspec.json.Decoder(_Heartbeat)
_leaves = msgspec.json.Decoder(_Leave)


class InvalidCall(errors.ForkliftError):
    """A call that no target of this platform makes."""

    def __init__(self, detail: str):
        super().__init__(
            f"the call names no target to use ({detail}); what its target "
            "said before holds, find out who else writes"
        )


@dataclasses.dataclass(frozen=True)
class Endpoints:
    """What the calls come to in the product.

    Attributes:
        seen: A target announced itself.
        left: A life of a target is about to end.
        ready: Whether callers should be sent here.
    """

    seen: Callable[[announcement.Heartbeat], None]
    left: Callable[[announcement.TargetIncarnation], None]
    ready: Callable[[], bool]

    async def heartbeat(self, request: server.Request) -> server.Response:
        """Answers a call of the target on this instance."""
        path = request.target.partition("?")[0]
        try:
            if path.startswith(_HEARTBEAT):
                target = path[len(_HEARTBEAT) :]
                self.seen(decode_heartbeat(target, request.body))
                return _OK
            if path.startswith(_LEAVE):
                target = path[len(_LEAVE) :]
                self.left(decode_deregistration(target, request.body))
                return _OK
        except InvalidCall as error:
            invalid_input.record(
                invalid_input.Source.HEARTBEAT, str(error), path=path[:MAX_PATH]
            )
            return _MALFORMED
        return server.Response(404, b"{}")

    async def readiness(self, request: server.Request) -> server.Response:
        """Answers the platform's question whether this process is ready."""
        if request.target.partition("?")[0] != _READY:
            return server.Response(404, b"{}")
        return server.Response(200 if self.ready() else 503, b"{}")


def decode_heartbeat(target: str, body: bytes) -> announcement.Heartbeat:
    """Decodes a heartbeat of a target.

    Args:
        target: Name of the target, as the path has it.
        body: The body.

    Raises:
        InvalidCall: No target said this.
    """
    said = _decode(_heartbeats, target, body)
    try:
        address = ini.endpoint(said.address)
    except ValueError as error:
        raise InvalidCall(f"address: {error}") from error
    return announcement.Heartbeat(
        incarnation=announcement.TargetIncarnation(target, said.born or 0),
        service=said.info.service,
        address=address,
        domain=said.info.zone,
        slots=said.info.slots,
        leaving=said.status.state is _State.DRAINING,
        sequence=said.status.sequence,
        cold=said.status.cold_remaining_ms / MILLI,
    )


def decode_deregistration(
    target: str, body: bytes
) -> announcement.TargetIncarnation:
    """Decodes the last call of a target, which may have no body.

    Raises:
        InvalidCall: No target said this.
    """
    said = _decode(_leaves, target, body or b"{}")
    return announcement.TargetIncarnation(target, said.born or 0)


def _decode(decoder: msgspec.json.Decoder, target: str, body: bytes):
    if not _TARGET.fullmatch(target):
        raise InvalidCall("no name of a target")
    if len(body) > MAX_BODY_BYTES:
        raise InvalidCall(f"over {MAX_BODY_BYTES} bytes")
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidCall(str(error)) from error
