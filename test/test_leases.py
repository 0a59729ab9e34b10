"""One holder at a time: under pauses, cuts, log outages and loss."""

import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies

from forklift import leases
from forklift import messages


def takeover(epoch, boot, successors=(), refresh=False):
    name = f"n{boot}"
    return messages.Takeover("r", epoch, name, boot, successors, refresh)


def test_first_takeover_in_log_order_wins_the_epoch():
    table = leases.Table()
    assert table.apply(takeover(1, 1)) is not None
    assert table.apply(takeover(1, 2)) is None
    assert table.grant_by_resource["r"].boot == 1
    assert table.apply(takeover(3, 2)) is None


def test_loser_seen_first_after_truncation_gives_way_to_the_refresh():
    table = leases.Table()
    table.missed()
    table.apply(takeover(7, 2))
    table.apply(takeover(7, 1, refresh=True))
    assert table.grant_by_resource["r"].boot == 1


def test_release_of_another_boot_does_not_count():
    table = leases.Table()
    table.apply(takeover(1, 1))
    assert table.apply(messages.Release("r", 1, 9, 0.0)) is None
    assert not table.grant_by_resource["r"].released


@pytest.mark.parametrize(
    ("successors", "promised", "log_age", "held"),
    [
        ((), (), 0.0, True),
        ((), (), leases.LEASE + 0.1, False),
        (("a",), ("a",), leases.LEASE + 0.1, True),
        (("a", "b"), ("a",), leases.LEASE + 0.1, False),
        (("a", "b"), ("a", "b"), leases.LEASE + 0.1, True),
        (("a",), ("a",), leases.MAX_AWAY + 0.1, False),
    ],
)
def test_lease_lives_on_log_or_on_all_promises(
    successors, promised, log_age, held
):
    grant = leases.Grant(1, "me", 1, successors)
    holding = leases.Holding("r", grant, 0.0, 0.0)
    for number, name in enumerate(promised):
        holding.ask(number, name, log_age)
        holding.promised(number, name)
    assert holding.held(log_age) is held


def test_promise_counts_from_its_asking():
    holding = leases.Holding("r", leases.Grant(1, "me", 1, ("a",)), 0.0, 0.0)
    holding.ask(1, "a", 1.0)
    # The answer arrives after a pause of the holder.
    holding.promised(1, "a")
    assert holding.until() == 1.0 + leases.LEASE


def test_no_promise_once_a_takeover_began_or_was_read():
    promises, table = leases.Promises(), leases.Table()
    table.missed()
    table.apply(takeover(3, 1))
    assert promises.may("r", 3, table)
    assert not promises.may("r", 2, table)
    promises.take("r", 3)
    assert not promises.may("r", 3, table)
    assert promises.may("r", 4, table)


class Process:
    """A process of the small world: it may lag, stall and be cut off."""

    def __init__(self, boot: int):
        self.boot = boot
        self.name = f"n{boot}"
        self.table = leases.Table()
        self.promises = leases.Promises()
        self.holding = None
        self.offset = 0
        self.frozen_until = 0.0

    def read(self, log, now):
        if now < self.frozen_until:
            return
        for record in log[self.offset :]:
            before = self.table.apply(record)
            if before is None:
                continue
            grant = self.table.grant_by_resource["r"]
            if grant.boot != self.boot or grant.released:
                self.holding = None
            elif self.holding and self.holding.grant.epoch == grant.epoch:
                self.holding.refreshed(grant)
            else:
                starts = leases.starts_at(before, self.name, self.boot, now)
                self.holding = leases.Holding("r", grant, now, starts)
        self.offset = len(log)
        if self.holding is not None:
            self.holding.confirm(now)

    def held(self, now):
        return self.holding is not None and self.holding.held(now)


def _step(rng, processes, log, now, cut, away):
    process = rng.choice(processes)
    if now < process.frozen_until:
        return
    draw = rng.random()
    reaches = not away and process.boot not in cut
    if draw < 0.35 and reaches:
        process.read(log, now)
    elif draw < 0.55 and reaches:
        grant = process.table.grant_by_resource.get("r")
        epoch = grant.epoch if grant else 0
        if grant is not None and grant.boot == process.boot:
            return
        process.promises.take("r", epoch)
        others = [p.name for p in processes if p is not process]
        heirs = tuple(rng.sample(others, rng.choice((1, 2))))
        log.append(takeover(epoch + 1, process.boot, heirs))
    elif draw < 0.9 and process.holding is not None:
        _promises(rng, process, processes, now)
    elif draw < 0.95:
        process.frozen_until = now + rng.uniform(0.5, 3 * leases.LEASE)


def _promises(rng, holder, processes, now):
    for other in processes:
        if other.name not in holder.holding.successors():
            continue
        if now < other.frozen_until or rng.random() < 0.2:
            continue
        number = rng.randrange(1 << 30)
        holder.holding.ask(number, other.name, now - rng.uniform(0, 1.0))
        epoch = holder.holding.grant.epoch
        if other.promises.may("r", epoch, other.table):
            holder.holding.promised(number, other.name)


@hypothesis.given(strategies.integers(0, 100_000))
@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
def test_never_two_holders(seed):
    rng = random.Random(seed)
    processes = [Process(boot) for boot in (1, 2, 3)]
    log: list = []
    now = 0.0
    cut: set[int] = set()
    away = False
    for _ in range(250):
        now += rng.uniform(0.0, 0.8)
        if rng.random() < 0.05:
            away = not away
        if rng.random() < 0.05:
            cut ^= {rng.choice((1, 2, 3))}
        _step(rng, processes, log, now, cut, away)
        holders = [p.boot for p in processes if p.held(now)]
        assert len(holders) <= 1, (seed, now, holders)


def test_small_model_all_interleavings_of_one_takeover():
    """Two processes, one takeover, one pause: every order of the steps."""
    steps = ("read-1", "read-2", "promise", "append-2", "pause-1", "wait")
    checked = 0
    for order in itertools.permutations(steps):
        for waits in (0.4 * leases.LEASE, leases.LEASE, 2 * leases.LEASE):
            _run_order(order, waits)
            checked += 1
    assert checked == 2160


def _run_order(order, waits):
    one, two = Process(1), Process(2)
    log = [takeover(1, 1, ("n2",))]
    one.read(log, 0.0)
    two.read(log, 0.0)
    now = 0.0
    for step in order:
        now += 0.1
        if step == "read-1":
            one.read(log, now)
        elif step == "read-2":
            two.read(log, now)
        elif step == "promise" and one.holding and now >= one.frozen_until:
            one.holding.ask(1, "n2", now)
            if two.promises.may("r", 1, two.table):
                one.holding.promised(1, "n2")
        elif step == "append-2":
            two.promises.take("r", 1)
            log.append(takeover(2, 2, ("n1",)))
        elif step == "pause-1":
            one.frozen_until = now + waits
        elif step == "wait":
            now += waits
        assert not (one.held(now) and two.held(now)), (order, waits)
    for _ in range(30):
        now += 0.3
        two.read(log, now)
        assert not (one.held(now) and two.held(now)), (order, waits)


def test_new_holder_cut_off_while_it_waits_does_not_start():
    """Its wait ends unconfirmed; meanwhile a third has taken over."""
    two, three = Process(2), Process(3)
    log = [takeover(1, 1), takeover(2, 2)]
    two.read(log, 0.0)
    three.read(log, 0.0)
    log.append(takeover(3, 3))
    three.read(log, 0.1)
    for tenth in range(300):
        now = 0.1 + tenth / 10
        three.holding.confirm(now)
        assert not (two.held(now) and three.held(now)), now
