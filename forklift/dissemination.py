"""Peer-to-peer dissemination of configuration versions.

The store notifies its readers within milliseconds, but a long poll over a
broken connection looks like one without news. Each process therefore also
learns of new versions from peers. All processes form a ring. A process reports
each version that it loads to its predecessors, and announces the version to its
successors until they confirm it. A process that learns of a newer version
fetches it.

This depends neither on heartbeats nor on existing connections: unanswered
messages are sent again over new connections in both directions. As each process
is the nearest successor of another, a version reaches every process once one
process has it. The more distant successors shorten the path.
"""

import collections
import dataclasses
import math
import zlib

from forklift import catalog
from forklift import gossip
from forklift import membership
from forklift import messages
from forklift import rendezvous
from forklift import store_readers

# Distances on the ring from a process to the peers that announce new versions
# to it. Each further distance halves the share of processes none of whose
# announcers has a version.
RING_DISTANCES = (1, 2, 4, 8)
# Seconds that the store has to deliver a version before peers deliver it. It is
# many times what the store needs to deliver a version to all processes.
PEER_FALLBACK_DELAY = 0.25
# Bounds of the delay between retries, in seconds. The longest delay is within
# the time in which a configuration must apply, so that a process whose links
# come back is not behind for longer.
INITIAL_RETRY_DELAY = 0.25
MAX_RETRY_DELAY = 2.0
# Number of retries before the delay starts to double.
RETRIES_BEFORE_BACKOFF = 3
# Number of recent versions whose activation times are kept.
VERSION_HISTORY = 64
_RING = "ring"


class _Retries:
    """Schedules retries with exponential backoff."""

    def __init__(self):
        self.count = 0
        self._next = -math.inf

    def due(self, now: float) -> bool:
        """Whether the next attempt is due."""
        return now >= self._next

    def record(self, now: float) -> None:
        """Records an attempt and schedules the next."""
        doubled = max(0, self.count - RETRIES_BEFORE_BACKOFF)
        delay = min(MAX_RETRY_DELAY, INITIAL_RETRY_DELAY * 2**doubled)
        self._next = now + delay
        self.count += 1


@dataclasses.dataclass(frozen=True)
class _VersionReport:
    """The version that a process last reported.

    Attributes:
        boot: Random ID of the run of the process.
        version: Active version of the process.
    """

    boot: int
    version: int


@dataclasses.dataclass(frozen=True)
class _NewerPeer:
    """A peer that has a newer version than this process.

    Attributes:
        address: Control address of the peer.
        version: Active version of the peer.
        active_since: Time since which the peer has had a newer version,
            monotonic seconds of this process.
        is_retry: Whether the peer sent an earlier message that got no reply, so
            that the connection to it may be broken.
    """

    address: str
    version: int
    active_since: float
    is_retry: bool = False


class Dissemination:
    """Exchanges configuration versions with peers."""

    def __init__(
        self,
        directory: membership.Directory,
        active_catalog: catalog.ActiveCatalog,
        readers: store_readers.StoreReaders,
    ):
        self._directory = directory
        self._readers = readers
        self._active_catalog = active_catalog
        self._last_reported = active_catalog.catalog.version
        # Recent versions, and when each was first active on any known process.
        self._first_active: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=VERSION_HISTORY)
        )
        self._reported_by_name: dict[str, _VersionReport] = {}
        self._retries_by_name: dict[str, _Retries] = {}
        self._newer_peer_by_name: dict[str, _NewerPeer] = {}
        self._request_retries = _Retries()
        self._ring: list[str] = []
        self._ring_version = -1

    @property
    def _active_version(self) -> int:
        return self._active_catalog.catalog.version

    def tick(self, now: float) -> list[gossip.Send]:
        """Returns the messages that are due."""
        sends = self._report_to_predecessors(now)
        sends += self._announce_to_successors(now)
        return sends + self._request_newer(now)

    def is_active(self, now: float) -> bool:
        """Whether versions are being exchanged or were exchanged recently."""
        if self._newer_peer_by_name or self._retries_by_name:
            return True
        if self._last_reported != self._active_version:
            return True
        return (
            bool(self._first_active)
            and now - self._first_active[-1][1] < 2 * PEER_FALLBACK_DELAY
        )

    def observe(
        self, info: messages.ProcessInfo, now: float
    ) -> list[gossip.Send]:
        """Handles the description that a process sent of itself."""
        self._record_report(info.name, _VersionReport(info.boot, info.config))
        if info.config > self._active_version:
            peer = _NewerPeer(info.control, info.config, now)
            self._record_newer_peer(info.name, peer)
            return self._request_newer(now)
        store_delay = self._allowed_store_delay(info.name)
        if info.config and not self._is_overdue(info.config, now, store_delay):
            return []
        if info.config == self._active_version:
            return []
        return [gossip.Send(info.control, self._version_message(now))]

    def receive(
        self,
        message: messages.CatalogVersion | messages.CatalogRequest,
        now: float,
    ) -> list[gossip.Send]:
        """Handles a version report or a request from a peer."""
        name, address = message.sender.name, message.sender.control
        self._record_report(name, _VersionReport(message.boot, message.version))
        if isinstance(message, messages.CatalogRequest):
            return self._answer(message, now)
        if message.version > self._active_version:
            active_since = now - message.age
            peer = _NewerPeer(
                address, message.version, active_since, message.is_retry
            )
            self._record_newer_peer(name, peer)
            return self._request_newer(now)
        store_delay = self._allowed_store_delay(name)
        if message.confirm or self._is_overdue(
            message.version, now, store_delay
        ):
            return [
                gossip.Send(
                    address, self._version_message(now), message.is_retry
                )
            ]
        return []

    def record_offer(self, offer: messages.CatalogOffer, now: float) -> None:
        """Records the peer that offered a version, before it is loaded."""
        peer = _NewerPeer(offer.sender.control, offer.version, now - offer.age)
        self._record_newer_peer(offer.sender.name, peer)

    # Sending.

    def _version_message(
        self, now: float, confirm: bool = False, is_retry: bool = False
    ) -> messages.CatalogVersion:
        return messages.CatalogVersion(
            messages.sender_of(self._directory.own),
            self._directory.own.boot,
            self._active_version,
            self._active_version_age(now),
            confirm,
            is_retry,
        )

    def _report_to_predecessors(self, now: float) -> list[gossip.Send]:
        """Reports a newly loaded version to the predecessors, once."""
        if self._last_reported == self._active_version:
            return []
        self._last_reported = self._active_version
        self._record_loaded(now)
        version = self._version_message(now)
        return [
            gossip.Send(self._address(name), version)
            for name in self._at_distances(-1)
        ]

    def _record_loaded(self, now: float) -> None:
        active_since = now
        for name, peer in list(self._newer_peer_by_name.items()):
            if peer.version == self._active_version:
                active_since = min(active_since, peer.active_since)
            if peer.version <= self._active_version:
                del self._newer_peer_by_name[name]
        self._first_active.append((self._active_version, active_since))
        self._request_retries = _Retries()

    def _announce_to_successors(self, now: float) -> list[gossip.Send]:
        """Announces the version to successors until they confirm it."""
        sends = []
        for name in self.successors():
            store_delay = self._allowed_store_delay(name)
            if not self._is_overdue(
                self._reported_version(name), now, store_delay
            ):
                self._retries_by_name.pop(name, None)
                continue
            retries = self._retries_by_name.setdefault(name, _Retries())
            if not retries.due(now):
                continue
            is_retry = retries.count > 0
            retries.record(now)
            version = self._version_message(
                now, confirm=True, is_retry=is_retry
            )
            sends.append(gossip.Send(self._address(name), version, is_retry))
        return sends

    def _answer(
        self, request: messages.CatalogRequest, now: float
    ) -> list[gossip.Send]:
        if request.version >= self._active_version:
            return []
        current = self._active_catalog.catalog
        offer = messages.CatalogOffer(
            messages.sender_of(self._directory.own),
            current.version,
            zlib.compress(current.record),
            self._active_version_age(now),
        )
        return [gossip.Send(request.sender.control, offer, request.is_retry)]

    # Fetching.

    def _record_newer_peer(self, name: str, peer: _NewerPeer) -> None:
        """Records a peer from which a newer version can be requested.

        If the peer is known, the earlier `active_since` is kept.
        """
        known = self._newer_peer_by_name.get(name)
        if known is not None:
            # Keeps the time since which the peer has had any newer version.
            active_since = min(peer.active_since, known.active_since)
            peer = dataclasses.replace(peer, active_since=active_since)
        self._newer_peer_by_name[name] = peer

    def _request_newer(self, now: float) -> list[gossip.Send]:
        """Requests a newer version from one of the peers, in rotation."""
        if not self._newer_peer_by_name or not self._request_retries.due(now):
            return []
        since = min(
            one.active_since for one in self._newer_peer_by_name.values()
        )
        store_delay = self._allowed_store_delay(self._directory.own.name)
        if self._active_version and now - since < store_delay:
            return []
        name, peer = next(iter(self._newer_peer_by_name.items()))
        del self._newer_peer_by_name[name]
        self._newer_peer_by_name[name] = peer
        is_retry = self._request_retries.count > 0 or peer.is_retry
        self._request_retries.record(now)
        own = self._directory.own
        request = messages.CatalogRequest(
            messages.sender_of(own), own.boot, self._active_version, is_retry
        )
        return [gossip.Send(peer.address, request, is_retry)]

    # Peers.

    def _record_report(self, name: str, reported: _VersionReport) -> None:
        """Records the version that a process reported.

        Reports of earlier runs are ignored. A new run may have an older version
        than the previous run.
        """
        member = self._directory.member_by_name.get(name)
        if member is None or member.info.boot != reported.boot:
            return
        if self._reported_by_name.get(name) != reported:
            self._retries_by_name.pop(name, None)
        self._reported_by_name[name] = reported

    def _reported_version(self, name: str) -> int:
        info = self._directory.member_by_name[name].info
        reported = self._reported_by_name.get(name)
        if reported is None or reported.boot != info.boot:
            return info.config
        return reported.version

    def _is_overdue(
        self, version: int, now: float, after: float = PEER_FALLBACK_DELAY
    ) -> bool:
        """Whether a process with a version should have received a newer one.

        The delay counts from the first newer version, so that it also ends if
        versions are published in quick succession.

        Args:
            version: The version that the process has.
            now: Monotonic seconds.
            after: Seconds that the store has to deliver a version.
        """
        for newer, active_since in self._first_active:
            if newer > version:
                return now - active_since >= after
        return False

    def _allowed_store_delay(self, name: str) -> float:
        """Seconds that the store has to deliver a version to a process.

        It is 0 for processes that don't read from the store.
        """
        return PEER_FALLBACK_DELAY if self._readers.includes(name) else 0.0

    def _active_version_age(self, now: float) -> float:
        """Seconds since the active version was first active anywhere."""
        for version, active_since in reversed(self._first_active):
            if version == self._active_version:
                return round(now - active_since, 3)
        return 0.0

    # The ring.

    def successors(self) -> list[str]:
        """Processes that this one announces versions to, nearest first."""
        return self._at_distances(1)

    def _at_distances(self, direction: int) -> list[str]:
        """Processes at the ring distances, by direction.

        Args:
            direction: 1 for successors, -1 for predecessors.
        """
        if self._ring_version != self._directory.membership_version:
            self._ring_version = self._directory.membership_version
            self._ring = self._ring_order()
            self._forget_departed()
        size = len(self._ring)
        own = self._ring.index(self._directory.own.name)
        places = [
            direction * distance
            for distance in RING_DISTANCES
            if distance < size
        ]
        return [self._ring[(own + place) % size] for place in places]

    def _forget_departed(self) -> None:
        """Drops the state of processes that left the directory."""
        for by_name in (self._reported_by_name, self._retries_by_name):
            for name in set(by_name) - set(self._directory.member_by_name):
                del by_name[name]

    def _ring_order(self) -> list[str]:
        """Order of the processes on the ring.

        Hashing spreads the processes of a failure domain over the ring, as they
        may lose the connection to the store together. The ring consists of
        processes that exchange membership updates.
        """
        names = [
            name
            for name, member in self._directory.member_by_name.items()
            if member.usable and self._directory.gossips_with(member.info)
        ]
        return rendezvous.rank(_RING, [self._directory.own.name, *names])

    def _address(self, name: str) -> str:
        return self._directory.member_by_name[name].info.control
