"""Commands, and validation of settings and policies."""

import asyncio
import json
import subprocess
import sys

import click.testing
import pytest

from forklift import errors
from forklift import policy
from forklift import settings
from forklift import ui
from forklift.platform import store as platform_store
from forklift.shell import admin
from forklift.shell import server
from forklift_lab import store as lab_store
from test import helper
from test import processes

PROCESS = """[process]
name = p
domain = d
caller = 127.0.0.1:1
peer = 127.0.0.1:2
control = 127.0.0.1:3
admin = 127.0.0.1:4
[platform]
heartbeats = 127.0.0.1:6
ready = 127.0.0.1:7
store = 127.0.0.1:5
"""
_STORE = "127.0.0.1:5"

INVALID_SETTINGS = {
    "unknown key": (PROCESS + "colour = red\n", "platform", "colour"),
    "unknown section": (PROCESS + "[logs]\n", "logs", ""),
    "missing key": (PROCESS.replace("domain = d\n", ""), "process", "domain"),
    "host name instead of IP": (
        PROCESS.replace(_STORE, "store:5"),
        "platform",
        "store",
    ),
    "missing port": (PROCESS.replace(_STORE, "127.0.0.1"), "platform", "store"),
    "one port in one section": (
        PROCESS.replace(":4", ":3"),
        "process",
        "admin",
    ),
    "one port in two sections": (
        PROCESS.replace(":7", ":3"),
        "platform",
        "ready",
    ),
    "not a number": (PROCESS + "grace = soon\n", "platform", "grace"),
    "out of bounds": (PROCESS + "grace = 1e9\n", "platform", "grace"),
    "NaN": (PROCESS + "grace = nan\n", "platform", "grace"),
    "not INI syntax": ("what", "", ""),
}


@pytest.mark.parametrize("name", INVALID_SETTINGS)
def test_invalid_settings_are_reported_with_place_and_remedy(name):
    text, section, key = INVALID_SETTINGS[name]
    with pytest.raises(errors.FileProblems) as raised:
        settings.parse("f.ini", text)
    places = [(p.section, p.key) for p in raised.value.problems]
    assert (section, key) in places
    assert all(problem.remedy for problem in raised.value.problems)


POLICY = """[policy]
name = p
[service s]
spread = least-loaded
"""
INVALID_POLICIES = {
    "no header": (POLICY.replace("[policy]\nname = p\n", ""), "policy"),
    "unknown section": (POLICY + "[route r]\n", "route r"),
    "bad expression": (POLICY + "retry = a >\n", "s"),
    "unknown variable": (POLICY + "retry = x\n", "s"),
    "wrong type": (POLICY + "retry = 1\n", "s"),
    "unknown spread": (POLICY.replace("least-loaded", "x"), "s"),
    "unknown key": (POLICY + "floor = 1\n", "s"),
    "unusable name": (POLICY + "[service a/b]\n", "a/b"),
}


@pytest.mark.parametrize("name", INVALID_POLICIES)
def test_invalid_policies_are_reported_with_their_section(name):
    text, place = INVALID_POLICIES[name]
    problems = policy.check("f.ini", text)
    assert any(place in problem.section for problem in problems)


def test_failing_expression_returns_its_default_and_is_counted():
    text = POLICY + "retry = 10 / attempt > 1\n"
    service = policy.parse("f", text).service_policy("s")
    before = policy.expressions.failures_by_expression.total()
    found = service.retry.evaluate(
        attempt=0, status=0, outcome="", reason="", repeatable=True,
        method="", remaining=0.0,
    )  # fmt: skip
    assert found is False
    assert policy.expressions.failures_by_expression.total() == before + 1


@pytest.mark.parametrize(
    "path", sorted(helper.EXAMPLES.iterdir()), ids=lambda p: p.name
)
def test_examples_are_valid(path):
    result = run("check", str(path))
    assert result.exit_code == 0, result.output


def run(*arguments):
    return click.testing.CliRunner().invoke(ui.cli, arguments)


def test_check_prints_one_line_for_each_error(tmp_path, capsys, monkeypatch):
    path = tmp_path / "bad.ini"
    path.write_text(PROCESS + "colour = red\ngrace = soon\n")
    monkeypatch.setattr("sys.argv", ["forklift", "check", str(path)])
    with pytest.raises(SystemExit) as raised:
        ui.main()
    assert raised.value.code == 2
    lines = capsys.readouterr().err.strip().splitlines()
    assert len(lines) == 2
    assert all(str(path) in line for line in lines)


def test_unreachable_process_is_reported_on_one_line(capsys, monkeypatch):
    # No process can listen on port 0.
    arguments = ["forklift", "status", "--admin", "127.0.0.1:0"]
    monkeypatch.setattr("sys.argv", arguments)
    with pytest.raises(SystemExit) as raised:
        ui.main()
    assert raised.value.code == 1
    assert len(capsys.readouterr().err.strip().splitlines()) == 1


@pytest.mark.parametrize("name", ui.COMMANDS)
def test_every_command_has_help(name):
    assert run(name, "--help").exit_code == 0


@pytest.mark.parametrize(
    "text", ["{", "{}", '{"version": 0, "routes": {}, "services": {}}']
)
def test_check_reports_an_invalid_configuration_with_its_file(text, tmp_path):
    path = tmp_path / "record.json"
    path.write_text(text)
    found = run("check", str(path)).exception
    assert isinstance(found, errors.FileProblems)
    assert str(path) in str(found)


def test_built_in_functions_equal_their_policy_expressions():
    """Checks the functions against the expressions that document them."""
    service_policy = policy.BUILT_IN.service_policy("s")
    failure = policy.expressions.Expression(
        service_policy.failure.text, {"status": 1}, True
    )
    retry = policy.expressions.Expression(
        service_policy.retry.text, policy._RETRY_SAMPLE, False
    )
    for status in (0, 200, 404, 500, 501, 502, 503, 504, 599):
        assert service_policy.is_failure(status) == failure.evaluate(
            status=status
        )
        for outcome in ("answered", "not-run", "unknown"):
            for repeatable in (True, False):
                values = {
                    **policy._RETRY_SAMPLE,
                    "status": status,
                    "outcome": outcome,
                    "repeatable": repeatable,
                }
                found = service_policy.retry.evaluate(**values)
                assert found == retry.evaluate(**values)


def test_policy_applies_to_named_services_and_the_default_to_others():
    text = POLICY + "[service default]\nspread = round-robin\n"
    parsed = policy.parse("f", text)
    assert parsed.service_policy("s").spread == "least-loaded"
    assert parsed.service_policy("other").spread == "round-robin"


def test_serving_does_not_import_cel_or_opentelemetry():
    code = (
        "import sys; from forklift.shell import serve; "
        "print([m for m in ('cel', 'opentelemetry') if m in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"


def test_commands_on_a_running_fleet(tmp_path):
    """Each command runs in a thread, as it starts its own event loop."""

    async def work():
        async with processes.Fleet([[], []]) as fleet:
            server = admin.AdminServer(fleet.proxies[0])
            server._server.address = ""
            await server._server.open("127.0.0.1:0")
            address = server._server.address
            admin_option = ("--admin", address)

            async def call(*arguments):
                return await asyncio.to_thread(run, *arguments)

            status = await call("status", *admin_option)
            assert "t1" in status.output
            as_json = json.loads(
                (await call("status", "--json", *admin_option)).output
            )
            assert as_json["config"] == 1
            state = json.loads((await call("state", *admin_option)).output)
            assert state["status"]["process"] == "p0"
            assert state["beside"][0]["target"] == "t0"
            unknown = await call("explain", "nobody", *admin_option)
            assert "known targets" in str(unknown.exception)
            path = tmp_path / "record.json"
            path.write_text(json.dumps(processes.record(2)))
            store = ("--store", fleet.server.address)
            dry_run = await call("publish", str(path), "--dry-run", *store)
            assert "version 1 -> 2: not written" in dry_run.output
            published = await call("publish", str(path), *store)
            assert "in force" in published.output
            conflict = await call("publish", str(path), *store)
            assert conflict.exit_code == 3
            server.close()

    helper.run(work())


def test_lost_publish_names_the_version_that_won(tmp_path, monkeypatch):
    """Guards against a merge with the version that was there before."""
    path = tmp_path / "record.json"
    path.write_text(json.dumps(processes.record(3)))

    async def lose(self, data, position):
        stand_in.configure(processes.record(2))
        return False

    stand_in = lab_store.Store()
    stand_in.configure(processes.record(1))
    monkeypatch.setattr(platform_store.Store, "publish", lose)

    async def work():
        listener = server.Server(stand_in.handle)
        await listener.open("127.0.0.1:0")
        found = await asyncio.to_thread(
            run, "publish", str(path), "--store", listener.address
        )
        assert found.exit_code == 3
        assert "version 2 is in force" in found.output
        listener.abort()

    helper.run(work())


def test_trace_of_a_request_as_json(tmp_path):
    """Guards against --json that is ignored for logs."""
    line = {
        "event": "request",
        "request": "r1",
        "process": "p",
        "timestamp": "2026-01-02T03:04:05Z",
    }
    path = tmp_path / "p.log"
    path.write_text(json.dumps(line) + "\n")
    plain = run("explain", "r1", str(path)).output
    found = json.loads(run("explain", "r1", str(path), "--json").output)
    assert found == plain.splitlines()
