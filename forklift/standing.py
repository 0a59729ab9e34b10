"""Where a target stands: the states between in service and ejected.

COLD and RAMP climb to IN_SERVICE. Evidence lowers the weight first (SUSPECT);
only a permit of the service's floor owner takes the target out (EJECTED).
After a penalty, real requests one at a time (TRIAL) decide on its return.
Each return that fails doubles the penalty, which damps flapping.
"""

import dataclasses

from forklift import health
from forklift import messages

State = messages.TargetState

# A suspect still gets enough requests to be judged soon; one that waits for
# its permit, or that the floor keeps in, gets few.
SUSPECT_WEIGHT = 0.6
CONDEMNED_WEIGHT = 0.1
TRIAL_WEIGHT = 0.1
FIRST_WEIGHT = 0.2
COLD_RAMP = 5.0
RAMP = 4.0
FIRST_PENALTY = 2.0
MAX_PENALTY = 120.0
# Seconds in service after which past ejections are forgiven by one.
FORGIVEN_AFTER = 60.0
TRIALS = 5
MAX_TRIALS = 20
# Share of the threshold at which trials have failed by evidence alone.
TRIAL_SHARE = 0.4
# Share of the threshold at which a target becomes suspect, and well again.
SUSPECT_SHARE = 0.6
WELL_SHARE = 0.25
_LEAVING = (State.DRAINING, State.LEFT)


@dataclasses.dataclass(frozen=True)
class Change:
    """One change of state, kept to explain it.

    Attributes:
        at: Monotonic seconds.
        before: State before.
        after: State after.
        cause: Why, in a few words.
        evidence: The evidence then.
    """

    at: float
    before: State
    after: State
    cause: str
    evidence: health.Assessment | None


class Standing:
    """The state machine of one target at its guard."""

    def __init__(self, now: float):
        self.state = State.COLD
        self.version = 1
        self.changes: list[Change] = []
        self._since = now
        self._penalties = 0
        self._well = 0
        self._permit_until = 0.0
        self._condemned = False
        self._trial_limit = 0.0

    @property
    def leaving(self) -> bool:
        """Whether it takes no new request for good."""
        return self.state in _LEAVING

    @property
    def wants_permit(self) -> bool:
        """Whether a permit is needed, to eject it or to keep it out."""
        return self.state in (State.EJECTED, State.TRIAL)

    def weight(self, now: float) -> float:
        """Share of normal traffic it should get, 0 to 1."""
        age = now - self._since
        if self.state is State.COLD:
            return _climb(age / COLD_RAMP)
        if self.state is State.RAMP:
            return _climb(age / RAMP)
        if self.state is State.SUSPECT:
            return CONDEMNED_WEIGHT if self._condemned else SUSPECT_WEIGHT
        if self.state is State.TRIAL:
            return TRIAL_WEIGHT
        return 1.0 if self.state is State.IN_SERVICE else 0.0

    def observe(
        self, assessment: health.Assessment, threshold: float, now: float
    ) -> bool:
        """Takes evidence in; True asks for a permit to eject."""
        if self.state in (State.COLD, State.RAMP):
            ramp = COLD_RAMP if self.state is State.COLD else RAMP
            if now - self._since >= ramp:
                self._move(State.IN_SERVICE, "ramp done", assessment, now)
        if self.state is State.IN_SERVICE:
            self._forgive(now)
        limit = threshold * SUSPECT_SHARE
        self._trial_limit = threshold * TRIAL_SHARE
        # A sick route is refused by itself; the target stays.
        total = assessment.total
        if assessment.route:
            total -= assessment.failures
        if self.state in (State.COLD, State.RAMP, State.IN_SERVICE):
            if total >= limit:
                self._move(State.SUSPECT, assessment.kind, assessment, now)
        elif self.state is State.SUSPECT and total < threshold * WELL_SHARE:
            self._move(State.RAMP, "evidence gone", assessment, now)
        condemned = self.state is State.SUSPECT and total >= threshold
        if condemned is not self._condemned:
            self._condemned = condemned
            self.version += 1
        return condemned

    def permitted(
        self, until: float, assessment: health.Assessment | None, now: float
    ) -> bool:
        """A permit arrived; True when it ejects the target."""
        self._permit_until = until
        if self.state is not State.SUSPECT:
            return False
        self._penalties += 1
        cause = assessment.kind if assessment else "permit"
        self._move(State.EJECTED, cause, assessment, now)
        return True

    def tick(self, now: float) -> None:
        """Lets time pass: penalties end, permits lapse."""
        if self.wants_permit and now >= self._permit_until:
            # Without a permit the floor may need it: back at low weight.
            self._move(State.SUSPECT, "permit lapsed", None, now)
            self._condemned = True
        elif self.state is State.EJECTED and now >= self.penalty_ends:
            self._well = 0
            self._move(State.TRIAL, "penalty served", None, now)

    @property
    def penalty_ends(self) -> float:
        """Monotonic seconds at which trials begin."""
        penalty = FIRST_PENALTY * 2 ** max(0, self._penalties - 1)
        return self._since + min(MAX_PENALTY, penalty)

    def tried(
        self, failed: bool, assessment: health.Assessment, now: float
    ) -> bool:
        """A trial request ended; True when the target comes back.

        Each ejection before asks for more trials, which damps flapping.
        """
        if self.state is not State.TRIAL:
            return False
        if failed or assessment.total >= self._trial_limit:
            self._penalties += 1
            self._move(State.EJECTED, "trial failed", assessment, now)
            return False
        self._well += 1
        if self._well < min(MAX_TRIALS, TRIALS * self._penalties):
            return False
        if assessment.total >= self._trial_limit * WELL_SHARE:
            return False
        self._permit_until = 0.0
        self._move(State.RAMP, "trials passed", assessment, now)
        return True

    def probe_failed(self, now: float) -> None:
        """A health probe failed at the end of a penalty: wait again."""
        if self.state is State.TRIAL:
            self._move(State.EJECTED, "probe failed", None, now)

    def drain(self, now: float) -> None:
        """The target is leaving: no new request, those in flight end."""
        if not self.leaving:
            self._move(State.DRAINING, "drain asked for", None, now)

    def leave(self, now: float) -> None:
        """The target is gone."""
        if self.state is not State.LEFT:
            self._move(State.LEFT, "left", None, now)

    def restart(self, now: float) -> None:
        """The target announced itself anew after leaving."""
        self._penalties = 0
        self._move(State.COLD, "announced", None, now)

    def _forgive(self, now: float) -> None:
        if self._penalties and now - self._since >= FORGIVEN_AFTER:
            self._penalties -= 1
            self._since = now

    def _move(
        self,
        state: State,
        cause: str,
        evidence: health.Assessment | None,
        now: float,
    ) -> None:
        self.changes.append(Change(now, self.state, state, cause, evidence))
        del self.changes[:-32]
        self.state = state
        self._since = now
        self.version += 1


def _climb(share: float) -> float:
    return min(1.0, FIRST_WEIGHT + (1.0 - FIRST_WEIGHT) * max(0.0, share))
