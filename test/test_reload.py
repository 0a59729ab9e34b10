"""Reloading of settings while a process runs."""

import pytest

from forklift import errors
from forklift import settings
from forklift.shell import reload
from test import test_ui

TEXT = test_ui.PROCESS


class Rig:
    """A watcher of a settings file, and the settings it applied."""

    def __init__(self, path):
        self.path = path
        self.path.write_text(TEXT)
        self.applied: list[settings.Settings] = []
        current = settings.parse("f", TEXT)
        self.watcher = reload.Watcher(str(path), current, self.applied.append)
        self.watcher.check()

    def write(self, text: str) -> bool:
        self.path.write_text(text)
        return self.watcher.check()


@pytest.fixture
def rig(tmp_path):
    return Rig(tmp_path / "f.ini")


def test_unchanged_settings_are_not_applied(rig):
    assert not rig.write(TEXT + "\n# a comment\n")
    assert rig.applied == []


def test_changed_settings_are_applied_without_a_signal(rig):
    assert rig.write(TEXT + "grace = 9\n")
    assert rig.applied[-1].platform.grace == 9


@pytest.mark.parametrize("text", ["", "[", TEXT + "grace = soon\n"])
def test_invalid_settings_are_rejected_and_current_ones_stay(rig, text):
    assert not rig.write(text)
    assert rig.applied == []
    assert rig.watcher.rejected == 1
    # The same invalid file is not parsed again; a valid one is applied.
    assert not rig.watcher.check()
    assert rig.watcher.rejected == 1
    assert rig.write(TEXT + "grace = 9\n")


def test_missing_file_is_rejected(rig):
    rig.path.unlink()
    assert not rig.watcher.check()
    assert rig.watcher.rejected == 1


def test_changed_process_section_needs_a_restart(rig):
    assert not rig.write(TEXT.replace("name = p", "name = q"))
    assert rig.applied == []


def test_settings_that_the_process_can_not_apply_are_rejected(tmp_path):
    def fail(changed: settings.Settings) -> None:
        raise errors.UserError("no; give another")

    path = tmp_path / "f.ini"
    path.write_text(TEXT + "grace = 9\n")
    current = settings.parse("f", TEXT)
    watcher = reload.Watcher(str(path), current, fail)
    assert not watcher.check()
    assert watcher.rejected == 1
