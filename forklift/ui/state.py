"""`forklift state`: the full dump of one process."""

import click

from forklift import report
from forklift.ui import asking


@click.command("state")
@asking.admin_option
def command(admin: str) -> None:
    """Print the full state of one process as JSON."""
    asking.show_json(asking.ask(admin, "GET", "/state", report.StateDump))
