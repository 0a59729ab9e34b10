"""Which process holds which lease, and what it does to get and keep it."""

import dataclasses
from collections.abc import Iterable

from forklift import gossip
from forklift import keys
from forklift import leases
from forklift import membership
from forklift import messages
from forklift import overlay

STAGGER = 1.0
# A lease that nobody ever held waits until the service's processes have met.
SETTLE = 2.0
REFRESH_SHARE = 1 / 3
APPEND_AGAIN = 3.0


def resource(service: str, shard: int) -> str:
    """Name of a lease; shard 0 also owns the service's floor."""
    return f"{service}/{shard}"


def resources(service: str) -> list[str]:
    """All leases of a service."""
    return [resource(service, shard) for shard in range(keys.SHARDS)]


@dataclasses.dataclass(frozen=True)
class Append:
    """A record is to be appended to the stream of leases."""

    record: messages.Takeover | messages.Release


@dataclasses.dataclass(frozen=True)
class Began:
    """This process holds a lease from `holding.starts` on.

    Attributes:
        holding: The lease.
        before: The grant it replaced.
    """

    holding: leases.Holding
    before: leases.Grant


class Owner:
    """The leases of this process, and its part in those of others."""

    def __init__(self, directory: membership.Directory, retention: float):
        self._directory = directory
        self._retention = retention
        self.table = leases.Table()
        self.promises = leases.Promises()
        self.holding_by_resource: dict[str, leases.Holding] = {}
        self._gone_since_by_resource: dict[str, float] = {}
        self._asked_by_resource: dict[str, float] = {}
        self._written_by_resource: dict[str, float] = {}
        self._number = 0
        self._next_promises = 0.0
        self.stopping = False

    # What the log tells.

    def apply(
        self, record: messages.Takeover | messages.Release, now: float
    ) -> Began | None:
        """Takes a record of the log in."""
        before = self.table.apply(record)
        if before is None:
            return None
        name = record.resource
        grant = self.table.grant_by_resource[name]
        own = grant.boot == self._directory.own.boot
        holding = self.holding_by_resource.get(name)
        if not own or grant.released:
            self.holding_by_resource.pop(name, None)
            return None
        self._written_by_resource[name] = now
        if holding is not None and holding.grant.epoch == grant.epoch:
            holding.refreshed(grant)
            return None
        starts = leases.starts_at(before, grant.holder, grant.boot, now)
        holding = leases.Holding(name, grant, now, starts)
        self.holding_by_resource[name] = holding
        return Began(holding, before)

    def confirmed(self, read_sent: float) -> None:
        """The leases were read to the end by a read sent then."""
        for holding in self.holding_by_resource.values():
            holding.confirm(read_sent)

    def missed(self) -> None:
        """Records were taken by retention, unread: nothing is held now."""
        self.table.missed()
        self.holding_by_resource.clear()

    # What peers tell.

    def promise(
        self, request: messages.PromiseRequest
    ) -> messages.Promise | None:
        """Answers a holder; None refuses."""
        allowed = self.promises.may(request.resource, request.epoch, self.table)
        if not allowed:
            return None
        return messages.Promise(
            messages.sender(self._directory.own),
            request.resource,
            request.epoch,
            request.number,
        )

    def promised(self, promise: messages.Promise) -> None:
        """A successor gave its promise."""
        holding = self.holding_by_resource.get(promise.resource)
        if holding is not None and holding.grant.epoch == promise.epoch:
            holding.promised(promise.number, promise.sender.name)

    # Questions.

    def holder(self, name: str) -> str | None:
        """Name of the holder of a lease, as far as is known here."""
        grant = self.table.grant_by_resource.get(name)
        if grant is None or grant.released:
            return None
        return grant.holder

    def held(self, name: str, now: float) -> leases.Holding | None:
        """The lease, where this process holds it at this moment."""
        holding = self.holding_by_resource.get(name)
        if holding is not None and holding.held(now):
            return holding
        return None

    # Time.

    def tick(
        self, services: Iterable[str], now: float
    ) -> list[Append | gossip.Send]:
        """Lets time pass for the leases of some services."""
        actions: list[Append | gossip.Send] = []
        for service in services:
            for name in resources(service):
                actions += self._seek(name, service, now)
        if now >= self._next_promises:
            self._next_promises = now + leases.PROMISE_PERIOD
            for holding in self.holding_by_resource.values():
                actions += self._ask_promises(holding, now)
        return actions

    def release(self, name: str, known_from: float) -> messages.Release | None:
        """Gives a lease up at once; the record tells others."""
        holding = self.holding_by_resource.get(name)
        if holding is None:
            return None
        holding.released = True
        grant = holding.grant
        return messages.Release(name, grant.epoch, grant.boot, known_from)

    def _candidates(self, service: str) -> list[messages.ProcessInfo]:
        """Processes beside a target of a service; this one may be one."""
        alive = set(self._directory.alive())
        alive.add(self._directory.own.name)
        return [
            info
            for info in self._directory.usable()
            if info.name in alive and serves(info, service)
        ]

    def _seek(self, name: str, service: str, now: float) -> list[Append]:
        own = self._directory.own
        grant = self.table.grant_by_resource.get(name)
        if grant is not None and not grant.released:
            if grant.boot == own.boot:
                infos = self._candidates(service)
                return self._refresh(name, grant, infos, now)
            if self._is_there(grant):
                self._gone_since_by_resource.pop(name, None)
                return []
        infos = self._candidates(service)
        names = [info.name for info in infos]
        if self.stopping or own.name not in names:
            return []
        since = self._gone_since_by_resource.setdefault(name, now)
        turn = self._order(name, grant, names).index(own.name)
        asked = self._asked_by_resource.get(name, -APPEND_AGAIN)
        wait = turn * STAGGER + (SETTLE if grant is None else 0.0)
        if now < since + wait or now < asked + APPEND_AGAIN:
            return []
        self._asked_by_resource[name] = now
        epoch = grant.epoch if grant else 0
        self.promises.take(name, epoch)
        record = messages.Takeover(
            name, epoch + 1, own.name, own.boot, self._heirs(name, infos)
        )
        return [Append(record)]

    def _refresh(
        self,
        name: str,
        grant: leases.Grant,
        infos: list[messages.ProcessInfo],
        now: float,
    ) -> list[Append]:
        holding = self.holding_by_resource.get(name)
        if holding is None or self.stopping:
            return []
        written = self._written_by_resource.get(name, now)
        old = now - written >= self._retention * REFRESH_SHARE
        heirs = grant.successors
        alive = {info.name for info in infos}
        if not set(heirs) <= alive or len(heirs) < leases.SUCCESSORS:
            heirs = self._heirs(name, infos)
        asked = self._asked_by_resource.get(name, -APPEND_AGAIN)
        if not old and heirs == grant.successors:
            return []
        if now < asked + APPEND_AGAIN:
            return []
        self._asked_by_resource[name] = now
        holding.rename(heirs)
        record = messages.Takeover(
            name, grant.epoch, grant.holder, grant.boot, heirs, True
        )
        return [Append(record)]

    def _ask_promises(
        self, holding: leases.Holding, now: float
    ) -> list[gossip.Send]:
        sends = []
        for name in sorted(holding.successors()):
            member = self._directory.member_by_name.get(name)
            if member is None:
                continue
            self._number += 1
            holding.ask(self._number, name, now)
            request = messages.PromiseRequest(
                messages.sender(self._directory.own),
                holding.resource,
                holding.grant.epoch,
                self._number,
            )
            sends.append(gossip.Send(member.info.control, request))
        return sends

    def _order(
        self, name: str, grant: leases.Grant | None, names: list[str]
    ) -> list[str]:
        ranked = overlay.rank(name, names)
        if grant is None:
            return ranked
        heirs = [n for n in ranked if n in grant.successors]
        return heirs + [n for n in ranked if n not in heirs]

    def _heirs(
        self, name: str, infos: list[messages.ProcessInfo]
    ) -> tuple[str, ...]:
        """Successors, in other failure domains where there are any."""
        own = self._directory.own
        info_by_name = {i.name: i for i in infos if i.name != own.name}
        ranked = overlay.rank(name, info_by_name)
        domains = {own.domain}
        heirs: list[str] = []
        for apart in (True, False):
            for heir in ranked:
                domain = info_by_name[heir].domain
                if heir in heirs or (apart and domain in domains):
                    continue
                if len(heirs) < leases.SUCCESSORS:
                    heirs.append(heir)
                    domains.add(domain)
        return tuple(heirs)

    def _is_there(self, grant: leases.Grant) -> bool:
        member = self._directory.member_by_name.get(grant.holder)
        if member is None or not member.usable:
            return False
        return member.info.boot == grant.boot


def serves(info: messages.ProcessInfo, service: str) -> bool:
    """Whether a process has a target of a service beside it."""
    return any(target.service == service for target in info.targets)
