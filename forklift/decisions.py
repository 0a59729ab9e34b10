"""All decisions of one process, tied together, without any I/O.

Messages, records and time come in through methods; what is to be done goes
out through the `Effects` handed in. The asyncio shell carries them in the
real program; experiments and test benches attach here with adapters.
"""

import dataclasses
import random
from collections.abc import Callable

import structlog

from forklift import configuration
from forklift import effective
from forklift import entry
from forklift import errors
from forklift import gossip
from forklift import guard
from forklift import localtarget
from forklift import membership
from forklift import messages
from forklift import ownership
from forklift import permits
from forklift import policy
from forklift import ports

_log = structlog.get_logger(__name__)
State = messages.TargetState

SLOW_PERIOD = 0.5
COMPARE_PERIOD = 0.2
OFFER_PERIOD = 1.0
OFFER_BYTES = 128_000
JOIN_PERIOD = 1.0
RECENT = 0.1


@dataclasses.dataclass(frozen=True)
class Effects:
    """What decisions may do to the world.

    Attributes:
        send: Sends a control message to an address; it may be lost.
        append: Appends a record to the stream of leases, some time soon.
        settle: Carries out decisions on requests that waited.
        probe: Asks the health endpoint of a target.
        began: A lease was taken over.
    """

    send: Callable[[str, messages.Control], object]
    append: Callable[[messages.Takeover | messages.Release], None]
    settle: Callable[[tuple[guard.Decision, ...]], None]
    probe: Callable[[str], None]
    began: Callable[[ownership.Began], None]


class Decisions:
    """The decisions of one process in both its roles."""

    def __init__(
        self,
        info: messages.ProcessInfo,
        effects: Effects,
        clock: ports.Clock,
        rng: random.Random,
        retention: float,
        join: tuple[str, ...] = (),
    ):
        self._effects = effects
        self._clock = clock
        self._rng = rng
        self._join_addresses = join
        self.directory = membership.Directory(info)
        self.gossip = gossip.Gossip(self.directory, rng)
        self.configuration = configuration.Configuration()
        self.effective = effective.NOTHING
        self.policy_by_name: dict[str, policy.Policy] = {}
        self.entry = entry.Entry(info.name, info.domain, rng)
        self.guard = guard.Guard()
        self.domain_by_target: dict[str, str] = {}
        self.owner = ownership.Owner(self.directory, retention)
        self.permits = permits.Permits(
            self.directory,
            self.owner,
            self.guard,
            self.program,
            effects.send,
            clock,
        )
        self.permits.on_change = self.describe
        self.permits.on_refused = effects.settle
        self._learnt_services: frozenset[str] = frozenset()
        self._next_slow = 0.0
        self._next_compare = 0.0
        self._offered_at_by_name: dict[str, float] = {}
        self._joined_at = float("-inf")

    # Questions.

    def program(self, service: str) -> policy.Service | None:
        """The program of a service in force."""
        return self.effective.services_by_name.get(service)

    def own_services(self) -> list[str]:
        """Services that have a target beside this process."""
        return sorted(membership.services(self.directory.own))

    # Targets.

    def announce(
        self, name: str, service: str, domain: str, slots: int
    ) -> localtarget.LocalTarget:
        """A target announces itself, or renews.

        Raises:
            errors.UserError: Its service is not declared.
        """
        program = self.program(service)
        if program is None:
            raise errors.UserError(
                f"service {service} is not declared; publish a policy "
                "with it, then announce again"
            )
        known = self.guard.target_by_name.get(name)
        version = known.standing.version if known else 0
        if known is not None and known.standing.state is State.DRAINING:
            return known
        self.domain_by_target[name] = domain
        now = self._clock.monotonic()
        target = self.guard.announce(name, service, slots, program, now)
        if target.standing.version != version:
            self.describe()
        return target

    def drain(self, name: str) -> None:
        """A target is to take no new request."""
        now = self._clock.monotonic()
        self._effects.settle(self.guard.drain(name, now))
        _log.info("target_draining", target=name)
        self.describe()

    def leave(self, name: str) -> None:
        """A target is gone."""
        now = self._clock.monotonic()
        self._effects.settle(self.guard.leave(name, now))
        _log.info("target_left", target=name)
        self.describe()

    def describe(self) -> None:
        """Tells peers of this process's targets at once."""
        self._describe()
        self._learn()
        self.gossip.spread(self.directory.own.name)

    # Time.

    def tick(self) -> None:
        """Lets time pass; to be called many times a second."""
        now = self._clock.monotonic()
        self._effects.settle(self.guard.observe(now))
        self._learn()
        before = self._versions()
        decisions, actions = self.guard.tick(now)
        self._effects.settle(decisions)
        self.act(actions)
        if self._versions() != before:
            self._log_changes(now)
            self.describe()
        if now >= self._next_compare:
            self._next_compare = now + COMPARE_PERIOD
            for target in self.guard.target_by_name.values():
                target.compare(self.entry.normal(target.service))
        if now >= self._next_slow:
            self._next_slow = now + SLOW_PERIOD
            self._tick_slowly(now)
        self._send(self.gossip.tick(now))

    def act(self, actions: tuple[guard.Action, ...]) -> None:
        """Carries out what the guard wants done."""
        for action in actions:
            if isinstance(action, guard.Probe):
                self._effects.probe(action.target)
            else:
                self.permits.act(action)

    # News.

    def receive(self, message: messages.Control) -> None:
        """A control message arrived."""
        now = self._clock.monotonic()
        if isinstance(message, messages.VersionOffer):
            if self.configuration.adopt(message.renewal):
                self.follow(message.renewal.publication.policy)
        elif isinstance(message, messages.PromiseRequest):
            promise = self.owner.promise(message)
            if promise is not None:
                self._effects.send(message.sender.control, promise)
        elif isinstance(message, messages.Promise):
            self.owner.promised(message)
        elif isinstance(message, permits.MESSAGES):
            self.permits.receive(message)
        else:
            self._send(self.gossip.receive(message, now))
            self._offer_versions(message, now)

    def lease(self, record: messages.Takeover | messages.Release) -> None:
        """A record of a lease was read from the log."""
        began = self.owner.apply(record, self._clock.monotonic())
        if began is not None:
            self._effects.began(began)

    def member(self, info: messages.ProcessInfo) -> None:
        """An announcement of a process was read from the log."""
        own = self.directory.own
        known = self.directory.member_by_name.get(info.name)
        if info.boot == own.boot:
            return
        if known is not None and known.info.boot == info.boot:
            return
        now = self._clock.monotonic()
        shares = self.directory.shares(info)
        if self.directory.hear(info, now) and shares:
            self._send([self.gossip.join(info.control)])

    def follow(self, name: str) -> None:
        """A version of a policy came into force."""
        version = self.configuration.version(name)
        try:
            read = policy.parse(name, version.publication.text)
        except errors.FileProblems as error:
            _log.error("policy_unusable", policy=name, detail=str(error))
            return
        self.policy_by_name[name] = read
        self.effective = effective.merge(self.policy_by_name)
        programs = self.effective.services_by_name
        self.entry.follow(programs)
        self.guard.follow(programs)
        self._teach()
        _log.info(
            "policy_in_force",
            policy=name,
            version=version.number,
            author=version.publication.author,
        )
        self._describe()

    def _tick_slowly(self, now: float) -> None:
        self._describe()
        for action in self.owner.tick(self.own_services(), now):
            if isinstance(action, ownership.Append):
                self._effects.append(action.record)
            else:
                self._effects.send(action.address, action.message)
        self._join(now)

    def _describe(self) -> None:
        now = self._clock.monotonic()
        before = membership.services(self.directory.own)
        self.directory.update_own(
            targets=tuple(
                self._info(target, now)
                for target in self.guard.target_by_name.values()
                if target.standing.state is not State.LEFT
            ),
            config=self.configuration.total,
            unheard=self.gossip.unheard()[:16],
        )
        if membership.services(self.directory.own) != before:
            self._meet()

    def _info(
        self, target: localtarget.LocalTarget, now: float
    ) -> messages.TargetInfo:
        return messages.TargetInfo(
            target.name,
            target.service,
            self.domain_by_target[target.name],
            target.slots,
            target.standing.state,
            round(target.standing.weight(now), 3),
            target.standing.version,
            round(target.judge.latency_now(now), 4),
            round(target.judge.failure_share, 3),
        )

    def _meet(self) -> None:
        """Asks a few that share a service now for all they know."""
        sharing = [
            member.info.control
            for member in self.directory.member_by_name.values()
            if member.usable and self.directory.shares(member.info)
        ]
        for address in sharing[: gossip.FAN_OUT]:
            self._send([self.gossip.join(address)])

    def _learn(self) -> None:
        own = membership.services(self.directory.own)
        if own != self._learnt_services:
            self._learnt_services = own
            self._teach()
        for name, info in self.directory.take_changes():
            if info is None:
                self.entry.forget(name)
            else:
                self.entry.learn(info, own)

    def _teach(self) -> None:
        own = membership.services(self.directory.own)
        for info in self.directory.usable():
            self.entry.learn(info, own)

    def _versions(self) -> int:
        return sum(
            target.standing.version
            for target in self.guard.target_by_name.values()
        )

    def _log_changes(self, now: float) -> None:
        for target in self.guard.target_by_name.values():
            changes = target.standing.changes
            if not changes or now - changes[-1].at > RECENT:
                continue
            change = changes[-1]
            _log.info(
                "target_state",
                target=target.name,
                service=target.service,
                before=str(change.before),
                after=str(change.after),
                cause=change.cause,
            )

    def _join(self, now: float) -> None:
        """Asks the addresses in the settings, while nobody is known."""
        known = any(
            self.directory.shares(member.info)
            for member in self.directory.member_by_name.values()
            if member.usable
        )
        if known or now - self._joined_at < JOIN_PERIOD:
            return
        self._joined_at = now
        for address in self._join_addresses:
            if address != self.directory.own.control:
                self._send([self.gossip.join(address)])

    def _offer_versions(self, message: messages.Control, now: float) -> None:
        """Hands what is in force to a peer that is behind."""
        if isinstance(message, messages.Pong):
            return
        sender = message.sender
        behind = sender.config < self.configuration.total
        asked = isinstance(message, messages.SyncRequest)
        last = self._offered_at_by_name.get(sender.name, float("-inf"))
        if not behind or (now - last < OFFER_PERIOD and not asked):
            return
        self._offered_at_by_name[sender.name] = now
        left = OFFER_BYTES
        bases = self.configuration.bases()
        self._rng.shuffle(bases)
        for base in bases:
            left -= len(base.publication.text)
            if left < 0:
                return
            offer = messages.VersionOffer(self.directory.own, base)
            self._effects.send(sender.control, offer)

    def _send(self, sends: list[gossip.Send]) -> None:
        for send in sends:
            self._effects.send(send.address, send.message)
