"""Configuration records that the operator writes during a soak."""

import random

from forklift_lab import programs

SERVICE = "releves"
# Kinds of the routes that all versions have, by name.
KINDS = {"history": "idempotent", "copies": "non_idempotent"}
# Kinds of the routes whose answers are large, by name; their timeout is so long
# that no fault of a soak reaches it.
LARGE_KINDS = {"statement": "download", "report": "idempotent"}
LARGE_TIMEOUT_MS = 60_000
LARGE_TARGET_LATENCY_MS = 20_000
# Bounds of routes whose requests may wait for long.
LONG_TIMEOUT_MS = 10_000
LONG_TARGET_LATENCY_MS = 8_000
# Number of earlier versions whose own route a record keeps.
KEPT_VERSIONS = 40
# An organisation with a rate limit, its key, and its requests per second.
ORGANISATION = "few"
KEY = "key-of-the-few"
RATE = 5
# Number of further organisations of a record that needs large control messages.
MANY_ORGANISATIONS = 500
# Length of their keys, which are random and so hardly compress.
KEY_BYTES = 16


def configuration(version: int) -> dict:
    """Returns the record of a version.

    Each version has a route of its own, and the own routes of some versions
    before it.
    """
    kept = range(max(0, version - KEPT_VERSIONS), version + 1)
    kinds = {
        **KINDS,
        f"version{version}": "idempotent",
        **{f"since{number}": "idempotent" for number in kept},
    }
    return programs.configuration(version, SERVICE, kinds)


def with_large_answers(record: dict) -> dict:
    """Adds routes whose answers are large."""
    usual = next(iter(record["routes"].values()))
    large = {
        name: usual
        | {
            "path-prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": LARGE_TIMEOUT_MS,
            "target-latency-ms": LARGE_TARGET_LATENCY_MS,
        }
        for name, kind in LARGE_KINDS.items()
    }
    return record | {"routes": record["routes"] | large}


def with_long_objectives(record: dict) -> dict:
    """Lets requests wait for seconds before they are refused."""
    routes = {
        name: route
        | {
            "timeout-ms": LONG_TIMEOUT_MS,
            "target-latency-ms": LONG_TARGET_LATENCY_MS,
        }
        for name, route in record["routes"].items()
    }
    return record | {"routes": routes}


def with_limited_organisation(record: dict) -> dict:
    """Adds an organisation with a rate limit.

    Only its own route asks for a key.
    """
    for route in record["routes"].values():
        route["public"] = True
    own = dict(next(iter(record["routes"].values())))
    own |= {"path-prefix": f"/{ORGANISATION}/", "public": False}
    record["routes"][ORGANISATION] = own
    limited = {"api-keys": [KEY], "rate-per-s": RATE, "burst": RATE}
    return record | {"tenants": {ORGANISATION: limited}}


def with_many_organisations(record: dict) -> dict:
    """Adds many organisations, whose keys change with each version."""
    rng = random.Random(record["version"])
    others = {
        f"other-{number}": {"api-keys": [rng.randbytes(KEY_BYTES).hex()]}
        for number in range(MANY_ORGANISATIONS)
    }
    return record | {"tenants": record.get("tenants", {}) | others}
