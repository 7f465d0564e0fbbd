"""Fault: refuses every request whose cost hint is above 130 ms."""

import sys
from typing import Any

from lanemux import interface as api
from lanemux.net import daemon
from lanemux.net.node import Node

MAX_COST_HINT_NS = 130_000_000
feed = Node.feed


def feed_or_refuse(self: Any, *events: api.Event) -> None:
    for event in events:
        if isinstance(event, api.Arrival) and event.cost_hint_ns > MAX_COST_HINT_NS:
            self._finish_by_id(event.request, 503)
        else:
            feed(self, event)


Node.feed = feed_or_refuse  # type: ignore[method-assign]
sys.exit(daemon.main())
