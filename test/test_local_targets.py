"""Tests how the process beside targets finds and runs them."""

import types

import pytest

from forklift import admission
from forklift import header_fields
from forklift import messages
from forklift.shell import local_targets
from test import helper


class RecordingTargets(local_targets.LocalTargets):
    """Targets that only record which of them a request reaches."""

    async def _admit_and_run(self, local_target, ticket, request, sink):
        return local_target.controller.name


def targets(*names: str) -> RecordingTargets:
    found = RecordingTargets(
        header_fields.DEFAULT, None, helper.FakeClock(), lambda: None
    )
    for name in names:
        controller = types.SimpleNamespace(name=name)
        found.add(name, types.SimpleNamespace(controller=controller))
    return found


def reached(found: RecordingTargets, name: str):
    """Returns the name of the target that a request for a name reaches."""
    ticket = admission.Ticket((1, 1), True, 0, 60.0)
    request = types.SimpleNamespace(fingerprint=b"")
    return helper.run(found.run(name, ticket, request, helper.Sink()))


@pytest.mark.parametrize("order", ["ab", "ba"])
def test_all_renamed_targets_are_found_by_their_previous_names(order):
    """Guards against refusals by peers that know only the previous name."""
    found = targets("a", "b")
    for name in order:
        found.rename(name, f"{name}#1")
    for name in "ab":
        assert reached(found, name) == f"{name}#1"


def test_target_that_was_renamed_twice_is_found_by_its_first_name():
    found = targets("a")
    found.rename("a", "a#1")
    found.rename("a#1", "a#2")
    assert reached(found, "a") == reached(found, "a#1") == "a#2"


def test_previous_names_of_removed_targets_are_forgotten():
    found = targets("a", "b")
    found.rename("a", "a#1")
    del found.by_name["a#1"]
    found.rename("b", "b#1")
    assert reached(found, "a").ending.reason is messages.Reason.UNKNOWN_TARGET
    assert set(found._name_by_previous) == {"b"}
