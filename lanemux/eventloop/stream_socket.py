"""A connection's socket on which transient failures do not end the connection."""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Callable
from typing import Any

# The kernel is short of memory: nothing was sent or read, and the connection is unchanged.
TRANSIENT_ERRORS = frozenset({errno.ENOBUFS, errno.ENOMEM})
Defer = Callable[[int, int], None]  # descriptor, events to ignore for a short time
OnFailure = Callable[[str, OSError], None]  # name of the call, its error


class StreamSocket(socket.socket):
    """A connected socket for an asyncio transport.

    A transient failure to read or write is reported as BlockingIOError; calls that only set up or close the connection
    never raise."""

    def __init__(self, plain: socket.socket, defer: Defer, on_failure: OnFailure) -> None:
        """Takes over the descriptor of `plain`, which is detached."""
        family, kind, protocol, wait_s = plain.family, plain.type, plain.proto, plain.gettimeout()
        super().__init__(family, kind, protocol, fileno=plain.detach())
        self._defer, self._on_failure = defer, on_failure
        # Sets Python's attribute only: the descriptor already has this mode.
        self._ignoring_errors("ioctl", super().settimeout, wait_s)

    def send(self, data: Any, flags: int = 0) -> int:
        try:
            return super().send(data, flags)
        except OSError as error:
            raise self._transient_as_blocking("send", error, selectors.EVENT_WRITE) from None

    def recv(self, size: int, flags: int = 0) -> bytes:
        try:
            return super().recv(size, flags)
        except OSError as error:
            raise self._transient_as_blocking("recv", error, selectors.EVENT_READ) from None

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        try:
            return super().recv_into(buffer, nbytes, flags)
        except OSError as error:
            raise self._transient_as_blocking("recv", error, selectors.EVENT_READ) from None

    def _transient_as_blocking(self, call: str, error: OSError, events: int) -> OSError:
        if error.errno not in TRANSIENT_ERRORS:
            return error
        self._on_failure(call, error)
        self._defer(self.fileno(), events)
        return BlockingIOError(errno.EAGAIN, f"{call}: {error.strerror}")

    def setsockopt(self, *arguments: Any) -> None:
        self._ignoring_errors("setsockopt", super().setsockopt, *arguments)

    def setblocking(self, on: bool) -> None:
        self._ignoring_errors("ioctl", super().setblocking, on)

    def shutdown(self, how: int) -> None:
        self._ignoring_errors("shutdown", super().shutdown, how)

    def close(self) -> None:
        self._ignoring_errors("close", super().close)

    def _ignoring_errors(self, name: str, call: Callable[..., None], *arguments: Any) -> None:
        try:
            call(*arguments)
        except OSError as error:
            if error.errno != errno.ENOTCONN:  # the peer has already closed the connection
                self._on_failure(name, error)
