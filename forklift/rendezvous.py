"""Rendezvous hashing (Thaler and Ravishankar, 1998).

The score of a name is a hash of a salt and the name; the names with the highest
scores are selected. All processes compute the same ranking. Adding or removing
a name does not change the order of the others.
"""

import functools
from collections.abc import Iterable

import xxhash

# Maximum number of scores that the cache holds.
CACHED_SCORES = 8192


@functools.lru_cache(CACHED_SCORES)
def score(salt: str, name: str) -> int:
    """Returns the score of a name, which is the same on all processes."""
    return xxhash.xxh3_64_intdigest(f"{salt}\0{name}".encode())


def rank(salt: str, names: Iterable[str]) -> list[str]:
    """Returns the names ordered by descending score.

    >>> rank("r", ["a", "b"]) == rank("r", ["b", "a"])
    True
    """
    return sorted(names, key=lambda name: (-score(salt, name), name))


def select(salt: str, names: Iterable[str], count: int) -> list[str]:
    """Returns at most `count` names, those with the highest scores."""
    return rank(salt, names)[:count]
