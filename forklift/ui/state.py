"""`forklift state`: prints the complete state of one process."""

import click

from forklift import report
from forklift.ui import admin_client


@click.command("state")
@admin_client.admin_option
def command(admin: str) -> None:
    """Print the complete state of one process as JSON."""
    admin_client.print_json(
        admin_client.send_request(admin, "GET", "/state", report.StateDump)
    )
