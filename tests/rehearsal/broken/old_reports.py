"""Believes the first report of each upstream for ever: a frozen one looks as healthy as it did then."""

import sys
from typing import Any

from lanemux import interface as api
from lanemux.net import daemon
from lanemux.net.node import Node

probe = Node._probe
feed = Node.feed
first: dict[int, api.ProbeResult] = {}


def remembered(self: Any, *events: api.Event) -> None:
    for event in events:
        if isinstance(event, api.ProbeResult) and event.report is not None:
            first.setdefault(event.upstream, event)
    feed(self, *events)


def believed(self: Any, upstream: int) -> None:
    if upstream in first:
        feed(self, first[upstream])
    else:
        probe(self, upstream)


Node.feed = remembered  # type: ignore[method-assign]
Node._probe = believed  # type: ignore[method-assign]
sys.exit(daemon.main())
