"""Settings that change while a process runs."""

import pytest

from forklift import errors
from forklift import settings
from forklift.shell import reload
from test import test_ui

TEXT = test_ui.PROCESS


class Rig:
    """A watcher of a file, and what it handed on."""

    def __init__(self, path):
        self.path = path
        self.path.write_text(TEXT)
        self.taken: list[settings.Settings] = []
        read = settings.parse("f", TEXT)
        self.watcher = reload.Watcher(str(path), read, self.taken.append)
        self.watcher.check()

    def write(self, text: str) -> bool:
        self.path.write_text(text)
        return self.watcher.check()


@pytest.fixture
def rig(tmp_path):
    return Rig(tmp_path / "f.ini")


def test_the_same_settings_are_no_news(rig):
    assert not rig.write(TEXT + "\n# a comment\n")
    assert rig.taken == []


def test_a_change_is_taken_without_a_signal(rig):
    assert rig.write(TEXT + "grace = 9\n")
    assert rig.taken[-1].platform.grace == 9


@pytest.mark.parametrize("text", ["", "[", TEXT + "grace = soon\n"])
def test_unusable_settings_are_refused_and_the_old_ones_stay(rig, text):
    assert not rig.write(text)
    assert rig.taken == []
    assert rig.watcher.refused == 1
    # What is refused is not tried again, and a good file is taken.
    assert not rig.watcher.check()
    assert rig.watcher.refused == 1
    assert rig.write(TEXT + "grace = 9\n")


def test_a_file_that_is_gone_is_refused(rig):
    rig.path.unlink()
    assert not rig.watcher.check()
    assert rig.watcher.refused == 1


def test_who_a_process_is_needs_a_restart(rig):
    assert not rig.write(TEXT.replace("name = p", "name = q"))
    assert rig.taken == []


def test_settings_that_the_process_refuses_are_refused(tmp_path):
    def refuse(read: settings.Settings) -> None:
        raise errors.UserError("no; give another")

    path = tmp_path / "f.ini"
    path.write_text(TEXT + "grace = 9\n")
    read = settings.parse("f", TEXT)
    watcher = reload.Watcher(str(path), read, refuse)
    assert not watcher.check()
    assert watcher.refused == 1
