"""Decoders of external bytes terminate and raise only typed errors."""

import asyncio
import random

import h11
import hypothesis
from hypothesis import strategies

from forklift import errors
from forklift import messages
from forklift import policy
from forklift import settings
from forklift.platform import configuration
from forklift.platform import endpoints
from forklift.platform import store
from forklift.shell import http
from forklift.shell import server
from forklift.shell import tcp_stream
from test import helper
from test import processes
from test import test_ui

fuzz_settings = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True
)
VALID = [
    messages.encode(messages.Cancel(7)),
    messages.encode(messages.KeepAlive(1, True)),
    messages.encode(messages.Ping(helper.info("p", "t"), 1, 0.0, 5, ())),
    messages.encode(messages.announcement_of(helper.info("p", "t"))),
    messages.encode(messages.FenceRequest(1, 2, 3, 4, "p")),
    messages.encode(messages.LeavingTargets(messages.Sender("p", "c"), ("t",))),
]


@strategies.composite
def mutated(draw):
    """Generates valid messages with bytes changed, removed or appended."""
    data = bytearray(draw(strategies.sampled_from(VALID)))
    for _ in range(draw(strategies.integers(0, 4))):
        index = draw(strategies.integers(0, len(data) - 1))
        data[index] = draw(strategies.integers(0, 255))
    end = draw(strategies.integers(0, len(data)))
    return bytes(data[:end]) + draw(strategies.binary(max_size=8))


@hypothesis.given(strategies.binary(max_size=400) | mutated())
@fuzz_settings
def test_messages_round_trip_or_are_rejected(data):
    for decode in (
        messages.decode_frame,
        lambda record: messages.decode_announcement("p", record),
        messages.decode_control,
    ):
        try:
            message = decode(data)
        except messages.MalformedMessage:
            continue
        assert decode(messages.encode(message)) == message


def test_deeply_nested_message_is_rejected():
    for decode in (messages.decode_frame, messages.decode_control):
        try:
            decode(b"\x91" * 100_000)
        except messages.MalformedMessage:
            continue
        raise AssertionError("accepted")


@hypothesis.given(strategies.binary(max_size=400))
@fuzz_settings
def test_store_responses_raise_documented_errors(data):
    try:
        _, _, records = store._split_records(data)
        for record in records:
            store._split_key(record)
    except errors.RegistryUnavailable:
        return


@hypothesis.given(
    strategies.binary(max_size=300) | strategies.text().map(str.encode)
)
@fuzz_settings
def test_configuration_records_raise_documented_errors(data):
    try:
        store.decode_configuration(data)
    except configuration.InvalidRecord:
        return


@hypothesis.given(strategies.binary(max_size=300))
@fuzz_settings
def test_heartbeat_is_accepted_or_rejected(data):
    seen = []
    calls = endpoints.Endpoints(seen.append, seen.append, lambda: True)
    path = "/Instances.Heartbeat/t"
    request = server.Request("POST", path, (), data)
    response = helper.run(calls.heartbeat(request))
    assert (response.status == 200) == bool(seen)


@hypothesis.given(strategies.binary(max_size=300))
@fuzz_settings
def test_request_heads_raise_documented_errors(data):
    try:
        http.check_head(data)
    except errors.BadRequest:
        return
    assert b"\0" not in data


ini_text = strategies.lists(
    strategies.sampled_from(
        (test_ui.PROCESS + test_ui.POLICY).splitlines()
        + ["[", "=", "[service]", "[route ]", "a", " x", "%(a)s", "floor = -1"]
    )
    | strategies.text(max_size=30),
    max_size=25,
).map("\n".join)


@hypothesis.given(ini_text)
@fuzz_settings
def test_ini_files_raise_documented_errors(text):
    for parse in (settings.parse, policy.parse):
        try:
            parse("f", text)
        except errors.FileProblems as found:
            assert found.problems


@hypothesis.given(strategies.text(max_size=60))
@fuzz_settings
def test_expressions_raise_documented_errors(text):
    try:
        policy.expressions.Expression(text, {"status": 1}, False)
    except policy.expressions.ExpressionError:
        return


def test_process_survives_mutated_requests():
    """A process that received randomly mutated requests must still serve."""
    rng = random.Random(5)
    requests = (
        b"POST /a/1 HTTP/1.1\r\nhost: h\r\nx-request-id: i\r\n"
        b"content-length: 2\r\n\r\n{}"
    )

    async def one(address):
        data = bytearray(requests * rng.choice((1, 2)))
        for _ in range(rng.randrange(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        connection = await tcp_stream.connect(address)
        connection.write(bytes(data[: rng.randrange(1, len(data))]))
        connection.transport.write_eof()
        while await connection.read():
            pass
        connection.abort()

    async def work():
        async with processes.Fleet([[]]) as fleet:
            proxy = fleet.proxies[0]
            for _ in range(30):
                await asyncio.gather(
                    *(one(proxy.caller_address) for _ in range(10))
                )
            await helper.until(lambda: proxy.running() == 0)
            assert (await fleet.ask()).status == 200

    helper.run(work())


def test_folded_header_is_rejected():
    """h11 accepts obsolete line folding, so it must be rejected before."""
    folded = b"GET / HTTP/1.1\r\nhost: a\r\nx: 1\r\n y: 2\r\n\r\n"
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(folded)
    assert isinstance(parser.next_event(), h11.Request)
    try:
        http.check_head(folded)
    except errors.BadRequest:
        return
    raise AssertionError("accepted")
