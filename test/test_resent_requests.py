"""Which requests leave a silent peer for another target, and which wait."""

import asyncio

import pytest

from forklift import load_balancer
from forklift import policy
from forklift.shell import flow_control
from forklift_lab import relay
from forklift_lab import scripted
from test import helper
from test import test_silent_peers as silent_peers

SECONDS_UNTIL_CANCELLED = 5.0


async def send_to_silent_peer(fleet, link, count=1):
    """Sends requests to p1 until all run there, then silences its link."""
    ingress, target = fleet.proxies[0], fleet.targets[1]
    callers = [
        silent_peers.Caller(ingress.caller_address) for _ in range(count)
    ]
    for caller in callers:
        await caller.send()
    await helper.until(lambda: len(target.received) == count)
    silent_peers.silence(link)
    return callers


async def come_back(fleet, link):
    """Lets the targets answer and p1 come back once it counts as silent."""
    for target in fleet.targets:
        target.release.set()
    await helper.until(lambda: silent_peers.is_silent(fleet.proxies[0]))
    await asyncio.sleep(0.2)
    link.heal()


def test_request_whose_only_target_is_silent_waits_for_it():
    """Guards against an error though no other target could be tried.

    The attempt limit and the budget allow a retry, but a target that was
    tried is never selected again, so there is nothing to retry at.
    """

    async def work():
        first = silent_peers.patient("idempotent", **{"timeout-ms": 4000})
        async with silent_peers.relayed_fleet([[], ["hold"]], first) as (
            fleet,
            link,
        ):
            (caller,) = await send_to_silent_peer(fleet, link)
            await come_back(fleet, link)
            await caller.finish()
            assert caller.status == 200

    helper.run(work())


def test_requests_beyond_the_retry_budget_wait_for_their_silent_peer():
    """Guards against failing more requests at once than can be retried.

    Each one is asked separately whether the budget would grant a retry, and
    none is charged before all have been failed.
    """

    async def work():
        scripts = [[], ["hold"] * 4, []]
        first = silent_peers.patient("idempotent", **{"timeout-ms": 8000})
        async with silent_peers.relayed_fleet(scripts, first) as (fleet, link):
            ingress = fleet.proxies[0]
            fleet.proxies[2].local_targets.drain("t2")
            ingress.balancer.retry_budgets.set_limits(
                load_balancer.RetryBudgetLimits(0.0, 10.0, 4.0, 1.0)
            )
            callers = await send_to_silent_peer(fleet, link, count=4)
            silent_peers.announce_another_target(fleet)
            usable = ingress.balancer.retry_budgets.usable(
                "s", ingress.clock.monotonic()
            )
            assert 1 <= usable < 4
            await come_back(fleet, link)
            for caller in callers:
                await caller.finish()
            assert [caller.status for caller in callers] == [200] * 4

    helper.run(work())


def test_request_that_the_policy_does_not_retry_waits_for_its_silent_peer():
    """Guards against failing a request that the policy will not retry."""

    async def work():
        first = silent_peers.patient("idempotent", **{"timeout-ms": 8000})
        scripts = [[], ["hold"], []]
        async with silent_peers.relayed_fleet(scripts, first) as (fleet, link):
            ingress = fleet.proxies[0]
            ingress.policy = policy.parse(
                "p",
                "[policy]\nname = p\n"
                "[service default]\nretry = outcome == 'not-run'\n",
            )
            fleet.proxies[2].local_targets.drain("t2")
            (caller,) = await send_to_silent_peer(fleet, link)
            await come_back(fleet, link)
            await caller.finish()
            assert caller.status == 200

    helper.run(work())


def test_hedged_request_waits_for_one_of_two_silent_peers():
    """Guards against failing both attempts of a request in one tick.

    Two attempts are all that the route allows, so the second one can't be
    sent again. Its limit is checked against completed attempts only.
    """

    async def work():
        first = silent_peers.patient(
            "idempotent", **{"timeout-ms": 8000, "target-latency-ms": 400}
        )
        scripts = [[], ["hold"], ["hold"]]
        async with silent_peers.relayed_fleet(scripts, first) as (fleet, _):
            ingress = fleet.proxies[0]
            caller = silent_peers.Caller(ingress.caller_address)
            await caller.send()
            await helper.until(lambda: fleet.runs() == 2)
            # As a tick does if this process itself was cut off.
            connections = ingress.peer_connections.connection_by_process
            for connection in connections.values():
                connection.fail_resendable()
            await asyncio.sleep(0.2)
            for target in fleet.targets:
                target.release.set()
            await caller.finish()
            assert caller.status == 200

    helper.run(work())


@pytest.mark.parametrize("script", ["hold", "large"])
def test_request_that_left_a_silent_peer_ends_there(script):
    """Guards against a run that nobody reads and that keeps its slot.

    A request that was failed as its peer was silent is not cancelled there.
    A large response of it waits for credit until the deadline.
    """

    async def work():
        scripts = [[], [script], []]
        async with silent_peers.relayed_fleet(
            scripts, silent_peers.patient()
        ) as (fleet, link):
            fleet.proxies[2].local_targets.drain("t2")
            ingress = fleet.proxies[0]
            if script == "large":
                # Only the way back is silent, so that the target answers.
                caller = silent_peers.Caller(ingress.caller_address)
                await fleet.proxies[0].peer_connections.get("p1")
                link.silence(relay.Way.DOWN)
                await caller.send()
            else:
                (caller,) = await send_to_silent_peer(fleet, link)
            silent_peers.announce_another_target(fleet)
            await caller.finish()
            assert caller.status == 200
            link.heal()
            await helper.until(
                lambda: not silent_peers.is_silent(fleet.proxies[0])
            )
            await helper.until(
                lambda: not fleet.proxies[1].local_targets.running,
                SECONDS_UNTIL_CANCELLED,
            )

    helper.run(work())


def test_large_response_that_is_arriving_is_not_hedged():
    """Guards against a second large response over a link that is full.

    Once the head has arrived, the target has responded.
    """

    async def work():
        scripts = [[], ["large"], ["large"]]
        first = silent_peers.patient(**{"target-latency-ms": 400})
        async with silent_peers.relayed_fleet(scripts, first) as (fleet, link):
            ingress = fleet.proxies[0]
            fleet.proxies[2].local_targets.drain("t2")
            link.bytes_per_second = flow_control.FLOW_CONTROL_WINDOW // 4
            caller = silent_peers.Caller(ingress.caller_address)
            await caller.send()
            await helper.until(lambda: silent_peers.has_head(ingress))
            silent_peers.announce_another_target(fleet)
            await caller.finish()
            assert caller.body == scripted.LARGE_BODY
            assert not ingress.forwarder.hedges

    helper.run(work())
