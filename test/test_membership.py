"""Membership: which updates override others, and how gossip spreads them."""

import random

from forklift import gossip
from forklift import membership
from forklift import messages
from test import helper

Liveness = messages.Liveness


def new_directory() -> membership.Directory:
    return membership.Directory(
        helper.info("own"), membership.FULL_MEMBERSHIP_LIMIT
    )


def rumor(liveness=Liveness.ALIVE, **changes) -> messages.Rumor:
    return messages.Rumor(liveness, helper.info("a", **changes))


def test_process_without_targets_is_tracked():
    directory = new_directory()
    assert directory.apply(rumor(), 0.0)
    assert "a" in directory.member_by_name


def test_new_run_with_earlier_clock_is_accepted_after_suspicion():
    directory = new_directory()
    directory.apply(rumor(boot=1, started=100.0), 0.0)
    back = helper.info("a", boot=2, started=98.0)
    assert not directory.apply_direct(back, 1.0)
    directory.mark("a", Liveness.SUSPECT, 2.0)
    assert directory.apply_direct(back, 3.0)
    assert directory.member_by_name["a"].info.boot == 2


def test_rumor_about_an_earlier_run_is_ignored():
    directory = new_directory()
    directory.apply(rumor(boot=2, started=100.0), 0.0)
    directory.mark("a", Liveness.SUSPECT, 1.0)
    assert not directory.apply(rumor(boot=1, started=50.0), 2.0)
    assert directory.member_by_name["a"].info.boot == 2


def test_dead_member_is_pinged():
    directory = new_directory()
    directory.apply(rumor(), 0.0)
    sender = gossip.Gossip(directory, random.Random(1))
    directory.mark("a", Liveness.DEAD, 1.0)
    addresses = [send.address for send in sender.tick(2.0)]
    assert addresses == ["a"]


def test_simultaneous_rumors_are_batched():
    directory = new_directory()
    sender = gossip.Gossip(directory, random.Random(1))
    for number in range(10):
        info = helper.info(f"n{number}")
        directory.apply(messages.Rumor(Liveness.ALIVE, info), 0.0)
        sender.queue_rumor(info.name)
    sends = sender.tick(100.0)
    pings = [s for s in sends if isinstance(s.message, messages.Ping)]
    assert len(pings) <= gossip.FAN_OUT + 1
    assert max(len(ping.message.rumors) for ping in pings) >= 9


def test_rumor_reaches_all_domains_with_mostly_local_traffic():
    infos = {
        f"{domain}{number}": helper.info(f"{domain}{number}", domain=domain)
        for domain in "xyz"
        for number in range(8)
    }

    def knows(sender: gossip.Gossip) -> bool:
        member = sender.directory.member_by_name.get("x0")
        return member is None or bool(member.info.targets)

    rng = random.Random(1)
    gossip_by_name = {}
    for name, own in infos.items():
        directory = membership.Directory(own, membership.FULL_MEMBERSHIP_LIMIT)
        for other in infos.values():
            if other is not own:
                directory.apply(messages.Rumor(Liveness.ALIVE, other), 0.0)
        gossip_by_name[name] = gossip.Gossip(directory, rng)
    first = gossip_by_name["x0"]
    first.directory.update_own(targets=(helper.target_info("t"),))
    first.queue_rumor("x0")
    remote_by_step = []
    for step in range(400):
        now = 10.0 + step * gossip.GOSSIP_PERIOD
        sent = [
            (name, send)
            for name, sender in gossip_by_name.items()
            for send in sender.tick(now)
        ]
        for _, send in sent:
            gossip_by_name[send.address].receive(send.message, now)
        remote_by_step.append([name[0] != s.address[0] for name, s in sent])
        if all(knows(sender) for sender in gossip_by_name.values()):
            break
    assert all(knows(sender) for sender in gossip_by_name.values())
    # The first step also includes the periodic pings.
    remote = [is_remote for step in remote_by_step[1:6] for is_remote in step]
    assert sum(remote) < len(remote) / 2
