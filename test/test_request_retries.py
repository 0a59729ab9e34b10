"""Retries of one request, without sockets."""

import random

from forklift import latency
from forklift import messages
from forklift import request_retries
from forklift import retries
from forklift import retry_allocation
from forklift import retry_budgets
from test import helper

NOW = 100.0
OBJECTIVE = 2.8


class Setup:
    """One request, in a process whose budget is short."""

    def __init__(self, usable: float, is_enabled: bool, idempotent=True):
        self.budgets = retry_budgets.RetryBudgets(
            retry_budgets.Limits(0.0, 10.0, usable / 0.9, 0.0), lambda: 1
        )
        self.allocation = retry_allocation.RetryAllocation(
            self.budgets, lambda: is_enabled
        )
        self.request = retry_allocation.Request(
            "s", 2, idempotent, 3, OBJECTIVE
        )
        self.state = retries.RetryState(NOW, NOW + 6.0)
        self.draws = 0
        self.retries = request_retries.RequestRetries(
            self.allocation,
            self.request,
            self.state,
            NOW + OBJECTIVE,
            self._draw,
        )
        self.distribution = latency.Distribution(0.6)
        helper.train_latency(self.distribution, 0.6)

    def _draw(self) -> float:
        self.draws += 1
        return random.Random(1).random()

    def reject_others(self, count: int = 20) -> None:
        """Lets more urgent requests be rejected, which need the budget."""
        urgent = retry_allocation.Request("s", 1, False, 3, OBJECTIVE)
        for number in range(2 * count):
            is_rejected = number % 2 == 0
            self.allocation.record_send(
                urgent,
                messages.Outcome.NOT_RUN
                if is_rejected
                else messages.Outcome.ANSWERED,
                messages.Reason.SHED if is_rejected else None,
                True,
                NOW,
            )

    def reject(self, target: str = "t") -> None:
        """Records that a target rejected the request."""
        outcome, reason = messages.Outcome.NOT_RUN, messages.Reason.SHED
        self.retries.record_result(outcome, reason, NOW)
        self.state.record_not_run(target, reason)


def test_first_send_is_free_and_never_refused():
    """First sends also show when the targets stop rejecting."""
    setup = Setup(0.0, True)
    setup.reject_others()
    assert not setup.retries.is_refused(setup.distribution, NOW)
    assert setup.retries.charge(setup.distribution, NOW)
    assert setup.budgets.used("s", NOW) == 0


def test_off_refuses_nothing_in_advance_and_draws_nothing():
    setup = Setup(1.0, False)
    setup.reject_others()
    setup.reject()
    assert not setup.retries.is_refused(setup.distribution, NOW)
    assert setup.retries.charge(setup.distribution, NOW)
    setup.reject("u")
    assert not setup.retries.is_refused(setup.distribution, NOW)
    assert not setup.retries.charge(setup.distribution, NOW)
    assert setup.draws == 0
    assert setup.retries.log_fields() == {}


def test_request_draws_once_however_often_it_asks():
    """A new draw each time would grant a fraction of a retry in the end."""
    setup = Setup(4.0, True)
    setup.reject_others()
    setup.budgets.spend("s", NOW)
    setup.reject()
    for _ in range(50):
        assert setup.retries.is_refused(setup.distribution, NOW)
        assert not setup.retries.charge_hedge(setup.distribution, NOW)
    assert setup.draws == 1
    fields = setup.retries.log_fields()["retry"]
    assert fields["verdict"] is retry_allocation.Verdict.OUTRANKED


def test_request_that_would_be_late_is_refused_while_the_budget_is_short():
    """Its run would take the slot of a request that can be in time."""
    setup = Setup(8.0, True, idempotent=False)
    setup.reject_others()
    for _ in range(2):
        setup.budgets.spend("s", NOW)
    setup.reject()
    late = NOW + OBJECTIVE - 0.2
    assert setup.retries.is_refused(setup.distribution, late)
    assert setup.retries.refusal.verdict is retry_allocation.Verdict.LATE


def test_request_that_has_made_all_its_sends_is_refused_at_once():
    setup = Setup(100.0, True)
    for target in ("t", "u", "v"):
        assert not setup.retries.is_refused(setup.distribution, NOW)
        assert setup.retries.charge(setup.distribution, NOW)
        setup.reject(target)
    assert setup.retries.is_refused(setup.distribution, NOW)
    assert not setup.retries.charge(setup.distribution, NOW)


def test_cause_of_a_retry_follows_the_last_attempt():
    setup = Setup(100.0, True)
    setup.state.record_run("t")
    assert setup.retries.charge(setup.distribution, NOW)
    setup.reject("u")
    assert setup.retries.charge(setup.distribution, NOW)
    causes = [cause for _, cause, _ in setup.allocation.count_by_decision]
    assert causes == [
        retry_allocation.Cause.FAILED,
        retry_allocation.Cause.REJECTED,
    ]
