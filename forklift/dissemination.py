"""Decides how a configuration reaches processes that the store does not tell.

The store tells most processes within milliseconds, and nobody knows whom it
leaves out: a read that is never answered looks like one that waits. So each
process has a few watchers, those before it on a ring of all processes, and
tells them which version it took. A watcher that hears of none offers its own
until the other confirms, and who hears that a newer version exists fetches it.
None of this waits for a regular heartbeat, or for a connection to work: what
stays unanswered is sent again over new connections, both ways.

As each process is watched by the one before it, a version reaches all as long
as one has it; the farther watchers make the way short.
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

# Places on the ring between a process and its watchers. Each further one halves
# the share of processes none of whose watchers has a version.
RING_DISTANCES = (1, 2, 4, 8)
# Seconds for which a version is left to the store before peers hand it on: many
# times what the store takes to tell all, an eighth of the users' bound.
PEER_FALLBACK_DELAY = 0.25
# Seconds until an unanswered message is sent again, at first and at most; after
# a few tries it doubles. Where one message in ten is lost, four tries in a row
# are in vain once in a thousand. The longest is within the bound of users, so
# that a process whose links come back is not behind for longer.
RETRY_INITIAL = 0.25
RETRY_MAX = 2.0
RETRIES_BEFORE_BACKOFF = 3
# Versions of which it is remembered since when they were in force somewhere.
HISTORY = 64
_RING = "ring"


class _Tries:
    """When something unanswered is sent again."""

    def __init__(self):
        self.count = 0
        self._next = -math.inf

    def due(self, now: float) -> bool:
        """Whether it is time for another try."""
        return now >= self._next

    def note(self, now: float) -> None:
        """It was sent."""
        doubled = max(0, self.count - RETRIES_BEFORE_BACKOFF)
        pause = min(RETRY_MAX, RETRY_INITIAL * 2**doubled)
        self._next = now + pause
        self.count += 1


@dataclasses.dataclass(frozen=True)
class _Said:
    """What a process said of itself last.

    Attributes:
        boot: Its run.
        version: The version that it has in force.
    """

    boot: int
    version: int


@dataclasses.dataclass(frozen=True)
class _Holder:
    """A peer that has a newer version than this process.

    Attributes:
        address: Its control address.
        version: The version.
        born: Since when the version has been in force there, monotonic seconds
            of this process.
        again: Whether an earlier word of it was not answered, so that the way
            to it may be silent.
    """

    address: str
    version: int
    born: float
    again: bool = False


class Dissemination:
    """What one process tells its peers of the version that it has in force."""

    def __init__(
        self,
        directory: membership.Directory,
        active_catalog: catalog.ActiveCatalog,
        reading: store_readers.StoreReaders,
    ):
        self._directory = directory
        self._reading = reading
        self._active_catalog = active_catalog
        self._told = active_catalog.catalog.version
        # Versions, and since when each has been in force at any process that
        # this one heard of, the last ones.
        self._born: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=HISTORY
        )
        self._said_by_name: dict[str, _Said] = {}
        self._tries_by_name: dict[str, _Tries] = {}
        self._holder_by_name: dict[str, _Holder] = {}
        self._asking = _Tries()
        self._ring: list[str] = []
        self._ring_of = -1

    @property
    def _version(self) -> int:
        return self._active_catalog.catalog.version

    def tick(self, now: float) -> list[gossip.Send]:
        """Lets time pass."""
        sends = self._tell(now)
        sends += self._hand_on(now)
        return sends + self._ask(now)

    def is_active(self, now: float) -> bool:
        """Whether versions are being handed on, or were a moment ago."""
        if self._holder_by_name or self._tries_by_name:
            return True
        if self._told != self._version:
            return True
        return (
            bool(self._born)
            and now - self._born[-1][1] < 2 * PEER_FALLBACK_DELAY
        )

    def observe(
        self, info: messages.ProcessInfo, now: float
    ) -> list[gossip.Send]:
        """A process described itself, in a heartbeat or when it joined."""
        self._note(info.name, _Said(info.boot, info.config))
        if info.config > self._version:
            holder = _Holder(info.control, info.config, now)
            self._newer(info.name, holder)
            return self._ask(now)
        left_for = self._left_to_store(info.name)
        if info.config and not self._late(info.config, now, left_for):
            return []
        if info.config == self._version:
            return []
        return [gossip.Send(info.control, self._own(now))]

    def receive(
        self,
        message: messages.CatalogVersion | messages.CatalogRequest,
        now: float,
    ) -> list[gossip.Send]:
        """A peer told its version, or asks for ours."""
        name, address = message.sender.name, message.sender.control
        self._note(name, _Said(message.boot, message.version))
        if isinstance(message, messages.CatalogRequest):
            return self._answer(message, now)
        if message.version > self._version:
            born = now - message.age
            holder = _Holder(address, message.version, born, message.is_retry)
            self._newer(name, holder)
            return self._ask(now)
        left_for = self._left_to_store(name)
        if message.confirm or self._late(message.version, now, left_for):
            return [gossip.Send(address, self._own(now), message.is_retry)]
        return []

    def record_offer(self, offer: messages.CatalogOffer, now: float) -> None:
        """A peer hands its version over; it is taken right after."""
        holder = _Holder(offer.sender.control, offer.version, now - offer.age)
        self._newer(offer.sender.name, holder)

    # What this process tells.

    def _own(
        self, now: float, confirm: bool = False, again: bool = False
    ) -> messages.CatalogVersion:
        return messages.CatalogVersion(
            messages.sender_of(self._directory.own),
            self._directory.own.boot,
            self._version,
            self._age(now),
            confirm,
            again,
        )

    def _tell(self, now: float) -> list[gossip.Send]:
        """Tells its watchers once that this process took a version."""
        if self._told == self._version:
            return []
        self._told = self._version
        self._took(now)
        version = self._own(now)
        return [
            gossip.Send(self._address(name), version)
            for name in self._at_distances(-1)
        ]

    def _took(self, now: float) -> None:
        born = now
        for name, holder in list(self._holder_by_name.items()):
            if holder.version == self._version:
                born = min(born, holder.born)
            if holder.version <= self._version:
                del self._holder_by_name[name]
        self._born.append((self._version, born))
        self._asking = _Tries()

    def _hand_on(self, now: float) -> list[gossip.Send]:
        """Tells those that it watches, until they confirm."""
        sends = []
        for name in self.successors():
            left_for = self._left_to_store(name)
            if not self._late(self._said(name), now, left_for):
                self._tries_by_name.pop(name, None)
                continue
            tries = self._tries_by_name.setdefault(name, _Tries())
            if not tries.due(now):
                continue
            again = tries.count > 0
            tries.note(now)
            version = self._own(now, confirm=True, again=again)
            sends.append(gossip.Send(self._address(name), version, again))
        return sends

    def _answer(
        self, request: messages.CatalogRequest, now: float
    ) -> list[gossip.Send]:
        if request.version >= self._version:
            return []
        current = self._active_catalog.catalog
        offer = messages.CatalogOffer(
            messages.sender_of(self._directory.own),
            current.version,
            zlib.compress(current.record),
            self._age(now),
        )
        return [gossip.Send(request.sender.control, offer, request.is_retry)]

    # What this process lacks.

    def _newer(self, name: str, holder: _Holder) -> None:
        """A peer has a newer version; the store may be about to bring it."""
        known = self._holder_by_name.get(name)
        if known is not None:
            # It has had something newer since then.
            born = min(holder.born, known.born)
            holder = dataclasses.replace(holder, born=born)
        self._holder_by_name[name] = holder

    def _ask(self, now: float) -> list[gossip.Send]:
        """Asks one of those that have a newer version, each time another."""
        if not self._holder_by_name or not self._asking.due(now):
            return []
        since = min(one.born for one in self._holder_by_name.values())
        left_for = self._left_to_store(self._directory.own.name)
        if self._version and now - since < left_for:
            return []
        name, holder = next(iter(self._holder_by_name.items()))
        del self._holder_by_name[name]
        self._holder_by_name[name] = holder
        again = self._asking.count > 0 or holder.again
        self._asking.note(now)
        own = self._directory.own
        request = messages.CatalogRequest(
            messages.sender_of(own), own.boot, self._version, again
        )
        return [gossip.Send(holder.address, request, again)]

    # What is known of peers.

    def _note(self, name: str, said: _Said) -> None:
        """Keeps what a process said last.

        A new run may have less; a word of an earlier one may come late.
        """
        member = self._directory.member_by_name.get(name)
        if member is None or member.info.boot != said.boot:
            return
        if self._said_by_name.get(name) != said:
            self._tries_by_name.pop(name, None)
        self._said_by_name[name] = said

    def _said(self, name: str) -> int:
        info = self._directory.member_by_name[name].info
        said = self._said_by_name.get(name)
        if said is None or said.boot != info.boot:
            return info.config
        return said.version

    def _late(
        self, version: int, now: float, after: float = PEER_FALLBACK_DELAY
    ) -> bool:
        """Whether one with a version should have had a newer one by now.

        Counted from the first newer one: in a quick succession of versions the
        last is always young.

        Args:
            version: The version it has.
            now: Monotonic seconds.
            after: Seconds for which a version is left to the store.
        """
        for newer, born in self._born:
            if newer > version:
                return now - born >= after
        return False

    def _left_to_store(self, name: str) -> float:
        """Seconds for which a version is left to the store to tell somebody.

        It tells only those that wait there.
        """
        return PEER_FALLBACK_DELAY if self._reading.includes(name) else 0.0

    def _age(self, now: float) -> float:
        """Seconds for which the version in force has been known anywhere."""
        for version, born in reversed(self._born):
            if version == self._version:
                return round(now - born, 3)
        return 0.0

    # The ring.

    def successors(self) -> list[str]:
        """Processes to which this one hands versions on, the nearest first."""
        return self._at_distances(1)

    def _at_distances(self, direction: int) -> list[str]:
        """Processes at the distances, after this one or before it."""
        if self._ring_of != self._directory.generation:
            self._ring_of = self._directory.generation
            self._ring = self._order()
            self._forget()
        size = len(self._ring)
        own = self._ring.index(self._directory.own.name)
        places = [direction * far for far in RING_DISTANCES if far < size]
        return [self._ring[(own + place) % size] for place in places]

    def _forget(self) -> None:
        """Keeps nothing of processes that are not known any more."""
        for by_name in (self._said_by_name, self._tries_by_name):
            for name in set(by_name) - set(self._directory.member_by_name):
                del by_name[name]

    def _order(self) -> list[str]:
        """Processes in an order that says nothing of where they are.

        Neighbours by name share a failure domain, and what the store does not
        reach. Only those that all know each other are on one ring.
        """
        names = [
            name
            for name, member in self._directory.member_by_name.items()
            if member.usable and self._directory.gossips_with(member.info)
        ]
        return rendezvous.rank(_RING, [self._directory.own.name, *names])

    def _address(self, name: str) -> str:
        return self._directory.member_by_name[name].info.control
