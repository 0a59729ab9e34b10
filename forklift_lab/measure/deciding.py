"""`forklift-lab measure decisions`: the table of faults, with baselines."""

import concurrent.futures
import dataclasses
import os
import pathlib
import statistics
import sys

import click
import matplotlib
import matplotlib.pyplot
import msgspec
import structlog

from forklift import invariants
from forklift_lab.measure import baselines
from forklift_lab.measure import figures
from forklift_lab.measure import scenarios
from forklift_lab.measure import world as worlds

DRAIN = 9.0
WORKERS = max(1, (os.cpu_count() or 2) - 2)


class Result(msgspec.Struct, frozen=True):
    """The rows of one strategy."""

    strategy: str
    deployment: str
    rows: tuple[figures.Row, ...]


def _quiet(logger, method, event):
    raise structlog.DropEvent


def run_one(
    deployment: str,
    strategy: str,
    fault: str,
    seed: int,
    changes: tuple[str, ...] = (),
    end: float = scenarios.END,
) -> figures.Row:
    """Runs one fault with one seed; the same seed gives the same row.

    Args:
        deployment: Name of the deployment.
        strategy: Name of the strategy.
        fault: Name of the scenario.
        seed: Seed of all randomness.
        changes: Lines "key = value" put in place of the policy's.
        end: Virtual second at which the run ends.
    """
    structlog.configure(processors=[_quiet])
    found = scenarios.deployments()[deployment]
    found = dataclasses.replace(found, policy=changed(found.policy, changes))
    row = scenarios.scenario_by_name[fault]
    broken_before = sum(invariants.broken_by_promise.values())
    make = baselines.process_by_strategy[strategy]
    world = worlds.World(found, seed, make)
    for service in found.targets_by_service:
        world.after(1.0, lambda s=service: world.load(s, row.share, end))
    world.run(scenarios.WARM)
    world.figures.measuring_from = scenarios.WARM
    starts_before = world.figures.starts
    asked_before = world.figures.asked
    sick: list[str] = []
    world.after(
        scenarios.FAULT - world.now, lambda: sick.extend(row.begin(world))
    )
    # The last requests end.
    world.run(end + DRAIN)
    broken = sum(invariants.broken_by_promise.values()) - broken_before
    return _row(
        world, fault, seed, sick, starts_before, asked_before, broken, end
    )


def changed(text: str, changes: tuple[str, ...]) -> str:
    r"""A policy with some keys of all its services changed.

    >>> changed("[service s]\nfloor = 1\n", ("floor = 2",))
    '[service s]\nfloor = 2\n'
    """
    keys = {change.partition("=")[0].strip() for change in changes}
    lines = []
    for line in text.splitlines():
        if line.partition("=")[0].strip() not in keys:
            lines.append(line)
        if line.startswith("[service "):
            lines.extend(changes)
    return "\n".join(lines) + "\n"


def _row(
    world: worlds.World,
    fault: str,
    seed: int,
    sick: list[str],
    starts_before: int,
    asked_before: int,
    broken: int,
    end: float,
) -> figures.Row:
    seen = world.figures
    met = [
        at
        for name in sick
        for at in seen.met_by_target[name]
        if scenarios.FAULT <= at < scenarios.HEAL
    ]
    detection = max(met) - scenarios.FAULT if met else 0.0
    healthy = len(world.target_by_name) - len(set(sick))
    false = [
        name
        for at, name in seen.ejections + seen.outs
        if at >= scenarios.WARM and name not in sick
    ]
    backs = [seen.back_by_target.get(name, -1.0) for name in sick]
    recovery = max(backs) - scenarios.HEAL if backs else -1.0
    asked = seen.asked - asked_before
    wrong = seen.repeated + seen.lied + seen.reverted + seen.floor_broken
    per_process = world.now * len(world.process_by_name)
    return figures.Row(
        fault,
        seed,
        round(detection, 3) if sick else -1.0,
        len(met),
        len(false),
        healthy * (end - scenarios.WARM) / 3600,
        asked,
        seen.in_time,
        seen.failed,
        seen.not_run,
        seen.unknown,
        round((seen.starts - starts_before) / max(1, asked), 4),
        round(recovery, 2) if recovery > 0 else -1.0,
        round(seen.sampled_bytes / per_process, 1),
        round(seen.messages / per_process, 2),
        wrong + broken,
    )


def run_all(
    deployment: str,
    strategies: list[str],
    names: list[str],
    seeds: int,
    changes: tuple[str, ...] = (),
) -> list[Result]:
    """Runs all rows on several processes; progress goes to stderr."""
    jobs = [
        (deployment, strategy, fault, seed, changes)
        for strategy in strategies
        for fault in names
        for seed in range(1, seeds + 1)
    ]
    rows: dict[tuple, figures.Row] = {}
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        waiting = {pool.submit(run_one, *job): job for job in jobs}
        for done in concurrent.futures.as_completed(waiting):
            rows[waiting[done]] = done.result()
            click.echo(f"\r{len(rows)} of {len(jobs)} runs", err=True, nl=False)
    click.echo("", err=True)
    return [
        Result(
            strategy,
            deployment,
            tuple(rows[job] for job in jobs if job[1] == strategy),
        )
        for strategy in strategies
    ]


def percentile(values: list[float], share: float) -> float:
    """A percentile by the nearest rank."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def table(results: list[Result]) -> str:
    """All rows as a Markdown table."""
    lines = [
        "| fault | strategy | detection p50 | p99 | met | false ejections "
        "/100 target-h | in time % | failed % | not run % | unknown % "
        "| amplification | back p50 s | control B/s | broken |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    names = list(dict.fromkeys(r.fault for r in results[0].rows))
    for fault in names:
        for result in results:
            rows = [row for row in result.rows if row.fault == fault]
            lines.append(_line(fault, result.strategy, rows))
    return "\n".join(lines)


def _line(fault: str, strategy: str, rows: list[figures.Row]) -> str:
    found = [row.detection for row in rows if row.detection >= 0]
    asked = sum(row.asked for row in rows)
    hours = sum(row.target_hours for row in rows)
    false = sum(row.false_ejections for row in rows)
    back = [row.recovery for row in rows if row.recovery >= 0]

    def share(values) -> str:
        return f"{100 * sum(values) / asked:.2f}"

    def shown(value: float) -> str:
        return "-" if value != value else f"{value:.2f}"

    return (
        f"| {fault} | {strategy} | {shown(percentile(found, 0.5))} "
        f"| {shown(percentile(found, 0.99))} "
        f"| {statistics.mean(row.met for row in rows):.0f} "
        f"| {100 * false / hours:.1f} "
        f"| {share(row.in_time for row in rows)} "
        f"| {share(row.failed for row in rows)} "
        f"| {share(row.not_run for row in rows)} "
        f"| {share(row.unknown for row in rows)} "
        f"| {statistics.mean(row.amplification for row in rows):.3f} "
        f"| {shown(percentile(back, 0.5))} "
        f"| {statistics.mean(row.control_bytes for row in rows):.0f} "
        f"| {sum(row.broken for row in rows)} |"
    )


def plot(results: list[Result], folder: pathlib.Path) -> None:
    """Detection time and false ejections, as PNG and SVG."""
    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "forklift"
    figure, axes = matplotlib.pyplot.subplots(1, 2, figsize=(14, 8))
    names = list(dict.fromkeys(r.fault for r in results[0].rows))
    height = 0.8 / len(results)
    for index, result in enumerate(results):
        places = [i + index * height for i in range(len(names))]
        detection, false = [], []
        for fault in names:
            rows = [row for row in result.rows if row.fault == fault]
            found = [row.detection for row in rows if row.detection >= 0]
            detection.append(percentile(found, 0.5) if found else 0.0)
            hours = sum(row.target_hours for row in rows)
            ejected = sum(row.false_ejections for row in rows)
            false.append(100 * ejected / hours)
        axes[0].barh(places, detection, height, label=result.strategy)
        axes[1].barh(places, false, height, label=result.strategy)
    for axis, title in zip(
        axes,
        ("detection time p50, s", "false ejections per 100 target-hours"),
        strict=True,
    ):
        axis.set_yticks(range(len(names)), names)
        axis.invert_yaxis()
        axis.set_xlabel(title)
    axes[1].legend()
    figure.tight_layout()
    folder.mkdir(parents=True, exist_ok=True)
    for kind in ("png", "svg"):
        path = folder / f"decisions-{results[0].deployment}.{kind}"
        figure.savefig(path, metadata={"Date": None} if kind == "svg" else {})
    matplotlib.pyplot.close(figure)


@click.command("decisions")
@click.option(
    "--deployment",
    type=click.Choice(["teranga", "kyushu"]),
    default="teranga",
    show_default=True,
)
@click.option("--fault", multiple=True, help="Only this row; repeat it.")
@click.option("--seeds", default=20, show_default=True)
@click.option("--strategy", multiple=True, help="Only this one; repeat it.")
@click.option(
    "--set", "changes", multiple=True, help='As "queue = lifo"; repeat it.'
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--out", type=click.Path(path_type=pathlib.Path))
def command(
    deployment: str,
    fault: tuple[str, ...],
    seeds: int,
    strategy: tuple[str, ...],
    changes: tuple[str, ...],
    as_json: bool,
    out: pathlib.Path | None,
) -> None:
    """Measure detection, ejections and answers under the table of faults."""
    names = list(fault) or list(scenarios.scenario_by_name)
    for name in names:
        if name not in scenarios.scenario_by_name:
            known = ", ".join(scenarios.scenario_by_name)
            raise click.BadParameter(f"no fault {name}; known are {known}")
    strategies = list(strategy) or list(baselines.process_by_strategy)
    results = run_all(deployment, strategies, names, seeds, changes)
    if as_json:
        sys.stdout.buffer.write(msgspec.json.encode(results) + b"\n")
    else:
        click.echo(table(results))
    if out is not None:
        plot(results, out)
