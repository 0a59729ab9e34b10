"""The asyncio shell around the decisions: sockets and time."""
