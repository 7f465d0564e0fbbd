"""Exact times of connection events at the boxes, taken from the virtual network."""

from __future__ import annotations

import asyncio

from lanemux.virtual.event_queue import RUN_START_NS
from lanemux.virtual.network import Endpoint
from lanemux.virtual.process import Process
from lanemux.virtual.sockets import StreamSocket


class ExactConnectionTimes:
    """When a balancer wrote what a box reads, and when it closed, in ns since the start of the run."""

    def __init__(self, boxes: Process) -> None:
        self.boxes = boxes

    def _endpoint(self, transport: asyncio.BaseTransport) -> Endpoint | None:
        sock = self.boxes.loop.socket_of(transport)
        return sock.endpoint if isinstance(sock, StreamSocket) else None

    def first_byte_sent_ns(self, transport: asyncio.BaseTransport) -> int:
        endpoint = self._endpoint(transport)
        return (
            endpoint.first_read_sent_ns if endpoint is not None else self.boxes.world.event_queue.now_ns
        ) - RUN_START_NS

    def last_byte_sent_ns(self, transport: asyncio.BaseTransport) -> int:
        endpoint = self._endpoint(transport)
        return (
            endpoint.last_read_sent_ns if endpoint is not None else self.boxes.world.event_queue.now_ns
        ) - RUN_START_NS

    def open_until_ns(self, transport: asyncio.BaseTransport) -> int:
        now, endpoint = self.boxes.world.event_queue.now_ns, self._endpoint(transport)
        closed = endpoint.peer.write_ended_ns if endpoint is not None and endpoint.peer is not None else now
        return min(now, closed) - RUN_START_NS


class NoPollTimes:
    """Placeholder for the loop's poll times: `ExactConnectionTimes` makes them unnecessary."""

    poll_times_ns = [0, 0, 0]
