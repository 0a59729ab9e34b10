"""The command line, settings and policies: every mistake named."""

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
from forklift.shell import admin
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

MISTAKES = {
    "unknown key": (PROCESS + "colour = red\n", "platform", "colour"),
    "unknown section": (PROCESS + "[logs]\n", "logs", ""),
    "missing": (PROCESS.replace("domain = d\n", ""), "process", "domain"),
    "host name": (PROCESS.replace(_STORE, "store:5"), "platform", "store"),
    "no port": (PROCESS.replace(_STORE, "127.0.0.1"), "platform", "store"),
    "one port twice": (PROCESS.replace(":4", ":3"), "process", "admin"),
    "twice over": (PROCESS.replace(":7", ":3"), "platform", "ready"),
    "not a number": (PROCESS + "grace = soon\n", "platform", "grace"),
    "out of bounds": (PROCESS + "grace = 1e9\n", "platform", "grace"),
    "not a number at all": (PROCESS + "grace = nan\n", "platform", "grace"),
    "no ini": ("what", "", ""),
}


@pytest.mark.parametrize("name", MISTAKES)
def test_settings_mistakes_name_place_and_remedy(name):
    text, section, key = MISTAKES[name]
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
POLICY_MISTAKES = {
    "no header": (POLICY.replace("[policy]\nname = p\n", ""), "policy"),
    "unknown section": (POLICY + "[route r]\n", "route r"),
    "bad expression": (POLICY + "retry = a >\n", "s"),
    "unknown variable": (POLICY + "retry = x\n", "s"),
    "wrong type": (POLICY + "retry = 1\n", "s"),
    "unknown spread": (POLICY.replace("least-loaded", "x"), "s"),
    "unknown key": (POLICY + "floor = 1\n", "s"),
    "unusable name": (POLICY + "[service a/b]\n", "a/b"),
}


@pytest.mark.parametrize("name", POLICY_MISTAKES)
def test_policy_mistakes(name):
    text, place = POLICY_MISTAKES[name]
    problems = policy.check("f.ini", text)
    assert any(place in problem.section for problem in problems)


def test_expression_that_fails_at_run_time_falls_back_and_is_counted():
    text = POLICY + "retry = 10 / attempt > 1\n"
    service = policy.parse("f", text).program("s")
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
def test_examples_have_no_mistakes(path):
    result = run("check", str(path))
    assert result.exit_code == 0, result.output


def run(*arguments):
    return click.testing.CliRunner().invoke(ui.cli, arguments)


def test_check_prints_every_mistake_on_a_line(tmp_path, capsys, monkeypatch):
    path = tmp_path / "bad.ini"
    path.write_text(PROCESS + "colour = red\ngrace = soon\n")
    monkeypatch.setattr("sys.argv", ["forklift", "check", str(path)])
    with pytest.raises(SystemExit) as raised:
        ui.main()
    assert raised.value.code == 2
    lines = capsys.readouterr().err.strip().splitlines()
    assert len(lines) == 2
    assert all(str(path) in line for line in lines)


def test_no_process_is_one_line(capsys, monkeypatch):
    # Nothing can listen on port 0.
    arguments = ["forklift", "status", "--admin", "127.0.0.1:0"]
    monkeypatch.setattr("sys.argv", arguments)
    with pytest.raises(SystemExit) as raised:
        ui.main()
    assert raised.value.code == 1
    assert len(capsys.readouterr().err.strip().splitlines()) == 1


@pytest.mark.parametrize("name", sorted(ui.cli.commands))
def test_every_command_has_help(name):
    assert run(name, "--help").exit_code == 0


@pytest.mark.parametrize(
    "text", ["{", "{}", '{"version": 0, "routes": {}, "services": {}}']
)
def test_check_names_what_is_wrong_with_a_configuration(text, tmp_path):
    path = tmp_path / "record.json"
    path.write_text(text)
    found = run("check", str(path)).exception
    assert isinstance(found, errors.FileProblems)
    assert str(path) in str(found)


def test_defaults_say_the_same_as_their_text():
    """The built-in functions against the language they are written in."""
    program = policy.BUILT_IN.program("s")
    failure = policy.expressions.Expression(
        program.failure.text, {"status": 1}, True
    )
    retry = policy.expressions.Expression(
        program.retry.text, policy._RETRY_SAMPLE, False
    )
    for status in (0, 200, 404, 500, 501, 502, 503, 504, 599):
        assert program.is_failure(status) == failure.evaluate(status=status)
        for outcome in ("answered", "not-run", "unknown"):
            for repeatable in (True, False):
                values = {
                    **policy._RETRY_SAMPLE,
                    "status": status,
                    "outcome": outcome,
                    "repeatable": repeatable,
                }
                found = program.retry.evaluate(**values)
                assert found == retry.evaluate(**values)


def test_a_policy_serves_named_services_and_all_others():
    text = POLICY + "[service default]\nspread = round-robin\n"
    read = policy.parse("f", text)
    assert read.program("s").spread == "least-loaded"
    assert read.program("other").spread == "round-robin"


def test_the_language_is_loaded_only_for_written_programs():
    code = (
        "import sys; from forklift.shell import serve; "
        "print([m for m in ('cel', 'opentelemetry') if m in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"


def test_operators_commands_on_a_running_fleet(tmp_path):
    """The commands run in a thread, as they start a loop of their own."""

    async def work():
        async with processes.Fleet([[], []]) as fleet:
            front = admin.AdminServer(fleet.proxies[0])
            front._server.address = ""
            await front._server.open("127.0.0.1:0")
            address = front._server.address
            asked = ("--admin", address)

            async def call(*arguments):
                return await asyncio.to_thread(run, *arguments)

            status = await call("status", *asked)
            assert "t1" in status.output
            told = json.loads((await call("status", "--json", *asked)).output)
            assert told["config"] == 1
            state = json.loads((await call("state", *asked)).output)
            assert state["status"]["process"] == "p0"
            assert state["beside"][0]["target"] == "t0"
            unknown = await call("explain", "nobody", *asked)
            assert "known are" in str(unknown.exception)
            path = tmp_path / "record.json"
            path.write_text(json.dumps(processes.record(2)))
            store = ("--store", fleet.server.address)
            dry = await call("publish", str(path), "--dry-run", *store)
            assert "version 1 -> 2: not written" in dry.output
            published = await call("publish", str(path), *store)
            assert "in force" in published.output
            lost = await call("publish", str(path), *store)
            assert lost.exit_code == 3
            front.close()

    helper.run(work())
