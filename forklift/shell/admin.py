"""The admin address: operators ask, scrapers read, targets announce.

A small HTTP server over h11. What it can do is a registry of handlers.
"""

import dataclasses
import hmac
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec
import structlog

from forklift import errors
from forklift import heartbeats
from forklift import ini
from forklift import report
from forklift.shell import http
from forklift.shell import reports
from forklift.shell import server

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class AdminRequest:
    """One request to the admin address.

    Attributes:
        name: Last part of the path, for handlers that take one.
        query: Parameters of the query.
        body: The body.
    """

    name: str
    query: dict[str, str]
    body: bytes


Handler = Callable[["AdminServer", AdminRequest], Awaitable[server.Response]]
handler_by_route: dict[tuple[str, str], Handler] = {}
# Read by scrapers and health checks that hold no key.
_OPEN = ("healthz", "readyz", "metrics")


def handles(method: str, path: str) -> Callable[[Handler], Handler]:
    """Registers a handler; a path that ends in / takes a name."""

    def register(handler: Handler) -> Handler:
        handler_by_route[(method, path)] = handler
        return handler

    return register


class AdminServer:
    """The admin server of one process."""

    def __init__(self, proxy):
        self.proxy = proxy
        self.on_stop_requested: Callable[[], None] = lambda: None
        self._server = server.Server(self._answer)
        self._key = proxy.settings.process.key.encode()
        self.rejected = 0
        # Built when metrics are first read.
        self.telemetry = None

    async def open(self) -> None:
        """Listens.

        Raises:
            errors.UserError: The address is taken.
        """
        address = self.proxy.settings.process.admin
        try:
            await self._server.open(address)
        except OSError as error:
            raise errors.UserError(
                f"can't listen on {address} ({error}); check [process] admin"
            ) from error

    @property
    def address(self) -> str:
        """Where it listens; empty while it does not."""
        return self._server.address

    def close(self) -> None:
        """Stops listening."""
        self._server.close()

    async def _answer(self, request: server.Request) -> server.Response:
        method = request.method
        target = urllib.parse.urlsplit(request.target)
        path, name = _split(method, target.path)
        handler = handler_by_route.get((method, path))
        if handler is None:
            return error_response(404, "no such call; see docs/OPERATIONS.md")
        if path not in _OPEN and not self._allowed(request):
            self.rejected += 1
            _log.warning("admin_refused", call=path)
            return error_response(
                401, "the key is wrong or absent; pass the [process] key"
            )
        query = dict(urllib.parse.parse_qsl(target.query))
        try:
            return await handler(self, AdminRequest(name, query, request.body))
        except errors.UserError as error:
            return error_response(400, str(error))
        except msgspec.MsgspecError as error:
            return error_response(
                400, f"{error}; send the JSON that docs describe"
            )

    def _allowed(self, request: server.Request) -> bool:
        if not self._key:
            return True
        given = http.value(request.headers, b"authorization") or b""
        return hmac.compare_digest(given, b"Bearer " + self._key)


def _split(method: str, path: str) -> tuple[str, str]:
    """Splits a path into the part of the registry and a name.

    >>> _split("POST", "/targets/releves-1")
    ('targets/', 'releves-1')
    """
    bare = path.strip("/")
    if (method, bare) in handler_by_route:
        return bare, ""
    for registered_method, registered in handler_by_route:
        head, _, tail = registered.partition("/")
        if registered_method != method or not _:
            continue
        parts = bare.split("/")
        if parts[0] != head or len(parts) < 2:
            continue
        if "/".join(parts[2:]) == tail:
            return registered, urllib.parse.unquote(parts[1])
    return bare, ""


def json_response(value: msgspec.Struct, status: int = 200) -> server.Response:
    """A reply with a report."""
    return server.Response(status, msgspec.json.encode(value))


def error_response(status: int, message: str) -> server.Response:
    """A reply with an error."""
    return json_response(report.Problem(message), status)


@handles("GET", "healthz")
async def healthz(admin: AdminServer, call: AdminRequest) -> server.Response:
    """Whether the process runs."""
    return server.Response(200, b"ok\n", b"text/plain")


@handles("GET", "readyz")
async def readyz(admin: AdminServer, call: AdminRequest) -> server.Response:
    """Whether callers should be sent here."""
    ready = admin.proxy.ready()
    body = b"ready\n" if ready else b"not ready\n"
    return server.Response(200 if ready else 503, body, b"text/plain")


@handles("GET", "metrics")
async def metrics(admin: AdminServer, call: AdminRequest) -> server.Response:
    """Metrics in the Prometheus text format."""
    # Loading the library costs 0.1 s, which a process that nobody scrapes
    # need not spend.
    from forklift.shell import telemetry  # noqa: PLC0415

    if admin.telemetry is None:
        admin.telemetry = telemetry.Telemetry(admin.proxy)
    text = admin.telemetry.render()
    return server.Response(200, text, b"text/plain; version=0.0.4")


@handles("GET", "status")
async def status(admin: AdminServer, call: AdminRequest) -> server.Response:
    """What the process sees of the fleet."""
    return json_response(reports.build_status(admin.proxy))


@handles("GET", "state")
async def state(admin: AdminServer, call: AdminRequest) -> server.Response:
    """The full dump of the process."""
    return json_response(reports.build_state_dump(admin.proxy))


@handles("GET", "explain/")
async def explain_target(
    admin: AdminServer, call: AdminRequest
) -> server.Response:
    """The recent doubts about a target beside the process."""
    name = admin.proxy.target_registry.find(call.name)
    found = reports.explain_target(admin.proxy, name or call.name)
    if found is None:
        return error_response(404, f"no target {call.name} beside this process")
    return json_response(found)


@handles("POST", "targets/")
async def announce_target(
    admin: AdminServer, call: AdminRequest
) -> server.Response:
    """A target announces itself, or renews."""
    said = msgspec.json.decode(call.body, type=report.TargetAnnouncement)
    _check(call.name, said)
    proxy = admin.proxy
    proxy.target_registry.record_heartbeat(
        heartbeats.Heartbeat(
            heartbeats.TargetIncarnation(call.name, said.born),
            said.service,
            said.address,
            proxy.settings.process.domain,
            said.slots,
            said.leaving,
            said.sequence,
        )
    )
    return json_response(reports.build_status(proxy))


@handles("POST", "targets/drain")
async def drain_target(
    admin: AdminServer, call: AdminRequest
) -> server.Response:
    """A target is to take no new request."""
    name = admin.proxy.target_registry.find(call.name)
    if name is None:
        return error_response(404, f"no target {call.name} beside this process")
    admin.proxy.local_targets.drain(name)
    return json_response(reports.explain_target(admin.proxy, name))


@handles("DELETE", "targets/")
async def remove_target(
    admin: AdminServer, call: AdminRequest
) -> server.Response:
    """A target is gone."""
    admin.proxy.target_registry.record_leave(
        heartbeats.parse_incarnation(call.name)
    )
    return json_response(reports.build_status(admin.proxy))


@handles("POST", "drain")
async def drain_process(
    admin: AdminServer, call: AdminRequest
) -> server.Response:
    """A planned stop of the process."""
    admin.on_stop_requested()
    return json_response(reports.build_status(admin.proxy))


def _check(name: str, said: report.TargetAnnouncement) -> None:
    try:
        ini.name(name)
        ini.address(said.address)
    except ValueError as error:
        raise errors.UserError(
            f"the announcement of {name} is not usable; {error}"
        ) from error
    if said.slots < 1:
        raise errors.UserError(
            f"the announcement of {name} names no slots; send at least 1"
        )
    if said.born < 0:
        raise errors.UserError(
            f"the announcement of {name} tells no time of birth; send Unix "
            "milliseconds, or leave it out"
        )
