"""How many requests a target runs at once, and which waiting one goes next.

`gradient` follows the Gradient2 limit as Limen describes it (PAPER: Limen, an
idiomatic C++20 port of Netflix's concurrency-limits); `codel` drops by sojourn
time as in RFC 8289. Both are measured against `fixed` and `fifo` in
docs/MEASURES.md.
"""

import collections
import dataclasses
import math
from collections.abc import Callable
from typing import Protocol

GRADIENT_WINDOW = 1.0
GRADIENT_TOLERANCE = 1.5
GRADIENT_LONG_GAIN = 0.05
CODEL_TARGET = 0.1
CODEL_INTERVAL = 0.5


class Limit(Protocol):
    """A limit on requests in flight."""

    def allowed(self) -> int:
        """Requests that may run at once now."""

    def note(self, latency: float, now: float) -> None:
        """An answer took `latency` seconds."""


limit_by_name: dict[str, Callable[[int], Limit]] = {}
queue_by_name: dict[str, Callable[[], "Queue"]] = {}


def limit(name: str):
    """Registers a limit under the name that policies use."""

    def register(factory):
        limit_by_name[name] = factory
        return factory

    return register


def queue(name: str):
    """Registers a queue under the name that policies use."""

    def register(factory):
        queue_by_name[name] = factory
        return factory

    return register


@limit("fixed")
class Fixed:
    """The slots that the target announced."""

    def __init__(self, slots: int):
        self._slots = slots

    def allowed(self) -> int:
        """See `Limit`."""
        return self._slots

    def note(self, latency: float, now: float) -> None:
        """See `Limit`; a fixed limit learns nothing."""


@limit("gradient")
class Gradient:
    """Short-term against long-term latency; never above the slots."""

    def __init__(self, slots: int):
        self._slots = slots
        self._limit = float(slots)
        self._long = 0.0
        self._window: list[float] = []
        self._window_ends = 0.0

    def allowed(self) -> int:
        """See `Limit`."""
        return max(1, min(self._slots, int(self._limit)))

    def note(self, latency: float, now: float) -> None:
        """See `Limit`."""
        self._window.append(latency)
        if now < self._window_ends:
            return
        short = sum(self._window) / len(self._window)
        self._window.clear()
        self._window_ends = now + GRADIENT_WINDOW
        if self._long == 0.0:
            self._long = short
        self._long += GRADIENT_LONG_GAIN * (short - self._long)
        gradient = GRADIENT_TOLERANCE * self._long / short
        gradient = max(0.5, min(1.0, gradient))
        room = max(1.0, math.ceil(math.sqrt(self._limit)))
        wanted = self._limit * gradient + room
        self._limit += 0.2 * (wanted - self._limit)
        self._limit = max(1.0, min(float(self._slots), self._limit))


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request in a queue.

    Attributes:
        id: Its identity.
        arrived: Monotonic seconds of its arrival.
        deadline: Monotonic seconds at which it is worthless.
    """

    id: object
    arrived: float
    deadline: float


class Queue:
    """Requests that wait for a slot; subclasses choose the next one."""

    def __init__(self):
        self._by_id: collections.OrderedDict[object, Waiting] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._by_id)

    def add(self, waiting: Waiting) -> None:
        """A request starts to wait."""
        self._by_id[waiting.id] = waiting

    def remove(self, request: object) -> bool:
        """Takes a request out; False when it did not wait."""
        return self._by_id.pop(request, None) is not None

    def drop(self, now: float, needed: float) -> list[Waiting]:
        """Takes out those that can't be answered in time any more.

        Args:
            now: Monotonic seconds.
            needed: Seconds that an answer takes.
        """
        late = [w for w in self._by_id.values() if w.deadline < now + needed]
        for waiting in late:
            del self._by_id[waiting.id]
        return late

    def take(self, now: float) -> Waiting | None:
        """Takes the next one to run; None when none waits."""
        raise NotImplementedError

    def take_all(self) -> list[Waiting]:
        """Empties the queue."""
        everyone = list(self._by_id.values())
        self._by_id.clear()
        return everyone


@queue("fifo")
class Fifo(Queue):
    """The one that waited longest."""

    def take(self, now: float) -> Waiting | None:
        """See `Queue`."""
        if not self._by_id:
            return None
        return self._by_id.popitem(last=False)[1]


@queue("lifo")
class Lifo(Queue):
    """The newest under pressure, so that those served are in time."""

    def take(self, now: float) -> Waiting | None:
        """See `Queue`."""
        if not self._by_id:
            return None
        return self._by_id.popitem(last=True)[1]


@queue("codel")
class CoDel(Fifo):
    """First in first out, dropping while the sojourn stays above target."""

    def __init__(self):
        super().__init__()
        self._above_since: float | None = None
        self._drop_next = 0.0
        self._drops = 0

    def drop(self, now: float, needed: float) -> list[Waiting]:
        """See `Queue`."""
        dropped = super().drop(now, needed)
        while self._should_drop(now):
            dropped.append(self._by_id.popitem(last=False)[1])
        return dropped

    def _should_drop(self, now: float) -> bool:
        oldest = next(iter(self._by_id.values()), None)
        if oldest is None or now - oldest.arrived < CODEL_TARGET:
            self._above_since = None
            self._drops = 0
            return False
        if self._above_since is None:
            self._above_since = now
            self._drop_next = now + CODEL_INTERVAL
            return False
        if now < self._drop_next:
            return False
        self._drops += 1
        self._drop_next = now + CODEL_INTERVAL / math.sqrt(self._drops)
        return True
