"""Bounded, stable choices among many names, the same on every process.

Rendezvous hashing (Thaler and Ravishankar, 1998): each name gets a score with
the chooser's salt, the highest win, and a change of one name moves only that
name's share.
"""

import functools
from collections.abc import Iterable

import xxhash

# Scores that are remembered: of a large fleet, for each purpose.
CACHED_SCORES = 8192


@functools.lru_cache(CACHED_SCORES)
def score(salt: str, name: str) -> int:
    """A score that every process computes alike."""
    return xxhash.xxh3_64_intdigest(f"{salt}\0{name}".encode())


def rank(salt: str, names: Iterable[str]) -> list[str]:
    """Names from the highest score to the lowest.

    >>> rank("r", ["a", "b"]) == rank("r", ["b", "a"])
    True
    """
    return sorted(names, key=lambda name: (-score(salt, name), name))


def select(salt: str, names: Iterable[str], count: int) -> list[str]:
    """At most `count` names."""
    return rank(salt, names)[:count]
