"""HTTP endpoints that the platform calls: heartbeats and readiness."""

import asyncio
import dataclasses
import enum
import re
from collections.abc import Callable
from typing import Annotated

import msgspec

from forklift import errors
from forklift import heartbeats
from forklift import ini
from forklift import invalid_input
from forklift.shell import departure_store
from forklift.shell import server

MILLISECONDS_PER_SECOND = 1000
_HEARTBEAT = "/Instances.Heartbeat/"
_DEREGISTER = "/Instances.Deregister/"
_READY = "/ready"
_OK = server.Response(200, b"{}")
_MALFORMED = server.Response(400, b"{}")
_NOT_STORED = server.Response(503, b"{}")
# Seconds within which a call is answered. The platform discards later answers
# after one second.
RESPONSE_TIMEOUT = 0.8

# Limits on values in a heartbeat; larger ones are rejected.
MAX_BODY_BYTES = 65_536
MAX_SLOTS = 100_000
MAX_WARMUP_MS = 3_600_000
# Maximum length of a path in log lines, in characters.
MAX_LOGGED_PATH = 200
# Integers up to this one are represented exactly by all JSON parsers.
MAX_SAFE_INTEGER = 2**53
_TARGET_NAME = re.compile(r"[!-~]{1,200}")
_SequenceNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]
_ServiceName = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
# Start time of this run of a target in Unix milliseconds; absent if unknown.
_StartTime = Annotated[int, msgspec.Meta(ge=1, le=MAX_SAFE_INTEGER)]


class _ReportedState(enum.Enum):
    READY = "ready"
    DRAINING = "draining"


class _TargetMessage(msgspec.Struct, frozen=True, rename="kebab"):
    """Base class of messages of a target; unknown fields are ignored."""


class _Info(_TargetMessage):
    service: _ServiceName
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    # The failure domain.
    zone: str = ""
    # Version of the target's software.
    version: str = ""


class _Status(_TargetMessage):
    state: _ReportedState
    # Increases with each call of one run of a target; detects reordered calls.
    sequence: _SequenceNumber
    # Remaining warm-up time of the target.
    cold_remaining_ms: Annotated[
        float, msgspec.Meta(ge=0, le=MAX_WARMUP_MS)
    ] = 0.0


class _Heartbeat(_TargetMessage):
    address: str
    info: _Info
    status: _Status
    born: _StartTime | msgspec.UnsetType = msgspec.UNSET


class _Deregistration(_TargetMessage):
    born: _StartTime | msgspec.UnsetType = msgspec.UNSET


_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)
_deregistration_decoder = msgspec.json.Decoder(_Deregistration)


class InvalidCall(errors.ForkliftError):
    """A heartbeat or deregistration is malformed."""

    def __init__(self, detail: str):
        super().__init__(
            f"invalid call of a target ({detail}); the last valid heartbeat "
            "is still used; check the program that sends these calls"
        )


@dataclasses.dataclass(frozen=True)
class Endpoints:
    """Handlers of the endpoints.

    Attributes:
        on_heartbeat: Called with each heartbeat of a target. Returns a future
            that must be done before the call is acknowledged; None if it may be
            acknowledged at once.
        on_deregistration: Called when an incarnation of a target is about to
            end. Returns the same.
        is_ready: Returns whether the process is ready for callers.
    """

    on_heartbeat: Callable[[heartbeats.Heartbeat], asyncio.Future | None]
    on_deregistration: Callable[
        [heartbeats.TargetIncarnation], asyncio.Future | None
    ]
    is_ready: Callable[[], bool]

    async def heartbeat(self, request: server.Request) -> server.Response:
        """Handles a heartbeat or deregistration of a local target."""
        path = request.target.partition("?")[0]
        try:
            if path.startswith(_HEARTBEAT):
                target = path[len(_HEARTBEAT) :]
                heartbeat = decode_heartbeat(target, request.body)
                return await _acknowledge(self.on_heartbeat(heartbeat))
            if path.startswith(_DEREGISTER):
                target = path[len(_DEREGISTER) :]
                left = decode_deregistration(target, request.body)
                return await _acknowledge(self.on_deregistration(left))
        except InvalidCall as error:
            invalid_input.record(
                invalid_input.Source.HEARTBEAT,
                str(error),
                path=path[:MAX_LOGGED_PATH],
            )
            return _MALFORMED
        return server.Response(404, b"{}")

    async def readiness(self, request: server.Request) -> server.Response:
        """Handles a readiness check of the platform."""
        if request.target.partition("?")[0] != _READY:
            return server.Response(404, b"{}")
        return server.Response(200 if self.is_ready() else 503, b"{}")


async def _acknowledge(stored: asyncio.Future | None) -> server.Response:
    """Acknowledges a call once what must outlast this process is stored."""
    is_stored = await departure_store.wait_until_stored(
        stored, RESPONSE_TIMEOUT
    )
    return _OK if is_stored else _NOT_STORED


def decode_heartbeat(target: str, body: bytes) -> heartbeats.Heartbeat:
    """Decodes a heartbeat of a target.

    Args:
        target: Name of the target, from the path.
        body: Request body.

    Raises:
        InvalidCall: The heartbeat is malformed.
    """
    message = _decode(_heartbeat_decoder, target, body)
    try:
        address = ini.endpoint(message.address)
    except ValueError as error:
        raise InvalidCall(f"address: {error}") from error
    return heartbeats.Heartbeat(
        incarnation=heartbeats.TargetIncarnation(target, message.born or 0),
        service=message.info.service,
        address=address,
        domain=message.info.zone,
        slots=message.info.slots,
        leaving=message.status.state is _ReportedState.DRAINING,
        sequence=message.status.sequence,
        cold=message.status.cold_remaining_ms / MILLISECONDS_PER_SECOND,
    )


def decode_deregistration(
    target: str, body: bytes
) -> heartbeats.TargetIncarnation:
    """Decodes a deregistration of a target, which may have no body.

    Raises:
        InvalidCall: The deregistration is malformed.
    """
    message = _decode(_deregistration_decoder, target, body or b"{}")
    return heartbeats.TargetIncarnation(target, message.born or 0)


def _decode(decoder: msgspec.json.Decoder, target: str, body: bytes):
    if not _TARGET_NAME.fullmatch(target):
        raise InvalidCall("invalid target name")
    if len(body) > MAX_BODY_BYTES:
        raise InvalidCall(f"the body exceeds {MAX_BODY_BYTES} bytes")
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidCall(str(error)) from error
