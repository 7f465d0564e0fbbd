"""Learns 0.25 s late that a client has closed its connection."""

import asyncio
import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.node import Node

LATE_S = 0.25
gone = Node.client_gone


def later(self: Any, client: Any) -> None:
    asyncio.get_running_loop().call_later(LATE_S, gone, self, client)


Node.client_gone = later  # type: ignore[method-assign]
sys.exit(daemon.main())
