"""Retry budgets over several processes and sliding windows."""

import random

from forklift import retry_budget

WINDOW = 10.0


def test_retries_of_all_processes_stay_within_the_limit():
    rng = random.Random(1)
    ratio, reserve, processes = 0.2, 50.0, 7
    budgets = [
        retry_budget.RetryBudget(ratio, WINDOW, reserve)
        for _ in range(processes)
    ]
    requests: list[float] = []
    retries: list[float] = []
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(100.0)
        budget = rng.choice(budgets)
        budget.record_request(now)
        requests.append(now)
        if rng.random() < 0.7 and budget.spend(now, processes):
            retries.append(now)
    for start in retries:
        spent = sum(1 for at in retries if start <= at < start + WINDOW)
        asked = sum(1 for at in requests if start <= at < start + WINDOW)
        before = sum(1 for at in requests if start - WINDOW <= at < start)
        assert spent <= ratio * max(asked, before) + reserve


def test_partitioned_process_keeps_its_share_of_the_reserve():
    budget = retry_budget.RetryBudget(0.0, WINDOW, 20.0)
    budget.spend(0.0, 10)
    granted = sum(budget.spend(1.0, 1) for _ in range(30))
    assert granted <= 2


def test_process_without_known_peers_spends_no_reserve():
    """All processes may start at once, before they know each other."""
    budgets = [retry_budget.RetryBudget(0.0, WINDOW, 20.0) for _ in range(10)]
    granted = sum(budget.spend(0.0, 0) for budget in budgets for _ in range(30))
    assert granted == 0
    granted = sum(
        budget.spend(1.0, 10) for budget in budgets for _ in range(30)
    )
    assert 0 < granted <= 20


def test_retries_outside_the_window_are_not_counted():
    budget = retry_budget.RetryBudget(0.0, WINDOW, 2.0)
    assert budget.spend(0.0, 1)
    assert not budget.spend(WINDOW / 2, 1)
    assert budget.spend(WINDOW + 0.1, 1)


def test_new_limits_apply_to_events_already_counted():
    budget = retry_budget.RetryBudget(0.0, WINDOW, 2.0)
    assert budget.spend(0.0, 1)
    budget.set_limits(0.0, WINDOW, 4.0)
    granted = sum(budget.spend(1.0, 1) for _ in range(10))
    assert granted == int(4.0 * retry_budget.USABLE_SHARE) - 1


def test_one_kind_of_retry_can_be_limited_to_a_share():
    budget = retry_budget.RetryBudget(1.0, 10.0, 0.0)
    for _ in range(20):
        budget.record_request(0.0)
    first = sum(budget.spend(1.0, 1, share=0.5) for _ in range(20))
    rest = sum(budget.spend(1.0, 1) for _ in range(20))
    assert (first, first + rest) == (9, 18)
