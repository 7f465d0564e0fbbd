"""What all boxes of a run share: the loop, the plan, the records and the sources of event times."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lanemux.rehearsal.loop_timing import PollTimes
from lanemux.rehearsal.plan import Ask, Plan
from lanemux.rehearsal.records import BoxRecords


class ExactTimes(Protocol):
    """Exact times of events at a balancer's end of a connection, for loops that know more than their poll times."""

    def first_byte_sent_ns(self, transport: asyncio.BaseTransport) -> int:
        """When the first of the bytes that were read last was sent."""

    def last_byte_sent_ns(self, transport: asyncio.BaseTransport) -> int:
        """When the last of the bytes that were read last was sent."""

    def open_until_ns(self, transport: asyncio.BaseTransport) -> int:
        """When that end was closed; now, if it is still open."""


@dataclass(slots=True)
class BoxContext:
    """Shared by all boxes of a run."""

    loop: asyncio.AbstractEventLoop
    plan: Plan
    poll_times: PollTimes
    records: BoxRecords
    start_ns: int  # the start of the run on the loop's clock
    asks: dict[str, Ask]  # by the request id of each of their tries
    on_overload_crash: Callable[[int, int], None]  # called with the box and the time
    exact_times: ExactTimes | None = None
    socket: Callable[[], socket.socket] = socket.socket

    def now(self) -> int:
        """Nanoseconds since the start of the run."""
        return int(self.loop.time() * 1e9) - self.start_ns

    def poll_time(self, back: int = 0) -> int:
        """When the loop polled its sockets, `back` polls before the latest one."""
        return self.poll_times.poll_times_ns[-1 - back] - self.start_ns

    def call_at(self, at_ns: int, callback: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        """Schedule a callback at a time of the run."""
        return self.loop.call_at((at_ns + self.start_ns) / 1e9, callback, *args)
