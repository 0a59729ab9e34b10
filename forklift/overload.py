"""When overload control is in force.

Overload control divides the room of targets among organisations, priorities and
calls while it is short. It suits configurations that mix large responses with
short work on the same targets; elsewhere requests are served without it.
"""

import enum

# Upper bound on the share that each waiting priority keeps, so that more urgent
# requests always get the larger part.
MAX_FLOOR = 0.45
# Upper bound on the share of slots reserved for calls; callers keep the rest.
MAX_CALL_SHARE = 0.5


class Mode(enum.StrEnum):
    """Setting of overload control."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


def is_enabled(mode: Mode, has_bulk_routes: bool) -> bool:
    """Returns whether overload control is in force.

    Args:
        mode: The setting.
        has_bulk_routes: Whether the configuration in force has routes with
            large responses.

    >>> is_enabled(Mode.AUTO, False), is_enabled(Mode.ON, False)
    (False, True)
    """
    if mode is Mode.AUTO:
        return has_bulk_routes
    return mode is Mode.ON
