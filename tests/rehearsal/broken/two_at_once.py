"""Sends one request in ten to two upstreams at once."""

import sys
from typing import Any

from lanemux import interface as api
from lanemux.net import daemon
from lanemux.net.node import Node
from lanemux.net.upstream import Exchange

send = Node._send


def twice(self: Any, action: api.Send) -> None:
    send(self, action)
    call = self._active_requests.get(action.request)
    if call is None or call.exchange is None or int(call.id) % 10:
        return
    other = next((p for n, p in self._pool_manager.pools.items() if n != action.upstream and p.ready), None)
    if other is not None:
        Exchange(other, call.exchange.render, lambda result, response: None).start(None)


Node._send = twice  # type: ignore[method-assign]
sys.exit(daemon.main())
