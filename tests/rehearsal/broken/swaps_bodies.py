"""Gives one answer in fifty the body of the answer before it."""

import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.node import Node

finish = Node._finish
before = [b""]
count = [0]


def swapped(self: Any, active: Any, status: int, headers: Any = (), body: bytes = b"") -> None:
    count[0] += status == 200
    if status == 200 and before[0] and count[0] % 50 == 0:
        body, before[0] = before[0], body
    elif status == 200:
        before[0] = body
    finish(self, active, status, headers, body)


Node._finish = swapped  # type: ignore[method-assign]
sys.exit(daemon.main())
