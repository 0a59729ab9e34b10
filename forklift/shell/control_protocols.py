"""Runs the protocols that exchange control messages with peers.

These are membership gossip, dissemination of configuration versions and
synchronization of the evidence for quarantined requests.
"""

import asyncio
import random
from collections.abc import Callable
from collections.abc import Collection

import structlog

from forklift import admission
from forklift import catalog
from forklift import compression
from forklift import dissemination
from forklift import fleet_size
from forklift import gossip
from forklift import idle_phases
from forklift import interfaces
from forklift import invalid_input
from forklift import load_balancer
from forklift import membership
from forklift import messages
from forklift import notice_memory
from forklift import quarantine as quarantines
from forklift import quarantine_sync
from forklift import store_readers
from forklift import stored_records
from forklift.shell import clock as clocks
from forklift.shell import local_targets
from forklift.shell import store_follower

_log = structlog.get_logger(__name__)
State = messages.TargetState

# Number of peers that a new process asks for the complete membership.
JOIN_PEER_COUNT = 3
# Maximum number of characters of the name of an invalid record in a log line.
MAX_LOGGED_NAME_CHARACTERS = 80
# Maximum size in bytes of a configuration record that a peer offers.
MAX_RECORD_BYTES = 1 << 25
# Minimum number of other processes in a failure domain for idle targets to be
# announced only there. Between domains, messages are expensive.
MIN_NEAR_PEERS = 4
# Seconds for which the list of these processes is used.
NEAR_PEERS_SECONDS = 1.0


class ControlProtocols:
    """Dispatches control messages to the protocols and sends their messages.

    Attributes:
        directory: The members known to this process.
        gossip: Membership gossip.
        quarantine_sync: Synchronization of evidence for quarantined requests.
        readers: Selects the processes that read from the store.
        dissemination: Dissemination of configuration versions.
        has_joined: Whether the store has listed the members, or a peer has
            sent a message.
        store_data_lost: Set when the store lost the record of this process.
        newest_announced_version: Newest configuration version that a peer
            reported as active; None if no peer reported any.
    """

    def __init__(
        self,
        own: messages.ProcessInfo,
        rng: random.Random,
        clock: clocks.SystemClock,
        active_catalog: catalog.ActiveCatalog,
        balancer: load_balancer.LoadBalancer,
        targets: local_targets.LocalTargets,
        send: Callable[[str, messages.Control, bool], object],
        on_configuration: Callable[[bytes, str], None],
        on_target_leaving: Callable[[str], None],
        quarantine: quarantines.Quarantine | None = None,
        on_stored_evidence: Callable[[str, bytes], None] = lambda name, data: (
            None
        ),
        notices: notice_memory.NoticeMemory | None = None,
        on_stored_departure: Callable[[str, bytes], None] = (
            lambda name, data: None
        ),
        on_records_read: Callable[[int], None] = lambda epoch: None,
    ):
        """Creates the protocols of a process that knows no peers.

        Args:
            own: Description of this process.
            rng: Random numbers for the protocols.
            clock: Source of time.
            active_catalog: The catalog that this process uses.
            balancer: Load balancer that is told of membership changes.
            targets: The local targets.
            send: Sends a message to an address; the flag requests a new
                connection.
            on_configuration: Called with each configuration record that a peer
                sends, and its source.
            on_target_leaving: Called with the name of a local target that a
                peer remembers as leaving.
            quarantine: Quarantine of this process.
            on_stored_evidence: Called with the name and the data of each
                stored record of evidence.
            notices: What targets have announced in responses.
            on_stored_departure: Called with the name and the data of each
                stored departure of a target.
            on_records_read: Called after all records in the store were read,
                with the epoch of the store.
        """
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
        self.store_data_lost = asyncio.Event()
        self.newest_announced_version: int | None = None
        self._fleet_size = fleet_size.FleetSize()
        self._rng = rng
        self._clock = clock
        self._active_catalog = active_catalog
        self._balancer = balancer
        self._local_targets = targets
        self._send_to = send
        self._on_configuration = on_configuration
        self._on_target_leaving = on_target_leaving
        self._on_stored_evidence = on_stored_evidence
        self._on_stored_departure = on_stored_departure
        self._on_records_read = on_records_read
        self._notices = notices or notice_memory.NoticeMemory(clock.wall)
        # Targets that were leaving when their process restarted.
        self._leaving_targets_by_process: dict[str, tuple[str, ...]] = {}
        # Processes to which idle targets are announced, and since when.
        self._control_by_near_peer: dict[str, str] = {}
        self._near_peers_at = float("-inf")

    @property
    def size_known(self) -> bool:
        """Whether the number of processes is known.

        Until then, only peers that have sent a message are known.
        """
        return self._fleet_size.is_known(self._clock.monotonic())

    @property
    def is_alone(self) -> bool:
        """Whether this is known to be the only process."""
        return self.size_known and not self.directory.member_by_name

    async def join(self, store: interfaces.Registry) -> None:
        """Registers this process at the store and discovers the others."""
        own = self.directory.own
        data = messages.encode(messages.announcement_of(own))
        await store_follower.join_fleet(
            store,
            self._rng,
            own.name,
            data,
            self._handle_store_members,
            self.store_data_lost,
            lambda: len(self.directory.member_by_name) + 1,
            _accepts_record,
        )

    def tick(self, now: float) -> None:
        """Runs the timers of all protocols.

        Args:
            now: Monotonic time in seconds.
        """
        self._send(self.gossip.tick(now))
        self._send(self.dissemination.tick(now))
        self._send(self.quarantine_sync.tick(now))
        self._apply_membership_changes()

    def is_active(self, now: float) -> bool:
        """Whether a protocol has messages that should be sent soon."""
        return (
            self.gossip.has_pending_rumors
            or self.quarantine_sync.has_changes
            or self.dissemination.is_active(now)
        )

    def handle_pause(self) -> None:
        """Requests evidence that may have been missed during a pause."""
        self._send(
            self.quarantine_sync.request_evidence(self._clock.monotonic())
        )

    def announce_idle_target(
        self,
        target: str,
        load: messages.Load,
        count: int,
        preferred: Collection[str] = (),
        any_kind: bool = False,
    ) -> None:
        """Announces an idle target to some processes, near ones if possible.

        Args:
            target: Name of the target.
            load: Its current load.
            count: Number of processes to ask.
            preferred: Names of processes that are known to have callers. Half
                of the announcements are sent to them.
            any_kind: Whether to ask for any request, and not for an idempotent
                one only.
        """
        address_by_name = self._near_peers()
        names = idle_phases.choose_peers(
            address_by_name, preferred, count, self._rng
        )
        sender = messages.sender_of(self.directory.own)
        message = messages.IdleTarget(sender, target, load, any_kind)
        self._send(
            [gossip.Send(address_by_name[name], message) for name in names]
        )

    def _near_peers(self) -> dict[str, str]:
        """Returns control addresses by process: of this failure domain, or all.

        In a domain of few processes none may have callers. The directory may
        hold thousands of processes, so the result is used for a while.
        """
        now = self._clock.monotonic()
        if now - self._near_peers_at < NEAR_PEERS_SECONDS:
            return self._control_by_near_peer
        own = self.directory.own
        infos = [
            member.info
            for name, member in self.directory.member_by_name.items()
            if member.liveness is messages.Liveness.ALIVE and name != own.name
        ]
        near = [info for info in infos if info.domain == own.domain]
        chosen = near if len(near) >= MIN_NEAR_PEERS else infos
        self._control_by_near_peer = {
            info.name: info.control for info in chosen
        }
        self._near_peers_at = now
        return self._control_by_near_peer

    def leave(self) -> None:
        """Announces to peers that this process is leaving."""
        self._send(self.gossip.leave())

    def _handle_store_members(self, read: interfaces.MembersRead) -> None:
        """Handles the records of processes and of evidence in the store.

        Asks a few processes for the complete membership; gossip reports the
        changes after that.
        """
        self.has_joined = True
        now = self._clock.monotonic()
        for name, data in read.data_by_name.items():
            if name == self.directory.own.name:
                continue
            try:
                record = stored_records.decode(name, data)
            except messages.MalformedMessage as error:
                _record_invalid(name, error)
                continue
            if isinstance(record, messages.StoredEvidence):
                self._on_stored_evidence(name, data)
                continue
            if not isinstance(record, messages.Announcement):
                self._on_stored_departure(name, data)
                continue
            # The record may be older than what gossip has reported.
            rumor = messages.Rumor(messages.Liveness.ALIVE, record.info)
            self.directory.apply(rumor, now)
        _log.info(
            "store_records_read",
            epoch=read.epoch,
            records=len(read.data_by_name),
            departures=sum(map(stored_records.is_departure, read.data_by_name)),
        )
        self._on_records_read(read.epoch)
        self._fleet_size.record_store_read(
            read.epoch, bool(self.directory.member_by_name), now
        )
        names = self.directory.alive()
        for name in self._rng.sample(names, min(JOIN_PEER_COUNT, len(names))):
            info = self.directory.member_by_name[name].info
            join = self.gossip.join(info.control)
            self._send([join])
        self._apply_membership_changes()

    def receive(self, message: messages.Control) -> None:
        """Handles a control message."""
        now = self._clock.monotonic()
        if isinstance(message, messages.CatalogOffer):
            self._accept_offer(message, now)
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
                message.target, message.load, now, message.any_kind
            )
            return
        if isinstance(message, messages.LeavingTargets):
            for name in message.names:
                self._on_target_leaving(name)
            return
        if isinstance(message.sender, messages.ProcessInfo):
            self._send_leaving_reminder(message.sender)
        self._send(self.gossip.receive(message, now))
        if not isinstance(message, messages.SyncReply):
            self._send(
                self.quarantine_sync.compare_digest(
                    message.sender.control, message.evidence_digest, now
                )
            )
        if isinstance(message, messages.SyncReply):
            self._fleet_size.record_sync(now)
        sender = message.sender
        if isinstance(sender, messages.ProcessInfo):
            self.has_joined = True
            self.newest_announced_version = max(
                self.newest_announced_version or 0, sender.config
            )
            self._send(self.dissemination.observe(sender, now))
        self._apply_membership_changes()

    def _send_leaving_reminder(self, peer: messages.ProcessInfo) -> None:
        """Reminds a restarted process of its targets that were leaving."""
        known = self.directory.member_by_name.get(peer.name)
        if known is not None and known.info.boot != peer.boot:
            leaving = tuple(
                target.name
                for target in known.info.targets
                if target.state in (State.DRAINING, State.LEFT)
            )
            if leaving:
                self._leaving_targets_by_process[peer.name] = leaving
        names = self._leaving_targets_by_process.get(peer.name, ())
        announced = {target.name for target in peer.targets}
        if known is None or known.info.boot == peer.boot:
            names = tuple(name for name in names if name in announced)
        names += self._leaving_by_own_notice(peer)
        if names:
            sender = messages.sender_of(self.directory.own)
            reminder = messages.LeavingTargets(sender, names)
            self._send([gossip.Send(peer.control, reminder)])

    def _leaving_by_own_notice(
        self, peer: messages.ProcessInfo
    ) -> tuple[str, ...]:
        """Returns targets that have announced here that they are leaving.

        A process that has restarted may have missed the announcement.
        """
        return tuple(
            self._notices.leaving_incarnation(target.name)
            for target in peer.targets
            if target.state is State.IN_SERVICE
            and self._notices.is_leaving(target.name)
        )

    def _accept_offer(self, offer: messages.CatalogOffer, now: float) -> None:
        """Accepts a newer configuration from a peer and announces it."""
        if offer.version <= self._active_catalog.catalog.version:
            return
        _log.info(
            "configuration_from_peer",
            version=offer.version,
            peer=offer.sender.name,
            age=offer.age,
        )
        try:
            record = compression.decompress(offer.compressed, MAX_RECORD_BYTES)
        except messages.MalformedMessage as error:
            invalid_input.record(
                invalid_input.Source.CONFIGURATION,
                str(error),
                name=offer.sender.name,
            )
            return
        self.dissemination.record_offer(offer, now)
        self._on_configuration(record, "peer")
        self._send(self.dissemination.tick(now))

    def _send(self, sends: list[gossip.Send]) -> None:
        for send in sends:
            self._send_to(send.address, send.message, send.new_connection)

    def _apply_membership_changes(self) -> None:
        """Passes membership changes on to the load balancer."""
        for name, info in self.directory.take_changes():
            if info is None:
                self._balancer.remove_process(name)
            else:
                self._balancer.update_process(info)
        if self.size_known:
            known = len(self.directory.member_by_name)
            self._balancer.process_count = known + 1

    def update_own_targets(self) -> bool:
        """Updates the targets of this process; True if they have changed."""
        targets = tuple(
            self._target_info(local_target.controller)
            for local_target in self._local_targets.by_name.values()
        )
        if targets == self.directory.own.targets:
            return False
        self.directory.update_own(targets=targets)
        return True

    def _target_info(
        self, controller: admission.Controller
    ) -> messages.TargetInfo:
        """Returns the data of a target that gossip distributes.

        These change seldom. Ejection and load change within seconds; they are
        sent with responses and in load updates.
        """
        return messages.TargetInfo(
            controller.name,
            controller.service,
            self.directory.own.domain,
            controller.slots,
            controller.state,
            1,
        )

    def publish_targets(self) -> None:
        """Announces changed targets of this process to peers at once."""
        if self.update_own_targets():
            self._apply_membership_changes()
            self.gossip.queue_rumor(self.directory.own.name)


def _accepts_record(name: str, data: bytes) -> bool:
    """Whether a record in the store is valid."""
    try:
        stored_records.decode(name, data)
    except messages.MalformedMessage as error:
        _record_invalid(name, error)
        return False
    return True


def _record_invalid(name: str, error: messages.MalformedMessage) -> None:
    invalid_input.record(
        invalid_input.Source.MEMBER,
        str(error),
        name=name[:MAX_LOGGED_NAME_CHARACTERS],
    )
