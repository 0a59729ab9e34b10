"""Tracks which other processes are reachable from this one.

A process becomes unreachable when its connection breaks or when an expected
reply does not arrive in time; the health of its targets is not affected. It
becomes reachable again as soon as a message from it arrives. Heartbeats request
such a message, so no request of a caller is needed to test the connection.
"""

# Seconds without an expected reply after which a process is unreachable. A peer
# that owes a response sends a keep-alive every 0.2 s, so this is two missing
# ones and a tick.
REPLY_TIMEOUT_SECONDS = 0.5
# Seconds until the first heartbeat to an unreachable process.
INITIAL_BACKOFF_SECONDS = 0.25
# Maximum seconds until the next heartbeat after repeated failures.
MAX_BACKOFF_SECONDS = 1.0


class _Peer:
    """Reachability of one process.

    Attributes:
        failures: Consecutive failures.
        unreachable: Whether no requests may be sent to it.
        next_heartbeat_at: Monotonic seconds at which the next heartbeat is
            due while the process is unreachable.
        reply_expected_since: Monotonic seconds since which a reply is expected;
            None if no reply is expected.
        cause: Cause of the last failure.
    """

    def __init__(self):
        self.failures = 0
        self.unreachable = False
        self.next_heartbeat_at = 0.0
        self.reply_expected_since: float | None = None
        self.cause = ""


class Reachability:
    """Reachability of all other processes, by process name."""

    def __init__(self):
        self._peer_by_process: dict[str, _Peer] = {}

    @property
    def has_running_timers(self) -> bool:
        """Whether a reply timeout or a heartbeat timer is running."""
        return any(
            peer.unreachable or peer.reply_expected_since is not None
            for peer in self._peer_by_process.values()
        )

    def is_reachable(self, process: str) -> bool:
        """Returns whether requests may be sent to a process."""
        peer = self._peer_by_process.get(process)
        return peer is None or not peer.unreachable

    def expect_reply(self, process: str, now: float) -> None:
        """Starts the reply timeout, unless it is running already."""
        peer = self._peer_by_process.setdefault(process, _Peer())
        if peer.reply_expected_since is None:
            peer.reply_expected_since = now

    def record_reply(self, process: str) -> bool:
        """Records a message from a process.

        Returns:
            Whether the process was unreachable before.
        """
        peer = self._peer_by_process.get(process)
        if peer is None:
            return False
        was_unreachable = peer.unreachable
        peer.reply_expected_since = None
        peer.failures = 0
        peer.unreachable = False
        return was_unreachable

    def cancel_expected_reply(self, process: str) -> None:
        """Stops the reply timeout, as no request is in flight."""
        peer = self._peer_by_process.get(process)
        if peer is not None:
            peer.reply_expected_since = None

    def exclude_delay(self, seconds: float, now: float) -> None:
        """Excludes a delay of this process from all reply timeouts.

        While its event loop was blocked, replies may have arrived unread.

        Args:
            seconds: Length of the delay that ends now.
            now: Monotonic seconds.
        """
        for peer in self._peer_by_process.values():
            if peer.reply_expected_since is not None:
                peer.reply_expected_since = min(
                    now, peer.reply_expected_since + seconds
                )

    def mark_unreachable(self, process: str, cause: str, now: float) -> None:
        """Marks a process as unreachable until a message from it arrives."""
        peer = self._peer_by_process.setdefault(process, _Peer())
        peer.failures += 1
        delay = INITIAL_BACKOFF_SECONDS * 2 ** min(peer.failures - 1, 8)
        peer.next_heartbeat_at = now + min(MAX_BACKOFF_SECONDS, delay)
        peer.unreachable = True
        peer.reply_expected_since = None
        peer.cause = cause

    def remove(self, process: str) -> None:
        """Removes a process that is dead or has left."""
        self._peer_by_process.pop(process, None)

    def take_due_heartbeats(self, now: float) -> list[str]:
        """Returns the processes whose heartbeat is due; schedules the next."""
        due = []
        for process, peer in self._peer_by_process.items():
            if peer.unreachable and now >= peer.next_heartbeat_at:
                peer.next_heartbeat_at = now + MAX_BACKOFF_SECONDS / 2
                due.append(process)
        return due

    def take_timed_out(self, now: float) -> list[str]:
        """Marks processes with an overdue reply and returns their names."""
        timed_out = [
            process
            for process, peer in self._peer_by_process.items()
            if peer.reply_expected_since is not None
            and now - peer.reply_expected_since >= REPLY_TIMEOUT_SECONDS
        ]
        for process in timed_out:
            self.mark_unreachable(process, "silent", now)
        return timed_out

    def unreachable_causes(self) -> dict[str, str]:
        """Returns the cause of failure by unreachable process."""
        return {
            process: peer.cause
            for process, peer in self._peer_by_process.items()
            if peer.unreachable
        }
