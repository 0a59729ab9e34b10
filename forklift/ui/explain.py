"""`forklift explain`: why a target stands where it stands."""

import datetime

import click

from forklift import report
from forklift.ui import asking


@click.command("explain")
@click.argument("target")
@asking.admin_option
@asking.json_option
def command(target: str, admin: str, as_json: bool) -> None:
    """Show the recent decisions about TARGET, with the evidence then."""
    beside = asking.find_target(admin, target)
    path = f"/explain/{target}"
    told = asking.ask(beside, "GET", path, report.Explanation)
    if as_json:
        asking.show_json(told)
    else:
        _show(told)


def _show(told: report.Explanation) -> None:
    click.echo(
        f"{told.target} of {told.service}, beside {told.process}: {told.state}"
    )
    click.echo(
        f"  now: {_evidence(told.evidence)}; ejected from {told.threshold:g}"
    )
    click.echo(
        f"  normal for {told.service}: {told.normal_latency * 1000:.0f} ms, "
        f"{told.normal_failures:.1%} failures"
    )
    click.echo(f"  {told.in_flight} in flight, {told.queued} waiting")
    if told.denial:
        click.echo(f"  last permit refused: {told.denial}")
    for change in told.changes:
        at = datetime.datetime.fromtimestamp(change.at)
        evidence = f" ({_evidence(change.evidence)})" if change.evidence else ""
        click.echo(
            f"  {at:%H:%M:%S.%f} {change.before} -> {change.after}: "
            f"{change.cause}{evidence}"
        )


def _evidence(found: report.Evidence) -> str:
    route = f", only on route {found.route}" if found.route else ""
    return (
        f"evidence {found.total:.1f} = failures {found.failures:.1f} + "
        f"slowness {found.slowness:.1f} + overdue {found.overdue:.1f}{route}"
    )
