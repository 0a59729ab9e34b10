"""Who calls: organisations, and the keys by which they are known.

Keys are held as digests only, so that nothing a process keeps, dumps or hands
on can be used in place of one.
"""

import dataclasses
import hashlib
from collections.abc import Iterable

from forklift import errors

# Long enough that nobody finds a second key of one digest, bytes.
DIGEST_SIZE = 16


class UnknownCaller(errors.ForkliftError):
    """No organisation is known by what a caller sent."""

    def __init__(self):
        super().__init__(
            "the key is missing or unknown; send one key of an organisation "
            "that the configuration in force names"
        )


class DuplicateKey(errors.ForkliftError):
    """Two organisations have one key."""

    def __init__(self, first: str, second: str):
        super().__init__(
            f"organisations {first} and {second} have one key; "
            "give each key to one of them"
        )


@dataclasses.dataclass(frozen=True)
class Organisation:
    """What the configuration says of one organisation.

    Attributes:
        name: Its name, which its targets are told.
        digests: Digests of its keys.
        priority: Rank of its requests, before that of their routes; 0 is the
            most urgent, None leaves it to the route.
        rate: Requests a second over all processes; 0 does not limit it.
        burst: Requests beyond the rate that may come at once.
    """

    name: str
    digests: tuple[bytes, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0

    @property
    def limited(self) -> bool:
        """Whether it may send only so much."""
        return self.rate > 0


class Organisations:
    """The organisations of one version of the configuration.

    >>> known = Organisations([Organisation("fund", (digest(b"secret"),))])
    >>> known.identify([b"secret"], False).name
    'fund'
    >>> known.identify([], True) is None
    True
    """

    def __init__(self, organisations: Iterable[Organisation]):
        """Makes a look-up.

        Raises:
            DuplicateKey: A key is that of two of them.
        """
        self.by_name: dict[str, Organisation] = {}
        self.any_limited = False
        self._by_digest: dict[bytes, Organisation] = {}
        for one in organisations:
            self.by_name[one.name] = one
            self.any_limited = self.any_limited or one.limited
            for known in one.digests:
                other = self._by_digest.setdefault(known, one)
                if other is not one:
                    raise DuplicateKey(other.name, one.name)

    def identify(
        self, keys: Iterable[bytes], allows_anonymous: bool
    ) -> Organisation | None:
        """Whose request it is; None where it needs no organisation.

        A key that is sent must be known, on open routes too: a caller that
        sends an old one is to learn of it.

        Args:
            keys: All keys that the request carries.
            allows_anonymous: Whether its route is open to all.

        Raises:
            UnknownCaller: Nobody's.
        """
        keys = tuple(keys)
        if not keys and allows_anonymous:
            return None
        found = self._by_digest.get(digest(keys[0])) if len(keys) == 1 else None
        if found is None:
            raise UnknownCaller()
        return found


def digest(key: bytes) -> bytes:
    """What is kept of a key.

    >>> len(digest(b"a")) == DIGEST_SIZE, digest(b"a") == digest(b"A")
    (True, False)
    """
    return hashlib.blake2b(key, digest_size=DIGEST_SIZE).digest()
