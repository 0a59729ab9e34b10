"""Decodes the operator's configuration record into a catalog."""

from typing import Annotated

import msgspec

from forklift import catalog
from forklift import errors
from forklift import organisations
from forklift import routing

_DOWNLOAD_KIND = "download"
# Kinds of routes whose requests may safely run more than once.
_IDEMPOTENT_KINDS = ("idempotent", _DOWNLOAD_KIND)
# Fields that `with_key_digests` rewrites.
_TENANTS_FIELD = "tenants"
_KEYS_FIELD = "api-keys"
_DIGESTS_FIELD = "key-digests"
MILLISECONDS_PER_SECOND = 1000
# Default maximum number of targets that a request is sent to.
DEFAULT_ATTEMPTS = 2
# Default request timeout in seconds.
DEFAULT_TIMEOUT = 60.0
# Default latency objective in seconds.
DEFAULT_OBJECTIVE = 1.0
DEFAULT_PRIORITY = 1


# Integers that JSON numbers represent exactly.
_Version = Annotated[int, msgspec.Meta(ge=1, le=2**53)]
# Integers that messages between processes can hold.
_Priority = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
_Weight = Annotated[float, msgspec.Meta(ge=0)]
_PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
_NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
# Visible ASCII characters, as allowed in a header field value.
_Key = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,500}$")]
_Name = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,200}$")]
_Digest = Annotated[
    str, msgspec.Meta(pattern=rf"^[0-9a-f]{{{2 * organisations.DIGEST_SIZE}}}$")
]


class _RecordPart(msgspec.Struct, frozen=True, rename="kebab"):
    """Base class of the parts of a record; unknown fields are ignored."""


class _WeightedService(_RecordPart):
    service: str
    weight: _Weight


class _Route(_RecordPart):
    host: str
    path_prefix: str
    # "idempotent" or "download" if requests may safely run more than once; the
    # responses of a "download" are large.
    kind: str
    service: str = ""
    # Weighted services; used if `service` is empty.
    weighted_clusters: tuple[_WeightedService, ...] = ()
    # Timeout of a request, including retries.
    timeout_ms: _PositiveFloat = DEFAULT_TIMEOUT * MILLISECONDS_PER_SECOND
    # Latency objective; responses that miss it are still delivered.
    target_latency_ms: float = DEFAULT_OBJECTIVE * MILLISECONDS_PER_SECOND
    # Maximum number of targets that a request is sent to, including the first.
    retry_attempts: int = DEFAULT_ATTEMPTS
    priority: _Priority = DEFAULT_PRIORITY
    # Whether requests are accepted without an API key.
    public: bool = False


class _Organisation(_RecordPart):
    api_keys: tuple[_Key, ...] = ()
    # Replace `api_keys` in records that are sent to peers.
    key_digests: tuple[_Digest, ...] = ()
    # Overrides the priority of the route.
    priority: _Priority | None = None
    # Rate limit across all processes; 0 means no limit.
    rate_per_s: _NonNegativeFloat = 0.0
    # Number of requests allowed in excess of the rate.
    burst: _NonNegativeFloat = 0.0
    # Weight in fair queueing; by default the rate limit, if there is one.
    weight: _PositiveFloat | None = None


class _Service(_RecordPart):
    # Path of the health endpoint.
    health_check: str = ""
    # Maximum number of connections per target.
    max_connections: int = 100


class _Limits(_RecordPart):
    max_header_bytes: int = catalog.DEFAULT_LIMITS.header_bytes
    max_body_bytes: int = catalog.DEFAULT_LIMITS.body_bytes
    header_timeout_ms: float = (
        catalog.DEFAULT_LIMITS.head_timeout * MILLISECONDS_PER_SECOND
    )
    idle_timeout_ms: float = (
        catalog.DEFAULT_LIMITS.idle_timeout * MILLISECONDS_PER_SECOND
    )


class _Record(_RecordPart):
    version: _Version
    routes: dict[str, _Route]
    services: dict[str, _Service]
    limits: _Limits = _Limits()
    # If absent, API keys are not checked.
    tenants: dict[_Name, _Organisation] | msgspec.UnsetType = msgspec.UNSET


_decoder = msgspec.json.Decoder(_Record)


class InvalidRecord(errors.ForkliftError):
    """The configuration record is invalid; the active one is kept."""

    def __init__(self, detail: str):
        super().__init__(
            f"the configuration record is invalid ({detail}); "
            "the current version stays in force; publish a valid record"
        )


def decode(data: bytes) -> catalog.Catalog:
    """Decodes a configuration record.

    Raises:
        InvalidRecord: The record is invalid.
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
        record.limits.header_timeout_ms / MILLISECONDS_PER_SECOND,
        record.limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
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
    """Returns the record with API keys replaced by their digests.

    Unknown fields are kept, as other versions of the program may use them.
    """
    record = msgspec.json.decode(data)
    for tenant in record.get(_TENANTS_FIELD, {}).values():
        keys = tenant.pop(_KEYS_FIELD, ())
        digests = [organisations.digest(key.encode()).hex() for key in keys]
        tenant[_DIGESTS_FIELD] = [*tenant.get(_DIGESTS_FIELD, ()), *digests]
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
        name,
        tuple(digests),
        found.priority,
        found.rate_per_s,
        found.burst,
        found.weight,
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
        raise InvalidRecord(
            f"route {name} has no service with a positive weight"
        )
    for share in weighted_services:
        if share.service not in services:
            raise InvalidRecord(
                f"route {name} refers to the unknown service {share.service}"
            )
    if not found.path_prefix.startswith("/"):
        raise InvalidRecord(
            f"the path prefix of route {name} does not start with '/'"
        )
    return catalog.Route(
        name=name,
        host=found.host.lower(),
        prefix=found.path_prefix,
        weighted_services=weighted_services,
        idempotent=found.kind in _IDEMPOTENT_KINDS,
        timeout=found.timeout_ms / MILLISECONDS_PER_SECOND,
        objective=found.target_latency_ms / MILLISECONDS_PER_SECOND,
        priority=found.priority,
        max_attempts=found.retry_attempts,
        allows_anonymous=found.public,
        bulk=found.kind == _DOWNLOAD_KIND,
    )
