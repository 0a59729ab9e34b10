"""Organisations and the authentication of callers by key.

Only digests of keys are kept, so nothing that a process stores, dumps or
forwards can be used as a key.
"""

import dataclasses
import hashlib
from collections.abc import Iterable

from forklift import errors

# Size of a digest in bytes; prevents collisions of keys.
DIGEST_SIZE = 16


class UnknownCaller(errors.ForkliftError):
    """A caller sent no key, several keys or an unknown key."""

    def __init__(self):
        super().__init__(
            "the key is missing or unknown; send exactly one key of an "
            "organisation in the current configuration"
        )


class DuplicateKey(errors.ForkliftError):
    """Two organisations have the same key."""

    def __init__(self, first: str, second: str):
        super().__init__(
            f"organisations {first} and {second} have the same key; "
            "give each key to one organisation only"
        )


@dataclasses.dataclass(frozen=True)
class Organisation:
    """Configuration of one organisation.

    Attributes:
        name: Name of the organisation, sent to targets with its requests.
        digests: Digests of its keys.
        priority: Priority of its requests, 0 is the most urgent; None means the
            priority of the route.
        rate: Rate limit over all processes, requests per second; 0 means
            unlimited.
        burst: Number of requests beyond the rate that may arrive at once.
        configured_weight: Weight in fair queueing; None if none is configured.
    """

    name: str
    digests: tuple[bytes, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    configured_weight: float | None = None

    @property
    def weight(self) -> float:
        """Weight in fair queueing; by default the rate limit, or 1.

        The rate limit is what the organisation may use, so it is the best
        estimate of its usual share.
        """
        if self.configured_weight is not None:
            return self.configured_weight
        return self.rate if self.limited else 1.0

    @property
    def limited(self) -> bool:
        """Whether the organisation has a rate limit."""
        return self.rate > 0


class Organisations:
    """The organisations of one version of the configuration.

    Attributes:
        by_name: Organisations by name.
        any_limited: Whether any organisation has a rate limit.

    >>> known = Organisations([Organisation("fund", (digest(b"secret"),))])
    >>> known.identify([b"secret"], False).name
    'fund'
    >>> known.identify([], True) is None
    True
    """

    def __init__(self, organisations: Iterable[Organisation]):
        """Builds the index of keys.

        Args:
            organisations: All organisations of the configuration.

        Raises:
            DuplicateKey: Two organisations have the same key.
        """
        self.by_name: dict[str, Organisation] = {}
        self.any_limited = False
        self._by_digest: dict[bytes, Organisation] = {}
        for organisation in organisations:
            self.by_name[organisation.name] = organisation
            self.any_limited = self.any_limited or organisation.limited
            for key_digest in organisation.digests:
                other = self._by_digest.setdefault(key_digest, organisation)
                if other is not organisation:
                    raise DuplicateKey(other.name, organisation.name)

    def identify(
        self, keys: Iterable[bytes], allows_anonymous: bool
    ) -> Organisation | None:
        """Finds the organisation that sent a request.

        An unknown key is also rejected on routes that allow requests without a
        key, so that callers notice an outdated key.

        Args:
            keys: All keys that the request carries.
            allows_anonymous: Whether the route accepts requests without a key.

        Returns:
            The organisation; None for a request without a key on a route that
            allows these.

        Raises:
            UnknownCaller: The request does not carry exactly one known key.
        """
        keys = tuple(keys)
        if not keys and allows_anonymous:
            return None
        found = self._by_digest.get(digest(keys[0])) if len(keys) == 1 else None
        if found is None:
            raise UnknownCaller()
        return found


def digest(key: bytes) -> bytes:
    """Computes the digest of a key.

    >>> len(digest(b"a")) == DIGEST_SIZE, digest(b"a") == digest(b"A")
    (True, False)
    """
    return hashlib.blake2b(key, digest_size=DIGEST_SIZE).digest()
