"""What the soak plays for a seed: its theme and the troubles that it draws.

Seeds of a newer range also play what was added with it; those before stay what
they were when they were kept.
"""

import collections
import dataclasses
import random
import typing
from collections.abc import Awaitable
from collections.abc import Callable

from forklift_lab import programs

if typing.TYPE_CHECKING:
    from forklift_lab import soak as soaks

# Seeds from this one on also let targets return.
RETURNS_FROM = 10_000
# Seeds from this one on also let a request come that crashes targets.
DEADLY_FROM = 20_000
# Seeds from this one on also let the store go back in time, and an organisation
# send more than it may.
LIMITED_FROM = 30_000
# Seeds from this one on also let targets name limits, and say in their answers
# that they leave.
NOTICES_FROM = 40_000
# Seeds from this one on also switch overload control on.
OVERLOAD_FROM = 50_000
# Seeds from this one on also hand on configurations that need large control
# messages, while processes end.
LARGE_FROM = 70_000
# Seeds from this one on ask for large answers while processes pause and links
# are slow or held back. They draw these troubles and planned ones alone, as
# others would excuse an answer that was cut off.
LARGE_ANSWERS_FROM = 80_000
# Seeds from this one on send long bodies to targets that are slow at times.
UPLOADS_FROM = 90_000
# Seeds from this one on let targets deregister and serve on, or fill them while
# callers leave. They draw these troubles and planned ones alone, as others
# would excuse what these are to show.
DEPARTURES_FROM = 100_000

# Makes one trouble in a soak, at one of its processes.
Trouble = Callable[["soaks.Soak", programs.Place], Awaitable[None]]
trouble_by_name: dict[str, Trouble] = {}
# What a seed draws from: all troubles, or such as leave processes alone, or
# planned work alone. Others would excuse what these are to show.
ALL, NEWS, PLANNED = THEMES = ("all", "news", "planned")
# Targets that start again under their names.
RETURNS = "returns"
# A request that crashes targets, and how often it is drawn before another.
CRASHES = "crashes"
DEADLY_SHARE = 4
# The store loses what it acknowledged, and how often that is drawn.
GOES_BACK = "goes back"
GOES_BACK_SHARE = 6
# Targets name limits and say that they leave, and how often that is drawn.
NOTICES = "notices"
NOTICES_SHARE = 8
# Large configurations while processes end, and how often that is drawn.
LARGE = "large"
LARGE_SHARE = 40
# Pauses, slow links and ends while large answers pass, and how often that is
# drawn.
LARGE_ANSWERS = "large answers"
LARGE_ANSWERS_SHARE = 3
# Targets that are slow while long bodies are sent, and how often that is drawn.
UPLOADS = "uploads"
UPLOADS_SHARE = 8
# Targets that deregister and serve on, or that are full while callers leave,
# and how often that is drawn.
DEPARTURES = "departures"
FULL = "full"
DEPARTURES_SHARE = 8
# Themes whose troubles only later seeds draw.
_OWN_THEMES = {
    RETURNS,
    CRASHES,
    GOES_BACK,
    NOTICES,
    LARGE,
    LARGE_ANSWERS,
    UPLOADS,
    DEPARTURES,
    FULL,
}
# How often the troubles of a theme are drawn, and the theme of those beside.
_SHARE_BY_THEME = {
    LARGE_ANSWERS: (LARGE_ANSWERS_SHARE, PLANNED),
    UPLOADS: (UPLOADS_SHARE, ALL),
    DEPARTURES: (DEPARTURES_SHARE, PLANNED),
    FULL: (DEPARTURES_SHARE, PLANNED),
}
# The first seed that adds the troubles of a theme, and how often.
_ADDED = (
    (DEADLY_FROM, CRASHES, DEADLY_SHARE),
    (LIMITED_FROM, GOES_BACK, GOES_BACK_SHARE),
    (NOTICES_FROM, NOTICES, NOTICES_SHARE),
    (LARGE_FROM, LARGE, LARGE_SHARE),
)
names_by_theme: dict[str, list[str]] = collections.defaultdict(list)


def trouble(name: str, *themes: str) -> Callable[[Trouble], Trouble]:
    """Registers a kind of trouble, and the themes that it is part of."""

    def register(function: Trouble) -> Trouble:
        trouble_by_name[name] = function
        for theme in themes:
            names_by_theme[theme].append(name)
        if not _OWN_THEMES & set(themes):
            names_by_theme[ALL].append(name)
        return function

    return register


@dataclasses.dataclass(frozen=True)
class SeedPlan:
    """What one seed plays.

    Attributes:
        theme: Its theme.
        troubles: Names of troubles, each as often as its share.
        returning: Whether targets return under their names.
        deadly: Whether a request crashes targets.
        limited: Whether an organisation sends more than it may.
        large: Whether configurations need large control messages.
        asks_large: Whether callers ask for large answers.
        uploads: Whether callers send long bodies.
    """

    theme: str
    troubles: tuple[str, ...]
    returning: bool
    deadly: bool
    limited: bool
    large: bool
    asks_large: bool
    uploads: bool


def draw(seed: int, rng: random.Random) -> SeedPlan:
    """Draws the theme of a seed, and what goes with it."""
    asks_large = LARGE_ANSWERS_FROM <= seed < UPLOADS_FROM
    departs = seed >= DEPARTURES_FROM
    returning = _adds(seed, RETURNS_FROM)
    themes = (*THEMES, RETURNS) if returning else THEMES
    if asks_large:
        themes = (LARGE_ANSWERS,)
    elif departs:
        themes = (DEPARTURES, FULL)
    elif seed >= UPLOADS_FROM:
        themes = (UPLOADS,)
    theme = rng.choice(themes)
    troubles = list(names_by_theme[theme])
    if returning and theme != RETURNS:
        troubles += names_by_theme[RETURNS]
    if theme in _SHARE_BY_THEME:
        share, others = _SHARE_BY_THEME[theme]
        troubles = troubles * share + names_by_theme[others]
    for first, name, share in _ADDED:
        if _adds(seed, first):
            troubles += names_by_theme[name] * share
    return SeedPlan(
        theme,
        tuple(troubles),
        returning,
        deadly=_adds(seed, DEADLY_FROM),
        limited=_adds(seed, LIMITED_FROM),
        large=_adds(seed, LARGE_FROM),
        asks_large=asks_large,
        uploads=theme in (UPLOADS, FULL),
    )


def _adds(seed: int, first: int) -> bool:
    """Whether a seed plays what seeds from a first one on add."""
    return first <= seed < LARGE_ANSWERS_FROM
