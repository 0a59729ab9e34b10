"""Reloading of settings while a process runs."""

import dataclasses

import pytest

from forklift import errors
from forklift import settings
from forklift.shell import reload
from test import processes
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


def test_changed_policy_file_is_applied(tmp_path):
    """Guards against a policy that waits for a change of the settings."""
    policy_file = tmp_path / "policy.ini"
    policy_file.write_text("[policy]\nname = a\n")
    text = TEXT.replace("name = p", f"name = p\npolicy = {policy_file}")
    path = tmp_path / "f.ini"
    path.write_text(text)
    applied = []
    watcher = reload.Watcher(
        str(path), settings.parse("f", text), applied.append
    )
    assert not watcher.check()
    policy_file.write_text("[policy]\nname = b\n")
    assert watcher.check()
    assert not watcher.check()
    assert len(applied) == 1


def test_rejected_settings_are_not_used_in_part(tmp_path):
    """Guards against new settings beside the policy of the old ones."""
    policy_file = tmp_path / "policy.ini"
    policy_file.write_text("[policy]\nname = a\n[service default]\nretry = (\n")

    async def work(fleet):
        one = fleet.proxies[0]
        before = one.settings
        changed = dataclasses.replace(
            before,
            process=dataclasses.replace(
                before.process, policy=str(policy_file)
            ),
            limits=settings.Limits(far_cost=0.5),
        )
        with pytest.raises(errors.UserError):
            one.reload(changed)
        assert one.settings is before
        assert one.target_registry.settings is before

    processes.play(work, [[]])
