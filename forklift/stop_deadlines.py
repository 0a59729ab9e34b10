"""Decides by when requests must be sent to a target while a process stops."""

import dataclasses
import math

# Fraction of the grace period after which the process exits, even if requests
# are still in flight.
USABLE_GRACE_FRACTION = 0.9
# Fraction of the grace period after which no request is sent to a target any
# more, unless its own timeout ends it before the process exits.
START_GRACE_FRACTION = 0.5
# Seconds before the exit that are reserved for sending the last responses.
FINAL_RESPONSE_SECONDS = 0.2
# Standard deviations above the median latency of a route that a request is
# given to run. One in six takes longer.
RUN_DEVIATIONS = 1.0


@dataclasses.dataclass(frozen=True)
class Deadlines:
    """Deadlines of a shutdown, in monotonic seconds.

    Attributes:
        reject_at: From then on, requests that were not sent to a target are
            rejected.
        finish_by: Requests are sent to a target only if they are expected to
            end by then.
        abandon_at: Requests that are still at a target end then, with an
            unknown outcome.
        exit_at: The process exits, even if responses are pending.
    """

    reject_at: float
    finish_by: float
    abandon_at: float
    exit_at: float

    def latest_start(self, deadline: float, usual_seconds: float) -> float:
        """Returns by when a target must have the whole request.

        From then on, no request is sent, and no body is passed on any more.
        Infinite if the request times out before this process exits.

        Args:
            deadline: Monotonic seconds at which the request times out.
            usual_seconds: Seconds that most requests of the route take; 0 if
                this is not known.
        """
        if deadline <= self.finish_by:
            return math.inf
        return min(self.reject_at, self.finish_by - usual_seconds)


def initial_deadlines(now: float, grace: float) -> Deadlines:
    """Returns the deadlines of a shutdown that was requested now.

    Args:
        now: Monotonic seconds.
        grace: Seconds after which the platform may kill the process.
    """
    exit_at = now + USABLE_GRACE_FRACTION * grace
    abandon_at = exit_at - FINAL_RESPONSE_SECONDS
    return Deadlines(
        min(abandon_at, now + START_GRACE_FRACTION * grace),
        abandon_at,
        abandon_at,
        exit_at,
    )


def extended_deadlines(
    current: Deadlines, now: float, grace: float
) -> Deadlines:
    """Returns the deadlines after another shutdown signal.

    The platform may count the grace period from the first or from the last
    signal. Requests at a target get the time from the last signal. Whether a
    request is still sent to a target is decided by the first signal, as it
    would be lost if the platform counted from there.

    Args:
        current: Deadlines before this signal.
        now: Monotonic seconds.
        grace: Seconds after which the platform may kill the process.
    """
    extended = initial_deadlines(now, grace)
    return dataclasses.replace(
        extended, reject_at=current.reject_at, finish_by=current.finish_by
    )
