"""The docs name every key, promise, reason and command there is."""

import pathlib

import pytest

from forklift import ini
from forklift import invariants
from forklift import messages
from forklift import policy
from forklift import settings
from forklift import ui

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def page(name: str) -> str:
    return (DOCS / name).read_text()


@pytest.mark.parametrize(
    ("name", "kinds"),
    [
        ("SETTINGS.md", tuple(settings.SECTIONS.values())),
        ("POLICY.md", (policy.Header, policy.Service, policy.RouteSection)),
    ],
)
def test_every_key_is_described(name, kinds):
    text = page(name)
    for kind in kinds:
        for key, field in ini.keys_by_name(kind).items():
            row = f"| `{key}` |"
            assert row in text, key
            assert field.metadata["key"].doc in text, key


def test_every_reason_and_state_is_explained():
    text = page("OPERATIONS.md")
    for word in [*messages.Reason, *messages.TargetState]:
        assert f"`{word}`" in text, word


def test_every_command_is_explained():
    text = page("OPERATIONS.md")
    for name in ui.cli.commands:
        assert f"forklift {name}" in text, name


def test_every_promise_is_named():
    text = page("OPERATIONS.md")
    source = pathlib.Path(invariants.__file__).read_text()
    for line in source.splitlines():
        if line.strip().startswith('"') and line.strip().endswith('",'):
            promise = line.strip().strip('",')
            if promise.replace("-", "").isalpha() and "-" in promise:
                assert f"`{promise}`" in text, promise


def test_lock_file_names_versions_only():
    lock = (DOCS.parent / "requirements.lock").read_text().splitlines()
    assert lock
    for line in lock:
        name, _, version = line.partition("==")
        assert name.replace("-", "").replace("_", "").isalnum(), line
        assert version, line
