"""Phases in which a target receives no request although it could run some."""

import dataclasses
from collections.abc import Iterable

from forklift import messages

State = messages.TargetState

# States in which a target can run requests. An ejected one needs trial requests
# to be reinstated.
USABLE_STATES = (State.IN_SERVICE, State.SUSPECT)


def is_usable(load: messages.Load) -> bool:
    """Whether a target can run a request now."""
    has_room = load.rate_limit is None or load.rate_limit.wait == 0
    return load.state in USABLE_STATES and has_room


@dataclasses.dataclass
class IdlePhase:
    """What the process of a target did while the target was idle.

    Attributes:
        requests_before: Requests to the service that this process had received
            when the phase began.
        announcements: Number of announcements to other processes so far.
        reported: Whether the phase was logged.
    """

    requests_before: int
    announcements: int = 0
    reported: bool = False


class IdlePhases:
    """Idle phases of the local targets, by target."""

    def __init__(self):
        self._phase_by_target: dict[str, IdlePhase] = {}

    def observe(self, target: str, requests: int) -> IdlePhase:
        """Returns the phase of a target that is idle at the moment.

        Args:
            target: Name of the target.
            requests: Requests to the service that this process has received.
        """
        phase = self._phase_by_target.get(target)
        if phase is None:
            phase = self._phase_by_target[target] = IdlePhase(requests)
        return phase

    def end(self, target: str) -> IdlePhase | None:
        """Ends the phase of a target that has started a request, if any."""
        return self._phase_by_target.pop(target, None)

    def retain(self, targets: Iterable[str]) -> None:
        """Forgets the phases of all other targets."""
        for name in self._phase_by_target.keys() - set(targets):
            del self._phase_by_target[name]
