"""Metrics of overload control and of the limits of organisations."""

from collections.abc import Callable
from typing import Protocol

from forklift.shell import reports


class Metrics(Protocol):
    """Where metrics are added, see `telemetry.Telemetry`."""

    def add_counter(self, name: str, description: str, read) -> None:
        """Adds a counter whose samples are read at each scrape."""

    def add_gauge(self, name: str, description: str, read) -> None:
        """Adds a gauge whose samples are read at each scrape."""


_adders: list[Callable] = []


def _metrics(add: Callable) -> Callable:
    """Registers a function that adds metrics of one part."""
    _adders.append(add)
    return add


def add_all(metrics: Metrics, proxy) -> None:
    """Adds the metrics of all parts.

    Args:
        metrics: Where the metrics are added.
        proxy: The process whose state they tell.
    """
    for add in _adders:
        add(metrics, proxy)


def labelled_samples(value_by_key: dict, label: str) -> list:
    """Returns a sample for each key, which becomes the value of a label."""
    return [(count, {label: str(key)}) for key, count in value_by_key.items()]


@_metrics
def _add_retries(metrics: Metrics, proxy) -> None:
    allocation = proxy.forwarder.retry_allocation
    metrics.add_counter(
        "forklift.retries.decisions",
        "Retries asked for under overload control, by priority, cause and "
        "decision",
        lambda: [
            (
                count,
                {
                    "rank": str(rank),
                    "cause": str(cause),
                    "verdict": str(verdict),
                },
            )
            for (rank, cause, verdict), count in (
                allocation.count_by_decision.items()
            )
        ],
    )
    metrics.add_gauge(
        "forklift.retries.rejected",
        "Share of recent sends that targets rejected, by service",
        lambda: [
            (share, {"service": service})
            for service, share in allocation.rejected_share_by_service(
                proxy.clock.monotonic()
            ).items()
        ],
    )


@_metrics
def _add_calls(metrics: Metrics, proxy) -> None:
    metrics.add_counter(
        "forklift.calls",
        "Requests that may be calls of targets beside, by match",
        lambda: labelled_samples(proxy.run_calls.counts(), "match"),
    )
    metrics.add_counter(
        "forklift.runs.held",
        "Runs that were held back as calls found no room, by route",
        lambda: [
            (held.held, {"route": held.route})
            for held in proxy.run_calls.held_routes(proxy.clock.monotonic())
        ],
    )
    metrics.add_gauge(
        "forklift.runs.started.share",
        "Part of the runs that is started, of routes that were held back",
        lambda: [
            (held.share, {"route": held.route})
            for held in proxy.run_calls.held_routes(proxy.clock.monotonic())
        ],
    )
    metrics.add_gauge(
        "forklift.targets.reserved",
        "Slots of targets beside that only calls get at present",
        lambda: [
            (
                target.controller.call_reserve.reserved(
                    target.controller.slots, proxy.clock.monotonic()
                ),
                {"target": name},
            )
            for name, target in proxy.local_targets.by_name.items()
        ],
    )
    _add_called_route_gauge(
        metrics,
        proxy,
        "calls_per_run",
        "Calls of the usual run, by called route",
    )
    _add_called_route_gauge(
        metrics, proxy, "seconds", "Seconds of the usual call, by called route"
    )
    _add_called_route_gauge(
        metrics,
        proxy,
        "rejected",
        "Part of the calls that found no room, by called route",
    )


def _add_called_route_gauge(
    metrics: Metrics, proxy, attribute: str, description: str
) -> None:
    """Adds a gauge of what the runs of local targets call.

    Args:
        metrics: Where the gauge is added.
        proxy: The process.
        attribute: Attribute of a `call_profile.CalledRoute`.
        description: Description of the gauge.
    """
    metrics.add_gauge(
        f"forklift.called.{attribute.replace('_', '.')}",
        description,
        lambda: [
            (
                getattr(called, attribute),
                {
                    "route": called.route,
                    "called": called.called_route,
                    "service": called.service,
                },
            )
            for called in proxy.run_calls.profile.called_routes(
                proxy.clock.monotonic()
            )
        ],
    )


@_metrics
def _add_room(metrics: Metrics, proxy) -> None:
    """Adds metrics on who gets the room of the local targets.

    Their labels are bounded: see `room_usage`.
    """
    local_targets = proxy.local_targets.by_name
    metrics.add_counter(
        "forklift.room.starts",
        "Requests that were started on targets beside, by priority",
        lambda: [
            (count, {"target": name, "priority": str(priority)})
            for name, target in local_targets.items()
            for priority, count in (
                target.controller.queue.usage.starts_by_priority.items()
            )
        ],
    )
    metrics.add_counter(
        "forklift.room.refusals",
        "Requests that were refused at targets beside, by priority",
        lambda: [
            (count, {"target": name, "priority": str(priority)})
            for name, target in local_targets.items()
            for priority, count in (
                target.controller.queue.usage.refusals_by_priority.items()
            )
        ],
    )
    metrics.add_counter(
        "forklift.room.displaced",
        "Queued requests that were refused in favour of others",
        lambda: [
            (target.controller.queue.usage.displaced, {"target": name})
            for name, target in local_targets.items()
        ],
    )
    metrics.add_gauge(
        "forklift.room.work",
        "Seconds of work started a second, by the busiest organisations",
        lambda: labelled_samples(
            reports.work_by_organisation(proxy), "organisation"
        ),
    )


@_metrics
def _add_limits(metrics: Metrics, proxy) -> None:
    """Adds metrics of rate limits; the others have an empty name."""
    refusals = proxy.rate_limiter.limiter.quota.refusals
    metrics.add_counter(
        "forklift.limits.refused",
        "Requests refused by rate limits of organisations, by cause",
        lambda: [
            (count, {"organisation": name, "cause": str(cause)})
            for name, tally in refusals.items()
            for cause, count in tally.count_by_cause.items()
        ],
    )
    metrics.add_counter(
        "forklift.limits.refused.within",
        "Estimate of those of them that were within the limit",
        lambda: [
            (tally.within, {"organisation": name})
            for name, tally in refusals.items()
        ],
    )


@_metrics
def _add_admission(metrics: Metrics, proxy) -> None:
    metrics.add_counter(
        "forklift.admission.requests",
        "Requests that this entry admitted or refused at once for room",
        lambda: [
            (count, {"service": s, "priority": str(p), "decision": name})
            for s, level in proxy.forwarder.ingress_admission.read().items()
            for name, count_by_priority in (
                ("admitted", level.admitted_by_priority),
                ("refused", level.refused_by_priority),
            )
            for p, count in count_by_priority.items()
        ],
    )
    metrics.add_gauge(
        "forklift.admission.level",
        "Share of requests that this entry admits, by service",
        lambda: [
            (level.level, {"service": s})
            for s, level in proxy.forwarder.ingress_admission.read().items()
        ],
    )
