"""`forklift explain`: explains a request's outcome or a target's state."""

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
    """Explain the outcome of a request or the state of a target.

    With LOGS, the log files of any number of processes (- is standard input),
    the request or target is traced through them. Without, the process that
    owns TARGET reports its state and its recent ejections.
    """
    if logs:
        trace = _trace(name, logs)
        if as_json:
            admin_client.print_json(trace)
        else:
            click.echo("\n".join(trace))
        return
    owner_admin = admin_client.find_target_admin(admin, name)
    path = f"/explain/{name}"
    explanation = admin_client.send_request(
        owner_admin, "GET", path, report.TargetExplanation
    )
    if as_json:
        admin_client.print_json(explanation)
    else:
        _print_explanation(explanation)


def _trace(name: str, logs: tuple) -> list[str]:
    lines = log_trace.parse(line for log in logs for line in log)
    output = log_trace.trace_request(lines, name) or log_trace.trace_target(
        lines, name
    )
    if not output:
        raise errors.UserError(
            f"no log line mentions {name}; pass the logs of all processes "
            "from that time"
        )
    return output


def _print_explanation(explanation: report.TargetExplanation) -> None:
    click.echo(
        f"{explanation.target} of {explanation.service}, "
        f"owned by {explanation.process}: {explanation.state}"
    )
    click.echo(
        f"  {explanation.running} of {explanation.slots} slots in use, "
        f"{explanation.waiting} waiting; "
        f"unhealthy with probability {explanation.risk:g}"
    )
    click.echo(f"  last request started {explanation.idle:g} s ago")
    if explanation.reserved:
        click.echo(f"  {explanation.reserved} slots are reserved for calls")
    if explanation.rate_limit is not None:
        click.echo(
            f"  the target has named a limit of {explanation.rate_limit:g} "
            "requests per second"
        )
    for route, seconds in explanation.latency_by_route.items():
        click.echo(f"  {route} has a median latency of {seconds * 1000:.0f} ms")
    for held in explanation.held_routes:
        click.echo(
            f"  starts {held.share:.0%} of the runs of {held.route}; "
            f"held back {held.held} so far, as calls found no room"
        )
    for called in explanation.called_routes:
        click.echo(
            f"  a run of {called.route} calls {called.called_route} of "
            f"{called.service} {called.calls_per_run:g} times, "
            f"{called.seconds * 1000:.0f} ms each; "
            f"{called.rejected:.0%} found no room"
        )
    for reason, count in explanation.refusals.items():
        click.echo(f"  rejected {count} requests: {reason}")
    if explanation.room is not None:
        _print_room(explanation.room)
    for change in explanation.changes:
        at = datetime.datetime.fromtimestamp(change.at)
        action = "ejected" if change.doubted else "reinstated"
        click.echo(
            f"  {at:%H:%M:%S.%f} {action}: {change.sign}, "
            f"unhealthy with probability {change.risk:g}"
        )


def _print_room(room: report.RoomShares) -> None:
    """Prints who gets the room of a target, who waits and who was refused."""
    order = "fair queueing" if room.fair else "priority and soft deadline"
    click.echo(f"  the queue is ordered by {order}")
    priorities = set(room.starts_by_priority) | set(room.refusals_by_priority)
    for priority in sorted(priorities, key=int):
        click.echo(
            f"  priority {priority}: "
            f"{room.starts_by_priority.get(priority, 0)} started, "
            f"{room.refusals_by_priority.get(priority, 0)} refused, "
            f"{room.waiting_by_priority.get(priority, 0)} waiting"
        )
    names = dict.fromkeys(
        [
            *room.work_by_organisation,
            *room.waiting_by_organisation,
            *room.displaced_by_organisation,
        ]
    )
    for name in sorted(names, key=lambda name: not name):
        click.echo(
            f"  {name or 'all others'}: "
            f"{room.work_by_organisation.get(name, 0.0):.2f} s of work a "
            f"second, {room.waiting_by_organisation.get(name, 0)} waiting, "
            f"{room.displaced_by_organisation.get(name, 0.0):.0f} displaced "
            "lately"
        )
    if room.displaced:
        click.echo(
            f"  {room.displaced} queued requests gave way to others in all"
        )
