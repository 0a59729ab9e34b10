"""Order of waiting requests among organisations and priorities."""

import dataclasses
import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies

from forklift import fair_queueing

_ids = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class Ticket:
    organisation: str = ""
    priority: int = 1
    soft_deadline: float = 10.0
    seconds: float = 1.0
    in_time: bool = True
    id: int = dataclasses.field(default_factory=lambda: next(_ids))


class Target:
    """A target with a queue and one slot; requests start one by one."""

    def __init__(self, floor: float = 0.0, **weights: float):
        self.weights = weights
        self.floor = floor
        self.scheduler = fair_queueing.FairQueueing(
            fair_queueing.Rules(
                lambda: True,
                lambda organisation: self.weights.get(organisation, 1.0),
                lambda: self.floor,
            )
        )
        self.waiting: list[Ticket] = []
        self.started: list[Ticket] = []

    def add(self, *tickets: Ticket) -> None:
        self.waiting += tickets

    def order(self) -> list[Ticket]:
        entries = sorted(
            self.waiting, key=lambda one: (one.priority, one.soft_deadline)
        )
        candidates = [
            fair_queueing.Candidate(one, one.id, one.seconds, one.in_time)
            for one in entries
        ]
        return [one.ticket for one in self.scheduler.order(candidates)]

    def start(self) -> Ticket:
        first = self.order()[0]
        self.scheduler.record_start(first, first.seconds, self.waiting)
        self.waiting.remove(first)
        self.started.append(first)
        return first

    def end(self, ticket: Ticket) -> None:
        self.scheduler.record_end(ticket, self.waiting)

    def cancel(self, ticket: Ticket) -> None:
        self.waiting.remove(ticket)
        self.scheduler.record_removal(ticket, self.waiting)

    def serve(self, seconds: float, *kinds: dict) -> dict:
        """Serves for a time while some requests of each kind always wait.

        Returns:
            Seconds of work started, by organisation and priority.
        """
        work = dict.fromkeys(
            [(k.get("organisation", ""), k.get("priority", 1)) for k in kinds],
            0.0,
        )
        for kind in kinds:
            self.add(*(Ticket(**kind) for _ in range(4)))
        while sum(work.values()) < seconds:
            one = self.start()
            work[one.organisation, one.priority] += one.seconds
            self.add(dataclasses.replace(one, id=next(_ids)))
            self.end(one)
        return work


def organisations(tickets: list[Ticket]) -> str:
    return "".join(one.organisation for one in tickets)


def test_organisation_that_sends_most_does_not_get_most():
    """Guards against an order by arrival, which serves the flood first."""
    target = Target()
    target.add(*(Ticket("a") for _ in range(6)), Ticket("b"), Ticket("c"))
    assert organisations(target.order()) == "abcaaaaa"


def test_work_is_divided_by_weight_and_seconds():
    """Guards against counting requests, which favours long ones."""
    work = Target(a=2.0, b=1.0).serve(
        600.0,
        {"organisation": "a", "seconds": 0.2},
        {"organisation": "b", "seconds": 1.1},
        {"organisation": "c", "seconds": 0.4},
    )
    assert work["a", 1] == pytest.approx(300, abs=4)
    assert work["b", 1] == pytest.approx(150, abs=4)
    assert work["c", 1] == pytest.approx(150, abs=4)


def test_organisation_alone_uses_all_room_and_owes_nothing_later():
    target = Target()
    alone = target.serve(50.0, {"organisation": "a"})
    assert alone["a", 1] >= 50
    both = target.serve(20.0, {"organisation": "a"}, {"organisation": "b"})
    assert abs(both["a", 1] - both["b", 1]) <= 1


def test_organisation_that_returns_has_no_claim_on_its_idle_time():
    """Guards against a burst of an organisation that was away."""
    target = Target()
    target.serve(5.0, {"organisation": "a"}, {"organisation": "b"})
    for one in [one for one in target.waiting if one.organisation == "b"]:
        target.cancel(one)
    for _ in range(30):
        target.add(Ticket("a"))
        target.end(target.start())
    target.add(*(Ticket("b") for _ in range(4)))
    assert sorted(organisations(target.order()[:4])) == list("aabb")


def test_cancelled_requests_cost_nothing():
    """Guards against charging requests that never ran."""
    target = Target()
    target.add(*(Ticket("a") for _ in range(5)), Ticket("b"))
    for one in target.waiting[1:5]:
        target.cancel(one)
    target.add(*(Ticket("a") for _ in range(2)), *(Ticket("b"),) * 2)
    assert organisations(target.order()) == "ababab"


def test_ties_are_ordered_by_soft_deadline_then_arrival():
    target = Target()
    target.add(
        Ticket("a", soft_deadline=3.0),
        Ticket("b", soft_deadline=2.0),
        Ticket("c", soft_deadline=2.0),
    )
    assert organisations(target.order()) == "bca"


def test_requests_without_organisation_are_ordered_as_without_the_part():
    target = Target()
    target.add(*(Ticket(soft_deadline=5.0 - n) for n in range(4)))
    deadlines = [one.soft_deadline for one in target.order()]
    assert deadlines == [2.0, 3.0, 4.0, 5.0]


def test_calls_of_targets_go_before_organisations_that_had_their_share():
    """Guards against runs that hold their slots and wait for their calls."""
    target = Target()
    target.serve(5.0, {"organisation": "a"}, {"organisation": "b"})
    target.add(Ticket(soft_deadline=99.0))
    started = [target.start().organisation for _ in range(3)]
    assert "" in started
    assert target.scheduler.flow_count == 2


def test_requests_that_can_meet_their_objective_go_first():
    """Guards against late requests that make those behind them late."""
    target = Target()
    late = Ticket("b", soft_deadline=1.0, in_time=False)
    target.add(late, Ticket("a"), Ticket("a"))
    assert target.order()[-1] is late


def test_late_requests_of_an_urgent_priority_go_before_less_urgent_ones():
    target = Target()
    late = Ticket("b", priority=0, in_time=False)
    target.add(Ticket("a"), late)
    assert target.order()[0] is late


@pytest.mark.parametrize(
    ("floor", "shares"),
    [
        (0.0, [1.0, 0.0, 0.0]),
        (0.1, [0.8, 0.1, 0.1]),
        # The sum is limited to one half.
        (0.4, [0.5, 0.25, 0.25]),
    ],
)
def test_waiting_priorities_keep_their_floor(floor, shares):
    """Guards against starving the less urgent priorities."""
    work = Target(floor).serve(
        1000.0,
        {"priority": 0, "seconds": 0.19},
        {"priority": 1, "seconds": 0.6},
        {"priority": 2, "seconds": 2.4},
    )
    for priority, share in enumerate(shares):
        # A priority is ahead or behind by one request at most.
        assert work["", priority] == pytest.approx(1000 * share, abs=2.6)


def test_floor_is_reached_early():
    """Guards against less urgent requests that expire before their share."""
    target = Target(0.1)
    target.add(*(Ticket(priority=1) for _ in range(30)))
    target.add(*(Ticket(priority=2) for _ in range(3)))
    positions = [n for n, one in enumerate(target.order()) if one.priority == 2]
    assert positions[:3] == [1, 11, 21]


def test_most_urgent_waiting_priority_needs_no_floor():
    work = Target(0.3).serve(100.0, {"priority": 2}, {"priority": 3})
    assert work["", 2] == pytest.approx(70, abs=2)


def test_lone_requests_of_a_priority_do_not_exceed_its_floor():
    """Guards against a priority whose debt ends with its last request."""
    target = Target(0.1)
    target.add(*(Ticket(priority=1) for _ in range(200)))
    for _ in range(200):
        if all(one.priority == 1 for one in target.waiting):
            target.add(Ticket(priority=2))
        target.start()
    less_urgent = sum(one.priority == 2 for one in target.started)
    assert less_urgent == pytest.approx(20, abs=1)


def test_priority_that_was_the_most_urgent_has_no_claim_on_more_urgent_ones():
    """Guards against urgent requests behind those that were served in full."""
    target = Target(0.1)
    target.serve(50.0, {"priority": 1}, {"priority": 2})
    target.add(Ticket(priority=0))
    order = [one.priority for one in target.order()]
    # Only the least urgent priority may have credit.
    assert next(priority for priority in order if priority < 2) == 0


def test_changed_weight_applies_without_a_burst():
    """Guards against tags that were computed by an earlier weight."""
    target = Target(a=0.001)
    kinds = ({"organisation": "a"}, {"organisation": "b"})
    target.serve(30.0, *kinds)
    target.weights["a"] = 1.0
    before = len(target.started)
    for _ in range(20):
        one = target.start()
        target.add(dataclasses.replace(one, id=next(_ids)))
        target.end(one)
    served = organisations(target.started[before:])
    assert served.count("a") == pytest.approx(10, abs=1)
    assert "bbbb" not in served and "aaaa" not in served


def test_unusable_weight_counts_as_one():
    target = Target(a=0.0, b=float("nan"), c=float("inf"))
    target.add(*(Ticket(name) for name in "aabbccdd"))
    assert organisations(target.order()) == "abcdabcd"


def test_tags_without_requests_are_dropped():
    """Guards against memory that grows with all organisations ever seen."""
    target = Target()
    for number in range(50):
        one, other = Ticket(f"o{number}"), Ticket(f"o{number}")
        target.add(one, other)
        target.start()
        target.cancel(other)
        assert target.scheduler.flow_count == 1
        target.end(one)
    assert target.scheduler.flow_count == 0


def test_tag_is_kept_while_requests_wait():
    target = Target()
    target.add(Ticket("a"), Ticket("a"), Ticket("b"))
    target.end(target.start())
    assert organisations(target.order()) == "ba"


def test_end_of_a_request_that_started_before_the_mode_is_ignored():
    target = Target()
    target.add(Ticket("a"))
    first = target.start()
    target.scheduler.clear()
    target.end(first)
    assert target.scheduler.flow_count == 0


def test_share_of_a_flow_follows_its_recent_starts():
    """Guards against queued requests that can only be refused later."""
    target = Target(a=3.0)
    assert target.scheduler.share(1, "a") == 1.0
    target.serve(200.0, {"organisation": "a"}, {"organisation": "b"})
    assert target.scheduler.share(1, "a") == pytest.approx(0.75, abs=0.1)
    assert target.scheduler.share(1, "b") == pytest.approx(0.25, abs=0.1)
    assert target.scheduler.share(1) == 1.0
    # Nobody else waits any more.
    for one in [one for one in target.waiting if one.organisation == "b"]:
        target.cancel(one)
    target.serve(80.0, {"organisation": "a"})
    assert target.scheduler.share(1, "a") > 0.95


def test_shares_of_idle_flows_are_bounded():
    """Guards against memory that grows while the queue is never empty."""
    target = Target()
    target.add(Ticket("z", priority=9))
    for number in range(500):
        target.add(Ticket(f"o{number}"))
        target.end(target.start())
    bound = fair_queueing.MAX_IDLE_SHARES + 3
    assert len(target.scheduler._share_by_flow) <= bound


_tickets = strategies.lists(
    strategies.builds(
        Ticket,
        strategies.sampled_from(["", "a", "b", "c"]),
        strategies.integers(0, 3),
        strategies.floats(0, 10),
        strategies.floats(0.01, 3),
        strategies.booleans(),
    ),
    max_size=30,
)


@hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
@hypothesis.given(_tickets, strategies.floats(0, 0.45))
def test_requests_start_in_the_predicted_order(tickets, floor):
    """Guards against an expected wait that the starts do not keep to."""
    target = Target(floor)
    target.add(*tickets)
    predicted = target.order()
    assert sorted(one.id for one in predicted) == [one.id for one in tickets]
    assert [target.start() for _ in tickets] == predicted


def test_no_organisation_is_behind_by_more_than_two_requests():
    """Start-time fair queueing bounds the difference of any two shares."""
    rng = random.Random(3)
    target = Target(a=1.0, b=3.0, c=0.5)
    work = dict.fromkeys("abc", 0.0)
    longest = 2.0
    for _ in range(3000):
        for name in "abc":
            if organisations(target.waiting).count(name) < 2:
                seconds = rng.uniform(0.1, longest)
                target.add(Ticket(name, seconds=seconds))
        one = target.start()
        target.end(one)
        work[one.organisation] += one.seconds
        shares = [work[n] / target.weights[n] for n in "abc"]
        bound = longest / 0.5 + longest
        assert max(shares) - min(shares) <= bound
