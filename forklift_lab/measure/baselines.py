"""Simpler ways to choose targets, to compare with in the same run.

They keep forklift's admission at the guard, so that only the choice and the
ejection differ.
"""

import random

from forklift import entry
from forklift_lab.measure import carrier

CONSECUTIVE = 5
EJECT_FOR = 30.0
MOST_OUT = 0.5
PROBE_PERIOD = 2.0
PROBES = 2

process_by_strategy: dict[str, type[carrier.Process]] = {
    "forklift": carrier.Process
}


def strategy(name: str):
    """Registers a kind of process under a name."""

    def register(kind: type[carrier.Process]) -> type[carrier.Process]:
        process_by_strategy[name] = kind
        return kind

    return register


class _Plain(entry.Entry):
    """An entry that sees neither weights nor states of targets."""

    def __init__(self, name: str, domain: str, rng: random.Random):
        super().__init__(name, domain, rng)
        self.out_until_by_target: dict[str, float] = {}
        self.least_loaded = False
        self._turn = 0

    def choose(self, wish, tried, now):
        """See `entry.Entry`."""
        group = self._group_by_service.get(wish.service)
        names = [n for n in group.view_by_target if n not in tried]
        known = len(group.view_by_target)
        out = {n for n, t in self.out_until_by_target.items() if t > now}
        if len(out) > known * MOST_OUT:
            out = set()
        names = [name for name in names if name not in out] or names
        if not names:
            return None
        views = group.view_by_target
        if self.least_loaded:
            name = min(
                names,
                key=lambda n: (views[n].load(now), self._rng.random()),
            )
        else:
            self._turn += 1
            name = names[self._turn % len(names)]
        views[name].in_flight += 1
        return entry.Choice(name, views[name].process)


class _Baseline(carrier.Process):
    """A process whose guard never ejects."""

    def __init__(self, world, name: str, domain: str, number: int):
        super().__init__(world, name, domain, number)
        self.decisions.permits.act = lambda action: None
        rng = random.Random(world.rng.random())
        self.entry = _Plain(name, domain, rng)
        self.decisions.entry = self.entry


@strategy("round robin, 5 errors")
class RoundRobin(_Baseline):
    """Round robin; five errors in a row put a target out for 30 s."""

    def __init__(self, world, name: str, domain: str, number: int):
        super().__init__(world, name, domain, number)
        self._errors_by_target: dict[str, int] = {}

    def noticed(self, choice: entry.Choice, failed: bool) -> None:
        """See `carrier.Process`."""
        if not failed:
            self._errors_by_target[choice.target] = 0
            return
        errors = self._errors_by_target.get(choice.target, 0) + 1
        self._errors_by_target[choice.target] = errors
        if errors >= CONSECUTIVE:
            until = self.world.now + EJECT_FOR
            self.entry.out_until_by_target[choice.target] = until
            self.world.figures.outs.append((self.world.now, choice.target))
            self._errors_by_target[choice.target] = 0


@strategy("probes only")
class Probes(_Baseline):
    """Round robin; two failed probes put a target out until one succeeds."""

    def begin(self) -> None:
        """See `carrier.Process`."""
        super().begin()
        self._failed = 0
        self._probe()

    def _probe(self) -> None:
        target = self.world.target_by_name[self.name]
        failed = target.fault == "refuse" or self.dead
        self._failed = self._failed + 1 if failed else 0
        if self._failed >= PROBES:
            until = self.world.now + PROBE_PERIOD * 1.5
            for process in self.world.process_by_name.values():
                if isinstance(process.entry, _Plain):
                    process.entry.out_until_by_target[self.name] = until
        self.world.after(PROBE_PERIOD, self._probe)


@strategy("least connections")
class LeastConnections(_Baseline):
    """The least loaded, without any ejection."""

    def __init__(self, world, name: str, domain: str, number: int):
        super().__init__(world, name, domain, number)
        self.entry.least_loaded = True
