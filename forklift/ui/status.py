"""`forklift status`: the fleet as one process sees it."""

import datetime
import time

import click
from rich import console
from rich import table

from forklift import errors
from forklift import report
from forklift.ui import asking

WATCH_PERIOD = 1.0
LOG_AWAY = 5.0
MOST_REASONS = 20
_WELL = ("in-service", "cold", "ramp")
_STYLE_BY_STATE = {
    "in-service": "green",
    "cold": "cyan",
    "ramp": "cyan",
    "suspect": "yellow",
    "trial": "yellow",
    "ejected": "red",
    "draining": "magenta",
}


@click.command("status")
@asking.admin_option
@asking.json_option
@click.option("--watch", is_flag=True, help="Show it again every second.")
def command(admin: str, as_json: bool, watch: bool) -> None:
    """Show services, targets and processes as one process sees them."""
    out = console.Console()
    while True:
        status = asking.whole_status(admin)
        if as_json:
            asking.show_json(status)
        else:
            if watch:
                out.clear()
            show(status, _reasons(status, admin), out)
        if not watch:
            return
        time.sleep(WATCH_PERIOD)


def show(
    status: report.Status,
    reasons: list[report.Explanation],
    out: console.Console,
) -> None:
    """Prints a status for people.

    Args:
        status: The status.
        reasons: Explanations of targets that don't take their full share.
        out: Where to print.
    """
    _show_head(status, out)
    out.print(_services(status))
    for told in reasons:
        _show_reason(told, out)
    out.print(_targets(status))
    out.print(_processes(status))


def _reasons(status: report.Status, admin: str) -> list[report.Explanation]:
    """Why targets are not at full share; at most `MOST_REASONS`."""
    admin_by_process = {p.name: p.admin for p in status.processes}
    reasons = []
    for target in status.targets:
        if target.state in _WELL or len(reasons) >= MOST_REASONS:
            continue
        beside = admin_by_process.get(target.process, admin)
        path = f"/explain/{target.name}"
        try:
            told = asking.ask(beside, "GET", path, report.Explanation)
        except errors.UserError:
            continue
        reasons.append(told)
    return reasons


def _show_reason(told: report.Explanation, out: console.Console) -> None:
    if not told.changes:
        return
    change = told.changes[-1]
    since = datetime.datetime.fromtimestamp(change.at)
    evidence = ""
    if change.evidence is not None:
        evidence = f" (evidence {change.evidence.total:.1f})"
    style = _STYLE_BY_STATE.get(told.state, "white")
    out.print(
        f"[{style}]{told.target} {told.state}[/] since {since:%H:%M:%S}: "
        f"{change.cause}{evidence}"
    )


def _show_head(status: report.Status, out: console.Console) -> None:
    ready = "ready" if status.ready else "not ready"
    log = "log up"
    if status.log_away > LOG_AWAY:
        log = f"[red]log away for {status.log_away:.0f} s[/]"
    policies = ", ".join(
        f"{p.name} {p.version} by {p.author}"
        + ("" if p.certain else " (newer may exist)")
        for p in status.policies
    )
    out.print(
        f"seen from {status.process} (forklift {status.version}, {ready}); "
        f"{log}; policies: {policies or 'none'}"
    )
    for clash in status.clashes:
        out.print(f"[yellow]declared twice: {clash}[/]")
    for promise, count in status.broken.items():
        out.print(f"[red]broken promise {promise}: {count} times[/]")


def _services(status: report.Status) -> table.Table:
    shown = _table(
        "service", "policy", "floor", "in service", "known", "retried here", ""
    )
    for service in status.services:
        spare = service.in_service - service.floor
        note = f"{spare} above floor"
        style = "green"
        if spare <= 0:
            note, style = "at its floor: nothing more is ejected", "red"
        elif spare == 1:
            note, style = "1 above floor", "yellow"
        if not service.floor_owner:
            note += "; no floor owner"
        shown.add_row(
            service.name,
            service.policy,
            str(service.floor),
            str(service.in_service),
            str(service.known),
            f"{service.retried}, {service.retries_refused} refused",
            f"[{style}]{note}[/]",
        )
    return shown


def _targets(status: report.Status) -> table.Table:
    shown = _table(
        "target", "service", "domain", "process", "state", "weight",
        "latency", "failures", "path",
    )  # fmt: skip
    for target in sorted(status.targets, key=lambda t: (t.service, t.name)):
        style = _STYLE_BY_STATE.get(target.state, "white")
        shown.add_row(
            target.name,
            target.service,
            target.domain,
            target.process,
            f"[{style}]{target.state}[/]",
            f"{target.weight:.2f}",
            f"{target.latency * 1000:.0f} ms",
            f"{target.failures:.1%}",
            target.path or "ok",
        )
    return shown


def _processes(status: report.Status) -> table.Table:
    shown = _table("process", "domain", "seen as", "config", "can't hear")
    for process in status.processes:
        shown.add_row(
            process.name,
            process.domain,
            process.liveness,
            str(process.config),
            ", ".join(process.unheard) or "-",
        )
    return shown


def _table(*columns: str) -> table.Table:
    shown = table.Table(box=None, pad_edge=False)
    for column in columns:
        shown.add_column(column, overflow="fold")
    return shown
