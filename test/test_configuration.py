"""One order for all, whatever is lost, delayed, doubled or truncated."""

import random

import hypothesis
from hypothesis import strategies

from forklift import configuration
from forklift import messages


def publication(name: str, builds_on: int) -> messages.Publication:
    return messages.Publication(name, "p", builds_on, f"by-{name}", "")


def test_first_in_log_order_wins():
    config = configuration.Configuration()
    assert config.publish(0, publication("a", 0))
    assert not config.publish(1, publication("b", 0))
    assert config.version("p").number == 1
    assert config.decision("b").winner == "by-a"
    assert not config.decision("b").accepted


def test_same_publication_twice_counts_once():
    config = configuration.Configuration()
    config.publish(0, publication("a", 0))
    config.publish(1, publication("a", 0))
    assert config.version("p").number == 1
    assert config.decision("a").accepted


def test_older_renewal_changes_nothing():
    config = configuration.Configuration()
    config.publish(0, publication("a", 0))
    old = config.bases()[0]
    config.publish(1, publication("b", 1))
    assert not config.adopt(old)
    assert config.version("p").number == 2


def test_publication_after_a_gap_waits_for_a_base():
    config = configuration.Configuration()
    config.publish(0, publication("a", 0))
    config.missed(5)
    # Version 2 was lost with the gap; this one builds on 1 and lost to it.
    assert not config.publish(6, publication("late", 1))
    assert config.version("p").number == 1
    base = messages.Renewal(2, 5, publication("b", 1))
    assert config.adopt(base)
    assert config.version("p").number == 2
    assert config.decision("late").accepted is False


def test_base_older_than_the_gap_does_not_end_it():
    config = configuration.Configuration()
    config.missed(10)
    config.adopt(messages.Renewal(1, 3, publication("a", 0)))
    config.publish(11, publication("b", 1))
    assert config.version("p").number == 1
    config.adopt(messages.Renewal(1, 9, publication("a", 0)))
    assert config.version("p").number == 2


@hypothesis.given(strategies.integers(0, 10_000))
@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
def test_readers_agree_and_never_go_back(seed):
    """Operators race, readers pause past retention, renewals interleave."""
    rng = random.Random(seed)
    log: list = []
    first = 0
    readers = [configuration.Configuration() for _ in range(4)]
    nexts = [0] * 4
    truth = configuration.Configuration()
    for number in range(60):
        draw = rng.random()
        if draw < 0.4:
            guess = truth.version("p").number - rng.choice((0, 0, 0, 1))
            record = publication(str(number), max(0, guess))
            truth.publish(len(log), record)
            log.append(record)
        elif draw < 0.6:
            reader = rng.choice(readers)
            if reader.bases() and reader.chain_by_policy["p"].certain:
                log.append(reader.bases()[0])
        elif draw < 0.7:
            first = min(len(log), first + rng.randrange(6))
        else:
            index = rng.randrange(4)
            _read(readers[index], nexts, index, log, first, rng)
        for reader in readers:
            assert reader.version("p").number <= truth.version("p").number
    for index, reader in enumerate(readers):
        _read(reader, nexts, index, log, first, rng, everything=True)
        if truth.bases():
            reader.adopt(truth.bases()[0])
        assert reader.version("p") == truth.version("p")


def _read(reader, nexts, index, log, first, rng, everything=False):
    before = reader.version("p").number
    if nexts[index] < first:
        reader.missed(first)
        nexts[index] = first
    count = len(log) if everything else rng.randrange(1, 6)
    for offset in range(nexts[index], min(len(log), nexts[index] + count)):
        record = log[offset]
        if isinstance(record, messages.Publication):
            reader.publish(offset, record)
        else:
            reader.adopt(record)
        nexts[index] = offset + 1
    assert reader.version("p").number >= before
