"""Rendezvous hashing (Thaler and Ravishankar, 1998).

Each name is scored by a hash of a salt and the name, and the highest scores
are selected. All processes compute the same ranking, and adding or removing a
name moves only the share of that name.
"""

import functools
from collections.abc import Iterable

import xxhash

# Entries of the score cache; enough for a large fleet and several salts.
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
