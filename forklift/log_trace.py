"""Traces a request or a target through the logs of several processes.

Lines are sorted by wall time, so the order of lines of different instances
depends on how well their clocks are synchronized.
"""

import dataclasses
import json
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One log line.

    Attributes:
        at: Timestamp, ISO 8601.
        event: Name of the event.
        fields: All other fields of the line, as text by name.
    """

    at: str
    event: str
    fields: dict[str, str]


_HIDDEN_FIELDS = ("event", "timestamp", "level", "request", "left_out")

_CAUSE_BY_REASON = {
    "target-broke": "the target broke the connection during the request",
    "target-crashed": "the target crashed while it ran the request",
    "timeout": "the target did not respond before the timeout",
    "deadline": "no target was available before the deadline",
    "peer-lost": "the connection to the target's process was lost",
    "busy": "all reachable targets were busy",
    "doubted": "all reachable targets were ejected",
    "shed": "the targets rejected the request",
    "no-target": "no target of the service was known",
    "no-service": "no route matches the request",
    "no-configuration": "the process had not loaded a configuration yet",
    "draining": "the target was draining",
    "fenced": "the target's process was told not to start the request",
    "quarantined": "it is quarantined as targets crashed while they ran it",
    "stale": "the target's process had been paused",
    "limited": "the organisation exceeds its rate limit",
}
_REQUEST_ENDED_EVENT = "request"


def parse(lines: Iterable[str]) -> list[LogLine]:
    """Parses JSON log lines and sorts them by time; skips all other lines.

    >>> parse(['x', '{"event": "a", "timestamp": "2", "n": 1}'])
    [LogLine(at='2', event='a', fields={'n': '1'})]
    """
    found = []
    for text in lines:
        start = text.find("{")
        try:
            read = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            continue
        if not isinstance(read, dict) or "event" not in read:
            continue
        fields = {
            name: str(value)
            for name, value in read.items()
            if name not in ("event", "timestamp")
        }
        at = str(read.get("timestamp", ""))
        found.append(LogLine(at, str(read["event"]), fields))
    return sorted(found, key=lambda line: line.at)


def trace_request(lines: list[LogLine], request: str) -> list[str]:
    """Formats the log lines of a request, and the cause of its outcome."""
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    output = [_format(line) for line in own]
    end = next(
        (line for line in own if line.event == _REQUEST_ENDED_EVENT), None
    )
    if end is not None:
        output.append(_format_cause(end))
    return output


def trace_target(lines: list[LogLine], target: str) -> list[str]:
    """Formats the log lines of a target."""
    return [
        _format(line) for line in lines if line.fields.get("target") == target
    ]


def _format(line: LogLine) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN_FIELDS and value
    )
    return f"{line.at} {line.event}: {fields}"


def _format_cause(end: LogLine) -> str:
    reason = end.fields.get("reason", "")
    status = end.fields.get("status", "0")
    outcome = end.fields.get("outcome", "")
    if outcome == "answered":
        return f"cause: the target responded with status {status}"
    cause = _CAUSE_BY_REASON.get(reason, reason or "unknown")
    ran = (
        "the request did not run"
        if outcome == "not-run"
        else "the request may have run"
    )
    return f"cause: {cause}; {ran}"
