"""What the soak holds what callers and targets saw against."""

import collections

from forklift.platform import names
from forklift_lab import soak as soaks

# Answers that say that a request has not run.
_NOT_RUN = (408, 421, 429, 503)


def runs_by_id(soak: soaks.Soak) -> collections.Counter[str]:
    """How often each request reached a target that did not refuse it."""
    runs: collections.Counter[str] = collections.Counter()
    for target in soak.running.target_by_name.values():
        for received, fault in zip(target.received, target.played, strict=True):
            if fault not in ("refuse", "misdirected"):
                field = names.DIALECT.request_id
                runs[received.field(field).decode()] += 1
    return runs


@soaks.promise("at most once")
def _once(soak: soaks.Soak) -> list[str]:
    runs = runs_by_id(soak)
    return [
        name for name, count in runs.items() if name[0] == "u" and count > 1
    ]


@soaks.promise("not run is true")
def _true_refusals(soak: soaks.Soak) -> list[str]:
    runs = runs_by_id(soak)
    return [
        f"{seen.id} {seen.status}"
        for seen in soak.seen
        if seen.status in _NOT_RUN and seen.id[0] == "u" and runs[seen.id]
    ]


@soaks.promise("own answer")
def _own(soak: soaks.Soak) -> list[str]:
    return [seen.id for seen in soak.seen if not seen.own]


@soaks.promise("an answer in the end")
def _answered(soak: soaks.Soak) -> list[str]:
    return [
        seen.id for seen in soak.seen if seen.hung and not soak.harmed(seen)
    ]


@soaks.promise("nothing cut off")
def _nothing_cut_off(soak: soaks.Soak) -> list[str]:
    """A request that ran has an answer, unless its process was harmed."""
    runs = runs_by_id(soak)
    return [
        seen.id
        for seen in soak.seen
        if seen.status == 0 and runs[seen.id] and not soak.harmed(seen)
    ]


@soaks.promise("planned stops end well")
def _stops(soak: soaks.Soak) -> list[str]:
    return [f"{name} {status}" for name, status in soak.stopped if status]


@soaks.promise("a leaving target gets no work")
def _drained(soak: soaks.Soak) -> list[str]:
    late = []
    for target in soak.running.target_by_name.values():
        arrivals = zip(target.received, target.names_received, strict=True)
        for received, name in arrivals:
            left = target.left_at_by_name.get(name)
            if left is not None and received.at > left + soaks.DRAIN_WITHIN:
                late.append(f"{name} {received.at - left:.1f} s after")
    return late


@soaks.promise("the configuration never goes back")
def _forward(soak: soaks.Soak) -> list[str]:
    """A run of a process that served a version serves no older one later."""
    served = [one for one in soak.seen if one.version and one.status == 200]
    return [
        f"{late.place} served {late.version} after {early.version}"
        for late in served
        for early in served
        if (early.place, early.life) == (late.place, late.life)
        and early.version > late.version
        and early.ended <= late.began
    ]
