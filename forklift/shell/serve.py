"""Runs one process until its shutdown is requested."""

import asyncio
import gc
import signal

import structlog

from forklift import errors
from forklift import settings
from forklift.platform import endpoints
from forklift.platform import platform_headers
from forklift.platform import store
from forklift.shell import admin
from forklift.shell import proxy as proxies
from forklift.shell import reload
from forklift.shell import server

_log = structlog.get_logger(__name__)
# Number of new objects after which the youngest generation is collected.
GC_THRESHOLD = 20_000


async def serve(initial: settings.Settings, settings_path: str) -> None:
    """Runs a process until SIGTERM, SIGINT or an operator's request to stop.

    Args:
        initial: Settings to start with.
        settings_path: File from which the settings are reloaded.

    Raises:
        errors.UserError: The process can't start.
    """
    proxy = proxies.Proxy(
        initial,
        store.Store(initial.platform.store),
        store.decode_configuration,
        platform_headers.PLATFORM,
    )
    admin_server = admin.AdminServer(proxy)
    platform_endpoints = endpoints.Endpoints(
        proxy.target_registry.record_heartbeat,
        proxy.target_registry.record_leave,
        proxy.ready,
    )
    heartbeats = server.Server(platform_endpoints.heartbeat)
    readiness = server.Server(platform_endpoints.readiness)
    stop_requested = asyncio.Event()

    def request_stop() -> None:
        proxy.request_stop()
        stop_requested.set()

    admin_server.on_stop_requested = request_stop
    watcher = reload.Watcher(settings_path, initial, proxy.reload)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_uncaught)
    # Installs the handlers before the process accepts callers, as the default
    # action of a signal would end the process and lose their requests.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, request_stop)
    loop.add_signal_handler(signal.SIGHUP, watcher.check)
    await proxy.start()
    await _open_admin_server(admin_server)
    await _open_listener(heartbeats, initial.platform.heartbeats, "heartbeats")
    await _open_listener(readiness, initial.platform.ready, "ready")
    _log.info(
        "listening",
        caller=proxy.caller_address,
        heartbeats=heartbeats.address,
        ready=readiness.address,
        admin=admin_server.address,
    )
    _freeze_startup_objects()
    proxy.spawn(watcher.run())
    await stop_requested.wait()
    await proxy.stop()
    heartbeats.close()
    readiness.close()
    admin_server.close()


def _log_uncaught(
    loop: asyncio.AbstractEventLoop, context: dict[str, object]
) -> None:
    """Logs an error that no component has handled, as other lines are."""
    _log.error(
        "uncaught", detail=context["message"], exc_info=context.get("exception")
    )


async def _open_admin_server(admin_server: admin.AdminServer) -> None:
    """Opens the admin interface; the process also serves without it."""
    try:
        await admin_server.open()
    except errors.UserError as error:
        _log.error("admin_unavailable", detail=str(error))


async def _open_listener(
    listener: server.Server, address: str, key: str
) -> None:
    try:
        await listener.open(address)
    except OSError as error:
        raise errors.UserError(
            f"can't listen on {address} ({error}); check [platform] {key}"
        ) from error


def _freeze_startup_objects() -> None:
    """Excludes the objects that exist by now from garbage collection.

    They live as long as the process, and full collections of them would delay
    requests.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 50, 100)
    gc.enable()
