"""Fault: sends an attempt without answer again after 150 ms, to the same upstream, and does not report it."""

import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.node import Node
from lanemux.net.upstream import Exchange

RESEND_DELAY_S = 0.15
send = Node._send


def resend(exchange: Exchange) -> None:
    if not exchange.over and not exchange.waiting:
        Exchange(exchange.pool, exchange.render, lambda result, response: None).start(None)


def send_and_resend(self: Any, action: Any) -> None:
    send(self, action)
    active_request = self._active_requests.get(action.request)
    if active_request is not None and active_request.exchange is not None:
        self._loop.call_later(RESEND_DELAY_S, resend, active_request.exchange)


Node._send = send_and_resend  # type: ignore[method-assign]
sys.exit(daemon.main())
