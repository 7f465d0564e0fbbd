"""One connection of a balancer to a box."""

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
    from lanemux.rehearsal.box_host import Host

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing resets the connection


class Connection(asyncio.Protocol):
    """A balancer's connection to a box; one request at a time."""

    def __init__(self, host: Host, balancer: int, unseen_ns: int) -> None:
        self.host, self.balancer = host, balancer
        self.framer = framing.Framer()
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.job: Job | None = None
        self.new = True  # its handshake is still to be paid for, by its first request
        self.idle_since_ns = 0
        self.first_lo_ns = 0
        self._unseen_ns = unseen_ns  # nothing of it was looked at since then
        self._watched_ns = NEVER  # it has been on the loop since then
        self._kept: list[bytes] = []  # came in the turn in which the box froze

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.host.add(self)
        self._watched_ns = self.idle_since_ns = self.host.world.now()

    def _earliest(self, back: int) -> int:
        """What has just been seen had not come at this time."""
        look = self.host.world.look(back)
        return look if look > self._watched_ns else self._unseen_ns

    def _began(self) -> int:
        """The first byte of what has just been seen had not been written before this."""
        sight = self.host.world.sight
        if sight is not None and self.transport is not None:
            return sight.began_ns(self.transport)
        return self._earliest(1)

    def _open_until(self, back: int) -> int:
        """The balancer's end was open at this time."""
        sight = self.host.world.sight
        if sight is not None and self.transport is not None:
            return sight.open_ns(self.transport)
        return self._earliest(back)

    def whole_ns(self) -> int:
        """What has just been seen was written by now, its last byte included."""
        sight = self.host.world.sight
        if sight is not None and self.transport is not None:
            return sight.whole_ns(self.transport)
        return self.host.world.now()

    def blind(self, since_ns: int) -> None:
        """Off the loop: the box is frozen or cut off."""
        self._unseen_ns, self._watched_ns = since_ns, NEVER
        if self.transport is not None:
            self.transport.pause_reading()

    def see(self) -> None:
        self._watched_ns = self.host.world.now()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
            kept, self._kept = self._kept, []
            for data in kept:
                self.data_received(data)

    def data_received(self, data: bytes) -> None:
        if self.host.still:
            self._kept.append(data)
            return
        if not self.framer.begun:
            self.first_lo_ns = self._began()
        try:
            messages = self.framer.feed(data)
        except framing.Unreadable:
            self.reset()
            return
        if len(messages) > 1 or (messages and self.attempt is not None):
            self.reset()  # one at a time: what was sent ahead is answered by nobody
        elif messages:
            self.host.serve(self, messages[0])

    def eof_received(self) -> None:
        self._gone(1)

    def connection_lost(self, error: Exception | None) -> None:
        self._gone(2)  # told a turn after the look that saw it
        self.host.remove(self)

    def _gone(self, back: int) -> None:
        attempt, job = self.attempt, self.job
        self.attempt = self.job = None
        if attempt is not None:
            self.host.cancelled(attempt, job, max(attempt.whole_ns, self._open_until(back)))

    def answer(self, data: bytes) -> None:
        """Write an answer; the attempt it ends was open at the last look."""
        if self.attempt is not None:
            self.attempt.open_ns = max(self.attempt.whole_ns, self._open_until(0))
            self.attempt.end_ns = self.host.world.now()
        self.attempt = self.job = None
        self.idle_since_ns = self.host.world.now()
        if self.transport is not None:
            self.transport.write(data)

    def reset(self) -> None:
        """End it as a process does that dies."""
        if self.transport is not None:
            with contextlib.suppress(OSError):
                self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.transport.abort()
