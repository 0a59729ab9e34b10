"""Takes records of the configuration in, from the store and from peers."""

from collections.abc import Callable

import structlog

from forklift import catalog
from forklift import errors
from forklift import invalid_input
from forklift.shell import clock as clocks

_log = structlog.get_logger(__name__)

# Where the configuration is read; any other source is a peer.
STORE_SOURCE = "store"
# Seconds in which a process that starts learns from others which version they
# have, before it takes what the store tells: many times the way to them.
PEER_VERSION_TIMEOUT = 0.5


class ConfigurationLoader:
    """Decodes records and puts the newest in force."""

    def __init__(
        self,
        decode: Callable[[bytes], catalog.Catalog],
        active_catalog: catalog.ActiveCatalog,
        clock: clocks.SystemClock,
        newest_heard: Callable[[], int | None],
        alone: Callable[[], bool],
        on_taken: Callable[[catalog.Catalog, str], None],
    ):
        """Makes one that took nothing yet.

        Args:
            decode: Decodes a record.
            active_catalog: What is in force in this process.
            clock: Time.
            newest_heard: The newest version that a peer said to have; None
                where nobody said.
            alone: Whether it is known that there is no peer.
            on_taken: Takes note of a version that came in force, and of its
                source.
        """
        self._decode = decode
        self._active_catalog = active_catalog
        self._clock = clock
        self._newest_heard = newest_heard
        self._alone = alone
        self._on_taken = on_taken
        self._started_at = clock.monotonic()
        # A version that waits for the word of peers.
        self._held: catalog.Catalog | None = None

    def receive(self, data: bytes, source: str = STORE_SOURCE) -> None:
        """A record of the configuration was read."""
        try:
            found = self._decode(data)
        except errors.ForkliftError as error:
            _log.warning(
                "configuration_refused", source=source, detail=str(error)
            )
            invalid_input.count_by_source[
                invalid_input.Source.CONFIGURATION
            ] += 1
            return
        if source == STORE_SOURCE and self._waits(found):
            self._held = found
            return
        self._take(found, source)

    def activate_pending(self) -> None:
        """Takes a version that waited, once peers said what they have."""
        held = self._held
        if held is not None and not self._waits(held):
            self._held = None
            self._take(held, STORE_SOURCE)

    def _waits(self, found: catalog.Catalog) -> bool:
        """Whether peers may have a newer version than the store tells.

        It may have come back from a copy while this process starts, so what
        others have goes first, for a moment.
        """
        if self._active_catalog.loaded:
            return False
        if self._clock.monotonic() - self._started_at >= PEER_VERSION_TIMEOUT:
            return False
        heard = self._newest_heard()
        if heard is not None:
            return heard > found.version
        return not self._alone()

    def _take(self, found: catalog.Catalog, source: str) -> None:
        if self._active_catalog.offer(found, source, self._clock.monotonic()):
            self._on_taken(found, source)
