"""Tells the story of one request, or of one target, from log lines.

Log lines of several processes are put in order by their time of day, which
may differ between instances by some milliseconds.
"""

import dataclasses
import json
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One log line.

    Attributes:
        at: Time of day, ISO 8601.
        event: What happened.
        fields: Everything else on the line, as text by name.
    """

    at: str
    event: str
    fields: dict[str, str]


_NOT_TOLD = ("event", "timestamp", "level", "request", "left_out")

_CAUSE_BY_REASON = {
    "target-broke": "the target broke the connection after it was sent",
    "target-crashed": "the target ended while it ran it",
    "timeout": "no answer came within its time",
    "deadline": "no target was free within its time",
    "peer-lost": "the path to the process beside the target was lost",
    "busy": "all targets in reach were busy",
    "doubted": "every target in reach was doubted",
    "shed": "targets refused it themselves",
    "no-target": "no target of its service was known",
    "no-service": "no route leads there",
    "no-configuration": "the process knew no configuration yet",
    "draining": "its target was leaving",
    "fenced": "its guard was told in time not to start it",
    "quarantined": "targets crashed while they ran it, each time it came",
    "stale": "its guard had been paused",
    "limited": "its organisation sends more than it may, at all processes",
}
_END = "request"


def parse(lines: Iterable[str]) -> list[LogLine]:
    """Reads log lines, in order of time; what is no log line is passed over.

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
    """The story of one request; empty where no line names it."""
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    told = [_tell(line) for line in own]
    end = next((line for line in own if line.event == _END), None)
    if end is not None:
        told.append(_cause(end))
    return told


def trace_target(lines: list[LogLine], target: str) -> list[str]:
    """The story of one target; empty where no line names it."""
    return [
        _tell(line) for line in lines if line.fields.get("target") == target
    ]


def _tell(line: LogLine) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _NOT_TOLD and value
    )
    return f"{line.at} {line.event}: {fields}"


def _cause(end: LogLine) -> str:
    reason = end.fields.get("reason", "")
    status = end.fields.get("status", "0")
    outcome = end.fields.get("outcome", "")
    if outcome == "answered":
        return f"cause: the target itself answered {status}"
    cause = _CAUSE_BY_REASON.get(reason, reason or "not known")
    ran = "it has not run" if outcome == "not-run" else "it may have run"
    return f"cause: {cause}; {ran}"
