"""Tests the counts of requests that rate limits refuse."""

import pytest

from forklift import allocator
from forklift import limit_messages
from forklift import limit_refusals
from forklift import local_quota
from forklift import organisations
from forklift import rate_limits

Cause = limit_refusals.Cause
PRESSED = limit_refusals.Supply(1.0, 4.0)


def record(counts, name: str, number: int, now: float = 0.0) -> None:
    for _ in range(number):
        counts.record(name, Cause.NO_ANSWER, PRESSED, now)


def refused(counts) -> dict[str, int]:
    return {name: tally.refused for name, tally in counts.items()}


def test_number_of_named_organisations_is_bounded():
    """Guards against a metric series for each of thousands of organisations."""
    counts = limit_refusals.RefusalCounts()
    for number in range(1000):
        record(counts, f"o{number}", 3, number)
    found = refused(counts)
    assert len(found) == limit_refusals.MAX_NAMED + 1
    assert sum(found.values()) == 3000
    tracked = limit_refusals.MAX_NAMED + limit_refusals.MAX_TRACKED
    assert len(counts._activity_by_name) <= tracked


def test_busiest_organisation_gets_a_name_and_no_count_decreases():
    """A counter that decreases would show as a burst of refusals."""
    counts = limit_refusals.RefusalCounts()
    for number in range(limit_refusals.MAX_NAMED):
        record(counts, f"o{number}", 10 + number)
    before = refused(counts)
    record(counts, "late", 20)
    assert refused(counts) == before | {"": 20}
    record(counts, "late", 30)
    after = refused(counts)
    assert "o0" not in after and after["late"] == 30
    assert after[""] == 20 + before["o0"]
    total = limit_refusals.MAX_NAMED * 10 + sum(range(20)) + 50
    assert sum(after.values()) == total


LIMIT = organisations.Organisation("o", (), None, 100, 100)


def quota() -> local_quota.LocalQuota:
    return local_quota.LocalQuota(
        lambda: limit_messages.ProcessRun("p", "p", 7),
        rate_limits.Bounds(),
        {"o": LIMIT}.get,
        lambda: 1.0,
    )


def answer(found, *grants, sequence=1) -> None:
    shard = local_quota.shard_of("o")
    echo = found.delegate(shard, "a", 0.0).sequence
    sender = limit_messages.ProcessRun("a", "a", 1)
    found.receive(
        limit_messages.Allocation(
            sender, shard, sequence, echo, 2.5, (), grants, ()
        ),
        0.0,
    )


@pytest.mark.parametrize(
    ("grant", "cause", "within"),
    [
        ((0, 0.2, 0.0, 1.0, 3.0), Cause.BEYOND, 0.0),
        # An older version of the program tells neither share nor load.
        ((0, 0.2), Cause.BEYOND, 0.0),
        ((0, 0.2, 0.0, 0.5, 1.5), Cause.NOT_GRANTED, 0.5),
        ((0, 0.2, 0.0, 0.0, 0.6), Cause.NOT_GRANTED, 1.0),
    ],
)
def test_word_of_the_allocator_tells_the_cause(grant, cause, within):
    found = quota()
    found.admit("o", 0.0)
    answer(found, limit_messages.TokenGrant("o", *grant))
    found.record_outcome("o", False, True, 0.0)
    rejected = found.admit("o", 0.1)
    assert rejected.decision is local_quota.Decision.REJECT
    assert found.refusal_cause("o") is cause
    (_, tally), _ = found.refusals.items()
    assert tally.count_by_cause == {cause: 2}
    assert tally.within == pytest.approx(2 * within)


def test_refusal_without_an_answer_was_within_the_limit_as_far_as_known():
    found = quota()
    found.admit("o", 0.0)
    found.record_outcome("o", False, False, 0.0)
    assert found.refusal_cause("o") is Cause.NO_ALLOCATOR
    answer(found, limit_messages.TokenGrant("o", 1, 0.0, 0.0, 1.0, 4.0))
    found.record_outcome("o", True, True, 0.0)
    found.record_outcome("o", False, False, 0.1)
    assert found.refusal_cause("o") is Cause.NO_ANSWER
    (_, tally), _ = found.refusals.items()
    assert tally.within == pytest.approx(1.0 + 0.25)


def test_demand_is_projected_on_processes_that_are_not_heard_of():
    """Guards against a surge that a process cut off takes for its own share."""
    own = limit_messages.ProcessRun("a", "a", 1)
    found = allocator.Allocator(
        own, 0, rate_limits.Bounds(), {"o": LIMIT}.get, lambda now: (), 0.0
    )
    demand = (limit_messages.Demand("o", 30.0, 1),)
    echo = 0
    for sequence in (1, 2):
        answer = found.receive_delegation(
            limit_messages.Delegation(
                limit_messages.ProcessRun("p", "p", 7),
                0,
                sequence,
                echo,
                own.boot if echo else 0,
                allocator.DELEGATION_SECONDS,
                0.1,
                (),
                0.0,
                demand,
            ),
            0.0,
        )
        echo = answer.sequence
    assert answer.token_grants[0].load == pytest.approx(3.0)


def test_counts_outlast_the_usage_of_the_organisation():
    """Guards against a counter that restarts after 30 s without requests."""
    found = quota()
    found.admit("o", 0.0)
    found.record_outcome("o", False, False, 0.0)
    found.tick(local_quota.USAGE_RETENTION_SECONDS + 1.0)
    assert not found.usage_by_organisation
    assert refused(found.refusals) == {"o": 1, "": 0}
