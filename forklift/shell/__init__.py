"""I/O layer on asyncio: runs the decision logic on sockets and timers."""
