"""Asserts the promises of the project while the program runs.

A broken promise is logged and counted; with `FATAL` set (tests set it) it
raises. Each check is a plain function named after its promise, so that the
log line, the counter and the docs use one name.
"""

import collections

import structlog

from forklift import errors

RAISE_ON_VIOLATION = False
violations_by_invariant: collections.Counter[str] = collections.Counter()
checks_by_invariant: collections.Counter[str] = collections.Counter()
_log = structlog.get_logger(__name__)


def check(promise: str, holds: bool, detail: str, **evidence: object) -> bool:
    """Records one check of a promise.

    Args:
        promise: Name of the promise.
        holds: Whether it was seen to hold.
        detail: What was seen, for the log line.
        **evidence: Further fields of the log line.

    Returns:
        `holds`, so that a caller can refuse to go on.

    Raises:
        errors.InvariantViolation: When it does not hold and `FATAL` is set.
    """
    checks_by_invariant[promise] += 1
    if holds:
        return True
    violations_by_invariant[promise] += 1
    _log.error("invariant_broken", promise=promise, detail=detail, **evidence)
    if RAISE_ON_VIOLATION:
        raise errors.InvariantViolation(promise, detail)
    return False


def own_answer(request_id: str, echoed: str) -> bool:
    """An answer belongs to the request it is passed on for."""
    detail = f"answer to {echoed} on the stream of {request_id}"
    return check("own-answer", request_id == echoed, detail)


def not_run_is_true(started: bool, request_id: str) -> bool:
    """A request that is reported as not run was not started."""
    return check(
        "not-run",
        not started,
        "reported as not run after its start",
        request_id=request_id,
    )


def at_most_once(starts: int, request_id: str) -> bool:
    """A request that is not repeatable is started at most once."""
    detail = f"{starts} starts"
    return check("at-most-once", starts <= 1, detail, request_id=request_id)


def no_new_work(leaving: bool, target: str) -> bool:
    """A target that is leaving starts no new request at its guard."""
    return check(
        "no-new-work",
        not leaving,
        "a leaving target was sent work",
        target=target,
    )


def nothing_cut_off(in_flight: int, deadline_passed: bool) -> bool:
    """A planned stop ends with nothing in flight, or at its deadline."""
    return check(
        "nothing-cut-off",
        in_flight == 0 or deadline_passed,
        f"{in_flight} requests in flight at the stop",
    )


def version_forward(before: int, after: int) -> bool:
    """The configuration in force never goes back."""
    detail = f"version {before} replaced by {after}"
    return check("version-forward", after >= before, detail)
