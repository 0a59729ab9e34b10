"""A peer that is silent for a while finishes the responses that have begun.

Only the peer beside its target can finish a response that the caller has
received in part, so silence must not end it. A relay between two processes
holds the bytes back, as a paused peer does.
"""

import asyncio
import contextlib
import re
import socket

import pytest

from forklift import heartbeats
from forklift.shell import flow_control
from forklift.shell import peer_client
from forklift.shell import peer_server
from forklift.shell import shutdown
from forklift.shell import tcp_stream
from forklift_lab import relay
from forklift_lab import scripted
from test import helper
from test import processes

HOST = "h"
# Seconds that requests may take; far above what any of these tests takes.
PATIENT_MS = 60_000
# Responses that a stopping process has sent, seconds from then on in which
# their reader is paused, and bytes of its socket buffer: too few for the rest.
READERS = 4
READER_PAUSE = 2.0
READER_BUFFER = 65_536
HEAD_END = b"\r\n\r\n"
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


def patient(kind: str = "download", **changes) -> dict:
    """A configuration whose requests do not time out during a test."""
    changes = {"timeout-ms": PATIENT_MS, "target-latency-ms": 20_000, **changes}
    return processes.record(1, r=processes.route(kind, **changes))


class Caller:
    """A caller that reads its response piece by piece."""

    def __init__(self, address: str):
        self._address = address
        self.received = b""
        self._task: asyncio.Task | None = None

    async def send(self, path: str = "/a/", length: int = 0) -> None:
        """Sends the head of a request, with the declared length of a body."""
        host, port = tcp_stream.split_address(self._address)
        reader, self._writer = await asyncio.open_connection(host, port)
        method = "POST" if length else "GET"
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n"
            f"content-length: {length}\r\n\r\n"
        )
        self._writer.write(head.encode())
        self._task = asyncio.create_task(self._read(reader))

    def write(self, data: bytes) -> None:
        """Sends part of the body."""
        self._writer.write(data)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                self.received += data

    @property
    def body(self) -> bytes:
        return self.received.partition(HEAD_END)[2]

    @property
    def status(self) -> int:
        return int(self.received.split(b" ", 2)[1]) if self.received else 0

    async def finish(self) -> None:
        """Waits for the whole response or the end of the connection."""
        await helper.until(lambda: self._task.done() or self.is_complete())
        self._task.cancel()
        self._writer.close()

    def is_complete(self) -> bool:
        length = _CONTENT_LENGTH.search(self.received)
        return length is not None and len(self.body) >= int(length[1])


@contextlib.asynccontextmanager
async def relayed_fleet(scripts: list[list[str]], first: dict):
    """A fleet whose process p1 is reached by its peers through a relay."""
    async with processes.Fleet(scripts, first) as fleet, relay.Relay() as link:
        peer = fleet.proxies[1]
        link.target = peer.directory.own.peer
        peer.directory.update_own(peer=link.address)
        for process in fleet.proxies:
            await helper.until(
                lambda process=process: (
                    process is peer
                    or process.directory.member_by_name["p1"].info.peer
                    == link.address
                )
            )
        fleet.proxies[0].local_targets.drain("t0")
        yield fleet, link


def silence(link: relay.Relay) -> None:
    for way in relay.Way:
        link.silence(way)


def is_silent(process) -> bool:
    return not process.balancer.reachability.is_reachable("p1")


@pytest.mark.parametrize("kind", ["idempotent", "download", "non_idempotent"])
def test_response_that_has_begun_survives_a_silent_peer(kind):
    """Guards against a caller cut off though the peer was to come back."""

    async def work():
        scripts = [[], ["large-held"]]
        async with relayed_fleet(scripts, patient(kind)) as (fleet, link):
            ingress, target = fleet.proxies[0], fleet.targets[1]
            caller = Caller(ingress.caller_address)
            await caller.send()
            begun = len(scripted.LARGE_BODY) - scripted.HELD_BYTES
            await helper.until(lambda: len(caller.body) == begun)
            silence(link)
            target.release.set()
            await helper.until(lambda: is_silent(ingress))
            link.heal()
            await caller.finish()
            assert caller.body == scripted.LARGE_BODY

    helper.run(work())


def announce_another_target(fleet: processes.Fleet) -> None:
    """Announces a target of p2 that is not draining."""
    fleet.announce(
        fleet.proxies[2],
        2,
        incarnation=heartbeats.TargetIncarnation("t9"),
        sequence=1,
    )


def hold_bodies(process) -> None:
    """Lets a process send its peers only the heads of large responses."""
    run = process.local_targets.run

    class HeadOnly(peer_server.ResponseSink):
        async def data(self, chunk: bytes) -> None:
            await asyncio.Event().wait()

    async def run_without_body(name, ticket, request, sink):
        sink.__class__ = HeadOnly
        return await run(name, ticket, request, sink)

    process.local_targets.run = run_without_body


def has_head(process) -> bool:
    """Whether the head of a response from p1 has arrived."""
    connection = process.peer_connections.connection_by_process.get("p1")
    return connection is not None and any(
        pending.has_response for pending in connection._pending_by_id.values()
    )


def test_response_without_a_byte_sent_moves_from_a_silent_peer():
    """Guards against a closed connection though another target was free."""

    async def work():
        scripts = [[], ["large"], ["large"]]
        async with relayed_fleet(scripts, patient()) as (fleet, link):
            ingress = fleet.proxies[0]
            fleet.proxies[2].local_targets.drain("t2")
            hold_bodies(fleet.proxies[1])
            caller = Caller(ingress.caller_address)
            await caller.send()
            await helper.until(lambda: has_head(ingress))
            silence(link)
            announce_another_target(fleet)
            await caller.finish()
            assert caller.status == 200
            assert caller.body == scripted.LARGE_BODY

    helper.run(work())


def test_slow_link_is_no_silence():
    """Guards against a peer taken for silent while a large frame arrives."""

    async def work():
        scripts = [[], ["large"]]
        async with relayed_fleet(scripts, patient()) as (fleet, link):
            ingress = fleet.proxies[0]
            link.bytes_per_second = flow_control.FLOW_CONTROL_WINDOW // 2
            caller = Caller(ingress.caller_address)
            await caller.send()
            await caller.finish()
            assert caller.body == scripted.LARGE_BODY
            assert not is_silent(ingress)

    helper.run(work())


def test_request_without_another_attempt_waits_for_its_silent_peer():
    """Guards against an error though the only target was to respond."""

    async def work():
        first = patient("idempotent", **{"retry-attempts": 1})
        async with relayed_fleet([[], ["hold"]], first) as (fleet, link):
            ingress, target = fleet.proxies[0], fleet.targets[1]
            caller = Caller(ingress.caller_address)
            await caller.send()
            await helper.until(lambda: target.received)
            silence(link)
            target.release.set()
            await helper.until(lambda: is_silent(ingress))
            link.heal()
            await caller.finish()
            assert caller.status == 200
            assert len(target.received) == 1

    helper.run(work())


def test_request_that_was_read_in_part_waits_for_its_silent_peer():
    """Guards against an error in mid-upload though the peer was to come back.

    The body is larger than what is kept, so no other target can get it.
    """

    async def work():
        async with relayed_fleet([[], []], patient()) as (fleet, link):
            ingress, target = fleet.proxies[0], fleet.targets[1]
            body = scripted.LARGE_BODY
            caller = Caller(ingress.caller_address)
            await caller.send(length=len(body))
            caller.write(body[: -scripted.HELD_BYTES])
            await helper.until(lambda: target.connections)
            silence(link)
            caller.write(body[-scripted.HELD_BYTES :])
            await helper.until(lambda: is_silent(ingress))
            link.heal()
            await caller.finish()
            assert caller.status == 200
            assert [received.body for received in target.received] == [body]

    helper.run(work())


def test_request_without_a_response_leaves_a_silent_peer():
    """Guards against a request that waits though another target is free."""

    async def work():
        scripts = [[], ["hold"], []]
        async with relayed_fleet(scripts, patient()) as (fleet, link):
            ingress, target = fleet.proxies[0], fleet.targets[1]
            fleet.proxies[2].local_targets.drain("t2")
            caller = Caller(ingress.caller_address)
            await caller.send()
            await helper.until(lambda: target.received)
            silence(link)
            announce_another_target(fleet)
            await caller.finish()
            assert caller.status == 200
            assert len(fleet.targets[2].received) == 1

    helper.run(work())


@pytest.mark.parametrize("script", ["hold", "large"])
def test_deadline_with_a_silent_peer_gets_a_whole_error(script):
    """Guards against a closed connection instead of an error response."""

    async def work():
        first = patient(**{"timeout-ms": 1500, "retry-attempts": 1})
        async with relayed_fleet([[], [script]], first) as (fleet, link):
            ingress = fleet.proxies[0]
            hold_bodies(fleet.proxies[1])
            caller = Caller(ingress.caller_address)
            await caller.send()
            await helper.until(lambda: fleet.targets[1].received)
            silence(link)
            await caller.finish()
            assert caller.status == 504
            assert caller.body.endswith(b"}")

    helper.run(work())


def test_request_that_must_run_once_times_out_in_time(monkeypatch):
    """A fence of a silent peer was awaited after the timeout."""
    # Longer than the test waits.
    monkeypatch.setattr(peer_client, "FENCE_TIMEOUT", 1000.0)

    async def work():
        first = patient("non_idempotent", **{"timeout-ms": 1500})
        async with relayed_fleet([[], []], first) as (fleet, link):
            ingress = fleet.proxies[0]
            assert (await fleet.ask()).status == 200
            caller = Caller(ingress.caller_address)
            silence(link)
            await caller.send()
            await helper.until(lambda: caller.status)
            assert caller.status == 504
            assert fleet.runs() == 1

    helper.run(work())


def test_request_in_a_queue_at_its_timeout_is_told_that_it_did_not_run():
    async def work():
        first = patient("non_idempotent", **{"timeout-ms": 3000})
        async with relayed_fleet([[], ["hold"]], first) as (fleet, _):
            ingress, owner = fleet.proxies
            owner.local_targets.by_name["t1"].controller.slots = 1
            running, waiting = (
                Caller(ingress.caller_address) for _ in range(2)
            )
            await running.send()
            await helper.until(lambda: fleet.runs() == 1)
            await waiting.send()
            await helper.until(lambda: running.status and waiting.status)
            assert running.status == 504
            assert waiting.status == 503
            assert fleet.runs() == 1

    helper.run(work())


def test_request_that_must_run_once_is_fenced_before_its_timeout(monkeypatch):
    """The fence was sent after the timeout."""
    fenced = []

    async def work():
        first = patient("non_idempotent", **{"timeout-ms": 3000})
        async with relayed_fleet([[], ["hold"]], first) as (fleet, _):
            ingress = fleet.proxies[0]
            dispatcher = ingress.forwarder.dispatcher
            fence = dispatcher._fence
            caller = Caller(ingress.caller_address)

            async def record(*arguments):
                fenced.append((caller.status, await fence(*arguments)))
                return fenced[-1][1]

            monkeypatch.setattr(dispatcher, "_fence", record)
            await caller.send()
            await helper.until(lambda: caller.status)
            assert caller.status == 504
            # It runs, so it can't be fenced, and its caller had no answer yet.
            assert fenced == [(0, False)]

    helper.run(work())


def test_lost_connection_never_makes_a_part_look_whole():
    """Guards against a response that ends early and appears complete."""

    async def work():
        scripts = [[], ["large-held"]]
        async with relayed_fleet(scripts, patient()) as (fleet, link):
            ingress = fleet.proxies[0]
            caller = Caller(ingress.caller_address)
            await caller.send()
            begun = len(scripted.LARGE_BODY) - scripted.HELD_BYTES
            await helper.until(lambda: len(caller.body) == begun)
            silence(link)
            await helper.until(lambda: is_silent(ingress))
            link.reset()
            await caller.finish()
            assert not caller.is_complete()
            cut = ingress.counters.responses_cut_by_reason
            assert cut == {"peer-lost": 1}

    helper.run(work())


def test_stop_of_the_reader_waits_for_a_silent_peer():
    """Guards against a planned stop that cuts off what only the peer has."""

    async def work():
        scripts = [[], ["large-held"]]
        async with relayed_fleet(scripts, patient()) as (fleet, link):
            ingress, target = fleet.proxies[0], fleet.targets[1]
            caller = Caller(ingress.caller_address)
            await caller.send()
            begun = len(scripted.LARGE_BODY) - scripted.HELD_BYTES
            await helper.until(lambda: len(caller.body) == begun)
            silence(link)
            stopping = asyncio.create_task(ingress.stop())
            await helper.until(lambda: is_silent(ingress))
            target.release.set()
            link.heal()
            await caller.finish()
            await stopping
            assert caller.body == scripted.LARGE_BODY

    helper.run(work())


def test_stop_of_the_peer_waits_for_a_reader_that_pauses(monkeypatch):
    """Guards against a planned stop that ends before its peers have read.

    The target has finished, so nothing is pending any more, but the ends of the
    responses are in the buffers of the process that stops.
    """
    monkeypatch.setattr(shutdown, "LAME_DUCK_SECONDS", 0.0)

    async def work():
        scripts = [[], ["large-held"] * READERS]
        async with processes.Fleet(scripts, patient()) as fleet:
            (ingress, peer), target = fleet.proxies, fleet.targets[1]
            fleet.proxies[0].local_targets.drain("t0")
            callers = [Caller(ingress.caller_address) for _ in range(READERS)]
            for caller in callers:
                await caller.send()
            begun = len(scripted.LARGE_BODY) - scripted.HELD_BYTES
            for caller in callers:
                await helper.until(
                    lambda caller=caller: len(caller.body) == begun
                )
            connection = ingress.peer_connections.connection_by_process["p1"]
            transport = connection._frames.transport
            transport.pause_reading()
            # Most of the rest stays in the socket buffer of the peer.
            peer_socket = transport.get_extra_info("socket")
            peer_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, READER_BUFFER
            )
            stopping = asyncio.create_task(peer.stop())
            target.release.set()
            await helper.until(lambda: not peer.pending_responses())
            began = peer.clock.monotonic()
            await helper.until(
                lambda: (
                    stopping.done()
                    or peer.clock.monotonic() - began > READER_PAUSE
                )
            )
            transport.resume_reading()
            for caller in callers:
                await caller.finish()
                assert caller.body == scripted.LARGE_BODY
            await stopping

    helper.run(work())


def test_three_large_responses_pass_a_slow_link():
    """Guards against a frame that waits behind those of other responses."""

    async def work():
        scripts = [[], ["large"] * 3]
        async with relayed_fleet(scripts, patient()) as (fleet, link):
            ingress = fleet.proxies[0]
            link.bytes_per_second = 2 * flow_control.FLOW_CONTROL_WINDOW
            callers = [Caller(ingress.caller_address) for _ in range(3)]
            for caller in callers:
                await caller.send()
            for caller in callers:
                await caller.finish()
                assert caller.body == scripted.LARGE_BODY

    helper.run(work())


def test_lower_idle_timeout_spares_a_running_request():
    """Guards against a new idle timeout that closes a busy connection."""

    async def work():
        scripts = [[], ["hold"]]
        first = patient()
        async with relayed_fleet(scripts, first) as (fleet, _):
            ingress, target = fleet.proxies[0], fleet.targets[1]
            caller = Caller(ingress.caller_address)
            await caller.send()
            await helper.until(lambda: target.received)
            fleet.store.configure(
                {**first, "version": 2, "limits": {"idle-timeout-ms": 100}}
            )
            await helper.until(
                lambda: ingress.active_catalog.catalog.version == 2
            )
            assert ingress.active_catalog.catalog.limits.idle_timeout == 0.1
            await asyncio.sleep(2.0)
            target.release.set()
            await caller.finish()
            assert caller.status == 200

    helper.run(work())


@pytest.mark.parametrize("pipelined", [False, True])
def test_lower_idle_timeout_spares_a_response_that_is_on_its_way(pipelined):
    """Guards against a new idle timeout that cuts a slow reader off."""

    async def work():
        scripts = [[], ["large-held"]]
        first = patient()
        async with relayed_fleet(scripts, first) as (fleet, _):
            ingress, target = fleet.proxies[0], fleet.targets[1]
            caller = Caller(ingress.caller_address)
            await caller.send()
            begun = len(scripted.LARGE_BODY) - scripted.HELD_BYTES
            await helper.until(lambda: len(caller.body) == begun)
            if pipelined:
                caller.write(b"GET /a/ HT")
            fleet.store.configure(
                {**first, "version": 2, "limits": {"idle-timeout-ms": 100}}
            )
            await helper.until(
                lambda: ingress.active_catalog.catalog.version == 2
            )
            await asyncio.sleep(1.5)
            target.release.set()
            await caller.finish()
            assert caller.body[: len(scripted.LARGE_BODY)] == (
                scripted.LARGE_BODY
            )

    helper.run(work())


def test_stop_beside_the_target_passes_large_responses_over_a_slow_link():
    """Guards against a planned stop that cuts off what is still on its way.

    The link needs longer than `shutdown.PEER_CLOSE_TIMEOUT` for what is in
    the buffers, and the grace period is far from over.
    """

    async def work():
        count = 4
        scripts = [[], ["large"] * count]
        first = patient()
        async with relayed_fleet(scripts, first) as (fleet, link):
            ingress, peer = fleet.proxies[0], fleet.proxies[1]
            link.bytes_per_second = flow_control.FLOW_CONTROL_WINDOW // 2
            callers = [Caller(ingress.caller_address) for _ in range(count)]
            for caller in callers:
                await caller.send()
            await helper.until(lambda: len(fleet.targets[1].received) == count)
            object.__setattr__(peer.settings.platform, "grace", 60.0)
            stopping = asyncio.create_task(peer.stop())
            for caller in callers:
                await caller.finish()
            await stopping
            whole = [caller.body == scripted.LARGE_BODY for caller in callers]
            assert whole == [True] * count

    helper.run(work())
