"""What can reach a target late in a stop, so that the exit would cut it off.

Requests whose bodies ended late in the grace period were passed on, and cut off
by the exit with an unknown outcome, non-idempotent ones among them.
"""

import asyncio
import dataclasses

import pytest

from forklift import messages
from forklift import stop_deadlines
from forklift.shell import exchange
from forklift.shell import forwarded_request
from forklift.shell import proxy
from forklift.shell import streamed_bodies
from forklift.shell import tcp_stream
from test import helper
from test import processes

BODY = b"x" * 40_000
FIRST_BYTES = 30_000
# Milliseconds until a request times out that the exit would cut off.
TIMEOUT_MS = 60_000
# Seconds until the end of a stop, in which a test that waits for it fails.
ABANDONED_AFTER = 1000.0


def play(work, scripts, kind: str = "non_idempotent", **changes) -> None:
    """Plays processes whose route has a timeout longer than any grace."""
    options = {"timeout-ms": TIMEOUT_MS, "target-latency-ms": 30_000, **changes}
    first = processes.record(1, r=processes.route(kind, **options))
    processes.play(work, scripts, first=first)


def set_grace(one: proxy.Proxy, seconds: float) -> None:
    platform = dataclasses.replace(one.settings.platform, grace=seconds)
    one.reload(dataclasses.replace(one.settings, platform=platform))


def reject_now(one: proxy.Proxy) -> None:
    """Stops a process at the moment after which no request is sent."""
    now = one.clock.monotonic()
    one.stopping = one.ingress.stopping = True
    one.stop_deadlines = stop_deadlines.Deadlines(
        now, now + 10.0, now + ABANDONED_AFTER, now + ABANDONED_AFTER
    )
    one.target_registry.pause_targets()
    one.apply_stop_deadlines()


@dataclasses.dataclass
class Upload:
    """A request whose body the test sends in parts."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def status(self) -> int:
        async with asyncio.timeout(helper.DEFAULT_TIMEOUT):
            head = await self.reader.readuntil(b"\r\n\r\n")
        return int(head.split()[1])

    async def status_while_sending(self) -> int:
        """Sends on byte by byte, so that the body is not ended as stalled."""

        async def send_on() -> None:
            while True:
                self.writer.write(b"x")
                await asyncio.sleep(0.1)

        sending = asyncio.create_task(send_on())
        try:
            return await self.status()
        finally:
            sending.cancel()


async def open_upload(one: proxy.Proxy, first: bytes, length: int) -> Upload:
    address = tcp_stream.split_address(one.caller_address)
    upload = Upload(*await asyncio.open_connection(*address))
    head = b"PUT /a/ HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n"
    await upload.send(head % length + first)
    return upload


# Requests that arrive late.


def test_body_that_ends_late_in_the_grace_period_is_not_passed_on():
    async def work(fleet):
        one = fleet.proxies[0]
        set_grace(one, 4.0)
        upload = await open_upload(one, b"a", 2)
        await helper.until(lambda: one.ingress.pending_connections)
        stopped_at = one.clock.monotonic()
        stop = asyncio.create_task(one.stop())
        # After half of the grace period, and long before the exit.
        await helper.until(lambda: one.clock.monotonic() > stopped_at + 2.3)
        await upload.send(b"b")
        assert await upload.status() == 503
        assert fleet.runs() == 0
        await stop
        upload.writer.close()

    play(work, [[], []])


def test_request_that_the_exit_would_not_cut_off_is_still_served():
    """Its own timeout passes before the process exits."""

    async def work(fleet):
        one = fleet.proxies[0]
        reject_now(one)
        assert (await fleet.ask()).status == 200

    play(work, [[], []], **{"timeout-ms": 5000})


def test_request_that_is_not_sent_in_time_is_told_so_at_once():
    async def work(fleet):
        one = fleet.proxies[0]
        reject_now(one)
        response = await fleet.ask()
        assert response.status == 503
        assert dict(response.headers)[b"retry-after"]
        assert one.clock.monotonic() < one.stop_deadlines.abandon_at
        assert fleet.runs() == 0

    play(work, [[], []])


# Bodies that were passed on in part.


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_long_body_that_ends_too_late_never_reaches_its_target_whole(kind):
    async def work(fleet):
        one = fleet.proxies[0]
        one.local_targets.drain("t0")
        upload = await open_upload(one, BODY[:FIRST_BYTES], len(BODY))
        await helper.until(lambda: one.forwarder.attempts)
        reject_now(one)
        # The target may have begun, so it can't be told that it did not run.
        assert await upload.status_while_sending() == 502
        upload.writer.write(BODY[FIRST_BYTES:])
        upload.writer.close()
        await helper.until(lambda: not one.ingress.connections)
        assert fleet.runs() == 0

    play(work, [[], []], kind)


def test_long_body_of_a_peer_does_not_reach_the_target_of_a_stopping_process():
    """The peer goes on, but the response would be lost with this process."""

    async def work(fleet):
        sender, owner = fleet.proxies
        sender.local_targets.drain("t0")
        upload = await open_upload(sender, BODY[:FIRST_BYTES], len(BODY))
        await helper.until(lambda: owner.local_targets.running)
        await helper.until(lambda: fleet.targets[1].connections)
        reject_now(owner)
        assert await upload.status_while_sending() == 502
        upload.writer.close()
        assert fleet.runs() == 0

    play(work, [[], []])


def test_long_body_that_ends_in_time_is_served():
    async def work(fleet):
        one = fleet.proxies[0]
        one.local_targets.drain("t0")
        upload = await open_upload(one, BODY[:FIRST_BYTES], len(BODY))
        await helper.until(lambda: one.forwarder.attempts)
        set_grace(one, 100.0)
        stop = asyncio.create_task(one.stop())
        await helper.until(lambda: one.stopping)
        await upload.send(BODY[FIRST_BYTES:])
        assert await upload.status() == 200
        upload.writer.close()
        await stop
        assert [one.body for one in fleet.targets[1].received] == [BODY]

    play(work, [[], []])


def test_body_that_was_ended_early_fails_the_next_read_that_waits():
    async def rest():
        yield b"never the end"
        await asyncio.Event().wait()

    async def work():
        body = exchange.Body(b"start", rest())
        chunks = body.chunks()
        assert [await anext(chunks), await anext(chunks)] == [
            b"start",
            b"never the end",
        ]
        read = asyncio.create_task(anext(chunks))
        await asyncio.sleep(0)
        body.end_early("this process stops")
        with pytest.raises(exchange.IncompleteBody, match="process stops"):
            await read
        other = exchange.Body(b"start", rest())
        chunks = other.chunks()
        await anext(chunks)
        await anext(chunks)
        other.end_early("this process stops")
        with pytest.raises(exchange.IncompleteBody, match="process stops"):
            async with asyncio.timeout(helper.DEFAULT_TIMEOUT):
                await anext(chunks)

    helper.run(work())


def test_body_that_has_arrived_is_read_to_its_end():
    """Its receiver may have all of it, and run the request."""

    async def rest():
        yield b"the end"

    async def work():
        body = exchange.Body(b"start", rest())
        chunks = body.chunks()
        assert await anext(chunks) == b"start"
        body.end_early("this process stops")
        assert [chunk async for chunk in chunks] == [b"the end"]

    helper.run(work())


def test_bodies_are_tracked_only_while_their_requests_last():
    async def work():
        bodies = streamed_bodies.StreamedBodies(lambda: 0.0, lambda route: 0.0)
        request = exchange.Request(
            "1", 1, "s", "r", b"PUT", b"/", (), 9, exchange.Body(), 9.0, True
        )
        for body in (exchange.Body(b"whole"), exchange.Body(b"", rest())):
            with bodies.track(dataclasses.replace(request, body=body)):
                bodies.set_deadlines(stop_deadlines.initial_deadlines(0.0, 6.0))
            assert not bodies._bodies

    async def rest():
        yield b""

    helper.run(work())


# Requests that were sent before.


async def run_one_and_queue_one(
    fleet: processes.Fleet,
) -> tuple[asyncio.Task, asyncio.Task]:
    """Sends two requests from the first process to the target of the second.

    Returns:
        The request that the target runs, and the one that waits for its slot.
    """
    sender, owner = fleet.proxies
    sender.local_targets.drain("t0")
    controller = owner.local_targets.by_name["t1"].controller
    controller.slots = 1
    fleet.targets[1].script.append("hold")
    running = asyncio.create_task(fleet.ask())
    await helper.until(lambda: fleet.runs() == 1)
    waiting = asyncio.create_task(fleet.ask())
    await helper.until(lambda: controller.waiting == 1)
    return running, waiting


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_request_in_the_queue_of_a_peer_does_not_start_late(kind):
    """It was queued before the stop, so it could start at any time."""

    async def work(fleet):
        sender, owner = fleet.proxies
        running, waiting = await run_one_and_queue_one(fleet)
        controller = owner.local_targets.by_name["t1"].controller
        reject_now(sender)
        sender.forwarder.withdraw_waiting(sender.clock.monotonic())
        assert (await waiting).status == 503
        await helper.until(lambda: controller.waiting == 0)
        assert not running.done()
        fleet.targets[1].release.set()
        assert (await running).status == 200
        assert fleet.runs() == 1

    play(work, [[], []], kind, **{"retry-attempts": 1})


def test_stop_withdraws_what_peers_have_queued():
    async def work(fleet):
        sender = fleet.proxies[0]
        set_grace(sender, 4.0)
        running, waiting = await run_one_and_queue_one(fleet)
        stop = asyncio.create_task(sender.stop())
        # Otherwise it ends with an unknown outcome, as the running one does.
        assert (await waiting).status == 503
        assert (await running).status == 502
        fleet.targets[1].release.set()
        await stop
        assert fleet.runs() == 1

    play(work, [[], []])


@pytest.mark.parametrize("is_late", [True, False])
def test_request_is_moved_from_a_silent_peer_unless_it_is_late(is_late):
    async def work(fleet):
        one = fleet.proxies[0]
        one.local_targets.drain("t0")
        for target in fleet.targets:
            target.script.append("hold")
        response = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        (forwarded,) = one.forwarder._in_flight
        if is_late:
            reject_now(one)
        assert forwarded._prepare_resend() is not is_late
        for target in fleet.targets:
            target.release.set()
        assert (await response).status == 200

    play(work, [[], [], []], "idempotent", **{"target-latency-ms": 30_000})


def test_hedge_must_start_before_it_is_late(monkeypatch):
    """Its target may have a queue."""
    start_by_by_target = {}

    async def work(fleet):
        one = fleet.proxies[0]
        one.local_targets.drain("t0")
        for target in fleet.targets:
            target.script.append("hold")
        dispatcher = one.forwarder.dispatcher
        send = dispatcher.send

        def record(request, selection, sink, health, wait, start_by, *rest):
            start_by_by_target[selection.target] = start_by
            return send(request, selection, sink, health, wait, start_by, *rest)

        monkeypatch.setattr(dispatcher, "send", record)
        reject_now(one)
        late = dataclasses.replace(
            one.stop_deadlines, reject_at=one.stop_deadlines.finish_by - 1.0
        )
        one.stop_deadlines = late
        one.apply_stop_deadlines()
        response = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 2)
        for target in fleet.targets:
            target.release.set()
        assert (await response).status == 200
        assert len(start_by_by_target) == 2
        assert max(start_by_by_target.values()) <= late.reject_at

    play(work, [[], [], []], "idempotent", **{"target-latency-ms": 200})


def test_request_that_runs_at_a_peer_is_not_withdrawn():
    async def work(fleet):
        sender = fleet.proxies[0]
        sender.local_targets.drain("t0")
        fleet.targets[1].script.append("hold")
        running = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        reject_now(sender)
        sender.forwarder.withdraw_waiting(sender.clock.monotonic())
        await helper.until(lambda: not sender.forwarder.dispatcher._withdrawals)
        fleet.targets[1].release.set()
        assert (await running).status == 200
        assert fleet.runs() == 1

    play(work, [[], []])


def test_failed_request_is_not_sent_again_late():
    async def work(fleet):
        one = fleet.proxies[0]
        for target in fleet.targets:
            target.script = ["hold", "well"]
        response = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        reject_now(one)
        for target in fleet.targets:
            for connection in list(target._connections):
                connection.writer.transport.abort()
        assert (await response).status == 502
        assert fleet.runs() == 1

    play(work, [[], [], []], "idempotent")


def test_request_is_not_hedged_late(monkeypatch):
    """Its hedge would be cut off with it."""
    hedges = []
    select_hedge = forwarded_request.ForwardedRequest._select_hedge

    def record(self, first, in_flight):
        hedges.append(select_hedge(self, first, in_flight))
        return hedges[-1]

    monkeypatch.setattr(
        forwarded_request.ForwardedRequest, "_select_hedge", record
    )

    async def work(fleet):
        for target in fleet.targets:
            target.script.append("hold")
        response = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        reject_now(fleet.proxies[0])
        await helper.until(lambda: len(hedges) >= 3)
        for target in fleet.targets:
            target.release.set()
        assert (await response).status == 200
        assert hedges == [None] * len(hedges)
        assert fleet.runs() == 1

    play(work, [[], [], []], "idempotent", **{"target-latency-ms": 200})


def test_own_target_gets_nothing_after_the_stop_began():
    """Neither what a peer queued there, nor what a peer sends then."""

    async def work(fleet):
        owner = fleet.proxies[1]
        running, waiting = await run_one_and_queue_one(fleet)
        controller = owner.local_targets.by_name["t1"].controller
        owner.target_registry.pause_targets()
        assert controller.waiting == 0
        assert controller.state is messages.TargetState.PAUSED
        fleet.targets[1].release.set()
        assert (await running).status == 200
        waiting.cancel()
        assert fleet.runs() == 1

    play(work, [[], []])
