"""Hedged requests: the first good response of concurrent attempts is used.

If the first target does not respond within the hedge delay, the request is also
sent to a second one. As soon as one responds, the other attempt is cancelled.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from forklift import load_balancer
from forklift import messages
from forklift.shell import exchange
from forklift.shell import response_buffer

# Delay until the next hedge is tried, after no target could be selected for one
# or an attempt was rejected. A slot usually becomes free within about this
# time.
HEDGE_RETRY_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class Attempt:
    """An attempt that is in flight.

    Attributes:
        selection: The target.
        buffered: Response of the target, which may be withheld from the caller.
        task: Task that returns the result of the attempt.
    """

    selection: load_balancer.Selection
    buffered: response_buffer.BufferedResponse
    task: asyncio.Task[exchange.Result]


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """A completed attempt: its target and its result."""

    selection: load_balancer.Selection
    result: exchange.Result


class HedgedRequest:
    """A request and its concurrent attempts."""

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
            start_attempt: Starts an attempt; receives its target and whether
                it is a hedge.
            select_hedge: Selects the target of a hedge; receives the first
                target and the number of attempts in flight. Returns None if
                no hedge is possible now.
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
        """Runs attempts until one responds or all have failed.

        Args:
            first: Target of the first attempt.
            delay: Seconds until the request is hedged; None for no hedge.

        Returns:
            The attempt that responded; otherwise the last one that failed.
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
                completed = AttemptResult(
                    attempt.selection, attempt.task.result()
                )
                has_responded = self._claim.owner is attempt.buffered
                if has_responded or not self._attempt_by_task:
                    return completed
                self._record_failure(completed)
                ending = completed.result.ending
                if ending.outcome is messages.Outcome.NOT_RUN:
                    delay = HEDGE_RETRY_SECONDS
        finally:
            await self._cancel_attempts()

    def _add(self, attempt: Attempt) -> None:
        self._attempt_by_task[attempt.task] = attempt

    def _try_hedge(self, first: load_balancer.Selection) -> float | None:
        """Starts a hedge if possible.

        Returns:
            Seconds until the next try; None if no further hedge is tried.
        """
        if self._claim.owner is not None:
            return None
        if any(
            attempt.buffered.is_large
            for attempt in self._attempt_by_task.values()
        ):
            # A second large response would slow down the one that arrives.
            return HEDGE_RETRY_SECONDS
        hedge = self._select_hedge(first, len(self._attempt_by_task))
        if hedge is None:
            return HEDGE_RETRY_SECONDS
        self._add(self._start_attempt(hedge, True))
        return None

    async def _cancel_attempts(self) -> None:
        for task in self._attempt_by_task:
            task.cancel()
        await asyncio.gather(*self._attempt_by_task, return_exceptions=True)
