"""The budget of repeats, over processes and windows that slide."""

import random

from forklift import retry_budget

WINDOW = 10.0


def test_the_sum_over_processes_keeps_the_bound():
    rng = random.Random(1)
    ratio, reserve, processes = 0.2, 50.0, 7
    parts = [
        retry_budget.RetryBudget(ratio, WINDOW, reserve)
        for _ in range(processes)
    ]
    requests: list[float] = []
    repeats: list[float] = []
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(100.0)
        part = rng.choice(parts)
        part.record_request(now)
        requests.append(now)
        if rng.random() < 0.7 and part.spend(now, processes):
            repeats.append(now)
    for start in repeats:
        spent = sum(1 for at in repeats if start <= at < start + WINDOW)
        asked = sum(1 for at in requests if start <= at < start + WINDOW)
        before = sum(1 for at in requests if start - WINDOW <= at < start)
        assert spent <= ratio * max(asked, before) + reserve


def test_a_process_that_is_cut_off_keeps_its_part():
    part = retry_budget.RetryBudget(0.0, WINDOW, 20.0)
    part.spend(0.0, 10)
    granted = sum(part.spend(1.0, 1) for _ in range(30))
    assert granted <= 2


def test_processes_that_started_again_and_know_nobody_spend_no_reserve():
    """All start at once; the sum keeps the bound before they have met."""
    parts = [retry_budget.RetryBudget(0.0, WINDOW, 20.0) for _ in range(10)]
    granted = sum(part.spend(0.0, 0) for part in parts for _ in range(30))
    assert granted == 0
    granted = sum(part.spend(1.0, 10) for part in parts for _ in range(30))
    assert 0 < granted <= 20


def test_old_repeats_are_forgotten():
    part = retry_budget.RetryBudget(0.0, WINDOW, 2.0)
    assert part.spend(0.0, 1)
    assert not part.spend(WINDOW / 2, 1)
    assert part.spend(WINDOW + 0.1, 1)


def test_other_bounds_hold_for_what_was_counted():
    part = retry_budget.RetryBudget(0.0, WINDOW, 2.0)
    assert part.spend(0.0, 1)
    part.set_limits(0.0, WINDOW, 4.0)
    granted = sum(part.spend(1.0, 1) for _ in range(10))
    assert granted == int(4.0 * retry_budget.USABLE_SHARE) - 1


def test_a_kind_of_repeat_may_be_held_to_a_part_of_the_budget():
    found = retry_budget.RetryBudget(1.0, 10.0, 0.0)
    for _ in range(20):
        found.record_request(0.0)
    part = sum(found.spend(1.0, 1, share=0.5) for _ in range(20))
    rest = sum(found.spend(1.0, 1) for _ in range(20))
    assert (part, part + rest) == (9, 18)
