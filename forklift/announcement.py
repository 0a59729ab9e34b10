"""What a target says of itself, and which of its words are late."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Announcement:
    """One heartbeat of a target.

    Attributes:
        name: Name of this run of the target; a restart has another.
        service: Its service.
        address: Where it is reached, "ip:port".
        domain: Its failure domain.
        slots: Requests it runs at once.
        leaving: Whether it takes no new requests.
        sequence: Rises with each one, so that a late one can be known.
        cold: Seconds that it stays slow after its start.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int
    leaving: bool
    sequence: int
    cold: float = 0.0


class Sequence:
    """Tells late announcements of targets from new ones.

    >>> seen = Sequence()
    >>> seen.newer("a", 2), seen.newer("a", 1), seen.newer("a", 3)
    (True, False, True)
    """

    def __init__(self):
        self._last_by_target: dict[str, int] = {}

    def newer(self, target: str, number: int) -> bool:
        """Whether a number is the highest of its target so far."""
        if number <= self._last_by_target.get(target, -1):
            return False
        self._last_by_target[target] = number
        return True
