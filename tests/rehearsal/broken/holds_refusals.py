"""Fault: delays each refusal until shortly before the deadline, so that the client cannot retry."""

import sys
from typing import Any

from lanemux import interface as api
from lanemux.net import daemon
from lanemux.net.node import Node

MARGIN_S = 0.01
refuse = Node._refuse


def refuse_late(self: Any, action: api.Refuse) -> None:
    active_request = self._active_requests.get(action.request)
    if active_request is not None:
        self._loop.call_at(active_request.deadline_ns / 1e9 - MARGIN_S, refuse, self, action)


Node._refuse = refuse_late  # type: ignore[method-assign]
sys.exit(daemon.main())
