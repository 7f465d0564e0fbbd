"""Sockets of a virtual process: the part of `socket.socket` that asyncio and the rehearsal kit use."""

from __future__ import annotations

import errno
import os
import socket
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from lanemux.virtual.network import Address, Endpoint, ListenQueue, Mailbox

if TYPE_CHECKING:
    from lanemux.virtual.process import Process

FIRST_FILENO = 1_000_000  # clear of the real descriptors, which each loop has for its self-pipe
HOST = "127.0.0.1"


def os_error(number: int) -> OSError:
    """The OSError that Linux raises for an errno."""
    return OSError(number, os.strerror(number))


class VirtualSocket:
    """One descriptor; never blocks, and fails with the same errors as on Linux."""

    family = socket.AF_INET
    proto = socket.IPPROTO_TCP
    type = socket.SOCK_STREAM

    def __init__(self, process: Process) -> None:
        self.process = process
        self._network = process.world.network
        self._fileno = process.register_socket(self)
        self._local_address: Address = (HOST, 0)
        self._closed = False

    def fileno(self) -> int:
        return -1 if self._closed else self._fileno

    def setblocking(self, blocking: bool) -> None:
        """No-op: virtual sockets never block."""

    def gettimeout(self) -> float:
        return 0.0

    def getsockname(self) -> Address:
        return self._local_address

    def getpeername(self) -> Address:
        raise os_error(errno.ENOTCONN)

    def setsockopt(self, level: int, option: int, value: object) -> None:
        """No-op by default."""

    def getsockopt(self, level: int, option: int) -> int:
        return 0

    def bind(self, address: Address) -> None:
        self._local_address = (address[0], address[1] or self._network.ephemeral_port())

    @property
    def readable(self) -> bool:
        return False

    @property
    def writable(self) -> bool:
        return False

    def _notify(self) -> None:
        self.process.notify(self._fileno)

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self.process.release(self._fileno)
            self._release()

    def _release(self) -> None:
        raise NotImplementedError


class StreamSocket(VirtualSocket):
    """A stream socket: bound, listening, connecting or connected."""

    def __init__(self, process: Process, endpoint: Endpoint | None = None) -> None:
        super().__init__(process)
        self.endpoint = endpoint
        self._listen_queue: ListenQueue | None = None
        self._error = 0
        self._cancel_connect: Callable[[], None] = lambda: None
        self._linger: int | None = None
        self._accepted = False
        self._remote_address: Address = (HOST, 0)
        if endpoint is not None:
            endpoint.on_change = self._notify

    # -- listening --

    def listen(self, backlog: int) -> None:
        if self._listen_queue is not None:
            self._listen_queue.backlog = backlog
            return
        if self._local_address in self._network.queues:
            raise os_error(errno.EADDRINUSE)
        self._listen_queue = self._network.queues[self._local_address] = ListenQueue(
            self._local_address, backlog, self._notify
        )

    def accept(self) -> tuple[StreamSocket, Address]:
        if self._listen_queue is None or not self._listen_queue.waiting:
            raise BlockingIOError(errno.EAGAIN, "no pending connection")
        self.process.check_descriptor_available()
        endpoint = self._listen_queue.waiting.popleft()
        accepted = StreamSocket(self.process, endpoint)
        accepted._local_address, accepted._accepted = self._local_address, True
        self.process.count_accepted(1)
        return accepted, accepted._remote_address

    # -- connecting --

    def connect(self, address: Address) -> None:
        self.process.check_memory()
        self._local_address = (HOST, self._network.ephemeral_port())
        self._remote_address = address
        self._cancel_connect = self._network.connect(self.process.name, address, self._local_address, self._connected)
        raise BlockingIOError(errno.EINPROGRESS, "connection in progress")

    def connect_ex(self, address: Address) -> int:
        try:
            self.connect(address)
        except OSError as error:
            return error.errno or 0
        return 0

    def _connected(self, endpoint: Endpoint | None) -> None:
        if endpoint is None:
            self._error = errno.ECONNREFUSED
        else:
            self.endpoint, endpoint.on_change = endpoint, self._notify
        self._notify()

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
        if self.endpoint is None:
            raise os_error(errno.ENOTCONN)
        return self._remote_address

    # -- connected --

    @property
    def readable(self) -> bool:
        if self._listen_queue is not None:
            return bool(self._listen_queue.waiting)
        return bool(self._error) or (self.endpoint is not None and self.endpoint.readable)

    @property
    def writable(self) -> bool:
        return bool(self._error) or (self.endpoint is not None and self.endpoint.writable)

    @property
    def unread_by_peer(self) -> int:
        """Bytes written that the peer's process has not read."""
        return self.endpoint.unread_by_peer if self.endpoint is not None else 0

    def recv(self, max_bytes: int) -> bytes:
        if self.endpoint is None:
            raise os_error(errno.ENOTCONN)
        data = self.endpoint.read(max_bytes)
        if data is None:
            raise BlockingIOError(errno.EAGAIN, "no data available")
        return data

    def recv_into(self, buffer: memoryview) -> int:
        data = self.recv(len(buffer))
        buffer[: len(data)] = data
        return len(data)

    def send(self, data: bytes | bytearray | memoryview) -> int:
        if self.endpoint is None:
            raise os_error(errno.ENOTCONN)
        with memoryview(data) as view:  # copies only the accepted bytes, and releases the buffer at once
            taken = self.endpoint.write(view)
        if not taken and data:
            raise BlockingIOError(errno.EAGAIN, "send buffer full")
        return taken

    def shutdown(self, how: int) -> None:
        if self.endpoint is None or self.endpoint.was_reset:
            raise os_error(errno.ENOTCONN)
        if how != socket.SHUT_RD:
            self.endpoint.shutdown_write()

    def _release(self) -> None:
        self._cancel_connect()
        if self._listen_queue is not None:
            del self._network.queues[self._local_address]
            self._listen_queue.close()
        if self.endpoint is not None:
            self.endpoint.close(reset=self._linger == 0)
        if self._accepted:
            self.process.count_accepted(-1)


class DatagramSocket(VirtualSocket):
    """A datagram socket."""

    type = socket.SOCK_DGRAM
    proto = socket.IPPROTO_UDP

    def __init__(self, process: Process) -> None:
        super().__init__(process)
        self._mailbox: Mailbox | None = None

    def bind(self, address: Address) -> None:
        super().bind(address)
        if self._local_address in self._network.mailboxes:
            raise os_error(errno.EADDRINUSE)
        self._mailbox = self._network.mailboxes[self._local_address] = Mailbox(self._local_address, self._notify)

    @property
    def readable(self) -> bool:
        return self._mailbox is not None and bool(self._mailbox.waiting)

    @property
    def writable(self) -> bool:
        return True

    def recvfrom(self, max_bytes: int) -> tuple[bytes, Address]:
        if self._mailbox is None or not self._mailbox.waiting:
            raise BlockingIOError(errno.EAGAIN, "no data available")
        data, sender = self._mailbox.waiting.popleft()
        return data[:max_bytes], sender

    def sendto(self, data: bytes, address: Address) -> int:
        self.process.check_memory()
        self._network.send(bytes(data), self._local_address, address)
        return len(data)

    def _release(self) -> None:
        if self._mailbox is not None:
            del self._network.mailboxes[self._local_address]
