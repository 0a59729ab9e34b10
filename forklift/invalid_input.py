"""Counts and logs invalid input from outside the process.

Invalid input is ignored: it changes no state, and processing continues.
"""

import collections
import enum

import structlog

_log = structlog.get_logger(__name__)


class Source(enum.StrEnum):
    """Where invalid input came from."""

    HEARTBEAT = "heartbeat"
    HEALTH = "health"
    RESPONSE = "response"
    CONFIGURATION = "configuration"
    MEMBER = "member"
    STORE = "store"


count_by_source: collections.Counter[Source] = collections.Counter()


def record(source: Source, detail: str, **fields: object) -> None:
    """Counts an invalid input and logs it at exponentially growing intervals.

    Only counts that are powers of two are logged, which bounds the number of
    log lines.

    Args:
        source: Where the input came from.
        detail: What is wrong with it.
        **fields: Additional fields of the log line.
    """
    count_by_source[source] += 1
    count = count_by_source[source]
    if count & (count - 1) == 0:
        _log.warning(
            "unreadable",
            source=str(source),
            count=count,
            detail=detail,
            **fields,
        )
