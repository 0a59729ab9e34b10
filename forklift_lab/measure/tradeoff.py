"""`forklift-lab measure tradeoff`: detection time against false ejections."""

import dataclasses
import pathlib

import click
import matplotlib
import matplotlib.pyplot

from forklift import policy
from forklift_lab.measure import deciding

THRESHOLDS = (5.0, 8.0, 11.0, 14.0, 18.0, 24.0)
SICK = ("fails all, answers probes", "fails 30%", "5 times slower")
HEALTHY = "healthy at 90%"


@dataclasses.dataclass(frozen=True)
class Point:
    """One threshold on the curve.

    Attributes:
        threshold: Evidence that ejects, nats.
        p50_by_fault: Median detection time, seconds.
        p99_by_fault: 99th percentile, seconds.
        false: Ejections per 100 target-hours of healthy peak.
        hours: Target-hours that `false` was counted over.
    """

    threshold: float
    p50_by_fault: dict[str, float]
    p99_by_fault: dict[str, float]
    false: float
    hours: float


def measure(deployment: str, threshold: float, seeds: int) -> Point:
    """Runs one threshold."""
    changes = (f"detection = {threshold:g}",)
    names = [*SICK, HEALTHY]
    result = deciding.run_all(deployment, ["forklift"], names, seeds, changes)[
        0
    ]
    p50, p99 = {}, {}
    for fault in SICK:
        found = [row.detection for row in result.rows if row.fault == fault]
        p50[fault] = deciding.percentile(found, 0.5)
        p99[fault] = deciding.percentile(found, 0.99)
    hours = sum(row.target_hours for row in result.rows)
    false = sum(row.false_ejections for row in result.rows)
    return Point(threshold, p50, p99, 100 * false / hours, hours)


def table(points: list[Point]) -> str:
    """The curve as a Markdown table."""
    heads = " | ".join(f"{fault}: p50, p99 s" for fault in SICK)
    lines = [
        f"| detection | {heads} | false ejections /100 target-h |",
        "|---" * (len(SICK) + 2) + "|",
    ]
    preset_by_value = {v: k for k, v in policy.EVIDENCE_BY_PRESET.items()}
    for point in points:
        preset = preset_by_value.get(point.threshold)
        name = f"{point.threshold:g}" + (f" ({preset})" if preset else "")
        cells = " | ".join(
            f"{point.p50_by_fault[f]:.2f}, {point.p99_by_fault[f]:.2f}"
            for f in SICK
        )
        lines.append(
            f"| {name} | {cells} | {point.false:.1f} in {point.hours:.0f} h |"
        )
    return "\n".join(lines)


def plot(points: list[Point], path: pathlib.Path) -> None:
    """The curve, with the presets marked."""
    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "forklift"
    figure, axis = matplotlib.pyplot.subplots(figsize=(8, 5))
    false = [point.false for point in points]
    for fault in SICK:
        times = [point.p50_by_fault[fault] for point in points]
        axis.plot(times, false, marker="o", label=fault)
        for point, at in zip(points, times, strict=True):
            axis.annotate(f"{point.threshold:g}", (at, point.false))
    axis.set_xlabel("detection time p50, s")
    axis.set_ylabel("false ejections per 100 target-hours")
    axis.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)
    matplotlib.pyplot.close(figure)


@click.command("tradeoff")
@click.option(
    "--deployment",
    type=click.Choice(["teranga", "kyushu"]),
    default="teranga",
    show_default=True,
)
@click.option("--seeds", default=20, show_default=True)
@click.option("--out", type=click.Path(path_type=pathlib.Path))
def command(deployment: str, seeds: int, out: pathlib.Path | None) -> None:
    """Measure the curve that the setting `detection` moves along."""
    points = [measure(deployment, value, seeds) for value in THRESHOLDS]
    click.echo(table(points))
    if out is not None:
        plot(points, out)
