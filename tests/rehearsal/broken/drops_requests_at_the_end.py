"""Fault: exits 0.1 s after SIGTERM, even with open requests."""

import asyncio
import os
import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.node import Node


async def exit_without_drain(self: Any) -> None:
    await asyncio.sleep(0.1)
    os._exit(0)


Node.drain = exit_without_drain  # type: ignore[method-assign]
sys.exit(daemon.main())
