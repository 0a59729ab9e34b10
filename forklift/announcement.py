"""What a target says of itself, and which of its words are late.

A target may start again under the name that it had. Its two runs are two lives:
what is known of one says nothing of the other. Everything that remembers
something of a target is keyed by the name of its life.
"""

import dataclasses
import enum

# Lives that are remembered, the last ones: far more than start beside one
# process while a late word may come.
KEPT = 1024
_SEPARATOR = "@"


@dataclasses.dataclass(frozen=True)
class Life:
    """One run of a target, from its start to its end.

    Attributes:
        target: The name that the target gives itself.
        born: Unix milliseconds of its start; 0 where it tells none, and then
            its name is not used again after its end.
    """

    target: str
    born: int = 0

    @property
    def name(self) -> str:
        """What is remembered of the life is keyed by this.

        >>> Life("i-7", 1764720000123).name, Life("i-7").name
        ('i-7@1764720000123', 'i-7')
        """
        if not self.born:
            return self.target
        return f"{self.target}{_SEPARATOR}{self.born}"


def life_named(name: str) -> Life:
    """The life of a name.

    >>> life_named("i-7@1764720000123")
    Life(target='i-7', born=1764720000123)
    >>> life_named("i-7"), life_named("i@7x")
    (Life(target='i-7', born=0), Life(target='i@7x', born=0))
    """
    target, separator, born = name.rpartition(_SEPARATOR)
    if separator and target and born.isdecimal() and born.isascii():
        return Life(target, int(born))
    return Life(name)


@dataclasses.dataclass(frozen=True)
class Announcement:
    """One heartbeat of a target.

    Attributes:
        life: The run of the target that speaks.
        service: Its service.
        address: Where it is reached, "ip:port".
        domain: Its failure domain.
        slots: Requests it runs at once.
        leaving: Whether it takes no new requests.
        sequence: Rises with each one of a life, so that a late one shows.
        cold: Seconds that it stays slow after its start.
    """

    life: Life
    service: str
    address: str
    domain: str
    slots: int
    leaving: bool
    sequence: int
    cold: float = 0.0


class Word(enum.Enum):
    """What a heartbeat is, against what was heard before."""

    # Of a life that takes the place of any earlier one of its target.
    FIRST = "first"
    # A newer one of the life that is known.
    FURTHER = "further"
    # Of a life that is over, or older than what is known.
    LATE = "late"


@dataclasses.dataclass
class _Known:
    """The life of a target that counts.

    Attributes:
        life: The life.
        first: Monotonic seconds when it was first heard of.
        last: Monotonic seconds when it was heard last.
        sequence: Number of its last heartbeat.
        unnamed: Whether only its health endpoint or its end told of it, which
            don't say when it was born.
        over: Whether it said that it leaves.
    """

    life: Life
    first: float
    last: float
    sequence: int = -1
    unnamed: bool = False
    over: bool = False


class Lives:
    """Which life of each target beside this process counts.

    A life that was born later ends an earlier one. Of one that seems to be born
    earlier nothing is taken while the known one speaks, or while a word of an
    earlier life may still be on its way. After that the clock of the target was
    set back between the two, or the known one was never there. A life that said
    that it leaves never counts again.
    """

    def __init__(self, late: float):
        """Makes an empty one.

        Args:
            late: Seconds after which no late heartbeat is on its way any more,
                and a life that still speaks would have been heard.
        """
        self.late = late
        self._known_by_target: dict[str, _Known] = {}
        self._over: dict[Life, None] = {}

    def name(self, target: str) -> str | None:
        """Name of the life of a target that counts; None where none is known.

        >>> lives = Lives(5.0)
        >>> lives.found("i-7", 0.0), lives.name("i-7")
        (True, 'i-7')
        >>> lives.heard(Life("i-7", 90), 1, 1.0), lives.name("i-7")
        (<Word.FURTHER: 'further'>, 'i-7@90')
        """
        known = self._known_by_target.get(target)
        return known.life.name if known is not None else None

    def heard(self, life: Life, sequence: int, now: float) -> Word:
        """A heartbeat came.

        Args:
            life: The life that sent it.
            sequence: Its number.
            now: Monotonic seconds.
        """
        known = self._known_by_target.get(life.target)
        if life in self._over:
            return Word.LATE
        if known is None:
            return self._begin(life, sequence, now)
        if known.unnamed and known.over:
            # It may be the one that said so, and speaks until its end.
            silent = now - known.last > self.late
            known.last = now
            return self._begin(life, sequence, now) if silent else Word.LATE
        if known.unnamed:
            known.life, known.unnamed = life, False
        if life == known.life:
            if sequence <= known.sequence:
                return Word.LATE
            known.sequence, known.last = sequence, now
            return Word.FURTHER
        if life.born > known.life.born or self._silent(known, now):
            return self._begin(life, sequence, now)
        return Word.LATE

    def found(self, target: str, now: float) -> bool:
        """The health endpoint of a target answered; True where that is news.

        It does not tell which life it is of, so it says nothing of a target of
        which any life was heard or has left.
        """
        if target in self._known_by_target:
            return False
        if any(life.target == target for life in self._over):
            return False
        self._keep(_Known(Life(target), now, now, unnamed=True))
        return True

    def left(self, life: Life, now: float) -> str | None:
        """A target says that it is about to end.

        Args:
            life: The life; without the time of its birth it is the known one.
            now: Monotonic seconds.

        Returns:
            Name of the life that is over; None where it does not count.
        """
        known = self._known_by_target.get(life.target)
        if known is None and not life.born:
            known = self._keep(_Known(life, now, now, unnamed=True))
        if known is not None and not life.born:
            return self._end(known, now)
        return self.recalled(life, now)

    def recalled(self, life: Life, now: float) -> str | None:
        """Another process remembers that a life was about to end.

        Args:
            life: The life.
            now: Monotonic seconds.

        Returns:
            Name of the life that is over; None where it does not count.
        """
        self._note_over(life)
        known = self._known_by_target.get(life.target)
        if known is not None and known.unnamed:
            # It may be that one; a later life will tell its birth.
            name = known.life.name
            known.life, known.unnamed = life, not life.born
            self._end(known, now)
            return name
        if known is not None and known.life == life:
            return self._end(known, now)
        return None

    def _end(self, known: _Known, now: float) -> str:
        known.over, known.last = True, now
        self._note_over(known.life)
        return known.life.name

    def _begin(self, life: Life, sequence: int, now: float) -> Word:
        self._keep(_Known(life, now, now, sequence))
        return Word.FIRST

    def _silent(self, known: _Known, now: float) -> bool:
        """Whether nothing late is on its way, and the known one is silent."""
        return now - known.last > self.late and now - known.first > self.late

    def _note_over(self, life: Life) -> None:
        self._over.pop(life, None)
        self._over[life] = None
        while len(self._over) > KEPT:
            del self._over[next(iter(self._over))]

    def _keep(self, known: _Known) -> _Known:
        self._known_by_target.pop(known.life.target, None)
        self._known_by_target[known.life.target] = known
        while len(self._known_by_target) > KEPT:
            del self._known_by_target[next(iter(self._known_by_target))]
        return known
