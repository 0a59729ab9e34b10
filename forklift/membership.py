"""SWIM membership: the known processes and their liveness."""

import dataclasses

import xxhash

from forklift import messages

Liveness = messages.Liveness

# Seconds until a suspected process that has not refuted counts as dead.
SUSPICION_TIMEOUT = 3.0
# Seconds until a dead or departed process is forgotten.
DEAD_RETENTION = 600.0
# Maximum number of usable members tracked as gateways for each service that
# has no target on this process.
GATEWAYS_PER_SERVICE = 8
# While fewer members than this are known, processes are tracked even if they
# share no service. Their descriptions take a few hundred bytes each.
FULL_MEMBERSHIP_LIMIT = 1024


@dataclasses.dataclass(frozen=True)
class Member:
    """The state of another process.

    Attributes:
        info: Its latest description.
        liveness: Whether it is alive, as seen here.
        since: Monotonic seconds of the last change of `liveness`.
    """

    info: messages.ProcessInfo
    liveness: Liveness
    since: float

    @property
    def usable(self) -> bool:
        """Whether requests may be sent to this process."""
        return self.liveness <= Liveness.SUSPECT


def services(info: messages.ProcessInfo) -> frozenset[str]:
    """Names of the services that a process has targets for."""
    return frozenset(target.service for target in info.targets)


def _newer(info: messages.ProcessInfo, than: messages.ProcessInfo) -> bool:
    """Whether `info` is a later description of a process than `than`."""
    if info.boot != than.boot:
        return (info.started, info.boot) > (than.started, than.boot)
    return (info.incarnation, info.version) > (than.incarnation, than.version)


class Directory:
    """The members known to this process, and the rules for merging updates.

    All processes that share a service with this one are tracked. Of every other
    service only a few are tracked, as gateways to forward requests to. A
    process without targets tracks a few members of every service.
    """

    def __init__(
        self, own: messages.ProcessInfo, full_membership_limit: int = 0
    ):
        self.own = own
        self._full_membership_limit = full_membership_limit
        self.member_by_name: dict[str, Member] = {}
        # Increases when a process joins, becomes usable or unusable, changes
        # its services or is forgotten.
        self.membership_version = 0
        self._changed = {own.name}
        self._digest = 0

    def update_own(self, **changes: object) -> messages.ProcessInfo:
        """Updates the description of this process.

        Args:
            **changes: Fields of `messages.ProcessInfo` to replace.
        """
        version = self.own.version + 1
        fields = {
            name: getattr(self.own, name) for name in self.own.__struct_fields__
        }
        fields.update(changes, version=version)
        before = services(self.own)
        self.own = messages.ProcessInfo(**fields)
        self._changed.add(self.own.name)
        if services(self.own) != before:
            self.membership_version += 1
            self._rebuild_digest()
        return self.own

    def apply(
        self, rumor: messages.Rumor, now: float, direct: bool = False
    ) -> bool:
        """Merges an update about a process.

        Values that each heartbeat updates are merged but not propagated.

        Args:
            rumor: The update.
            now: Monotonic seconds.
            direct: Whether the described process sent the update itself.

        Returns:
            Whether the update should be propagated to peers.
        """
        info = rumor.info
        if info.name == self.own.name:
            return self._refute(rumor)
        before = self.member_by_name.get(info.name)
        if not self._apply_other(rumor, now, direct):
            return False
        after = self.member_by_name[info.name]
        if before is None:
            return True
        return _hash(before.liveness, before.info) != _hash(
            after.liveness, after.info
        )

    def _apply_other(
        self, rumor: messages.Rumor, now: float, direct: bool
    ) -> bool:
        info = rumor.info
        known = self.member_by_name.get(info.name)
        if known is None:
            if rumor.liveness >= Liveness.DEAD or not self._should_track(info):
                return False
            self._set(Member(info, rumor.liveness, now))
            return True
        if info.boot != known.info.boot:
            # A new run seems older if the clock was set back. It is accepted
            # if it sent the message itself and the known run is not alive.
            clock_set_back = direct and known.liveness is not Liveness.ALIVE
            if not clock_set_back and not _newer(info, known.info):
                return False
            self._set(Member(info, rumor.liveness, now))
            return True
        return self._apply_same_boot(known, rumor, now)

    def apply_direct(self, info: messages.ProcessInfo, now: float) -> bool:
        """Merges the description that a process sent of itself."""
        return self.apply(messages.Rumor(Liveness.ALIVE, info), now, True)

    def mark(self, name: str, liveness: Liveness, now: float) -> bool:
        """Records that this process found a member less alive.

        Returns:
            Whether the liveness changed.
        """
        known = self.member_by_name.get(name)
        if known is None or liveness <= known.liveness:
            return False
        self._set(Member(known.info, liveness, now))
        return True

    def expire(self, now: float) -> list[messages.Rumor]:
        """Declares members dead after the suspicion timeout.

        Members that have been dead or gone for long are forgotten.

        Returns:
            Rumors about newly dead members, to be propagated.
        """
        news = []
        for name, member in list(self.member_by_name.items()):
            age = now - member.since
            if member.liveness is Liveness.SUSPECT and age >= SUSPICION_TIMEOUT:
                self._set(Member(member.info, Liveness.DEAD, now))
                news.append(messages.Rumor(Liveness.DEAD, member.info))
            elif member.liveness >= Liveness.DEAD and age >= DEAD_RETENTION:
                self._forget(name)
        return news

    def rumor(self, name: str) -> messages.Rumor | None:
        """The state of a process as an update for peers; None if unknown."""
        if name == self.own.name:
            return messages.Rumor(Liveness.ALIVE, self.own)
        member = self.member_by_name.get(name)
        if member is None:
            return None
        return messages.Rumor(member.liveness, member.info)

    def usable(self) -> list[messages.ProcessInfo]:
        """This process and all others that requests may be sent to."""
        others = [m.info for m in self.member_by_name.values() if m.usable]
        return [self.own, *others]

    def alive(self) -> list[str]:
        """Names of the other processes that are not suspected, sorted."""
        return sorted(
            name
            for name, member in self.member_by_name.items()
            if member.liveness is Liveness.ALIVE
        )

    def digest(self) -> int:
        """Hash of the known state; equal on two processes in sync."""
        return self._digest ^ _hash(Liveness.ALIVE, self.own)

    def gossips_with(self, info: messages.ProcessInfo) -> bool:
        """Whether this process exchanges updates with another."""
        if self.tracks_all:
            return True
        own = services(self.own)
        return not own or not own.isdisjoint(services(info))

    @property
    def tracks_all(self) -> bool:
        """Whether all processes are tracked because the fleet is small."""
        return len(self.member_by_name) < self._full_membership_limit

    def _should_track(self, info: messages.ProcessInfo) -> bool:
        """Whether a process that is not known yet should be tracked."""
        if self.tracks_all:
            return True
        own = services(self.own)
        if not own.isdisjoint(services(info)):
            return True
        for service in services(info):
            gateways = sum(
                1
                for member in self.member_by_name.values()
                if member.usable and service in services(member.info)
            )
            if gateways < GATEWAYS_PER_SERVICE:
                return True
        return False

    def _apply_same_boot(
        self, known: Member, rumor: messages.Rumor, now: float
    ) -> bool:
        info = known.info
        if _newer(rumor.info, known.info):
            info = rumor.info
        liveness = known.liveness
        if known.liveness is not Liveness.LEFT:
            if rumor.info.incarnation > known.info.incarnation:
                liveness = rumor.liveness
            elif rumor.info.incarnation == known.info.incarnation:
                liveness = max(liveness, rumor.liveness)
        if info is known.info and liveness is known.liveness:
            return False
        since = known.since if liveness is known.liveness else now
        self._set(Member(info, Liveness(liveness), since))
        return True

    def _refute(self, rumor: messages.Rumor) -> bool:
        """Refutes a suspicion of this process with a higher incarnation."""
        same_boot = rumor.info.boot == self.own.boot
        if rumor.liveness is Liveness.ALIVE or not same_boot:
            return False
        if rumor.info.incarnation < self.own.incarnation:
            return False
        self.update_own(incarnation=rumor.info.incarnation + 1)
        return True

    def take_changes(self) -> list[tuple[str, messages.ProcessInfo | None]]:
        """Members changed since the last call; None if not usable."""
        changed, self._changed = self._changed, set()
        return [(name, self._usable_info(name)) for name in changed]

    def _usable_info(self, name: str) -> messages.ProcessInfo | None:
        if name == self.own.name:
            return self.own
        member = self.member_by_name.get(name)
        return member.info if member is not None and member.usable else None

    def _set(self, member: Member) -> None:
        name = member.info.name
        old = self.member_by_name.get(name)
        self.member_by_name[name] = member
        self._changed.add(name)
        self._digest ^= self._member_hash(member)
        if old is not None:
            self._digest ^= self._member_hash(old)
        if old is None or _changes_membership(old, member):
            self.membership_version += 1

    def _forget(self, name: str) -> None:
        old = self.member_by_name.pop(name, None)
        if old is not None:
            self._digest ^= self._member_hash(old)
        self._changed.add(name)
        self.membership_version += 1

    def _member_hash(self, member: Member) -> int:
        """Hash that a member adds to the digest; 0 if it is out of scope."""
        if self._full_membership_limit == 0 and services(self.own).isdisjoint(
            services(member.info)
        ):
            return 0
        return _hash(member.liveness, member.info)

    def _rebuild_digest(self) -> None:
        """Recomputes the digest after the services of this process changed."""
        self._digest = 0
        for member in self.member_by_name.values():
            self._digest ^= self._member_hash(member)


def _changes_membership(old: Member, new: Member) -> bool:
    if old.usable != new.usable:
        return True
    return services(old.info) != services(new.info)


def _hash(liveness: Liveness, info: messages.ProcessInfo) -> int:
    # Each ping carries the description of its sender. The hash leaves out
    # `info.version` and the fields that change with it alone, such as
    # `info.config`; a difference in them needs no sync.
    states = sum(target.version for target in info.targets)
    parts = (info.name, info.boot, info.incarnation, states, int(liveness))
    text = str(parts)
    return xxhash.xxh3_64_intdigest(text.encode())
