"""`forklift status`: prints the fleet as seen by one process."""

import time

import click

from forklift import report
from forklift.ui import admin_client

# Seconds between two refreshes with --watch.
WATCH_INTERVAL = 1.0


@click.command("status")
@admin_client.admin_option
@admin_client.json_option
@click.option("--watch", is_flag=True, help="Refresh every second.")
def command(admin: str, as_json: bool, watch: bool) -> None:
    """Show targets and processes as seen by one process."""
    while True:
        status = admin_client.send_request(
            admin, "GET", "/status", report.Status
        )
        if as_json:
            admin_client.print_json(status)
        else:
            if watch:
                click.clear()
            print_status(status)
        if not watch:
            return
        time.sleep(WATCH_INTERVAL)


def print_status(status: report.Status) -> None:
    """Prints a status as tables."""
    ready = "ready" if status.ready else "not ready"
    config = f"configuration {status.config}"
    if not status.config:
        config = "no configuration loaded"
    click.echo(
        f"as seen by {status.process} (forklift {status.version}, {ready}); "
        f"{config}; policy {status.policy}"
    )
    for invariant, count in status.broken.items():
        click.echo(f"violated invariant {invariant}: {count} times")
    _print_table(
        ("target", "service", "process", "state", "load", "path"),
        [_target_row(target) for target in status.targets],
    )
    _print_table(
        ("process", "domain", "liveness", "configuration", "admin"),
        [
            (p.name, p.domain, p.liveness, str(p.config), p.admin)
            for p in status.processes
        ],
    )


def _target_row(target: report.Target) -> tuple[str, ...]:
    return (
        target.name,
        target.service,
        target.process,
        target.state,
        f"{target.load:g} of {target.slots}",
        target.path or "ok",
    )


def _print_table(headers: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    widths = [max(map(len, column)) for column in zip(headers, *rows)]  # noqa: B905
    click.echo("")
    for row in (headers, *rows):
        cells = zip(row, widths, strict=True)
        line = "  ".join(cell.ljust(width) for cell, width in cells)
        click.echo(line.rstrip())
