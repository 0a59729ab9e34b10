"""Metrics by OpenTelemetry, read by a scrape of the admin address."""

from collections.abc import Callable
from collections.abc import Iterable

import prometheus_client
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import view

BOUNDARIES = [
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
]

Reading = tuple[float, dict[str, str]]
Read = Callable[[], Iterable[Reading]]


class Telemetry:
    """The instruments of one process."""

    def __init__(self, name: str):
        reader = prometheus.PrometheusMetricReader()
        buckets = view.ExplicitBucketHistogramAggregation(BOUNDARIES)
        self._provider = sdk.MeterProvider(
            metric_readers=[reader],
            resource=resources.Resource({"service.instance.id": name}),
            views=[
                view.View(
                    instrument_name="forklift.request", aggregation=buckets
                )
            ],
        )
        self._meter = self._provider.get_meter("forklift")
        self._ended: list[tuple[str, str, float]] = []
        self._request = self._meter.create_histogram(
            "forklift.request",
            unit="s",
            description="Duration of requests at their entry",
        )

    def request(self, service: str, outcome: str, seconds: float) -> None:
        """A request ended at its entry; `flush` records it."""
        self._ended.append((service, outcome, seconds))

    def flush(self) -> None:
        """Records what ended, outside the path of any request."""
        ended, self._ended = self._ended, []
        for service, outcome, seconds in ended:
            labels = {"service": service, "outcome": outcome}
            self._request.record(seconds, labels)

    def counter(self, name: str, description: str, read: Read) -> None:
        """Adds a counter that is read when scraped."""
        self._meter.create_observable_counter(
            name, callbacks=[_callback(read)], description=description
        )

    def gauge(self, name: str, description: str, read: Read) -> None:
        """Adds a gauge that is read when scraped."""
        self._meter.create_observable_gauge(
            name, callbacks=[_callback(read)], description=description
        )

    def text(self) -> bytes:
        """All metrics in the Prometheus text format."""
        self.flush()
        return prometheus_client.generate_latest()


def _callback(read: Read):
    def observe(options: metrics.CallbackOptions):
        for value, labels in read():
            yield metrics.Observation(value, labels)

    return observe
