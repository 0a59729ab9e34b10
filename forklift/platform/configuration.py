"""Decodes the operator's record into a catalog of the product."""

from typing import Annotated

import msgspec

from forklift import catalog
from forklift import errors
from forklift import organisations
from forklift import routing

_REPEATABLE = "idempotent"
# Fields that are rewritten for peers.
_TENANTS = "tenants"
_KEYS = "api-keys"
_DIGESTS = "key-digests"
MILLI = 1000
# Targets that one request may be sent to where the record names no number.
DEFAULT_ATTEMPTS = 2
# Seconds that a request may be held where its route names no time; callers
# name their own, which is less.
DEFAULT_TIMEOUT = 60.0
DEFAULT_AIM = 1.0
DEFAULT_PRIORITY = 1


# Whole numbers that all formats hold exactly.
_Version = Annotated[int, msgspec.Meta(ge=1, le=2**53)]
_Weight = Annotated[float, msgspec.Meta(ge=0)]
_Time = Annotated[float, msgspec.Meta(gt=0)]
_Amount = Annotated[float, msgspec.Meta(ge=0)]
# What a header field can hold as its whole value.
_Key = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,500}$")]
_Name = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,200}$")]
_Digest = Annotated[
    str, msgspec.Meta(pattern=rf"^[0-9a-f]{{{2 * organisations.DIGEST_SIZE}}}$")
]


class _Wire(msgspec.Struct, frozen=True, rename="kebab"):
    """Base of what the record holds; unknown fields are passed over."""


class _Part(_Wire):
    service: str
    weight: _Weight


class _Route(_Wire):
    host: str
    path_prefix: str
    # Whether a request may run twice, as a word.
    kind: str
    service: str = ""
    # Services by weight, in place of the one service.
    weighted_clusters: tuple[_Part, ...] = ()
    # How long a request may be held in all.
    timeout_ms: _Time = DEFAULT_TIMEOUT * MILLI
    # Time for the full worth of an answer; no limit of any kind.
    target_latency_ms: float = DEFAULT_AIM * MILLI
    # Targets for one request in all, the first one too.
    retry_attempts: int = DEFAULT_ATTEMPTS
    priority: int = DEFAULT_PRIORITY
    # Whether requests need no key.
    public: bool = False


class _Organisation(_Wire):
    api_keys: tuple[_Key, ...] = ()
    # In place of the keys, in records that processes hand to each other.
    key_digests: tuple[_Digest, ...] = ()
    # Goes before that of the route.
    priority: int | None = None
    # Over all processes together; 0 is no limit.
    rate_per_s: _Amount = 0.0
    # Requests beyond the rate, not a number at once.
    burst: _Amount = 0.0


class _Service(_Wire):
    # Path of the health endpoint.
    health_check: str = ""
    # Connections that one target takes.
    max_connections: int = 100


class _Limits(_Wire):
    max_header_bytes: int = catalog.DEFAULT_LIMITS.header_bytes
    max_body_bytes: int = catalog.DEFAULT_LIMITS.body_bytes
    header_timeout_ms: float = catalog.DEFAULT_LIMITS.head_timeout * MILLI
    idle_timeout_ms: float = catalog.DEFAULT_LIMITS.idle_timeout * MILLI


class _Record(_Wire):
    version: _Version
    routes: dict[str, _Route]
    services: dict[str, _Service]
    limits: _Limits = _Limits()
    # Where the record has none, nobody is asked for a key.
    tenants: dict[_Name, _Organisation] | msgspec.UnsetType = msgspec.UNSET


_decoder = msgspec.json.Decoder(_Record)


class InvalidRecord(errors.ForkliftError):
    """The operator's record can't be used; the one in force stays."""

    def __init__(self, detail: str):
        super().__init__(
            f"the configuration record is unusable ({detail}); "
            "the version in force stays, write a valid one"
        )


def decode(data: bytes) -> catalog.Catalog:
    """Decodes the operator's record.

    Raises:
        InvalidRecord: With what is wrong.
    """
    try:
        record = _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidRecord(str(error)) from error
    services = {
        name: catalog.Service(name, found.health_check, found.max_connections)
        for name, found in record.services.items()
    }
    routes = [
        _route(name, found, services) for name, found in record.routes.items()
    ]
    limits = catalog.CallerLimits(
        record.limits.max_header_bytes,
        record.limits.max_body_bytes,
        record.limits.header_timeout_ms / MILLI,
        record.limits.idle_timeout_ms / MILLI,
    )
    table = routing.Table(routes, literal=True)
    return catalog.Catalog(
        record.version,
        table,
        services,
        limits,
        data,
        _organisations(record),
        with_key_digests,
    )


def with_key_digests(data: bytes) -> bytes:
    """The same record with digests in place of keys.

    What one version of the program does not know stays in it for another.
    """
    record = msgspec.json.decode(data)
    for one in record.get(_TENANTS, {}).values():
        keys = one.pop(_KEYS, ())
        digests = [organisations.digest(key.encode()).hex() for key in keys]
        one[_DIGESTS] = [*one.get(_DIGESTS, ()), *digests]
    return msgspec.json.encode(record)


def _organisations(record: _Record) -> organisations.Organisations | None:
    if record.tenants is msgspec.UNSET:
        return None
    try:
        return organisations.Organisations(
            _organisation(name, found) for name, found in record.tenants.items()
        )
    except organisations.DuplicateKey as error:
        raise InvalidRecord(str(error)) from error


def _organisation(
    name: str, found: _Organisation
) -> organisations.Organisation:
    digests = [organisations.digest(key.encode()) for key in found.api_keys]
    digests += [bytes.fromhex(known) for known in found.key_digests]
    return organisations.Organisation(
        name, tuple(digests), found.priority, found.rate_per_s, found.burst
    )


def _route(
    name: str, found: _Route, services: dict[str, catalog.Service]
) -> catalog.Route:
    weighted_services = tuple(
        catalog.WeightedService(part.service, part.weight)
        for part in found.weighted_clusters
    )
    if found.service:
        weighted_services = (catalog.WeightedService(found.service, 1.0),)
    if (
        not weighted_services
        or sum(share.weight for share in weighted_services) <= 0
    ):
        raise InvalidRecord(f"route {name} leads to no service")
    for share in weighted_services:
        if share.service not in services:
            raise InvalidRecord(
                f"route {name} names no service {share.service}"
            )
    if not found.path_prefix.startswith("/"):
        raise InvalidRecord(f"the prefix of route {name} is no path")
    return catalog.Route(
        name=name,
        host=found.host.lower(),
        prefix=found.path_prefix,
        weighted_services=weighted_services,
        idempotent=found.kind == _REPEATABLE,
        timeout=found.timeout_ms / MILLI,
        objective=found.target_latency_ms / MILLI,
        priority=found.priority,
        attempts=found.retry_attempts,
        allows_anonymous=found.public,
    )
