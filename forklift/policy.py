"""Policies: load balancing, failure detection and retries for each service.

A policy is an INI file with a [policy] section, a [service NAME] section for
each service that needs its own rules, and a [service default] section for all
others. The services and routes themselves are defined in the configuration.
"""

import dataclasses
import functools

from forklift import balancing_algorithms
from forklift import errors
from forklift import expressions
from forklift import ini

DEFAULT = "default"
# Response statuses that are retried on another target if the request is
# idempotent.
_RETRIED_STATUSES = (500, 502, 503, 504)
# Statuses of 500 and above that do not count as a failure of the target.
_NON_FAILURE_STATUSES = (501, 503)

_RESPONSE_SAMPLE = {"status": 200}
# The policy language calls idempotent requests repeatable.
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


def _is_failed_status(status: int) -> bool:
    return status >= 500 and status not in _NON_FAILURE_STATUSES


def _should_retry(
    outcome: str, repeatable: bool, status: int, **_: object
) -> bool:
    if outcome == "not-run":
        return True
    failed = outcome == "unknown" or status in _RETRIED_STATUSES
    return repeatable and failed


_FAILURE_RULE = expressions.BuiltIn(
    "status >= 500 && status != 503 && status != 501", _is_failed_status
)
_RETRY_RULE = expressions.BuiltIn(
    "outcome == 'not-run' || (repeatable && (outcome == 'unknown' || "
    "status in [500, 502, 503, 504]))",
    _should_retry,
)
EQUAL_WEIGHT = expressions.BuiltIn("1.0", lambda **_: 1.0)


@dataclasses.dataclass(frozen=True)
class ServicePolicy:
    """Rules for a service, from the section [service NAME]."""

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
        _expression(_RESPONSE_SAMPLE, True),
        "whether an answer counts as a failure, from status",
        _FAILURE_RULE,
    )
    retry: expressions.Evaluator = ini.key(
        _expression(_RETRY_SAMPLE, False),
        "whether to try another target, from attempt, status, outcome, "
        "reason, repeatable, method, remaining",
        _RETRY_RULE,
    )

    def is_failure(self, status: int) -> bool:
        """Returns whether a response counts as a failure of its target."""
        return _is_failure(self.failure, status)


@functools.lru_cache(maxsize=4096)
def _is_failure(failure: expressions.Evaluator, status: int) -> bool:
    return bool(failure.evaluate(status=status))


@dataclasses.dataclass(frozen=True)
class PolicySection:
    """Contents of the section [policy]."""

    name: str = ini.key(ini.name, "name of the policy")


@dataclasses.dataclass(frozen=True)
class Policy:
    """A validated policy.

    Attributes:
        name: Name of the policy.
        service_by_name: Rules by service name; the rules under `DEFAULT`, if
            any, apply to all other services.
    """

    name: str
    service_by_name: dict[str, ServicePolicy]

    def service_policy(self, service: str) -> ServicePolicy:
        """Returns the rules for a service.

        >>> BUILT_IN.service_policy("s").spread
        'least-cost'
        """
        named = self.service_by_name.get(service)
        named = named or self.service_by_name.get(DEFAULT)
        return named or _BUILT_IN_SERVICE


_BUILT_IN_SERVICE = ServicePolicy(DEFAULT)
BUILT_IN = Policy("built-in", {})


def parse(file: str, content: str) -> Policy:
    """Parses and validates a policy file.

    Args:
        file: Name of the file, for error messages.
        content: Text of the file.

    Raises:
        errors.FileProblems: If the file is invalid; lists all problems.
    """
    reader = ini.Reader(file, content)
    header = None
    services: dict[str, ServicePolicy] = {}
    for section in reader.sections:
        kind, _, name = section.partition(" ")
        if section == "policy":
            header = reader.read(section, PolicySection)
        elif kind == "service" and _is_valid_name(reader, section, name):
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
    """Returns all problems of a policy file."""
    try:
        parse(file, content)
    except errors.FileProblems as error:
        return error.problems
    return ()


def _is_valid_name(reader: ini.Reader, section: str, name: str) -> bool:
    try:
        ini.name(name)
    except ValueError as error:
        reader.report(section, "", "the service name is invalid", str(error))
        return False
    return True
