"""Converts the requests that peers send to requests and tickets."""

from forklift import admission
from forklift import messages
from forklift.shell import exchange


def to_request(
    start: messages.RequestStart, body: exchange.Body, now: float
) -> exchange.Request:
    """Returns the request that a peer sent.

    Args:
        start: Its first message.
        body: Its body.
        now: Monotonic seconds.
    """
    return exchange.Request(
        id=start.request_id,
        seq=start.seq,
        service=start.service,
        route=start.route,
        method=start.method,
        path=start.path,
        headers=start.headers,
        length=start.length,
        body=body,
        deadline=now + start.remaining,
        idempotent=start.idempotent,
        origin=start.origin,
        priority=start.priority,
        fingerprint=start.fingerprint,
        organisation=start.organisation,
    )


def to_ticket(
    start: messages.RequestStart, boot: int, now: float
) -> admission.Ticket:
    """Returns the request for admission of a request that a peer sent.

    Args:
        start: Its first message.
        boot: Boot identity of the peer.
        now: Monotonic seconds.
    """
    return admission.Ticket(
        (boot, start.seq),
        start.idempotent,
        start.priority,
        now + start.remaining,
        admission.RequiredHealth(
            min(start.required_health, admission.RequiredHealth.ANY)
        ),
        now + start.objective_remaining,
        start.route,
        start.wait,
        now + start.start_within,
        start.exclusive,
        start.organisation,
        start.is_call,
    )
