"""The entry: picks a target for each request and decides on retries.

It knows the targets of its services from the directory, their load from the
answers it passes on, and judges its own path to each guard.
"""

import dataclasses
import math
import random

from forklift import health
from forklift import invariants
from forklift import messages
from forklift import overlay
from forklift import policy
from forklift import spread
from forklift import views

State = messages.TargetState
Outcome = messages.Outcome
Reason = messages.Reason

# Targets of one service that this entry sends to.
SUBSET = 48
# Candidates that one pick looks at.
SAMPLE = 8
LEAST_WEIGHT = 0.02
AVOID_FIRST = 0.5
# Seconds between beats on a path that is avoided, after a pause that grows.
BEAT_PERIOD = 0.5
BEAT_MOST = 2.0
# Seconds without a sign of a guard, while it owes one, that condemn the path.
SILENCE = 0.6
# Refusals cost the targets nothing; this bounds the walk all the same.
MAX_REFUSALS = 4
_OUT = (State.EJECTED, State.DRAINING, State.LEFT)
_DOUBTFUL = (State.SUSPECT, State.TRIAL)


@dataclasses.dataclass(frozen=True)
class Wish:
    """What a request needs of a target.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        repeatable: Whether a second run does no harm.
        deadline: Monotonic seconds.
    """

    service: str
    method: str
    repeatable: bool
    deadline: float


@dataclasses.dataclass(frozen=True)
class Choice:
    """A picked target.

    Attributes:
        target: Its name.
        process: Name of the process beside it.
    """

    target: str
    process: str


@dataclasses.dataclass(frozen=True)
class Ending:
    """How one attempt ended.

    Attributes:
        outcome: What became of it.
        reason: Why, where it was not answered.
        status: HTTP status, 0 where it was not answered.
        retry_after: Hint of the guard, seconds.
    """

    outcome: Outcome
    reason: Reason | None = None
    status: int = 0
    retry_after: float = 0.0


class Entry:
    """Picks targets and decides on retries, for one process."""

    def __init__(self, name: str, domain: str, rng: random.Random):
        self.name = name
        self.domain = domain
        self._rng = rng
        self._group_by_service: dict[str, views.Group] = {}
        self._path_by_process: dict[str, views.Path] = {}
        self._targets_by_process: dict[str, dict[str, str]] = {}
        self.picks = 0

    # What is known.

    def follow(self, programs: dict[str, policy.Service]) -> None:
        """Takes the programs of a new configuration."""
        for service in list(self._group_by_service):
            if service not in programs:
                del self._group_by_service[service]
        for service, program in programs.items():
            group = self._group_by_service.get(service)
            if group is None:
                self._group_by_service[service] = views.Group(program)
            else:
                group.program = program
                group.budget.share = program.retry_share

    def learn(
        self, info: messages.ProcessInfo, services: frozenset[str]
    ) -> None:
        """Takes in what is known of one process.

        Args:
            info: Its description.
            services: Services that are fully known here; of any other the
                directory holds old news of a few processes only.
        """
        before = self._targets_by_process.get(info.name, {})
        after = {
            target.name: target.service
            for target in info.targets
            if target.service in services
            and target.service in self._group_by_service
            and target.state is not State.LEFT
        }
        self._targets_by_process[info.name] = after
        for name, service in before.items():
            if after.get(name) != service:
                self._remove(service, name, info.name)
        for target in info.targets:
            if target.name in after:
                self._learn_target(target, info)

    def forget(self, process: str) -> None:
        """A process is dead, or has left."""
        for name, service in self._targets_by_process.pop(process, {}).items():
            self._remove(service, name, process)
        self._path_by_process.pop(process, None)

    def knows(self, service: str) -> bool:
        """Whether a target of a service is known."""
        group = self._group_by_service.get(service)
        return group is not None and bool(group.view_by_target)

    def targets(self, service: str) -> list[str]:
        """Names of the targets of a service that are known here."""
        group = self._group_by_service.get(service)
        return list(group.view_by_target) if group else []

    def program(self, service: str) -> policy.Service | None:
        """The program of a service."""
        group = self._group_by_service.get(service)
        return group.program if group else None

    def retries_refused(self, service: str) -> int:
        """Retries of a service that the budget refused here."""
        group = self._group_by_service.get(service)
        return group.budget.refused if group else 0

    def normal(self, service: str) -> health.Reference:
        """What is normal for a service, from what guards report.

        A bounded subset stands for a large service.
        """
        group = self._group_by_service.get(service)
        if group is None or not group.view_by_target:
            return health.UNKNOWN
        views = [group.view_by_target[name] for name in self._subset(group)]
        views = [view for view in views if view.state is not State.EJECTED]
        return health.reference(
            [view.latency for view in views],
            [view.failures for view in views],
        )

    # Picks.

    def choose(
        self, wish: Wish, tried: frozenset[str], now: float
    ) -> Choice | None:
        """Picks a target, other than those tried; None when none is left."""
        group = self._group_by_service.get(wish.service)
        if group is None or not group.view_by_target:
            return None
        names = self._subset(group)
        if len(names) > SAMPLE:
            names = self._rng.sample(names, SAMPLE)
        candidates = self._candidates(group, names, wish, tried, now)
        if not candidates and len(names) < len(group.view_by_target):
            names = list(group.view_by_target)
            candidates = self._candidates(group, names, wish, tried, now)
        if not candidates:
            return None
        pick = spread.picker_by_name[group.program.spread]
        name = pick(candidates, self._rng).name
        view = group.view_by_target[name]
        view.in_flight += 1
        view.picked += 1
        self.picks += 1
        return Choice(name, view.process)

    def ended(
        self,
        wish: Wish,
        choice: Choice,
        load: messages.Load | None,
        now: float,
    ) -> None:
        """An attempt ended, with or without a report of the target's load."""
        group = self._group_by_service.get(wish.service)
        view = group.view_by_target.get(choice.target) if group else None
        if view is None:
            return
        view.in_flight = max(0, view.in_flight - 1)
        if load is not None:
            view.report(load, now)

    def refused_route(self, wish: Wish, choice: Choice, now: float) -> None:
        """A target in service refused the request's route."""
        group = self._group_by_service.get(wish.service)
        view = group.view_by_target.get(choice.target) if group else None
        if view is not None:
            view.avoided_until = now + AVOID_FIRST

    def first(self, wish: Wish) -> None:
        """The first attempt of a request is made: it earns retries."""
        group = self._group_by_service.get(wish.service)
        if group is not None:
            group.budget.earn()

    def retry(
        self,
        wish: Wish,
        ending: Ending,
        attempt: int,
        refusals: int,
        now: float,
    ) -> bool:
        """Whether another target is tried.

        Args:
            wish: The request.
            ending: How the last attempt ended.
            attempt: Attempts that may have reached a target, this one too.
            refusals: Attempts that guards refused.
            now: Monotonic seconds.
        """
        group = self._group_by_service.get(wish.service)
        if group is None or now >= wish.deadline:
            return False
        not_run = ending.outcome is Outcome.NOT_RUN
        if not not_run and not wish.repeatable:
            # Past the point of no return nobody sends it again.
            return False
        program = group.program
        allowed = program.retry.evaluate(
            attempt=max(1, attempt),
            status=ending.status,
            outcome=str(ending.outcome),
            reason=str(ending.reason or ""),
            repeatable=wish.repeatable,
            method=wish.method,
            remaining=wish.deadline - now,
        )
        if not allowed:
            return False
        if not_run:
            return refusals < MAX_REFUSALS
        return attempt < program.attempts and group.budget.spend()

    # Paths.

    def sent(self, process: str, now: float) -> None:
        """Something was sent that the guard owes a sign for."""
        path = self._path_by_process.setdefault(process, views.Path())
        if path.owed_since is None:
            path.owed_since = now

    def heard(self, process: str) -> None:
        """A sign of the guard arrived."""
        path = self._path_by_process.get(process)
        if path is not None:
            path.owed_since = None
            path.failures = 0
            path.avoided = False

    def settled(self, process: str) -> None:
        """Nothing is owed any more, as no request is in flight."""
        path = self._path_by_process.get(process)
        if path is not None:
            path.owed_since = None

    def path_failed(self, process: str, cause: str, now: float) -> None:
        """The path to a guard failed; it is avoided until it is heard."""
        path = self._path_by_process.setdefault(process, views.Path())
        path.failures += 1
        wait = AVOID_FIRST * 2 ** min(path.failures - 1, 8)
        path.next_beat = now + min(BEAT_MOST, wait)
        path.avoided = True
        path.owed_since = None
        path.cause = cause

    def to_beat(self, now: float) -> list[str]:
        """Processes on avoided paths that are to be asked for a sign."""
        due = []
        for process, path in self._path_by_process.items():
            if path.avoided and now >= path.next_beat:
                path.next_beat = now + BEAT_PERIOD
                due.append(process)
        return due

    def silent(self, now: float) -> list[str]:
        """Names of processes whose sign is overdue; their paths failed."""
        silent = [
            process
            for process, path in self._path_by_process.items()
            if path.owed_since is not None and now - path.owed_since >= SILENCE
        ]
        for process in silent:
            self.path_failed(process, "silent", now)
        return silent

    def avoided(self) -> dict[str, str]:
        """Processes whose paths are avoided now, with the cause."""
        return {
            process: path.cause
            for process, path in self._path_by_process.items()
            if path.avoided
        }

    def _candidates(
        self,
        group: views.Group,
        names: list[str],
        wish: Wish,
        tried: frozenset[str],
        now: float,
    ) -> list[spread.Candidate]:
        sound: list[spread.Candidate] = []
        doubtful: list[spread.Candidate] = []
        avoided: list[spread.Candidate] = []
        in_service = 0
        for name in names:
            view = group.view_by_target[name]
            if view.state in _OUT:
                continue
            in_service += 1
            if name in tried:
                continue
            candidate = self._candidate(group.program, name, view, now)
            path = self._path_by_process.get(view.process)
            path_bad = path is not None and path.avoided
            if path_bad or now < view.avoided_until:
                avoided.append(candidate)
            elif view.state in _DOUBTFUL and not wish.repeatable:
                doubtful.append(candidate)
            else:
                sound.append(candidate)
        floor = self._share_of_floor(group, len(names))
        kept = in_service - len(avoided)
        if avoided and kept < floor:
            # In doubt a target is kept, at lower weight.
            sound += [
                dataclasses.replace(c, weight=LEAST_WEIGHT) for c in avoided
            ]
            kept = in_service
        invariants.floor_kept(wish.service, kept, floor, in_service)
        return sound or doubtful or avoided

    def _candidate(
        self, program: policy.Service, name: str, view: views.View, now: float
    ) -> spread.Candidate:
        load = view.load(now)
        weight = view.weight
        if program.weight.text != "1.0":
            weight *= program.weight.evaluate(
                load=load,
                slots=view.info.slots,
                same_domain=view.near,
                state=str(view.state),
            )
        return spread.Candidate(
            name,
            load,
            view.info.slots,
            max(LEAST_WEIGHT, weight),
            view.near,
            view.picked,
        )

    def _share_of_floor(self, group: views.Group, looked_at: int) -> int:
        """The floor, scaled to the targets that one pick looks at."""
        known = len(group.view_by_target)
        return math.ceil(group.program.floor * looked_at / known)

    def _learn_target(
        self, target: messages.TargetInfo, info: messages.ProcessInfo
    ) -> None:
        group = self._group_by_service[target.service]
        view = group.view_by_target.get(target.name)
        if view is not None and view.boot == info.boot:
            view.follow(target)
            return
        near = target.domain == self.domain
        group.view_by_target[target.name] = views.View(target, info, near)
        group.subset = None

    def _remove(self, service: str, name: str, process: str) -> None:
        group = self._group_by_service.get(service)
        view = group.view_by_target.get(name) if group else None
        if view is not None and view.process == process:
            del group.view_by_target[name]
            group.subset = None

    def _subset(self, group: views.Group) -> list[str]:
        """The targets that this entry sends to, chosen anew after changes."""
        if group.subset is None:
            names = sorted(group.view_by_target)
            if len(names) > SUBSET:
                names = overlay.pick(self.name, names, SUBSET)
            group.subset = names
        return group.subset
