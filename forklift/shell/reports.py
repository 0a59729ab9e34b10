"""Builds the reports of the admin interface from a running process."""

import collections

import forklift
from forklift import admission
from forklift import invariants
from forklift import report
from forklift import room_usage
from forklift.shell import local_targets

# Maximum number of organisations that a state dump lists by name. The others,
# which have the fewest requests, are summed up without a name.
MAX_LISTED_ORGANISATIONS = 20
# Maximum number of services whose admission level a state dump lists.
MAX_LISTED_LEVELS = 20


def build_status(proxy) -> report.Status:
    """Returns the fleet as seen by a process."""
    return report.Status(
        proxy.directory.own.name,
        forklift.VERSION,
        proxy.ready(),
        proxy.active_catalog.catalog.version,
        proxy.policy.name,
        _targets(proxy),
        _processes(proxy),
        dict(invariants.violations_by_invariant),
    )


def build_state_dump(proxy) -> report.StateDump:
    """Returns the complete state of a process."""
    requests = {
        "/".join(part for part in key if part): count
        for key, count in proxy.counters.requests_by_outcome.items()
    }
    return report.StateDump(
        build_status(proxy),
        tuple(
            explain_target(proxy, name) for name in proxy.local_targets.by_name
        ),
        requests,
        {
            service: proxy.balancer.retry_budgets.refused(service)
            for service in proxy.active_catalog.catalog.services_by_name
        },
        {"all": proxy.forwarder.attempts, "repeats": proxy.forwarder.retries},
        proxy.running(),
        proxy.ingress.connections,
        proxy.incarnation,
        _quarantine_seconds_by_fingerprint(proxy),
        {"calls": proxy.store.calls, "failures": proxy.store.failures},
        _organisation_usages(proxy),
        _retries_by_service(proxy),
        {
            f"{rank}/{cause}/{verdict}": count
            for (rank, cause, verdict), count in (
                proxy.forwarder.retry_allocation.count_by_decision.items()
            )
        },
        proxy.run_calls.counts(),
        _called_routes(proxy),
        tuple(
            report.LimitRefusals(
                name,
                {
                    str(key): count
                    for key, count in tally.count_by_cause.items()
                },
                round(tally.within, 1),
            )
            for name, tally in proxy.rate_limiter.limiter.quota.refusals.items()
        ),
        _admission_levels(proxy),
        _held_routes(proxy),
    )


def _retries_by_service(proxy) -> dict[str, report.ServiceRetries]:
    now = proxy.clock.monotonic()
    budgets = proxy.balancer.retry_budgets
    shares = proxy.forwarder.retry_allocation.rejected_share_by_service(now)
    return {
        service: report.ServiceRetries(
            rejected,
            round(budgets.usable(service, now), 2),
            round(budgets.used(service, now), 2),
        )
        for service, rejected in shares.items()
    }


def _organisation_usages(proxy) -> tuple[report.OrganisationUsage, ...]:
    quota = proxy.rate_limiter.limiter.quota
    now = proxy.clock.monotonic()
    usages = []
    for name, usage in quota.usage_by_organisation.items():
        limit = proxy.active_catalog.catalog.organisation(name)
        usages.append(
            report.OrganisationUsage(
                name,
                usage.admitted,
                usage.refused,
                limit.rate if limit is not None else 0.0,
                round(quota.leased_share(name, now), 4),
                round(usage.rate(now), 2),
            )
        )
    usages.sort(key=lambda usage: (-usage.admitted - usage.refused, usage.name))
    unlisted = usages[MAX_LISTED_ORGANISATIONS:]
    if unlisted:
        admitted = sum(usage.admitted for usage in unlisted)
        refused = sum(usage.refused for usage in unlisted)
        usages[MAX_LISTED_ORGANISATIONS:] = [
            report.OrganisationUsage("", admitted, refused)
        ]
    return tuple(usages)


def _admission_levels(proxy) -> tuple[report.AdmissionLevel, ...]:
    levels = [
        report.AdmissionLevel(
            service,
            level.level,
            level.admitted_by_priority,
            level.refused_by_priority,
        )
        for service, level in proxy.forwarder.ingress_admission.read().items()
    ]
    levels.sort(key=lambda level: (-sum(level.refused.values()), level.service))
    return tuple(levels[:MAX_LISTED_LEVELS])


def _quarantine_seconds_by_fingerprint(proxy) -> dict[str, float]:
    now = proxy.clock.monotonic()
    return {
        fingerprint.hex(): round(
            proxy.quarantine.quarantined_for(fingerprint, now), 1
        )
        for fingerprint in proxy.quarantine.quarantined(now)
    }


def explain_target(proxy, name: str) -> report.TargetExplanation | None:
    """Explains the state of a target; None if the process does not own it."""
    local_target = proxy.local_targets.by_name.get(name)
    if local_target is None:
        return None
    controller = local_target.controller
    load = controller.load(proxy.clock.monotonic())
    return report.TargetExplanation(
        name,
        controller.service,
        proxy.directory.own.name,
        str(load.state),
        str(controller.health.signal),
        controller.running,
        controller.waiting,
        controller.slots,
        load.idle,
        load.unhealthy_probability,
        controller.latencies.medians_by_route(),
        {
            str(reason): count
            for reason, count in controller.refusals_by_reason.items()
        },
        _ejection_changes(proxy, local_target),
        controller.rate_limit.finite_rate,
        controller.starts,
        tuple(
            called
            for called in _called_routes(proxy)
            if controller.latencies.get(called.route) is not None
        ),
        controller.call_reserve.reserved(
            controller.slots, proxy.clock.monotonic()
        ),
        _room_shares(controller, proxy.clock.monotonic()),
        tuple(
            held
            for held in _held_routes(proxy)
            if controller.latencies.get(held.route) is not None
        ),
    )


def _held_routes(proxy) -> tuple[report.HeldRoute, ...]:
    now = proxy.clock.monotonic()
    return tuple(
        report.HeldRoute(held.route, held.share, held.held)
        for held in proxy.run_calls.held_routes(now)
    )


def _called_routes(proxy) -> tuple[report.CalledRoute, ...]:
    now = proxy.clock.monotonic()
    return tuple(
        report.CalledRoute(
            called.route,
            called.called_route,
            called.service,
            called.calls_per_run,
            called.seconds,
            called.rejected,
        )
        for called in proxy.run_calls.profile.called_routes(now)
    )


def _room_shares(
    controller: admission.Controller, now: float
) -> report.RoomShares:
    usage, tickets = controller.queue.usage, controller.queue.tickets
    waiting = collections.Counter(ticket.organisation for ticket in tickets)
    count = MAX_LISTED_ORGANISATIONS
    return report.RoomShares(
        controller.queue.is_fair(),
        _by_text(usage.starts_by_priority),
        _by_text(usage.refusals_by_priority),
        _by_text(collections.Counter(ticket.priority for ticket in tickets)),
        room_usage.busiest(waiting, count),
        usage.displaced,
        {
            name: round(number, 2)
            for name, number in usage.displaced_by_organisation.busiest(
                count, now
            ).items()
        },
        {
            name: round(seconds / room_usage.RECENT_SECONDS, 4)
            for name, seconds in usage.work_by_organisation.busiest(
                count, now
            ).items()
        },
    )


def work_by_organisation(proxy) -> dict[str, float]:
    """Seconds of work started per second on the targets of a process.

    Returns:
        Work of the busiest organisations by name, and the sum of the others.
    """
    now = proxy.clock.monotonic()
    work: collections.Counter[str] = collections.Counter()
    for local_target in proxy.local_targets.by_name.values():
        usage = local_target.controller.queue.usage
        work.update(
            usage.work_by_organisation.busiest(
                room_usage.MAX_ORGANISATIONS, now
            )
        )
    return {
        name: seconds / room_usage.RECENT_SECONDS
        for name, seconds in room_usage.busiest(
            work, MAX_LISTED_ORGANISATIONS
        ).items()
    }


def _by_text(count_by_priority: dict[int, int]) -> dict[str, int]:
    return {
        str(priority): count
        for priority, count in sorted(count_by_priority.items())
    }


def _ejection_changes(
    proxy, local_target: local_targets.LocalTarget
) -> tuple[report.EjectionChange, ...]:
    wall_offset = proxy.clock.wall() - proxy.clock.monotonic()
    return tuple(
        report.EjectionChange(
            round(change.at + wall_offset, 3),
            change.ejected,
            str(change.signal),
            change.unhealthy_probability,
        )
        for change in local_target.controller.health.changes
    )


def _targets(proxy) -> tuple[report.Target, ...]:
    unreachable_causes = proxy.balancer.reachability.unreachable_causes()
    now = proxy.clock.monotonic()
    return tuple(
        report.Target(
            view.name,
            service,
            view.process,
            view.same_domain,
            str(view.state(now)),
            round(view.load(now), 1),
            view.slots,
            unreachable_causes.get(view.process, ""),
        )
        for service in proxy.balancer.services()
        for view in proxy.balancer.views(service)
    )


def _processes(proxy) -> tuple[report.Process, ...]:
    own = proxy.directory.own
    processes = [
        report.Process(own.name, own.domain, own.admin, "self", own.config)
    ]
    for name, member in sorted(proxy.directory.member_by_name.items()):
        info = member.info
        liveness = member.liveness.name.lower()
        processes.append(
            report.Process(name, info.domain, info.admin, liveness, info.config)
        )
    return tuple(processes)
