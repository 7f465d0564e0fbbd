"""Believes for ever that each upstream is as idle as at its first report: a frozen one looks as healthy as any."""

import sys
from typing import Any

from lanemux import interface as api
from lanemux.net import daemon
from lanemux.net.node import Node
from lanemux.net.probes import Probes

probe = Probes.begin
feed = Node.feed
first: dict[int, api.ProbeResult] = {}


def remembered(self: Any, *events: api.Event) -> None:
    # What it held in that moment is left out: whom the run avoids for ever would be chance.
    heard = [
        e._replace(report={**e.report, "inflight": 0.0, "queue": 0.0})
        if isinstance(e, api.ProbeResult) and e.report is not None
        else e
        for e in events
    ]
    for event in heard:
        if isinstance(event, api.ProbeResult) and event.report is not None:
            first.setdefault(event.upstream, event)
    feed(self, *heard)


def believed(self: Any, upstream: int) -> None:
    if upstream in first:
        self._feed(first[upstream])
    else:
        probe(self, upstream)


Node.feed = remembered  # type: ignore[method-assign]
Probes.begin = believed  # type: ignore[method-assign]
sys.exit(daemon.main())
