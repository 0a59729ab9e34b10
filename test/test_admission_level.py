"""Admission level at the ingress process: decisions of one process."""

import random

import pytest

from forklift import admission_level
from forklift import load_balancer
from forklift import messages
from forklift import policy
from test import helper

FLOOR = 0.1
FULL = admission_level.Room(0.0, 3)
Outcome = messages.Outcome
Reason = messages.Reason


class Process:
    """An ingress process, and a service that accepts a limited rate."""

    def __init__(self, capacity: float = 10.0):
        self.levels = admission_level.AdmissionLevels()
        self.rng = random.Random(1)
        self._capacity = capacity
        self._credit = 0.0
        self._refilled_at = 0.0

    def send(self, now, priority=1, accepted=True, room=FULL, **fields):
        """Returns the refusal; if there is none, the request ends at once."""
        arrival = admission_level.Arrival("s", priority, **fields)
        refusal = self.levels.decide(
            arrival, room, FLOOR, self.rng.random(), now
        )
        if refusal is None:
            self.levels.record_end(arrival, not accepted, None, now)
        return refusal

    def send_to_limited(self, now, **fields):
        """Sends a request that is accepted if the service has capacity."""
        earned = (now - self._refilled_at) * self._capacity
        self._credit = min(2.0, self._credit + earned)
        self._refilled_at = now
        accepted = self._credit >= 1
        refusal = self.send(now, accepted=accepted, **fields)
        self._credit -= accepted and refusal is None
        return refusal

    def overload(self, until=8.0, rate=30.0):
        """Sends requests of priority 1; returns their times and refusals."""
        times = [number / rate for number in range(int(until * rate))]
        return [(now, self.send_to_limited(now)) for now in times]


def test_a_process_without_news_admits_everything():
    """Guards against refusals by a process that just started."""
    process = Process()
    for number in range(100):
        assert process.send(number / 10) is None


def test_about_as_many_requests_are_sent_as_are_accepted():
    """Guards against sending all requests of an overload to full targets."""
    late = [r for now, r in Process().overload() if now > 4]
    admitted = sum(refusal is None for refusal in late) / 4
    assert 10 <= admitted <= 10 * admission_level.HEADROOM + 3


def test_requests_are_admitted_while_a_report_shows_a_free_slot():
    process = Process()
    process.overload()
    free = admission_level.Room(1.0, 3)
    for _ in range(50):
        assert process.send(8.0, accepted=False, room=free) is None


def test_requests_are_admitted_after_one_of_their_priority_started_at_once():
    process = Process()
    process.overload()
    arrival = admission_level.Arrival("s", 1)
    process.levels.record_end(arrival, False, 8.05, 8.1)
    assert all(process.send(8.1) is None for _ in range(20))
    # A more urgent one that started does not speak for the others.
    process.send(8.2, accepted=False, room=admission_level.Room(1.0, 3))
    urgent = admission_level.Arrival("s", 0)
    process.levels.record_end(urgent, False, 8.3, 8.3)
    assert any(process.send(8.3) for _ in range(50))


def test_the_end_of_an_overload_is_noticed_within_a_second():
    """Guards against refusals that sustain themselves without news."""
    process = Process()
    process.overload()
    assert process.levels.levels(8.0)["s"].level < 0.6
    for number in range(50):
        assert process.send(9.0 + number / 10) is None


def test_the_least_urgent_are_refused_first_and_keep_the_floor():
    process = Process()
    admitted, sent = {0: 0, 1: 0, 2: 0}, 400
    for number in range(3 * sent):
        now, priority = number / 60, number % 3
        # The targets have room for priority 0 and half of priority 1.
        accepted = priority == 0 or (priority == 1 and number % 2 == 0)
        if process.send(now, priority, accepted) is None:
            admitted[priority] += 1
    assert admitted[0] == sent
    assert admitted[1] > 0.45 * sent
    assert 0.05 * sent < admitted[2] < 0.3 * sent


def test_a_small_organisation_is_not_refused_for_a_flooding_one():
    """Guards against refusing all organisations alike at the ingress."""
    process = Process(capacity=40.0)
    admitted = dict.fromkeys(("small", "flood"), 0)
    for number in range(2000):
        name = "small" if number % 10 == 0 else "flood"
        refusal = process.send_to_limited(number / 100, organisation=name)
        admitted[name] += refusal is None
    assert admitted["small"] > 0.95 * 200
    # The flooding one gets what is left of the capacity.
    assert 0.8 * 600 < admitted["flood"] < 1.5 * 600


def test_an_organisation_at_its_part_is_seldom_refused():
    """Guards against taking a chance run of requests for a flood."""
    process = Process(capacity=20.0)
    rng = random.Random(2)
    sent, admitted, within = 0, 0, 0
    for number in range(4000):
        # Its part is half of the capacity; the other sends four times as much.
        name = "usual" if rng.random() < 0.2 else "flood"
        now = number / 50
        refusal = process.send_to_limited(now, organisation=name)
        if name == "usual" and now > 10.0:
            sent += 1
            admitted += refusal is None
            arrival = admission_level.Arrival("s", 1, name)
            within += process.levels.is_within_part(arrival, now)
    assert admitted > 0.98 * sent
    assert within > 0.9 * sent


def test_a_flooding_organisation_is_not_within_its_part():
    """Guards against further attempts of requests that all targets refuse."""
    process = Process(capacity=20.0)
    within = []
    for number in range(2000):
        name = "small" if number % 10 == 0 else "flood"
        process.send_to_limited(number / 50, organisation=name)
        arrival = admission_level.Arrival("s", 1, name)
        within.append(process.levels.is_within_part(arrival, number / 50))
    flood = [is_within for n, is_within in enumerate(within) if n % 10]
    assert sum(flood[1000:]) == 0


def test_nobody_is_within_a_part_while_there_is_room():
    levels = admission_level.AdmissionLevels()
    arrival = admission_level.Arrival("s", 1, "usual")
    levels.decide(arrival, admission_level.Room(), FLOOR, 0.5, 0.0)
    assert not levels.is_within_part(arrival, 0.0)


def test_weights_divide_the_room_between_organisations():
    process = Process(capacity=30.0)
    admitted = dict.fromkeys(("heavy", "light"), 0)
    for number in range(6000):
        name, weight = (("heavy", 2.0), ("light", 1.0))[number % 2]
        refusal = process.send_to_limited(
            number / 100, organisation=name, weight=weight
        )
        admitted[name] += refusal is None
    assert admitted["heavy"] == pytest.approx(2 * admitted["light"], rel=0.25)


def test_those_refused_earlier_return_earlier():
    """Guards against callers that return together."""
    refused = [(now, r) for now, r in Process().overload() if r is not None]
    for _, refusal in refused:
        assert 0 < refusal.retry_after <= 2 * admission_level.MAX_RETRY_AFTER
    # Jitter may swap neighbours only.
    returns = [now + refusal.retry_after for now, refusal in refused]
    assert all(a < b for a, b in zip(returns, returns[8:], strict=False))
    assert len({round(at, 2) for at in returns}) > 0.7 * len(returns)


def test_a_process_with_a_request_a_second_is_seldom_wrong():
    """Guards against a share estimated from one or two requests."""
    refusals = Process(0.7).overload(until=120.0, rate=1.0)
    refused = sum(refusal is not None for _, refusal in refusals)
    assert refused / len(refusals) < 0.3


@pytest.mark.parametrize(
    ("outcome", "reason", "held", "room", "lacked"),
    [
        (Outcome.NOT_RUN, Reason.BUSY, 0.0, FULL, True),
        (Outcome.NOT_RUN, Reason.SHED, 0.0, FULL, False),
        (Outcome.NOT_RUN, Reason.LIMITED, 0.0, FULL, False),
        (Outcome.NOT_RUN, Reason.NO_TARGET, 0.0, FULL, True),
        (Outcome.NOT_RUN, Reason.NO_TARGET, 0.0, admission_level.Room(), False),
        (
            Outcome.NOT_RUN,
            Reason.NO_TARGET,
            0.0,
            admission_level.Room(1.0, 1),
            False,
        ),
        (Outcome.NOT_RUN, Reason.DEADLINE, 0.5, FULL, True),
        (Outcome.NOT_RUN, Reason.DEADLINE, 4.0, FULL, False),
        (Outcome.UNKNOWN, Reason.TIMEOUT, 0.5, FULL, False),
        (Outcome.ANSWERED, None, 0.5, FULL, False),
    ],
)
def test_what_is_a_lack_of_room(outcome, reason, held, room, lacked):
    result = admission_level.lacked_room(outcome, reason, held, room)
    assert result is lacked


def balancer() -> load_balancer.LoadBalancer:
    found = load_balancer.LoadBalancer(
        "p",
        "d",
        random.Random(1),
        policy.BUILT_IN.service_policy,
        load_balancer.RetryBudgetLimits(),
    )
    found.update_process(helper.info("q", "t0", "t1"))
    return found


def load(in_flight, queued=0, state=messages.TargetState.IN_SERVICE):
    return messages.Load(in_flight, queued, 4, state, 1, 0.1)


def test_room_is_read_from_fresh_reports_only():
    found = balancer()
    found.update_load("t0", load(1), 10.0)

    def room(now: float) -> admission_level.Room:
        return admission_level.known_room(found.views("s"), now)

    assert room(10.0) == admission_level.Room(3.0, 1)
    assert 0 < room(11.5).free < 3
    assert room(12.5) == admission_level.Room()
    found.update_load("t0", load(4, 7), 13.0)
    found.update_load("t1", load(0, 0, messages.TargetState.SUSPECT), 13.0)
    assert room(13.0) == admission_level.Room(0.0, 1)
    assert room(13.0).exhausted


def test_own_requests_since_a_report_take_room():
    found = balancer()
    found.update_load("t0", load(3), 10.0)
    requirements = load_balancer.Requirements("s", False)
    found.update_load("t1", load(4), 10.0)
    assert found.select(requirements, frozenset(), 10.0).target == "t0"
    room = admission_level.known_room(found.views("s"), 10.0)
    assert room.exhausted


def test_state_is_bounded():
    """Guards against memory that grows with services and organisations."""
    levels = admission_level.AdmissionLevels()
    for number in range(1000):
        arrival = admission_level.Arrival(f"s{number}", number)
        levels.decide(arrival, FULL, FLOOR, 0.5, 1.0)
    found = levels.levels(1.0)
    assert len(found) == admission_level.MAX_SERVICES
    process = Process()
    for number in range(1000):
        process.send(number / 100, organisation=f"o{number}", accepted=False)
    state = process.levels._state("s")
    assert len(state._arrivals_by_caller) == admission_level.MAX_ORGANISATIONS
