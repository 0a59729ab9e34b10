"""OpenTelemetry metrics, exported to Prometheus by the admin interface."""

from collections.abc import Callable
from collections.abc import Iterable

import prometheus_client
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources

from forklift import expressions
from forklift import invalid_input
from forklift import invariants
from forklift import limit_refusals
from forklift.shell import logs
from forklift.shell import reports

# The value of a metric and its labels.
Sample = tuple[float, dict[str, str]]
ReadSamples = Callable[[], Iterable[Sample]]


class Telemetry:
    """Metrics of one process.

    Each scrape reads the current values from the process.
    """

    def __init__(self, proxy):
        reader = prometheus.PrometheusMetricReader()
        self._provider = sdk.MeterProvider(
            metric_readers=[reader],
            resource=resources.Resource(
                {"service.instance.id": proxy.directory.own.name}
            ),
        )
        self._meter = self._provider.get_meter("forklift")
        self._add_request_metrics(proxy)
        self._add_target_metrics(proxy)
        self._add_retry_metrics(proxy)
        self._add_call_metrics(proxy)
        self._add_room_metrics(proxy)
        self._add_admission_metrics(proxy)
        self._add_process_metrics(proxy)
        self._add_limit_metrics(proxy.rate_limiter.limiter.quota.refusals)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()

    def add_counter(
        self, name: str, description: str, read: ReadSamples
    ) -> None:
        """Adds a counter whose samples are read at each scrape."""
        self._meter.create_observable_counter(
            name, callbacks=[_make_callback(read)], description=description
        )

    def add_gauge(self, name: str, description: str, read: ReadSamples) -> None:
        """Adds a gauge whose samples are read at each scrape."""
        self._meter.create_observable_gauge(
            name, callbacks=[_make_callback(read)], description=description
        )

    def _add_request_metrics(self, proxy) -> None:
        counters = proxy.counters
        self.add_counter(
            "forklift.requests",
            "Requests at this entry by outcome and reason",
            lambda: [
                (count, {"outcome": outcome, "reason": reason})
                for (outcome, reason), count in (
                    counters.requests_by_outcome.items()
                )
            ],
        )
        self.add_counter(
            "forklift.request.seconds.bucket",
            "Requests that took up to `le` seconds",
            lambda: [
                (count, {"service": service, "le": bound})
                for service, histogram in counters.durations_by_service.items()
                for bound, count in histogram.cumulative()
            ],
        )
        self.add_counter(
            "forklift.request.seconds.sum",
            "Seconds that requests took in all",
            lambda: [
                (histogram.sum, {"service": service})
                for service, histogram in counters.durations_by_service.items()
            ],
        )
        self.add_counter(
            "forklift.sends",
            "Attempts at targets",
            lambda: [
                (proxy.forwarder.attempts, {"kind": "all"}),
                (proxy.forwarder.retries, {"kind": "repeat"}),
                (proxy.forwarder.hedges, {"kind": "hedge"}),
            ],
        )

    def _add_target_metrics(self, proxy) -> None:
        local_targets = proxy.local_targets.by_name
        self.add_counter(
            "forklift.doubts",
            "Doubts raised about targets beside, by sign",
            lambda: [
                (count, {"sign": signal})
                for signal, count in proxy.counters.ejections_by_signal.items()
            ],
        )
        self.add_counter(
            "forklift.refusals",
            "Requests that gates refused, by reason",
            lambda: [
                (count, {"reason": str(reason)})
                for target in local_targets.values()
                for reason, count in (
                    target.controller.refusals_by_reason.items()
                )
            ],
        )
        self.add_gauge(
            "forklift.targets.running",
            "Requests that targets beside run and wait for",
            lambda: [
                (value, {"kind": kind})
                for target in local_targets.values()
                for kind, value in (
                    ("running", target.controller.running),
                    ("waiting", target.controller.waiting),
                )
            ],
        )
        self.add_gauge(
            "forklift.targets.limit",
            "Requests per second that targets beside say they take",
            lambda: [
                (target.controller.rate_limit.rate, {"target": name})
                for name, target in local_targets.items()
                if target.controller.rate_limit.finite_rate is not None
            ],
        )
        self.add_counter(
            "forklift.targets.limited",
            "Requests refused as targets beside have named limits",
            lambda: [
                (target.controller.rate_limit.refused, {"target": name})
                for name, target in local_targets.items()
            ],
        )
        self.add_counter(
            "forklift.targets.starts",
            "Requests that were started on targets beside",
            lambda: [
                (target.controller.starts, {"target": name})
                for name, target in local_targets.items()
            ],
        )
        self.add_counter(
            "forklift.connections",
            "Connections to targets beside",
            lambda: [
                (value, {"kind": kind})
                for target in local_targets.values()
                for kind, value in (
                    ("made", target.pool.created),
                    ("reused", target.pool.reused),
                )
            ],
        )

    def _add_retry_metrics(self, proxy) -> None:
        allocation = proxy.forwarder.retry_allocation
        self.add_counter(
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
        self.add_gauge(
            "forklift.retries.rejected",
            "Share of recent sends that targets rejected, by service",
            lambda: [
                (share, {"service": service})
                for service, share in allocation.rejected_share_by_service(
                    proxy.clock.monotonic()
                ).items()
            ],
        )

    def _add_call_metrics(self, proxy) -> None:
        self.add_counter(
            "forklift.calls",
            "Requests that may be calls of targets beside, by match",
            lambda: _labelled_samples(proxy.run_calls.counts(), "match"),
        )
        self.add_counter(
            "forklift.runs.held",
            "Runs that were held back as calls found no room, by route",
            lambda: [
                (held.held, {"route": held.route})
                for held in proxy.run_calls.held_routes(proxy.clock.monotonic())
            ],
        )
        self.add_gauge(
            "forklift.runs.started.share",
            "Part of the runs that is started, of routes that were held back",
            lambda: [
                (held.share, {"route": held.route})
                for held in proxy.run_calls.held_routes(proxy.clock.monotonic())
            ],
        )
        self.add_gauge(
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
        self._add_called_route_gauge(
            proxy, "calls_per_run", "Calls of the usual run, by called route"
        )
        self._add_called_route_gauge(
            proxy, "seconds", "Seconds of the usual call, by called route"
        )
        self._add_called_route_gauge(
            proxy,
            "rejected",
            "Part of the calls that found no room, by called route",
        )

    def _add_called_route_gauge(
        self, proxy, attribute: str, description: str
    ) -> None:
        """Adds a gauge of what the runs of local targets call.

        Args:
            proxy: The process.
            attribute: Attribute of a `call_profile.CalledRoute`.
            description: Description of the gauge.
        """
        self.add_gauge(
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

    def _add_room_metrics(self, proxy) -> None:
        """Adds metrics on who gets the room of the local targets.

        Their labels are bounded: see `room_usage`.
        """
        local_targets = proxy.local_targets.by_name
        self.add_counter(
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
        self.add_counter(
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
        self.add_counter(
            "forklift.room.displaced",
            "Queued requests that were refused in favour of others",
            lambda: [
                (target.controller.queue.usage.displaced, {"target": name})
                for name, target in local_targets.items()
            ],
        )
        self.add_gauge(
            "forklift.room.work",
            "Seconds of work started a second, by the busiest organisations",
            lambda: _labelled_samples(
                reports.work_by_organisation(proxy), "organisation"
            ),
        )

    def _add_limit_metrics(
        self, refusals: limit_refusals.RefusalCounts
    ) -> None:
        """Adds metrics of rate limits; the others have an empty name."""
        self.add_counter(
            "forklift.limits.refused",
            "Requests refused by rate limits of organisations, by cause",
            lambda: [
                (count, {"organisation": name, "cause": str(cause)})
                for name, tally in refusals.items()
                for cause, count in tally.count_by_cause.items()
            ],
        )
        self.add_counter(
            "forklift.limits.refused.within",
            "Estimate of those of them that were within the limit",
            lambda: [
                (tally.within, {"organisation": name})
                for name, tally in refusals.items()
            ],
        )

    def _add_admission_metrics(self, proxy) -> None:
        self.add_counter(
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
        self.add_gauge(
            "forklift.admission.level",
            "Share of requests that this entry admits, by service",
            lambda: [
                (level.level, {"service": s})
                for s, level in proxy.forwarder.ingress_admission.read().items()
            ],
        )

    def _add_process_metrics(self, proxy) -> None:
        self.add_counter(
            "forklift.store.calls",
            "Calls to the store",
            lambda: [
                (proxy.store.calls, {"kind": "all"}),
                (proxy.store.failures, {"kind": "failed"}),
            ],
        )
        self.add_counter(
            "forklift.control.bytes",
            "Bytes of control messages",
            lambda: [
                (proxy.control_channel.sent_bytes, {"way": "out"}),
                (proxy.control_channel.received_bytes, {"way": "in"}),
            ],
        )
        self.add_counter(
            "forklift.control.renewed",
            "Control connections opened anew as something was not answered",
            lambda: [(proxy.control_channel.reconnects, {})],
        )
        self.add_counter(
            "forklift.logs.dropped",
            "Log lines left out, by event",
            lambda: [
                (count, {"event": event})
                for event, count in logs.dropped_by_event.items()
            ],
        )
        self.add_counter(
            "forklift.invariants.broken",
            "Broken promises",
            lambda: _labelled_samples(
                invariants.violations_by_invariant, "promise"
            ),
        )
        self.add_counter(
            "forklift.expressions.failed",
            "Policy expressions that fell back to their default",
            lambda: _labelled_samples(
                expressions.failures_by_expression, "expression"
            ),
        )
        self.add_counter(
            "forklift.unreadable",
            "What came from outside and could not be used, by source",
            lambda: _labelled_samples(invalid_input.count_by_source, "source"),
        )
        self.add_gauge(
            "forklift.config.version",
            "Version of the configuration in force",
            lambda: [(proxy.active_catalog.catalog.version, {})],
        )
        self.add_gauge(
            "forklift.peers",
            "Processes that are known and usable, this one too",
            lambda: [(proxy.balancer.process_count, {})],
        )
        self.add_gauge(
            "forklift.running",
            "Requests in flight in any role",
            lambda: [(proxy.running(), {})],
        )


def _labelled_samples(value_by_key: dict, label: str) -> list[Sample]:
    return [(count, {label: str(key)}) for key, count in value_by_key.items()]


def _make_callback(read: ReadSamples):
    def observe(options: metrics.CallbackOptions):
        for value, labels in read():
            yield metrics.Observation(value, labels)

    return observe
