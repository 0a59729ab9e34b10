"""Requests of callers that have left are not sent to targets."""

import asyncio
import dataclasses
import socket
import struct

import pytest

from forklift import admission
from forklift import health
from forklift.shell import exchange
from forklift.shell import proxy
from forklift.shell import tcp_stream
from forklift_lab import uploads
from test import helper
from test import processes

# More than the process reads before it pauses.
BODY = b"x" * 200_000
# Enough for the request to be queued.
START_BYTES = 20_000
LEAVING_CALLERS = 6
# Queued requests wait for longer than the tests take.
PATIENT = {"timeout-ms": 60_000, "target-latency-ms": 50_000}
ABORT = struct.pack("ii", 1, 0)


async def send(
    address: str, start: bytes = BODY[:START_BYTES], size: int = len(BODY)
) -> asyncio.StreamWriter:
    """Sends a request and the start of its body."""
    _, writer = await asyncio.open_connection(
        *tcp_stream.split_address(address)
    )
    length = b"content-length: %d" % size
    writer.write(b"PUT /a/ HTTP/1.1\r\nhost: h\r\n%s\r\n\r\n" % length + start)
    return writer


def record_results(process: proxy.Proxy) -> list[exchange.Result]:
    """Records the results of all requests that are not cancelled."""
    results = []
    process.ingress.hooks = dataclasses.replace(
        process.ingress.hooks,
        on_result=lambda request, result, seconds: results.append(result),
    )
    return results


def leave(writer: asyncio.StreamWriter, with_reset: bool) -> None:
    if with_reset:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
    writer.close()


@pytest.mark.parametrize("with_reset", [False, True])
@pytest.mark.parametrize("is_remote", [False, True])
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_queued_request_with_a_long_body_ends_with_its_caller(
    kind, is_remote, with_reset
):
    """Guards against a paused connection that hides that its caller left."""

    async def work(fleet):
        ingress = fleet.proxies[0]
        owner = fleet.proxies[-1 if is_remote else 0]
        for one in fleet.proxies:
            for name, local_target in list(one.local_targets.by_name.items()):
                if one is owner:
                    local_target.controller.slots = 1
                else:
                    one.local_targets.drain(name)
        (controller,) = [
            one.controller for one in owner.local_targets.by_name.values()
        ]
        target = fleet.targets[fleet.proxies.index(owner)]
        target.script.append("hold")
        running = asyncio.create_task(fleet.ask(fleet.proxies.index(owner)))
        await helper.until(lambda: fleet.runs() == 1)
        results = record_results(ingress)
        writer = await send(ingress.caller_address)
        await helper.until(lambda: controller.waiting == 1)
        writer.write(BODY[START_BYTES:])
        await helper.until(lambda: uploads.unacknowledged(writer) == 0)
        leave(writer, with_reset)
        others = 0 if is_remote else 1
        await helper.until(lambda: ingress.ingress.running == others)
        await helper.until(lambda: controller.waiting == 0)
        # It was cancelled, and not ended by a timeout.
        assert results == []
        target.release.set()
        await running
        assert fleet.runs() == 1

    first = processes.record(1, r=processes.route(kind, **PATIENT))
    processes.play(work, [[], []], first=first)


def test_pipelined_requests_end_with_their_caller(monkeypatch):
    """Guards against a connection that is paused behind many requests."""

    async def work(fleet):
        process = fleet.proxies[0]
        (local_target,) = process.local_targets.by_name.values()
        local_target.controller.slots = 1
        fleet.targets[0].script.append("hold")
        writer = await send(process.caller_address, b"", 0)
        await helper.until(lambda: fleet.runs() == 1)
        request = b"GET /a/ HTTP/1.1\r\nhost: h\r\nx: %s\r\n\r\n" % (
            b"y" * 4000
        )
        writer.write(request * 80)
        await helper.until(lambda: process.ingress.running > 20)
        leave(writer, with_reset=False)
        await helper.until(lambda: process.ingress.running == 0)
        assert fleet.runs() == 1

    first = processes.record(
        1, r=processes.route(**PATIENT, **{"retry-attempts": 1})
    )
    processes.play(work, [[]], first=first)


def test_paused_connection_whose_caller_stays_is_read_on():
    """Guards against taking a caller for gone that sends slowly."""

    async def work(fleet):
        address = tcp_stream.split_address(fleet.proxies[0].caller_address)
        reader, writer = await asyncio.open_connection(*address)
        length = b"content-length: %d" % len(BODY)
        writer.write(b"PUT /a/ HTTP/1.1\r\nhost: h\r\n%s\r\n\r\n" % length)
        writer.write(BODY)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        assert [len(one.body) for one in fleet.targets[0].received] == [
            len(BODY)
        ]
        writer.close()

    processes.play(work, [[]])


@pytest.mark.parametrize("is_remote", [False, True])
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_callers_that_leave_in_mid_upload_do_not_eject_the_target(
    kind, is_remote
):
    """Guards against an attempt that its caller ended counting as broken."""

    async def work(fleet):
        number_of_owner = 1 if is_remote else 0
        other = 1 - number_of_owner
        fleet.proxies[other].local_targets.drain(f"t{other}")
        owner = fleet.proxies[number_of_owner]
        (local_target,) = owner.local_targets.by_name.values()
        controller = local_target.controller
        ends = record_ends(controller)
        for number in range(LEAVING_CALLERS):
            address = fleet.proxies[0].caller_address
            writer = await send(address)
            await helper.until(lambda: controller.running == 1)
            # The upload has begun.
            await helper.until(lambda: local_target.pool.open_count == 1)
            leave(writer, with_reset=number % 2 == 1)
            await helper.until(lambda: controller.running == 0)
        assert ends == [None] * LEAVING_CALLERS
        assert not controller.health.ejected

    # Beyond the time that the test takes, so that no attempt is overdue.
    first = processes.record(1, r=processes.route(kind, **PATIENT))
    processes.play(work, [[], []], first=first)


def record_ends(controller: admission.Controller) -> list[health.Signal | None]:
    """Records what the end of each request says about a target."""
    signals = []
    finish = controller.finish

    def record(ticket, signal, now):
        signals.append(signal)
        return finish(ticket, signal, now)

    controller.finish = record
    return signals
