"""What boxes see of their connections in a virtual run: the network knows it exactly."""

from __future__ import annotations

import asyncio

from lanemux.virtual.event_queue import ZERO_NS
from lanemux.virtual.network import End
from lanemux.virtual.process import Process
from lanemux.virtual.sockets import StreamSocket


class ExactSight:
    """When a balancer's end did what a box sees: the network knows."""

    def __init__(self, boxes: Process) -> None:
        self.boxes = boxes

    def _end(self, transport: asyncio.BaseTransport) -> End | None:
        made = self.boxes.loop.socket_of(transport)
        return made.end if isinstance(made, StreamSocket) else None

    def first_byte_sent_ns(self, transport: asyncio.BaseTransport) -> int:
        end = self._end(transport)
        return (end.read_from_ns if end is not None else self.boxes.world.agenda.now_ns) - ZERO_NS

    def last_byte_sent_ns(self, transport: asyncio.BaseTransport) -> int:
        end = self._end(transport)
        return (end.read_to_ns if end is not None else self.boxes.world.agenda.now_ns) - ZERO_NS

    def open_until_ns(self, transport: asyncio.BaseTransport) -> int:
        now, end = self.boxes.world.agenda.now_ns, self._end(transport)
        closed = end.peer.ended_ns if end is not None and end.peer is not None else now
        return min(now, closed) - ZERO_NS


class NoLooks:
    """A virtual loop's looks tell nothing that its network does not tell exactly."""

    poll_times_ns = [0, 0, 0]
