"""Attempts of one request beside each other: the first good answer counts.

A target may be slow, or silent, and the request is late or lost if it waits
for it. So a second attempt follows where the first takes long, and the one that
does not answer is cancelled.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from forklift import load_balancer
from forklift import messages
from forklift.shell import exchange
from forklift.shell import response_buffer

# Seconds until a second attempt is tried again where no sound target was free
# or the budget was used up: a slot is free again within about that time.
HEDGE_RETRY_DELAY = 0.1


@dataclasses.dataclass(frozen=True)
class Attempt:
    """A request under way to one target.

    Attributes:
        selection: The target.
        buffered: What holds its answer.
        task: What waits for its end.
    """

    selection: load_balancer.Selection
    buffered: response_buffer.BufferedResponse
    task: asyncio.Task[exchange.Result]


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """An attempt that is over."""

    selection: load_balancer.Selection
    result: exchange.Result


class HedgedRequest:
    """The attempts of one request that are under way."""

    def __init__(
        self,
        claim: response_buffer.ResponseClaim,
        begin: Callable[[load_balancer.Selection, bool], Attempt],
        second: Callable[
            [load_balancer.Selection, int], load_balancer.Selection | None
        ],
        note: Callable[[AttemptResult], object],
    ):
        """Makes a race without attempts.

        Args:
            claim: The right to answer.
            begin: Begins an attempt at a target; whether it is a second one.
            second: Picks a target for a second attempt beside the first, by
                how many are under way; None where none may be made now.
            note: Takes note of an attempt that failed while another goes on.
        """
        self._claim = claim
        self._begin = begin
        self._second = second
        self._note = note
        self._attempt_by_task: dict[asyncio.Task, Attempt] = {}

    async def run(
        self, first: load_balancer.Selection, patience: float | None
    ) -> AttemptResult:
        """Waits for the attempt that answers, or for the last to fail.

        Args:
            first: The first target.
            patience: Seconds until a second attempt; None for none.
        """
        self._add(self._begin(first, False))
        try:
            while True:
                done, _ = await asyncio.wait(
                    self._attempt_by_task,
                    timeout=patience,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    patience = self._hedge(first)
                    continue
                attempt = self._attempt_by_task.pop(done.pop())
                tried = AttemptResult(attempt.selection, attempt.task.result())
                answers = self._claim.owner is attempt.buffered
                if answers or not self._attempt_by_task:
                    return tried
                self._note(tried)
                ending = tried.result.ending
                if ending.outcome is messages.Outcome.NOT_RUN:
                    patience = HEDGE_RETRY_DELAY
        finally:
            await self._cancel()

    def _add(self, attempt: Attempt) -> None:
        self._attempt_by_task[attempt.task] = attempt

    def _hedge(self, first: load_balancer.Selection) -> float | None:
        """Begins a second attempt; seconds until the next look, if any."""
        if self._claim.owner is not None:
            return None
        second = self._second(first, len(self._attempt_by_task))
        if second is None:
            return HEDGE_RETRY_DELAY
        self._add(self._begin(second, True))
        return None

    async def _cancel(self) -> None:
        for task in self._attempt_by_task:
            task.cancel()
        await asyncio.gather(*self._attempt_by_task, return_exceptions=True)
