"""Policy programs: what operators declare of services, and its checks.

A policy is one INI file: a [policy] section, a [service NAME] section for
each service with its spread, health and retry programs, and a [route NAME]
section for each route.
"""

import dataclasses
import functools

from forklift import errors
from forklift import expressions
from forklift import ini
from forklift import routing

# Evidence that ejects a target, in nats of log-likelihood ratio. Each preset
# stands at a place of the trade-off in docs/MEASURES.md.
EVIDENCE_BY_PRESET = {"fast": 11.0, "balanced": 14.0, "steady": 18.0}
MIN_EVIDENCE = 2.0
MAX_EVIDENCE = 100.0

_REQUEST_SAMPLE = {"method": "GET", "path": "/"}
_ANSWER_SAMPLE = {"status": 200}
_RETRY_SAMPLE = {
    "attempt": 1,
    "status": 503,
    "outcome": "answered",
    "reason": "",
    "repeatable": True,
    "method": "GET",
    "remaining": 1.0,
}
_WEIGHT_SAMPLE = {
    "load": 0.5,
    "slots": 4,
    "same_domain": True,
    "state": "in-service",
}


def _expression(sample: dict[str, object], default: bool | float):
    def parse(text: str) -> expressions.Expression:
        try:
            return expressions.Expression(text, sample, default)
        except expressions.ExpressionError as error:
            raise ValueError(str(error)) from error

    return parse


def _compiled(
    text: str, sample: dict[str, object], default: bool | float
) -> expressions.Expression:
    return expressions.Expression(text, sample, default)


def _detection(value: str) -> float:
    word = value.strip()
    if word in EVIDENCE_BY_PRESET:
        return EVIDENCE_BY_PRESET[word]
    try:
        return ini.number(MIN_EVIDENCE, MAX_EVIDENCE)(word)
    except ValueError as error:
        presets = ", ".join(EVIDENCE_BY_PRESET)
        raise ValueError(f"give {presets}, or {error}") from error


_request = _expression(_REQUEST_SAMPLE, False)
_answer = _expression(_ANSWER_SAMPLE, True)
_retry = _expression(_RETRY_SAMPLE, False)
_weight = _expression(_WEIGHT_SAMPLE, 1.0)

_SAFE = "method in ['GET', 'HEAD', 'OPTIONS']"
_FAILED = "status >= 500 && status != 503 && status != 501"
_RETRIED = (
    "outcome == 'not-run' || (repeatable && (outcome == 'unknown' || "
    "status in [500, 502, 503, 504]))"
)


@dataclasses.dataclass(frozen=True)
class Service:
    """Section [service NAME]."""

    name: str
    floor: int = ini.key(
        ini.whole(0, 100_000),
        "targets that must stay in service, whatever is ejected",
    )
    deadline: float = ini.key(
        ini.number(0.05, 60), "seconds a request may take in all", 10.0
    )
    spread: str = ini.key(
        ini.one_of(
            "round-robin",
            "least-loaded",
            "power-of-two",
            "same-domain",
            "nearest-free",
            "proven-first",
        ),
        "how a target is picked",
        "power-of-two",
    )
    weight: expressions.Expression = ini.key(
        _weight,
        "factor on a target's share, from load, slots, same_domain, state",
        _compiled("1.0", _WEIGHT_SAMPLE, 1.0),
    )
    detection: float = ini.key(
        _detection,
        "evidence that ejects: fast, balanced, steady, or a number",
        EVIDENCE_BY_PRESET["balanced"],
    )
    failure: expressions.Expression = ini.key(
        _answer,
        "whether an answer counts as a failure, from status",
        _compiled(_FAILED, _ANSWER_SAMPLE, True),
    )
    repeatable: expressions.Expression = ini.key(
        _request,
        "whether a request may run twice, from method and path",
        _compiled(_SAFE, _REQUEST_SAMPLE, False),
    )
    retry: expressions.Expression = ini.key(
        _retry,
        "whether to try another target, from attempt, status, outcome, "
        "reason, repeatable, method, remaining",
        _compiled(_RETRIED, _RETRY_SAMPLE, False),
    )
    attempts: int = ini.key(
        ini.whole(1, 5), "targets that one request may be sent to", 3
    )
    retry_share: float = ini.key(
        ini.number(0, 1), "retries allowed for each request", 0.1
    )
    limit: str = ini.key(
        ini.one_of("fixed", "gradient"), "how many run at once", "fixed"
    )
    queue: str = ini.key(
        ini.one_of("fifo", "lifo", "codel"),
        "which waiting request goes first",
        "fifo",
    )
    max_wait: float = ini.key(
        ini.number(0, 60), "seconds a request may wait at a guard", 1.0
    )
    key_memory: float = ini.key(
        ini.number(1, 604_800),
        "seconds an idempotency key is remembered; at most the log's retention",
        3600.0,
    )

    def is_repeatable(self, method: str, path: str) -> bool:
        """Whether a request may run twice."""
        return bool(self.repeatable.evaluate(method=method, path=path))

    def is_failure(self, status: int) -> bool:
        """Whether an answer counts as a failure of its target."""
        return _is_failure(self.failure, status)


@functools.lru_cache(maxsize=4096)
def _is_failure(failure: expressions.Expression, status: int) -> bool:
    return bool(failure.evaluate(status=status))


@dataclasses.dataclass(frozen=True)
class RouteSection:
    """Section [route NAME]."""

    name: str
    service: str = ini.key(ini.name, "service that serves it")
    host: str = ini.key(ini.text, "host, or * for every host", routing.ANY_HOST)
    prefix: str = ini.key(ini.text, "path prefix of whole segments", "/")


@dataclasses.dataclass(frozen=True)
class Header:
    """Section [policy]."""

    name: str = ini.key(ini.name, "name of the policy")


@dataclasses.dataclass(frozen=True)
class Policy:
    """A checked policy.

    Attributes:
        name: Its name.
        services_by_name: The services.
        routes: The routes.
    """

    name: str
    services_by_name: dict[str, Service]
    routes: tuple[routing.Route, ...]


def default(name: str) -> Service:
    """The program of a service that no policy names."""
    return Service(name, floor=0, spread="proven-first")


def parse(file: str, content: str) -> Policy:
    """Reads and checks a policy.

    Raises:
        errors.FileProblems: With every mistake in it.
    """
    reader = ini.Reader(file, content)
    header = None
    services: dict[str, Service] = {}
    routes: list[routing.Route] = []
    for section in reader.sections:
        kind, _, name = section.partition(" ")
        if section == "policy":
            header = reader.read(section, Header)
        elif kind == "service" and _is_name(reader, section, name):
            service = reader.read(section, Service, name=name)
            if service is not None:
                services[name] = service
        elif kind == "route" and _is_name(reader, section, name):
            route = reader.read(section, RouteSection, name=name)
            if route is not None:
                routes.append(_route(reader, section, route))
        elif kind not in ("service", "route"):
            reader.report(
                section,
                "",
                "unknown section",
                "use [policy], [service NAME] and [route NAME]",
            )
    if "policy" not in reader.sections:
        reader.report("policy", "name", "is missing", "add a [policy] section")
    _check_routes(reader, services, routes)
    reader.finish()
    return Policy(header.name, services, tuple(routes))


def check(file: str, content: str) -> tuple[errors.Problem, ...]:
    """Returns every mistake in a policy."""
    try:
        parse(file, content)
    except errors.FileProblems as found:
        return found.problems
    return ()


def differences(before: Policy, after: Policy) -> list[str]:
    """What a new policy changes, one line each."""
    lines = []
    old, new = before.services_by_name, after.services_by_name
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            lines.append(f"- service {name}")
        elif name not in old:
            lines.append(f"+ service {name}")
        else:
            lines += _service_differences(old[name], new[name])
    old_routes = {route.name: route for route in before.routes}
    new_routes = {route.name: route for route in after.routes}
    for name in sorted(old_routes.keys() | new_routes.keys()):
        if old_routes.get(name) == new_routes.get(name):
            continue
        if name in old_routes:
            lines.append(f"- route {_route_text(old_routes[name])}")
        if name in new_routes:
            lines.append(f"+ route {_route_text(new_routes[name])}")
    return lines


def _service_differences(old: Service, new: Service) -> list[str]:
    lines = []
    for key in ini.keys_by_name(Service):
        before = _key_text(getattr(old, key))
        after = _key_text(getattr(new, key))
        if before != after:
            lines.append(f"~ service {new.name}: {key} {before} -> {after}")
    return lines


def _key_text(value: object) -> str:
    if isinstance(value, expressions.Expression):
        return value.text
    return str(value)


def _route_text(route: routing.Route) -> str:
    return f"{route.name}: {route.host}{route.prefix} to {route.service}"


def _is_name(reader: ini.Reader, section: str, name: str) -> bool:
    try:
        ini.name(name)
    except ValueError as error:
        reader.report(section, "", "the name is not usable", str(error))
        return False
    return True


def _route(
    reader: ini.Reader, section: str, read: RouteSection
) -> routing.Route:
    if not read.prefix.startswith("/"):
        reader.report(
            section, "prefix", f"{read.prefix!r} is no path", "start it with /"
        )
    return routing.Route(
        read.name, read.host.lower(), read.prefix, read.service
    )


def _check_routes(
    reader: ini.Reader,
    services: dict[str, Service],
    routes: list[routing.Route],
) -> None:
    seen: dict[tuple[str, str], str] = {}
    for route in routes:
        section = f"route {route.name}"
        declared = f"service {route.service}" in reader.sections
        if route.service not in services and not declared:
            reader.report(
                section,
                "service",
                f"{route.service} is not declared",
                f"add a [service {route.service}] section",
            )
        place = (route.host, routing.normalise_prefix(route.prefix))
        if place in seen:
            reader.report(
                section,
                "prefix",
                f"the same host and prefix as route {seen[place]}",
                "remove one of the two",
            )
        seen[place] = route.name
