"""One forklift process: builds the parts, ties them together, stops them."""

import asyncio
import random
import secrets

import structlog

from forklift import decisions
from forklift import errors
from forklift import ini
from forklift import invariants
from forklift import localtarget
from forklift import messages
from forklift import ownership
from forklift import policy
from forklift import report
from forklift import settings
from forklift.shell import callers
from forklift.shell import clock as clocks
from forklift.shell import control
from forklift.shell import dispatch
from forklift.shell import exchange
from forklift.shell import framing
from forklift.shell import keyed
from forklift.shell import links
from forklift.shell import local
from forklift.shell import logclient
from forklift.shell import served as serving
from forklift.shell import tail
from forklift.shell import targets
from forklift.shell import telemetry
from forklift.shell import wire

_log = structlog.get_logger(__name__)
State = messages.TargetState

TICK = 0.05
BEAT_EVERY = 4
SLOW_EVERY = 10
TARGET_LEASE = 10.0
ANNOUNCE_SHARE = 1 / 3
STOP_POLL = 0.02
READY_AFTER = 3.0
DEFAULT_KEY_MEMORY = 3600.0


class Node:
    """One process of the fleet, in both its roles."""

    def __init__(self, read: settings.Settings):
        self.settings = read
        self.clock = clocks.SystemClock()
        own = read.process
        self._key = own.key.encode()
        self.boot = secrets.randbits(63)
        info = messages.ProcessInfo(
            name=own.name,
            boot=self.boot,
            incarnation=1,
            domain=own.domain,
            peer=own.peer,
            control=own.control,
            admin=own.admin,
            version=1,
            started=self.clock.wall(),
            targets=(),
            config=0,
        )
        self._tasks: list[asyncio.Task] = []
        self._servers: list[asyncio.Server] = []
        self._served: set[serving.Served] = set()
        self.log = logclient.LogClient(read.log.address, read.log.timeout)
        self.telemetry = telemetry.Telemetry(own.name)
        self.control = control.Control(
            own.control,
            self.boot,
            self._key,
            self.clock.wall,
            lambda message: self.decisions.receive(message),
        )
        self.decisions = decisions.Decisions(
            info,
            self._effects(),
            self.clock,
            random.Random(self.boot),
            read.log.retention,
            own.join,
        )
        self.directory = self.decisions.directory
        self.guard = self.decisions.guard
        self._build_data_path()
        self.tail = tail.Tail(
            self.log,
            self.clock,
            self.decisions.configuration,
            self.decisions.follow,
            self.decisions.lease,
            self.decisions.owner.missed,
            self.decisions.owner.confirmed,
            self.decisions.member,
        )
        self._renewed_by_target: dict[str, float] = {}
        self._announced_at = float("-inf")
        self._announced_targets: tuple = ()
        self._started_at = self.clock.monotonic()
        self.peers_refused = 0
        self.results_by_outcome: dict[str, int] = {}
        self.stopping = False

    # Construction.

    def _effects(self) -> decisions.Effects:
        return decisions.Effects(
            send=self.control.send,
            append=lambda record: self._spawn(
                self._append(tail.LEASES, record)
            ),
            settle=lambda made: self.local.settle(made),
            probe=lambda name: self._spawn(self._probe(name)),
            began=lambda began: self._began(began),
        )

    def _build_data_path(self) -> None:
        chooser = self.decisions.entry
        self.local = local.Local(self.guard, self.clock)
        self.local.on_actions = self.decisions.act
        self.links = links.Links(
            self.directory, chooser, self._hello, self._key, self.clock
        )
        self.dispatcher = dispatch.Dispatcher(
            self.directory, chooser, self.local, self.links, self.clock
        )
        self.keyed = keyed.Keyed(
            self.decisions.owner,
            self.dispatcher,
            self.log,
            self.settings.limits,
            self.clock,
            self.directory.own.name,
        )
        self.callers = callers.Callers(
            self.settings.limits,
            self.find_route,
            self.handle,
            self.dispatcher.next_seq,
            self.clock,
            self._on_result,
        )

    # Life.

    async def start(self) -> None:
        """Listens and begins to work.

        Raises:
            errors.UserError: An address can't be listened on.
        """
        own = self.settings.process
        try:
            self.control.open()
            self._servers.append(
                await wire.listen(own.caller, self.callers.accept)
            )
            self._servers.append(await self._listen_peers(own.peer))
        except (OSError, control.pynng.NNGException) as error:
            raise errors.UserError(
                f"can't listen ({error}); check the addresses in [process]"
            ) from error
        self._spawn(self.tail.run())
        self._spawn(self._tick_for_ever())
        _log.info("started", process=own.name, boot=self.boot)

    async def stop(self) -> None:
        """Stops as planned: nothing in flight is cut off."""
        self.stopping = True
        self.decisions.owner.stopping = True
        deadline = self.clock.monotonic() + self.settings.limits.stop
        _log.info("stopping", running=self.running())
        for name in list(self.guard.target_by_name):
            self.drain(name)
        self._servers[0].close()
        self.callers.stop()
        while self.running() and self.clock.monotonic() < deadline:
            await asyncio.sleep(STOP_POLL)
        passed = self.clock.monotonic() >= deadline
        invariants.nothing_cut_off(self.running(), passed)
        await self.keyed.release()
        for send in self.decisions.gossip.leave():
            self.control.send(send.address, send.message)
        await asyncio.sleep(STOP_POLL)
        await self.close()
        _log.info("stopped", cut_off=self.running())

    async def close(self) -> None:
        """Ends everything at once."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for served in list(self._served):
            served.close()
        self.links.close()
        for endpoint in self.local.endpoint_by_target.values():
            endpoint.pool.close()
        await self.control.close()
        self.log.close()

    def running(self) -> int:
        """Requests in flight in any role."""
        served = sum(1 for served in self._served if served.busy)
        return (
            self.callers.running
            + self.local.running
            + self.keyed.running
            + served
        )

    def ready(self) -> bool:
        """Whether callers should be sent here."""
        if self.stopping or not self.decisions.effective.services_by_name:
            return False
        if self.tail.caught_up:
            return True
        age = self.clock.monotonic() - self._started_at
        return age >= READY_AFTER and bool(self.directory.member_by_name)

    # The request path.

    def find_route(
        self, host: str, path: str
    ) -> tuple[str, policy.Service] | None:
        """The route of a request and the program of its service."""
        route = self.decisions.effective.routes.find(host, path)
        if route is None:
            return None
        program = self.decisions.effective.services_by_name.get(route.service)
        return (route.name, program) if program is not None else None

    async def handle(
        self, request: exchange.Request, sink: exchange.Sink
    ) -> exchange.Result:
        """Runs a request of a caller or a peer in the role of entry."""
        if not request.key:
            return await self.dispatcher.run(request, sink)
        program = self.decisions.program(request.service)
        memory = program.key_memory if program else 0.0
        memory = min(memory, self.settings.log.retention)
        if not self.decisions.entry.knows(request.service):
            return await self.dispatcher.hand_on(request, sink)
        return await self.keyed.run(request, sink, memory)

    async def _serve_peer(
        self,
        served: serving.Served,
        start: messages.RequestStart,
        body: exchange.Body,
        answerer: serving.Answerer,
    ) -> exchange.Result:
        now = self.clock.monotonic()
        # A pause may have aged this frame by more than its sender knows.
        self.local.settle(self.guard.observe(now))
        request = exchange.Request(
            start.request_id,
            start.seq,
            start.service,
            start.route,
            start.method,
            start.path,
            start.headers,
            start.length,
            body,
            now + start.remaining,
            start.repeatable,
            start.key,
            start.caller,
            start.hops,
        )
        identity = (served.peer.boot, start.seq)
        if not start.target:
            if not self.guard.fences.start(identity, now):
                return exchange.not_run(messages.Reason.FENCED)
            return await self.handle(request, answerer)
        ticket = localtarget.Ticket(
            identity,
            start.target,
            start.service,
            start.route,
            start.repeatable,
            request.deadline,
            start.incarnation,
        )
        return await self.local.run(ticket, request, answerer)

    def _fence(self, fence: messages.Fence) -> bool:
        if fence.to_boot != self.boot:
            # An earlier run of this process may have started it.
            return False
        now = self.clock.monotonic()
        not_run, refused = self.guard.fence((fence.boot, fence.seq), now)
        if refused is not None:
            self.local.settle((refused,))
        return not_run

    async def _listen_peers(self, address: str) -> asyncio.Server:
        host, port = wire.split_address(address)
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: framing.Frames(self._accept_peer), host, port, backlog=1024
        )

    def _accept_peer(self, frames: framing.Frames) -> None:
        served = serving.Served(
            frames,
            self._hello,
            self._key,
            self._serve_peer,
            self._fence,
            self._peer_refused,
        )
        lost = frames.on_lost

        def forget() -> None:
            self._served.discard(served)
            lost()

        frames.on_lost = forget
        self._served.add(served)

    def _peer_refused(self) -> None:
        self.peers_refused += 1

    def _hello(self) -> messages.Hello:
        return messages.Hello(
            self.directory.own.name,
            self.boot,
            self.guard.incarnation,
            framing.new_nonce(),
        )

    def _on_result(
        self, service: str, result: exchange.Result, seconds: float
    ) -> None:
        outcome = str(result.ending.outcome)
        count = self.results_by_outcome.get(outcome, 0)
        self.results_by_outcome[outcome] = count + 1
        self.telemetry.request(service, outcome, seconds)

    # Targets.

    def announce(self, name: str, said: report.Announce) -> report.Announced:
        """A target announces itself, or renews.

        Raises:
            errors.UserError: Its service or address is not usable.
        """
        if self.stopping:
            raise errors.UserError(
                "this process is stopping; announce to the next one"
            )
        _check_announce(name, said)
        known = name in self.local.endpoint_by_target
        if not known and self.decisions.program(said.service) is not None:
            self._set_endpoint(name, said)
        target = self.decisions.announce(
            name, said.service, said.domain, said.slots
        )
        if not target.standing.leaving:
            self._set_endpoint(name, said)
        self._renewed_by_target[name] = self.clock.monotonic()
        return report.Announced(TARGET_LEASE, str(target.standing.state))

    def drain(self, name: str) -> bool:
        """A target is to take no new request; False when it is not here."""
        if name not in self.guard.target_by_name:
            return False
        self.decisions.drain(name)
        return True

    def leave(self, name: str) -> bool:
        """A target is gone; False when it is not here."""
        if name not in self.guard.target_by_name:
            return False
        self._renewed_by_target.pop(name, None)
        self.decisions.leave(name)
        return True

    def _set_endpoint(self, name: str, said: report.Announce) -> None:
        known = self.local.endpoint_by_target.get(name)
        if known is not None and known.pool.address == said.address:
            known.pool.most = said.connections
            return
        pool = targets.Pool(
            said.address, said.connections, self.clock.monotonic
        )
        self.local.endpoint_by_target[name] = local.Endpoint(
            pool, said.health, said.load, said.echo, said.domain
        )

    def _expire_targets(self, now: float) -> None:
        for name, renewed in list(self._renewed_by_target.items()):
            if now - renewed > TARGET_LEASE:
                _log.warning("target_expired", target=name)
                self.leave(name)

    # Time.

    async def _tick_for_ever(self) -> None:
        count = 0
        while True:
            await asyncio.sleep(TICK)
            count += 1
            try:
                self._tick(count)
            except Exception:
                _log.exception("tick_failed")
                if invariants.FATAL:
                    raise

    def _tick(self, count: int) -> None:
        self.decisions.tick()
        if count % BEAT_EVERY == 0:
            self.links.tick()
        if count % SLOW_EVERY == 0:
            now = self.clock.monotonic()
            self.telemetry.flush()
            self._expire_targets(now)
            self._announce_on_log(now)
            self._renew_policies()

    async def _probe(self, name: str) -> None:
        endpoint = self.local.endpoint_by_target[name]
        if not endpoint.health:
            return
        well = await targets.probe(endpoint.pool.address, endpoint.health)
        if not well:
            standing = self.guard.target_by_name[name].standing
            standing.probe_failed(self.clock.monotonic())

    async def _append(self, stream: str, record: messages.LogRecord) -> None:
        try:
            await self.log.append(stream, messages.encode(record))
        except errors.LogUnavailable as error:
            _log.info("append_failed", stream=stream, detail=str(error))

    def _announce_on_log(self, now: float) -> None:
        """Keeps a way to join through this process on the log."""
        names = tuple((t.name, t.service) for t in self.directory.own.targets)
        changed = names != self._announced_targets
        period = self.settings.log.retention * ANNOUNCE_SHARE
        if not changed and now - self._announced_at < period:
            return
        if self.stopping:
            return
        self._announced_at = now
        self._announced_targets = names
        record = messages.announcement(self.directory.own)
        self._spawn(self._append(tail.MEMBERS, record))

    def _renew_policies(self) -> None:
        names = [*self.directory.alive(), self.directory.own.name]
        own = self.directory.own.name
        due = self.tail.due(names, own, self.settings.log.retention)
        for name in due:
            self.tail.seen_by_policy[name] = self.clock.monotonic()
            chain = self.decisions.configuration.chain_by_policy.get(name)
            base = chain.base() if chain and chain.certain else None
            if base is not None:
                self._spawn(self._append(tail.CONFIG, base))

    def _began(self, began: ownership.Began) -> None:
        service = began.holding.resource.rpartition("/")[0]
        program = self.decisions.program(service)
        memory = program.key_memory if program else DEFAULT_KEY_MEMORY
        memory = min(memory, self.settings.log.retention)
        self.keyed.began(began, memory)
        starts_in = began.holding.starts - self.clock.monotonic()
        _log.info(
            "lease_taken",
            lease=began.holding.resource,
            epoch=began.holding.grant.epoch,
            starts_in=round(max(0.0, starts_in), 2),
        )

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)


def _check_announce(name: str, said: report.Announce) -> None:
    try:
        ini.name(name)
        ini.name(said.domain)
        ini.address(said.address)
    except ValueError as error:
        raise errors.UserError(
            f"the announcement of {name} is not usable; {error}"
        ) from error
    if not 1 <= said.slots <= 10_000 or said.connections < 1:
        raise errors.UserError(
            f"the announcement of {name} needs slots from 1 to 10000 "
            "and at least 1 connection"
        )
