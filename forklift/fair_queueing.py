"""Start-time fair queueing of requests that wait for one target.

Handles the load in which one organisation, or a more urgent priority, sends
more than the target can run while others send as usual. Without it, the queue
of the target is ordered by priority, soft deadline and arrival, so that whoever
sends most gets most.

Within a priority, the organisations share the target's time in proportion to
their weights, measured in expected seconds of work. Among priorities, the more
urgent go first, but each less urgent one that waits keeps a minimum share of
the started work. Requests that can still meet their objective go before those
of their priority that can't.

Every target's process decides from its own queue. The requests of an
organisation are spread over many targets, so its share of a service is the mean
of its shares there, and no process needs to know what happens at another one.
"""

import collections
import dataclasses
import heapq
import math
from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

# Upper bound on the sum of the floors of the waiting less urgent priorities, so
# that the most urgent one gets at least as much as all others together.
MAX_FLOOR_SUM = 0.5
# Weight of an organisation without a usable one.
DEFAULT_WEIGHT = 1.0
# Maximum number of priorities whose credit is kept, so that unusual priorities
# in the requests of peers do not use up memory.
MAX_PRIORITIES = 16
# Weight of the latest start in the share of a flow. The share then reflects the
# last 16 starts or so: a second or two of a target with a few slots.
SHARE_GAIN = 1 / 16
# Lower bound on the share that is assumed of a flow, so that its expected wait
# stays finite.
MIN_SHARE = 0.02
# Maximum number of flows without waiting requests whose shares are kept.
MAX_IDLE_SHARES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What the decisions depend on; read anew at each decision.

    Attributes:
        is_enabled: Returns whether overload control is in force.
        weight: Returns the weight of an organisation.
        floor: Returns the share of the started work that each waiting priority
            keeps.
    """

    is_enabled: Callable[[], bool]
    weight: Callable[[str], float]
    floor: Callable[[], float]


OFF = Rules(lambda: False, lambda organisation: DEFAULT_WEIGHT, lambda: 0.0)


@dataclasses.dataclass(slots=True)
class Candidate:
    """A request that waits, with what its place depends on.

    Attributes:
        ticket: The request, with `id`, `priority`, `soft_deadline` and
            `organisation`.
        arrival: Increases with each request that is queued.
        seconds: Expected seconds of work.
        in_time: Whether the request would meet its objective if it started now.
    """

    ticket: object
    arrival: int
    seconds: float
    in_time: bool = True


@dataclasses.dataclass(slots=True)
class _Flow:
    """Requests of one organisation with one priority.

    Attributes:
        finish: Finish tag of its last started request.
        weight: Weight by which the tag was computed.
        running: Number of its requests that run.
    """

    finish: float
    weight: float
    running: int = 0


class _PriorityClass:
    """Virtual time and flows of one priority."""

    def __init__(self):
        self.virtual_time = 0.0
        self.flow_by_organisation: dict[str, _Flow] = {}

    def start_tag(self, organisation: str, weight: float) -> float:
        """Start tag of the next request of an organisation.

        A changed weight applies to what the organisation has had in advance as
        well. An organisation whose weight was very low would otherwise remain
        behind all others for long after its weight has been raised.
        """
        flow = self.flow_by_organisation.get(organisation)
        if flow is None or flow.finish <= self.virtual_time:
            return self.virtual_time
        if flow.weight != weight:
            ahead = (flow.finish - self.virtual_time) * flow.weight
            flow.finish = self.virtual_time + ahead / weight
            flow.weight = weight
        return flow.finish


class FairQueueing:
    """Order of the requests that wait for one target.

    The queue itself is kept by the caller. Tags are derived from the started
    requests only, so a request that is cancelled or refused while it waits
    costs its organisation nothing.
    """

    def __init__(self, rules: Rules):
        """Creates a scheduler for which nothing has started.

        Args:
            rules: What the decisions depend on.
        """
        self._rules = rules
        self._class_by_priority: dict[int, _PriorityClass] = {}
        # Seconds of work that a priority may start before more urgent ones;
        # negative after it has started more than its share.
        self._credit_by_priority: dict[int, float] = {}
        self._flow_by_running_id: dict[object, tuple[int, str]] = {}
        # By priority and organisation; None is for the whole priority.
        self._share_by_flow: dict[tuple[int, str | None], float] = {}

    def share(self, priority: int, organisation: str | None = None) -> float:
        """Share of the recent starts that a flow had.

        A flow is the requests of one priority, or of one organisation within
        it. Only starts for which the flow had to wait count, so the share is 1
        without competition. Requests that arrive later may start earlier, so
        the queue alone does not tell how long the last request of a long flow
        will wait.

        Args:
            priority: The priority.
            organisation: The organisation; None for the whole priority.
        """
        share = self._share_by_flow.get((priority, organisation), 1.0)
        return max(MIN_SHARE, share)

    def order(self, candidates: Sequence[Candidate]) -> Iterator[Candidate]:
        """Yields requests in the order in which they would start.

        Args:
            candidates: All requests that wait, sorted by priority, soft
                deadline and arrival.
        """
        by_priority: dict[int, list[Candidate]] = {}
        for candidate in candidates:
            by_priority.setdefault(candidate.ticket.priority, []).append(
                candidate
            )
        streams = {
            priority: self._order_class(priority, waiting)
            for priority, waiting in by_priority.items()
        }
        left = {priority: len(found) for priority, found in by_priority.items()}
        credit = self._credit_by_priority.copy()
        while len(streams) > 1:
            waiting = sorted(streams)
            chosen = _choose_priority(waiting, credit)
            candidate = next(streams[chosen])
            yield candidate
            self._account(credit, waiting, chosen, candidate.seconds)
            left[chosen] -= 1
            if not left[chosen]:
                del streams[chosen]
        for stream in streams.values():
            yield from stream

    def record_start(
        self, ticket, seconds: float, waiting: Sequence = ()
    ) -> None:
        """Charges a request that starts to its organisation and priority.

        Args:
            ticket: The request.
            seconds: Expected seconds of work.
            waiting: The requests that wait, this one included; empty if the
                request did not have to wait.
        """
        if waiting:
            priorities = sorted({other.priority for other in waiting})
            self._account(
                self._credit_by_priority, priorities, ticket.priority, seconds
            )
            self._limit_credits(priorities)
            self._update_shares(ticket, waiting)
        else:
            # Nothing waits, so no priority is kept from starting.
            self._credit_by_priority.clear()
            self._share_by_flow.clear()
        if not ticket.organisation:
            return
        priority, organisation = ticket.priority, ticket.organisation
        found = self._class_by_priority.setdefault(priority, _PriorityClass())
        weight = self._weight(organisation)
        start = found.start_tag(organisation, weight)
        found.virtual_time = start
        finish = start + seconds / weight
        flow = found.flow_by_organisation.get(organisation)
        if flow is None:
            flow = _Flow(finish, weight)
            found.flow_by_organisation[organisation] = flow
        flow.finish, flow.weight = finish, weight
        flow.running += 1
        self._flow_by_running_id[ticket.id] = priority, organisation

    def record_end(self, ticket, waiting: Iterable) -> None:
        """Records that a started request has ended.

        Args:
            ticket: The request.
            waiting: The requests that wait.
        """
        key = self._flow_by_running_id.pop(ticket.id, None)
        if key is None:
            # It started while overload control was off.
            return
        priority, organisation = key
        found = self._class_by_priority[priority]
        found.flow_by_organisation[organisation].running -= 1
        self._drop_if_unused(priority, organisation, waiting)

    def record_removal(self, ticket, waiting: Iterable) -> None:
        """Records that a request no longer waits, and has not started.

        Args:
            ticket: The request.
            waiting: The requests that still wait.
        """
        self._drop_if_unused(ticket.priority, ticket.organisation, waiting)

    def clear(self) -> None:
        """Forgets all tags, as overload control is off."""
        self._class_by_priority.clear()
        self._credit_by_priority.clear()
        self._flow_by_running_id.clear()
        self._share_by_flow.clear()

    @property
    def flow_count(self) -> int:
        """Number of organisations with tags, counted per priority."""
        return sum(
            len(found.flow_by_organisation)
            for found in self._class_by_priority.values()
        )

    def _order_class(
        self, priority: int, waiting: list[Candidate]
    ) -> Iterator[Candidate]:
        """Yields the requests of one priority in order.

        Serving late requests first would make those behind them late as well.
        """
        found = self._class_by_priority.get(priority) or _PriorityClass()
        virtual_time = found.virtual_time
        finish_by_organisation: dict[str, float] = {}
        for in_time in (True, False):
            part = [one for one in waiting if one.in_time is in_time]
            if part:
                virtual_time = yield from self._order_part(
                    found, part, virtual_time, finish_by_organisation
                )

    def _order_part(
        self,
        found: _PriorityClass,
        part: list[Candidate],
        virtual_time: float,
        finish_by_organisation: dict[str, float],
    ) -> Generator[Candidate, None, float]:
        """Yields requests in the order of their start tags.

        Args:
            found: The priority of the requests.
            part: The requests, sorted by soft deadline and arrival.
            virtual_time: Virtual time at which the first of them starts.
            finish_by_organisation: Finish tags of organisations whose requests
                were yielded before; updated.

        Returns:
            Virtual time after their starts.
        """
        queued_by_organisation: dict[str, collections.deque[Candidate]] = {}
        weight_by_organisation: dict[str, float] = {}
        heads = []
        for one in part:
            organisation = one.ticket.organisation
            queued = queued_by_organisation.get(organisation)
            if queued is not None:
                queued.append(one)
                continue
            tag = virtual_time
            if organisation:
                queued_by_organisation[organisation] = collections.deque()
                weight = self._weight(organisation)
                weight_by_organisation[organisation] = weight
                finish = finish_by_organisation.get(organisation)
                if finish is None:
                    finish = found.start_tag(organisation, weight)
                tag = max(virtual_time, finish)
            heads.append((tag, one.ticket.soft_deadline, one.arrival, one))
        heapq.heapify(heads)
        while heads:
            tag, _, _, one = heads[0]
            virtual_time = tag
            organisation = one.ticket.organisation
            if organisation:
                tag += one.seconds / weight_by_organisation[organisation]
                finish_by_organisation[organisation] = tag
            queued = queued_by_organisation.get(organisation)
            if queued:
                head = queued.popleft()
                entry = (tag, head.ticket.soft_deadline, head.arrival, head)
                heapq.heapreplace(heads, entry)
            else:
                heapq.heappop(heads)
            yield one
        return virtual_time

    def _account(
        self,
        credit_by_priority: dict[int, float],
        waiting: list[int],
        started: int,
        seconds: float,
    ) -> None:
        """Updates what the priorities may start.

        A priority that has started more than its share makes up for it also
        while none of its requests wait. Otherwise its next request would be
        refused because of its long wait, and the wait would never end. Beyond
        that, it earns nothing then, or it would delay more urgent requests
        without having waited for them.

        Args:
            credit_by_priority: Seconds of work by priority; updated.
            waiting: The waiting priorities, most urgent first.
            started: Priority of the request that starts.
            seconds: Its expected seconds of work.
        """
        less_urgent = waiting[1:]
        floor = min(
            self._rules.floor(), MAX_FLOOR_SUM / max(1, len(less_urgent))
        )
        for priority in set(credit_by_priority) - set(less_urgent):
            credit = credit_by_priority[priority] + floor * seconds
            credit_by_priority[priority] = min(credit, 0.0)
        for priority in less_urgent:
            credit = credit_by_priority.get(priority, 0.0)
            credit_by_priority[priority] = credit + floor * seconds
        if started != waiting[0]:
            credit_by_priority[started] -= seconds

    def _limit_credits(self, waiting: list[int]) -> None:
        credits = self._credit_by_priority
        if len(credits) > MAX_PRIORITIES:
            for priority in set(credits) - set(waiting):
                del credits[priority]

    def _update_shares(self, ticket, waiting: Sequence) -> None:
        """Updates the shares of the flows that wait."""
        shares = self._share_by_flow
        flows = {(other.priority, other.organisation) for other in waiting}
        flows |= {(other.priority, None) for other in waiting}
        started = (
            (ticket.priority, ticket.organisation),
            (ticket.priority, None),
        )
        for flow in flows:
            share = shares.get(flow, 1.0)
            shares[flow] = share + SHARE_GAIN * ((flow in started) - share)
        if len(shares) > len(flows) + MAX_IDLE_SHARES:
            for flow in set(shares) - flows:
                del shares[flow]

    def _weight(self, organisation: str) -> float:
        weight = self._rules.weight(organisation)
        usable = weight > 0 and math.isfinite(weight)
        return weight if usable else DEFAULT_WEIGHT

    def _drop_if_unused(
        self, priority: int, organisation: str, waiting: Iterable
    ) -> None:
        """Drops the tag of an organisation without requests at the target."""
        found = self._class_by_priority.get(priority)
        flow = found and found.flow_by_organisation.get(organisation)
        if not flow or flow.running:
            return
        if any(
            other.organisation == organisation and other.priority == priority
            for other in waiting
        ):
            return
        del found.flow_by_organisation[organisation]
        if not found.flow_by_organisation:
            del self._class_by_priority[priority]


def _choose_priority(
    waiting: list[int], credit_by_priority: dict[int, float]
) -> int:
    """Returns the priority to start next.

    Args:
        waiting: The waiting priorities, most urgent first.
        credit_by_priority: Seconds of work that a priority may start before
            more urgent ones.

    >>> _choose_priority([0, 1, 2], {1: -0.2, 2: 0.1})
    2
    """
    for priority in waiting[1:]:
        if credit_by_priority.get(priority, 0.0) > 0:
            return priority
    return waiting[0]
