"""Fault: sends one request in ten to two upstreams at once."""

import sys
from typing import Any

from lanemux import interface as api
from lanemux.net import daemon
from lanemux.net.node import Node
from lanemux.net.upstream import Exchange

send = Node._send


def send_to_two(self: Any, action: api.Send) -> None:
    send(self, action)
    active_request = self._active_requests.get(action.request)
    if active_request is None or active_request.exchange is None or int(active_request.id) % 10:
        return
    other = next(
        (pool for number, pool in self._pool_manager.pools.items() if number != action.upstream and pool.ready), None
    )
    if other is not None:
        Exchange(other, active_request.exchange.render, lambda result, response: None).start(None)


Node._send = send_to_two  # type: ignore[method-assign]
sys.exit(daemon.main())
