"""Counts what came from outside and could not be used, by where it came from.

Other writers may send what no target, operator or process of this platform
sends, and as often as they like. Each is left out by itself: it names nothing
to use, and what was known before holds.
"""

import collections
import enum

import structlog

_log = structlog.get_logger(__name__)


class Source(enum.StrEnum):
    """Where something that could not be used came from."""

    HEARTBEAT = "heartbeat"
    HEALTH = "health"
    CONFIGURATION = "configuration"
    MEMBER = "member"
    STORE = "store"


count_by_source: collections.Counter[Source] = collections.Counter()


def record(source: Source, detail: str, **fields: object) -> None:
    """Counts one, and logs the first, second, fourth, eighth and so on.

    So a writer that never ends costs some thirty lines in all.

    Args:
        source: Where it came from.
        detail: What is wrong with it.
        **fields: What the log line tells besides.
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
