"""From the id of a failed request to its cause, by log lines alone."""

import asyncio
import json

import structlog

from forklift import log_trace
from test import helper
from test import processes


def test_the_story_of_a_request_names_its_cause():
    lines = [
        {"event": "request", "request": "r1", "outcome": "unknown",
         "reason": "target-broke", "status": 0, "timestamp": "3"},
        {"event": "answer_broken", "request": "r1", "target": "t",
         "timestamp": "2"},
        {"event": "target_changed", "target": "t", "state": "suspect",
         "timestamp": "2.5"},
        {"event": "request", "request": "r2", "timestamp": "1"},
    ]  # fmt: skip
    read = log_trace.parse([json.dumps(line) for line in lines] + ["noise"])
    told = log_trace.trace_request(read, "r1")
    assert [line.split()[1] for line in told[:2]] == [
        "answer_broken:",
        "request:",
    ]
    assert "broke the connection" in told[-1]
    assert "may have run" in told[-1]
    assert len(log_trace.trace_target(read, "t")) == 2
    assert log_trace.trace_request(read, "unheard") == []


def lines_of(play) -> list[log_trace.LogLine]:
    """What the processes of a played fleet logged."""
    with structlog.testing.capture_logs() as captured:
        play()
    noted = [
        {"timestamp": f"{number:06}", **line}
        for number, line in enumerate(captured)
    ]
    return log_trace.parse(json.dumps(line, default=str) for line in noted)


def story_of_failure(lines: list[log_trace.LogLine]) -> str:
    """The story of the one request that failed."""
    ends = [line for line in lines if line.event == "request"]
    (request,) = {line.fields["request"] for line in ends}
    return "\n".join(log_trace.trace_request(lines, request))


def test_work_that_must_not_repeat_met_a_target_that_broke():
    async def work(fleet):
        assert (await fleet.ask()).status == 502

    first = processes.record(1, r=processes.route("non_idempotent"))
    scripts = [["reset"], ["reset"]]
    lines = lines_of(lambda: processes.play(work, scripts, first=first))
    told = story_of_failure(lines)
    assert "answer_broken" in told
    assert told.endswith(
        "cause: the target broke the connection after it was sent; "
        "it may have run"
    )


def test_a_request_was_refused_while_all_targets_were_full():
    async def work(fleet):
        for number, one in enumerate(fleet.proxies):
            found = one.beside.site_by_target[f"t{number}"].controller
            found.slots = 1
            helper.takes(found.latencies.for_route("r", 1.0), 100.0)
        for target in fleet.targets:
            target.script.append("hold")
        held = [asyncio.create_task(fleet.ask()) for _ in fleet.targets]
        await helper.until(
            lambda: all(len(t.received) == 1 for t in fleet.targets)
        )
        assert (await fleet.ask()).status == 503
        for target in fleet.targets:
            target.release.set()
        await asyncio.gather(*held)

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 60000})
    )
    scripts = [[], [], []]
    lines = lines_of(lambda: processes.play(work, scripts, first=first))
    told = story_of_failure(lines)
    assert "given_up" in told
    assert "'busy': " in told
    assert told.endswith(
        "cause: all targets in reach were busy; it has not run"
    )


def test_a_target_never_answered():
    async def work(fleet):
        assert (await fleet.ask()).status == 504

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 200})
    )
    scripts = [["hang"], ["hang"]]
    lines = lines_of(lambda: processes.play(work, scripts, first=first))
    told = story_of_failure(lines)
    assert told.endswith(
        "cause: no answer came within its time; it may have run"
    )
