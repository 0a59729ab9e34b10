"""One process of the fleet: creates its components and connects them.

A process is the ingress for callers and the proxy of its local targets.
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
from forklift import notice_memory
from forklift import overload
from forklift import policy
from forklift import quarantine
from forklift import run_calls
from forklift import settings
from forklift import stop_deadlines
from forklift.shell import call_results
from forklift.shell import clock as clocks
from forklift.shell import configuration_loader
from forklift.shell import control_channel
from forklift.shell import control_protocols
from forklift.shell import departure_store
from forklift.shell import exchange
from forklift.shell import forwarding
from forklift.shell import framing
from forklift.shell import idle_targets
from forklift.shell import ingress
from forklift.shell import loaded_settings
from forklift.shell import local_targets
from forklift.shell import peer_connections
from forklift.shell import peer_requests
from forklift.shell import peer_server
from forklift.shell import quarantine_store
from forklift.shell import rate_limiting
from forklift.shell import shutdown
from forklift.shell import store_follower
from forklift.shell import streamed_bodies
from forklift.shell import target_discovery
from forklift.shell import target_registry
from forklift.shell import tcp_stream
from forklift.shell import ticker

_log = structlog.get_logger(__name__)
Reason = messages.Reason

# Seconds between two keep-alives to a peer.
KEEPALIVE_INTERVAL = 0.2
# Seconds between two runs of the periodic tasks that are not urgent.
SLOW_TICK_INTERVAL = 0.5
# The process counts as paused if this many seconds pass between two checks.
MIN_PAUSE_SECONDS = 1.0
# A peer whose last request is at most this many seconds old is sent the new
# state of a target at once. Other peers learn the state when this process
# rejects their request.
RECENT_SENDER_SECONDS = 3.0
# Seconds after its start at which a process is ready even if it found no peers.
READY_WITHOUT_PEERS_SECONDS = 3.0


class Proxy:
    """A process of the fleet: ingress for callers, proxy of its local targets.

    Attributes:
        settings: Current settings.
        clock: Source of time.
        boot: Random number that identifies this run of the process.
        incarnation: Increases with every detected pause, so that requests sent
            before a pause are recognized as stale.
        store: The platform's store.
        server_connections: Connections on which peers send requests.
        policy: Current policy.
        stopping: Whether the shutdown was requested.
        stop_deadlines: Deadlines of the shutdown; None until it is requested.
        counters: Counters for metrics.
        active_catalog: The catalog that this process uses.
        notices: What targets have announced in responses.
        run_calls: The runs of the local targets and the calls that they make.
    """

    def __init__(
        self,
        initial: settings.Settings,
        store: interfaces.Registry,
        decode,
        header_names: header_fields.HeaderNames,
    ):
        """Creates a process that is not running.

        Args:
            initial: Settings to start with.
            store: The platform's store.
            decode: Decodes a configuration record.
            header_names: Names of the platform's header fields.
        """
        self.settings = initial
        self.clock = clocks.SystemClock()
        self.boot = secrets.randbits(63)
        self._rng = random.Random(self.boot)
        self.store = store
        store.on_lost = self._handle_store_data_lost
        self._header_names = header_names
        self._key = initial.process.key.encode()
        self._tasks: set[asyncio.Task] = set()
        self._servers: list[asyncio.Server] = []
        self.server_connections: set[peer_server.ServerConnection] = set()
        self.policy = loaded_settings.load_policy(initial)
        self._started_at = self.clock.monotonic()
        self._last_pause_check = self._started_at
        self._next_keepalive = self._started_at
        self._next_slow_tick = self._started_at
        self.incarnation = 1
        self.stopping = False
        self.stop_deadlines: stop_deadlines.Deadlines | None = None
        self.counters = counters.Counters()
        self.active_catalog = catalog.ActiveCatalog()
        self.configuration_loader = configuration_loader.ConfigurationLoader(
            decode,
            self.active_catalog,
            self.clock,
            lambda: self.control_protocols.newest_announced_version,
            lambda: self.control_protocols.is_alone,
            self._apply_activated_catalog,
        )
        self.quarantine = quarantine.Quarantine()
        self.notices = notice_memory.NoticeMemory(self.clock.wall)
        self.run_calls = run_calls.RunCalls(
            self.overload_control, lambda: self.settings.overload
        )
        self._create_components()

    # Construction.

    def _create_components(self) -> None:
        own = self.settings.process
        self.ticker = ticker.Ticker(self._tick_safely, self._has_work)
        self.control_channel = control_channel.ControlChannel(
            own.control,
            self.boot,
            self._key,
            self.clock.wall,
            self._receive_control,
            own.control_public,
        )
        self.balancer = load_balancer.LoadBalancer(
            own.name,
            own.domain,
            self._rng,
            self.service_policy,
            self.settings.budget.limits(),
            self.settings.limits.far_cost,
            self.notices,
        )
        self.local_targets = local_targets.LocalTargets(
            self._header_names,
            self.service_policy,
            self.clock,
            self._announce_target_change,
            self.balancer.failure_percent,
            self.quarantine,
            self._distribute_evidence,
            self.notices,
            self.run_calls,
            self._rng.random,
        )
        self.departure_store = departure_store.DepartureStore(
            own.name,
            self.store,
            self.clock,
            self._rng,
            self.spawn,
            lambda: self.directory.alive(),
            lambda target: self.target_registry.record_stored_departure(target),
            lambda: self.target_registry.accept_held(),
        )
        self.target_registry = target_registry.TargetRegistry(
            self.settings,
            self._header_names,
            self.active_catalog,
            self.local_targets,
            self.clock,
            lambda: self.control_protocols.publish_targets(),
            self.notices,
            self.departure_store,
        )
        self.target_discovery = target_discovery.TargetDiscovery(
            self.target_registry,
            self.active_catalog,
            self._header_names,
            self.clock.monotonic,
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
            self._initial_process_info(),
            self._rng,
            self.clock,
            self.active_catalog,
            self.balancer,
            self.local_targets,
            self.control_channel.send,
            self.configuration_loader.receive,
            self.target_registry.end_incarnation,
            self.quarantine,
            self.quarantine_store.load,
            self.notices,
            self.departure_store.load,
            self._handle_records_read,
        )
        self.directory = self.control_protocols.directory
        self.idle_targets = idle_targets.IdleTargets(
            self.local_targets,
            self.balancer,
            self.control_protocols.announce_idle_target,
        )
        self.rate_limiter = rate_limiting.AsyncLimiter(
            self.directory,
            loaded_settings.rate_limit_bounds(self.settings),
            self.active_catalog,
            lambda: self.control_protocols.size_known,
            self.control_channel.send,
            self.clock,
            self._rng,
            self.overload_control,
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
            self._make_hello,
            self._key,
            self.clock,
            self._apply_load_update,
        )
        self.forwarder = forwarding.Forwarder(
            own.name,
            self.boot,
            self.balancer,
            self.local_targets,
            self.peer_connections,
            self.service_policy,
            self.clock,
            self._rng,
            self.quarantine,
            self._header_names,
            self.overload_control,
        )
        self.streamed_bodies = streamed_bodies.StreamedBodies(
            self.clock.monotonic, self.forwarder.usual_seconds
        )
        self.forwarder.ingress_admission.connect(
            self.overload_control,
            lambda: self.settings.overload.floor,
            self.active_catalog,
        )
        self.ingress = ingress.Ingress(
            ingress.Hooks(
                header_names=self._header_names,
                limits=lambda: self.active_catalog.catalog.limits,
                find_route=self._find_route,
                is_configured=lambda: self.active_catalog.loaded,
                handle=self._handle_caller_request,
                next_seq=self.forwarder.next_seq,
                on_result=self._on_result,
                origin_service=lambda: self.settings.platform.service,
                on_rejected=self.counters.record_refusal,
                on_cut=self.counters.record_cut_response,
                match_call=self.run_calls.match,
            ),
            self.settings.limits.callers,
            self.clock,
        )

    def _initial_process_info(self) -> messages.ProcessInfo:
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

    # Start and shutdown.

    async def start(self) -> None:
        """Opens the sockets and starts the background tasks.

        Raises:
            errors.UserError: The process can't listen on an address.
        """
        own = self.settings.process
        try:
            await self.control_channel.open()
            self._servers.append(
                await tcp_stream.listen(own.caller, self.ingress.accept)
            )
            self._servers.append(await self._listen_peers(own.peer))
        except OSError as error:
            raise errors.UserError(
                f"can't listen ({error}); check the addresses in [process]"
            ) from error
        # The system chooses the port if the settings say 0.
        self.directory.update_own(
            peer=own.peer_public or tcp_stream.bound_address(self._servers[1]),
            control=own.control_public or self.control_channel.address,
        )
        self.spawn(self.follower.run())
        self.spawn(self.control_protocols.join(self.store))
        self.spawn(self.target_discovery.run())
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
        """Address on which callers are accepted, after `start`."""
        return tcp_stream.bound_address(self._servers[0])

    async def stop(self) -> None:
        """Shuts down gracefully, after the requests in flight."""
        if not self.stopping:
            self.request_stop()
        await shutdown.stop(self)
        await self.close()

    def request_stop(self) -> None:
        """Requests the shutdown, which `stop` then performs.

        Another request extends the deadlines.
        """
        now, grace = self.clock.monotonic(), self.settings.platform.grace
        if not self.stopping:
            self.stopping = True
            self.stop_deadlines = stop_deadlines.initial_deadlines(now, grace)
            return
        self.stop_deadlines = stop_deadlines.extended_deadlines(
            self.stop_deadlines, now, grace
        )
        self.apply_stop_deadlines()
        _log.info("stop_requested_again", running=self.running())

    def apply_stop_deadlines(self) -> None:
        """Applies the deadlines of the shutdown to all requests."""
        self.forwarder.set_stop_deadlines(self.stop_deadlines)
        self.streamed_bodies.set_deadlines(self.stop_deadlines)

    def stop_accepting(self) -> None:
        """Stops accepting connections of callers."""
        self._servers[0].close()
        self.ingress.closed = True

    async def close(self) -> None:
        """Closes all connections and cancels all tasks at once."""
        for server in self._servers:
            server.close()
        self.ticker.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in list(self.server_connections):
            connection.close()
        self.peer_connections.close()
        for local_target in self.local_targets.by_name.values():
            local_target.pool.close_idle()
        self.control_channel.close()
        self.store.close()

    def reload(self, changed: settings.Settings) -> None:
        """Applies changed settings, except those that need a restart.

        Raises:
            errors.UserError: The policy file can't be read or is invalid;
                nothing has changed then.
        """
        loaded_settings.apply(self, changed)

    def running(self) -> int:
        """Number of requests in flight, from callers and from peers.

        A peer connection counts once, however many requests it carries.
        """
        return self.ingress.running + self._running_for_others()

    def pending_responses(self) -> int:
        """Number of responses that callers and peers still wait for.

        Unlike `running`, this includes requests that are still being read and
        responses that are not yet in the socket buffer.
        """
        return self.ingress.pending_connections + self._running_for_others()

    def _running_for_others(self) -> int:
        connections = self.server_connections
        from_peers = sum(1 for connection in connections if connection.busy)
        return self.local_targets.running + from_peers

    def ready(self) -> bool:
        """Whether the platform should send callers to this process."""
        if self.stopping or not self.active_catalog.loaded:
            return False
        age = self.clock.monotonic() - self._started_at
        return (
            self.control_protocols.has_joined
            or age >= READY_WITHOUT_PEERS_SECONDS
        )

    def spawn(self, coroutine) -> asyncio.Task:
        """Runs a coroutine in the background until the process ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Configuration.

    def overload_control(self) -> bool:
        """Returns whether overload control is in force."""
        return overload.is_enabled(
            self.settings.overload.mode,
            self.active_catalog.catalog.has_bulk_routes,
        )

    def service_policy(self, service: str) -> policy.ServicePolicy:
        """Returns the rules for a service."""
        return self.policy.service_policy(service)

    def _handle_store_data_lost(self) -> None:
        """Repeats writes and reads after the store lost acknowledged data."""
        self.directory.update_own(store_epoch=self.store.epoch or 0)
        self.follower.restart_read()
        self.control_protocols.store_data_lost.set()
        self.quarantine_store.rewrite_all()
        self.departure_store.handle_loss()

    def _handle_records_read(self, epoch: int) -> None:
        """Handles the end of a read of all records of the store."""
        if epoch > self.directory.own.store_epoch:
            self.directory.update_own(store_epoch=epoch)
        self.departure_store.finish_loading(epoch)
        self.target_registry.acceptance.evidence.records_read = True

    def _apply_activated_catalog(
        self, activated: catalog.Catalog, source: str
    ) -> None:
        """Passes a newly activated catalog to the components that use it.

        Peers receive its version.
        """
        if source != configuration_loader.STORE_SOURCE:
            self.follower.handle_newer_peer_version(self.clock.monotonic())
        # The tick sends the version to peers.
        self.ticker.wake(0.0)
        self.target_registry.apply_catalog(activated)
        self.balancer.retry_budgets.shortest_objective_by_service = (
            activated.shortest_objective_by_service
        )
        self.directory.update_own(config=activated.version)

    async def _handle_caller_request(
        self, request: exchange.Request, sink: exchange.Sink
    ) -> exchange.Result:
        self._detect_pause()
        self.ticker.wake()
        wait = await self.rate_limiter.admit(request.organisation)
        if wait is not None:
            self.rate_limiter.log_rejection(request, wait)
            return exchange.not_run(Reason.LIMITED, wait)
        with self.streamed_bodies.track(request):
            result = await self.forwarder.run(request, sink)
        if result.ending.outcome is messages.Outcome.NOT_RUN:
            self.rate_limiter.refund(request.organisation)
        return result

    def _find_route(
        self, host: str, path: str, keys: tuple[bytes, ...]
    ) -> ingress.RouteMatch | None:
        current = self.active_catalog.catalog
        route = current.routes.find(host, path)
        if route is None:
            return None
        caller = None
        if current.callers is not None:
            caller = current.callers.identify(keys, route.allows_anonymous)
        return ingress.RouteMatch(route, route.pick_service(self._rng), caller)

    def _distribute_evidence(self) -> None:
        """Distributes evidence on requests that crash targets."""
        # Peers must know the evidence before the next attempt of the request.
        self.ticker.wake(0.0)
        self.quarantine_store.save()

    def _announce_target_change(self, controller: admission.Controller) -> None:
        """Logs a change of a target and sends its load to recent senders."""
        load = controller.load(self.clock.monotonic())
        update = messages.LoadUpdate(controller.name, load)
        since = float("-inf")
        if not controller.closed:
            since = asyncio.get_running_loop().time() - RECENT_SENDER_SECONDS
        for connection in list(self.server_connections):
            connection.send_load_update(update, since)
        if controller.health.ejected:
            self.counters.ejections_by_signal[
                str(controller.health.signal)
            ] += 1
        _log.info(
            "target_changed",
            target=controller.name,
            state=str(update.load.state),
            sign=str(controller.health.signal),
            risk=load.unhealthy_probability,
            running=load.in_flight,
        )
        if controller.closed:
            self.control_protocols.publish_targets()

    def _apply_load_update(self, update: messages.LoadUpdate) -> None:
        now = self.clock.monotonic()
        self.balancer.update_load(update.target, update.load, now)

    # Requests from peers.

    async def _handle_peer_request(
        self,
        connection: peer_server.ServerConnection,
        start: messages.RequestStart,
        body: exchange.Body,
        sink: peer_server.ResponseSink,
    ) -> exchange.Result:
        self._detect_pause()
        self.ticker.wake()
        now = self.clock.monotonic()
        if start.incarnation != self.incarnation:
            # A pause of this process may have delayed the request.
            return exchange.not_run(Reason.STALE)
        request = peer_requests.to_request(start, body, now)
        ticket = peer_requests.to_ticket(start, connection.peer_hello.boot, now)
        if start.rate_limit is not None:
            self.local_targets.adopt_rate_limit(start.target, start.rate_limit)
        sender = connection.peer_hello.name
        self.idle_targets.record_sender(
            start.target, sender, start.idempotent, now
        )
        with self.streamed_bodies.track(request):
            return await self.local_targets.run(
                start.target, ticket, request, sink
            )

    def _handle_fence(self, fence: messages.FenceRequest) -> bool:
        if fence.to_boot != self.boot:
            # An earlier run of this process may have started the request.
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
        connection = peer_server.ServerConnection(
            frames,
            self._make_hello,
            self._key,
            self._handle_peer_request,
            self._handle_fence,
            lambda: _log.warning("peer_refused", peer=frames.peer_address),
            self.forwarder.dispatcher.relay_fence,
        )
        on_lost = frames.on_lost

        def discard_connection() -> None:
            self.server_connections.discard(connection)
            on_lost()

        frames.on_lost = discard_connection
        self.server_connections.add(connection)

    def _make_hello(self) -> messages.Hello:
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
        now = self.clock.monotonic()
        call_results.record(
            self.run_calls, self.balancer, request, ending, seconds, now
        )
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

    # Ticks and control messages.

    def _has_work(self) -> bool:
        """Whether there is work that needs frequent ticks."""
        return bool(
            self.ingress.running
            or self.local_targets.running
            or self.balancer.reachability.has_running_timers
            or self.control_protocols.is_active(self.clock.monotonic())
        )

    def _receive_control(self, message: messages.Control) -> None:
        if isinstance(message, rate_limiting.MESSAGE_TYPES):
            self.rate_limiter.receive(message)
            return
        self.rate_limiter.limiter.mark_alive(message.sender.name)
        self.control_protocols.receive(message)
        self.configuration_loader.activate_pending()
        sender = message.sender
        if isinstance(sender, messages.ProcessInfo):
            self._check_store_epoch(sender)
        if self.control_protocols.is_active(self.clock.monotonic()):
            self.ticker.wake()

    def _check_store_epoch(self, peer: messages.ProcessInfo) -> None:
        """Reads the store again if a peer knows a newer epoch of it.

        Processes that are not readers learn only from peers that the store has
        lost data.
        """
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
        self._detect_pause()
        now = self.clock.monotonic()
        self.configuration_loader.activate_pending()
        self.local_targets.tick(now)
        self.peer_connections.tick()
        self._update_local_loads(now)
        if self.active_catalog.loaded:
            self.idle_targets.tick(now)
        if now >= self._next_keepalive:
            self._next_keepalive = now + KEEPALIVE_INTERVAL
            for connection in list(self.server_connections):
                connection.send_keepalive()
        if now >= self._next_slow_tick:
            self._next_slow_tick = now + SLOW_TICK_INTERVAL
            self.ingress.tick(now)
            self.target_registry.expire(now)
            self.control_protocols.update_own_targets()
            self.quarantine_store.tick()
        self.control_protocols.tick(now)
        self.rate_limiter.tick(now)
        self.follower.update_role()

    def _update_local_loads(self, now: float) -> None:
        """Updates the load balancer with the load of the local targets."""
        for local_target in self.local_targets.by_name.values():
            self.balancer.update_load(
                local_target.controller.name,
                local_target.controller.load(now),
                now,
            )

    def _detect_pause(self) -> None:
        """Detects a pause of this process; must run before other work.

        Requests that arrived during a pause have less time left than they say.
        They name the previous incarnation and are rejected as stale.
        """
        now = self.clock.monotonic()
        pause_seconds = now - self._last_pause_check
        self._last_pause_check = now
        if pause_seconds < MIN_PAUSE_SECONDS:
            return
        self.incarnation += 1
        _log.warning("paused", seconds=round(pause_seconds, 2))
        for local_target in self.local_targets.by_name.values():
            local_target.controller.exclude_pause(pause_seconds)
        self.control_protocols.handle_pause()
