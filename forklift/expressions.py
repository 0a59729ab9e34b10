"""Compiles and evaluates the expressions in policy files.

Expressions are written in the Common Expression Language (CEL), which always
terminates and has no side effects. An expression is compiled once and
evaluated on sample values before a policy is accepted. If an evaluation fails
later, the failure is counted and the default of the expression applies.
Built-in expressions are Python functions, so the CEL library is loaded only if
a policy file defines an expression.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from typing import Protocol

from forklift import errors

MAX_CHARACTERS = 2_000
failures_by_expression: collections.Counter[str] = collections.Counter()


class ExpressionError(errors.UserError):
    """An expression does not compile or returns a value of the wrong type."""


class Evaluator(Protocol):
    """A compiled or built-in expression of a policy."""

    text: str

    def evaluate(self, **values: object) -> bool | float:
        """Returns the value of the expression for the given variables."""


class BuiltIn:
    """A Python function with its equivalent CEL text for documentation.

    >>> BuiltIn("status >= 500", lambda status: status >= 500).evaluate(
    ...     status=503)
    True
    """

    def __init__(self, text: str, function: Callable[..., bool | float]):
        self.text = text
        self._function = function

    def evaluate(self, **values: object) -> bool | float:
        """See `Evaluator`."""
        return self._function(**values)


class Expression:
    """A compiled CEL expression with a default value for run-time failures."""

    def __init__(
        self,
        text: str,
        sample: Mapping[str, object],
        default: bool | float,
    ):
        """Compiles the expression and evaluates it on the sample.

        Args:
            text: The expression.
            sample: All variables that the expression may use, each with a
                value of its type.
            default: Value to return if an evaluation fails. Its type is the
                type that the expression must return.

        Raises:
            ExpressionError: If the expression is too long, does not compile,
                or returns another type.
        """
        # Imported here because the library is large, and most processes use
        # only built-in expressions.
        import cel  # noqa: PLC0415

        self.text = text
        self._default = default
        self._type = bool if isinstance(default, bool) else float
        if len(text) > MAX_CHARACTERS:
            raise ExpressionError(
                f"{len(text)} characters; shorten it to {MAX_CHARACTERS}"
            )
        try:
            self._program = cel.compile(text)
            value = self._program.execute(dict(sample))
        except Exception as error:
            # The library raises many exception types; each of them means that
            # the expression is unusable.
            message = str(error).splitlines()[0]
            known = ", ".join(sorted(sample))
            raise ExpressionError(
                f"{message}; use only the variables {known}"
            ) from error
        if not self._has_type(value):
            raise ExpressionError(
                f"returns a {type(value).__name__}; it must return a "
                f"{self._type.__name__}"
            )

    def evaluate(self, **values: object) -> bool | float:
        """Returns the value of the expression, or the default if it fails.

        >>> Expression("status >= 500", {"status": 1}, False).evaluate(
        ...     status=503)
        True
        """
        try:
            value = self._program.execute(values)
        except Exception:
            failures_by_expression[self.text] += 1
            return self._default
        if not self._has_type(value):
            failures_by_expression[self.text] += 1
            return self._default
        return self._type(value)

    def _has_type(self, value: object) -> bool:
        if self._type is bool:
            return isinstance(value, bool)
        return isinstance(value, (int, float)) and not isinstance(value, bool)
