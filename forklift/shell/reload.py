"""Reloads the settings when their file changes, or on SIGHUP."""

import asyncio
from collections.abc import Callable

import structlog

from forklift import errors
from forklift import settings

_log = structlog.get_logger(__name__)

# Seconds between two checks of the file.
POLL_INTERVAL = 1.0


class Watcher:
    """Watches the settings file of a process.

    Attributes:
        rejected: Number of changes that were rejected as invalid.
    """

    def __init__(
        self,
        path: str,
        current: settings.Settings,
        on_change: Callable[[settings.Settings], None],
    ):
        """Creates a watcher that has not read the file yet.

        Args:
            path: Settings file.
            current: Settings that the process uses.
            on_change: Applies new settings; raises `errors.UserError` if they
                can't be applied.
        """
        self._path = path
        self._current = current
        self._on_change = on_change
        self._text = ""
        self.rejected = 0

    def check(self) -> bool:
        """Reads the file and applies its settings if they changed.

        Invalid settings are rejected, and the current ones stay in use.

        Returns:
            Whether changed settings were applied.
        """
        try:
            text = settings.read_file(self._path)
            if text == self._text:
                return False
            self._text = text
            changed = settings.parse(self._path, text)
        except errors.UserError as error:
            self.rejected += 1
            _log.warning("settings_rejected", detail=str(error))
            return False
        if changed == self._current:
            return False
        return self._apply(changed)

    async def run(self) -> None:
        """Checks the file periodically until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(POLL_INTERVAL)

    def _apply(self, changed: settings.Settings) -> bool:
        if changed.process != self._current.process:
            _log.warning(
                "settings_need_restart",
                detail="section [process] changed; restart the process to "
                "apply it",
            )
            return False
        try:
            self._on_change(changed)
        except errors.UserError as error:
            self.rejected += 1
            _log.warning("settings_rejected", detail=str(error))
            return False
        self._current = changed
        _log.info("settings_applied")
        return True
