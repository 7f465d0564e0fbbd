"""Exits 0.1 s after SIGTERM, whatever is open."""

import asyncio
import os
import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.node import Node


async def drop(self: Any) -> None:
    await asyncio.sleep(0.1)
    os._exit(0)


Node.drain = drop  # type: ignore[method-assign]
sys.exit(daemon.main())
