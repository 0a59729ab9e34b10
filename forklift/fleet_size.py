"""Decides from when on a process knows how many processes there are.

A process that takes itself for the only one uses the whole of each rate limit
and of the retry budget, and any configuration that the store returns.
"""

import math

from forklift import interfaces

# Seconds after which a process counts as the only one if a store that was
# restored from a backup lists no other. The others announce themselves again
# within that time in a fleet of up to 250.
ALONE_SECONDS = 3.0


class FleetSize:
    """Whether the number of processes is known.

    >>> restored = FleetSize()
    >>> restored.record_store_read(epoch=1, lists_others=False, now=10.0)
    >>> restored.is_known(10.0), restored.is_known(13.0)
    (False, True)
    """

    def __init__(self):
        self._known_from = math.inf

    def record_store_read(
        self, epoch: int, lists_others: bool, now: float
    ) -> None:
        """Records that the members were read from the store.

        Args:
            epoch: Epoch of the store. In a later one than the first, the store
                may have lost the records of all other processes.
            lists_others: Whether the store lists other processes.
            now: Monotonic seconds.
        """
        is_reliable = lists_others or epoch == interfaces.FIRST_EPOCH
        known_from = now if is_reliable else now + ALONE_SECONDS
        self._known_from = min(self._known_from, known_from)

    def record_sync(self, now: float) -> None:
        """Records that a peer sent the complete membership.

        Args:
            now: Monotonic seconds.
        """
        self._known_from = min(self._known_from, now)

    def is_known(self, now: float) -> bool:
        """Whether the number of processes is known.

        Args:
            now: Monotonic seconds.
        """
        return now >= self._known_from
