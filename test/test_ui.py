"""The command line, settings and policies: every mistake named."""

import json

import click.testing
import pytest

from forklift import errors
from forklift import policy
from forklift import settings
from forklift import ui
from test import helper

PROCESS = """[process]
name = p
domain = d
caller = 127.0.0.1:1
peer = 127.0.0.1:2
control = 127.0.0.1:3
admin = 127.0.0.1:4
[log]
address = 127.0.0.1:5
"""

MISTAKES = {
    "unknown key": (PROCESS + "colour = red\n", "log", "colour"),
    "unknown section": (PROCESS + "[logs]\n", "logs", ""),
    "missing": (PROCESS.replace("domain = d\n", ""), "process", "domain"),
    "host name": (PROCESS.replace("127.0.0.1:5", "log:5"), "log", "address"),
    "no port": (PROCESS.replace("127.0.0.1:5", "127.0.0.1"), "log", "address"),
    "one port twice": (PROCESS.replace(":4", ":3"), "process", "admin"),
    "not a number": (PROCESS + "timeout = soon\n", "log", "timeout"),
    "out of bounds": (PROCESS + "timeout = 1e9\n", "log", "timeout"),
    "not a number at all": (PROCESS + "timeout = nan\n", "log", "timeout"),
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


POLICY = helper.POLICY.format(floor=1, deadline=5)
POLICY_MISTAKES = {
    "no header": (POLICY.replace("[policy]\nname = p\n", ""), "policy"),
    "unknown service": (POLICY.replace("service = s", "service = t"), "all"),
    "bad expression": (POLICY.replace("[route", "retry = a >\n[route"), "s"),
    "unknown variable": (POLICY.replace("[route", "retry = x\n[route"), "s"),
    "wrong type": (POLICY.replace("[route", "retry = 1\n[route"), "s"),
    "unknown spread": (POLICY.replace("[route", "spread = x\n[route"), "s"),
    "no floor": (POLICY.replace("floor = 1\n", ""), "s"),
    "route twice": (POLICY + "[route b]\nservice = s\n", "b"),
    "prefix": (POLICY.replace("service = s", "service = s\nprefix = x"), "all"),
    "detection": (POLICY.replace("= fast", "= soon"), "s"),
}


@pytest.mark.parametrize("name", POLICY_MISTAKES)
def test_policy_mistakes(name):
    text, place = POLICY_MISTAKES[name]
    problems = policy.check("f.ini", text)
    assert any(place in problem.section for problem in problems)


def test_expression_that_fails_at_run_time_falls_back_and_is_counted():
    service = helper.service(retry="10 / attempt > 1")
    before = policy.expressions.failures_by_expression.total()
    found = service.retry.evaluate(
        attempt=0, status=0, outcome="", reason="", repeatable=True,
        method="", remaining=0.0,
    )  # fmt: skip
    assert found is False
    assert policy.expressions.failures_by_expression.total() == before + 1


@pytest.mark.parametrize(
    "path", sorted(helper.EXAMPLES.glob("*.ini")), ids=lambda p: p.name
)
def test_examples_have_no_mistakes(path):
    result = run("check", str(path))
    assert result.exit_code == 0, result.output


def run(*arguments):
    return click.testing.CliRunner().invoke(ui.cli, arguments)


def test_check_prints_every_mistake_on_a_line(tmp_path, capsys, monkeypatch):
    path = tmp_path / "bad.ini"
    path.write_text(PROCESS + "colour = red\ntimeout = soon\n")
    monkeypatch.setattr("sys.argv", ["forklift", "check", str(path)])
    with pytest.raises(SystemExit) as raised:
        ui.main()
    assert raised.value.code == 2
    lines = capsys.readouterr().err.strip().splitlines()
    assert len(lines) == 2
    assert all(str(path) in line for line in lines)


def test_no_process_is_one_line(capsys, monkeypatch):
    address = helper.fleet.free_addresses(1)[0]
    arguments = ["forklift", "status", "--admin", address]
    monkeypatch.setattr("sys.argv", arguments)
    with pytest.raises(SystemExit) as raised:
        ui.main()
    assert raised.value.code == 1
    assert len(capsys.readouterr().err.strip().splitlines()) == 1


@pytest.mark.parametrize("name", sorted(ui.cli.commands))
def test_every_command_has_help(name):
    assert run(name, "--help").exit_code == 0


def test_operators_commands_on_a_running_fleet(tmp_path):
    """The commands run in a thread, as they start a loop of their own."""
    import asyncio  # noqa: PLC0415

    async def work():
        async with helper.Fleet(3) as fleet:
            admin = ("--admin", fleet.places[0].admin)

            async def call(*arguments):
                return await asyncio.to_thread(run, *arguments, *admin)

            path = tmp_path / "p.ini"
            path.write_text(fleet.policy.replace("floor = 0", "floor = 3"))
            dry = await call("publish", str(path), "--dry-run")
            assert "~ service s: floor 0 -> 3" in dry.output
            assert "nothing can be ejected" in dry.output
            published = await call("publish", str(path))
            assert "policy p version 2 is in force" in published.output
            lost = await call("publish", str(path), "--builds-on", "1")
            assert lost.exit_code == 3
            status = await call("status")
            assert "s-3" in status.output
            told = json.loads((await call("status", "--json")).output)
            assert told["services"][0]["floor"] == 3
            state = json.loads((await call("state")).output)
            assert state["status"]["process"] == "s-1"
            explained = await call("explain", "s-2")
            assert "ramp done" in explained.output
            unknown = await call("explain", "nobody")
            assert "known are" in str(unknown.exception)
            drained = await call("drain", "s-3")
            assert "draining" in drained.output

    helper.run(work())
