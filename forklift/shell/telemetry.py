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
from forklift.shell import logs
from forklift.shell import overload_metrics

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
        self._add_process_metrics(proxy)
        overload_metrics.add_all(self, proxy)

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
            "forklift.responses.cut",
            "Responses that were cut off after they had begun, by reason",
            lambda: overload_metrics.labelled_samples(
                counters.responses_cut_by_reason, "reason"
            ),
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
        self.add_gauge(
            "forklift.targets.idle",
            "Seconds since targets beside last started a request",
            lambda: [
                (
                    target.controller.idle_seconds(proxy.clock.monotonic()),
                    {"target": name},
                )
                for name, target in local_targets.items()
            ],
        )
        self.add_counter(
            "forklift.idle.announcements",
            "Announcements of idle targets beside to other processes",
            lambda: [(proxy.idle_targets.announcements, {})],
        )
        self.add_counter(
            "forklift.idle.requests",
            "Requests sent to idle targets, by how they were known",
            lambda: [
                (count, {"source": source})
                for source, count in (
                    proxy.balancer.idle_selection.count_by_source.items()
                )
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

    def _add_process_metrics(self, proxy) -> None:
        evidence = proxy.target_registry.acceptance.evidence
        self.add_gauge(
            "forklift.departures.known",
            "1 if all departures of the targets beside are known",
            lambda: [(int(evidence.departures_known), {})],
        )
        self.add_gauge(
            "forklift.targets.held",
            "Targets that are not accepted, as they may have left",
            lambda: [(len(evidence.held_heartbeats), {})],
        )
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
            lambda: overload_metrics.labelled_samples(
                invariants.violations_by_invariant, "promise"
            ),
        )
        self.add_counter(
            "forklift.expressions.failed",
            "Policy expressions that fell back to their default",
            lambda: overload_metrics.labelled_samples(
                expressions.failures_by_expression, "expression"
            ),
        )
        self.add_counter(
            "forklift.unreadable",
            "What came from outside and could not be used, by source",
            lambda: overload_metrics.labelled_samples(
                invalid_input.count_by_source, "source"
            ),
        )
        self.add_gauge(
            "forklift.config.version",
            "Version of the configuration in force",
            lambda: [(proxy.active_catalog.catalog.version, {})],
        )
        self.add_gauge(
            "forklift.tick.delay.max",
            "Longest time by which a tick was late, in seconds",
            lambda: [(proxy.ticker.max_delay, {})],
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


def _make_callback(read: ReadSamples):
    def observe(options: metrics.CallbackOptions):
        for value, labels in read():
            yield metrics.Observation(value, labels)

    return observe
