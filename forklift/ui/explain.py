"""`forklift explain`: why a request failed, or a target stands as it does."""

import datetime

import click

from forklift import errors
from forklift import log_trace
from forklift import report
from forklift.ui import admin_client


@click.command("explain")
@click.argument("name", metavar="REQUEST-ID|TARGET")
@click.argument("logs", type=click.File("r"), nargs=-1)
@admin_client.admin_option
@admin_client.json_option
def command(name: str, logs: tuple, admin: str, as_json: bool) -> None:
    """Tell the story of a request or a target.

    With LOGS, files of log lines of any number of processes (- is standard
    input), the story is told from them. Without, the process beside TARGET is
    asked for its recent doubts.
    """
    if logs:
        _from_logs(name, logs)
        return
    beside = admin_client.find_target_admin(admin, name)
    path = f"/explain/{name}"
    told = admin_client.send_request(
        beside, "GET", path, report.TargetExplanation
    )
    if as_json:
        admin_client.print_json(told)
    else:
        _show(told)


def _from_logs(name: str, logs: tuple) -> None:
    lines = log_trace.parse(line for log in logs for line in log)
    told = log_trace.trace_request(lines, name) or log_trace.trace_target(
        lines, name
    )
    if not told:
        raise errors.UserError(
            f"no line names {name}; give the logs of all processes "
            "from that time"
        )
    for line in told:
        click.echo(line)


def _show(told: report.TargetExplanation) -> None:
    click.echo(
        f"{told.target} of {told.service}, beside {told.process}: {told.state}"
    )
    click.echo(
        f"  {told.running} of {told.slots} slots in use, {told.waiting} "
        f"waiting; in a bad phase with probability {told.risk:g}"
    )
    click.echo(f"  a request last began {told.idle:g} s ago")
    for route, seconds in told.latency_by_route.items():
        click.echo(f"  {route} usually takes {seconds * 1000:.0f} ms")
    for reason, count in told.refusals.items():
        click.echo(f"  refused {count} as {reason}")
    for change in told.changes:
        at = datetime.datetime.fromtimestamp(change.at)
        word = "doubted" if change.doubted else "trusted again"
        click.echo(
            f"  {at:%H:%M:%S.%f} {word}: {change.sign}, risk {change.risk:g}"
        )
