"""Processes refuse requests without a chance while overload control is on."""

import dataclasses
import json
import types

from forklift import admission_level
from forklift import messages
from forklift import overload
from forklift import settings
from forklift.shell import exchange
from forklift.shell import ingress_admission
from forklift.shell import reports
from forklift.shell import telemetry
from test import helper
from test import processes


def turn_on(process) -> None:
    """Puts overload control in force, as a reload of the settings does."""
    changed = settings.Overload(mode=overload.Mode.ON, floor=0.0)
    process.reload(dataclasses.replace(process.settings, overload=changed))


def exhaust(process) -> None:
    """Makes a process believe that service s has no room."""
    gate = process.forwarder.ingress_admission
    now = process.clock.monotonic()
    arrival = admission_level.Arrival("s", 0)
    for _ in range(50):
        gate.levels.decide(arrival, admission_level.Room(), 0.0, 0.0, now)
        gate.levels.record_end(arrival, True, None, now)
    full = messages.Load(4, 9, 4, messages.TargetState.IN_SERVICE, 9, 0.1)
    process._update_local_loads = lambda now: None
    for view in process.balancer.views("s"):
        view.update_load(full, now)
    # The level itself is tested elsewhere; this draw is above it.
    gate._rng = types.SimpleNamespace(random=lambda: 0.999)


def test_a_request_without_a_chance_is_refused_before_it_is_sent():
    async def work(fleet):
        process = fleet.proxies[0]
        turn_on(process)
        exhaust(process)
        response = await fleet.ask()
        assert response.status == 503
        assert float(dict(response.headers)[b"retry-after"]) > 0
        assert json.loads(response.body)["reason"] == messages.Reason.BUSY
        assert fleet.runs() == 0
        (dumped,) = reports.build_state_dump(process).admission
        assert (dumped.service, sum(dumped.refused.values())) == ("s", 1)
        samples = telemetry.Telemetry(process).render().decode().splitlines()
        labels = ('decision="refused"', 'priority="1"', 'service="s"', "} 1.0")
        assert any(
            line.startswith("forklift_admission_requests_total")
            and all(label in line for label in labels)
            for line in samples
        )
        assert any(
            line.startswith("forklift_admission_level{")
            and 'service="s"' in line
            for line in samples
        )

    processes.play(work, [[], []])


def test_nothing_is_asked_or_recorded_while_overload_control_is_off():
    """Guards against a change of behaviour where the mode is off."""

    async def work(fleet):
        process = fleet.proxies[0]
        exhaust(process)
        before = process.forwarder.ingress_admission.read()
        assert (await fleet.ask()).status == 200
        assert process.forwarder.ingress_admission.read() == before

    processes.play(work, [[], []])


def test_refusals_by_targets_themselves_do_not_lower_the_level():
    async def work(fleet):
        process = fleet.proxies[0]
        turn_on(process)
        gate = process.forwarder.ingress_admission
        for number in range(20):
            gate.record(
                _request(number),
                exchange.not_run(messages.Reason.SHED),
                process.clock.monotonic(),
                False,
            )
        assert not gate.levels.is_lacking("s", process.clock.monotonic())
        gate.record(
            _request(20),
            exchange.not_run(messages.Reason.BUSY),
            process.clock.monotonic(),
            False,
        )
        assert gate.levels.is_lacking("s", process.clock.monotonic())

    processes.play(work, [[], []])


def test_logged_refusals_are_bounded(monkeypatch):
    """Guards against refusals that leave no place for other log lines."""
    logged = []
    monkeypatch.setattr(
        ingress_admission._log,
        "info",
        lambda event, **fields: logged.append(fields),
    )
    clock = helper.FakeClock()
    gate = ingress_admission.IngressAdmission(None, clock, None)
    refusal = admission_level.Refusal(0.2, 1.0, 0.1)
    for _ in range(100):
        gate._log_refusal(
            _request(1), refusal, admission_level.Room(), clock.now
        )
    clock.now += 1.0
    gate._log_refusal(_request(2), refusal, admission_level.Room(), clock.now)
    assert len(logged) == ingress_admission.MAX_LOGGED_PER_SECOND + 1
    unlogged = 100 - ingress_admission.MAX_LOGGED_PER_SECOND
    assert logged[-1]["unlogged"] == unlogged


def _request(number: int) -> exchange.Request:
    return exchange.Request(
        f"r{number}",
        number,
        "s",
        "r",
        b"GET",
        b"/a/",
        (),
        0,
        exchange.Body(),
        deadline=1e9,
        idempotent=True,
    )
