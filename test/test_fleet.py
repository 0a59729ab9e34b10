"""Failures brought about in a fleet over real sockets, in one loop."""

import asyncio
import json
import uuid

import pytest

from forklift import floor
from forklift import messages
from forklift import ownership
from forklift.shell import client
from forklift.shell import http
from forklift_lab import loading
from test import helper

State = messages.TargetState


async def ask(place, method="GET", path="/x", key="", token="t", body=b""):
    headers = [("x-token", token)]
    if key:
        headers.append(("idempotency-key", key))
    asker = client.Client(place.caller)
    try:
        return await asker.request(
            method, path, body, tuple(headers), 20.0, "s"
        )
    finally:
        asker.close()


def problem(response) -> dict:
    assert http.value(response.headers, b"content-type") == http.PROBLEM
    return json.loads(response.body)


def test_request_goes_through_any_process():
    async def work():
        async with helper.Fleet(3) as fleet:
            for place in fleet.places:
                for number in range(10):
                    token = f"{place.name}-{number}"
                    response = await ask(place, token=token)
                    assert response.status == 200
                    assert json.loads(
                        response.body.partition(b"}")[0] + b"}"
                    )["token"] == token  # fmt: skip
            assert all(target.begun for target in fleet.targets)

    helper.run(work())


@pytest.mark.parametrize("fault", ["fail", "short", "mixed", "hang", "refuse"])
def test_repeatable_requests_survive_a_gray_target(fault):
    async def work():
        async with helper.Fleet(4, floor=2, deadline=20) as fleet:
            await _permits_can_be_granted(fleet)
            sick = fleet.targets[1]
            sick.fault = fault
            if fault == "refuse":
                sick._server.close()
            standing = fleet.nodes[1].guard.target_by_name[sick.name].standing

            async def steady(place):
                while standing.state is not State.EJECTED:
                    response = await ask(place)
                    assert response.status == 200, response.body

            calls = [steady(place) for place in fleet.places * 3]
            await asyncio.gather(*calls)

    helper.run(work())


async def _permits_can_be_granted(fleet):
    name = ownership.resource("s", 0)

    def granting():
        for node in fleet.nodes:
            now = node.clock.monotonic()
            holding = node.decisions.owner.held(name, now)
            if holding is not None:
                return now > holding.starts + floor.PERMIT_LEASE
        return False

    await helper.until(granting)


def test_floor_keeps_the_last_targets_in():
    async def work():
        async with helper.Fleet(3, floor=3) as fleet:
            await _permits_can_be_granted(fleet)
            sick = fleet.targets[0]
            sick.fault = "fail"
            target = fleet.nodes[0].guard.target_by_name[sick.name]
            while target.denial is None:
                await ask(fleet.places[0])
            assert target.denial.cause == "the floor needs it"
            assert target.standing.state is not State.EJECTED

    helper.run(work())


@pytest.mark.parametrize("key", ["v7", "opaque"])
def test_same_key_through_two_processes_runs_once(key):
    async def work():
        async with helper.Fleet(3, median=0.05) as fleet:
            await _owners_known(fleet)
            text = loading.uuid7() if key == "v7" else uuid.uuid4().hex
            calls = [ask(p, "POST", "/c", text, "t1") for p in fleet.places]
            responses = await asyncio.gather(*calls)
            statuses = sorted(r.status for r in responses)
            assert statuses == [200, 409, 409]
            again = await ask(fleet.places[2], "POST", "/c", text, "t1")
            assert again.status == 200
            assert http.value(again.headers, b"idempotency-replayed")
            other = await ask(fleet.places[0], "POST", "/other", text, "t1")
            assert other.status == 422
            runs = [t.runs_by_token.get("t1", 0) for t in fleet.targets]
            assert sum(runs) == 1

    helper.run(work())


async def _owners_known(fleet):
    def known():
        for node in fleet.nodes:
            for name in ownership.resources("s"):
                if node.decisions.owner.holder(name) is None:
                    return False
            loaded = node.keyed.ledgers().values()
            if not all(ledger.loaded for ledger in loaded):
                return False
        return True

    await helper.until(known)
    # A time-ordered key is only new after the clocks' skew has passed.
    latest = max(
        ledger.known_from
        for node in fleet.nodes
        for ledger in node.keyed.ledgers().values()
    )
    clock = fleet.nodes[0].clock
    await helper.until(lambda: clock.wall() > latest)


def test_log_away_runs_ordered_keys_and_refuses_opaque_ones():
    async def work():
        async with helper.Fleet(3) as fleet:
            await _owners_known(fleet)
            fleet.log.away = True
            place = fleet.places[0]
            assert (await ask(place)).status == 200
            ordered = await ask(place, "POST", "/c", loading.uuid7(), "a")
            assert ordered.status == 200
            opaque = await ask(place, "POST", "/c", "k" * 8, "b")
            told = problem(opaque)
            assert told["outcome"] == "not-run"
            assert told["reason"] == "log-away"
            assert all("b" not in t.runs_by_token for t in fleet.targets)
            fleet.log.away = False
            again = await ask(place, "POST", "/c", "k" * 8, "b")
            assert again.status == 200

    helper.run(work())


def test_owner_killed_then_key_is_unknown_and_not_run_again():
    async def work():
        async with helper.Fleet(3) as fleet:
            await _owners_known(fleet)
            key = loading.uuid7()
            first = await ask(fleet.places[0], "POST", "/c", key, "t")
            assert first.status == 200
            dead = next(
                number
                for number, node in enumerate(fleet.nodes)
                if any(len(lg) for lg in node.keyed.ledgers().values())
            )
            alive = fleet.places[(dead + 1) % 3]
            await fleet.nodes[dead].close()
            fleet.admins[dead].close()

            async def taken_over():
                response = await ask(alive, "POST", "/c", key, "t")
                told = problem(response)
                assert told["outcome"] in ("not-run", "unknown")
                return told["reason"] == "key-lost"

            while not await taken_over():
                await asyncio.sleep(0.05)
            assert sum(t.runs_by_token.get("t", 0) for t in fleet.targets) == 1

    helper.run(work())


def test_planned_stop_cuts_nothing_off_and_hands_keys_over():
    async def work():
        async with helper.Fleet(3, median=0.2) as fleet:
            await _owners_known(fleet)
            key = loading.uuid7()
            await ask(fleet.places[0], "POST", "/c", key, "t")
            owner = next(
                number
                for number, node in enumerate(fleet.nodes)
                if any(len(lg) for lg in node.keyed.ledgers().values())
            )
            stopped = fleet.places[owner]
            calls = [asyncio.create_task(ask(stopped)) for _ in range(6)]
            await helper.until(lambda: fleet.nodes[owner].callers.running == 6)
            await fleet.nodes[owner].stop()
            for call in calls:
                assert (await call).status == 200
            alive = fleet.places[(owner + 1) % 3]

            async def reason():
                response = await ask(alive, "POST", "/c", key, "t")
                return problem(response)["reason"]

            while await reason() != "key-lost":
                await asyncio.sleep(0.05)
            # A key that the stopped owner never saw runs at once.
            fresh = await ask(alive, "POST", "/c", loading.uuid7(), "u")
            assert fresh.status == 200
            assert sum(t.runs_by_token.get("t", 0) for t in fleet.targets) == 1

    helper.run(work())


def test_drain_sends_no_new_work_and_ends_what_runs():
    async def work():
        async with helper.Fleet(3, median=0.2) as fleet:
            target = fleet.targets[1]
            node = fleet.nodes[1]
            calls = [
                asyncio.create_task(ask(fleet.places[1])) for _ in range(6)
            ]
            await helper.until(lambda: target.begun > 0)
            node.drain(target.name)
            begun = target.begun
            for call in calls:
                assert (await call).status == 200
            for place in fleet.places * 4:
                assert (await ask(place)).status == 200
            assert target.begun == begun
            assert target.cut_off == 0

    helper.run(work())


def test_operators_racing_one_wins_and_the_other_is_told():
    async def work():
        async with helper.Fleet(3) as fleet:
            texts = [
                fleet.policy.replace("deadline = 5", f"deadline = {n}")
                for n in (6, 7, 8)
            ]
            calls = []
            for number, text in enumerate(texts):
                request = helper.report.PublishRequest(text, f"op{number}", 1)
                publisher = fleet.admins[number].publisher
                calls.append(publisher.publish(request))
            published = await asyncio.gather(*calls)
            won = [p for p in published if p.accepted]
            assert len(won) == 1
            assert won[0].version == 2
            for lost in published:
                assert lost.winner == won[0].winner
            await helper.until(
                lambda: (
                    {n.decisions.program("s").deadline for n in fleet.nodes}
                    == {6.0 + int(won[0].winner[-1])}
                )
            )

    helper.run(work())


def test_lost_answer_of_an_append_is_found_by_reading():
    async def work():
        async with helper.Fleet(2) as fleet:
            fleet.log.lose = 1
            changed = fleet.policy.replace("deadline = 5", "deadline = 6")
            published = await fleet.publish(changed)
            assert published.accepted
            assert published.version == 2
            versions = [
                n.decisions.configuration.version("p").number
                for n in fleet.nodes
            ]
            assert versions == [2, 2]

    helper.run(work())


def test_newcomer_joins_through_a_peer_with_the_log_down():
    async def work():
        async with helper.Fleet(2) as fleet:
            fleet.log.away = True
            place = helper.fleet.places({"x": 1}, ["a"])[0]
            join = (fleet.places[0].control,)
            node = await fleet.start(place, join)
            await helper.until(
                lambda: node.decisions.configuration.version("p").number == 1
            )
            await helper.until(lambda: len(node.directory.member_by_name) == 2)
            assert (await ask(place)).status == 200

    helper.run(work())


def test_wrong_key_is_refused_and_counted_and_nothing_runs():
    async def work():
        async with helper.Fleet(2, key="right") as fleet:
            place = helper.fleet.places({"x": 1}, ["a"])[0]
            fleet.key = "wrong"
            join = (fleet.places[0].control,)
            stranger = await fleet.start(place, join)
            node = fleet.nodes[0]
            await helper.until(lambda: node.control.refused > 0)
            stranger.directory.apply(
                messages.Rumor(messages.Liveness.ALIVE, node.directory.own), 0
            )
            with pytest.raises(helper.errors.PeerUnreachable):
                await stranger.links.get(node.directory.own.name)
            await helper.until(lambda: node.peers_refused > 0)
            asker = client.Client(fleet.places[0].admin)
            response = await asker.request("GET", "/status")
            asker.close()
            assert response.status == 401
            assert (await ask(fleet.places[0])).status == 200

    helper.run(work())


def test_caller_that_hangs_up_cancels_the_target():
    async def work():
        async with helper.Fleet(1) as fleet:
            target = fleet.targets[0]
            target.fault = "hang"
            call = asyncio.create_task(ask(fleet.places[0]))
            await helper.until(lambda: target.begun == 1)
            call.cancel()
            await helper.until(lambda: target.cut_off == 1)
            assert fleet.nodes[0].running() == 0

    helper.run(work())


def test_large_bodies_stream_both_ways_through_two_processes():
    async def work():
        async with helper.Fleet(2) as fleet:
            fleet.nodes[0].drain(fleet.targets[0].name)
            body = b"x" * 3_000_000
            response = await ask(
                fleet.places[0], "POST", "/c", token="big", body=body
            )
            assert response.status == 200
            assert fleet.targets[1].runs_by_token == {"big": 1}

    helper.run(work())


def test_newcomer_after_retention_took_the_publications():
    async def work():
        async with helper.Fleet(2) as fleet:
            changed = fleet.policy.replace("deadline = 5", "deadline = 6")
            await fleet.publish(changed)
            fleet.log.stream_by_name["config"].retain(0)
            fleet.log.slow = 0.2
            place = helper.fleet.places({"x": 1}, ["a"])[0]
            node = await fleet.start(place)
            await helper.until(
                lambda: node.decisions.configuration.version("p").number == 2
            )
            chain = node.decisions.configuration.chain_by_policy["p"]
            assert chain.certain
            again = changed.replace("deadline = 6", "deadline = 7")
            assert (await fleet.publish(again)).version == 3
            assert node.decisions.program("s").deadline == 7.0

    helper.run(work())
