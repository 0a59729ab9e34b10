"""What the soak holds what callers and targets saw against."""

import collections
import itertools
import math

from forklift import heartbeats
from forklift.platform import platform_headers
from forklift.platform import store
from forklift.shell import store_follower
from forklift_lab import observations
from forklift_lab import programs
from forklift_lab import records
from forklift_lab import scripted
from forklift_lab import soak as soaks
from forklift_lab import uploads

_NO_ROUTE = 404
# Seconds after which a version must be in force, in addition to the time by
# which this loop was late: the users' bound, and the time to pass the relays. A
# busy machine delays the processes as it delays this loop.
IN_FORCE_WITHIN = soaks.USERS_WITHIN + 0.3
# Seconds in which a request that nobody received may cross the end of its
# connection, if an answer had announced that end: the users' bound.
CROSSES_WITHIN = 0.2
# Seconds after a start, a pause or a cut in which a process is still excused:
# it takes about one to start, and a read of the store two to be given up.
SETTLES = 5.0
# Seconds after which a process has given up a read of the store that is lost.
GIVES_UP = (
    store_follower.MAX_POLL_SECONDS * (1 + store_follower.POLL_JITTER)
    + store.LONG_POLL_MARGIN
)
# Seconds after its caller has left within which a request may still reach a
# target, in addition to those by which this loop was late: the users' bound.
GONE_WITHIN = 0.5
# Seconds in which the requests of a limited target are counted, and what it may
# get in these: a multiple of its limit, and a number. Answers bind a process
# from so many seconds on.
NAMED_COUNTED = 4.0
NAMED_FACTOR = 1.5
NAMED_SLACK = 5
NAMED_BINDS_AFTER = 0.5
# Seconds in which the requests of the limited organisation are counted, and
# what may run beyond its limit: a share of it, and a number of requests.
COUNTED = 5.0
OVERSHOOT = 0.1
SLACK = 20
# Seconds from a signal to stop to the last sixth of the grace, in which a
# process may break off what its target still runs.
LAST_OF_GRACE = programs.GRACE * 5 / 6
# Targets that a deadly request may end, and times that it may reach one once
# all processes know of that.
ENOUGH = 3
SPARE = 3
# Answers that say that a request has not run.
_NOT_RUN = (408, 421, 429, 503)


def runs_by_id(soak: soaks.Soak) -> collections.Counter[str]:
    """How often each request reached a target that did not refuse it."""
    runs: collections.Counter[str] = collections.Counter()
    for target in soak.running.target_by_name.values():
        for received, fault in zip(target.received, target.played, strict=True):
            if fault not in ("refuse", "misdirected"):
                field = platform_headers.PLATFORM.request_id
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


@soaks.promise("a run has the whole body that its caller sent")
def _whole_bodies(soak: soaks.Soak) -> list[str]:
    """No part of a body is run as if it were the whole."""
    name = platform_headers.PLATFORM.request_id
    return [
        f"{own}: {len(received.body)} of {len(upload.body)} bytes, "
        f"{'in chunks' if upload.is_chunked else 'with its length'}"
        for target in soak.running.target_by_name.values()
        for received in target.received
        for own in [received.field(name).decode()]
        for upload in [soak.upload_by_id.get(own)]
        if upload and uploads.digest(received.body) != upload.digest
    ]


@soaks.promise("a request reaches no target long after its caller has left")
def _nothing_after_callers(soak: soaks.Soak) -> list[str]:
    """Unless a process or a link was harmed, which may have held it back."""
    name = platform_headers.PLATFORM.request_id
    late = []
    for target in soak.running.target_by_name.values():
        for received in target.received:
            own = received.field(name).decode()
            _, left = soak.left_at_by_id.get(own, ("", math.inf))
            within = GONE_WITHIN + soak.late(left, received.at)
            if received.at > left + within and not _was_held_up(
                soak, left - soaks.CONTACT, received.at
            ):
                late.append(f"{own} {received.at - left:.1f} s after")
    return late


def _was_held_up(soak: soaks.Soak, since: float, until: float) -> bool:
    """Whether any process or link was harmed in a span."""
    return any(
        _overlap(spans, since, until)
        for spans_by_place in (soak.harms_by_place, soak.cuts_by_place)
        for spans in spans_by_place.values()
    )


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
    """A request that was read has an answer, unless its process was harmed.

    That it was read shows where it reached a target, whatever that said, and
    where its connection ended in good order, unless it crossed an end that it
    had been told of.
    """
    targets = soak.running.target_by_name.values()
    arrived = set().union(*(target.arrived for target in targets))
    return [
        f"{seen.id} at {seen.place} after {seen.ended - seen.began:.3f} s"
        for seen in soak.seen
        if seen.status == 0
        and (_was_read(soak, seen) or seen.id in arrived)
        and not soak.harmed(seen)
    ]


@soaks.promise("a large answer is finished")
def _large_answers_finished(soak: soaks.Soak) -> list[str]:
    """What has begun arrives whole, whoever was paused, slow or held back.

    One that has not begun, though a target received the request, may be
    replaced by another answer, but not by the end of the connection. The
    deadline excuses nothing, as it is far longer than all faults together.
    """
    return [
        f"{one.seen.id} at {one.seen.place} has {one.size} bytes after "
        f"{one.seen.ended - one.seen.began:.3f} s, ran beside "
        f"{', '.join(beside) or 'nobody'}"
        for one in soak.large
        for beside in [_ran_beside(soak, one.seen.id)]
        if not one.complete
        and (one.seen.status or beside)
        and not _may_be_cut_off(soak, one, beside)
    ]


@soaks.promise("an answer that was cut off does not look whole")
def _no_part_looks_whole(soak: soaks.Soak) -> list[str]:
    """Whatever befell the processes."""
    whole = len(scripted.LARGE_BODY)
    return [
        f"{one.seen.id} at {one.seen.place} has {one.size} bytes of {whole}"
        for one in soak.large
        if one.seen.status == 200 and one.complete and one.size != whole
    ]


def _ran_beside(soak: soaks.Soak, request_id: str) -> list[str]:
    """Processes whose target received a request."""
    return [
        place
        for place, target in soak.running.target_by_name.items()
        if request_id in target.arrived
    ]


def _may_be_cut_off(
    soak: soaks.Soak, one: observations.LargeAnswer, beside: list[str]
) -> bool:
    """Whether no process could have finished an answer.

    The process asked was killed, or had to exit as its grace was over. Once the
    answer has begun, only the processes beside the targets that received the
    request can go on with it, so their ends excuse it too, and resets of their
    connections to peers or to the target. A process that stops must exit within
    its grace, so the last sixth of it excuses what is still on its way, as the
    users' rules do, if the process did not exit before. A caller that reads
    slowly sees the end later.
    """
    began, ended = one.seen.began, one.seen.ended
    needed = {one.seen.place, *(beside if one.seen.status else ())}
    broke_off = any(
        _overlap(soak.kills_by_place[place], began, ended) for place in needed
    )
    was_reset = one.seen.status and any(
        _overlap(soak.resets_by_place[place], began, ended) for place in beside
    )
    grace_over = any(
        began <= until and since + LAST_OF_GRACE <= min(ended, until)
        for place in needed
        for since, until in soak.stops_by_place[place]
    )
    return broke_off or bool(was_reset) or grace_over


def _was_read(soak: soaks.Soak, seen: observations.Seen) -> bool:
    """Whether its connection told that a request was read."""
    if not seen.told:
        return seen.ended_after > 0
    room = soak.late(seen.began, seen.ended)
    return seen.ended_after > CROSSES_WITHIN + room


@soaks.promise("planned stops end well")
def _stops(soak: soaks.Soak) -> list[str]:
    return [f"{name} {status}" for name, status in soak.stopped if status]


@soaks.promise("no process ends by itself")
def _unexpected_ends(soak: soaks.Soak) -> list[str]:
    """Neither by a fault nor otherwise than its signal makes it end."""
    return [str(end) for end in soak.running.take_unexpected_ends()]


@soaks.promise("a leaving target gets no work")
def _drained(soak: soaks.Soak) -> list[str]:
    late = []
    for target in soak.running.target_by_name.values():
        arrivals = zip(
            target.received, target.incarnations_received, strict=True
        )
        for received, incarnation in arrivals:
            left = target.left_at_by_incarnation.get(incarnation)
            if left is not None and received.at > left + soaks.DRAIN_WITHIN:
                late.append(
                    f"{incarnation.name} {received.at - left:.1f} s after"
                )
    return late


@soaks.promise("a target that says that it leaves gets no more work")
def _left_by_word(soak: soaks.Soak) -> list[str]:
    """From no process that passed its word on, in touch or not."""
    return [
        f"{incarnation.name} from {later.place}, asked "
        f"{later.began - at:.1f} s after"
        for target in soak.running.target_by_name.values()
        for (incarnation, place, run), at in _bound_since(
            soak, target, "leaving"
        ).items()
        for later, received, received_by in _traced(soak, target)
        if received_by == incarnation
        and (later.place, later.incarnation) == (place, run)
        and later.began > at + soaks.DRAIN_WITHIN
        and not _overlap(soak.harms_by_place[place], at, received.at)
    ]


@soaks.promise("a target gets no more than the limit that it names")
def _within_named_limit(soak: soaks.Soak) -> list[str]:
    """Summed over the processes that passed its answers on."""
    return [
        f"{limit.incarnation.name} named {limit.rate:g}, got {most}"
        for limit in soak.limits
        for most in [_most_arrivals(soak, limit)]
        if most > NAMED_FACTOR * limit.rate * NAMED_COUNTED + NAMED_SLACK
    ]


def _most_arrivals(soak: soaks.Soak, limit: observations.NamedLimit) -> int:
    """The most requests within the window, from processes that are bound."""
    target = soak.running.target_by_name[limit.place]
    bound = _bound_since(soak, target, "limited", limit.began)
    times = []
    for seen, received, incarnation in _traced(soak, target):
        key = (incarnation, seen.place, seen.incarnation)
        since = bound.get(key, math.inf) + NAMED_BINDS_AFTER
        excuses = (
            *soak.harms_by_place[seen.place],
            *soak.cuts_by_place[seen.place],
        )
        is_counted = (
            incarnation == limit.incarnation
            and since <= received.at <= limit.ended
            and not _overlap(excuses, since, received.at)
        )
        if is_counted:
            times.append(received.at)
    return max(
        (
            sum(since <= at < since + NAMED_COUNTED for at in times)
            for since in times
        ),
        default=0,
    )


def _traced(soak: soaks.Soak, target):
    """Requests of a target: as callers saw them, as it did, and its run."""
    seen_by_id = {seen.id: seen for seen in soak.seen}
    name = platform_headers.PLATFORM.request_id
    arrivals = zip(target.received, target.incarnations_received, strict=True)
    for received, incarnation in arrivals:
        seen = seen_by_id.get(received.field(name).decode())
        if seen is not None:
            yield seen, received, incarnation


def _bound_since(
    soak: soaks.Soak, target, notice: str, since: float = -math.inf
) -> dict[tuple, float]:
    """When runs of processes passed on a notice of a run of a target.

    A hedged request reaches two targets, but only one of them answered it.
    """
    bound: dict[tuple, float] = {}
    for seen, _, incarnation in _traced(soak, target):
        key = (incarnation, seen.place, seen.incarnation)
        is_own = seen.answered_by == incarnation.target
        if is_own and getattr(seen, notice) and seen.ended >= since:
            bound[key] = min(bound.get(key, math.inf), seen.ended)
    return bound


def _overlap(spans, a: float, b: float) -> bool:
    return any(began <= b and a <= ended for began, ended in spans)


@soaks.promise("a target that returned gets work")
def _returned(soak: soaks.Soak) -> list[str]:
    """Its process takes it for what it is, though its name is an old one.

    One that counts as silent, or as gone, has work until its lease is over, and
    none from then on.
    """
    return [
        f"{incarnation.name} beside {place} had none for "
        f"{until - since:.1f} s, "
        f"{_came(soak, place, since, until)} requests came to {place}"
        for place, incarnation in soak.returns
        for since, until in _without_work(soak, place, incarnation)
        if _left_alone(soak, place, since, until)
        and not _meet(soak.stops_by_place[place], since, until)
    ]


@soaks.promise("an organisation has no more run than it may")
def _limited(soak: soaks.Soak) -> list[str]:
    """Over all processes, whatever befell them."""
    path = f"/{records.ORGANISATION}/ ".encode()
    at = sorted(
        received.at
        for target in soak.running.target_by_name.values()
        for received in target.received
        if path in received.head
    )
    allowed = records.RATE * (COUNTED + 1) * (1 + OVERSHOOT)
    allowed += SLACK
    worst = max(
        (sum(since <= one < since + COUNTED for one in at) for since in at),
        default=0,
    )
    over = worst > allowed
    return [f"{worst} in a window, {allowed:.0f} may"] if over else []


@soaks.promise("a target is shown no key")
def _no_key(soak: soaks.Soak) -> list[str]:
    return [
        f"{place} at {received.at:.1f}"
        for place, target in soak.running.target_by_name.items()
        for received in target.received
        if records.KEY.encode() in received.head
    ]


@soaks.promise("a request that crashes targets reaches few more")
def _held_back(soak: soaks.Soak) -> list[str]:
    """Each that it reaches crashes, so its arrivals are the crashes.

    The process beside a target lets none through, whatever entries know, if it
    was left alone for long.
    """
    arrivals = sorted(
        (received.at, place)
        for place, target in soak.running.target_by_name.items()
        for received in target.received
        if soaks.DEADLY in received.head
    )
    if len(arrivals) <= ENOUGH:
        return []
    known = arrivals[ENOUGH - 1][0] + soaks.CONTACT
    late = [
        f"{at - known:.1f} s late at {place}"
        for at, place in arrivals[ENOUGH:]
        if at > known + soak.late(known, at)
        and _left_alone(soak, place, at - soaks.CONTACT, at)
    ]
    return late if len(late) > SPARE else []


def _came(soak: soaks.Soak, place: str, since: float, until: float) -> int:
    """Requests of callers to a process: it looks after the target beside it."""
    return sum(
        1
        for seen in soak.seen
        if seen.place == place and since < seen.began < until
    )


def _without_work(
    soak: soaks.Soak, place: str, incarnation: heartbeats.TargetIncarnation
) -> list[tuple[float, float]]:
    """Spans in which a life that was known had no work for too long."""
    target = soak.running.target_by_name[place]
    known = target.known_at_by_incarnation.get(incarnation)
    if known is None:
        return []
    arrivals = zip(target.received, target.incarnations_received, strict=True)
    at = [received.at for received, found in arrivals if found == incarnation]
    ended = min(
        soak.ended_at_by_incarnation.get(incarnation, soak.over_at),
        soak.said_leaving_at_by_incarnation.get(incarnation, math.inf),
    )
    times = [known, *(when for when in at if known < when < ended), ended]
    return [
        (since, until)
        for since, until in itertools.pairwise(times)
        if until - since > soaks.WORK_WITHIN + soak.late(since, until)
    ]


@soaks.promise("the configuration never goes back")
def _forward(soak: soaks.Soak) -> list[str]:
    """A run of a process that served a version serves no older one later."""
    served = [one for one in soak.seen if one.version and one.status == 200]
    return [
        f"{late.place} served {late.version} after {early.version}"
        for late in served
        for early in served
        if (early.place, early.incarnation) == (late.place, late.incarnation)
        and early.version > late.version
        and early.ended <= late.began
    ]


@soaks.promise("a version is in force in time")
def _in_force(soak: soaks.Soak) -> list[str]:
    """What a process that was left alone answers shows no old version."""
    worst: dict[tuple[str, int], tuple[float, float]] = {}
    for seen in soak.seen:
        lacks = _lacks(soak, seen)
        if not lacks:
            continue
        at = soak.acknowledged_by_version[lacks]
        behind = seen.began - at
        room = soak.late(at, seen.ended)
        if (
            behind > IN_FORCE_WITHIN + room
            and _left_alone(soak, seen.place, at, seen.ended)
            and _had(soak, at, seen.ended)
        ):
            key = (seen.place, lacks)
            worst[key] = max(worst.get(key, (0.0, 0.0)), (behind, room))
    return [
        f"{place} lacks {version} {behind:.2f} s after, of which {room:.2f} s"
        f" are room for a busy machine{_around(soak, place, version, behind)}"
        for (place, version), (behind, room) in worst.items()
    ]


def _around(soak: soaks.Soak, place: str, version: int, behind: float) -> str:
    """What excuses no process, but tells how it came to be late."""
    at = soak.acknowledged_by_version[version]
    told = ""
    spans = soak.unserved_by_place[place]
    if any(a <= at + behind and at <= b for a, b in spans):
        told += ", not served by the store"
    before = [at - died for died in soak.died_at_by_place[place]]
    near = [f"{left:.1f}" for left in before if -behind < left < SETTLES]
    if near:
        told += f", connections dead {' and '.join(near)} s before it"
    return told


def _lacks(soak: soaks.Soak, seen: observations.Seen) -> int:
    """The least version that a process showed to lack; 0 if it showed none."""
    if seen.since and seen.status == _NO_ROUTE:
        return seen.since
    newer = seen.version + 1
    if newer in soak.acknowledged_by_version and seen.version:
        return newer if seen.status == 200 else 0
    return 0


def _left_alone(soak: soaks.Soak, place: str, a: float, b: float) -> bool:
    """Whether nothing was done to a process itself, or to all of the store."""
    spans = (
        *soak.harms_by_place[place],
        *soak.starts_by_place[place],
        *soak.cuts_by_place[place],
        *soak.cuts_by_place[""],
    )
    return not _meet(spans, a, b)


def _had(soak: soaks.Soak, a: float, b: float) -> bool:
    """Whether the store served a version to a process that was left alone."""
    return any(
        not _meet(soak.unserved_by_place[one.name], a, b)
        and _left_alone(soak, one.name, a, b)
        and not _waits_in_vain(soak, one.name, a)
        and not _meet(soak.stops_by_place[one.name], a, b)
        for one in soak.running.places
    )


def _waits_in_vain(soak: soaks.Soak, place: str, at: float) -> bool:
    """Whether a read that waits at the store may have been lost on its way.

    That excuses no process from what others can tell it, but it is none of
    these others until it gives the read up.
    """
    lost = [
        *soak.died_at_by_place[place],
        *(ended for _, ended in soak.unserved_by_place[place]),
    ]
    return any(at - GIVES_UP < when < at for when in lost)


def _meet(spans, a: float, b: float) -> bool:
    return any(began <= b and a <= ended + SETTLES for began, ended in spans)
