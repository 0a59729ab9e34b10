"""Asks for permits to eject, and grants them where this process may."""

import itertools

import structlog

from forklift import floor
from forklift import guard
from forklift import localtarget
from forklift import messages
from forklift import ownership

_log = structlog.get_logger(__name__)
State = messages.TargetState
_GONE = (State.DRAINING, State.LEFT)
MAX_PENDING = 1024
MESSAGES = (
    messages.PermitRequest,
    messages.PermitReply,
    messages.PermitReturn,
)


class Permits:
    """Both sides of the permits: a guard that asks, a floor owner."""

    def __init__(self, directory, owner, decisions, program, send, clock):
        """Ties the parts together.

        Args:
            directory: The `membership.Directory`.
            owner: The `ownership.Owner`.
            decisions: The `guard.Guard`.
            program: Gives the `policy.Service` of a name, or None.
            send: Sends a control message to an address.
            clock: The clock.
        """
        self._directory = directory
        self._owner = owner
        self._guard = decisions
        self._program = program
        self._send = send
        self._clock = clock
        self._numbers = itertools.count(1)
        self._asked_by_number: dict[int, tuple[str, float]] = {}
        self._ledger_by_epoch: dict[tuple[str, int], floor.Ledger] = {}
        self.granted = 0
        self.denied = 0
        self.on_change = lambda: None
        self.on_refused = lambda refused: None

    def act(self, action: guard.AskPermit | guard.GivePermitBack) -> None:
        """Carries out what the guard wants of the floor owner."""
        name = ownership.resource(action.service, 0)
        holder = self._owner.holder(name)
        if holder is None:
            return
        own = messages.sender(self._directory.own)
        if isinstance(action, guard.GivePermitBack):
            back = messages.PermitReturn(own, action.service, action.target)
            self._to(holder, back)
            return
        number = next(self._numbers)
        now = self._clock.monotonic()
        self._asked_by_number[number] = (action.target, now)
        if len(self._asked_by_number) > MAX_PENDING:
            del self._asked_by_number[next(iter(self._asked_by_number))]
        request = messages.PermitRequest(
            own,
            action.service,
            action.target,
            action.held,
            action.slow,
            number,
        )
        self._to(holder, request)

    def receive(self, message: messages.Control) -> None:
        """Takes a message about permits in."""
        if isinstance(message, messages.PermitRequest):
            reply = self._decide(message)
            if reply is not None:
                self._to(message.sender.name, reply)
        elif isinstance(message, messages.PermitReply):
            self._reply(message)
        elif isinstance(message, messages.PermitReturn):
            ledger = self._ledger(message.service)
            if ledger is not None:
                ledger.give_back(message.target)

    def out(self, service: str) -> dict[str, float] | None:
        """Permits that stand, where this process grants them."""
        ledger = self._ledger(service)
        return dict(ledger.until_by_target) if ledger else None

    def _to(self, name: str, message: messages.Control) -> None:
        if name == self._directory.own.name:
            self.receive(message)
            return
        member = self._directory.member_by_name.get(name)
        if member is not None:
            self._send(member.info.control, message)

    def _ledger(self, service: str) -> floor.Ledger | None:
        name = ownership.resource(service, 0)
        holding = self._owner.held(name, self._clock.monotonic())
        if holding is None:
            return None
        place = (service, holding.grant.epoch)
        ledger = self._ledger_by_epoch.get(place)
        if ledger is None:
            ledger = floor.Ledger(service, holding.starts)
            self._ledger_by_epoch[place] = ledger
        return ledger

    def _decide(
        self, request: messages.PermitRequest
    ) -> messages.PermitReply | None:
        ledger = self._ledger(request.service)
        program = self._program(request.service)
        if ledger is None or program is None:
            return None
        now = self._clock.monotonic()
        verdict = ledger.ask(
            request.target,
            request.held,
            request.slow,
            self._capacity(request.service, program.floor),
            now,
        )
        if verdict.granted:
            self.granted += 1
        else:
            self.denied += 1
        return messages.PermitReply(
            messages.sender(self._directory.own),
            request.target,
            request.number,
            verdict.granted,
            floor.PERMIT_LEASE,
            verdict.cause,
        )

    def _capacity(self, service: str, least: int) -> floor.Capacity:
        targets = [
            target
            for info in self._directory.usable()
            for target in info.targets
            if target.service == service and target.state not in _GONE
        ]
        doubtful = [t.name for t in targets if t.state is State.SUSPECT]
        known = frozenset(target.name for target in targets)
        return floor.Capacity(known, least, frozenset(doubtful))

    def _reply(self, reply: messages.PermitReply) -> None:
        asked = self._asked_by_number.pop(reply.number, None)
        if asked is None or asked[0] != reply.target:
            return
        now = self._clock.monotonic()
        target = self._guard.target_by_name.get(reply.target)
        if target is None:
            return
        before = target.standing.state
        if reply.granted:
            # The lease counts from the asking, so that a slow answer or a
            # pause can't stretch it past what its owner believes.
            until = asked[1] + reply.lease
            if until > now:
                refused = self._guard.permitted(reply.target, until, now)
                self.on_refused(refused)
        else:
            self._guard.denied(reply.target, reply.cause, now)
        self._log_change(target, before, reply)

    def _log_change(
        self,
        target: localtarget.LocalTarget,
        before: State,
        reply: messages.PermitReply,
    ) -> None:
        after = target.standing.state
        if after is before:
            return
        change = target.standing.changes[-1]
        _log.warning(
            "target_state",
            target=target.name,
            service=target.service,
            before=str(before),
            after=str(after),
            cause=change.cause,
            permit=reply.cause,
        )
        self.on_change()
