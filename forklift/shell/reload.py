"""Reads the settings again when their file changes, or on SIGHUP."""

import asyncio
from collections.abc import Callable

import structlog

from forklift import errors
from forklift import settings

_log = structlog.get_logger(__name__)

# Seconds between two looks at the file; it may change without a signal.
POLL_INTERVAL = 1.0


class Watcher:
    """Watches the settings file of a process."""

    def __init__(
        self,
        path: str,
        read: settings.Settings,
        on_change: Callable[[settings.Settings], None],
    ):
        self._path = path
        self._read = read
        self._on_change = on_change
        self._text = ""
        self.refused = 0

    def check(self) -> bool:
        """Reads the file; True when other settings are in force now.

        Settings that can't be used are refused, and the old ones stay.
        """
        try:
            text = settings.read_file(self._path)
            if text == self._text:
                return False
            self._text = text
            found = settings.parse(self._path, text)
        except errors.UserError as error:
            self.refused += 1
            _log.warning("settings_refused", detail=str(error))
            return False
        if found == self._read:
            return False
        return self._take(found)

    async def run(self) -> None:
        """Looks for ever."""
        while True:
            self.check()
            await asyncio.sleep(POLL_INTERVAL)

    def _take(self, found: settings.Settings) -> bool:
        if found.process != self._read.process:
            _log.warning(
                "settings_need_restart",
                detail="[process] changed; restart the process to use it",
            )
            return False
        try:
            self._on_change(found)
        except errors.UserError as error:
            self.refused += 1
            _log.warning("settings_refused", detail=str(error))
            return False
        self._read = found
        _log.info("settings_in_force")
        return True
