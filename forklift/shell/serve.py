"""Runs one process until it is told to stop."""

import asyncio
import gc
import signal
import sys

import structlog

from forklift import expressions
from forklift import invariants
from forklift import settings
from forklift.platform import doors
from forklift.platform import names
from forklift.platform import store
from forklift.shell import admin
from forklift.shell import node as nodes
from forklift.shell import proxy as proxies
from forklift.shell import reload
from forklift.shell import server

GC_THRESHOLD = 20_000


def configure_logs(level: int) -> None:
    """JSON lines on standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


async def serve(read: settings.Settings, path: str = "") -> None:
    """Runs a process until SIGTERM, SIGINT or a drain of it all.

    Args:
        read: Its settings.
        path: File that they were read from; empty where they never change.

    Raises:
        errors.UserError: It can't start.
    """
    if read.platform is not None:
        await serve_on_platform(read, path)
        return
    node = nodes.Node(read)
    front = admin.Admin(node)
    stop = asyncio.Event()
    front.on_drain_all = stop.set
    instrument(node, front)
    await node.start()
    await front.open()
    _settle_memory()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    await node.stop()
    front.close()


async def serve_on_platform(read: settings.Settings, path: str) -> None:
    """Runs a process on a platform with a store until SIGTERM or SIGINT.

    Raises:
        errors.UserError: It can't start.
    """
    proxy = proxies.Proxy(
        read, store.Store(read.platform.store), store.decode, names.DIALECT
    )
    calls = doors.Doors(proxy.seen, proxy.left, proxy.ready)
    heartbeats = server.Server(calls.heartbeat)
    readiness = server.Server(calls.readiness)
    await proxy.start()
    await heartbeats.open(read.platform.heartbeats)
    await readiness.open(read.platform.ready)
    _settle_memory()
    stop = asyncio.Event()
    watcher = reload.Watcher(path, read, proxy.reload)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, watcher.look)
    if path:
        proxy.spawn(watcher.run())
    await stop.wait()
    await proxy.stop()
    heartbeats.close()
    readiness.close()


def _settle_memory() -> None:
    """What is loaded by now lives for ever.

    Full collections of it would show in the slowest requests.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 50, 100)


def instrument(node: nodes.Node, front: admin.Admin) -> None:
    """Adds the metrics of a process."""
    meter = node.telemetry

    def by(values: dict, label: str):
        return [(count, {label: str(key)}) for key, count in values.items()]

    meter.counter(
        "forklift.requests",
        "Requests at this entry by outcome",
        lambda: by(node.results_by_outcome, "outcome"),
    )
    meter.counter(
        "forklift.refusals",
        "Requests that this guard refused, by reason",
        lambda: by(node.guard.refusals_by_reason, "reason"),
    )
    meter.counter(
        "forklift.keys",
        "Verdicts on idempotency keys",
        lambda: by(node.keyed.verdicts, "verdict"),
    )
    meter.counter(
        "forklift.attempts",
        "Attempts at targets",
        lambda: [(node.dispatcher.attempts, {})],
    )
    meter.counter(
        "forklift.retries",
        "Attempts after the first",
        lambda: [(node.dispatcher.retries, {})],
    )
    meter.counter(
        "forklift.control.bytes",
        "Bytes of control messages",
        lambda: [
            (node.control.sent_bytes, {"way": "out"}),
            (node.control.received_bytes, {"way": "in"}),
        ],
    )
    meter.counter(
        "forklift.refused.peers",
        "Messages and connections without the shared key, or malformed",
        lambda: [
            (node.control.refused, {"where": "control"}),
            (node.peers_refused, {"where": "peer"}),
            (front.refused, {"where": "admin"}),
        ],
    )
    meter.counter(
        "forklift.invariants.broken",
        "Broken promises",
        lambda: by(invariants.broken_by_promise, "promise"),
    )
    meter.counter(
        "forklift.expressions.failed",
        "Policy expressions that fell back to their default",
        lambda: by(expressions.failures_by_expression, "expression"),
    )
    meter.gauge(
        "forklift.targets.weight",
        "Weight of each local target",
        lambda: [
            (
                target.standing.weight(node.clock.monotonic()),
                {"target": target.name, "state": str(target.standing.state)},
            )
            for target in node.guard.target_by_name.values()
        ],
    )
    meter.gauge(
        "forklift.config.total",
        "Sum of the versions of the policies in force",
        lambda: [(node.decisions.configuration.total, {})],
    )
    meter.gauge(
        "forklift.log.away",
        "Seconds since the log last answered",
        lambda: [(min(node.tail.away(), 1e9), {})],
    )
    meter.gauge(
        "forklift.running",
        "Requests in flight in any role",
        lambda: [(node.running(), {})],
    )
