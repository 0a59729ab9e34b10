"""Builds the reports of a running process."""

import forklift
from forklift import expressions
from forklift import health
from forklift import invariants
from forklift import localtarget
from forklift import messages
from forklift import ownership
from forklift import report

State = messages.TargetState
_GONE = (State.DRAINING, State.LEFT)
_OUT = (State.EJECTED, State.TRIAL)


def status(node) -> report.Status:
    """What a process sees of the fleet."""
    targets = _targets(node)
    return report.Status(
        node.directory.own.name,
        forklift.VERSION,
        node.ready(),
        round(min(node.tail.away(), 1e9), 2),
        _policies(node),
        tuple(
            f"{clash.what}: kept from {clash.kept}, ignored from "
            f"{clash.ignored}"
            for clash in node.decisions.effective.clashes
        ),
        _services(node, targets),
        targets,
        _processes(node),
        _gateways(node),
        dict(invariants.broken_by_promise),
    )


def state(node) -> report.State:
    """The full dump of a process."""
    now = node.clock.monotonic()
    return report.State(
        status(node),
        tuple(explain(node, name) for name in node.guard.target_by_name),
        _leases(node, now),
        _counters(node),
        node.guard.incarnation,
        node.running(),
        node.callers.connections,
        node.decisions.entry.avoided(),
        dict(node.tail.next_by_stream),
    )


def explain(node, name: str) -> report.Explanation | None:
    """The recent decisions about a local target; None when not here."""
    target = node.guard.target_by_name.get(name)
    if target is None:
        return None
    now = node.clock.monotonic()
    return report.Explanation(
        name,
        target.service,
        node.directory.own.name,
        str(target.standing.state),
        _evidence(target.assess(now)),
        target.program.detection,
        round(target.normal.latency, 4),
        round(target.normal.failures, 4),
        target.in_flight,
        len(target.queue),
        _denial(target, now),
        tuple(_change(node, change) for change in target.standing.changes),
    )


def _denial(target: localtarget.LocalTarget, now: float) -> str:
    if target.denial is None:
        return ""
    return f"{target.denial.cause} ({now - target.denial.at:.1f} s ago)"


def _change(node, change) -> report.Change:
    offset = node.clock.wall() - node.clock.monotonic()
    evidence = _evidence(change.evidence) if change.evidence else None
    return report.Change(
        round(change.at + offset, 3),
        str(change.before),
        str(change.after),
        change.cause,
        evidence,
    )


def _evidence(found: health.Assessment) -> report.Evidence:
    return report.Evidence(
        round(found.total, 2),
        round(found.failures, 2),
        round(found.slowness, 2),
        round(found.overdue, 2),
        found.route,
    )


def _targets(node) -> tuple[report.Target, ...]:
    avoided = node.decisions.entry.avoided()
    own = node.decisions.own_services()
    return tuple(
        report.Target(
            target.name,
            target.service,
            target.domain,
            info.name,
            str(target.state),
            target.weight,
            target.latency,
            target.failures,
            avoided.get(info.name, ""),
        )
        for info in node.directory.usable()
        for target in info.targets
        if target.service in own
    )


def _gateways(node) -> dict[str, str]:
    own = node.decisions.own_services()
    return {
        target.service: info.admin
        for info in node.directory.usable()
        for target in info.targets
        if target.service not in own
    }


def _services(
    node, targets: tuple[report.Target, ...]
) -> tuple[report.Service, ...]:
    services = []
    for name in node.decisions.own_services():
        program = node.decisions.program(name)
        if program is None:
            continue
        own = [t for t in targets if t.service == name]
        known = [t for t in own if t.state not in _GONE]
        serving = [t for t in known if t.state not in _OUT]
        holder = node.decisions.owner.holder(ownership.resource(name, 0))
        services.append(
            report.Service(
                name,
                node.decisions.effective.policy_by_service[name],
                program.floor,
                len(known),
                len(serving),
                holder or "",
                node.dispatcher.retries_by_service.get(name, 0),
                node.decisions.entry.retries_refused(name),
            )
        )
    return tuple(services)


def _processes(node) -> tuple[report.Process, ...]:
    own = node.directory.own
    processes = [_process(own, "alive")]
    for member in node.directory.member_by_name.values():
        processes.append(_process(member.info, member.liveness.name.lower()))
    return tuple(sorted(processes, key=lambda process: process.name))


def _process(info: messages.ProcessInfo, liveness: str) -> report.Process:
    return report.Process(
        info.name,
        info.domain,
        liveness,
        info.config,
        info.unheard,
        info.admin,
    )


def _policies(node) -> tuple[report.PolicyVersion, ...]:
    policies = []
    for name, chain in node.decisions.configuration.chain_by_policy.items():
        publication = chain.version.publication
        if publication is None:
            continue
        policies.append(
            report.PolicyVersion(
                name, chain.version.number, publication.author, chain.certain
            )
        )
    return tuple(policies)


def _leases(node, now: float) -> tuple[report.Lease, ...]:
    ledgers = node.keyed.ledgers()
    leases = []
    for name, grant in sorted(
        node.decisions.owner.table.grant_by_resource.items()
    ):
        holding = node.decisions.owner.held(name, now)
        left = holding.until() - now if holding else 0.0
        ledger = ledgers.get(name)
        leases.append(
            report.Lease(
                name,
                grant.epoch,
                "" if grant.released else grant.holder,
                holding is not None,
                round(left, 2),
                len(ledger) if ledger is not None and holding else 0,
            )
        )
    return tuple(leases)


def _counters(node) -> report.Counters:
    return report.Counters(
        dict(node.results_by_outcome),
        {str(k): v for k, v in node.guard.refusals_by_reason.items()},
        dict(node.keyed.verdicts),
        node.dispatcher.attempts,
        node.dispatcher.retries,
        node.control.sent,
        node.control.sent_bytes,
        node.control.received,
        node.control.received_bytes,
        node.control.dropped,
        node.control.refused + node.peers_refused,
        node.log.appends,
        node.log.failures,
        node.decisions.permits.granted,
        node.decisions.permits.denied,
        dict(invariants.checks_by_promise),
        dict(expressions.failures_by_expression),
    )
