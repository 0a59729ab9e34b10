"""Checks the invariants of the project at run time.

A violation is logged and counted; if `RAISE_ON_VIOLATION` is set, as in tests,
it also raises an exception. Each invariant has a function that checks it.
"""

import collections

import structlog

from forklift import errors

RAISE_ON_VIOLATION = False
violations_by_invariant: collections.Counter[str] = collections.Counter()
checks_by_invariant: collections.Counter[str] = collections.Counter()
_log = structlog.get_logger(__name__)


def check(invariant: str, holds: bool, detail: str, **evidence: object) -> bool:
    """Records one check of an invariant.

    Args:
        invariant: Name of the invariant.
        holds: Whether the invariant holds.
        detail: Description of a violation, for the log line.
        **evidence: Further fields of the log line.

    Returns:
        `holds`, so that the calling code can stop.

    Raises:
        errors.InvariantViolation: The invariant does not hold and
            `RAISE_ON_VIOLATION` is set.
    """
    checks_by_invariant[invariant] += 1
    if holds:
        return True
    violations_by_invariant[invariant] += 1
    _log.error("invariant_broken", promise=invariant, detail=detail, **evidence)
    if RAISE_ON_VIOLATION:
        raise errors.InvariantViolation(invariant, detail)
    return False


def own_answer(request_id: str, echoed: str) -> bool:
    """A response is passed on only to the request that it belongs to."""
    detail = f"response to {echoed} on the stream of {request_id}"
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
    """A request that is not idempotent is started at most once."""
    detail = f"{starts} starts"
    return check("at-most-once", starts <= 1, detail, request_id=request_id)


def no_new_work(leaving: bool, target: str) -> bool:
    """A target that is leaving starts no new request."""
    return check(
        "no-new-work",
        not leaving,
        "a request was started on a leaving target",
        target=target,
    )


def nothing_cut_off(in_flight: int, deadline_passed: bool) -> bool:
    """A planned shutdown ends without requests in flight or at its deadline."""
    return check(
        "nothing-cut-off",
        in_flight == 0 or deadline_passed,
        f"{in_flight} requests in flight when the process stopped",
    )


def version_forward(before: int, after: int) -> bool:
    """The version of the active configuration never decreases."""
    detail = f"version {before} replaced by {after}"
    return check("version-forward", after >= before, detail)
