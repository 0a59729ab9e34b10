"""How a request goes over targets: what it accepts, step by step."""

from forklift import chooser
from forklift import gate
from forklift.shell import exchange
from forklift.shell import forward
from test import helper


def made() -> forward.Forwarder:
    return forward.Forwarder("p", 1, None, None, None, None, None, None)


def request(**changes) -> exchange.Request:
    fields = {
        "id": "r",
        "seq": 1,
        "service": "s",
        "route": "r",
        "method": b"GET",
        "path": b"/",
        "headers": (),
        "length": 0,
        "body": exchange.Body(),
        "deadline": 10.0,
        "repeatable": False,
    }
    return exchange.Request(**{**fields, **changes})


def refused(found, walk, target: str, reason: forward.Reason) -> None:
    choice = chooser.Choice(target, f"p-{target}")
    found._go_on(
        request(), walk, choice, exchange.not_run(reason), helper.Sink()
    )


def test_idle_targets_that_nothing_proved_go_before_waiting():
    found, walk = made(), forward._Walk(0.0, 2.5)
    refused(found, walk, "busy", forward.Reason.BUSY)
    for number in range(forward.MAX_REFUSALS - 1):
        refused(found, walk, f"idle-{number}", forward.Reason.UNPROVEN)
    assert walk.refused == {"busy"}
    assert found._insist(walk, 0.0) is gate.Insist.SOUND
    assert not walk.wait
    for number in range(forward.MAX_REFUSALS):
        refused(found, walk, f"idle-{number}", forward.Reason.BUSY)
    assert walk.wait
    assert walk.refused == set()
