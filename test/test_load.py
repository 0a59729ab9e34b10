"""Loads at their worst, replayed on what waits, is refused and is placed."""

import random

import pytest

from forklift import health
from forklift import retries
from test import replay

BOOK = replay.Kind("book", 0.45, 1.5, 5.0)
REFUND = replay.Kind("refund", 0.35, 0.8, 2.5, priority=0)
LOOKUP = replay.Kind("lookup", 0.1, 0.4, 1.5, idempotent=True)


def never(number: int, now: float) -> bool:
    return False


def steady(played: replay.Replay, kind: replay.Kind, rate: float, until: float):
    rng = random.Random(f"{kind.route} {rate}")
    now = rng.expovariate(rate)
    while now < until:
        played.come(now, kind)
        now += rng.expovariate(rate)


def share(courses: list[replay.Course], good) -> float:
    return sum(map(good, courses)) / len(courses)


def burst() -> list[replay.Course]:
    """Half as much again as two targets can run, for ten seconds."""
    played = replay.Replay(2, 5, never)
    steady(played, BOOK, 28.0, 10.0)
    played.run(20.0)
    return played.courses


def test_a_burst_leaves_most_of_what_is_served_in_time():
    """A slot for one that is late makes the next one late, too."""
    courses = burst()
    served = [one for one in courses if one.served]
    assert share(served, lambda one: one.timely) > 0.75
    assert len(served) / len(courses) > 0.55


def test_a_burst_holds_nobody_for_long_whom_it_does_not_serve():
    refused = [one for one in burst() if not one.served]
    longest = max(one.ended - one.came for one in refused)
    assert longest < BOOK.objective + 2 * replay.TICK


def test_a_longer_bound_on_waiting_holds_more_for_nothing(monkeypatch):
    """The curve beside the choice: seconds held for those who are not served,
    while no more are served in time."""

    def held_and_timely() -> tuple[float, int]:
        courses = burst()
        unserved = [one for one in courses if not one.served]
        held = sum(one.ended - one.came for one in unserved)
        return held, sum(one.timely for one in courses)

    held, timely = held_and_timely()
    monkeypatch.setattr(retries, "MIN_QUEUE_TIME", 0.8 * BOOK.timeout)
    held_longer, timely_longer = held_and_timely()
    assert held_longer > 1.5 * held
    assert timely_longer < 1.05 * timely


def hanging(until: float, arrivals: float) -> replay.Replay:
    """Two of six targets hang three requests in four from 5 s on."""

    def bad(number: int, now: float) -> bool:
        return number < 2 and 5.0 <= now < until

    played = replay.Replay(6, 5, bad)
    steady(played, BOOK, 24.0, arrivals)
    steady(played, LOOKUP, 12.0, arrivals)
    return played


def test_a_third_of_the_targets_hanging_costs_few_requests():
    """Three in four hang for four seconds; what is sent there is lost."""

    played = hanging(until=9.0, arrivals=12.0)
    played.run(20.0)
    during = [c for c in played.courses if c.kind is BOOK and 5 <= c.came < 9]
    # Blind placement would lose a third of three quarters.
    assert share(during, lambda one: one.hung) < 0.12
    assert share(during, lambda one: one.served) > 0.75


def test_targets_that_hang_are_back_soon_after_they_are_well():
    played = hanging(until=8.0, arrivals=14.0)
    played.run(14.0)
    for found in played.gates:
        assert (
            found.health.unhealthy_probability(14.0) < health.EJECTION_THRESHOLD
        )


@pytest.mark.parametrize("kind", [BOOK, REFUND, LOOKUP])
def test_every_request_ends_in_its_time(kind):
    played = replay.Replay(3, 5, lambda number, now: number == 0)
    steady(played, kind, 60.0, 5.0)
    played.run(12.0)
    for one in played.courses:
        assert one.came <= one.ended <= one.came + kind.timeout + replay.TICK
