"""The event loop of service: asyncio's own, on calls of the machine that may fail for a moment."""
