"""The event loop used in production: asyncio's loop made to tolerate system calls that fail transiently."""
