"""What an entry knows of its paths to other processes.

A path is doubted, not the target behind it, when the other process owes a
sign of life and gives none, or when its connection breaks. It comes back only
when the process is heard; beats ask for that, so no request is spent on it.
"""

# Seconds without a sign that condemn a path. A peer that owes an answer gives
# one each 0.2 s, so this is two that did not come, and a tick.
REPLY_TIMEOUT = 0.5
# First pause before an avoided path is asked for a sign, and the longest.
INITIAL_BACKOFF = 0.25
MAX_BACKOFF = 1.0


class _Peer:
    """The path to one process."""

    def __init__(self):
        self.failures = 0
        self.unreachable = False
        self.next_heartbeat_at = 0.0
        self.reply_expected_since: float | None = None
        self.cause = ""


class Reachability:
    """All paths of one process, by the name of the other."""

    def __init__(self):
        self._peer_by_process: dict[str, _Peer] = {}

    @property
    def needs_checks(self) -> bool:
        """Whether any path owes a sign, or is to be asked for one."""
        return any(
            peer.unreachable or peer.reply_expected_since is not None
            for peer in self._peer_by_process.values()
        )

    def is_reachable(self, process: str) -> bool:
        """Whether requests may take the path."""
        peer = self._peer_by_process.get(process)
        return peer is None or not peer.unreachable

    def expect_reply(self, process: str, now: float) -> None:
        """Something was sent that the other side owes a sign for."""
        peer = self._peer_by_process.setdefault(process, _Peer())
        if peer.reply_expected_since is None:
            peer.reply_expected_since = now

    def record_reply(self, process: str) -> bool:
        """A sign arrived; True when the path had been avoided."""
        peer = self._peer_by_process.get(process)
        if peer is None:
            return False
        unreachable = peer.unreachable
        peer.reply_expected_since = None
        peer.failures = 0
        peer.unreachable = False
        return unreachable

    def cancel_expected_reply(self, process: str) -> None:
        """Nothing is owed any more, as no request is in flight."""
        peer = self._peer_by_process.get(process)
        if peer is not None:
            peer.reply_expected_since = None

    def mark_unreachable(self, process: str, cause: str, now: float) -> None:
        """The path failed; it is avoided until the process is heard."""
        peer = self._peer_by_process.setdefault(process, _Peer())
        peer.failures += 1
        wait = INITIAL_BACKOFF * 2 ** min(peer.failures - 1, 8)
        peer.next_heartbeat_at = now + min(MAX_BACKOFF, wait)
        peer.unreachable = True
        peer.reply_expected_since = None
        peer.cause = cause

    def remove(self, process: str) -> None:
        """The process is dead, or has left."""
        self._peer_by_process.pop(process, None)

    def take_due_heartbeats(self, now: float) -> list[str]:
        """Processes on avoided paths that are to be asked for a sign."""
        due = []
        for process, peer in self._peer_by_process.items():
            if peer.unreachable and now >= peer.next_heartbeat_at:
                peer.next_heartbeat_at = now + MAX_BACKOFF / 2
                due.append(process)
        return due

    def take_timed_out(self, now: float) -> list[str]:
        """Processes whose sign is overdue; their paths failed."""
        timed_out = [
            process
            for process, peer in self._peer_by_process.items()
            if peer.reply_expected_since is not None
            and now - peer.reply_expected_since >= REPLY_TIMEOUT
        ]
        for process in timed_out:
            self.mark_unreachable(process, "silent", now)
        return timed_out

    def unreachable_causes(self) -> dict[str, str]:
        """Processes whose paths are avoided now, with the cause."""
        return {
            process: peer.cause
            for process, peer in self._peer_by_process.items()
            if peer.unreachable
        }
