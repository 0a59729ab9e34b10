"""Announces local targets that receive no requests."""

from collections.abc import Callable

from forklift import messages
from forklift.shell import local_targets

# Seconds without a request after which a target is announced as idle. Must
# exceed the time within which an ingress process that has callers sends to an
# idle target anyway.
IDLE_TARGET_SECONDS = 1.2
# States in which an idle target is announced. A suspected target needs a trial
# request to be reinstated.
_IDLE_STATES = (
    messages.TargetState.IN_SERVICE,
    messages.TargetState.SUSPECT,
)


def announce(
    targets: local_targets.LocalTargets,
    send: Callable[[str, messages.Load], None],
    now: float,
) -> None:
    """Asks other processes to send requests to idle local targets.

    An ingress process sends to idle targets only while it has callers. If this
    one has none, the other processes would go on with the targets that they
    know to be healthy.

    Args:
        targets: The local targets.
        send: Sends the name and the load of an idle target.
        now: Monotonic seconds.
    """
    for local_target in targets.by_name.values():
        load = local_target.controller.load(now)
        has_room = load.rate_limit is None or load.rate_limit.wait == 0
        if (
            load.state in _IDLE_STATES
            and has_room
            and load.idle > IDLE_TARGET_SECONDS
        ):
            send(local_target.controller.name, load)
