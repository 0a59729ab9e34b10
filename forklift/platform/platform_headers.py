"""Names of the HTTP header fields on the platform."""

from forklift import header_fields

PLATFORM = header_fields.HeaderNames(
    request_id=b"forklift-attempt-id",
    deadline=b"forklift-deadline-ms",
    origin=b"forklift-caller-service",
    expected=b"forklift-expected-instance",
    not_run=b"forklift-not-executed",
    signature=b"forklift-response-signature",
    target=b"forklift-instance-id",
    load=b"forklift-server-load",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    key=b"api-key",
    organisation=b"forklift-tenant-id",
)
