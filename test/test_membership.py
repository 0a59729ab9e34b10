"""Who is there, and what overrides what."""

import random

from forklift import gossip
from forklift import membership
from forklift import messages
from test import helper

Liveness = messages.Liveness


def made() -> membership.Directory:
    return membership.Directory(
        helper.info("own"), membership.FULL_MEMBERSHIP_LIMIT
    )


def rumor(liveness=Liveness.ALIVE, **changes) -> messages.Rumor:
    return messages.Rumor(liveness, helper.info("a", **changes))


def test_a_process_without_targets_is_kept_as_well():
    known = made()
    assert known.apply(rumor(), 0.0)
    assert "a" in known.member_by_name


def test_a_new_run_whose_clock_was_set_back_speaks_for_itself():
    known = made()
    known.apply(rumor(boot=1, started=100.0), 0.0)
    back = helper.info("a", boot=2, started=98.0)
    assert not known.apply_direct(back, 1.0)
    known.mark("a", Liveness.SUSPECT, 2.0)
    assert known.apply_direct(back, 3.0)
    assert known.member_by_name["a"].info.boot == 2


def test_old_news_of_an_earlier_run_overrides_nothing():
    known = made()
    known.apply(rumor(boot=2, started=100.0), 0.0)
    known.mark("a", Liveness.SUSPECT, 1.0)
    assert not known.apply(rumor(boot=1, started=50.0), 2.0)
    assert known.member_by_name["a"].info.boot == 2


def test_a_process_taken_for_dead_is_asked_whether_it_is_back():
    known = made()
    known.apply(rumor(), 0.0)
    talk = gossip.Gossip(known, random.Random(1))
    known.mark("a", Liveness.DEAD, 1.0)
    asked = [send.address for send in talk.tick(2.0)]
    assert asked == ["a"]


def test_news_that_comes_together_is_told_together():
    known = made()
    talk = gossip.Gossip(known, random.Random(1))
    for number in range(10):
        info = helper.info(f"n{number}")
        known.apply(messages.Rumor(Liveness.ALIVE, info), 0.0)
        talk.queue_rumor(info.name)
    told = talk.tick(100.0)
    pings = [s for s in told if isinstance(s.message, messages.Ping)]
    assert len(pings) <= gossip.FAN_OUT + 1
    assert max(len(ping.message.rumors) for ping in pings) >= 9


def test_news_reaches_every_domain_though_it_is_mostly_told_nearby():
    infos = {
        f"{domain}{number}": helper.info(f"{domain}{number}", domain=domain)
        for domain in "xyz"
        for number in range(8)
    }

    def knows(talk: gossip.Gossip) -> bool:
        member = talk.directory.member_by_name.get("x0")
        return member is None or bool(member.info.targets)

    rng = random.Random(1)
    talk_by_name = {}
    for name, own in infos.items():
        known = membership.Directory(own, membership.FULL_MEMBERSHIP_LIMIT)
        for other in infos.values():
            if other is not own:
                known.apply(messages.Rumor(Liveness.ALIVE, other), 0.0)
        talk_by_name[name] = gossip.Gossip(known, rng)
    first = talk_by_name["x0"]
    first.directory.update_own(targets=(helper.target_info("t"),))
    first.queue_rumor("x0")
    far_by_step = []
    for step in range(400):
        now = 10.0 + step * gossip.GOSSIP_PERIOD
        sent = [
            (name, send)
            for name, talk in talk_by_name.items()
            for send in talk.tick(now)
        ]
        for _, send in sent:
            talk_by_name[send.address].receive(send.message, now)
        far_by_step.append([name[0] != s.address[0] for name, s in sent])
        if all(knows(talk) for talk in talk_by_name.values()):
            break
    assert all(knows(talk) for talk in talk_by_name.values())
    # The first step also has the ping that each sends once a second.
    news = [far for step in far_by_step[1:6] for far in step]
    assert sum(news) < len(news) / 2
