"""Holds each refusal until shortly before the deadline, so that the client does not ask again."""

import sys
from typing import Any

from lanemux import interface as api
from lanemux.net import daemon
from lanemux.net.node import Node

EARLY_S = 0.01
refuse = Node._refuse


def held(self: Any, action: api.Refuse) -> None:
    call = self._active_requests.get(action.request)
    if call is not None:
        self._loop.call_at(call.deadline_ns / 1e9 - EARLY_S, refuse, self, action)


Node._refuse = held  # type: ignore[method-assign]
sys.exit(daemon.main())
