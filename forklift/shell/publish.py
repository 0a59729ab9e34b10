"""Publishes policies: checks, appends, and reads back who won."""

import asyncio
import secrets

from forklift import effective
from forklift import errors
from forklift import messages
from forklift import policy
from forklift import report
from forklift.shell import tail

DECIDED_WITHIN = 10.0
APPEND_AGAIN = 3.0
POLL = 0.02
State = messages.TargetState


class Publisher:
    """Publishes on behalf of operators, through one process."""

    def __init__(self, node):
        self._node = node

    async def publish(self, request: report.PublishRequest) -> report.Published:
        """Publishes a policy and returns who holds its version.

        Raises:
            errors.UserError: It holds mistakes, or was not decided in time.
        """
        read = policy.parse("policy", request.text)
        current = self._node.decisions.configuration.version(read.name)
        builds_on = request.builds_on
        if builds_on < 0:
            builds_on = current.number
        changes = self._changes(read, current)
        warnings = self._warnings(read)
        if request.dry_run:
            author = current.publication.author if current.publication else ""
            return report.Published(
                False, read.name, current.number, author, changes, warnings
            )
        self._refuse_clashes(read)
        publication = messages.Publication(
            secrets.token_hex(16),
            read.name,
            builds_on,
            request.author,
            request.text,
        )
        decision = await self._append_until_decided(publication)
        return report.Published(
            decision.accepted,
            read.name,
            decision.version,
            decision.winner,
            changes,
            warnings,
        )

    async def _append_until_decided(self, publication: messages.Publication):
        """Appends once; a lost answer is found by reading.

        Appending again is safe even where the first one arrives late: the
        same identity can't come into force twice.
        """
        loop = asyncio.get_running_loop()
        ends = loop.time() + DECIDED_WITHIN
        data = messages.encode(publication)
        cause = "no record of it was read"
        while loop.time() < ends:
            again = loop.time() + APPEND_AGAIN
            try:
                await self._node.log.append(tail.CONFIG, data)
            except errors.LogUnavailable as error:
                cause = str(error)
            while loop.time() < min(again, ends):
                decision = self._node.decisions.configuration.decision(
                    publication.id
                )
                if decision is not None:
                    return decision
                await asyncio.sleep(POLL)
        raise errors.UserError(
            f"not decided within {DECIDED_WITHIN:g} s ({cause}); it may still "
            "come into force: look with 'forklift status' before publishing "
            "again"
        )

    def _refuse_clashes(self, read: policy.Policy) -> None:
        merged = dict(self._node.decisions.policy_by_name)
        merged[read.name] = read
        clashes = effective.merge(merged).clashes
        own = [c for c in clashes if read.name in (c.kept, c.ignored)]
        if own:
            clash = own[0]
            other = clash.kept if clash.ignored == read.name else clash.ignored
            raise errors.UserError(
                f"{clash.what} is declared by policy {other} too; "
                "declare it in one policy only"
            )

    def _changes(self, read: policy.Policy, current) -> tuple[str, ...]:
        before = policy.Policy(read.name, {}, ())
        if current.publication is not None:
            before = policy.parse("in force", current.publication.text)
        return tuple(policy.differences(before, read))

    def _warnings(self, read: policy.Policy) -> tuple[str, ...]:
        """Floors that the targets known now can't meet."""
        warnings = []
        for name, service in read.services_by_name.items():
            known = sum(
                1
                for info in self._node.directory.usable()
                for target in info.targets
                if target.service == name
                and target.state not in (State.DRAINING, State.LEFT)
            )
            if known < service.floor:
                warnings.append(
                    f"service {name}: floor {service.floor} but {known} "
                    "targets known here; nothing can be ejected"
                )
            elif known == service.floor:
                warnings.append(
                    f"service {name}: floor {service.floor} equals the "
                    f"{known} targets known here; nothing can be ejected"
                )
        return tuple(warnings)
