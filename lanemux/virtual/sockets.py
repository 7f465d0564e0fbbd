"""Sockets of a virtual process: what asyncio and the kit call on a `socket.socket`, over the virtual network."""

from __future__ import annotations

import errno
import os
import socket
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from lanemux.virtual.network import Address, End, Mailbox, Queue

if TYPE_CHECKING:
    from lanemux.virtual.process import Process

FIRST_FILENO = 1_000_000  # far from the kernel's own: the loops have real ones for waking up
HOST = "127.0.0.1"


def failure(number: int) -> OSError:
    return OSError(number, os.strerror(number))


class VirtualSocket:
    """One descriptor. It never blocks; errors are those that Linux gives."""

    family = socket.AF_INET
    proto = socket.IPPROTO_TCP
    type = socket.SOCK_STREAM

    def __init__(self, process: Process) -> None:
        self.process = process
        self._network = process.world.network
        self._fileno = process.adopt(self)
        self._own: Address = (HOST, 0)
        self._closed = False

    def fileno(self) -> int:
        return -1 if self._closed else self._fileno

    def setblocking(self, blocking: bool) -> None:
        """It never blocks."""

    def gettimeout(self) -> float:
        return 0.0

    def getsockname(self) -> Address:
        return self._own

    def getpeername(self) -> Address:
        raise failure(errno.ENOTCONN)

    def setsockopt(self, level: int, option: int, value: object) -> None:
        """Without effect, unless a kind of socket says otherwise."""

    def getsockopt(self, level: int, option: int) -> int:
        return 0

    def bind(self, address: Address) -> None:
        self._own = (address[0], address[1] or self._network.free_port())

    @property
    def readable(self) -> bool:
        return False

    @property
    def writable(self) -> bool:
        return False

    def _poke(self) -> None:
        self.process.poke(self._fileno)

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self.process.release(self._fileno)
            self._end()

    def _end(self) -> None:
        raise NotImplementedError


class StreamSocket(VirtualSocket):
    """A stream's socket: bound and listening, coming up, or connected."""

    def __init__(self, process: Process, end: End | None = None) -> None:
        super().__init__(process)
        self.end = end
        self._queue: Queue | None = None
        self._error = 0
        self._call_off: Callable[[], None] = lambda: None
        self._linger: int | None = None
        self._accepted = False
        self._peer: Address = (HOST, 0)
        if end is not None:
            end.changed = self._poke

    # -- listening --

    def listen(self, backlog: int) -> None:
        if self._queue is not None:
            self._queue.backlog = backlog
            return
        if self._own in self._network.queues:
            raise failure(errno.EADDRINUSE)
        self._queue = self._network.queues[self._own] = Queue(self._own, backlog, self._poke)

    def accept(self) -> tuple[StreamSocket, Address]:
        if self._queue is None or not self._queue.waiting:
            raise BlockingIOError(errno.EAGAIN, "nobody waits")
        self.process.check_room()
        end = self._queue.waiting.popleft()
        accepted = StreamSocket(self.process, end)
        accepted._own, accepted._accepted = self._own, True
        self.process.took(1)
        return accepted, accepted._peer

    # -- connecting --

    def connect(self, address: Address) -> None:
        self.process.check_memory()
        self._own = (HOST, self._network.free_port())
        self._peer = address
        self._call_off = self._network.connect(self.process.name, address, self._own, self._up)
        raise BlockingIOError(errno.EINPROGRESS, "on the way")

    def connect_ex(self, address: Address) -> int:
        try:
            self.connect(address)
        except OSError as error:
            return error.errno or 0
        return 0

    def _up(self, end: End | None) -> None:
        if end is None:
            self._error = errno.ECONNREFUSED
        else:
            self.end, end.changed = end, self._poke
        self._poke()

    def getsockopt(self, level: int, option: int) -> int:
        if (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR):
            error, self._error = self._error, 0
            return error
        return 0

    def setsockopt(self, level: int, option: int, value: object) -> None:
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER):
            on, seconds = struct.unpack("ii", cast(bytes, value))
            self._linger = seconds if on else None

    def getpeername(self) -> Address:
        if self.end is None:
            raise failure(errno.ENOTCONN)
        return self._peer

    # -- connected --

    @property
    def readable(self) -> bool:
        if self._queue is not None:
            return bool(self._queue.waiting)
        return bool(self._error) or (self.end is not None and self.end.readable)

    @property
    def writable(self) -> bool:
        return bool(self._error) or (self.end is not None and self.end.writable)

    def recv(self, most: int) -> bytes:
        if self.end is None:
            raise failure(errno.ENOTCONN)
        data = self.end.read(most)
        if data is None:
            raise BlockingIOError(errno.EAGAIN, "nothing yet")
        return data

    def recv_into(self, buffer: memoryview) -> int:
        data = self.recv(len(buffer))
        buffer[: len(data)] = data
        return len(data)

    def send(self, data: bytes | bytearray | memoryview) -> int:
        if self.end is None:
            raise failure(errno.ENOTCONN)
        with memoryview(data) as view:  # what finds no room is not copied, and the buffer is free again at once
            taken = self.end.write(view)
        if not taken and data:
            raise BlockingIOError(errno.EAGAIN, "no room")
        return taken

    def shutdown(self, how: int) -> None:
        if self.end is None or self.end.broken:
            raise failure(errno.ENOTCONN)
        if how != socket.SHUT_RD:
            self.end.end_writing()

    def _end(self) -> None:
        self._call_off()
        if self._queue is not None:
            del self._network.queues[self._own]
            self._queue.close()
        if self.end is not None:
            self.end.close(reset=self._linger == 0)
        if self._accepted:
            self.process.took(-1)


class DatagramSocket(VirtualSocket):
    """A datagram's socket."""

    type = socket.SOCK_DGRAM
    proto = socket.IPPROTO_UDP

    def __init__(self, process: Process) -> None:
        super().__init__(process)
        self._mailbox: Mailbox | None = None

    def bind(self, address: Address) -> None:
        super().bind(address)
        if self._own in self._network.mailboxes:
            raise failure(errno.EADDRINUSE)
        self._mailbox = self._network.mailboxes[self._own] = Mailbox(self._own, self._poke)

    @property
    def readable(self) -> bool:
        return self._mailbox is not None and bool(self._mailbox.waiting)

    @property
    def writable(self) -> bool:
        return True

    def recvfrom(self, most: int) -> tuple[bytes, Address]:
        if self._mailbox is None or not self._mailbox.waiting:
            raise BlockingIOError(errno.EAGAIN, "nothing yet")
        data, sender = self._mailbox.waiting.popleft()
        return data[:most], sender

    def sendto(self, data: bytes, address: Address) -> int:
        self.process.check_memory()
        self._network.send(bytes(data), self._own, address)
        return len(data)

    def _end(self) -> None:
        if self._mailbox is not None:
            del self._network.mailboxes[self._own]
