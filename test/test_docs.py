"""The docs name every key, promise, reason and command there is."""

import pathlib
import re

import pytest

from forklift import errors
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
        ("POLICY.md", (policy.PolicySection, policy.ServicePolicy)),
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


# What the users' platform calls things; the product has names of its own.
_WIRE_NAMES = (
    "forklift-attempt",
    "forklift-deadline-ms",
    "forklift-caller-service",
    "forklift-expected-instance",
    "forklift-not-executed",
    "path-prefix",
    "weighted-clusters",
    "retry-attempts",
    "target-latency",
    "log-append",
    "log-read",
    "log-newest",
    "keyed.op",
    "instances.heartbeat",
    "as-of",
)


def test_no_wire_name_outside_the_adapter():
    package = DOCS.parent / "forklift"
    for path in package.rglob("*.py"):
        if path.parent.name == "platform":
            continue
        text = path.read_text().lower()
        for name in _WIRE_NAMES:
            assert name not in text, f"{path}: {name}"


def test_what_can_not_be_kept_is_refused_with_its_remedy():
    template = (DOCS.parent / "deploy/forklift.ini").read_text()
    strict = fill(template, {"bounds.strict-revoke": "true"})
    with pytest.raises(errors.FileProblems) as found:
        settings.parse("forklift.ini", strict)
    assert "strict_revoke" in str(found.value)
    assert "set it to false" in str(found.value)


def test_run_time_lock_agrees_with_the_whole_one():
    whole = set((DOCS.parent / "requirements.lock").read_text().splitlines())
    for line in (
        (DOCS.parent / "deploy/requirements.txt").read_text().split("\n")
    ):
        if line and not line.startswith("#"):
            assert line in whole, line


def fill(template: str, values: dict[str, str]) -> str:
    """Fills a template as the platform does: gaps, and parts about one."""

    def part(found: re.Match) -> str:
        value = values.get(found[1], "")
        return found[2].replace("{{.}}", value) if value else ""

    template = re.sub(
        r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", part, template, flags=re.DOTALL
    )
    for name, value in values.items():
        template = template.replace("{{" + name + "}}", value)
    return template


LIMITS = {
    "bounds.quota-window-s": "4",
    "bounds.quota-overshoot": "0.2",
    "bounds.quota-slack": "30",
}


@pytest.mark.parametrize("limits", [{}, LIMITS], ids=["none", "limits"])
def test_the_deploy_template_fills_to_settings_without_mistakes(limits):
    template = (DOCS.parent / "deploy/forklift.ini").read_text()
    values = {
        "node-id": "n-1",
        "zone": "d",
        "ip": "10.0.0.1",
        "service": "s",
        "app-addr": "10.0.0.1:9",
        "port-range.0": "1",
        "port-range.1": "2",
        "heartbeat-ms": "1500",
        "bounds.grace-s": "6",
        "bounds.retry-budget-ratio": "0.2",
        "bounds.budget-window-s": "10",
        "bounds.retry-slack": "56",
        "platform.address": "10.0.0.1:3",
        "listen.outbound": "10.0.0.1:4",
        "listen.control": "10.0.0.1:5",
        "listen.readiness": "10.0.0.1:6",
    }
    template = fill(template, values | limits)
    assert "{{" not in template
    read = settings.parse("forklift.ini", template)
    assert (read.organisations.window == 4) == bool(limits)
    assert (read.organisations.slack == 30) == bool(limits)
    assert read.budget.reserve == 56
    assert read.platform.target == "10.0.0.1:9"
