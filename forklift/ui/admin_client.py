"""What commands share: asking a process, options, output."""

import asyncio
import os
from typing import TypeVar

import click
import msgspec

from forklift import errors
from forklift import report

ResponseT = TypeVar("ResponseT")
DEFAULT_ADMIN_ADDRESS = "127.0.0.1:7004"

admin_option = click.option(
    "--admin",
    default=DEFAULT_ADMIN_ADDRESS,
    envvar="FORKLIFT_ADMIN",
    show_default=True,
    help="Admin address of any process of the fleet.",
)
json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON for programs."
)
MIN_ERROR_STATUS = 400
REQUEST_TIMEOUT = 15.0


def send_request(
    admin: str, method: str, path: str, kind: type[ResponseT], body: bytes = b""
) -> ResponseT:
    """Asks a process and decodes its answer.

    The shared key is taken from the environment variable FORKLIFT_KEY.

    Raises:
        errors.UserError: It can't be reached, or it refuses.
    """
    return asyncio.run(_send_request(admin, method, path, kind, body))


async def _send_request(
    admin: str, method: str, path: str, kind: type[ResponseT], body: bytes
) -> ResponseT:
    # Commands that ask nobody, `run` above all, need not load it.
    from forklift.shell import client  # noqa: PLC0415

    key = os.environ.get("FORKLIFT_KEY", "")
    headers = (("authorization", f"Bearer {key}"),) if key else ()
    asker = client.Client(admin)
    try:
        response = await asker.request(
            method, path, body, headers, timeout=REQUEST_TIMEOUT
        )
    except (client.RequestFailed, ValueError) as error:
        raise errors.UserError(
            f"{admin} does not answer ({error}); give the admin address of a "
            "running process with --admin"
        ) from error
    finally:
        asker.close()
    if response.status >= MIN_ERROR_STATUS:
        raise errors.UserError(_problem(response.body))
    return msgspec.json.decode(response.body, type=kind)


def _problem(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=report.Problem).error
    except msgspec.MsgspecError:
        return "the process refused; look at its log"


def print_json(value: object) -> None:
    """Prints a report as indented JSON."""
    data = msgspec.json.encode(value)
    click.echo(msgspec.json.format(data, indent=2).decode())


def find_target_admin(admin: str, name: str) -> str:
    """Admin address of the process beside a target.

    Raises:
        errors.UserError: It is not known.
    """
    status = send_request(admin, "GET", "/status", report.Status)
    admin_by_process = {p.name: p.admin for p in status.processes}
    for target in status.targets:
        if target.name == name:
            return admin_by_process.get(target.process, admin)
    known = ", ".join(sorted(target.name for target in status.targets)[:20])
    raise errors.UserError(f"no target {name}; known are {known or 'none'}")
