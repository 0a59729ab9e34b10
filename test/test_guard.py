"""Admission, fences, pauses and queues at the guard."""

import pytest

from forklift import guard
from forklift import limits
from forklift import localtarget
from forklift import messages
from test import helper

Reason = messages.Reason
Outcome = messages.Outcome


def made(slots=1, **keys):
    decisions = guard.Guard()
    program = helper.service(**keys)
    decisions.announce("t", "s", slots, program, 0.0)
    decisions.observe(0.0)
    return decisions


def ticket(seq, deadline=100.0, incarnation=1, repeatable=True, target="t"):
    return localtarget.Ticket(
        (7, seq), target, "s", "r", repeatable, deadline, incarnation
    )


REFUSALS = {
    "no such target": (lambda g: None, {"target": "x"}, Reason.UNKNOWN_TARGET),
    "leaving": (lambda g: g.drain("t", 1.0), {}, Reason.DRAINING),
    "gone": (lambda g: g.leave("t", 1.0), {}, Reason.DRAINING),
    "too late": (lambda g: None, {"deadline": 0.5}, Reason.DEADLINE),
    "guard was paused": (lambda g: g.observe(5.0), {}, Reason.STALE),
    "fenced": (lambda g: g.fence((7, 1), 1.0), {}, Reason.FENCED),
    "ejected": (lambda g: _eject(g), {}, Reason.EJECTED),
    "trial": (
        lambda g: _try(g),
        {"repeatable": False},
        Reason.EJECTED,
    ),
}


def _eject(decisions):
    target = decisions.target_by_name["t"]
    target.standing.state = messages.TargetState.SUSPECT
    decisions.permitted("t", 50.0, 0.5)


def _try(decisions):
    _eject(decisions)
    target = decisions.target_by_name["t"]
    target.standing.tick(target.standing.penalty_ends)


@pytest.mark.parametrize("name", REFUSALS)
def test_refusals_are_not_run(name):
    before, changes, reason = REFUSALS[name]
    decisions = made()
    before(decisions)
    decision = decisions.arrive(ticket(1, **changes), 1.0)
    assert isinstance(decision, guard.Refuse)
    assert decision.reason is reason
    assert decision.outcome is Outcome.NOT_RUN


def test_copy_of_a_started_request_is_unknown_not_not_run():
    decisions = made(slots=2)
    decisions.arrive(ticket(1), 0.0)
    assert decisions.launch(ticket(1), 0.0) is None
    copy = decisions.arrive(ticket(1), 0.1)
    assert isinstance(copy, guard.Refuse)
    assert copy.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ("order", "not_run"),
    [
        (("fence", "arrive"), True),
        (("arrive", "fence"), True),
        (("arrive", "launch", "fence"), False),
    ],
)
def test_fence_tells_the_truth_in_any_order(order, not_run):
    decisions = made()
    started = False
    proven = None
    for step in order:
        if step == "arrive":
            decisions.arrive(ticket(1), 0.0)
        elif step == "launch":
            started = decisions.launch(ticket(1), 0.0) is None
        else:
            proven, _ = decisions.fence((7, 1), 0.0)
    if proven:
        assert decisions.launch(ticket(1), 0.0) is Reason.FENCED
    assert proven is not_run
    assert started is not proven


def test_fenced_while_it_waits_is_refused_and_its_slot_goes_on():
    decisions = made()
    decisions.arrive(ticket(1), 0.0)
    assert isinstance(decisions.arrive(ticket(2), 0.0), guard.Wait)
    assert isinstance(decisions.arrive(ticket(3), 0.0), guard.Wait)
    proven, refused = decisions.fence((7, 2), 0.0)
    assert proven
    assert refused.reason is Reason.FENCED
    started = decisions.finish(ticket(1), False, 0.1)
    assert [d.ticket.id for d in started] == [(7, 3)]


@pytest.mark.parametrize(
    ("gap", "reason"), [(0.5, None), (guard.PAUSE + 0.1, Reason.STALE)]
)
def test_pause_between_admission_and_first_byte(gap, reason):
    decisions = made()
    decisions.arrive(ticket(1), 0.0)
    decisions.observe(gap)
    assert decisions.launch(ticket(1), gap) is reason


def test_pause_refuses_what_waits():
    decisions = made()
    decisions.arrive(ticket(1), 0.0)
    decisions.arrive(ticket(2), 0.0)
    refused = decisions.observe(10.0)
    assert [r.reason for r in refused] == [Reason.STALE]
    assert decisions.incarnation == 2


def test_full_queue_is_refused_with_a_time_to_come_back():
    decisions = made(max_wait=0.5)
    decision = None
    for number in range(20):
        decision = decisions.arrive(ticket(number), 0.0)
    assert isinstance(decision, guard.Refuse)
    assert decision.reason is Reason.BUSY
    assert decision.retry_after > 0


def test_what_waited_too_long_is_refused_at_its_end():
    decisions = made(max_wait=0.5)
    decisions.arrive(ticket(1), 0.0)
    decisions.arrive(ticket(2), 0.0)
    refused, _ = decisions.tick(0.6)
    assert [r.reason for r in refused] == [Reason.BUSY]


def test_overdue_repeatable_requests_on_an_ejected_target_are_given_up():
    decisions = made(slots=4)
    target = decisions.target_by_name["t"]
    for number in range(4):
        decisions.arrive(ticket(number, repeatable=number > 0), 0.0)
    target.normal = guard.health.Reference(0.1, 0.0)
    _eject(decisions)
    given_up, _ = decisions.tick(2.0)
    ids = [d.ticket.id for d in given_up if isinstance(d, guard.GiveUp)]
    assert ids == [(7, 1), (7, 2), (7, 3)]


@pytest.mark.parametrize(
    ("queue", "first"), [("fifo", 1), ("lifo", 3), ("codel", 1)]
)
def test_queues_choose_the_next(queue, first):
    made_queue = limits.queue_by_name[queue]()
    for number in (1, 2, 3):
        made_queue.add(limits.Waiting(number, 0.0, 10.0))
    assert made_queue.take(0.01).id == first


def test_codel_drops_only_while_the_delay_stays():
    made_queue = limits.queue_by_name["codel"]()
    dropped = []
    for tenth in range(40):
        made_queue.add(limits.Waiting(tenth, tenth / 10, 100.0))
        dropped += made_queue.drop(tenth / 10, 0.0)
    assert dropped
    assert dropped[0].id == 0


def test_gradient_limit_falls_when_latency_rises_and_comes_back():
    limit = limits.limit_by_name["gradient"](20)
    now = 0.0
    for _ in range(30):
        now += 1.1
        limit.note(0.1, now)
    assert limit.allowed() == 20
    for _ in range(6):
        now += 1.1
        limit.note(2.0, now)
    low = limit.allowed()
    assert low < 20
    for _ in range(60):
        now += 1.1
        limit.note(0.1, now)
    assert limit.allowed() > low
