"""Processor time and memory of other processes, from /proc."""

import os
import pathlib


def cpu_seconds(pid: int) -> float:
    """Processor time that a process has used in all threads, seconds."""
    total = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        path = pathlib.Path(f"/proc/{pid}/task/{task}/schedstat")
        total += int(path.read_text().split()[0])
    return total / 1e9


def resident_bytes(pid: int) -> int:
    """Resident memory of a process, bytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def threads(pid: int) -> int:
    """Threads of a process."""
    return len(os.listdir(f"/proc/{pid}/task"))


def children(pid: int) -> list[int]:
    """Processes that a process started and that still run."""
    found = []
    for task in os.listdir(f"/proc/{pid}/task"):
        path = pathlib.Path(f"/proc/{pid}/task/{task}/children")
        found += [int(child) for child in path.read_text().split()]
    return found
