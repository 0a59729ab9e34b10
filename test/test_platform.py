"""Decoding of configuration records and of the calls of the platform."""

import json

import pytest

from forklift import heartbeats
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


def record_with(**fields) -> bytes:
    return json.dumps({**RECORD, **fields}).encode()


def test_configuration_record_is_decoded():
    found = configuration.decode(record_with(unheard="of"))
    route = found.routes.find("h.example:80", "/a/b?c")
    assert found.version == 7
    assert route.name == "r"
    assert not route.idempotent
    assert (route.timeout, route.objective, route.max_attempts) == (2.5, 0.8, 2)
    assert [share.service for share in route.weighted_services] == ["s"]
    assert found.services_by_name["s"].max_connections == 330
    assert found.limits.idle_timeout == 15.0


@pytest.mark.parametrize(
    ("kind", "idempotent", "bulk"),
    [
        ("idempotent", True, False),
        ("download", True, True),
        ("non_idempotent", False, False),
        ("unknown", False, False),
    ],
)
def test_kind_of_route_decides_what_may_be_repeated(kind, idempotent, bulk):
    """Guards against downloads that are never retried or hedged."""
    found = configuration.decode(
        record_with(routes={"r": {**ROUTE, "kind": kind}})
    )
    route = found.routes.find("h.example", "/a/b")
    assert (route.idempotent, route.bulk) == (idempotent, bulk)
    assert found.has_bulk_routes is bulk


@pytest.mark.parametrize("path", ["/a", "/", "/ab/", "/b/a/"])
def test_path_prefix_matches_literally(path):
    found = configuration.decode(record_with())
    assert found.routes.find("h.example", path) is None


def test_longest_prefix_wins():
    routes = {
        "short": ROUTE,
        "long": {**ROUTE, "path-prefix": "/a/b/"},
    }
    found = configuration.decode(record_with(routes=routes))
    assert found.routes.find("h.example", "/a/b/c").name == "long"
    assert found.routes.find("h.example", "/a/bc").name == "short"


def test_weighted_services_keep_their_weights():
    parts = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    route = {**ROUTE, "weighted-clusters": parts}
    del route["service"]
    services = {"s": {}, "t": {}}
    found = configuration.decode(
        record_with(routes={"r": route}, services=services)
    )
    shares = found.routes.find("h.example", "/a/").weighted_services
    assert [(s.service, s.weight) for s in shares] == [("s", 90), ("t", 10)]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        record_with()[:-9],
        b"[]",
        record_with(version=0),
        record_with(routes={"r": {**ROUTE, "service": "unheard"}}),
        record_with(routes={"r": {**ROUTE, "path-prefix": "a"}}),
        record_with(
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
def test_invalid_record_is_rejected(data):
    with pytest.raises(configuration.InvalidRecord):
        configuration.decode(data)


class Receiver:
    """Records what the endpoints pass on."""

    def __init__(self):
        self.announcements: list[heartbeats.Heartbeat] = []
        self.left: list[heartbeats.TargetIncarnation] = []
        self.ready = True
        self.endpoints = endpoints.Endpoints(
            self.announcements.append, self.left.append, lambda: self.ready
        )

    def call(self, path: str, body: bytes = b"") -> server.Response:
        request = server.Request("POST", path, (), body)
        return helper.run(self.endpoints.heartbeat(request))

    def ask(self) -> int:
        request = server.Request("GET", "/ready", (), b"")
        return helper.run(self.endpoints.readiness(request)).status


HEARTBEAT = {
    "address": "10.0.0.1:80",
    "info": {"service": "s", "version": "v1", "zone": "z", "slots": 3},
    "status": {"state": "draining", "sequence": 4, "cold-remaining-ms": 500},
}


def test_heartbeat_is_decoded():
    receiver = Receiver()
    path = "/Instances.Heartbeat/i-1"
    assert receiver.call(path, json.dumps(HEARTBEAT).encode()).status == 200
    assert receiver.announcements == [
        heartbeats.Heartbeat(
            heartbeats.TargetIncarnation("i-1"),
            "s",
            "10.0.0.1:80",
            "z",
            3,
            True,
            4,
            0.5,
        )
    ]


def test_heartbeat_carries_start_time():
    receiver = Receiver()
    body = json.dumps({**HEARTBEAT, "born": 1764720000123}).encode()
    assert receiver.call("/Instances.Heartbeat/i-1", body).status == 200
    (announced,) = receiver.announcements
    assert announced.incarnation == heartbeats.TargetIncarnation(
        "i-1", 1764720000123
    )


def test_malformed_heartbeat_is_rejected():
    receiver = Receiver()
    assert receiver.call("/Instances.Heartbeat/i-1", b"{").status == 400
    assert receiver.announcements == []


def test_deregistration_needs_no_body():
    receiver = Receiver()
    assert receiver.call("/Instances.Deregister/i-1").status == 200
    assert receiver.left == [heartbeats.TargetIncarnation("i-1")]


def test_deregistration_may_carry_start_time():
    receiver = Receiver()
    body = b'{"born": 1764720000123}'
    assert receiver.call("/Instances.Deregister/i-1", body).status == 200
    assert receiver.left == [heartbeats.TargetIncarnation("i-1", 1764720000123)]


@pytest.mark.parametrize(("ready", "status"), [(True, 200), (False, 503)])
def test_readiness_sets_the_status(ready, status):
    receiver = Receiver()
    receiver.ready = ready
    assert receiver.ask() == status
