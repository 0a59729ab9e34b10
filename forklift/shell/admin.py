"""Admin interface: HTTP API for operators, metric scrapers and targets.

Handlers are registered by method and path with `handles`.
"""

import asyncio
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
from forklift.shell import departure_store
from forklift.shell import http
from forklift.shell import reports
from forklift.shell import server

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class AdminRequest:
    """Request to the admin interface.

    Attributes:
        name: Name of the target in the URL; empty if the URL contains none.
        query: Parameters of the query string.
        body: Body of the request.
    """

    name: str
    query: dict[str, str]
    body: bytes


Handler = Callable[["AdminServer", AdminRequest], Awaitable[server.Response]]
handler_by_route: dict[tuple[str, str], Handler] = {}
# Seconds within which the store has to store what a call has changed.
STORE_TIMEOUT = 2.0
# Paths that need no key, for scrapers and health checks.
_PUBLIC_PATHS = ("healthz", "readyz", "metrics")


def handles(method: str, path: str) -> Callable[[Handler], Handler]:
    """Registers a handler for a method and a path.

    If `path` contains a slash, a name follows it in the URL: `targets/drain`
    registers a handler for `/targets/NAME/drain`, and `targets/` one for
    `/targets/NAME`.
    """

    def register(handler: Handler) -> Handler:
        handler_by_route[(method, path)] = handler
        return handler

    return register


class _NotStored(errors.ForkliftError):
    """A departure is in effect, but a restart of the process would undo it."""

    def __init__(self):
        super().__init__(
            "the target gets no new requests, but the store did not answer; "
            "call again, as a restarted process would not know it"
        )


class AdminServer:
    """Admin server of one process.

    Attributes:
        proxy: The proxy process that the server reports on and controls.
        on_stop_requested: Called when an operator requests a shutdown.
        telemetry: Metrics of the process; None before the first scrape.
    """

    def __init__(self, proxy):
        self.proxy = proxy
        self.on_stop_requested: Callable[[], None] = lambda: None
        self._server = server.Server(self._handle)
        self._key = proxy.settings.process.key.encode()
        self.telemetry = None

    async def open(self) -> None:
        """Starts to listen.

        Raises:
            errors.UserError: The process can't listen on the address.
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
        """Address that the server listens on; empty before `open`."""
        return self._server.address

    def close(self) -> None:
        """Stops listening."""
        self._server.close()

    async def _handle(self, request: server.Request) -> server.Response:
        method = request.method
        url = urllib.parse.urlsplit(request.target)
        path, name = _match_path(method, url.path)
        handler = handler_by_route.get((method, path))
        if handler is None:
            return error_response(
                404, "unknown method or path; see docs/OPERATIONS.md"
            )
        if path not in _PUBLIC_PATHS and not self._is_authorized(request):
            _log.warning("admin_request_rejected", call=path)
            return error_response(
                401, "the key is missing or wrong; pass the [process] key"
            )
        query = dict(urllib.parse.parse_qsl(url.query))
        try:
            return await handler(self, AdminRequest(name, query, request.body))
        except _NotStored as error:
            return error_response(503, str(error))
        except errors.UserError as error:
            return error_response(400, str(error))
        except msgspec.MsgspecError as error:
            return error_response(400, f"{error}; send JSON as documented")

    def _is_authorized(self, request: server.Request) -> bool:
        if not self._key:
            return True
        authorization = http.value(request.headers, b"authorization") or b""
        return hmac.compare_digest(authorization, b"Bearer " + self._key)


def _match_path(method: str, path: str) -> tuple[str, str]:
    """Returns the registered path for the path of a URL, and the name in it.

    >>> _match_path("POST", "/targets/releves-1")
    ('targets/', 'releves-1')
    >>> _match_path("POST", "/targets/drain")
    ('targets/', 'drain')
    >>> _match_path("POST", "/targets/releves-1/drain")
    ('targets/drain', 'releves-1')
    """
    stripped = path.strip("/")
    if "/" not in stripped and (method, stripped) in handler_by_route:
        return stripped, ""
    for registered_method, registered in handler_by_route:
        head, slash, tail = registered.partition("/")
        if registered_method != method or not slash:
            continue
        parts = stripped.split("/")
        if parts[0] != head or len(parts) < 2:
            continue
        if "/".join(parts[2:]) == tail:
            return registered, urllib.parse.unquote(parts[1])
    return stripped, ""


def json_response(value: msgspec.Struct, status: int = 200) -> server.Response:
    """Returns a response with a report as its JSON body."""
    return server.Response(status, msgspec.json.encode(value))


def error_response(status: int, message: str) -> server.Response:
    """Returns an error response with a message for the operator."""
    return json_response(report.Problem(message), status)


@handles("GET", "healthz")
async def healthz(admin: AdminServer, request: AdminRequest) -> server.Response:
    """Liveness check: succeeds while the process runs."""
    return server.Response(200, b"ok\n", b"text/plain")


@handles("GET", "readyz")
async def readyz(admin: AdminServer, request: AdminRequest) -> server.Response:
    """Readiness check: succeeds while the process accepts callers."""
    ready = admin.proxy.ready()
    body = b"ready\n" if ready else b"not ready\n"
    return server.Response(200 if ready else 503, body, b"text/plain")


@handles("GET", "metrics")
async def metrics(admin: AdminServer, request: AdminRequest) -> server.Response:
    """Returns the metrics in the Prometheus text format."""
    # Imported on the first scrape because OpenTelemetry is slow to import.
    from forklift.shell import telemetry  # noqa: PLC0415

    if admin.telemetry is None:
        admin.telemetry = telemetry.Telemetry(admin.proxy)
    text = admin.telemetry.render()
    return server.Response(200, text, b"text/plain; version=0.0.4")


@handles("GET", "status")
async def status(admin: AdminServer, request: AdminRequest) -> server.Response:
    """Returns the fleet as seen by the process."""
    return json_response(reports.build_status(admin.proxy))


@handles("GET", "state")
async def state(admin: AdminServer, request: AdminRequest) -> server.Response:
    """Returns the complete state of the process."""
    return json_response(reports.build_state_dump(admin.proxy))


@handles("GET", "explain/")
async def explain_target(
    admin: AdminServer, request: AdminRequest
) -> server.Response:
    """Returns the state and recent ejections of a target of the process."""
    name = admin.proxy.target_registry.find(request.name)
    found = reports.explain_target(admin.proxy, name or request.name)
    if found is None:
        return error_response(404, f"no target {request.name} at this process")
    return json_response(found)


@handles("POST", "targets/")
async def announce_target(
    admin: AdminServer, request: AdminRequest
) -> server.Response:
    """Records the registration or heartbeat of a target."""
    announcement = msgspec.json.decode(
        request.body, type=report.TargetAnnouncement
    )
    _check_announcement(request.name, announcement)
    proxy = admin.proxy
    stored = proxy.target_registry.record_heartbeat(
        heartbeats.Heartbeat(
            heartbeats.TargetIncarnation(request.name, announcement.born),
            announcement.service,
            announcement.address,
            proxy.settings.process.domain,
            announcement.slots,
            announcement.leaving,
            announcement.sequence,
        )
    )
    await _wait_until_stored(stored)
    return json_response(reports.build_status(proxy))


@handles("POST", "targets/drain")
async def drain_target(
    admin: AdminServer, request: AdminRequest
) -> server.Response:
    """Drains a target of the process."""
    name = admin.proxy.target_registry.find(request.name)
    if name is None:
        return error_response(404, f"no target {request.name} at this process")
    await _wait_until_stored(admin.proxy.target_registry.drain(name))
    return json_response(reports.explain_target(admin.proxy, name))


@handles("DELETE", "targets/")
async def remove_target(
    admin: AdminServer, request: AdminRequest
) -> server.Response:
    """Records that a target has stopped or is about to stop."""
    incarnation = heartbeats.parse_incarnation(request.name)
    await _wait_until_stored(
        admin.proxy.target_registry.record_leave(incarnation)
    )
    return json_response(reports.build_status(admin.proxy))


@handles("POST", "drain")
async def drain_process(
    admin: AdminServer, request: AdminRequest
) -> server.Response:
    """Starts a graceful shutdown of the process."""
    admin.on_stop_requested()
    return json_response(reports.build_status(admin.proxy))


async def _wait_until_stored(stored: asyncio.Future | None) -> None:
    """Waits until the store has what must outlast this process.

    Raises:
        _NotStored: The store did not answer in time.
    """
    if not await departure_store.wait_until_stored(stored, STORE_TIMEOUT):
        raise _NotStored()


def _check_announcement(
    name: str, announcement: report.TargetAnnouncement
) -> None:
    try:
        ini.name(name)
        ini.address(announcement.address)
    except ValueError as error:
        raise errors.UserError(
            f"the announcement of {name} is invalid; {error}"
        ) from error
    if announcement.slots < 1:
        raise errors.UserError(
            f"the announcement of {name} has no slots; send at least 1"
        )
    if announcement.born < 0:
        raise errors.UserError(
            f"the announcement of {name} has an invalid start time; send "
            "born in Unix milliseconds, or omit it"
        )
