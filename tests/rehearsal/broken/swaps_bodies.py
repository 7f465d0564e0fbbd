"""Fault: sends one answer in fifty with the body of the previous answer."""

import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.node import Node

finish = Node._finish
previous_body = [b""]
answer_count = [0]


def finish_with_swaps(self: Any, active: Any, status: int, headers: Any = (), body: bytes = b"") -> None:
    answer_count[0] += status == 200
    if status == 200 and previous_body[0] and answer_count[0] % 50 == 0:
        body, previous_body[0] = previous_body[0], body
    elif status == 200:
        previous_body[0] = body
    finish(self, active, status, headers, body)


Node._finish = finish_with_swaps  # type: ignore[method-assign]
sys.exit(daemon.main())
