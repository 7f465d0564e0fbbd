"""A connection from a balancer to a box, as the box handles it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING, cast

from lanemux.rehearsal import framing
from lanemux.rehearsal.box import Job
from lanemux.rehearsal.records import NEVER, Attempt

if TYPE_CHECKING:
    from lanemux.rehearsal.box_host import BoxHost

RESET = struct.pack("ii", 1, 0)  # SO_LINGER value with which close() sends a TCP reset


class Connection(asyncio.Protocol):
    """A balancer's connection to a box. It carries one request at a time; pipelined requests reset it."""

    def __init__(self, host: BoxHost, balancer: int, not_before_ns: int) -> None:
        self.host, self.balancer = host, balancer
        self.parser = framing.MessageParser()
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.job: Job | None = None
        self.last_response = b""  # the last one that was written whole
        self.late_attempt: Attempt | None = None  # the last one whose body came late
        self.handshake_due = True  # the cost of its handshake is charged with its first request
        self.idle_since_ns = 0
        self.first_lo_ns = 0
        self._not_before_ns = not_before_ns  # not polled since then: data may have arrived at any time after
        self._polled_since_ns = NEVER  # the loop has polled it since then
        self._deferred: list[bytes] = []  # read in the loop iteration in which the box was frozen

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.host.add(self)
        self._polled_since_ns = self.idle_since_ns = self.host.context.now()

    def _last_poll_before(self, back: int) -> int:
        """A time at which the event that was just read had not happened yet, from the polls of the loop."""
        polled_ns = self.host.context.poll_time(back)
        return polled_ns if polled_ns > self._polled_since_ns else self._not_before_ns

    def _first_byte_not_before(self) -> int:
        """A lower bound on when the balancer sent the first byte of the data that was just read."""
        exact = self.host.context.exact_times
        if exact is not None and self.transport is not None:
            return exact.first_byte_sent_ns(self.transport)
        return self._last_poll_before(1)

    def _open_until(self, back: int) -> int:
        """A time at which the balancer's end was still open."""
        exact = self.host.context.exact_times
        if exact is not None and self.transport is not None:
            return exact.open_until_ns(self.transport)
        return self._last_poll_before(back)

    def last_byte_not_after(self) -> int:
        """An upper bound on when the balancer sent the last byte of the data that was just read."""
        exact = self.host.context.exact_times
        if exact is not None and self.transport is not None:
            return exact.last_byte_sent_ns(self.transport)
        return self.host.context.now()

    def suspend(self, since_ns: int) -> None:
        """Stop reading: the box is frozen or isolated."""
        self._not_before_ns, self._polled_since_ns = since_ns, NEVER
        if self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read again, and handle the data that came in while the box was being frozen."""
        self._polled_since_ns = self.host.context.now()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
            deferred, self._deferred = self._deferred, []
            for data in deferred:
                self.data_received(data)

    def data_received(self, data: bytes) -> None:
        if self.host.suspended:
            self._deferred.append(data)
            return
        if not self.parser.has_partial:
            self.first_lo_ns = self._first_byte_not_before()
        try:
            messages = self.parser.feed(data)
        except framing.Unreadable:
            self.reset()
            return
        if len(messages) > 1 or (messages and self.attempt is not None):
            self.reset()  # one request at a time: a pipelined request gets no answer
        elif messages:
            self.host.serve(self, messages[0])

    def eof_received(self) -> None:
        self._closed_by_balancer(1)

    def connection_lost(self, error: Exception | None) -> None:
        if self.late_attempt is not None and error is not None:
            self.late_attempt.interrupted = True  # maybe reset on the way
        self._closed_by_balancer(2)  # asyncio calls this one iteration after the poll that saw the close
        self.host.remove(self)

    def _closed_by_balancer(self, back: int) -> None:
        attempt, job = self.attempt, self.job
        self.attempt = self.job = None
        if attempt is not None:
            self.host.cancelled(attempt, job, max(attempt.whole_ns, self._open_until(back)))

    def respond(self, data: bytes) -> None:
        """Write a response; the attempt that it ends was still open at the last poll."""
        if self.attempt is not None:
            self.attempt.open_ns = max(self.attempt.whole_ns, self._open_until(0))
            self.attempt.end_ns = self.host.context.now()
            self.last_response = data
        self.attempt = self.job = None
        self.idle_since_ns = self.host.context.now()
        if self.transport is not None:
            self.transport.write(data)

    def send_part(self, data: bytes) -> None:
        """Write a part of a response whose rest follows."""
        self.job = None
        if self.transport is not None:
            self.transport.write(data)

    def respond_in_part(self, data: bytes) -> None:
        """Write the beginning of a response; its end never comes, so the attempt lasts until the balancer closes."""
        if self.attempt is not None:
            self.attempt.interrupted = True
        self.send_part(data)

    def reset(self) -> None:
        """Reset the connection, as happens when the process dies."""
        if self.transport is not None:
            with contextlib.suppress(OSError):
                self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.transport.abort()
