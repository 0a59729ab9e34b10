"""Admission to one target."""

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


def made(slots: int = 2, proven: bool = True) -> admission.Controller:
    found = admission.Controller("t", "s", slots)
    usual = latency.Distribution(0.01)
    for number in range(4 if proven else 0):
        found.health.begin(number, usual, -0.01)
        found.health.end(number, Signal.WELL, 0.0)
    takes(found, 0.1)
    return found


def takes(found: admission.Controller, seconds: float) -> None:
    """Teaches the gate how long its requests take."""
    helper.train_latency(found.latencies.for_route("", 0.3), seconds)


def break_off(found: admission.Controller, now: float) -> None:
    """The target breaks the connections of two requests."""
    for _ in range(2):
        one = ticket(
            required_health=admission.RequiredHealth.ANY, idempotent=True
        )
        found.admit(one, now)
        found.finish(one, Signal.BROKEN, now)


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
    found: admission.Controller, count: int, now: float = 0.0
) -> list[admission.Ticket]:
    tickets = [ticket() for _ in range(count)]
    for one in tickets:
        found.admit(one, now)
    return tickets


def test_slots_bound_what_runs():
    found = made(slots=2)
    fill(found, 2)
    assert isinstance(found.admit(ticket(), 0.0), admission.Wait)
    assert found.running == 2


def test_urgent_ones_go_first_and_equal_ones_in_order():
    found = made(slots=1)
    running = fill(found, 1)[0]
    late, early, urgent = ticket(), ticket(), ticket(priority=0)
    for one in (early, late, urgent):
        found.admit(one, 0.0)
    order = []
    for done in (running, urgent, early):
        decisions = found.finish(done, Signal.WELL, 0.1)
        order += [d.ticket for d in decisions if isinstance(d, admission.Start)]
    assert order == [urgent, early, late]


def test_one_that_waited_elsewhere_before_does_not_begin_at_the_end():
    found = made(slots=1)
    running = fill(found, 1)[0]
    later, sent_away = ticket(soft_deadline=2.0), ticket(soft_deadline=1.0)
    for one in (later, sent_away):
        found.admit(one, 0.0)
    decisions = found.finish(running, Signal.WELL, 0.1)
    assert [d.ticket for d in decisions] == [sent_away]


def test_a_wait_that_can_not_suffice_is_refused_at_once():
    found = made(slots=1)
    fill(found, 1)
    decision = found.admit(ticket(deadline=0.01), 0.0)
    assert isinstance(decision, admission.Refuse)
    assert decision.reason is Reason.BUSY
    assert decision.retry_after > 0


def test_a_passed_deadline_is_refused():
    decision = made().admit(ticket(deadline=1.0), 1.0)
    assert decision.reason is Reason.DEADLINE


@pytest.mark.parametrize("leaving", ["drain", "leave"])
def test_a_leaving_target_starts_nothing(leaving):
    found = made(slots=1)
    running = fill(found, 1)[0]
    waiting = ticket()
    found.admit(waiting, 0.0)
    refused = getattr(found, leaving)()
    assert [d.ticket for d in refused] == [waiting]
    assert found.admit(ticket(), 0.0).reason is Reason.DRAINING
    assert found.finish(running, Signal.WELL, 0.1) == []


def test_one_reset_sends_work_that_must_not_repeat_elsewhere():
    found = made(slots=1)
    running = fill(found, 1)[0]
    waiting = ticket()
    found.admit(waiting, 0.0)
    refused = found.finish(running, Signal.BROKEN, 0.1)
    assert [(d.ticket, d.reason) for d in refused] == [
        (waiting, Reason.DOUBTED)
    ]
    assert found.admit(ticket(), 0.2).reason is Reason.DOUBTED


def test_repeatable_work_scouts_one_at_a_time():
    found = made(slots=4)
    break_off(found, 0.0)
    later = health.TRIAL_INTERVAL_SECONDS
    scout = ticket(idempotent=True)
    assert isinstance(found.admit(scout, later), admission.Start)
    second = found.admit(ticket(idempotent=True), later)
    assert second.reason is Reason.DOUBTED


def test_insisting_work_runs_on_a_doubted_target_if_it_may_repeat():
    """Of the other, four in ten were lost, each with a slot for its limit."""
    found = made()
    break_off(found, 0.0)
    assert found.admit(ticket(), 0.1).reason is Reason.DOUBTED
    one = ticket(required_health=admission.RequiredHealth.ANY, idempotent=True)
    assert isinstance(found.admit(one, 0.1), admission.Start)
    once = ticket(required_health=admission.RequiredHealth.ANY)
    assert found.admit(once, 0.1).reason is Reason.DOUBTED


def test_work_that_must_not_repeat_asks_for_a_proof():
    found = made(proven=False)
    assert found.admit(ticket(), 5.0).reason is Reason.UNPROVEN
    sound = ticket(required_health=admission.RequiredHealth.SOUND)
    assert isinstance(found.admit(sound, 5.0), admission.Start)
    assert isinstance(
        found.admit(ticket(idempotent=True), 5.0), admission.Start
    )


def test_a_request_that_ends_well_proves_the_target():
    found = made(proven=False)
    for _ in range(2):
        one = ticket(idempotent=True)
        found.admit(one, 5.0)
        found.finish(one, Signal.WELL, 5.1)
    assert isinstance(found.admit(ticket(), 5.1), admission.Start)


def test_requests_that_hang_raise_doubt_before_they_end():
    found = made(slots=3)
    takes(found, 0.1)
    tickets = fill(found, 3)
    waiting = ticket()
    found.admit(waiting, 0.1)
    assert found.tick(0.12) == []
    assert not found.health.ejected
    refused = found.tick(0.6)
    assert [(d.ticket, d.reason) for d in refused] == [
        (waiting, Reason.DOUBTED)
    ]
    assert found.health.signal is Signal.OVERDUE
    assert found.running == len(tickets)


def test_slowness_of_all_such_work_raises_none():
    found = made()
    takes(found, 2.0)
    one = fill(found, 1)[0]
    found.tick(3.0)
    found.finish(one, Signal.WELL, 3.0)
    assert not found.health.ejected


def test_a_slot_whose_request_hangs_is_not_expected_before_its_deadline():
    """Five requests that hang for 5 s close a target for 5 s."""
    found = made(slots=1)
    takes(found, 0.1)
    found.admit(ticket(deadline=5.0), 0.0)
    assert isinstance(found.admit(ticket(start_by=2.0), 0.05), admission.Wait)
    insisting = ticket(
        required_health=admission.RequiredHealth.ANY,
        start_by=2.0,
        idempotent=True,
    )
    decision = found.admit(insisting, 2.0 - 0.5)
    assert decision.reason is Reason.BUSY
    assert decision.retry_after > 2.0


def test_what_waits_for_long_work_waits_longer_than_for_short():
    def expected(seconds: float) -> float:
        found = made(slots=1)
        takes(found, seconds)
        fill(found, 1)
        one = ticket(wait=False)
        return found.admit(one, 0.0).retry_after

    assert expected(0.4) > 1.5 * expected(0.2)


def test_a_pause_of_this_process_ages_nothing():
    found = made()
    fill(found, 1)
    found.exclude_pause(4.0)
    found.tick(4.1)
    assert not found.health.ejected


def test_a_cancelled_wait_never_starts():
    found = made(slots=1)
    running = fill(found, 1)[0]
    waiting = ticket()
    found.admit(waiting, 0.0)
    assert found.cancel(waiting)
    assert not found.cancel(waiting)
    assert found.finish(running, Signal.WELL, 0.1) == []


def test_late_waiting_ones_are_refused_when_time_passes():
    found = made(slots=1)
    fill(found, 1)
    waiting = ticket(
        deadline=1.0,
        required_health=admission.RequiredHealth.ANY,
        idempotent=True,
    )
    found.admit(waiting, 0.0)
    refused = found.tick(1.0)
    assert [d.reason for d in refused] == [Reason.DEADLINE]


def test_one_that_could_not_start_in_time_is_refused_long_before_its_end():
    """Urgent ones may go ahead of it for ever; its caller is to be told."""
    found = made(slots=1)
    fill(found, 1)
    waiting = ticket(priority=2, start_by=0.3)
    assert isinstance(found.admit(waiting, 0.0), admission.Wait)
    found.admit(ticket(priority=0), 0.1)
    decisions = found.tick(0.3)
    refused = [d for d in decisions if isinstance(d, admission.Refuse)]
    assert [d.ticket for d in refused] == [waiting]
    assert refused[0].retry_after > 0


def test_a_wait_beyond_the_time_to_start_is_refused_at_once():
    found = made(slots=1)
    fill(found, 1)
    decision = found.admit(ticket(start_by=0.01), 0.0)
    assert decision.reason is Reason.BUSY


def test_load_tells_doubt_risk_and_how_long_the_route_takes():
    found = made()
    assert found.load(2.0).idle == admission.MAX_IDLE_SECONDS
    assert found.load(2.0).unhealthy_probability < health.EJECTION_THRESHOLD
    takes(found, 0.1)
    assert found.load(2.0, "").latency == pytest.approx(0.1, rel=0.1)
    assert found.load(2.0, "unknown").latency == 0.0
    break_off(found, 2.0)
    load = found.load(2.5)
    assert load.state is messages.TargetState.SUSPECT
    assert load.idle == 0.5
    assert load.unhealthy_probability > health.EJECTION_THRESHOLD


def test_impatient_work_is_refused_while_slots_are_taken():
    found = made(slots=1)
    takes(found, 1.0)
    fill(found, 1)
    decision = found.admit(ticket(wait=False), 0.0)
    assert decision.reason is Reason.BUSY
    assert isinstance(found.admit(ticket(wait=True), 0.0), admission.Wait)


def test_a_short_wait_is_accepted_by_all():
    found = made(slots=1)
    takes(found, admission.SHORT_WAIT_SECONDS / 2)
    fill(found, 1)
    assert isinstance(found.admit(ticket(wait=False), 0.0), admission.Wait)


def test_those_go_first_that_can_still_be_in_time():
    found = made(slots=1)
    running = fill(found, 1)[0]
    late, timely = ticket(soft_deadline=0.2), ticket(soft_deadline=5.0)
    found.admit(late, 0.0)
    found.admit(timely, 0.0)
    started = found.finish(running, Signal.WELL, 0.3)
    assert [d.ticket for d in started] == [timely]


def test_shedding_sends_nobody_away():
    found = made(slots=1)
    running = fill(found, 1)[0]
    waiting = ticket()
    found.admit(waiting, 0.0)
    started = found.finish(running, Signal.SHED, 0.1)
    assert [d.ticket for d in started] == [waiting]
    assert found.load(0.1).state is messages.TargetState.SHEDDING
    assert isinstance(found.admit(ticket(), 0.2), admission.Wait)


def test_a_cold_target_comes_after_warm_ones():
    found = made()
    found.cold_until = 5.0
    assert found.admit(ticket(), 0.5).reason is Reason.UNPROVEN
    sound = ticket(required_health=admission.RequiredHealth.SOUND)
    assert isinstance(found.admit(sound, 0.5), admission.Start)
    one = ticket(required_health=admission.RequiredHealth.ANY)
    found.admit(one, 5.0)
    found.finish(one, Signal.WELL, 5.0)
    assert isinstance(found.admit(ticket(), 5.1), admission.Start)


def test_a_suspect_runs_alone():
    """What ran beside it would be lost with it, and suspected too."""
    one = made(3)
    beside, behind = ticket(), ticket(wait=True)
    suspect = ticket(exclusive=True, wait=True)
    assert isinstance(one.admit(beside, 0.0), admission.Start)
    assert isinstance(one.admit(suspect, 0.0), admission.Wait)
    # Slots are free, but to fill them would keep the suspect out for ever.
    assert isinstance(one.admit(behind, 0.0), admission.Wait)
    assert one.finish(beside, Signal.WELL, 0.1) == [admission.Start(suspect)]
    assert one.running == 1
    assert one.finish(suspect, Signal.WELL, 0.2) == [admission.Start(behind)]


def test_a_suspect_goes_elsewhere_where_others_run_for_long():
    one = made(3)
    takes(one, 0.9)
    one.admit(ticket(), 0.0)
    found = one.admit(ticket(exclusive=True, wait=False), 0.0)
    assert isinstance(found, admission.Refuse)
    assert isinstance(one.admit(ticket(), 0.0), admission.Start)
