"""The clock: that of the running loop, in whole nanoseconds.

In service it is the monotonic clock, on a virtual loop that loop's own. Timers set on the loop and times read here
never disagree.
"""

from __future__ import annotations

import asyncio

SECOND = 1_000_000_000


def now_ns() -> int:
    """Nanoseconds on the running loop's clock; never goes back."""
    return int(asyncio.get_running_loop().time() * SECOND)
