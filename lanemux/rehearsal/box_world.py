"""What all boxes of a run share: the loop, the plan, the books, and what is known of the balancers' ends."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lanemux.rehearsal.looks import Looks
from lanemux.rehearsal.plan import Ask, Plan
from lanemux.rehearsal.records import BoxRecords


class Sight(Protocol):
    """What a loop knows exactly of a balancer's end of a connection, where it knows more than its looks tell."""

    def began_ns(self, transport: asyncio.BaseTransport) -> int:
        """When the first of the bytes that were read last was written there."""

    def whole_ns(self, transport: asyncio.BaseTransport) -> int:
        """And the last of them."""

    def open_ns(self, transport: asyncio.BaseTransport) -> int:
        """Until when that end has been open; now, if it still is."""


@dataclass(slots=True)
class World:
    """What all boxes share."""

    loop: asyncio.AbstractEventLoop
    plan: Plan
    looks: Looks
    books: BoxRecords
    zero_ns: int  # the run's start on the loop's clock
    asks: dict[str, Ask]  # by the id of each of their tries
    fell: Callable[[int, int], None]  # a box has fallen over, at a time
    sight: Sight | None = None
    socket: Callable[[], socket.socket] = socket.socket

    def now(self) -> int:
        """Nanoseconds since the start of the run."""
        return int(self.loop.time() * 1e9) - self.zero_ns

    def look(self, back: int = 0) -> int:
        """When the loop looked at its sockets, `back` looks before the latest one."""
        return self.looks.looks_ns[-1 - back] - self.zero_ns

    def at(self, at_ns: int, do: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        return self.loop.call_at((at_ns + self.zero_ns) / 1e9, do, *args)
