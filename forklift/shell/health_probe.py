"""Asks the health endpoint of a target; a hint only, as it may lie."""

import asyncio
import dataclasses
import re

import h11
import structlog

from forklift import header_fields
from forklift import invalid_input
from forklift.shell import http
from forklift.shell import tcp_stream

_log = structlog.get_logger(__name__)

# Seconds for the whole question: a target beside answers within milliseconds,
# and its next heartbeat comes soon anyway.
PROBE_TIMEOUT = 1.0
_NAME = re.compile(rb"[!-~]{1,200}")
# Requests that run and that wait, and slots.
_LOAD = re.compile(rb"\s*\d+\s*,\s*\d+\s*,\s*(\d{1,6})\s*")


@dataclasses.dataclass(frozen=True)
class ProbeResult:
    """What a target's health endpoint said.

    Attributes:
        well: Whether it calls itself healthy and is not leaving.
        target: Name that it gave itself, empty where it gave none.
        slots: Requests that it runs at once; 0 where it told none.
    """

    healthy: bool
    target: str
    slots: int = 0


async def check(
    address: str, path: str, header_names: header_fields.HeaderNames
) -> ProbeResult | None:
    """Asks a health endpoint; a hint only, as it may lie.

    Returns:
        What it said; None where there was no answer.
    """
    connection = None
    try:
        async with asyncio.timeout(PROBE_TIMEOUT):
            connection = await tcp_stream.connect(address)
            return await _ask(connection, address, path, header_names)
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        _log.info("probe_failed", address=address, detail=repr(error))
        return None
    finally:
        if connection is not None:
            connection.abort()


async def _ask(
    connection: tcp_stream.Connection,
    address: str,
    path: str,
    header_names: header_fields.HeaderNames,
) -> ProbeResult | None:
    protocol = h11.Connection(h11.CLIENT)
    headers = [("host", address), ("connection", "close")]
    request = h11.Request(method="GET", target=path, headers=headers)
    data = protocol.send(request) + protocol.send(h11.EndOfMessage())
    connection.write(data)
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await connection.read())
        elif isinstance(event, h11.Response):
            return _health(event, header_names)
        elif isinstance(event, h11.ConnectionClosed):
            return None


def _health(
    response: h11.Response, header_names: header_fields.HeaderNames
) -> ProbeResult:
    headers = http.fields(response)
    name = http.value(headers, header_names.target) or b""
    if not _NAME.fullmatch(name):
        invalid_input.record(
            invalid_input.Source.HEALTH, "it gives itself no name"
        )
        name = b""
    load = _LOAD.fullmatch(http.value(headers, header_names.load) or b"")
    slots = int(load[1]) if load else 0
    return ProbeResult(response.status_code < 400, name.decode("ascii"), slots)
