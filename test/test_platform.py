"""What the platform says, decoded once."""

import json

import pytest

from forklift import announcement
from forklift.platform import configuration
from forklift.platform import endpoints
from forklift.shell import server
from test import helper

ROUTE = {
    "host": "H.example",
    "path-prefix": "/a/",
    "kind": "non_idempotent",
    "timeout-ms": 2500,
    "target-latency-ms": 800,
    "priority": 0,
    "service": "s",
    "retry-attempts": 2,
}
RECORD = {
    "version": 7,
    "routes": {"r": ROUTE},
    "services": {"s": {"health-check": "/health", "max-connections": 330}},
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 100,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}


def changed(**fields) -> bytes:
    return json.dumps({**RECORD, **fields}).encode()


def test_decodes_the_operators_record():
    found = configuration.decode(changed(unheard="of"))
    route = found.routes.find("h.example:80", "/a/b?c")
    assert found.version == 7
    assert route.name == "r"
    assert not route.idempotent
    assert (route.timeout, route.objective, route.attempts) == (2.5, 0.8, 2)
    assert [share.service for share in route.weighted_services] == ["s"]
    assert found.services_by_name["s"].max_connections == 330
    assert found.limits.idle_timeout == 15.0


@pytest.mark.parametrize("path", ["/a", "/", "/ab/", "/b/a/"])
def test_a_prefix_is_literal(path):
    found = configuration.decode(changed())
    assert found.routes.find("h.example", path) is None


def test_the_longest_prefix_wins():
    routes = {
        "short": ROUTE,
        "long": {**ROUTE, "path-prefix": "/a/b/"},
    }
    found = configuration.decode(changed(routes=routes))
    assert found.routes.find("h.example", "/a/b/c").name == "long"
    assert found.routes.find("h.example", "/a/bc").name == "short"


def test_a_split_route_is_drawn_by_weight():
    parts = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    route = {**ROUTE, "weighted-clusters": parts}
    del route["service"]
    services = {"s": {}, "t": {}}
    found = configuration.decode(
        changed(routes={"r": route}, services=services)
    )
    shares = found.routes.find("h.example", "/a/").weighted_services
    assert [(s.service, s.weight) for s in shares] == [("s", 90), ("t", 10)]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        changed()[:-9],
        b"[]",
        changed(version=0),
        changed(routes={"r": {**ROUTE, "service": "unheard"}}),
        changed(routes={"r": {**ROUTE, "path-prefix": "a"}}),
        changed(
            routes={
                "r": {
                    **ROUTE,
                    "service": "",
                    "weighted-clusters": [{"service": "s", "weight": 0}],
                }
            }
        ),
    ],
)
def test_an_unusable_record_is_refused_with_a_reason(data):
    with pytest.raises(configuration.InvalidRecord):
        configuration.decode(data)


class Seen:
    """What the doors let in."""

    def __init__(self):
        self.announcements: list[announcement.Heartbeat] = []
        self.left: list[announcement.TargetIncarnation] = []
        self.ready = True
        self.doors = endpoints.Endpoints(
            self.announcements.append, self.left.append, lambda: self.ready
        )

    def call(self, path: str, body: bytes = b"") -> server.Response:
        request = server.Request("POST", path, (), body)
        return helper.run(self.doors.heartbeat(request))

    def ask(self) -> int:
        request = server.Request("GET", "/ready", (), b"")
        return helper.run(self.doors.readiness(request)).status


HEARTBEAT = {
    "address": "10.0.0.1:80",
    "info": {"service": "s", "version": "v1", "zone": "z", "slots": 3},
    "status": {"state": "draining", "sequence": 4, "cold-remaining-ms": 500},
}


def test_a_heartbeat_becomes_an_announcement():
    seen = Seen()
    path = "/Instances.Heartbeat/i-1"
    assert seen.call(path, json.dumps(HEARTBEAT).encode()).status == 200
    assert seen.announcements == [
        announcement.Heartbeat(
            announcement.TargetIncarnation("i-1"),
            "s",
            "10.0.0.1:80",
            "z",
            3,
            True,
            4,
            0.5,
        )
    ]


def test_a_heartbeat_tells_when_its_target_was_born():
    seen = Seen()
    body = json.dumps({**HEARTBEAT, "born": 1764720000123}).encode()
    assert seen.call("/Instances.Heartbeat/i-1", body).status == 200
    (said,) = seen.announcements
    assert said.incarnation == announcement.TargetIncarnation(
        "i-1", 1764720000123
    )


def test_a_malformed_heartbeat_is_refused():
    seen = Seen()
    assert seen.call("/Instances.Heartbeat/i-1", b"{").status == 400
    assert seen.announcements == []


def test_leaving_needs_no_body():
    seen = Seen()
    assert seen.call("/Instances.Deregister/i-1").status == 200
    assert seen.left == [announcement.TargetIncarnation("i-1")]


def test_leaving_may_tell_when_its_target_was_born():
    seen = Seen()
    body = b'{"born": 1764720000123}'
    assert seen.call("/Instances.Deregister/i-1", body).status == 200
    assert seen.left == [announcement.TargetIncarnation("i-1", 1764720000123)]


@pytest.mark.parametrize(("ready", "status"), [(True, 200), (False, 503)])
def test_readiness(ready, status):
    seen = Seen()
    seen.ready = ready
    assert seen.ask() == status
