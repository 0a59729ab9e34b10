"""Long idempotent requests in chunks, while one server turns slow."""

import asyncio
import pathlib
import secrets
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

SERVICE = "releves"
MACHINES = 7
SLOTS = 4
WORK = 0.42
SLOW = 5.0
BODY = 24_000
CHUNK = 4_000
PER_SECOND = 14
CALM_SECONDS = 6.0
SLOW_SECONDS = 6.5
CONFIGURATION = {
    "version": 1,
    "routes": {
        "upload": {
            "host": "h.example",
            "path-prefix": "/up/",
            "kind": "idempotent",
            "service": SERVICE,
            "timeout-ms": 4_000,
            "target-latency-ms": 2_000,
            "priority": 1,
            "retry-attempts": 2,
        }
    },
    "services": {SERVICE: {"health-check": "/health", "max-connections": 330}},
    "limits": {
        "max-header-bytes": 16_384,
        "max-body-bytes": 67_108_864,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    },
}


async def client(deployment, number: int, sent: dict, answers: dict) -> str:
    """Sends one request; returns how it ended."""
    record = deployment.record
    machine = deployment.machines[number % MACHINES]
    host, port = machine.outbound.split(":")
    request_id = secrets.token_hex(8)
    body = secrets.token_hex(BODY // 2).encode()
    sent[request_id] = body
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"PUT /up/{number} HTTP/1.1\r\nHost: h.example\r\n"
        f"Forklift-Attempt-Id: {request_id}\r\n"
        "Forklift-Deadline-Ms: 8000\r\n"
        "Transfer-Encoding: chunked\r\n\r\n".encode()
    )
    for start in range(0, BODY, CHUNK):
        part = body[start : start + CHUNK]
        writer.write(b"%x\r\n" % len(part) + part + b"\r\n")
    writer.write(b"0\r\n\r\n")
    record.write(f"client {number} sends {request_id} to {machine.name}")
    answer = b""
    try:
        async with asyncio.timeout(9.0):
            head, answer = await harness.read_message(reader)
        status = head.split()[1].decode()
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        status = type(error).__name__
    # The server's answer begins with its id.
    answers[request_id] = (status, answer.partition(b" ")[0].decode())
    record.write(
        f"client {number} gets {status} {answer.decode()} for {request_id}"
    )
    writer.close()
    return status


async def case(record, trouble: bool) -> bool:
    """Whether a server ran a request with another body."""
    services = [SERVICE] * MACHINES
    sent: dict[str, bytes] = {}
    answers: dict[str, tuple[str, str]] = {}
    async with harness.Deployment(
        record, services, CONFIGURATION, SLOTS, lambda head: WORK
    ) as deployment:
        tasks = []

        async def send_for(seconds: float) -> None:
            for _ in range(int(seconds * PER_SECOND)):
                tasks.append(
                    asyncio.create_task(
                        client(deployment, len(tasks), sent, answers)
                    )
                )
                await asyncio.sleep(1 / PER_SECOND)

        await send_for(CALM_SECONDS)
        slow = deployment.machines[0].server
        if trouble:
            slow.slowness = SLOW
            record.write(f"server {slow.id} is {SLOW} times as slow")
        await send_for(SLOW_SECONDS)
        slow.slowness = 1.0
        results = await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
        arrived = [
            entry
            for machine in deployment.machines
            for entry in machine.server.arrived
        ]
    for status in sorted(set(results)):
        record.write(f"{results.count(status)} clients: {status}")
    harness.require_service(results)
    changed = [
        entry
        for entry in arrived
        if entry["body"] is not None and entry["body"] != sent[entry["id"]]
    ]
    trusted = 0
    for entry in changed:
        status, server = answers[entry["id"]]
        is_answer = server == entry["server"]
        trusted += is_answer and status == "200"
        record.write(
            f"{entry['server']} ran {entry['id']} with a body of "
            f"{len(entry['body'])} bytes; the client sent {BODY} and got "
            f"{status} from {'this server' if is_answer else server}"
        )
    record.write(
        f"{len(changed)} of {len(arrived)} runs had a changed body; "
        f"{trusted} of these were answered with 200"
    )
    return bool(changed)


if __name__ == "__main__":
    sys.exit(harness.run(case, FOLDER))
