"""Follows the log: configuration, leases, announcements."""

import asyncio
import random
from collections.abc import Callable

import structlog

from forklift import configuration
from forklift import errors
from forklift import messages
from forklift import overlay
from forklift import ports

_log = structlog.get_logger(__name__)
CONFIG = "config"
LEASES = "leases"
MEMBERS = "members"
WAIT = 1.0
PAUSE = 0.5
RENEW_SHARE = 1 / 3
RENEW_STAGGER = 1 / 30


class Tail:
    """Reads the streams that every process follows."""

    def __init__(
        self,
        log: ports.Log,
        clock: ports.Clock,
        current: configuration.Configuration,
        on_config: Callable[[str], None],
        on_lease: Callable[[messages.Takeover | messages.Release], None],
        on_leases_missed: Callable[[], None],
        on_confirmed: Callable[[float], None],
        on_member: Callable[[messages.ProcessInfo], None],
    ):
        self._log = log
        self._clock = clock
        self._configuration = current
        self._on_config = on_config
        self._on_lease = on_lease
        self._on_leases_missed = on_leases_missed
        self._on_confirmed = on_confirmed
        self._on_member = on_member
        self.next_by_stream = {CONFIG: 0, LEASES: 0, MEMBERS: 0}
        self.seen_by_policy: dict[str, float] = {}
        self.caught_up = False
        self.last_read = float("-inf")
        self.malformed = 0

    async def run(self) -> None:
        """Reads for ever."""
        while True:
            try:
                await self._read()
            except errors.LogUnavailable as error:
                _log.info("log_away", detail=str(error))
                await asyncio.sleep(PAUSE * (1 + random.random()))

    def away(self) -> float:
        """Seconds since the log last answered."""
        return self._clock.monotonic() - self.last_read

    def due(self, names: list[str], own: str, retention: float) -> list[str]:
        """Policies whose version in force this process should renew.

        All would, one after the other; a renewal by one is seen by the rest.
        """
        now = self._clock.monotonic()
        due = []
        for policy, seen in self.seen_by_policy.items():
            turn = overlay.rank(policy, names).index(own)
            wait = retention * (RENEW_SHARE + turn * RENEW_STAGGER)
            if now - seen >= wait:
                due.append(policy)
        return due

    async def _read(self) -> None:
        sent = self._clock.monotonic()
        wait = WAIT if self.caught_up else 0.0
        batches = await self._log.read(self.next_by_stream, wait)
        self.last_read = self._clock.monotonic()
        news = False
        for batch in batches:
            asked = self.next_by_stream.get(batch.stream)
            if asked is None:
                continue
            if batch.first > asked:
                self._missed(batch)
            for record in batch.records:
                self._take(record)
            self.next_by_stream[batch.stream] = max(asked, batch.next)
            news = news or bool(batch.records)
            if batch.stream == LEASES and not batch.records:
                self._on_confirmed(sent)
        if not news:
            self.caught_up = True

    def _missed(self, batch: ports.Batch) -> None:
        _log.warning("log_missed", stream=batch.stream, first=batch.first)
        if batch.stream == CONFIG:
            self._configuration.missed(batch.first)
        elif batch.stream == LEASES:
            self._on_leases_missed()

    def _take(self, record: ports.Record) -> None:
        try:
            message = messages.decode_record(record.data)
        except messages.Malformed as error:
            self.malformed += 1
            _log.warning(
                "record_malformed",
                stream=record.stream,
                offset=record.offset,
                detail=str(error),
            )
            return
        if isinstance(message, messages.Publication):
            self._publication(record, message)
        elif isinstance(message, messages.Renewal):
            self._renewal(message)
        elif isinstance(message, (messages.Takeover, messages.Release)):
            self._on_lease(message)
        elif isinstance(message, messages.Announcement):
            self._on_member(message.info)

    def _publication(
        self, record: ports.Record, publication: messages.Publication
    ) -> None:
        now = self._clock.monotonic()
        if self._configuration.publish(record.offset, publication):
            self._on_config(publication.policy)
        self.seen_by_policy[publication.policy] = now

    def _renewal(self, renewal: messages.Renewal) -> None:
        policy = renewal.publication.policy
        now = self._clock.monotonic()
        if self._configuration.adopt(renewal):
            self._on_config(policy)
        if renewal.version >= self._configuration.version(policy).number:
            self.seen_by_policy[policy] = now
