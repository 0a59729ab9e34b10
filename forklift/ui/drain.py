"""`forklift drain`: takes a target, or a whole process, out as planned."""

import click

from forklift import report
from forklift.ui import asking


@click.command("drain")
@click.argument("target", required=False)
@click.option(
    "--all",
    "everything",
    is_flag=True,
    help="Stop the process at --admin as planned, with all its targets.",
)
@asking.admin_option
def command(target: str | None, everything: bool, admin: str) -> None:
    """Drain TARGET: it takes no new request, those in flight end."""
    if everything == bool(target):
        raise click.UsageError("give a TARGET, or --all; not both")
    if everything:
        status = asking.ask(admin, "POST", "/drain", report.Status)
        click.echo(f"process {status.process} stops as planned")
        return
    beside = asking.find_target(admin, target)
    path = f"/targets/{target}/drain"
    drained = asking.ask(beside, "POST", path, report.TargetExplanation)
    click.echo(f"target {target} is {drained.state}, {drained.running} running")
