"""`forklift publish`: puts a policy in force."""

import getpass
import sys

import click
import msgspec

from forklift import errors
from forklift import policy
from forklift import report
from forklift import settings
from forklift.ui import asking

CONFLICT = 3


@click.command("publish")
@click.argument("file", metavar="POLICY.ini")
@click.option(
    "--builds-on",
    type=int,
    default=-1,
    help="Version that this one replaces; the one in force by default.",
)
@click.option("--author", default="", help="Your name; the login by default.")
@click.option("--dry-run", is_flag=True, help="Only tell what would change.")
@asking.admin_option
def command(
    file: str, builds_on: int, author: str, dry_run: bool, admin: str
) -> None:
    """Publish POLICY.ini and print the version accepted.

    Where another publication won the version, its author is told and the
    exit code is 3.
    """
    content = settings.read_file(file)
    policy.parse(file, content)
    request = report.PublishRequest(
        content, author or _login(), builds_on, dry_run
    )
    body = msgspec.json.encode(request)
    published = asking.ask(admin, "POST", "/publish", report.Published, body)
    for line in published.changes:
        click.echo(line)
    for line in published.warnings:
        click.echo(f"warning: {line}", err=True)
    if dry_run:
        _show_dry_run(published)
        return
    if not published.accepted:
        conflict = errors.PublishConflict(published.winner, published.version)
        click.echo(f"forklift: {conflict}", err=True)
        sys.exit(CONFLICT)
    click.echo(
        f"policy {published.policy} version {published.version} is in force"
    )


def _show_dry_run(published: report.Published) -> None:
    if not published.changes:
        click.echo("nothing would change")
    click.echo(
        f"policy {published.policy} stays at version {published.version}"
    )


def _login() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
