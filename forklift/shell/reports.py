"""Builds the reports of a running process."""

import forklift
from forklift import invariants
from forklift import report
from forklift.shell import local_targets

# Organisations that a dump lists by name.
MAX_LISTED_ORGANISATIONS = 20


def build_status(proxy) -> report.Status:
    """What a process sees of the fleet."""
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
    """The full dump of a process."""
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
            service: proxy.balancer.retries_refused(service)
            for service in proxy.active_catalog.catalog.services_by_name
        },
        {"all": proxy.forwarder.attempts, "repeats": proxy.forwarder.retries},
        proxy.running(),
        proxy.ingress.connections,
        proxy.incarnation,
        _held(proxy),
        {"calls": proxy.store.calls, "failures": proxy.store.failures},
        _organisations(proxy),
    )


def _organisations(proxy) -> tuple[report.OrganisationUsage, ...]:
    quota = proxy.rate_limiter.limiter.quota
    now = proxy.clock.monotonic()
    found = []
    for name, use in quota.usage_by_organisation.items():
        limit = proxy.active_catalog.catalog.organisation(name)
        found.append(
            report.OrganisationUsage(
                name,
                use.admitted,
                use.refused,
                limit.rate if limit is not None else 0.0,
                round(quota.leased_share(name, now), 4),
                round(use.rate(now), 2),
            )
        )
    found.sort(key=lambda one: (-one.admitted - one.refused, one.name))
    rest = found[MAX_LISTED_ORGANISATIONS:]
    if rest:
        admitted = sum(one.admitted for one in rest)
        refused = sum(one.refused for one in rest)
        found[MAX_LISTED_ORGANISATIONS:] = [
            report.OrganisationUsage("", admitted, refused)
        ]
    return tuple(found)


def _held(proxy) -> dict[str, float]:
    now = proxy.clock.monotonic()
    return {
        one.hex(): round(proxy.quarantine.quarantined_for(one, now), 1)
        for one in proxy.quarantine.quarantined(now)
    }


def explain_target(proxy, name: str) -> report.TargetExplanation | None:
    """Why a target beside this process stands so; None when not here."""
    local_target = proxy.local_targets.by_name.get(name)
    if local_target is None:
        return None
    found = local_target.controller
    load = found.load(proxy.clock.monotonic())
    return report.TargetExplanation(
        name,
        found.service,
        proxy.directory.own.name,
        str(load.state),
        str(found.health.signal),
        found.running,
        found.waiting,
        found.slots,
        load.idle,
        load.unhealthy_probability,
        found.latencies.medians_by_route(),
        {str(r): count for r, count in found.refusals_by_reason.items()},
        _changes(proxy, local_target),
    )


def _changes(
    proxy, local_target: local_targets.LocalTarget
) -> tuple[report.EjectionChange, ...]:
    offset = proxy.clock.wall() - proxy.clock.monotonic()
    return tuple(
        report.EjectionChange(
            round(change.at + offset, 3),
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
    found = [
        report.Process(own.name, own.domain, own.admin, "self", own.config)
    ]
    for name, member in sorted(proxy.directory.member_by_name.items()):
        info = member.info
        liveness = member.liveness.name.lower()
        found.append(
            report.Process(name, info.domain, info.admin, liveness, info.config)
        )
    return tuple(found)
