"""Idle local targets: what is announced and logged, without sockets."""

import types

import structlog

from forklift import admission
from forklift import messages
from forklift.shell import idle_targets
from test import test_load_balancer


class Rig:
    """An observer of one local target, whose process knows one other."""

    def __init__(self):
        self.balancer = test_load_balancer.new_balancer("a", "b", process="p-a")
        self.controller = admission.Controller("a", "s", 4)
        self.announced: list[tuple[str, messages.Load]] = []
        targets = types.SimpleNamespace(
            by_name={"a": types.SimpleNamespace(controller=self.controller)}
        )
        self.observer = idle_targets.IdleTargets(
            targets,
            self.balancer,
            lambda name, load, *_: self.announced.append((name, load)),
        )

    def start_request(self, now: float) -> None:
        ticket = admission.Ticket(
            (1, 1), True, 1, now + 10.0, admission.RequiredHealth.ANY
        )
        assert isinstance(self.controller.admit(ticket, now), admission.Started)


def test_idle_target_is_logged_with_what_its_process_knew():
    """Otherwise nothing tells why a target received no request."""
    rig = Rig()
    rig.start_request(10.0)
    with structlog.testing.capture_logs() as lines:
        rig.observer.tick(11.5)
        rig.balancer.record_request("s", 11.6)
        rig.balancer.record_failure("s", 11.7)
        rig.observer.tick(12.1)
        rig.observer.tick(12.6)
        rig.start_request(12.7)
        rig.observer.tick(12.8)
    idle, used = lines
    assert idle["event"] == "target_idle"
    assert (idle["target"], idle["service"], idle["idle"]) == ("a", "s", 2.1)
    assert (idle["requests"], idle["failing"]) == (1, 90)
    assert (used["event"], used["target"]) == ("target_used", "a")
    assert rig.observer.announcements == len(rig.announced) > 1


def test_target_without_room_or_leaving_is_no_idle_target():
    rig = Rig()
    rig.start_request(10.0)
    rig.controller.record_rate_limit(0.5, 10.0, 10.1)
    rig.observer.tick(11.5)
    assert rig.announced == []
    rig.controller.record_rate_limit(float("inf"), 11.5, 11.6)
    rig.observer.tick(11.7)
    assert [name for name, _ in rig.announced] == ["a"]
    rig.controller.mark_draining()
    rig.observer.tick(12.2)
    assert len(rig.announced) == 1


def test_phase_of_a_target_that_is_gone_is_forgotten():
    rig = Rig()
    phases = rig.observer._phases
    phases.observe("gone", 0)
    phases.retain(["a"])
    assert phases.end("gone") is None
