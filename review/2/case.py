"""All processes are killed after a server left; an old check-in comes late."""

import asyncio
import os
import pathlib
import secrets
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

SERVICE = "releves"
MACHINES = 4
SLOTS = 4
WORK = 0.19
PER_SECOND = 25
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
RESTART_AFTER = 0.5
# The check-in is sent before the server leaves, and arrives seconds late.
LATE_BY = 3.0
KILLED = int(os.environ.get("KILLED", str(MACHINES)))
KILL_AFTER = float(os.environ.get("KILL_AFTER", "0.5"))
# The server goes on for longer than it has to; at times many seconds.
SERVES_FOR = 9.0
CONFIGURATION = {
    "version": 1,
    "routes": {
        "history": {
            "host": "h.example",
            "path-prefix": "/history/",
            "kind": "idempotent",
            "service": SERVICE,
            "timeout-ms": 2_000,
            "target-latency-ms": 800,
            "priority": 2,
            "retry-attempts": 2,
        },
        "copy": {
            "host": "h.example",
            "path-prefix": "/copy/",
            "kind": "non_idempotent",
            "service": SERVICE,
            "timeout-ms": 2_500,
            "target-latency-ms": 800,
            "priority": 1,
            "retry-attempts": 2,
        },
    },
    "services": {SERVICE: {"health-check": "/health", "max-connections": 330}},
    "limits": {
        "max-header-bytes": 16_384,
        "max-body-bytes": 67_108_864,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    },
}


async def client(deployment, number: int) -> str:
    """Sends one request on a new connection; returns how it ended."""
    record = deployment.record
    machine = deployment.machines[number % MACHINES]
    host, port = machine.outbound.split(":")
    request_id = secrets.token_hex(8)
    route, method = (("history", "GET"), ("copy", "POST"))[number // 4 % 2]
    try:
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"{method} /{route}/{number} HTTP/1.1\r\nHost: h.example\r\n"
                f"Forklift-Attempt-Id: {request_id}\r\n"
                "Forklift-Deadline-Ms: 4000\r\n\r\n".encode()
            )
            record.write(
                f"client {number} sends {request_id} ({route}) to "
                f"{machine.name}"
            )
            head, _ = await harness.read_message(reader)
            writer.close()
        status = head.split()[1].decode()
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        status = type(error).__name__
    record.write(f"client {number} gets {status} for {request_id}")
    return status


async def case(record, trouble: bool) -> bool:
    """Whether a request reached the server that had left."""
    async with harness.Deployment(
        record, [SERVICE] * MACHINES, CONFIGURATION, SLOTS, lambda head: WORK
    ) as deployment:
        tasks = []

        async def send() -> None:
            while True:
                tasks.append(
                    asyncio.create_task(client(deployment, len(tasks)))
                )
                await asyncio.sleep(1 / PER_SECOND)

        sending = asyncio.create_task(send())
        await asyncio.sleep(4.0)
        leaving = deployment.machines[0].server
        held_back, sent_at = leaving.hold_back_check_in(), record.now()
        record.write(f"server {leaving.id} sends a check-in, held back")
        status = await leaving.leave()
        left_at = record.now()
        record.write(f"server {leaving.id} says that it leaves: {status}")
        if status != 200:
            raise harness.CannotRun("the leave was not acknowledged")
        in_touch_at = left_at
        if trouble:
            await asyncio.sleep(KILL_AFTER)
            killed = deployment.machines[:KILLED]
            for machine in killed:
                machine.signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_AFTER)
            for machine in killed:
                await machine.process.wait()
                await machine.start()
            record.write("all processes start again")
            in_touch_at = record.now() + CONTACT_SECONDS
        await asyncio.sleep(sent_at + LATE_BY - record.now())
        status = await held_back()
        record.write(
            f"the check-in of {leaving.id} arrives "
            f"{record.now() - sent_at:.3f} s late: {status}"
        )
        await asyncio.sleep(left_at + SERVES_FOR - record.now())
        record.write(f"server {leaving.id} ends")
        leaving.close()
        await asyncio.sleep(2.0)
        sending.cancel()
        results = await asyncio.gather(*tasks)
        arrived = leaving.arrived
    for status in sorted(set(results)):
        record.write(f"{results.count(status)} clients: {status}")
    harness.require_service(results)
    after = max(left_at + DRAIN_SECONDS, in_touch_at)
    late = [entry for entry in arrived if entry["at"] > after]
    for entry in late:
        record.write(
            f"{entry['id']} reached {leaving.id} "
            f"{entry['at'] - left_at:.3f} s after the acknowledgement"
        )
    record.write(
        f"{len(late)} requests reached the server later than "
        f"{after - left_at:.3f} s after the acknowledgement"
    )
    return bool(late)


if __name__ == "__main__":
    sys.exit(harness.run(case, FOLDER))
