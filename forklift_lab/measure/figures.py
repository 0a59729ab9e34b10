"""What one run of the decisions world showed."""

import collections

import msgspec

from forklift import messages

State = messages.TargetState
Outcome = messages.Outcome
# One control message in this many is encoded to know its size.
SAMPLE = 7


class Figures:
    """Counts of one run."""

    def __init__(self):
        self.asked = 0
        self.in_time = 0
        self.failed = 0
        self.not_run = 0
        self.unknown = 0
        self.starts = 0
        self.repeated = 0
        self.lied = 0
        self.reverted = 0
        self.leases = 0
        self.floor_broken = 0
        self.trial = False
        self.messages = 0
        self.sampled_bytes = 0
        self.ejections: list[tuple[float, str]] = []
        self.outs: list[tuple[float, str]] = []
        self.met_by_target: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.back_by_target: dict[str, float] = {}
        self.states: dict[str, State] = {}
        self.floor_by_service: dict[str, int] = {}
        self.service_by_target: dict[str, str] = {}
        self.reasons: collections.Counter[str] = collections.Counter()
        self.measuring_from = float("inf")

    def control(self, sender: str, message) -> None:
        """A control message was sent."""
        self.messages += 1
        if self.messages % SAMPLE == 0:
            self.sampled_bytes += SAMPLE * len(messages.encode(message))

    def met(self, target: str, now: float, repeatable: bool) -> None:
        """A request reached a target, other than as a trial."""
        self.starts += 1
        if not self.trial:
            self.met_by_target[target].append(now)
        self.trial = False

    def version(self, process: str, before: int, after: int, now: float):
        """A process took in a publication."""
        if after < before:
            self.reverted += 1

    def over(self, job, ending, now: float) -> None:
        """A request is over for its caller."""
        if job.born < self.measuring_from:
            return
        if job.starts > 1 and not job.wish.repeatable:
            self.repeated += 1
        if ending.reason is not None:
            self.reasons[f"{job.service} {ending.reason}"] += 1
        if ending.outcome is Outcome.ANSWERED:
            if ending.status >= 500:
                self.failed += 1
            else:
                self.in_time += 1
        elif ending.outcome is Outcome.NOT_RUN:
            self.not_run += 1
            if job.starts and not job.wish.repeatable:
                self.lied += 1
        else:
            self.unknown += 1

    def standing(self, process, now: float) -> None:
        """Looks at the targets of a process after its tick."""
        for target in process.guard.target_by_name.values():
            before = self.states.get(target.name)
            after = target.standing.state
            if before is after:
                continue
            self.states[target.name] = after
            self.service_by_target[target.name] = target.service
            if after is State.EJECTED and before is not State.TRIAL:
                self.ejections.append((now, target.name))
                self._check_floor(target.service, target.program.floor)
            if after is State.IN_SERVICE:
                self.back_by_target[target.name] = now

    def _check_floor(self, service: str, floor: int) -> None:
        """The floor in sum, as nobody inside can see it."""
        out = (State.EJECTED, State.TRIAL)
        states = [
            state
            for name, state in self.states.items()
            if self.service_by_target[name] == service
        ]
        serving = sum(1 for state in states if state not in out)
        if serving < min(floor, len(states)):
            self.floor_broken += 1


class Row(msgspec.Struct, frozen=True):
    """Figures of one run of one fault.

    Attributes:
        fault: Name of the fault.
        seed: Seed of the run.
        detection: Seconds from fault to the last request that met the sick
            target while the fault lasted, trials aside; -1 without one.
        met: Requests that met the sick target in the fault.
        false_ejections: Healthy targets ejected.
        target_hours: Hours of healthy targets in the run.
        asked: Requests of callers while measured.
        in_time: Whole answers below 500.
        failed: Answers of 500 and above.
        not_run: Told to be not run.
        unknown: Told to be unknown.
        amplification: Starts at targets for each request.
        recovery: Seconds from heal to full use; -1 without one.
        control_bytes: Bytes of control a second and process.
        control_messages: Messages of control a second and process.
        broken: Promises seen broken, from inside and outside.
    """

    fault: str
    seed: int
    detection: float
    met: int
    false_ejections: int
    target_hours: float
    asked: int
    in_time: int
    failed: int
    not_run: int
    unknown: int
    amplification: float
    recovery: float
    control_bytes: float
    control_messages: float
    broken: int
