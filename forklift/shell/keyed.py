"""Carries requests with an idempotency key to the key's owner, and runs them.

The owner runs a keyed request in a task of its own: a caller that hangs up,
or an entry that dies, does not cut it off, so that the retry with the same
key finds the recorded answer instead of an unknown outcome.
"""

import asyncio
import dataclasses

import structlog

from forklift import errors
from forklift import keys
from forklift import leases
from forklift import messages
from forklift import ownership
from forklift.shell import dispatch
from forklift.shell import exchange
from forklift.shell import wire

_log = structlog.get_logger(__name__)
Outcome = messages.Outcome
Reason = messages.Reason
RETRY_SOON = 1.0
CLAIM_BATCH = 500


def claims_stream(service: str) -> str:
    """Name of the stream that holds the claims of a service."""
    return f"claims.{service}"


@dataclasses.dataclass
class _Tenure:
    """A lease that this process began to hold, and its keys.

    Attributes:
        holding: The lease.
        ledger: Its keys.
    """

    holding: leases.Holding
    ledger: keys.Ledger


class _Recorder:
    """A sink that keeps the answer and outlives its caller."""

    def __init__(self, sink: exchange.Sink, most: int):
        self._sink = sink
        self._most = most
        self._head: exchange.Head | None = None
        self._body: bytearray | None = bytearray()
        self._gone = False

    @property
    def begun(self) -> bool:
        """See `exchange.Sink`."""
        return self._sink.begun

    async def start(self, head: exchange.Head) -> None:
        """See `exchange.Sink`."""
        self._head = head
        await self._pass(self._sink.start(head))

    async def data(self, piece: bytes) -> None:
        """See `exchange.Sink`."""
        if self._body is not None:
            self._body += piece
            if len(self._body) > self._most:
                self._body = None
        await self._pass(self._sink.data(piece))

    async def end(self) -> None:
        """See `exchange.Sink`."""
        await self._pass(self._sink.end())

    def leave(self) -> None:
        """The caller is gone; the answer is only recorded from now on."""
        self._gone = True

    def answer(self) -> keys.Answer | None:
        """The whole answer; None where it was too large to keep."""
        if self._head is None or self._body is None:
            return None
        head = self._head
        return keys.Answer(head.status, head.headers, bytes(self._body))

    async def _pass(self, step) -> None:
        if self._gone:
            step.close()
            return
        try:
            await step
        except wire.Lost:
            self._gone = True


class _Claims:
    """Writes the claims of one service together."""

    def __init__(self, log, service: str):
        self._log = log
        self._service = service
        self._waiting: list[tuple[_Tenure, messages.Claim, asyncio.Future]] = []
        self._task: asyncio.Task | None = None
        self.appends = 0

    async def write(self, tenure: _Tenure, claim: messages.Claim) -> None:
        """Returns once the claim is on the log.

        Raises:
            errors.LogUnavailable: It may or may not be there.
        """
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((tenure, claim, future))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._flush())
        await future

    async def _flush(self) -> None:
        # While one append is under way the next batch gathers.
        while self._waiting:
            batch = self._waiting[:CLAIM_BATCH]
            del self._waiting[:CLAIM_BATCH]
            try:
                await self._append(batch)
            except errors.LogUnavailable as error:
                for _, _, future in batch:
                    if not future.done():
                        future.set_exception(error)

    async def _append(self, batch) -> None:
        by_tenure: dict[int, list] = {}
        for item in batch:
            by_tenure.setdefault(id(item[0]), []).append(item)
        for items in by_tenure.values():
            grant = items[0][0].holding.grant
            record = messages.Claims(
                items[0][0].holding.resource,
                grant.epoch,
                grant.boot,
                tuple(claim for _, claim, _ in items),
            )
            stream = claims_stream(self._service)
            await self._log.append(stream, messages.encode(record))
            self.appends += 1
            for _, _, future in items:
                if not future.done():
                    future.set_result(None)


class Keyed:
    """Requests with idempotency keys in this process."""

    def __init__(
        self,
        owner: ownership.Owner,
        dispatcher: dispatch.Dispatcher,
        log,
        limits,
        clock,
        own: str,
    ):
        self._owner = owner
        self._dispatcher = dispatcher
        self._log = log
        self._limits = limits
        self._clock = clock
        self._own = own
        self._tenure_by_resource: dict[str, _Tenure] = {}
        self._claims_by_service: dict[str, _Claims] = {}
        self._tasks: set[asyncio.Task] = set()
        self.verdicts: dict[str, int] = {}

    @property
    def running(self) -> int:
        """Requests that this process runs as owner of their keys."""
        return len(self._tasks)

    def began(self, began: ownership.Began, memory: float) -> None:
        """A lease was taken over; its keys are learnt when it starts."""
        holding = began.holding
        service = holding.resource.rpartition("/")[0]
        now = self._clock.monotonic()
        starts_in = max(0.0, holding.starts - now)
        fresh_from = self._clock.wall() + starts_in + 2 * keys.SKEW
        known_from = fresh_from
        before = began.before
        if before.released:
            # The one before named all its keys on the log.
            known_from = before.known_from
        ledger = keys.Ledger(
            known_from,
            self._limits.keys,
            self._limits.keys * 1024,
            fresh_from,
        )
        tenure = _Tenure(holding, ledger)
        self._tenure_by_resource[holding.resource] = tenure
        self._spawn(self._load(tenure, service, starts_in, memory))

    def ledgers(self) -> dict[str, keys.Ledger]:
        """The ledgers of all tenures, by resource."""
        return {
            name: tenure.ledger
            for name, tenure in self._tenure_by_resource.items()
        }

    async def run(
        self,
        request: exchange.Request,
        sink: exchange.Sink,
        memory: float,
    ) -> exchange.Result:
        """Runs a request at the owner of its key, here or at a peer.

        Args:
            request: With a key, and its body complete where that is small.
            sink: Where the answer goes.
            memory: Seconds that the service's keys are remembered.
        """
        key = keys.hash_key(request.service, request.caller, request.key)
        name = ownership.resource(request.service, keys.shard_of(key))
        now = self._clock.monotonic()
        if self._owner.held(name, now) is not None:
            tenure = self._tenure_by_resource[name]
            return await self._own_run(tenure, key, request, sink, memory)
        holder = self._owner.holder(name)
        if holder is None or holder == self._own:
            return exchange.not_run(Reason.NO_OWNER, RETRY_SOON)
        return await self._dispatcher.hand_to(holder, request, sink)

    async def release(self) -> None:
        """Gives all leases up at a planned stop, naming all keys first."""
        for name, tenure in list(self._tenure_by_resource.items()):
            now = self._clock.monotonic()
            if self._owner.held(name, now) is None:
                continue
            record = self._owner.release(name, tenure.ledger.known_from)
            try:
                await self._name_keys(name, tenure)
                await self._log.append("leases", messages.encode(record))
            except errors.LogUnavailable as error:
                _log.warning("release_failed", lease=name, detail=str(error))

    async def _name_keys(self, name: str, tenure: _Tenure) -> None:
        service = name.rpartition("/")[0]
        claims = tenure.ledger.unclaimed(self._clock.wall())
        grant = tenure.holding.grant
        for start in range(0, len(claims), CLAIM_BATCH):
            part = tuple(claims[start : start + CLAIM_BATCH])
            record = messages.Claims(name, grant.epoch, grant.boot, part)
            await self._log.append(
                claims_stream(service), messages.encode(record)
            )

    async def _load(
        self, tenure: _Tenure, service: str, wait: float, memory: float
    ) -> None:
        """Reads the claims of earlier owners, once they have stopped."""
        await asyncio.sleep(wait)
        stream = claims_stream(service)
        offset = 0
        while True:
            try:
                batches = await self._log.read({stream: offset}, 0.0)
            except errors.LogUnavailable:
                await asyncio.sleep(RETRY_SOON)
                continue
            batch = batches[0]
            for record in batch.records:
                self._inherit(tenure, record.data, memory)
            if batch.next == offset or not batch.records:
                break
            offset = batch.next
        tenure.ledger.loaded = True

    def _inherit(self, tenure: _Tenure, data: bytes, memory: float) -> None:
        try:
            record = messages.decode_record(data)
        except messages.Malformed as error:
            _log.warning("claims_malformed", detail=str(error))
            return
        if not isinstance(record, messages.Claims):
            return
        if record.resource != tenure.holding.resource:
            return
        for claim in record.claims:
            tenure.ledger.inherit(claim, memory)

    async def _own_run(
        self,
        tenure: _Tenure,
        key: bytes,
        request: exchange.Request,
        sink: exchange.Sink,
        memory: float,
    ) -> exchange.Result:
        body = request.body.first
        if not request.body.complete:
            body = str(request.length).encode()
        print_ = keys.fingerprint(request.method, request.path, body)
        verdict = tenure.ledger.begin(
            key,
            print_,
            keys.issued_at(request.key),
            memory,
            self._clock.wall(),
        )
        count = self.verdicts.get(verdict.value, 0)
        self.verdicts[verdict.value] = count + 1
        if verdict in (keys.Verdict.RUN, keys.Verdict.CLAIM):
            return await self._apart(
                tenure, key, verdict, request, sink, print_
            )
        if verdict is keys.Verdict.REPLAY:
            return await _replay(tenure.ledger.answer(key), sink)
        return _REFUSAL_BY_VERDICT[verdict]

    async def _apart(
        self,
        tenure: _Tenure,
        key: bytes,
        verdict: keys.Verdict,
        request: exchange.Request,
        sink: exchange.Sink,
        print_: bytes,
    ) -> exchange.Result:
        recorder = _Recorder(sink, self._limits.recorded_bytes)
        work = self._claim_and_run(
            tenure, key, verdict, request, recorder, print_
        )
        task = self._spawn(work)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            recorder.leave()
            if not request.body.complete:
                # The rest of the body can't come any more.
                task.cancel()
            raise

    async def _claim_and_run(
        self,
        tenure: _Tenure,
        key: bytes,
        verdict: keys.Verdict,
        request: exchange.Request,
        recorder: _Recorder,
        print_: bytes,
    ) -> exchange.Result:
        ledger = tenure.ledger
        result = exchange.not_run(Reason.CANCELLED)
        sent = False
        try:
            if verdict is keys.Verdict.CLAIM:
                claim = messages.Claim(key, print_, self._clock.wall())
                await self._writer(request.service).write(tenure, claim)
                ledger.claimed(key)
            if not tenure.holding.held(self._clock.monotonic()):
                result = exchange.not_run(Reason.NO_OWNER, RETRY_SOON)
                return result
            sent = True
            result = exchange.unknown(Reason.CANCELLED)
            result = await self._dispatcher.run(request, recorder)
            return result
        except errors.LogUnavailable:
            result = exchange.not_run(Reason.LOG_AWAY, RETRY_SOON)
            return result
        finally:
            outcome = result.ending.outcome
            if sent and outcome is not Outcome.NOT_RUN:
                ledger.started(key)
            ledger.finish(key, outcome, recorder.answer())

    def _writer(self, service: str) -> _Claims:
        writer = self._claims_by_service.get(service)
        if writer is None:
            writer = _Claims(self._log, service)
            self._claims_by_service[service] = writer
        return writer

    def _spawn(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


async def _replay(answer: keys.Answer, sink: exchange.Sink) -> exchange.Result:
    replayed = (*answer.headers, (b"idempotency-replayed", b"true"))
    head = exchange.Head(answer.status, replayed, len(answer.body))
    await sink.start(head)
    if answer.body:
        await sink.data(answer.body)
    await sink.end()
    return exchange.answered(answer.status, "")


_REFUSAL_BY_VERDICT = {
    keys.Verdict.IN_PROGRESS: exchange.not_run(Reason.IN_PROGRESS, RETRY_SOON),
    keys.Verdict.MISMATCH: exchange.not_run(Reason.KEY_MISMATCH),
    keys.Verdict.LOST: exchange.unknown(Reason.KEY_LOST),
    keys.Verdict.FULL: exchange.not_run(Reason.OVERLOADED, RETRY_SOON),
}
