"""Fault: never answers one request in a thousand."""

import random
import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.node import Node

SHARE = 0.001
finish = Node._finish
rng = random.Random()


def finish_or_drop(self: Any, active: Any, status: int, headers: Any = (), body: bytes = b"") -> None:
    if not active.finished and rng.random() < SHARE:
        self._drop(active)
    else:
        finish(self, active, status, headers, body)


Node._finish = finish_or_drop  # type: ignore[method-assign]
sys.exit(daemon.main())
