"""The tree of errors; every message names its remedy."""

import dataclasses


class ForkliftError(Exception):
    """Root of every error that forklift raises on purpose."""


class UserError(ForkliftError):
    """A mistake of an operator, shown as one line."""


@dataclasses.dataclass(frozen=True)
class Problem:
    """One mistake in a file.

    Attributes:
        file: Path or name of the file.
        section: INI section, empty when the file as a whole is meant.
        key: INI key, empty when the section as a whole is meant.
        message: What is wrong.
        remedy: What to do about it.
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
    """A settings or policy file holds mistakes; all are listed."""

    def __init__(self, problems: tuple[Problem, ...]):
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


class PublishConflict(UserError):
    """Another publication came first."""

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
    """Records between what was read and what is kept are gone."""

    def __init__(self):
        super().__init__(
            "the store no longer keeps the records after this position; "
            "read the newest ones instead"
        )


class PeerUnreachable(ForkliftError):
    """A peer could not be spoken to; nothing was sent to it."""

    def __init__(self, name: str, detail: str):
        super().__init__(
            f"peer {name} is unreachable ({detail}); "
            "check its process and the network path to it"
        )


class BadRequest(ForkliftError):
    """A caller's bytes can't be forwarded safely.

    Attributes:
        status: The HTTP status to answer with.
    """

    def __init__(self, message: str, remedy: str, status: int = 400):
        self.status = status
        self.remedy = remedy
        super().__init__(f"{message}; {remedy}")


class InvariantViolation(ForkliftError):
    """A promise was seen broken inside the program."""

    def __init__(self, promise: str, detail: str):
        self.promise = promise
        super().__init__(
            f"invariant {promise} is broken: {detail}; "
            "keep the state dump and report it as a defect"
        )
