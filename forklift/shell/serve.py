"""Runs one process until it is told to stop."""

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
GC_THRESHOLD = 20_000


async def serve(read: settings.Settings, path: str) -> None:
    """Runs a process until SIGTERM, SIGINT or a drain of it all.

    Args:
        read: Its settings.
        path: File that they were read from.

    Raises:
        errors.UserError: It can't start.
    """
    proxy = proxies.Proxy(
        read,
        store.Store(read.platform.store),
        store.decode,
        platform_headers.PLATFORM,
    )
    front = admin.AdminServer(proxy)
    calls = endpoints.Endpoints(
        proxy.target_registry.record_heartbeat,
        proxy.target_registry.record_leave,
        proxy.ready,
    )
    heartbeats = server.Server(calls.heartbeat)
    readiness = server.Server(calls.readiness)
    stop = asyncio.Event()

    def ask_to_stop() -> None:
        proxy.request_stop()
        stop.set()

    front.on_stop_requested = ask_to_stop
    watcher = reload.Watcher(path, read, proxy.reload)
    loop = asyncio.get_running_loop()
    # Before callers are listened for: by its default the signal would end the
    # process with their requests.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ask_to_stop)
    loop.add_signal_handler(signal.SIGHUP, watcher.check)
    await proxy.start()
    await _open_front(front)
    await _open(heartbeats, read.platform.heartbeats, "heartbeats")
    await _open(readiness, read.platform.ready, "ready")
    _log.info(
        "listening",
        caller=proxy.caller_address,
        heartbeats=heartbeats.address,
        ready=readiness.address,
        admin=front.address,
    )
    _freeze_startup_objects()
    proxy.spawn(watcher.run())
    await stop.wait()
    await proxy.stop()
    heartbeats.close()
    readiness.close()
    front.close()


async def _open_front(front: admin.AdminServer) -> None:
    """Callers are served even where operators can't ask."""
    try:
        await front.open()
    except errors.UserError as error:
        _log.error("admin_unavailable", detail=str(error))


async def _open(opened: server.Server, address: str, key: str) -> None:
    try:
        await opened.open(address)
    except OSError as error:
        raise errors.UserError(
            f"can't listen on {address} ({error}); check [platform] {key}"
        ) from error


def _freeze_startup_objects() -> None:
    """What is loaded by now lives for ever.

    Full collections of it would show in the slowest requests.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 50, 100)
    gc.enable()
