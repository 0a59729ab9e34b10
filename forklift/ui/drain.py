"""`forklift drain`: takes a target, or a whole process, out as planned."""

import click

from forklift import report
from forklift.ui import admin_client


@click.command("drain")
@click.argument("target", required=False)
@click.option(
    "--all",
    "everything",
    is_flag=True,
    help="Stop the process at --admin as planned, with all its targets.",
)
@admin_client.admin_option
def command(target: str | None, everything: bool, admin: str) -> None:
    """Drain TARGET: it takes no new request, those in flight end."""
    if everything == bool(target):
        raise click.UsageError("give a TARGET, or --all; not both")
    if everything:
        status = admin_client.send_request(
            admin, "POST", "/drain", report.Status
        )
        click.echo(f"process {status.process} stops as planned")
        return
    beside = admin_client.find_target_admin(admin, target)
    path = f"/targets/{target}/drain"
    drained = admin_client.send_request(
        beside, "POST", path, report.TargetExplanation
    )
    click.echo(f"target {target} is {drained.state}, {drained.running} running")
