"""One process of the fleet on a platform: builds the parts, ties them together.

It is the entry that callers speak to, and the only way to the target beside
it.
"""

import asyncio
import random
import secrets

import structlog

from forklift import admission
from forklift import catalog
from forklift import counters
from forklift import errors
from forklift import header_fields
from forklift import interfaces
from forklift import invariants
from forklift import load_balancer
from forklift import messages
from forklift import policy
from forklift import quarantine
from forklift import rate_limits
from forklift import settings
from forklift.shell import clock as clocks
from forklift.shell import configuration_loader
from forklift.shell import control_channel
from forklift.shell import control_protocols
from forklift.shell import exchange
from forklift.shell import forwarding
from forklift.shell import framing
from forklift.shell import ingress
from forklift.shell import local_targets
from forklift.shell import peer_connections
from forklift.shell import peer_server
from forklift.shell import quarantine_store
from forklift.shell import rate_limiting
from forklift.shell import shutdown
from forklift.shell import store_follower
from forklift.shell import target_registry
from forklift.shell import tcp_stream
from forklift.shell import ticker

_log = structlog.get_logger(__name__)
Reason = messages.Reason

# Seconds between signs of life on links, and between checks that can wait.
KEEPALIVE_INTERVAL = 0.2
SLOW_TICK_INTERVAL = 0.5
# A gap between two ticks this long means that the process was paused.
PAUSE_THRESHOLD = 1.0
# Peers that sent a request within these seconds hear at once of a doubt about
# its target; others learn it from the refusal, should they send one.
RECENT_SENDER_TIME = 3.0
# Seconds without work after which a sound target asks for some: longer than the
# process beside it lets it go without, where that has callers.
IDLE_TARGET_TIME = 1.2
# One that is doubted asks for a test.
_ASKS_FOR_WORK = (
    messages.TargetState.IN_SERVICE,
    messages.TargetState.SUSPECT,
)
# A process that met nobody is ready after this time alone, seconds.
READY_WITHOUT_PEERS_AFTER = 3.0


class Proxy:
    """One process of the fleet, in both its roles."""

    def __init__(
        self,
        read: settings.Settings,
        store: interfaces.Registry,
        decode,
        names: header_fields.HeaderNames,
    ):
        self.settings = read
        self.clock = clocks.SystemClock()
        self.boot = secrets.randbits(63)
        self._rng = random.Random(self.boot)
        self.store = store
        store.on_lost = self._store_lost
        self._names = names
        self._key = read.process.key.encode()
        self._tasks: set[asyncio.Task] = set()
        self._servers: list[asyncio.Server] = []
        # Connections of peers that ask us.
        self.served: set[peer_server.ServerConnection] = set()
        self.policy = load_policy(read)
        self._started_at = self.clock.monotonic()
        self._last_tick = self._started_at
        self._next_beat = self._started_at
        self._next_slow = self._started_at
        self.incarnation = 1
        self.stopping = False
        # Of its stop, once that was asked for.
        self.stop_deadlines: shutdown.Deadlines | None = None
        self.counters = counters.Counters()
        self.active_catalog = catalog.ActiveCatalog()
        self.configuration_loader = configuration_loader.ConfigurationLoader(
            decode,
            self.active_catalog,
            self.clock,
            lambda: self.control_protocols.newest_announced_version,
            lambda: self.control_protocols.is_alone,
            self._taken,
        )
        self.quarantine = quarantine.Quarantine()
        self._build()

    # Construction.

    def _build(self) -> None:
        own = self.settings.process
        self.ticker = ticker.Ticker(self._tick_safely, self._busy)
        self.control_channel = control_channel.ControlChannel(
            own.control,
            self.boot,
            self._key,
            self.clock.wall,
            self._heard,
            own.control_public,
        )
        self.balancer = load_balancer.LoadBalancer(
            own.name,
            own.domain,
            self._rng,
            self.program,
            _bounds(self.settings),
            self.settings.limits.far_cost,
        )
        self.local_targets = local_targets.LocalTargets(
            self._names,
            self.program,
            self.clock,
            self._target_changed,
            self.balancer.failure_percent,
            self.quarantine,
            self._evidence,
        )
        self.target_registry = target_registry.TargetRegistry(
            self.settings,
            self._names,
            self.active_catalog,
            self.local_targets,
            self.clock,
            lambda: self.control_protocols.publish_targets(),
        )
        self.quarantine_store = quarantine_store.QuarantineStore(
            own.name,
            self.quarantine,
            self.store,
            self.clock,
            self._rng,
            self.spawn,
            lambda: self.directory.alive(),
        )
        self.control_protocols = control_protocols.ControlProtocols(
            self._describe_first(),
            self._rng,
            self.clock,
            self.active_catalog,
            self.balancer,
            self.local_targets,
            self.control_channel.send,
            self.configuration_loader.receive,
            self.target_registry.record_remembered_leave,
            self.quarantine,
            self.quarantine_store.load,
        )
        self.directory = self.control_protocols.directory
        self.rate_limiter = rate_limiting.AsyncLimiter(
            self.directory,
            _limit_bounds(self.settings),
            self.active_catalog,
            lambda: self.control_protocols.size_known,
            self.control_channel.send,
            self.clock,
            self._rng,
        )
        self.follower = store_follower.StoreFollower(
            self.store,
            self._rng,
            self.configuration_loader.receive,
            lambda: self.control_protocols.readers.count,
            lambda: self.control_protocols.readers.includes_self,
        )
        self.peer_connections = peer_connections.PeerConnections(
            self.directory,
            self.balancer.reachability,
            self._hello,
            self._key,
            self.clock,
            self._standing,
        )
        self.forwarder = forwarding.Forwarder(
            own.name,
            self.boot,
            self.balancer,
            self.local_targets,
            self.peer_connections,
            self.program,
            self.clock,
            self._rng,
            self.quarantine,
        )
        self.ingress = ingress.Ingress(
            ingress.Hooks(
                header_names=self._names,
                limits=lambda: self.active_catalog.catalog.limits,
                find_route=self._find,
                is_configured=lambda: self.active_catalog.loaded,
                handle=self._handle,
                next_seq=self.forwarder.next_seq,
                on_result=self._on_result,
                origin_service=lambda: self.settings.platform.service,
                on_rejected=self.counters.record_refusal,
            ),
            self.settings.limits.callers,
            self.clock,
        )

    def _describe_first(self) -> messages.ProcessInfo:
        own = self.settings.process
        return messages.ProcessInfo(
            name=own.name,
            boot=self.boot,
            incarnation=1,
            domain=own.domain,
            peer=own.peer,
            control=own.control,
            admin=own.admin,
            version=1,
            started=round(self.clock.wall(), 3),
            targets=(),
            config=0,
        )

    # Life.

    async def start(self) -> None:
        """Listens and begins to work.

        Raises:
            errors.UserError: An address can't be listened on.
        """
        own = self.settings.process
        try:
            self.control_channel.open()
            self._servers.append(
                await tcp_stream.listen(own.caller, self.ingress.accept)
            )
            self._servers.append(await self._listen_peers(own.peer))
        except (OSError, control_channel.ListenError) as error:
            raise errors.UserError(
                f"can't listen ({error}); check the addresses in [process]"
            ) from error
        # Port 0 lets the system choose, and others must be told which.
        self.directory.update_own(
            peer=own.peer_public or tcp_stream.bound_address(self._servers[1]),
            control=own.control_public or self.control_channel.address,
        )
        self.spawn(self.follower.run())
        self.spawn(self.control_protocols.join(self.store))
        self.spawn(self.target_registry.discover_local_target())
        self.ticker.start()
        _log.info(
            "started",
            process=own.name,
            boot=self.boot,
            caller=self.caller_address,
            peer=tcp_stream.bound_address(self._servers[1]),
            control=self.control_channel.address,
        )

    @property
    def caller_address(self) -> str:
        """Where callers are listened for, once that began."""
        return tcp_stream.bound_address(self._servers[0])

    async def stop(self) -> None:
        """Stops as planned: nothing in flight is cut off."""
        if not self.stopping:
            self.request_stop()
        await shutdown.stop(self)
        await self.close()

    def request_stop(self) -> None:
        """Somebody wants this process to stop, perhaps not for the first time.

        The stop itself begins with `stop`.
        """
        now, grace = self.clock.monotonic(), self.settings.platform.grace
        if not self.stopping:
            self.stopping = True
            self.stop_deadlines = shutdown.initial_deadlines(now, grace)
            return
        self.stop_deadlines = shutdown.extended_deadlines(
            self.stop_deadlines, now, grace
        )
        self.forwarder.set_stop_deadlines(self.stop_deadlines)
        _log.info("stop_asked_again", running=self.running())

    def stop_accepting(self) -> None:
        """Takes no new connection of a caller from now on."""
        self._servers[0].close()
        self.ingress.closed = True

    async def close(self) -> None:
        """Ends everything at once."""
        for server in self._servers:
            server.close()
        self.ticker.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for served in list(self.served):
            served.close()
        self.peer_connections.close()
        for local_target in self.local_targets.by_name.values():
            local_target.pool.close_idle()
        await self.control_channel.close()
        self.store.close()

    def reload(self, read: settings.Settings) -> None:
        """Takes other settings; those of [process] stay until a restart."""
        self.settings = read
        self.target_registry.settings = read
        self.policy = load_policy(read)
        self.balancer.set_retry_limits(_bounds(self.settings))
        self.rate_limiter.limiter.set_bounds(_limit_bounds(read))
        self.balancer.far_cost = read.limits.far_cost

    def running(self) -> int:
        """Requests in flight in any role."""
        served = sum(1 for served in self.served if served.busy)
        return self.ingress.running + self.local_targets.running + served

    def pending_responses(self) -> int:
        """Answers that this process still owes, in any role.

        Unlike `running`, it counts what is still being read, and answers
        that the system has not taken.
        """
        served = sum(1 for served in self.served if served.busy)
        return (
            self.ingress.pending_connections
            + self.local_targets.running
            + served
        )

    def ready(self) -> bool:
        """Whether callers should be sent here."""
        if self.stopping or not self.active_catalog.loaded:
            return False
        age = self.clock.monotonic() - self._started_at
        return (
            self.control_protocols.has_joined
            or age >= READY_WITHOUT_PEERS_AFTER
        )

    def spawn(self, work) -> None:
        """Runs a coroutine beside, until the process ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Configuration.

    def program(self, service: str) -> policy.ServicePolicy:
        """The program of a service."""
        return self.policy.program(service)

    def _store_lost(self) -> None:
        """The store came back without some of what it had acknowledged."""
        self.directory.update_own(store_epoch=self.store.epoch or 0)
        self.follower.restart_read()
        self.control_protocols.store_data_lost.set()
        self.quarantine_store.rewrite_all()

    def _taken(self, found: catalog.Catalog, source: str) -> None:
        """A version came in force."""
        if source != configuration_loader.STORE_SOURCE:
            self.follower.on_newer_from_peer(self.clock.monotonic())
        # Its watchers are told at once.
        self.ticker.wake(0.0)
        self.target_registry.apply_catalog(found)
        self.balancer.shortest_objective_by_service = (
            found.shortest_objective_by_service
        )
        self.directory.update_own(config=found.version)

    async def _handle(
        self, request: exchange.Request, sink: exchange.Sink
    ) -> exchange.Result:
        self._observe()
        self.ticker.wake()
        wait = await self.rate_limiter.admit(request.organisation)
        if wait is not None:
            self.rate_limiter.log_rejection(
                request.id, request.organisation, wait
            )
            return exchange.not_run(Reason.LIMITED, wait)
        result = await self.forwarder.run(request, sink)
        if result.ending.outcome is messages.Outcome.NOT_RUN:
            self.rate_limiter.refund(request.organisation)
        return result

    def _find(
        self, host: str, path: str, keys: tuple[bytes, ...]
    ) -> ingress.RouteMatch | None:
        current = self.active_catalog.catalog
        route = current.routes.find(host, path)
        if route is None:
            return None
        caller = None
        if current.callers is not None:
            caller = current.callers.identify(keys, route.allows_anonymous)
        return ingress.RouteMatch(route, route.pick(self._rng), caller)

    def _evidence(self) -> None:
        """What is known of requests that crash targets has changed here."""
        # It is told ahead of the next attempt of such a request.
        self.ticker.wake(0.0)
        self.quarantine_store.save()

    def _target_changed(self, changed: admission.Controller) -> None:
        """A target's state changed: those who send to it hear at once."""
        load = changed.load(self.clock.monotonic())
        standing = messages.LoadUpdate(changed.name, load)
        since = float("-inf")
        if not changed.closed:
            since = asyncio.get_running_loop().time() - RECENT_SENDER_TIME
        for served in list(self.served):
            served.send_load_update(standing, since)
        if changed.health.ejected:
            self.counters.ejections_by_signal[str(changed.health.signal)] += 1
        _log.info(
            "target_changed",
            target=changed.name,
            state=str(standing.load.state),
            sign=str(changed.health.signal),
            risk=load.unhealthy_probability,
            running=load.in_flight,
        )
        if changed.closed:
            self.control_protocols.publish_targets()

    def _standing(self, standing: messages.LoadUpdate) -> None:
        now = self.clock.monotonic()
        self.balancer.update_load(standing.target, standing.load, now)

    # Peers' requests.

    async def _serve_peer(
        self,
        served: peer_server.ServerConnection,
        start: messages.RequestStart,
        body: exchange.Body,
        answerer: peer_server.ResponseSink,
    ) -> exchange.Result:
        self._observe()
        self.ticker.wake()
        now = self.clock.monotonic()
        if start.incarnation != self.incarnation:
            # It may be older than its sender knows.
            return exchange.not_run(Reason.STALE)
        request = exchange.Request(
            id=start.request_id,
            seq=start.seq,
            service=start.service,
            route=start.route,
            method=start.method,
            path=start.path,
            headers=start.headers,
            length=start.length,
            body=body,
            deadline=now + start.remaining,
            idempotent=start.idempotent,
            origin=start.origin,
            priority=start.priority,
            fingerprint=start.fingerprint,
            organisation=start.organisation,
        )
        ticket = admission.Ticket(
            (served.peer.boot, start.seq),
            start.idempotent,
            start.priority,
            request.deadline,
            admission.RequiredHealth(
                min(start.required_health, admission.RequiredHealth.ANY)
            ),
            now + start.objective_remaining,
            start.route,
            start.wait,
            now + start.start_within,
            start.exclusive,
        )
        return await self.local_targets.run(
            start.target, ticket, request, answerer
        )

    def _fence(self, fence: messages.FenceRequest) -> bool:
        if fence.to_boot != self.boot:
            # An earlier run of this process may have started it.
            return False
        return self.local_targets.fence((fence.boot, fence.seq))

    async def _listen_peers(self, address: str) -> asyncio.Server:
        host, port = tcp_stream.split_address(address)
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: framing.FrameConnection(self._accept_peer),
            host,
            port,
            backlog=1024,
        )

    def _accept_peer(self, frames: framing.FrameConnection) -> None:
        served = peer_server.ServerConnection(
            frames,
            self._hello,
            self._key,
            self._serve_peer,
            self._fence,
            lambda: _log.warning("peer_refused", peer=frames.peer),
            self.forwarder.dispatcher.relay_fence,
        )
        lost = frames.on_lost

        def forget() -> None:
            self.served.discard(served)
            lost()

        frames.on_lost = forget
        self.served.add(served)

    def _hello(self) -> messages.Hello:
        return messages.Hello(
            self.directory.own.name,
            self.boot,
            self.incarnation,
            framing.new_nonce(),
        )

    def _on_result(
        self, request: exchange.Request, result: exchange.Result, seconds: float
    ) -> None:
        ending = result.ending
        outcome = str(ending.outcome)
        reason = str(ending.reason or "")
        self.counters.record_request(request.service, outcome, reason, seconds)
        failed = ending.outcome is not messages.Outcome.ANSWERED
        if failed or ending.status >= 400:
            _log.info(
                "request",
                request=request.id,
                service=request.service,
                route=request.route,
                organisation=request.organisation,
                repeatable=request.idempotent,
                outcome=outcome,
                reason=reason,
                fingerprint=request.fingerprint.hex(),
                status=ending.status,
                target=result.target,
                seconds=round(seconds, 4),
            )

    # Time.

    def _busy(self) -> bool:
        """Whether there is anything that a tick looks after."""
        return bool(
            self.ingress.running
            or self.local_targets.running
            or self.balancer.reachability.needs_checks
            or self.control_protocols.is_active(self.clock.monotonic())
        )

    def _heard(self, message: messages.Control) -> None:
        if isinstance(message, rate_limiting.MESSAGE_TYPES):
            self.rate_limiter.receive(message)
            return
        self.rate_limiter.limiter.mark_alive(message.sender.name)
        self.control_protocols.receive(message)
        self.configuration_loader.activate_pending()
        sender = message.sender
        if isinstance(sender, messages.ProcessInfo):
            self._compare_era(sender)
        if self.control_protocols.is_active(self.clock.monotonic()):
            self.ticker.wake()

    def _compare_era(self, peer: messages.ProcessInfo) -> None:
        """A peer saw the store lose records, which few look at themselves."""
        known = self.store.epoch
        if known is not None and peer.store_epoch > known:
            self.follower.restart_read()

    def _tick_safely(self) -> None:
        try:
            self._tick()
        except Exception:
            _log.exception("tick_failed")
            if invariants.RAISE_ON_VIOLATION:
                raise

    def _tick(self) -> None:
        self._observe()
        now = self.clock.monotonic()
        self.configuration_loader.activate_pending()
        self.local_targets.tick(now)
        self.peer_connections.tick()
        self._look_beside(now)
        if now >= self._next_beat:
            self._next_beat = now + KEEPALIVE_INTERVAL
            for served in list(self.served):
                served.send_keepalive()
        if now >= self._next_slow:
            self._next_slow = now + SLOW_TICK_INTERVAL
            self.ingress.tick(now)
            self.target_registry.expire(now)
            self.control_protocols.update_own_targets()
            self._ask_for_work(now)
            self.quarantine_store.tick()
        self.control_protocols.tick(now)
        self.rate_limiter.tick(now)
        self.follower.update_role()

    def _ask_for_work(self, now: float) -> None:
        """Has others send to a target beside that nobody uses.

        This entry sees to it as long as it has callers. Where it has none, all
        others go on with targets that they know to be well.
        """
        for local_target in self.local_targets.by_name.values():
            load = local_target.controller.load(now)
            usable = load.state in _ASKS_FOR_WORK
            if (
                usable
                and load.idle > IDLE_TARGET_TIME
                and self.active_catalog.loaded
            ):
                self.control_protocols.announce_idle_target(
                    local_target.controller.name, load
                )

    def _look_beside(self, now: float) -> None:
        """Keeps the choice of targets up to date on those beside."""
        for local_target in self.local_targets.by_name.values():
            self.balancer.update_load(
                local_target.controller.name,
                local_target.controller.load(now),
                now,
            )

    def _observe(self) -> None:
        """Notices a pause of this process, before anything else is done.

        What arrived meanwhile may be older than it says, so it is refused.
        """
        now = self.clock.monotonic()
        paused = now - self._last_tick
        self._last_tick = now
        if paused < PAUSE_THRESHOLD:
            return
        self.incarnation += 1
        _log.warning("paused", seconds=round(paused, 2))
        for local_target in self.local_targets.by_name.values():
            local_target.controller.exclude_pause(paused)
        self.control_protocols.handle_pause()


def load_policy(read: settings.Settings) -> policy.Policy:
    """The policy that settings name, or the built-in one.

    Raises:
        errors.UserError: Its file can't be read or holds mistakes.
    """
    file = read.process.policy
    if not file:
        return policy.BUILT_IN
    return policy.parse(file, settings.read_file(file))


def _limit_bounds(read: settings.Settings) -> rate_limits.Bounds:
    bounds = read.organisations
    return rate_limits.Bounds(bounds.window, bounds.overshoot, bounds.slack)


def _bounds(read: settings.Settings) -> load_balancer.RetryBudgetLimits:
    bounds = read.budget
    return load_balancer.RetryBudgetLimits(
        bounds.ratio, bounds.window, bounds.reserve, bounds.calls
    )
