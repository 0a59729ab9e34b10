"""Records the results of calls that local targets made."""

from forklift import call_profile
from forklift import load_balancer
from forklift import messages
from forklift import run_calls
from forklift.shell import exchange

# States of targets without room, as counted by the load balancer.
_STATES_WITHOUT_ROOM = ("full", "limited")


def record(
    calls: run_calls.RunCalls,
    balancer: load_balancer.LoadBalancer,
    request: exchange.Request,
    ending: exchange.Ending,
    seconds: float,
    now: float,
) -> None:
    """Records the end of a request if it is the call of a run.

    Args:
        calls: Runs and calls of this process.
        balancer: Knows the load of the called service.
        request: The request.
        ending: How it ended.
        seconds: Its duration.
        now: Monotonic seconds.
    """
    if request.call is None:
        return
    has_full_targets = False
    if ending.reason is messages.Reason.NO_TARGET:
        states = balancer.count_by_state(request.service, now)
        has_full_targets = any(
            state in states for state in _STATES_WITHOUT_ROOM
        )
    lacked_room = call_profile.is_lack_of_room(ending.reason, has_full_targets)
    calls.end_call(
        request.call, request.route, request.service, seconds, lacked_room, now
    )
