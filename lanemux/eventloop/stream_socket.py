"""A connection's socket whose momentary failures are no end of the connection."""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Callable
from typing import Any

# The kernel lacks memory for a moment: nothing was sent or read, and the connection is as it was.
TRANSIENT_ERRORS = frozenset({errno.ENOBUFS, errno.ENOMEM})
Defer = Callable[[int, int], None]  # a descriptor, and the events that are to be left out for a moment
Failed = Callable[[str, OSError], None]  # a call's name, and its error


class StreamSocket(socket.socket):
    """A connected socket for an asyncio transport.

    A read or write that fails for a moment shows as one that would block; what only prepares or ends the connection
    never fails."""

    def __init__(self, plain: socket.socket, defer: Defer, failed: Failed) -> None:
        """Takes the connection over from `plain`, which is closed by that."""
        family, kind, protocol, wait_s = plain.family, plain.type, plain.proto, plain.gettimeout()
        super().__init__(family, kind, protocol, fileno=plain.detach())
        self._defer, self._failed = defer, failed
        self._without_consequence("ioctl", super().settimeout, wait_s)  # Python's own note: the descriptor has it

    def send(self, data: Any, flags: int = 0) -> int:
        try:
            return super().send(data, flags)
        except OSError as error:
            raise self._seen("send", error, selectors.EVENT_WRITE) from None

    def recv(self, size: int, flags: int = 0) -> bytes:
        try:
            return super().recv(size, flags)
        except OSError as error:
            raise self._seen("recv", error, selectors.EVENT_READ) from None

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        try:
            return super().recv_into(buffer, nbytes, flags)
        except OSError as error:
            raise self._seen("recv", error, selectors.EVENT_READ) from None

    def _seen(self, call: str, error: OSError, events: int) -> OSError:
        if error.errno not in TRANSIENT_ERRORS:
            return error
        self._failed(call, error)
        self._defer(self.fileno(), events)
        return BlockingIOError(errno.EAGAIN, f"{call}: {error.strerror}")

    def setsockopt(self, *arguments: Any) -> None:
        self._without_consequence("setsockopt", super().setsockopt, *arguments)

    def setblocking(self, on: bool) -> None:
        self._without_consequence("ioctl", super().setblocking, on)

    def shutdown(self, how: int) -> None:
        self._without_consequence("shutdown", super().shutdown, how)

    def close(self) -> None:
        self._without_consequence("close", super().close)

    def _without_consequence(self, name: str, call: Callable[..., None], *arguments: Any) -> None:
        try:
            call(*arguments)
        except OSError as error:
            if error.errno != errno.ENOTCONN:  # the other side has closed it already
                self._failed(name, error)
