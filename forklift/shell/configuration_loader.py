"""Loads configuration records that the store and peers deliver."""

from collections.abc import Callable

import structlog

from forklift import catalog
from forklift import errors
from forklift import invalid_input
from forklift.shell import clock as clocks

_log = structlog.get_logger(__name__)

# Source of records that were read from the store; other sources are peers.
STORE_SOURCE = "store"
# Seconds after its start during which a process waits to learn the peers'
# versions before it activates the version in the store. Must exceed the round
# trip to a peer. It is many times the round trip.
PEER_VERSION_TIMEOUT = 0.5


class ConfigurationLoader:
    """Decodes configuration records and activates the newest version."""

    def __init__(
        self,
        decode: Callable[[bytes], catalog.Catalog],
        active_catalog: catalog.ActiveCatalog,
        clock: clocks.SystemClock,
        newest_peer_version: Callable[[], int | None],
        is_alone: Callable[[], bool],
        on_activated: Callable[[catalog.Catalog, str], None],
    ):
        """Creates a loader that has received no record.

        Args:
            decode: Decodes a record.
            active_catalog: The catalog that this process uses.
            clock: Source of time.
            newest_peer_version: Returns the newest version that a peer has
                announced; None if no peer has announced any.
            is_alone: Returns whether this process is known to have no peers.
            on_activated: Called with each catalog that was activated, and its
                source.
        """
        self._decode = decode
        self._active_catalog = active_catalog
        self._clock = clock
        self._newest_peer_version = newest_peer_version
        self._is_alone = is_alone
        self._on_activated = on_activated
        self._started_at = clock.monotonic()
        # Catalog from the store that waits until the peers' versions are known.
        self._pending: catalog.Catalog | None = None

    def receive(self, data: bytes, source: str = STORE_SOURCE) -> None:
        """Decodes a record and activates it if it is the newest.

        An invalid record is logged, counted and ignored.

        Args:
            data: Configuration record.
            source: `STORE_SOURCE`, or "peer" for a record sent by a peer.
        """
        try:
            loaded = self._decode(data)
        except errors.ForkliftError as error:
            _log.warning(
                "configuration_rejected", source=source, detail=str(error)
            )
            invalid_input.count_by_source[
                invalid_input.Source.CONFIGURATION
            ] += 1
            return
        if source == STORE_SOURCE and self._must_wait(loaded):
            self._pending = loaded
            return
        self._activate(loaded, source)

    def activate_pending(self) -> None:
        """Activates the pending version once it need not wait for the peers."""
        pending = self._pending
        if pending is not None and not self._must_wait(pending):
            self._pending = None
            self._activate(pending, STORE_SOURCE)

    def _must_wait(self, loaded: catalog.Catalog) -> bool:
        """Whether peers may have a newer version than the store.

        A store that was restored from a backup returns an old version. A
        process that starts then must not use it while its peers use a newer
        one.
        """
        if self._active_catalog.loaded:
            return False
        if self._clock.monotonic() - self._started_at >= PEER_VERSION_TIMEOUT:
            return False
        newest = self._newest_peer_version()
        if newest is not None:
            return newest > loaded.version
        return not self._is_alone()

    def _activate(self, loaded: catalog.Catalog, source: str) -> None:
        started = self._clock.monotonic()
        if self._active_catalog.offer(loaded, source, started):
            self._on_activated(loaded, source)
            _log.info(
                "configuration_applied",
                version=loaded.version,
                seconds=round(self._clock.monotonic() - started, 3),
            )
