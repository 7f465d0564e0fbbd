"""Fault: its timers and deadlines follow the wall clock."""

import sys
import time

from lanemux.eventloop.loop import EventLoop
from lanemux.net import daemon


def wall_clock(self: EventLoop) -> float:
    return time.time()


EventLoop.time = wall_clock  # type: ignore[method-assign, assignment]
sys.exit(daemon.main())
