"""A server leaves; then all processes are killed while the store has a drill.

The store comes back from a copy that is older than the departure. A check-in
from before the departure arrives late.
"""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import fleet

MACHINES = 4
CLIENTS = 6
# Bounds of the deployment, seconds.
DRAIN = 2.0
CONTACT = 3.0
# Seconds before the departure at which the copy was taken.
COPY_AGE = 2.0
# Seconds from the acknowledgement to the kill and the drill, and how long the
# processes and the store are away.
KILL_AFTER = 0.5
AWAY = 0.6
# Seconds by which a check-in from before the departure is late.
LATE = 3.0
# Seconds for which the server goes on serving after the acknowledgement.
SERVES_ON = 10.0
SERVED_PAUSE = 0.05


async def play(deployment: fleet.Deployment, record: fleet.Record) -> bool:
    """Counts the requests that reach the server after it has left."""
    machines, store = deployment.machines, deployment.store
    for machine in machines:
        machine.server.work_seconds = 0.1
    leaving = machines[1].server
    users = [
        asyncio.create_task(use(machines[(0, 2, 3)[number % 3]], record))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(2)
    copy = store.copied()
    record.write("copy")
    await asyncio.sleep(COPY_AGE - 0.1)
    late = leaving.encoded_heartbeat()
    record.write("check-in", server=leaving.id, sent="now", arrives=LATE)
    arrival = asyncio.create_task(deliver(leaving, late, record))
    await asyncio.sleep(0.1)
    answer = await leaving.deregister()
    if answer is None or answer.status != 200:
        raise fleet.CannotRun("the departure was not acknowledged")
    acknowledged = time.monotonic()
    record.write("left", server=leaving.id, answer=answer.status)
    await asyncio.sleep(KILL_AFTER)
    await disturb(deployment, copy)
    restarted = time.monotonic()
    await asyncio.sleep(acknowledged + SERVES_ON - time.monotonic())
    record.write("ends", server=leaving.id)
    leaving.close()
    for user in (*users, arrival):
        user.cancel()
    await asyncio.gather(*users, arrival, return_exceptions=True)
    # Only requests after which all machines were in touch again count.
    bound = max(acknowledged + DRAIN, restarted + CONTACT)
    after = [run for run in leaving.runs if run.at > bound]
    for run in after:
        record.write(
            "broken",
            attempt=run.attempt,
            after_the_answer=round(run.at - acknowledged, 3),
        )
    record.write("counted", runs=len(deployment.runs), broken=len(after))
    return not after


async def use(machine: fleet.Machine, record: fleet.Record) -> None:
    """Sends one request after the other from a machine."""
    client = fleet.Client(machine, record)
    while True:
        await client.send(fleet.SAFE + "2f", deadline_ms=2000)
        await asyncio.sleep(SERVED_PAUSE)


async def deliver(
    server: fleet.Server, late: bytes, record: fleet.Record
) -> None:
    """Brings a check-in to the process beside the server when it is late."""
    await asyncio.sleep(LATE)
    answer = await fleet.call((server.machine.ip, fleet.CONTROL), late, 1.0)
    status = answer.status if answer else "none"
    record.write("check-in", server=server.id, arrived="late", answer=status)


async def disturb(
    deployment: fleet.Deployment, copy: dict[str, list[bytes]]
) -> None:
    """Kills all processes and plays the drill, unless one is left out."""
    kills = fleet.is_troubled() and os.environ.get("KILL", "1") != "0"
    drill = fleet.is_troubled() and os.environ.get("DRILL", "1") != "0"
    if drill:
        deployment.store.go_away()
        deployment.record.write("store", state="away")
    if kills:
        for machine in deployment.machines:
            machine.process.kill()
            machine.process.wait()
        deployment.record.write("killed", processes=MACHINES)
    await asyncio.sleep(AWAY)
    if drill:
        deployment.store.come_back(copy)
        deployment.record.write("store", state="back from the copy")
    if kills:
        for machine in deployment.machines:
            machine.start()
        deployment.record.write("restarted", processes=MACHINES)


fleet.main(str(pathlib.Path(__file__).parent), play, MACHINES)
