"""`forklift drain`: drains a target or shuts down a process gracefully."""

import click

from forklift import report
from forklift.ui import admin_client


@click.command("drain")
@click.argument("target", required=False)
@click.option(
    "--all",
    "whole_process",
    is_flag=True,
    help="Drain all targets of the process at --admin and shut it down.",
)
@admin_client.admin_option
def command(target: str | None, whole_process: bool, admin: str) -> None:
    """Drain TARGET: it accepts no new requests and completes running ones."""
    if whole_process == bool(target):
        raise click.UsageError("pass either a TARGET or --all")
    if whole_process:
        status = admin_client.send_request(
            admin, "POST", "/drain", report.Status
        )
        click.echo(f"process {status.process} is shutting down")
        return
    owner_admin = admin_client.find_target_admin(admin, target)
    path = f"/targets/{target}/drain"
    drained = admin_client.send_request(
        owner_admin, "POST", path, report.TargetExplanation
    )
    click.echo(
        f"target {target} is {drained.state}, "
        f"{drained.running} requests running"
    )
