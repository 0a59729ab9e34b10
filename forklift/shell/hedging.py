"""Hedged requests: concurrent attempts; the first good response is used.

A target may be slow or unresponsive. If the first attempt is slow, a second
target is sent the same request, and the slower attempt is cancelled.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from forklift import load_balancer
from forklift import messages
from forklift.shell import exchange
from forklift.shell import response_buffer

# Seconds until hedging is tried again, after no healthy target was free or the
# retry budget was used up.
HEDGE_RETRY_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class Attempt:
    """An attempt that is in flight.

    Attributes:
        selection: The target.
        buffered: Its response.
        task: Task that returns its result.
    """

    selection: load_balancer.Selection
    buffered: response_buffer.BufferedResponse
    task: asyncio.Task[exchange.Result]


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """The result of an attempt."""

    selection: load_balancer.Selection
    result: exchange.Result


class HedgedRequest:
    """The concurrent attempts of one request."""

    def __init__(
        self,
        claim: response_buffer.ResponseClaim,
        start_attempt: Callable[[load_balancer.Selection, bool], Attempt],
        select_hedge: Callable[
            [load_balancer.Selection, int], load_balancer.Selection | None
        ],
        record_failure: Callable[[AttemptResult], object],
    ):
        """Initializes a request without attempts.

        Args:
            claim: Determines which attempt may respond to the caller.
            start_attempt: Starts an attempt, by its target and whether it is
                a hedge.
            select_hedge: Selects the target of a hedge, by the first target
                and the number of attempts in flight; None if no hedge is
                possible now.
            record_failure: Called with the result of an attempt that failed
                while another one is in flight.
        """
        self._claim = claim
        self._start_attempt = start_attempt
        self._select_hedge = select_hedge
        self._record_failure = record_failure
        self._attempt_by_task: dict[asyncio.Task, Attempt] = {}

    async def run(
        self, first: load_balancer.Selection, delay: float | None
    ) -> AttemptResult:
        """Returns the attempt that responded, or else the last to fail.

        Args:
            first: Target of the first attempt.
            delay: Seconds until the request is hedged; None for no hedge.
        """
        self._add(self._start_attempt(first, False))
        try:
            while True:
                done, _ = await asyncio.wait(
                    self._attempt_by_task,
                    timeout=delay,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    delay = self._try_hedge(first)
                    continue
                attempt = self._attempt_by_task.pop(done.pop())
                ended = AttemptResult(attempt.selection, attempt.task.result())
                has_responded = self._claim.owner is attempt.buffered
                if has_responded or not self._attempt_by_task:
                    return ended
                self._record_failure(ended)
                ending = ended.result.ending
                if ending.outcome is messages.Outcome.NOT_RUN:
                    delay = HEDGE_RETRY_SECONDS
        finally:
            await self._cancel_attempts()

    def _add(self, attempt: Attempt) -> None:
        self._attempt_by_task[attempt.task] = attempt

    def _try_hedge(self, first: load_balancer.Selection) -> float | None:
        """Starts a hedge if possible.

        Returns:
            Seconds until the next try; None for no further one.
        """
        if self._claim.owner is not None:
            return None
        hedge = self._select_hedge(first, len(self._attempt_by_task))
        if hedge is None:
            return HEDGE_RETRY_SECONDS
        self._add(self._start_attempt(hedge, True))
        return None

    async def _cancel_attempts(self) -> None:
        for task in self._attempt_by_task:
            task.cancel()
        await asyncio.gather(*self._attempt_by_task, return_exceptions=True)
