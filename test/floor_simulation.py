"""Simulates targets that fail for seconds at a time, for the capacity floor.

A fleet of many processes, each of which receives few requests. Every target
hangs on most requests during a part of each cycle, by itself and without
notice. Whether enough of the others are in use is counted from the callers'
view: a target counts as sound if it was not in such a phase for a while.
"""

import bisect
import collections
import dataclasses
import random
import types

from forklift import admission
from forklift import idle_phases
from forklift import idle_selection
from forklift import messages
from forklift.shell import idle_targets
from test import level_simulation

WINDOW_SECONDS = idle_selection.CAPACITY_FLOOR_SECONDS
# Seconds for which a target must not have failed to count as sound.
SOUND_AFTER_SECONDS = 2.0
# The capacity floor holds while a share of requests between these fails.
MIN_FAILURE_SHARE, MAX_FAILURE_SHARE = 0.1, 0.5
# Share of the sound targets that must receive requests.
MIN_USED_SHARE = 0.7
# Seconds between the start of the processes and the first request.
LEAD_SECONDS = 4.0
# Share of a cycle in which a target fails.
FAILING_PHASE_SHARE = 0.3
_STEP_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class Load:
    """A service and the load on it.

    Attributes:
        routes: The routes.
        rate: Requests per second at all processes.
        processes: Number of processes.
        targets: Number of targets; target n belongs to process n.
        slots: Slots of each target.
        domains: Number of failure domains.
        cycle: Seconds between the begins of two failing phases of a target.
        failing: Share of requests that hang in a failing phase.
        lost: Share of the announcements of idle targets that are lost.
        delay: Seconds that an announcement takes.
        disturbed: Share of the targets that fail all the time.
    """

    routes: tuple[level_simulation.Route, ...]
    rate: float
    processes: int
    targets: int
    slots: int
    domains: int = 3
    cycle: float = 9.0
    failing: float = 0.75
    lost: float = 0.0
    delay: float = level_simulation.MESSAGE_SECONDS
    disturbed: float = 0.0


@dataclasses.dataclass(frozen=True)
class Window:
    """The requests and the targets of a service in a window of time.

    Attributes:
        begin: Seconds since the first request.
        idle: Number of sound targets without a request.
        sound: Number of sound targets.
        failed: Number of requests that were not served.
        requests: Number of requests.
    """

    begin: float
    idle: int
    sound: int
    failed: int
    requests: int

    @property
    def counts(self) -> bool:
        """Whether so many requests fail that the capacity floor counts."""
        share = self.failed / max(1, self.requests)
        return MIN_FAILURE_SHARE < share < MAX_FAILURE_SHARE

    @property
    def breaks_floor(self) -> bool:
        """Whether too few sound targets received requests."""
        used = self.sound - self.idle
        return self.counts and 0 < used < MIN_USED_SHARE * self.sound


class FloorSimulation(level_simulation.Simulation):
    """A fleet whose targets fail by themselves, and ask for work when idle.

    Attributes:
        starts_by_target: Simulated times at which each target started
            requests, in ascending order.
    """

    def __init__(self, load: Load, seed: int):
        self._load_of_service = load
        self._now = 0.0
        self._noise = random.Random(f"noise {seed}")
        self._phase_by_target = {
            f"t{n}": self._noise.uniform(0.0, load.cycle)
            for n in range(load.targets)
        }
        super().__init__(
            load.processes,
            load.targets,
            load.slots,
            load.routes,
            is_on=False,
            seed=seed,
            domains=load.domains,
            is_hanging=self._hangs,
        )
        self.starts_by_target: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self._idle_targets = {
            name: self._observe(name, controller)
            for name, controller in self.controller_by_target.items()
        }

    def play(self, seconds: float) -> list[Window]:
        """Runs the load, and returns the windows that break the floor."""
        end = LEAD_SECONDS + seconds
        self.add_load(self._load_of_service.rate, LEAD_SECONDS, end)
        self.run(end)
        self.sends.sort(key=lambda send: send.arrived_at)
        return [
            window for window in self.windows(seconds) if window.breaks_floor
        ]

    def windows(self, seconds: float) -> list[Window]:
        """Returns all windows of a load that was played."""
        steps = int((seconds - WINDOW_SECONDS) / _STEP_SECONDS) + 1
        begins = [LEAD_SECONDS + step * _STEP_SECONDS for step in range(steps)]
        return [self._window(begin) for begin in begins]

    def is_failing(self, target: str, now: float) -> bool:
        """Whether a target is in a failing phase."""
        load = self._load_of_service
        if int(target[1:]) < load.disturbed * load.targets:
            return True
        cycle = load.cycle
        position = (now + self._phase_by_target[target]) % cycle
        return position < FAILING_PHASE_SHARE * cycle

    def _hangs(self, target: str, now: float) -> bool:
        self.starts_by_target[target].append(now)
        return (
            self.is_failing(target, now)
            and self._noise.random() < self._load_of_service.failing
        )

    def _observe(
        self, name: str, controller: admission.Controller
    ) -> idle_targets.IdleTargets:
        process = self.process_by_name[f"p{name[1:]}"]
        return idle_targets.IdleTargets(
            types.SimpleNamespace(
                by_name={name: types.SimpleNamespace(controller=controller)}
            ),
            process.balancer,
            self._announce,
        )

    def _announce(
        self,
        target: str,
        load: messages.Load,
        count: int,
        preferred: list[str],
        any_kind: bool,
    ) -> None:
        """Delivers an announcement to processes of the same domain."""
        names = idle_phases.choose_peers(
            self._neighbours(target), preferred, count, self._noise
        )
        for name in names:
            if self._is_lost():
                continue
            self.at(
                self._now + self._load_of_service.delay,
                lambda at, name=name: self.process_by_name[
                    name
                ].balancer.record_work_request(target, load, at, any_kind),
            )

    def _is_lost(self) -> bool:
        lost = self._load_of_service.lost
        return lost > 0 and self._noise.random() < lost

    def _neighbours(self, target: str) -> list[str]:
        """Names of the other processes of a target's failure domain."""
        owner, load = int(target[1:]), self._load_of_service
        return [
            f"p{n}"
            for n in range(load.processes)
            if n != owner and n % load.domains == owner % load.domains
        ]

    def _record_arrival(
        self, target: str, process: str, idempotent: bool, now: float
    ) -> None:
        if process != f"p{target[1:]}":
            self._idle_targets[target].record_sender(
                target, process, idempotent, now
            )

    def _tick(self, now: float) -> None:
        super()._tick(now)
        self._now = now
        for observer in self._idle_targets.values():
            observer.tick(now)

    def _window(self, begin: float) -> Window:
        sound = [
            name
            for name in self.controller_by_target
            if self._is_sound(name, begin)
        ]
        idle = sum(
            not _between(self.starts_by_target[name], begin) for name in sound
        )
        sends = _between(self.sends, begin, lambda send: send.arrived_at)
        failed = sum(not send.served for send in sends)
        return Window(
            round(begin - LEAD_SECONDS, 1), idle, len(sound), failed, len(sends)
        )

    def _is_sound(self, target: str, begin: float) -> bool:
        """Whether a target did not fail in a window, and not shortly before."""
        seconds = SOUND_AFTER_SECONDS + WINDOW_SECONDS
        steps = range(int(seconds / _STEP_SECONDS) + 1)
        first = begin - SOUND_AFTER_SECONDS
        return not any(
            self.is_failing(target, first + step * _STEP_SECONDS)
            for step in steps
        )


def _between(sequence, begin: float, key=None) -> list:
    """Returns the part of a sorted sequence that lies in a window."""
    first = bisect.bisect_left(sequence, begin, key=key)
    last = bisect.bisect_right(sequence, begin + WINDOW_SECONDS, key=key)
    return sequence[first:last]
