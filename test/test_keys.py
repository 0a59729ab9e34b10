"""Each key runs at most once, also across owners, pauses and loss."""

import itertools

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from forklift import keys
from forklift import messages

Outcome = messages.Outcome
Verdict = keys.Verdict
MEMORY = 3600.0
PRINT = b"p" * 16


def ledger(known_from=0.0, most=100, loaded=True):
    made = keys.Ledger(known_from, most, 10_000)
    made.loaded = loaded
    return made


@pytest.mark.parametrize(
    ("issued", "known_from", "verdict"),
    [
        (1000.0, 900.0, Verdict.RUN),
        (1000.0, 1001.0, Verdict.LOST),
        (None, 1001.0, Verdict.CLAIM),
        # From the future: its order says nothing, so it is claimed.
        (1000.0 + 3 * keys.SKEW, 900.0, Verdict.CLAIM),
        # Older than keys are remembered.
        (1000.0 - MEMORY, 900.0, Verdict.LOST),
    ],
)
def test_unseen_key(issued, known_from, verdict):
    found = ledger(known_from).begin(b"k", PRINT, issued, MEMORY, 1000.0)
    assert found is verdict


@pytest.mark.parametrize(
    ("outcome", "answer", "verdict"),
    [
        (None, None, Verdict.IN_PROGRESS),
        (Outcome.NOT_RUN, None, Verdict.RUN),
        (Outcome.UNKNOWN, None, Verdict.LOST),
        (Outcome.ANSWERED, keys.Answer(200, (), b"x"), Verdict.REPLAY),
        (Outcome.ANSWERED, None, Verdict.LOST),
    ],
)
def test_seen_key(outcome, answer, verdict):
    made = ledger()
    made.begin(b"k", PRINT, 1000.0, MEMORY, 1000.0)
    if outcome is not None:
        made.finish(b"k", outcome, answer)
    assert made.begin(b"k", PRINT, 1000.0, MEMORY, 1001.0) is verdict


def test_key_named_by_the_owner_before_waits_for_the_claims():
    made = keys.Ledger(900.0, 100, 0, fresh_from=1100.0)
    early = made.begin(b"k", PRINT, 1000.0, MEMORY, 1050.0)
    assert early is Verdict.FULL
    made.inherit(messages.Claim(b"k", PRINT, 1010.0), MEMORY)
    made.loaded = True
    assert made.begin(b"k", PRINT, 1000.0, MEMORY, 1050.0) is Verdict.LOST
    assert made.begin(b"l", PRINT, 1000.0, MEMORY, 1050.0) is Verdict.RUN


def test_same_key_for_another_request_is_a_mismatch():
    made = ledger()
    made.begin(b"k", PRINT, 1000.0, MEMORY, 1000.0)
    other = made.begin(b"k", b"q" * 16, 1000.0, MEMORY, 1000.0)
    assert other is Verdict.MISMATCH


def test_full_ledger_refuses_rather_than_forgets():
    made = ledger(most=1)
    made.begin(b"k", PRINT, 1000.0, MEMORY, 1000.0)
    assert made.begin(b"l", PRINT, 1000.0, MEMORY, 1000.0) is Verdict.FULL
    assert made.begin(b"k", PRINT, 1000.0, MEMORY, 1000.0) is not Verdict.RUN


def test_another_caller_with_the_same_key_is_another_key():
    assert keys.hash_key("s", b"a", "k") != keys.hash_key("s", b"b", "k")


class OwnersOfOneKey(stateful.RuleBasedStateMachine):
    """Owners follow each other; requests arrive late, doubled, after pauses.

    An owner that was paused holds decisions it made before the pause and
    carries them out after its successor has begun.
    """

    def __init__(self):
        super().__init__()
        self.wall = 10_000.0
        self.claims: list[messages.Claim] = []
        self.owners: list[tuple[keys.Ledger, float]] = []
        self.pending: list[tuple[keys.Ledger, bytes, Verdict]] = []
        self.runs_by_key: dict[bytes, int] = {}
        self.issued_by_key: dict[bytes, float | None] = {}
        self._take_over()

    def _take_over(self):
        if self.owners:
            old, _ = self.owners[-1]
            self.owners[-1] = (old, self.wall)
        self.wall += 10.0
        made = keys.Ledger(self.wall + 2 * keys.SKEW, 1000, 10_000)
        for claim in self.claims:
            made.inherit(claim, MEMORY)
        made.loaded = True
        self.owners.append((made, float("inf")))

    @stateful.rule(ordered=strategies.booleans())
    def new_key(self, ordered):
        key = len(self.issued_by_key).to_bytes(16, "big")
        self.issued_by_key[key] = self.wall if ordered else None

    @stateful.rule(seconds=strategies.floats(0.1, 20))
    def time_passes(self, seconds):
        self.wall += seconds

    @stateful.rule()
    def owner_dies_or_loses_its_lease(self):
        self._take_over()

    @stateful.precondition(lambda self: self.issued_by_key)
    @stateful.rule(data=strategies.data())
    def request(self, data):
        key = data.draw(strategies.sampled_from(sorted(self.issued_by_key)))
        current, _ = self.owners[-1]
        issued = self.issued_by_key[key]
        verdict = current.begin(key, PRINT, issued, MEMORY, self.wall)
        if verdict in (Verdict.RUN, Verdict.CLAIM):
            if verdict is Verdict.CLAIM:
                claim = messages.Claim(key, PRINT, self.wall)
                self.claims.append(claim)
                current.claimed(key)
            self.pending.append((current, key, verdict))

    @stateful.precondition(lambda self: self.pending)
    @stateful.rule(data=strategies.data(), answered=strategies.booleans())
    def carry_out(self, data, answered):
        index = data.draw(strategies.integers(0, len(self.pending) - 1))
        made, key, _ = self.pending.pop(index)
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        outcome = Outcome.ANSWERED if answered else Outcome.UNKNOWN
        made.finish(key, outcome, keys.Answer(200, (), b""))

    @stateful.precondition(lambda self: self.pending)
    @stateful.rule(data=strategies.data())
    def not_run_after_all(self, data):
        index = data.draw(strategies.integers(0, len(self.pending) - 1))
        made, key, _ = self.pending.pop(index)
        made.finish(key, Outcome.NOT_RUN, None)

    @stateful.invariant()
    def at_most_once(self):
        assert all(count <= 1 for count in self.runs_by_key.values())


OwnersOfOneKey.TestCase.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=40, deadline=None, derandomize=True
)
TestOwnersOfOneKey = OwnersOfOneKey.TestCase


def test_small_model_one_key_two_entries_one_change_of_owner():
    """All interleavings of two sends, a change of owner and late starts."""
    steps = ("send-1", "send-2", "start-1", "start-2", "change", "tick")
    for order in itertools.permutations(steps):
        for ordered in (True, False):
            _run_order(order, ordered)


def _run_order(order, ordered):
    wall = 10_000.0
    issued = wall if ordered else None
    claims: list[messages.Claim] = []
    current = ledger(wall - 10)
    granted: dict[str, keys.Ledger] = {}
    runs = 0
    for step in order:
        wall += 0.5
        action, _, which = step.partition("-")
        if action == "send":
            verdict = current.begin(b"k", PRINT, issued, MEMORY, wall)
            if verdict is Verdict.CLAIM:
                claims.append(messages.Claim(b"k", PRINT, wall))
                current.claimed(b"k")
            if verdict in (Verdict.RUN, Verdict.CLAIM):
                granted[which] = current
        elif action == "start" and which in granted:
            runs += 1
            granted.pop(which).finish(b"k", Outcome.UNKNOWN, None)
        elif action == "change":
            wall += 10.0
            current = ledger(wall + 2 * keys.SKEW)
            for claim in claims:
                current.inherit(claim, MEMORY)
    assert runs <= 1, (order, ordered)
