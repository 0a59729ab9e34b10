"""Who is there: processes and their targets, with incarnations."""

import dataclasses

import xxhash

from forklift import messages

Liveness = messages.Liveness

SUSPICION_TIMEOUT = 3.0
DEAD_RETENTION = 600.0
# Processes remembered of a service that has no target here.
GATEWAYS_PER_SERVICE = 8
# Up to this many processes all are kept, whatever services they share: their
# descriptions are a few hundred bytes each.
FULL_MEMBERSHIP_LIMIT = 1024


@dataclasses.dataclass(frozen=True)
class Member:
    """What is known of one process.

    Attributes:
        info: Its latest description.
        liveness: How it is seen.
        since: Monotonic seconds of the last change of `liveness`.
    """

    info: messages.ProcessInfo
    liveness: Liveness
    since: float

    @property
    def usable(self) -> bool:
        """Whether requests may be sent to it."""
        return self.liveness <= Liveness.SUSPECT


def services(info: messages.ProcessInfo) -> frozenset[str]:
    """Names of the services that a process has targets of."""
    return frozenset(target.service for target in info.targets)


def _newer(info: messages.ProcessInfo, than: messages.ProcessInfo) -> bool:
    if info.boot != than.boot:
        return (info.started, info.boot) > (than.started, than.boot)
    return (info.incarnation, info.version) > (than.incarnation, than.version)


class Directory:
    """The processes known here; a set of rules for what overrides what.

    Those that share a service with this process are all kept. Of any other
    service a few are kept, to hand requests on to. A process that has no
    target yet keeps a few of every service.
    """

    def __init__(
        self, own: messages.ProcessInfo, full_membership_limit: int = 0
    ):
        self.own = own
        self._full_membership_limit = full_membership_limit
        self.member_by_name: dict[str, Member] = {}
        # Rises when somebody comes, goes, or changes services.
        self.generation = 0
        self._changed = {own.name}
        self._digest = 0

    def update_own(self, **changes: object) -> messages.ProcessInfo:
        """Describes this process anew."""
        version = self.own.version + 1
        fields = {
            name: getattr(self.own, name) for name in self.own.__struct_fields__
        }
        fields.update(changes, version=version)
        before = services(self.own)
        self.own = messages.ProcessInfo(**fields)
        self._changed.add(self.own.name)
        if services(self.own) != before:
            self.generation += 1
            self._rescope()
        return self.own

    def apply(
        self, rumor: messages.Rumor, now: float, direct: bool = False
    ) -> bool:
        """Takes news in; True when it is worth telling others.

        Figures that every heartbeat renews are taken in, and not told on.

        Args:
            rumor: The news.
            now: Monotonic seconds.
            direct: Whether the process itself tells it.
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
            if rumor.liveness >= Liveness.DEAD or not self._wanted(info):
                return False
            self._set(Member(info, rumor.liveness, now))
            return True
        if info.boot != known.info.boot:
            # A clock that was set back makes a new run look older; one that
            # speaks for itself while the other is silent is the newer one.
            back = direct and known.liveness is not Liveness.ALIVE
            if not back and not _newer(info, known.info):
                return False
            self._set(Member(info, rumor.liveness, now))
            return True
        return self._apply_same_boot(known, rumor, now)

    def apply_direct(self, info: messages.ProcessInfo, now: float) -> bool:
        """A process spoke to us itself, which is news as any other."""
        return self.apply(messages.Rumor(Liveness.ALIVE, info), now, True)

    def mark(self, name: str, liveness: Liveness, now: float) -> bool:
        """This process sees another one so; True when that is news."""
        known = self.member_by_name.get(name)
        if known is None or liveness <= known.liveness:
            return False
        self._set(Member(known.info, liveness, now))
        return True

    def expire(self, now: float) -> list[messages.Rumor]:
        """Turns old suspicions into deaths and forgets old deaths."""
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
        """What is known of a process, as news for others."""
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
        """Names of others that are not suspected, in order."""
        return sorted(
            name
            for name, member in self.member_by_name.items()
            if member.liveness is Liveness.ALIVE
        )

    def digest(self) -> int:
        """Equal on two processes that know the same."""
        return self._digest ^ _hash(Liveness.ALIVE, self.own)

    def gossips_with(self, info: messages.ProcessInfo) -> bool:
        """Whether a process is told news of, and tells ours."""
        if self.tracks_all:
            return True
        own = services(self.own)
        return not own or not own.isdisjoint(services(info))

    @property
    def tracks_all(self) -> bool:
        """Whether all processes are kept, as there are few."""
        return len(self.member_by_name) < self._full_membership_limit

    def _wanted(self, info: messages.ProcessInfo) -> bool:
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
        same_boot = rumor.info.boot == self.own.boot
        if rumor.liveness is Liveness.ALIVE or not same_boot:
            return False
        if rumor.info.incarnation < self.own.incarnation:
            return False
        self.update_own(incarnation=rumor.info.incarnation + 1)
        return True

    def take_changes(self) -> list[tuple[str, messages.ProcessInfo | None]]:
        """Names whose news was not taken yet; None for one not usable."""
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
        self._digest ^= self._part(member)
        if old is not None:
            self._digest ^= self._part(old)
        if old is None or _differs(old, member):
            self.generation += 1

    def _forget(self, name: str) -> None:
        old = self.member_by_name.pop(name, None)
        if old is not None:
            self._digest ^= self._part(old)
        self._changed.add(name)
        self.generation += 1

    def _part(self, member: Member) -> int:
        if self._full_membership_limit == 0 and services(self.own).isdisjoint(
            services(member.info)
        ):
            return 0
        return _hash(member.liveness, member.info)

    def _rescope(self) -> None:
        """The own services changed: the digest covers other members now."""
        self._digest = 0
        for member in self.member_by_name.values():
            self._digest ^= self._part(member)


def _differs(old: Member, new: Member) -> bool:
    if old.usable != new.usable:
        return True
    return services(old.info) != services(new.info)


def _hash(liveness: Liveness, info: messages.ProcessInfo) -> int:
    # Figures that every heartbeat renews are no difference worth a sync.
    states = sum(target.version for target in info.targets)
    parts = (info.name, info.boot, info.incarnation, states, int(liveness))
    text = str(parts)
    return xxhash.xxh3_64_intdigest(text.encode())
