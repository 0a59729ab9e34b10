"""Compiles and evaluates the expressions of policy programs.

The language is the Common Expression Language: it always ends and has no
side effects. An expression is compiled once and tried on sample values
before a policy is accepted; one that fails while it serves falls back to the
default given with it, and counts the failure. The defaults of forklift are
functions of its own, so the library is loaded only where a policy is written.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from typing import Protocol

from forklift import errors

MAX_CHARACTERS = 2_000
failures_by_expression: collections.Counter[str] = collections.Counter()


class ExpressionError(errors.UserError):
    """An expression can't be compiled, or gives the wrong kind of value."""


class Evaluator(Protocol):
    """Anything that a policy evaluates."""

    text: str

    def evaluate(self, **values: object) -> bool | float:
        """The value for some variables."""


class BuiltIn:
    """A default: an expression for readers, a function for the process.

    >>> BuiltIn("status >= 500", lambda status: status >= 500).evaluate(
    ...     status=503)
    True
    """

    def __init__(self, text: str, function: Callable[..., bool | float]):
        self.text = text
        self._function = function

    def evaluate(self, **values: object) -> bool | float:
        """See `Program`."""
        return self._function(**values)


class Expression:
    """A compiled expression with a default for run-time failures."""

    def __init__(
        self,
        text: str,
        sample: Mapping[str, object],
        default: bool | float,
    ):
        """Compiles and tries the expression.

        Args:
            text: The expression.
            sample: Every variable it may use, with a value of its type.
            default: Value where it fails; it also sets the type.

        Raises:
            ExpressionError: With the remedy in the message.
        """
        # Loading it costs 0.2 s and 10 MB, which most processes never need.
        import cel  # noqa: PLC0415

        self.text = text
        self._default = default
        self._kind = bool if isinstance(default, bool) else float
        if len(text) > MAX_CHARACTERS:
            raise ExpressionError(
                f"{len(text)} characters; shorten it to {MAX_CHARACTERS}"
            )
        try:
            self._program = cel.compile(text)
            value = self._program.execute(dict(sample))
        except Exception as error:
            # The library raises many kinds; all mean an unusable expression.
            first = str(error).splitlines()[0]
            known = ", ".join(sorted(sample))
            raise ExpressionError(
                f"{first}; use only the variables {known}"
            ) from error
        if not self._fits(value):
            raise ExpressionError(
                f"gives a {type(value).__name__}; it must give a "
                f"{self._kind.__name__}"
            )

    def evaluate(self, **values: object) -> bool | float:
        """Evaluates; gives the default where that fails.

        >>> Expression("status >= 500", {"status": 1}, False).evaluate(
        ...     status=503)
        True
        """
        try:
            value = self._program.execute(values)
        except Exception:
            failures_by_expression[self.text] += 1
            return self._default
        if not self._fits(value):
            failures_by_expression[self.text] += 1
            return self._default
        return self._kind(value)

    def _fits(self, value: object) -> bool:
        if self._kind is bool:
            return isinstance(value, bool)
        return isinstance(value, (int, float)) and not isinstance(value, bool)
