"""Probes the health endpoint of a target."""

import asyncio
import dataclasses
import re

import h11
import structlog

from forklift import header_fields
from forklift import invalid_input
from forklift import target_notices
from forklift.shell import http
from forklift.shell import response_events
from forklift.shell import tcp_stream

_log = structlog.get_logger(__name__)

# Timeout for connecting and receiving the head of the response. A local target
# responds within milliseconds, and its next heartbeat follows soon.
PROBE_TIMEOUT_SECONDS = 1.0
_TARGET_NAME = re.compile(rb"[!-~]{1,200}")
# Value of the load header: running requests, queued requests, slots.
_LOAD_FIELD = re.compile(rb"\s*\d+\s*,\s*\d+\s*,\s*(\d{1,6})\s*")


@dataclasses.dataclass(frozen=True)
class ProbeResult:
    """Content of a response of a health endpoint.

    Attributes:
        healthy: Whether the target reports that it is healthy and not leaving.
        target: Name that the target reports; empty if there is no valid one.
        slots: Number of requests that the target can run concurrently; 0 if
            not reported.
        notice: What the target announces about itself.
    """

    healthy: bool
    target: str
    slots: int = 0
    notice: target_notices.TargetNotice = target_notices.TargetNotice()


async def check(
    address: str, path: str, header_names: header_fields.HeaderNames
) -> ProbeResult | None:
    """Probes a health endpoint.

    The result is only a hint, as the target may report wrong values.

    Returns:
        The result; None if there was no response in time.
    """
    connection = None
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            connection = await tcp_stream.connect(address)
            return await _request_health(
                connection, address, path, header_names
            )
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        _log.info("probe_failed", address=address, detail=repr(error))
        return None
    finally:
        if connection is not None:
            connection.abort()


async def _request_health(
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
    event = await response_events.ResponseEvents(connection).next(protocol)
    if isinstance(event, h11.Response):
        return _parse_response(event, header_names)
    return None


def _parse_response(
    response: h11.Response, header_names: header_fields.HeaderNames
) -> ProbeResult:
    headers = http.fields(response)
    name = http.value(headers, header_names.target) or b""
    if not _TARGET_NAME.fullmatch(name):
        invalid_input.record(
            invalid_input.Source.HEALTH, "no valid target name in the response"
        )
        name = b""
    load = _LOAD_FIELD.fullmatch(http.value(headers, header_names.load) or b"")
    slots = int(load[1]) if load else 0
    target = name.decode("ascii")
    notice = target_notices.parse(
        http.value(headers, header_names.rate_limit),
        http.value(headers, header_names.leaving),
        invalid_input.Source.HEALTH,
        target,
    )
    return ProbeResult(response.status_code < 400, target, slots, notice)
