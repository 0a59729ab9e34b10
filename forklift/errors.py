"""Exceptions; each message says how to fix the error."""

import dataclasses


class ForkliftError(Exception):
    """Base class of all exceptions that forklift raises."""


class UserError(ForkliftError):
    """Operator error; the command line prints its message."""


@dataclasses.dataclass(frozen=True)
class Problem:
    """An error in a settings or policy file.

    Attributes:
        file: Path or name of the file.
        section: INI section; empty if the problem concerns the whole file.
        key: INI key; empty if the problem concerns the whole section.
        message: Description of the problem.
        remedy: How to fix it.
    """

    file: str
    section: str
    key: str
    message: str
    remedy: str

    def __str__(self) -> str:
        place = f"{self.file}: [{self.section}]"
        if self.key:
            place = f"{place} {self.key}"
        return f"{place}: {self.message}; {self.remedy}"


class FileProblems(UserError):
    """A settings or policy file is invalid; lists every problem."""

    def __init__(self, problems: tuple[Problem, ...]):
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


class PublishConflict(UserError):
    """Another configuration was published concurrently."""

    def __init__(self, version: int):
        self.version = version
        super().__init__(
            f"rejected: version {version} is in force already; "
            "read it with 'forklift status', merge, and publish again"
        )


class RegistryUnavailable(ForkliftError):
    """The store did not answer; a write may have taken effect."""

    def __init__(self, detail: str):
        super().__init__(
            f"the store did not answer ({detail}); "
            "check [platform] store and the service, then try again"
        )


class RegistryGap(ForkliftError):
    """The store has discarded the records at the requested position."""

    def __init__(self):
        super().__init__(
            "the store no longer keeps the records after this position; "
            "read the newest ones instead"
        )


class PeerUnreachable(ForkliftError):
    """No connection to a peer; nothing was sent to it."""

    def __init__(self, name: str, detail: str):
        super().__init__(
            f"peer {name} is unreachable ({detail}); "
            "check its process and the network path to it"
        )


class BadRequest(ForkliftError):
    """A request is malformed or can't be forwarded safely.

    Attributes:
        status: HTTP status of the response.
        remedy: How the caller can fix the request.
    """

    def __init__(self, message: str, remedy: str, status: int = 400):
        self.status = status
        self.remedy = remedy
        super().__init__(f"{message}; {remedy}")


class InvariantViolation(ForkliftError):
    """An internal invariant does not hold.

    Attributes:
        invariant: Name of the invariant.
    """

    def __init__(self, invariant: str, detail: str):
        self.invariant = invariant
        super().__init__(
            f"invariant {invariant} is violated: {detail}; "
            "keep the state dump and report it as a defect"
        )
