"""Connections to peers, by process name."""

import asyncio
from collections.abc import Callable

import msgspec
import structlog

from forklift import errors
from forklift import membership
from forklift import messages
from forklift import reachability
from forklift.shell import framing
from forklift.shell import peer_client
from forklift.shell import ticker

_log = structlog.get_logger(__name__)

# Seconds that a request waits for a new connection before it tries another
# target. Within one region a connection opens in a few milliseconds.
CONNECTION_TIMEOUT = 0.25
# Seconds by which a tick must be late to be excluded from reply timeouts. Each
# tick is a little late; excluding that would detect silence later.
MIN_OWN_DELAY = reachability.REPLY_TIMEOUT_SECONDS / 2


class PeerConnections:
    """Opens connections on demand and shares them between requests.

    Attributes:
        connection_by_process: Established connections by process name.
    """

    def __init__(
        self,
        directory: membership.Directory,
        peer_reachability: reachability.Reachability,
        make_hello: Callable[[], messages.Hello],
        key: bytes,
        clock,
        on_load_update: Callable[[messages.LoadUpdate], None] | None = None,
    ):
        """Creates an object without connections.

        Args:
            directory: Members, with the addresses to connect to.
            peer_reachability: Records which peers are reachable.
            make_hello: Returns the current hello frame of this process.
            key: Shared key.
            clock: Source of time.
            on_load_update: Called with load updates of the peers' targets.
        """
        self._on_load_update = on_load_update
        self._directory = directory
        self._reachability = peer_reachability
        self._make_hello = make_hello
        self._key = key
        self._clock = clock
        self.connection_by_process: dict[str, peer_client.ClientConnection] = {}
        self._opening_by_process: dict[str, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()
        self._last_tick_at = clock.monotonic()
        self._was_late = False

    async def get(self, process: str) -> peer_client.ClientConnection:
        """Returns the connection to a process; opens one if necessary.

        Raises:
            errors.PeerUnreachable: No connection could be opened in time.
        """
        connection = self.connection_by_process.get(process)
        if connection is not None and not connection.lost:
            return connection
        opening = self._start_opening(process)
        try:
            async with asyncio.timeout(CONNECTION_TIMEOUT):
                return await asyncio.shield(opening)
        except TimeoutError as error:
            now = self._clock.monotonic()
            self._mark_unreachable(process, "slow to open", now)
            raise errors.PeerUnreachable(process, "slow to open") from error

    def _start_opening(self, process: str) -> asyncio.Task:
        """Returns the task that opens a connection; starts it if necessary."""
        opening = self._opening_by_process.get(process)
        if opening is None:
            opening = asyncio.create_task(self._open(process))
            self._opening_by_process[process] = opening
            opening.add_done_callback(
                lambda done: self._handle_opened(process, done)
            )
        return opening

    def _handle_opened(self, process: str, opening: asyncio.Task) -> None:
        self._opening_by_process.pop(process, None)
        if not opening.cancelled() and opening.exception() is not None:
            _log.debug(
                "peer_connection_failed", detail=str(opening.exception())
            )

    def tick(self) -> None:
        """Detects unresponsive peers and sends the keep-alives that are due."""
        now = self._clock.monotonic()
        reads_first = self._exclude_own_delay(now)
        for process, connection in list(self.connection_by_process.items()):
            if connection.lost:
                del self.connection_by_process[process]
            elif connection.unresponsive.is_set():
                # A request may have become one that can be sent elsewhere.
                connection.fail_resendable()
                if self._reachability.is_reachable(process):
                    # The process was removed and has returned.
                    self._mark_unreachable(process, "silent", now)
            elif connection.pending_count:
                self._reachability.expect_reply(process, now)
            else:
                self._reachability.cancel_expected_reply(process)
        timed_out = []
        if not reads_first:
            timed_out = self._reachability.take_timed_out(now)
        for process in timed_out:
            connection = self.connection_by_process.get(process)
            fields = {}
            if connection is not None:
                fields = connection.silence_log_fields()
            _log.warning("peer_lost", process=process, cause="silent", **fields)
            if connection is not None:
                connection.fail_resendable()
        for process in self._reachability.take_due_heartbeats(now):
            task = asyncio.create_task(self._send_keepalive(process))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _exclude_own_delay(self, now: float) -> bool:
        """Ensures that a delay of this process is not taken for a silent peer.

        Returns:
            Whether no timeout may end in this tick, as replies that arrived
            during the delay are not read yet. They are read before the next
            one, so of several late ticks in a row only the first waits.
        """
        delay = now - self._last_tick_at - ticker.BUSY_INTERVAL
        self._last_tick_at = now
        is_late, was_late = delay >= MIN_OWN_DELAY, self._was_late
        self._was_late = is_late
        if is_late:
            self._reachability.exclude_delay(delay, now)
        return is_late and not was_late

    def connected_except(self, process: str) -> list[str]:
        """Returns connected, responsive processes other than the given one."""
        return [
            name
            for name, connection in self.connection_by_process.items()
            if name != process
            and not connection.lost
            and not connection.unresponsive.is_set()
        ]

    def close(self) -> None:
        """Closes all connections."""
        for connection in self.connection_by_process.values():
            connection.close()

    async def _send_keepalive(self, process: str) -> None:
        try:
            connection = await self.get(process)
            connection.send_keepalive()
        except (errors.PeerUnreachable, framing.PeerConnectionLost):
            return

    async def _open(self, process: str) -> peer_client.ClientConnection:
        now = self._clock.monotonic
        member = self._directory.member_by_name.get(process)
        if member is None:
            self._mark_unreachable(process, "unknown", now())
            raise errors.PeerUnreachable(process, "not a known member")
        # Within a failure domain, compression costs more than it saves.
        cross_domain = member.info.domain != self._directory.own.domain
        hello = msgspec.structs.replace(
            self._make_hello(), compress=cross_domain
        )
        try:
            connection = await peer_client.connect(
                member.info.peer, hello, self._key
            )
        except (
            OSError,
            TimeoutError,
            peer_client.AuthenticationFailed,
        ) as error:
            self._mark_unreachable(process, "unreachable", now())
            detail = str(error) or type(error).__name__
            raise errors.PeerUnreachable(process, detail) from error
        if connection.peer_hello.name != process:
            connection.close()
            self._mark_unreachable(process, "another answers", now())
            raise errors.PeerUnreachable(process, "another process answers")
        connection.on_reply = lambda: self._mark_reachable(process)
        if self._on_load_update is not None:
            connection.on_load_update = self._on_load_update
        connection.on_lost = lambda: self._handle_lost(process, connection)
        # The handshake shows that data passes in both directions.
        self._mark_reachable(process)
        self.connection_by_process[process] = connection
        return connection

    def _mark_unreachable(self, process: str, cause: str, now: float) -> None:
        if self._reachability.is_reachable(process):
            _log.warning("peer_lost", process=process, cause=cause)
        self._reachability.mark_unreachable(process, cause, now)

    def _mark_reachable(self, process: str) -> None:
        if self._reachability.record_reply(process):
            _log.info("peer_back", process=process)

    def _handle_lost(
        self, process: str, connection: peer_client.ClientConnection
    ) -> None:
        """Marks the peer as unreachable until a new connection opens."""
        if self.connection_by_process.get(process) is not connection:
            return
        del self.connection_by_process[process]
        self._mark_unreachable(process, "lost", self._clock.monotonic())
