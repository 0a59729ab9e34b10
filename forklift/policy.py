"""Policy programs: how traffic is spread, what is sick, what may be retried.

A policy is one INI file: a [policy] section, a [service NAME] section for
each service with programs of its own, and [service default] for all others.
Which services and routes there are is said by the operator's configuration.
"""

import dataclasses
import functools

from forklift import balancing_algorithms
from forklift import errors
from forklift import expressions
from forklift import ini

DEFAULT = "default"
# Statuses of targets that another target may do better.
_RETRIED_STATUSES = (500, 502, 503, 504)
_NOT_FAILED = (501, 503)

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


def _failed(status: int) -> bool:
    return status >= 500 and status not in _NOT_FAILED


def _retried(outcome: str, repeatable: bool, status: int, **_: object) -> bool:
    if outcome == "not-run":
        return True
    failed = outcome == "unknown" or status in _RETRIED_STATUSES
    return repeatable and failed


_FAILED = expressions.BuiltIn(
    "status >= 500 && status != 503 && status != 501", _failed
)
_RETRIED = expressions.BuiltIn(
    "outcome == 'not-run' || (repeatable && (outcome == 'unknown' || "
    "status in [500, 502, 503, 504]))",
    _retried,
)
EQUAL_WEIGHT = expressions.BuiltIn("1.0", lambda **_: 1.0)


@dataclasses.dataclass(frozen=True)
class ServicePolicy:
    """Section [service NAME]."""

    name: str
    spread: str = ini.key(
        ini.one_of(*sorted(balancing_algorithms.algorithm_by_name)),
        "how a target is picked",
        "least-cost",
    )
    weight: expressions.Evaluator = ini.key(
        _expression(_WEIGHT_SAMPLE, 1.0),
        "factor on a target's share, from load, slots, same_domain, state",
        EQUAL_WEIGHT,
    )
    failure: expressions.Evaluator = ini.key(
        _expression(_ANSWER_SAMPLE, True),
        "whether an answer counts as a failure, from status",
        _FAILED,
    )
    retry: expressions.Evaluator = ini.key(
        _expression(_RETRY_SAMPLE, False),
        "whether to try another target, from attempt, status, outcome, "
        "reason, repeatable, method, remaining",
        _RETRIED,
    )

    def is_failure(self, status: int) -> bool:
        """Whether an answer counts as a failure of its target."""
        return _is_failure(self.failure, status)


@functools.lru_cache(maxsize=4096)
def _is_failure(failure: expressions.Evaluator, status: int) -> bool:
    return bool(failure.evaluate(status=status))


@dataclasses.dataclass(frozen=True)
class PolicySection:
    """Section [policy]."""

    name: str = ini.key(ini.name, "name of the policy")


@dataclasses.dataclass(frozen=True)
class Policy:
    """A checked policy.

    Attributes:
        name: Its name.
        service_by_name: The services that it names.
    """

    name: str
    service_by_name: dict[str, ServicePolicy]

    def program(self, service: str) -> ServicePolicy:
        """The program of a service.

        >>> BUILT_IN.program("s").spread
        'least-cost'
        """
        named = self.service_by_name.get(service)
        named = named or self.service_by_name.get(DEFAULT)
        return named or _BUILT_IN_SERVICE


_BUILT_IN_SERVICE = ServicePolicy(DEFAULT)
BUILT_IN = Policy("built-in", {})


def parse(file: str, content: str) -> Policy:
    """Reads and checks a policy.

    Raises:
        errors.FileProblems: With every mistake in it.
    """
    reader = ini.Reader(file, content)
    header = None
    services: dict[str, ServicePolicy] = {}
    for section in reader.sections:
        kind, _, name = section.partition(" ")
        if section == "policy":
            header = reader.read(section, PolicySection)
        elif kind == "service" and _is_name(reader, section, name):
            service = reader.read(section, ServicePolicy, name=name)
            if service is not None:
                services[name] = service
        elif kind != "service":
            reader.report(
                section,
                "",
                "unknown section",
                "use [policy], [service NAME] and [service default]",
            )
    if "policy" not in reader.sections:
        reader.report("policy", "name", "is missing", "add a [policy] section")
    reader.finish()
    return Policy(header.name, services)


def check(file: str, content: str) -> tuple[errors.Problem, ...]:
    """Returns every mistake in a policy."""
    try:
        parse(file, content)
    except errors.FileProblems as found:
        return found.problems
    return ()


def _is_name(reader: ini.Reader, section: str, name: str) -> bool:
    try:
        ini.name(name)
    except ValueError as error:
        reader.report(section, "", "the name is not usable", str(error))
        return False
    return True
