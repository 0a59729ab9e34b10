"""The open connections to peers, by the name of the process."""

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

_log = structlog.get_logger(__name__)

# Seconds that a request waits for a connection to be opened: within one
# region that takes a few milliseconds, and another target may be asked.
OPEN_WAIT = 0.25


class PeerConnections:
    """Opens connections on demand and shares them among requests."""

    def __init__(
        self,
        directory: membership.Directory,
        known: reachability.Reachability,
        hello: Callable[[], messages.Hello],
        key: bytes,
        clock,
        on_load_update: Callable[[messages.LoadUpdate], None] | None = None,
    ):
        self._on_load_update = on_load_update
        self._directory = directory
        self._reachability = known
        self._hello = hello
        self._key = key
        self._clock = clock
        self.connection_by_process: dict[str, peer_client.ClientConnection] = {}
        self._opening_by_process: dict[str, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()

    async def get(self, process: str) -> peer_client.ClientConnection:
        """The connection to a process, opened where there is none.

        Raises:
            errors.PeerUnreachable: Nothing was sent.
        """
        link = self.connection_by_process.get(process)
        if link is not None and not link.lost:
            return link
        opening = self._begin(process)
        try:
            async with asyncio.timeout(OPEN_WAIT):
                return await asyncio.shield(opening)
        except TimeoutError as error:
            now = self._clock.monotonic()
            self._fail(process, "slow to open", now)
            raise errors.PeerUnreachable(process, "slow to open") from error

    def _begin(self, process: str) -> asyncio.Task:
        """Opens a connection, unless that is under way."""
        opening = self._opening_by_process.get(process)
        if opening is None:
            opening = asyncio.create_task(self._open(process))
            self._opening_by_process[process] = opening
            opening.add_done_callback(lambda done: self._opened(process, done))
        return opening

    def _opened(self, process: str, opening: asyncio.Task) -> None:
        self._opening_by_process.pop(process, None)
        if not opening.cancelled() and opening.exception() is not None:
            _log.debug("link_failed", detail=str(opening.exception()))

    def tick(self) -> None:
        """Judges paths by the signs of life that peers owe."""
        now = self._clock.monotonic()
        for process, link in list(self.connection_by_process.items()):
            if link.lost:
                del self.connection_by_process[process]
            elif link.pending_count:
                self._reachability.expect_reply(process, now)
            else:
                self._reachability.cancel_expected_reply(process)
        for process in self._reachability.take_timed_out(now):
            _log.warning("peer_lost", process=process, cause="silent")
            link = self.connection_by_process.get(process)
            if link is not None:
                link.fail_idempotent()
        for process in self._reachability.take_due_heartbeats(now):
            task = asyncio.create_task(self._ask_for_sign(process))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def connected_except(self, process: str) -> list[str]:
        """Processes that are connected, other than one, and not silent."""
        return [
            name
            for name, link in self.connection_by_process.items()
            if name != process
            and not link.lost
            and not link.unresponsive.is_set()
        ]

    def close(self) -> None:
        """Closes all connections."""
        for link in self.connection_by_process.values():
            link.close()

    async def _ask_for_sign(self, process: str) -> None:
        try:
            link = await self.get(process)
            link.send_keepalive()
        except (errors.PeerUnreachable, framing.PeerConnectionLost):
            return

    async def _open(self, process: str) -> peer_client.ClientConnection:
        now = self._clock.monotonic
        member = self._directory.member_by_name.get(process)
        if member is None:
            self._fail(process, "unknown", now())
            raise errors.PeerUnreachable(process, "not in the directory")
        # Bytes within a failure domain are cheaper than the time to pack them.
        far = member.info.domain != self._directory.own.domain
        hello = msgspec.structs.replace(self._hello(), compress=far)
        try:
            link = await peer_client.connect(member.info.peer, hello, self._key)
        except (
            OSError,
            TimeoutError,
            peer_client.AuthenticationFailed,
        ) as error:
            self._fail(process, "unreachable", now())
            detail = str(error) or type(error).__name__
            raise errors.PeerUnreachable(process, detail) from error
        if link.peer.name != process:
            link.close()
            self._fail(process, "another answers", now())
            raise errors.PeerUnreachable(process, "another process answers")
        link.on_reply = lambda: self._hear(process)
        if self._on_load_update is not None:
            link.on_load_update = self._on_load_update
        link.on_lost = lambda: self._lost(process, link)
        # It has just shown that both ways are open.
        self._hear(process)
        self.connection_by_process[process] = link
        return link

    def _fail(self, process: str, cause: str, now: float) -> None:
        if self._reachability.is_reachable(process):
            _log.warning("peer_lost", process=process, cause=cause)
        self._reachability.mark_unreachable(process, cause, now)

    def _hear(self, process: str) -> None:
        if self._reachability.record_reply(process):
            _log.info("peer_back", process=process)

    def _lost(self, process: str, link: peer_client.ClientConnection) -> None:
        """A connection broke: the path is avoided until a new one opens."""
        if self.connection_by_process.get(process) is not link:
            return
        del self.connection_by_process[process]
        self._fail(process, "lost", self._clock.monotonic())
