"""Reloads the settings when their files change, or on SIGHUP.

These are the settings file and the policy file that it names.
"""

import asyncio
from collections.abc import Callable

import structlog

from forklift import errors
from forklift import settings

_log = structlog.get_logger(__name__)

# Seconds between two checks of the files.
POLL_INTERVAL = 1.0


class Watcher:
    """Watches the settings file and the policy file of a process.

    Attributes:
        rejected: Number of changes that were rejected as invalid.
    """

    def __init__(
        self,
        path: str,
        current: settings.Settings,
        on_change: Callable[[settings.Settings], None],
    ):
        """Creates a watcher that has not read the files yet.

        Args:
            path: Settings file.
            current: Settings that the process uses.
            on_change: Applies settings and reads the policy file; raises
                `errors.UserError` if they can't be applied.
        """
        self._path = path
        self._current = current
        self._on_change = on_change
        self._text = ""
        # Text of the policy file; None before it is read.
        self._policy_text: str | None = None
        self.rejected = 0

    def check(self) -> bool:
        """Reads the files and applies the settings if they changed.

        Invalid settings are rejected, and the current ones stay in use.

        Returns:
            Whether changed settings were applied.
        """
        try:
            policy_changed = self._read_policy()
            text = settings.read_file(self._path)
            if text == self._text and not policy_changed:
                return False
            self._text = text
            changed = settings.parse(self._path, text)
        except errors.UserError as error:
            self.rejected += 1
            _log.warning("settings_rejected", detail=str(error))
            return False
        if changed == self._current and not policy_changed:
            return False
        return self._apply(changed)

    async def run(self) -> None:
        """Checks the file periodically until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(POLL_INTERVAL)

    def _read_policy(self) -> bool:
        """Returns whether the policy file has changed since the last call."""
        path = self._current.process.policy
        previous = self._policy_text
        self._policy_text = settings.read_file(path) if path else ""
        return previous is not None and self._policy_text != previous

    def _apply(self, changed: settings.Settings) -> bool:
        keys = settings.changes_that_need_restart(self._current, changed)
        if keys:
            _log.warning(
                "settings_need_restart",
                keys=keys,
                detail="no change of the file was applied; restart the "
                "process, or take these keys back",
            )
            return False
        try:
            self._on_change(changed)
        except errors.UserError as error:
            self.rejected += 1
            _log.warning("settings_rejected", detail=str(error))
            return False
        if changed.process.policy != self._current.process.policy:
            self._policy_text = None
        self._current = changed
        _log.info("settings_applied")
        return True
