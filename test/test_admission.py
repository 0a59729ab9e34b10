"""Admission control of one target."""

import itertools

import pytest

from forklift import admission
from forklift import health
from forklift import latency
from forklift import messages
from test import helper

Reason = messages.Reason
Signal = health.Signal
_numbers = itertools.count(1)


def make_controller(
    slots: int = 2, proven: bool = True
) -> admission.Controller:
    controller = admission.Controller("t", "s", slots)
    distribution = latency.Distribution(0.01)
    for number in range(4 if proven else 0):
        controller.health.record_start(number, distribution, -0.01)
        controller.health.record_end(number, Signal.SUCCESS, 0.0)
    train_latency(controller, 0.1)
    return controller


def train_latency(controller: admission.Controller, seconds: float) -> None:
    """Trains the latency of the route."""
    helper.train_latency(controller.latencies.for_route("", 0.3), seconds)


def break_connections(controller: admission.Controller, now: float) -> None:
    """Breaks the connections of two requests."""
    for _ in range(2):
        one = ticket(
            required_health=admission.RequiredHealth.ANY, idempotent=True
        )
        controller.admit(one, now)
        controller.finish(one, Signal.BROKEN, now)


def ticket(**changes) -> admission.Ticket:
    fields = {
        "id": (1, next(_numbers)),
        "idempotent": False,
        "priority": 1,
        "deadline": 10.0,
    }
    fields.update(changes)
    return admission.Ticket(**fields)


def fill(
    controller: admission.Controller, count: int, now: float = 0.0
) -> list[admission.Ticket]:
    tickets = [ticket() for _ in range(count)]
    for one in tickets:
        controller.admit(one, now)
    return tickets


def test_running_requests_do_not_exceed_the_slots():
    controller = make_controller(slots=2)
    fill(controller, 2)
    assert isinstance(controller.admit(ticket(), 0.0), admission.Queued)
    assert controller.running == 2


def test_queue_is_ordered_by_priority_then_arrival():
    controller = make_controller(slots=1)
    running = fill(controller, 1)[0]
    late, early, urgent = ticket(), ticket(), ticket(priority=0)
    for one in (early, late, urgent):
        controller.admit(one, 0.0)
    order = []
    for done in (running, urgent, early):
        decisions = controller.finish(done, Signal.SUCCESS, 0.1)
        order += [
            d.ticket for d in decisions if isinstance(d, admission.Started)
        ]
    assert order == [urgent, early, late]


def test_request_refused_elsewhere_keeps_its_place_by_soft_deadline():
    controller = make_controller(slots=1)
    running = fill(controller, 1)[0]
    later, refused_elsewhere = (
        ticket(soft_deadline=2.0),
        ticket(soft_deadline=1.0),
    )
    for one in (later, refused_elsewhere):
        controller.admit(one, 0.0)
    decisions = controller.finish(running, Signal.SUCCESS, 0.1)
    assert [d.ticket for d in decisions] == [refused_elsewhere]


def test_request_that_cannot_meet_its_deadline_is_refused_at_once():
    controller = make_controller(slots=1)
    fill(controller, 1)
    decision = controller.admit(ticket(deadline=0.01), 0.0)
    assert isinstance(decision, admission.Refused)
    assert decision.reason is Reason.BUSY
    assert decision.retry_after > 0


def test_request_past_its_deadline_is_refused():
    decision = make_controller().admit(ticket(deadline=1.0), 1.0)
    assert decision.reason is Reason.DEADLINE


@pytest.mark.parametrize("leaving", ["mark_draining", "mark_left"])
def test_leaving_target_refuses_queued_and_new_requests(leaving):
    controller = make_controller(slots=1)
    running = fill(controller, 1)[0]
    waiting = ticket()
    controller.admit(waiting, 0.0)
    refused = getattr(controller, leaving)()
    assert [d.ticket for d in refused] == [waiting]
    assert controller.admit(ticket(), 0.0).reason is Reason.DRAINING
    assert controller.finish(running, Signal.SUCCESS, 0.1) == []


def test_one_reset_ejects_the_target_for_non_idempotent_requests():
    controller = make_controller(slots=1)
    running = fill(controller, 1)[0]
    waiting = ticket()
    controller.admit(waiting, 0.0)
    refused = controller.finish(running, Signal.BROKEN, 0.1)
    assert [(d.ticket, d.reason) for d in refused] == [
        (waiting, Reason.EJECTED)
    ]
    assert controller.admit(ticket(), 0.2).reason is Reason.EJECTED


def test_ejected_target_gets_one_trial_request_at_a_time():
    controller = make_controller(slots=4)
    break_connections(controller, 0.0)
    later = health.TRIAL_INTERVAL_SECONDS
    trial = ticket(idempotent=True)
    assert isinstance(controller.admit(trial, later), admission.Started)
    second = controller.admit(ticket(idempotent=True), later)
    assert second.reason is Reason.EJECTED


def test_only_idempotent_requests_may_run_on_an_ejected_target():
    """Other requests would be lost, and hold a slot until their deadline."""
    controller = make_controller()
    break_connections(controller, 0.0)
    assert controller.admit(ticket(), 0.1).reason is Reason.EJECTED
    one = ticket(required_health=admission.RequiredHealth.ANY, idempotent=True)
    assert isinstance(controller.admit(one, 0.1), admission.Started)
    once = ticket(required_health=admission.RequiredHealth.ANY)
    assert controller.admit(once, 0.1).reason is Reason.EJECTED


def test_non_idempotent_request_requires_a_proven_target():
    controller = make_controller(proven=False)
    assert controller.admit(ticket(), 5.0).reason is Reason.UNPROVEN
    sound = ticket(required_health=admission.RequiredHealth.SOUND)
    assert isinstance(controller.admit(sound, 5.0), admission.Started)
    assert isinstance(
        controller.admit(ticket(idempotent=True), 5.0), admission.Started
    )


def test_successful_requests_prove_the_target():
    controller = make_controller(proven=False)
    for _ in range(2):
        one = ticket(idempotent=True)
        controller.admit(one, 5.0)
        controller.finish(one, Signal.SUCCESS, 5.1)
    assert isinstance(controller.admit(ticket(), 5.1), admission.Started)


def test_hanging_requests_eject_the_target_before_they_end():
    controller = make_controller(slots=3)
    train_latency(controller, 0.1)
    tickets = fill(controller, 3)
    waiting = ticket()
    controller.admit(waiting, 0.1)
    assert controller.tick(0.12) == []
    assert not controller.health.ejected
    refused = controller.tick(0.6)
    assert [(d.ticket, d.reason) for d in refused] == [
        (waiting, Reason.EJECTED)
    ]
    assert controller.health.signal is Signal.OVERDUE
    assert controller.running == len(tickets)


def test_usual_slowness_of_a_route_does_not_eject_the_target():
    controller = make_controller()
    train_latency(controller, 2.0)
    one = fill(controller, 1)[0]
    controller.tick(3.0)
    controller.finish(one, Signal.SUCCESS, 3.0)
    assert not controller.health.ejected


def test_slot_of_a_hanging_request_is_expected_at_its_deadline():
    """Guards against queueing behind slots that hang until the deadline."""
    controller = make_controller(slots=1)
    train_latency(controller, 0.1)
    controller.admit(ticket(deadline=5.0), 0.0)
    assert isinstance(
        controller.admit(ticket(start_by=2.0), 0.05), admission.Queued
    )
    request = ticket(
        required_health=admission.RequiredHealth.ANY,
        start_by=2.0,
        idempotent=True,
    )
    decision = controller.admit(request, 2.0 - 0.5)
    assert decision.reason is Reason.BUSY
    assert decision.retry_after > 2.0


def test_expected_wait_grows_with_the_latency_of_running_requests():
    def expected(seconds: float) -> float:
        controller = make_controller(slots=1)
        train_latency(controller, seconds)
        fill(controller, 1)
        one = ticket(wait=False)
        return controller.admit(one, 0.0).retry_after

    assert expected(0.4) > 1.5 * expected(0.2)


def test_pause_of_the_process_does_not_age_requests():
    controller = make_controller()
    fill(controller, 1)
    controller.exclude_pause(4.0)
    controller.tick(4.1)
    assert not controller.health.ejected


def test_cancelled_request_never_starts():
    controller = make_controller(slots=1)
    running = fill(controller, 1)[0]
    waiting = ticket()
    controller.admit(waiting, 0.0)
    assert controller.cancel(waiting)
    assert not controller.cancel(waiting)
    assert controller.finish(running, Signal.SUCCESS, 0.1) == []


def test_queued_requests_are_refused_at_their_deadline():
    controller = make_controller(slots=1)
    fill(controller, 1)
    waiting = ticket(
        deadline=1.0,
        required_health=admission.RequiredHealth.ANY,
        idempotent=True,
    )
    controller.admit(waiting, 0.0)
    refused = controller.tick(1.0)
    assert [d.reason for d in refused] == [Reason.DEADLINE]


def test_queued_request_is_refused_at_its_start_limit():
    """Guards against starvation by requests of a higher priority."""
    controller = make_controller(slots=1)
    fill(controller, 1)
    waiting = ticket(priority=2, start_by=0.3)
    assert isinstance(controller.admit(waiting, 0.0), admission.Queued)
    controller.admit(ticket(priority=0), 0.1)
    decisions = controller.tick(0.3)
    refused = [d for d in decisions if isinstance(d, admission.Refused)]
    assert [d.ticket for d in refused] == [waiting]
    assert refused[0].retry_after > 0


def test_request_is_refused_if_the_wait_exceeds_its_start_limit():
    controller = make_controller(slots=1)
    fill(controller, 1)
    decision = controller.admit(ticket(start_by=0.01), 0.0)
    assert decision.reason is Reason.BUSY


def test_load_reports_ejection_probability_and_route_latency():
    controller = make_controller()
    assert controller.load(2.0).idle == admission.UNUSED_IDLE_SECONDS
    assert (
        controller.load(2.0).unhealthy_probability < health.EJECTION_THRESHOLD
    )
    train_latency(controller, 0.1)
    assert controller.load(2.0, "").latency == pytest.approx(0.1, rel=0.1)
    assert controller.load(2.0, "unknown").latency == 0.0
    break_connections(controller, 2.0)
    load = controller.load(2.5)
    assert load.state is messages.TargetState.SUSPECT
    assert load.idle == 0.5
    assert load.unhealthy_probability > health.EJECTION_THRESHOLD


def test_request_that_does_not_wait_is_refused_without_a_free_slot():
    controller = make_controller(slots=1)
    train_latency(controller, 1.0)
    fill(controller, 1)
    decision = controller.admit(ticket(wait=False), 0.0)
    assert decision.reason is Reason.BUSY
    assert isinstance(
        controller.admit(ticket(wait=True), 0.0), admission.Queued
    )


def test_every_request_accepts_a_short_wait():
    controller = make_controller(slots=1)
    train_latency(controller, admission.SHORT_WAIT_SECONDS / 2)
    fill(controller, 1)
    assert isinstance(
        controller.admit(ticket(wait=False), 0.0), admission.Queued
    )


def test_requests_that_can_meet_their_objective_start_first():
    controller = make_controller(slots=1)
    running = fill(controller, 1)[0]
    late, timely = ticket(soft_deadline=0.2), ticket(soft_deadline=5.0)
    controller.admit(late, 0.0)
    controller.admit(timely, 0.0)
    started = controller.finish(running, Signal.SUCCESS, 0.3)
    assert [d.ticket for d in started] == [timely]


def test_shedding_target_keeps_its_queue():
    controller = make_controller(slots=1)
    running = fill(controller, 1)[0]
    waiting = ticket()
    controller.admit(waiting, 0.0)
    started = controller.finish(running, Signal.SHED, 0.1)
    assert [d.ticket for d in started] == [waiting]
    assert controller.load(0.1).state is messages.TargetState.SHEDDING
    assert isinstance(controller.admit(ticket(), 0.2), admission.Queued)


def test_target_in_slow_start_is_not_proven():
    controller = make_controller()
    controller.cold_until = 5.0
    assert controller.admit(ticket(), 0.5).reason is Reason.UNPROVEN
    sound = ticket(required_health=admission.RequiredHealth.SOUND)
    assert isinstance(controller.admit(sound, 0.5), admission.Started)
    one = ticket(required_health=admission.RequiredHealth.ANY)
    controller.admit(one, 5.0)
    controller.finish(one, Signal.SUCCESS, 5.0)
    assert isinstance(controller.admit(ticket(), 5.1), admission.Started)


def test_exclusive_request_runs_alone():
    """A crash would lose other requests, which would be suspected as well."""
    one = make_controller(3)
    concurrent, behind = ticket(), ticket(wait=True)
    exclusive_request = ticket(exclusive=True, wait=True)
    assert isinstance(one.admit(concurrent, 0.0), admission.Started)
    assert isinstance(one.admit(exclusive_request, 0.0), admission.Queued)
    # Filling the free slots would starve the exclusive request.
    assert isinstance(one.admit(behind, 0.0), admission.Queued)
    assert one.finish(concurrent, Signal.SUCCESS, 0.1) == [
        admission.Started(exclusive_request)
    ]
    assert one.running == 1
    assert one.finish(exclusive_request, Signal.SUCCESS, 0.2) == [
        admission.Started(behind)
    ]


def test_exclusive_request_is_refused_if_others_run_for_long():
    one = make_controller(3)
    train_latency(one, 0.9)
    one.admit(ticket(), 0.0)
    decision = one.admit(ticket(exclusive=True, wait=False), 0.0)
    assert isinstance(decision, admission.Refused)
    assert isinstance(one.admit(ticket(), 0.0), admission.Started)
