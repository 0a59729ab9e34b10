"""What is in force as a whole: the union of all policies.

A service or route that two policies declare belongs to the policy whose name
sorts first, on every process alike; the other declaration is reported.
"""

import dataclasses

from forklift import policy
from forklift import routing


@dataclasses.dataclass(frozen=True)
class Clash:
    """One thing that two policies declare.

    Attributes:
        what: The service or route.
        kept: Policy whose declaration counts.
        ignored: Policy whose declaration does not.
    """

    what: str
    kept: str
    ignored: str


@dataclasses.dataclass(frozen=True)
class Effective:
    """The union of all policies.

    Attributes:
        services_by_name: Programs in force.
        policy_by_service: Name of the policy that declares a service.
        routes: Routes in force.
        clashes: Declarations that don't count.
    """

    services_by_name: dict[str, policy.Service]
    policy_by_service: dict[str, str]
    routes: routing.Table
    clashes: tuple[Clash, ...]


NOTHING = Effective({}, {}, routing.Table(()), ())


def merge(policy_by_name: dict[str, policy.Policy]) -> Effective:
    """Builds the union of some policies."""
    services: dict[str, policy.Service] = {}
    owner: dict[str, str] = {}
    clashes: list[Clash] = []
    routes: list[routing.Route] = []
    owner_by_place: dict[tuple[str, str], str] = {}
    for name in sorted(policy_by_name):
        declared = policy_by_name[name]
        for service, program in declared.services_by_name.items():
            if service in services:
                what = f"service {service}"
                clashes.append(Clash(what, owner[service], name))
                continue
            services[service] = program
            owner[service] = name
        for route in declared.routes:
            place = (route.host, routing.normalise_prefix(route.prefix))
            if place in owner_by_place:
                what = f"route {route.host}{route.prefix}"
                clashes.append(Clash(what, owner_by_place[place], name))
                continue
            owner_by_place[place] = name
            routes.append(route)
    return Effective(services, owner, routing.Table(routes), tuple(clashes))
