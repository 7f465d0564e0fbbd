"""The clock of the running event loop, in integer nanoseconds.

In production it is the monotonic clock; in a simulation it is the virtual loop's clock. Either way, times read here are
consistent with timers set on the loop.
"""

from __future__ import annotations

import asyncio

SECOND = 1_000_000_000


def now_ns() -> int:
    """Nanoseconds on the running loop's clock, which never goes backwards."""
    return int(asyncio.get_running_loop().time() * SECOND)
