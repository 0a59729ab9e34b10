"""What this process and its peers tell each other of themselves."""

import asyncio
import random
import zlib
from collections.abc import Callable

import structlog

from forklift import admission
from forklift import catalog
from forklift import dissemination
from forklift import gossip
from forklift import interfaces
from forklift import invalid_input
from forklift import load_balancer
from forklift import membership
from forklift import messages
from forklift import quarantine as quarantines
from forklift import quarantine_sync
from forklift import store_readers
from forklift.shell import clock as clocks
from forklift.shell import local_targets
from forklift.shell import quarantine_store
from forklift.shell import store_follower

_log = structlog.get_logger(__name__)
State = messages.TargetState

# Processes that a new one asks for all they know.
JOIN_PEERS = 3
# Entries that are asked for work at a time: one may have no callers, either.
IDLE_ANNOUNCEMENT_FANOUT = 2


class ControlProtocols:
    """Membership, and what travels with it."""

    def __init__(
        self,
        own: messages.ProcessInfo,
        rng: random.Random,
        clock: clocks.SystemClock,
        active_catalog: catalog.ActiveCatalog,
        balancer: load_balancer.LoadBalancer,
        targets: local_targets.LocalTargets,
        send: Callable[[str, messages.Control, bool], object],
        on_record_received: Callable[[bytes, str], None],
        on_target_gone: Callable[[str], None],
        quarantine: quarantines.Quarantine | None = None,
        on_stored_evidence: Callable[[str, bytes], None] = lambda name, data: (
            None
        ),
    ):
        self.directory = membership.Directory(
            own, membership.FULL_MEMBERSHIP_LIMIT
        )
        quarantine = quarantine or quarantines.Quarantine()
        self.gossip = gossip.Gossip(self.directory, rng, quarantine.digest)
        self.quarantine_sync = quarantine_sync.QuarantineSync(
            self.directory, quarantine, self.gossip.peers, rng
        )
        self.readers = store_readers.StoreReaders(self.directory)
        self.dissemination = dissemination.Dissemination(
            self.directory, active_catalog, self.readers
        )
        self.has_joined = False
        # Set where the store lost what this process had written.
        self.store_data_lost = asyncio.Event()
        # The newest version that any process said of itself to have.
        self.newest_announced_version: int | None = None
        # Whether the number of processes is known: one that was only spoken to
        # by another knows two of many.
        self._size_known = False
        self._rng = rng
        self._clock = clock
        self._active_catalog = active_catalog
        self._balancer = balancer
        self._local_targets = targets
        self._send_to = send
        self._on_record_received = on_record_received
        self._on_target_gone = on_target_gone
        self._on_stored_evidence = on_stored_evidence
        # Targets that an earlier run of a process had let go.
        self._leaving_by_process: dict[str, tuple[str, ...]] = {}

    @property
    def size_known(self) -> bool:
        """Whether the number of processes is known."""
        return self._size_known

    @property
    def is_alone(self) -> bool:
        """Whether it is known that there is no other process."""
        return self._size_known and not self.directory.member_by_name

    async def join(self, store: interfaces.Registry) -> None:
        """Makes this process known and finds others, by the store."""
        own = self.directory.own
        data = messages.encode(messages.announcement_of(own))
        await store_follower.join_fleet(
            store,
            self._rng,
            own.name,
            data,
            self._members,
            self.store_data_lost,
            lambda: len(self.directory.member_by_name) + 1,
        )

    def tick(self, now: float) -> None:
        """Lets time pass."""
        self._send(self.gossip.tick(now))
        self._send(self.dissemination.tick(now))
        self._send(self.quarantine_sync.tick(now))
        self._learn()

    def is_active(self, now: float) -> bool:
        """Whether there is something to tell that does not wait."""
        return (
            self.gossip.has_pending_rumors
            or self.quarantine_sync.has_changes
            or self.dissemination.is_active(now)
        )

    def handle_pause(self) -> None:
        """This process stood still, and may have missed what others told."""
        self._send(
            self.quarantine_sync.request_evidence(self._clock.monotonic())
        )

    def announce_idle_target(self, target: str, load: messages.Load) -> None:
        """Has some entries of this failure domain send work to a target."""
        near = [
            member.info.control
            for member in self.directory.member_by_name.values()
            if member.liveness is messages.Liveness.ALIVE
            and member.info.domain == self.directory.own.domain
        ]
        sender = messages.sender_of(self.directory.own)
        asked = self._rng.sample(near, min(IDLE_ANNOUNCEMENT_FANOUT, len(near)))
        for address in asked:
            message = messages.IdleTarget(sender, target, load)
            self._send([gossip.Send(address, message)])

    def leave(self) -> None:
        """Tells peers that this process is leaving."""
        self._send(self.gossip.leave())

    def _members(self, data_by_name: dict[str, bytes]) -> None:
        """Others announced themselves on the store.

        A few of them are asked for all they know; gossip brings the rest.
        """
        self.has_joined = True
        self._size_known = True
        now = self._clock.monotonic()
        for name, data in data_by_name.items():
            if name == self.directory.own.name:
                continue
            if name.startswith(quarantine_store.RECORD_PREFIX):
                self._on_stored_evidence(name, data)
                continue
            try:
                record = messages.decode_announcement(name, data)
            except messages.MalformedMessage as error:
                invalid_input.record(
                    invalid_input.Source.MEMBER, str(error), name=name
                )
                continue
            # It may be of an earlier run than what is known by now.
            rumor = messages.Rumor(messages.Liveness.ALIVE, record.info)
            self.directory.apply(rumor, now)
        names = self.directory.alive()
        for name in self._rng.sample(names, min(JOIN_PEERS, len(names))):
            info = self.directory.member_by_name[name].info
            join = self.gossip.join(info.control)
            self._send([join])
        self._learn()

    def receive(self, message: messages.Control) -> None:
        """A control message arrived."""
        now = self._clock.monotonic()
        if isinstance(message, messages.CatalogOffer):
            self._take(message, now)
            return
        if isinstance(
            message, messages.CatalogVersion | messages.CatalogRequest
        ):
            self._send(self.dissemination.receive(message, now))
            return
        if isinstance(message, messages.SuspectedRequests):
            self._send(self.quarantine_sync.receive(message, now))
            return
        if isinstance(message, messages.IdleTarget):
            self._balancer.record_work_request(
                message.target, message.load, now
            )
            return
        if isinstance(message, messages.LeavingTargets):
            for name in message.names:
                self._on_target_gone(name)
            return
        if isinstance(message.sender, messages.ProcessInfo):
            self._remind(message.sender)
        self._send(self.gossip.receive(message, now))
        if not isinstance(message, messages.SyncReply):
            self._send(
                self.quarantine_sync.compare_digest(
                    message.sender.control, message.evidence_digest, now
                )
            )
        if isinstance(message, messages.SyncReply):
            self._size_known = True
        sender = message.sender
        if isinstance(sender, messages.ProcessInfo):
            self.has_joined = True
            self.newest_announced_version = max(
                self.newest_announced_version or 0, sender.config
            )
            self._send(self.dissemination.observe(sender, now))
        self._learn()

    def _remind(self, peer: messages.ProcessInfo) -> None:
        """Tells a process that started again which targets it had let go."""
        known = self.directory.member_by_name.get(peer.name)
        if known is not None and known.info.boot != peer.boot:
            leaving = tuple(
                target.name
                for target in known.info.targets
                if target.state in (State.DRAINING, State.LEFT)
            )
            if leaving:
                self._leaving_by_process[peer.name] = leaving
        names = self._leaving_by_process.get(peer.name, ())
        held = {target.name for target in peer.targets}
        if known is None or known.info.boot == peer.boot:
            names = tuple(name for name in names if name in held)
        if names:
            sender = messages.sender_of(self.directory.own)
            reminder = messages.LeavingTargets(sender, names)
            self._send([gossip.Send(peer.control, reminder)])

    def _take(self, offer: messages.CatalogOffer, now: float) -> None:
        """A peer hands its configuration over; it is told on at once."""
        if offer.version <= self._active_catalog.catalog.version:
            return
        _log.info(
            "configuration_handed_on",
            version=offer.version,
            peer=offer.sender.name,
            age=offer.age,
        )
        self.dissemination.record_offer(offer, now)
        self._on_record_received(zlib.decompress(offer.compressed), "peer")
        self._send(self.dissemination.tick(now))

    def _send(self, sends: list[gossip.Send]) -> None:
        for send in sends:
            self._send_to(send.address, send.message, send.new_connection)

    def _learn(self) -> None:
        """Takes news of members over into the choice of targets."""
        for name, info in self.directory.take_changes():
            if info is None:
                self._balancer.remove_process(name)
            else:
                self._balancer.update_process(info)
        if self._size_known:
            known = len(self.directory.member_by_name)
            self._balancer.process_count = known + 1

    def update_own_targets(self) -> bool:
        """Describes this process anew; True when that is news."""
        targets = tuple(
            self._info(local_target.controller)
            for local_target in self._local_targets.by_name.values()
        )
        if targets == self.directory.own.targets:
            return False
        self.directory.update_own(targets=targets)
        return True

    def _info(self, found: admission.Controller) -> messages.TargetInfo:
        """What every process is told: only what seldom changes.

        Doubt and load come and go within seconds; they travel on answers and
        to those that send here.
        """
        return messages.TargetInfo(
            found.name,
            found.service,
            self.directory.own.domain,
            found.slots,
            found.state,
            1,
        )

    def publish_targets(self) -> None:
        """Tells peers of this process's targets at once."""
        if self.update_own_targets():
            self._learn()
            self.gossip.queue_rumor(self.directory.own.name)
