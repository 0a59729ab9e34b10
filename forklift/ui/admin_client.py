"""Client of the admin interface, and options that commands share."""

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
    "--json", "as_json", is_flag=True, help="Print JSON."
)
# HTTP statuses from this one on are errors.
MIN_ERROR_STATUS = 400
# Seconds until the response must be complete.
REQUEST_TIMEOUT = 15.0


def send_request(
    admin: str,
    method: str,
    path: str,
    response_type: type[ResponseT],
    body: bytes = b"",
) -> ResponseT:
    """Sends a request to the admin interface and decodes the response.

    The key is read from the environment variable FORKLIFT_KEY.

    Args:
        admin: Address of the admin interface, ip:port.
        method: HTTP method.
        path: Path of the request.
        response_type: Type that the JSON body of the response is decoded to.
        body: Body of the request.

    Raises:
        errors.UserError: The process does not respond or rejects the request.
    """
    return asyncio.run(_send_request(admin, method, path, response_type, body))


async def _send_request(
    admin: str,
    method: str,
    path: str,
    response_type: type[ResponseT],
    body: bytes,
) -> ResponseT:
    # Imported here because `run` must not load the HTTP client at its start.
    from forklift.shell import client  # noqa: PLC0415

    key = os.environ.get("FORKLIFT_KEY", "")
    headers = (("authorization", f"Bearer {key}"),) if key else ()
    http_client = client.Client(admin)
    try:
        response = await http_client.request(
            method, path, body, headers, timeout=REQUEST_TIMEOUT
        )
    except (client.RequestFailed, ValueError) as error:
        raise errors.UserError(
            f"{admin} does not respond ({error}); pass the admin address of a "
            "running process with --admin"
        ) from error
    finally:
        http_client.close()
    if response.status >= MIN_ERROR_STATUS:
        raise errors.UserError(_error_message(response.body))
    return msgspec.json.decode(response.body, type=response_type)


def _error_message(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=report.Problem).error
    except msgspec.MsgspecError:
        return "the process rejected the request; see its log"


def print_json(value: object) -> None:
    """Prints a report as indented JSON."""
    data = msgspec.json.encode(value)
    click.echo(msgspec.json.format(data, indent=2).decode())


def find_target_admin(admin: str, name: str) -> str:
    """Returns the admin address of the process that owns a target.

    Args:
        admin: Admin address of any process of the fleet, ip:port.
        name: Name of the target.

    Raises:
        errors.UserError: The target is unknown.
    """
    status = send_request(admin, "GET", "/status", report.Status)
    admin_by_process = {p.name: p.admin for p in status.processes}
    for target in status.targets:
        if target.name == name:
            return admin_by_process.get(target.process, admin)
    known = ", ".join(sorted(target.name for target in status.targets)[:20])
    raise errors.UserError(
        f"no target {name}; known targets: {known or 'none'}"
    )
