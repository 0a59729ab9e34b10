"""Queue of one target: fair order, displacement, refusals, changes of mode."""

import itertools
import random

import pytest

from forklift import admission
from forklift import fair_queueing
from forklift import health
from forklift import messages
from forklift import request_queue
from forklift import room_usage
from test import helper

Reason = messages.Reason
Signal = health.Signal
# Seconds of work of each request.
WORK = 0.4
_numbers = itertools.count(1)


class Mode:
    """Rules of fair queueing that a test changes."""

    def __init__(self, enabled: bool = True):
        self.enabled = enabled
        self.weights: dict[str, float] = {}
        self.floor = 0.1
        self.rules = fair_queueing.Rules(
            lambda: self.enabled,
            lambda organisation: self.weights.get(organisation, 1.0),
            lambda: self.floor,
        )


def make_controller(mode: Mode, slots: int = 1) -> admission.Controller:
    controller = admission.Controller("t", "s", slots, mode.rules)
    helper.train_latency(controller.latencies.for_route("", 2.0), WORK)
    return controller


def ticket(organisation: str = "", **changes) -> admission.Ticket:
    fields = {
        "id": (1, next(_numbers)),
        "idempotent": True,
        "priority": 1,
        "deadline": 100.0,
        "organisation": organisation,
    }
    return admission.Ticket(**{**fields, **changes})


def waiting(controller: admission.Controller, now: float = 0.0) -> str:
    return "".join(one.organisation for one in controller.queue.ordered(now))


def serve(controller: admission.Controller, running, count: int) -> list:
    """Ends one request after the other; returns those that started."""
    started = []
    for number in range(count):
        decisions = controller.finish(
            running, Signal.SUCCESS, WORK * (number + 1)
        )
        running = next(
            one.ticket
            for one in decisions
            if isinstance(one, admission.Started)
        )
        started.append(running)
    return started


def test_queue_alternates_between_organisations():
    controller = make_controller(Mode())
    running = ticket("a")
    assert isinstance(controller.admit(running, 0.0), admission.Started)
    for name in "aaabb":
        controller.admit(ticket(name), 0.0)
    assert waiting(controller) == "babaa"
    names = "".join(one.organisation for one in serve(controller, running, 5))
    assert names[0] == "b"
    assert sorted(names[:4]) == list("aabb")


def test_started_request_without_a_wait_is_charged():
    """Guards against an organisation that gets the free slots on top."""
    controller = make_controller(Mode(), slots=3)
    for _ in range(3):
        controller.admit(ticket("a"), 0.0)
    for name in "ab" * 3:
        controller.admit(ticket(name), 0.0)
    assert waiting(controller) == "bababa"


def test_full_queue_refuses_the_last_in_its_order():
    """Guards against a flooding organisation that locks others out."""
    controller = make_controller(Mode())
    controller.admit(ticket("a"), 0.0)
    flood = [ticket("a") for _ in range(admission.MAX_QUEUED_PER_SLOT)]
    for one in flood:
        assert isinstance(controller.admit(one, 0.0), admission.Queued)
    assert controller.admit(ticket("a"), 0.0).reason is Reason.BUSY
    decision = controller.admit(ticket("b"), 0.0)
    assert isinstance(decision, admission.Queued)
    refused = [(one.ticket, one.reason) for one in decision.displaced]
    assert refused == [(flood[-1], Reason.BUSY)]
    assert decision.displaced[0].retry_after > 0
    assert controller.waiting == admission.MAX_QUEUED_PER_SLOT
    assert controller.queue.usage.displaced == 1


def test_request_that_an_insertion_makes_too_late_is_refused_at_once():
    """Guards against queued requests that are held until they expire."""
    controller = make_controller(Mode())
    controller.admit(ticket("a"), 0.0)
    first, second = ticket("a", start_by=1.0), ticket("a", start_by=1.0)
    for one in (first, second):
        assert isinstance(controller.admit(one, 0.0), admission.Queued)
    decision = controller.admit(ticket("b", start_by=1.0), 0.0)
    assert [one.ticket for one in decision.displaced] == [second]
    assert controller.waiting == 2


def objective(seconds: float, now: float = 0.0) -> dict:
    """Fields of a request whose latency objective is met until then."""
    return {
        "soft_deadline": now + seconds,
        "start_by": now + seconds - WORK,
    }


def test_queued_request_starts_early_enough_to_end_in_time():
    """Else half of the requests that start at the last moment end late."""
    controller = make_controller(Mode())
    controller.admit(ticket("a"), 0.0)
    usual = controller.latencies.get("")
    needed = usual.quantile(request_queue.START_DEVIATIONS)
    assert usual.survival(needed) < 0.1
    # The running request ends after `WORK` seconds.
    late = controller.admit(ticket("b", **objective(WORK + needed - 0.02)), 0.0)
    assert late.reason is Reason.BUSY
    early = ticket("b", **objective(WORK + needed + 0.02))
    assert isinstance(controller.admit(early, 0.0), admission.Queued)
    # The slot became free late: the request may find another target.
    (refused,) = controller.tick(WORK + 0.04)
    assert (refused.ticket, refused.reason) == (early, Reason.BUSY)


def test_request_that_needs_no_wait_may_start_late():
    """Guards against refusals that leave slots idle."""
    controller = make_controller(Mode())
    one = ticket("a", **objective(WORK + 0.02))
    assert isinstance(controller.admit(one, 0.0), admission.Started)


def test_retry_is_not_limited_by_the_objective():
    """Its objective may be missed already."""
    controller = make_controller(Mode())
    controller.admit(ticket("a"), 0.0)
    retry = ticket("b", soft_deadline=0.1)
    assert isinstance(controller.admit(retry, 0.0), admission.Queued)


def test_refused_request_displaces_nothing():
    controller = make_controller(Mode())
    controller.admit(ticket("a"), 0.0)
    controller.admit(ticket("a", start_by=0.5), 0.0)
    refused = controller.admit(ticket("b", start_by=0.1), 0.0)
    assert refused.reason is Reason.BUSY
    assert waiting(controller) == "a"


def test_queued_request_is_not_refused_because_time_passes():
    """Guards against estimates that do not count the age of running ones."""
    controller = make_controller(Mode())
    controller.admit(ticket("a"), 0.0)
    second = ticket("a", start_by=1.0)
    controller.admit(second, 0.0)
    # The running request ends at 0.4 s, so the second starts at 0.8 s.
    decision = controller.admit(ticket("b"), 0.35)
    assert decision.displaced == ()
    assert waiting(controller, 0.35) == "ba"


def test_long_flow_that_gets_a_small_share_is_refused_at_once():
    """Guards against requests that wait only to give way to later ones.

    The queue never holds more than one request of the others, so it alone does
    not tell that half of the time is theirs.
    """
    controller = make_controller(Mode())
    running, now = ticket("a"), 0.0
    controller.admit(running, now)
    for _ in range(60):
        while waiting(controller, now).count("a") < 3:
            controller.admit(ticket("a"), now)
        if "b" not in waiting(controller, now):
            controller.admit(ticket("b"), now)
        now += WORK
        (decision,) = controller.finish(running, Signal.SUCCESS, now)
        running = decision.ticket
    while "b" in waiting(controller, now):
        now += WORK
        (decision,) = controller.finish(running, Signal.SUCCESS, now)
        running = decision.ticket
    ahead = waiting(controller, now).count("a")
    alone = (ahead + 1) * WORK
    one = ticket("a", start_by=now + 1.3 * alone)
    assert controller.admit(one, now).reason is Reason.BUSY
    later = ticket("a", start_by=now + 3.0 * alone)
    assert isinstance(controller.admit(later, now), admission.Queued)


def test_request_cancelled_while_queued_costs_its_organisation_nothing():
    """Guards against callers that give up and then wait behind others."""
    controller = make_controller(Mode())
    running = ticket("b")
    controller.admit(running, 0.0)
    cancelled = [ticket("a") for _ in range(5)]
    for one in cancelled:
        controller.admit(one, 0.0)
    for one in cancelled:
        assert controller.cancel(one)
        assert not controller.cancel(one)
    for name in "bbaa":
        controller.admit(ticket(name), 0.0)
    assert waiting(controller) == "abab"
    assert len(serve(controller, running, 4)) == 4


def test_switching_the_mode_keeps_all_requests_and_gives_no_burst():
    """Guards against requests that are lost or tags that outlive the mode."""
    mode = Mode(enabled=False)
    controller = make_controller(mode)
    running = ticket("a")
    controller.admit(running, 0.0)
    for name in "aaaabb":
        controller.admit(ticket(name), 0.0)
    assert waiting(controller) == "aaaabb"
    mode.enabled = True
    assert waiting(controller) == "ababaa"
    (second,) = serve(controller, running, 1)
    assert waiting(controller) == "babaa"
    mode.enabled = False
    assert waiting(controller) == "aaabb"
    (third,) = serve(controller, second, 1)
    mode.enabled = True
    # What ran in the other mode is not charged, and its end does no harm.
    assert waiting(controller) == "ababa"[: controller.waiting]
    assert len(serve(controller, third, 4)) == 4
    assert controller.waiting == 0


def test_changed_weights_apply_to_queued_requests():
    mode = Mode()
    controller = make_controller(mode)
    controller.admit(ticket("c"), 0.0)
    for name in "aaaabbbb":
        controller.admit(ticket(name), 0.0)
    assert waiting(controller)[:6] == "ababab"
    mode.weights = {"a": 2.0}
    assert waiting(controller)[:6].count("a") == 4


def test_target_that_leaves_refuses_all_queued_requests():
    controller = make_controller(Mode())
    controller.admit(ticket("a"), 0.0)
    queued = [ticket(name) for name in "aab"]
    for one in queued:
        controller.admit(one, 0.0)
    refused = controller.mark_left()
    assert {one.ticket.id for one in refused} == {one.id for one in queued}


def test_exclusive_request_holds_back_those_behind_it():
    controller = make_controller(Mode(), slots=2)
    running = [ticket("a"), ticket("a")]
    for one in running:
        controller.admit(one, 0.0)
    exclusive = ticket("b", exclusive=True)
    controller.admit(exclusive, 0.0)
    controller.admit(ticket("a"), 0.0)
    assert controller.finish(running[0], Signal.SUCCESS, WORK) == []
    decisions = controller.finish(running[1], Signal.SUCCESS, WORK)
    assert [one.ticket for one in decisions] == [exclusive]


@pytest.mark.parametrize("seed", range(5))
def test_order_without_fair_queueing_is_that_of_earlier_versions(seed):
    """Guards against any effect while overload control is off."""
    rng = random.Random(seed)
    controller = make_controller(Mode(enabled=False))
    running = ticket("a")
    controller.admit(running, 0.0)
    expected = []
    for number in range(admission.MAX_QUEUED_PER_SLOT):
        one = ticket(
            rng.choice("ab"),
            priority=rng.randrange(2),
            soft_deadline=rng.uniform(0.5, 4.0),
        )
        controller.admit(one, 0.0)
        expected.append((one.priority, one.soft_deadline, number, one))
    assert isinstance(controller.admit(ticket(), 0.0), admission.Refused)
    now = 0.0
    while expected:
        now += WORK
        expected.sort(key=lambda entry: entry[:3])
        most_urgent = [e for e in expected if e[0] == expected[0][0]]
        in_time = [e for e in most_urgent if now + WORK <= e[1]]
        chosen = (in_time or most_urgent)[0]
        (decision,) = controller.finish(running, Signal.SUCCESS, now)
        running = decision.ticket
        assert running is chosen[3]
        expected.remove(chosen)


def test_usage_is_counted_by_priority_and_organisation():
    controller = make_controller(Mode())
    controller.admit(ticket("a", priority=0), 0.0)
    controller.admit(ticket("a"), 0.0)
    controller.admit(ticket("a", priority=99, start_by=0.1), 0.0)
    usage = controller.queue.usage
    assert usage.starts_by_priority == {0: 1}
    assert usage.refusals_by_priority == {room_usage.MAX_PRIORITY: 1}
    work = usage.work_by_organisation.busiest(5, 0.0)
    assert work["a"] == pytest.approx(WORK, rel=0.1)


def test_usage_of_many_organisations_is_bounded():
    """Guards against memory and labels that grow with the organisations."""
    sums = room_usage.RecentSums()
    for number in range(1000):
        sums.add(f"o{number}", 1.0, 0.0)
        sums.add("busy", 1.0, 0.0)
    found = sums.busiest(room_usage.MAX_ORGANISATIONS, 0.0)
    assert len(found) <= room_usage.MAX_ORGANISATIONS + 1
    assert next(iter(found)) == "busy"
    assert sum(found.values()) == pytest.approx(2000.0)
