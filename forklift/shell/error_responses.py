"""Error responses to callers, and the errors that the ingress itself raises."""

from forklift import errors
from forklift import messages
from forklift.shell import exchange
from forklift.shell import http
from forklift.shell import response_writer

# Minimum of Retry-After, seconds.
MIN_RETRY_AFTER = 0.1
# Retry-After of requests that the ingress itself rejects, seconds.
DEFAULT_RETRY_AFTER = 0.5
TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 503 Too many connections\r\nretry-after: 1\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


async def write_problem(
    writer: response_writer.ResponseWriter,
    result: exchange.Result,
    request_id: str,
) -> None:
    """Responds to a request that has no response of a target.

    Args:
        writer: Writes the response.
        result: How the request ended.
        request_id: Request ID; empty if there is none.

    Raises:
        tcp_stream.ConnectionLost: The caller's connection is lost.
    """
    ending = result.ending
    reason = ending.reason or messages.Reason.TARGET_BROKE
    problem = http.problem(ending.outcome, reason, request_id)
    headers = [(b"content-type", http.PROBLEM_MEDIA_TYPE)]
    if problem.status in (http.SERVICE_UNAVAILABLE, http.TOO_MANY_REQUESTS):
        seconds = max(MIN_RETRY_AFTER, ending.retry_after)
        headers.append((b"retry-after", f"{seconds:.2f}".encode()))
    body = http.encode_problem(problem)
    head = exchange.ResponseHead(problem.status, tuple(headers), len(body))
    await writer.start(head)
    await writer.data(body)
    await writer.end()


def encode_bad_request(error: errors.BadRequest, request_id: str) -> bytes:
    """Returns the response to a malformed request, which closes the connection.

    Args:
        error: What is wrong with the request.
        request_id: Request ID.
    """
    problem = http.Problem(
        "urn:forklift:bad-request",
        str(error).partition(";")[0],
        error.status,
        str(messages.Outcome.NOT_RUN),
        "bad-request",
        error.remedy,
        request_id,
    )
    body = http.encode_problem(problem)
    retry_after_line = ""
    if error.status == http.SERVICE_UNAVAILABLE:
        retry_after_line = f"retry-after: {DEFAULT_RETRY_AFTER:.2f}\r\n"
    head = (
        f"HTTP/1.1 {error.status} Refused\r\n"
        f"content-type: {http.PROBLEM_MEDIA_TYPE.decode()}\r\n"
        f"content-length: {len(body)}\r\n{retry_after_line}"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body


def head_timeout() -> errors.BadRequest:
    """Returns the error for a head that took too long."""
    return errors.BadRequest("the head took too long", "send it in one go", 408)


def incomplete_request() -> errors.BadRequest:
    """Returns the error for a request that arrived in part before the exit."""
    return errors.BadRequest(
        "the process ends before the request arrived whole",
        "send it again",
        http.SERVICE_UNAVAILABLE,
    )
