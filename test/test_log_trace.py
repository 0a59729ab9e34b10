"""The cause of a failed request can be found from log lines alone."""

import asyncio
import json

import structlog

from forklift import log_trace
from test import helper
from test import processes


def test_trace_of_a_request_names_its_cause():
    lines = [
        {"event": "request", "request": "r1", "outcome": "unknown",
         "reason": "target-broke", "status": 0, "timestamp": "3"},
        {"event": "response_incomplete", "request": "r1", "target": "t",
         "timestamp": "2"},
        {"event": "target_changed", "target": "t", "state": "suspect",
         "timestamp": "2.5"},
        {"event": "request", "request": "r2", "timestamp": "1"},
    ]  # fmt: skip
    read = log_trace.parse([json.dumps(line) for line in lines] + ["noise"])
    trace = log_trace.trace_request(read, "r1")
    assert [line.split()[1] for line in trace[:2]] == [
        "response_incomplete:",
        "request:",
    ]
    assert "broke the connection" in trace[-1]
    assert "may have run" in trace[-1]
    assert len(log_trace.trace_target(read, "t")) == 2
    assert log_trace.trace_request(read, "unheard") == []


def capture_lines(play) -> list[log_trace.LogLine]:
    """Returns the log lines of a test fleet."""
    with structlog.testing.capture_logs() as captured:
        play()
    timed = [
        {"timestamp": f"{number:06}", **line}
        for number, line in enumerate(captured)
    ]
    return log_trace.parse(json.dumps(line, default=str) for line in timed)


def trace_failure(lines: list[log_trace.LogLine]) -> str:
    """Returns the trace of the only request."""
    ends = [line for line in lines if line.event == "request"]
    (request,) = {line.fields["request"] for line in ends}
    return "\n".join(log_trace.trace_request(lines, request))


def test_trace_explains_a_broken_connection():
    async def work(fleet):
        assert (await fleet.ask()).status == 502

    first = processes.record(1, r=processes.route("non_idempotent"))
    scripts = [["reset"], ["reset"]]
    lines = capture_lines(lambda: processes.play(work, scripts, first=first))
    trace = trace_failure(lines)
    assert "response_incomplete" in trace
    assert trace.endswith(
        "cause: the target broke the connection during the request; "
        "the request may have run"
    )


def test_trace_explains_busy_targets():
    async def work(fleet):
        for number, one in enumerate(fleet.proxies):
            found = one.local_targets.by_name[f"t{number}"].controller
            found.slots = 1
            helper.train_latency(found.latencies.for_route("r", 1.0), 100.0)
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
    lines = capture_lines(lambda: processes.play(work, scripts, first=first))
    trace = trace_failure(lines)
    assert "given_up" in trace
    assert "'busy': " in trace
    assert trace.endswith(
        "cause: all reachable targets were busy; the request did not run"
    )


def test_trace_explains_a_timeout():
    async def work(fleet):
        assert (await fleet.ask()).status == 504

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 200})
    )
    scripts = [["hang"], ["hang"]]
    lines = capture_lines(lambda: processes.play(work, scripts, first=first))
    trace = trace_failure(lines)
    assert trace.endswith(
        "cause: the target did not respond before the timeout; "
        "the request may have run"
    )
