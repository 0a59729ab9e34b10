"""What an entry knows of its paths to other processes.

A path is doubted, not the target behind it, when the other process owes a
sign of life and gives none, or when its connection breaks. It comes back only
when the process is heard; beats ask for that, so no request is spent on it.
"""

# Seconds without a sign that condemn a path. A peer that owes an answer gives
# one each 0.2 s, so this is two that did not come, and a tick.
SILENCE = 0.5
# First pause before an avoided path is asked for a sign, and the longest.
AVOID_FIRST = 0.25
AVOID_MOST = 1.0


class Path:
    """The path to one process."""

    def __init__(self):
        self.failures = 0
        self.avoided = False
        self.next_beat = 0.0
        self.owed_since: float | None = None
        self.cause = ""


class Paths:
    """All paths of one process, by the name of the other."""

    def __init__(self):
        self._path_by_process: dict[str, Path] = {}

    @property
    def doubtful(self) -> bool:
        """Whether any path owes a sign, or is to be asked for one."""
        return any(
            path.avoided or path.owed_since is not None
            for path in self._path_by_process.values()
        )

    def usable(self, process: str) -> bool:
        """Whether requests may take the path."""
        path = self._path_by_process.get(process)
        return path is None or not path.avoided

    def sent(self, process: str, now: float) -> None:
        """Something was sent that the other side owes a sign for."""
        path = self._path_by_process.setdefault(process, Path())
        if path.owed_since is None:
            path.owed_since = now

    def heard(self, process: str) -> bool:
        """A sign arrived; True when the path had been avoided."""
        path = self._path_by_process.get(process)
        if path is None:
            return False
        avoided = path.avoided
        path.owed_since = None
        path.failures = 0
        path.avoided = False
        return avoided

    def settled(self, process: str) -> None:
        """Nothing is owed any more, as no request is in flight."""
        path = self._path_by_process.get(process)
        if path is not None:
            path.owed_since = None

    def path_failed(self, process: str, cause: str, now: float) -> None:
        """The path failed; it is avoided until the process is heard."""
        path = self._path_by_process.setdefault(process, Path())
        path.failures += 1
        wait = AVOID_FIRST * 2 ** min(path.failures - 1, 8)
        path.next_beat = now + min(AVOID_MOST, wait)
        path.avoided = True
        path.owed_since = None
        path.cause = cause

    def forget(self, process: str) -> None:
        """The process is dead, or has left."""
        self._path_by_process.pop(process, None)

    def to_beat(self, now: float) -> list[str]:
        """Processes on avoided paths that are to be asked for a sign."""
        due = []
        for process, path in self._path_by_process.items():
            if path.avoided and now >= path.next_beat:
                path.next_beat = now + AVOID_MOST / 2
                due.append(process)
        return due

    def silent(self, now: float) -> list[str]:
        """Processes whose sign is overdue; their paths failed."""
        silent = [
            process
            for process, path in self._path_by_process.items()
            if path.owed_since is not None and now - path.owed_since >= SILENCE
        ]
        for process in silent:
            self.path_failed(process, "silent", now)
        return silent

    def avoided(self) -> dict[str, str]:
        """Processes whose paths are avoided now, with the cause."""
        return {
            process: path.cause
            for process, path in self._path_by_process.items()
            if path.avoided
        }
