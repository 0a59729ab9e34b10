"""The calls that the platform makes to a process: heartbeats and readiness."""

import dataclasses
from collections.abc import Callable

import msgspec
import structlog

from forklift import announcement
from forklift.shell import server

_log = structlog.get_logger(__name__)
MILLI = 1000
_HEARTBEAT = "/Instances.Heartbeat/"
_LEAVE = "/Instances.Deregister/"
_READY = "/ready"
_DRAINING = "draining"
_OK = server.Response(200, b"{}")


class _Wire(msgspec.Struct, frozen=True, rename="kebab"):
    """Base of what a heartbeat holds; unknown fields are passed over."""


class _Info(_Wire):
    service: str
    slots: int
    # The failure domain.
    zone: str = ""
    # Version of the target's software.
    version: str = ""


class _Status(_Wire):
    state: str
    # Rises with each call of one target; a late call has a lower one.
    sequence: int
    # How much longer the target is slow after its start.
    cold_remaining_ms: float = 0.0


class _Heartbeat(_Wire):
    address: str
    info: _Info
    status: _Status


_decoder = msgspec.json.Decoder(_Heartbeat)


@dataclasses.dataclass(frozen=True)
class Doors:
    """What the calls come to in the product.

    Attributes:
        seen: A target announced itself.
        left: A target is about to end: its name.
        ready: Whether callers should be sent here.
    """

    seen: Callable[[announcement.Announcement], None]
    left: Callable[[str], None]
    ready: Callable[[], bool]

    async def heartbeat(self, request: server.Request) -> server.Response:
        """Answers a call of the target on this instance."""
        path = request.target.partition("?")[0]
        if path.startswith(_HEARTBEAT):
            return self._heartbeat(path[len(_HEARTBEAT) :], request.body)
        if path.startswith(_LEAVE):
            self.left(path[len(_LEAVE) :])
            return _OK
        return server.Response(404, b"{}")

    async def readiness(self, request: server.Request) -> server.Response:
        """Answers the platform's question whether this process is ready."""
        if request.target.partition("?")[0] != _READY:
            return server.Response(404, b"{}")
        return server.Response(200 if self.ready() else 503, b"{}")

    def _heartbeat(self, name: str, body: bytes) -> server.Response:
        try:
            said = _decoder.decode(body)
        except msgspec.MsgspecError as error:
            _log.warning("heartbeat_malformed", target=name, detail=str(error))
            return server.Response(400, b"{}")
        self.seen(
            announcement.Announcement(
                name=name,
                service=said.info.service,
                address=said.address,
                domain=said.info.zone,
                slots=said.info.slots,
                leaving=said.status.state == _DRAINING,
                sequence=said.status.sequence,
                cold=said.status.cold_remaining_ms / MILLI,
            )
        )
        return _OK
