"""Fault: handles the close of a client connection 0.25 s late."""

import asyncio
import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.node import Node

DELAY_S = 0.25
client_gone = Node.client_gone


def client_gone_late(self: Any, client: Any) -> None:
    asyncio.get_running_loop().call_later(DELAY_S, client_gone, self, client)


Node.client_gone = client_gone_late  # type: ignore[method-assign]
sys.exit(daemon.main())
