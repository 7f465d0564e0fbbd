"""One client's connection: its requests, one at a time, and their answers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

from lanemux.core.clock import now_ns
from lanemux.net.http import Headers, Message, MessageReader, write_response, write_stream_head

if TYPE_CHECKING:
    from lanemux.net.server import Server

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
READY_PATH = b"/health/ready"
DRAIN_BYTES = 256 * 1024  # of what a client that was turned away goes on sending: unread input would reset the answer
READ_LATE_S = 0.05  # what may have lain unread for less is taken to have come when it was read


class Service(Protocol):
    """What answers the requests."""

    @property
    def ready(self) -> bool: ...

    def handle_request(self, client: ClientConnection, request: Message, received_ns: int) -> None: ...

    def client_gone(self, client: ClientConnection) -> None: ...


class ClientConnection(asyncio.Protocol):
    """One client's connection: one request at a time. Sending one ahead of an answer ends it."""

    def __init__(self, server: Server, service: Service) -> None:
        self._server = server
        self._service = service
        self._reader = MessageReader()
        self._current: Message | None = None
        self._first = True  # no request has come on it yet
        self._ended = False
        self._drained = 0  # bytes read since its end
        self._writable: Callable[[], None] | None = None  # an answer passes in pieces: told when one has gone out
        self._chunked = self._last = False  # how it passes
        self._transport: asyncio.Transport | None = None
        self.unread_at_most_s = 0.0  # what came first may have waited so long for its connection to be accepted
        self.since = 0.0  # it has been in its place of the server's tables since then
        self.source = ""  # the address it comes from, where there is a ConnectionAdmission

    @property
    def busy(self) -> bool:
        return self._current is not None

    @property
    def receiving(self) -> bool:
        """A request has begun to come."""
        return self._reader.begun

    @property
    def flushing(self) -> bool:
        """Part of an answer is still to be written."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    @property
    def has_unread(self) -> bool:
        """Bytes of it wait to be read, perhaps a request: it comes up, or the machine has not let them be read yet."""
        if self._transport is None:
            return True
        return self._server.system.has_unread(self._transport.get_extra_info("socket"))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._ended:  # it had to make place before it came up
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self._take_in(data)
        except Exception:  # a fault of ours: the transport would end the connection, and the request with it
            log.exception("a request could not be taken")
            self._give_up()

    def _give_up(self) -> None:
        """Answer what may have been read with a failure, and end the connection."""
        if self.busy:
            self._current = None
            self._service.client_gone(self)
        self.turn_away(500)

    def _take_in(self, data: bytes) -> None:
        if self._ended:
            self._drained += len(data)
            if self._drained > DRAIN_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        received, began = now_ns(), self._reader.begun
        requests = self._reader.feed(data)
        if self.busy:
            if requests or self._reader.begun or self._reader.error_status:  # an empty line is none of these
                self._pipelined()
        elif self._reader.error_status:
            self.turn_away(self._reader.error_status)
        elif len(requests) > 1 or (requests and self._reader.begun):
            self.turn_away(400)
        elif requests:
            self._begin(requests[0], received)
        elif self._reader.begun and not began:
            self._server.await_request(self)

    def _pipelined(self) -> None:
        """More came while a request is in hand: neither is served."""
        self._current = None
        self._service.client_gone(self)
        if self._writable is not None:
            self.abort_stream()
        else:
            self.turn_away(400)

    def eof_received(self) -> None:
        """A client that ends its sending has gone away: the transport closes."""

    def connection_lost(self, error: Exception | None) -> None:
        self._ended = True
        self._server.forget(self)
        if self.busy:
            self._current = None
            self._service.client_gone(self)

    def pause_writing(self) -> None:
        """It does not read its answers: no more requests of it, and its time runs."""
        if self._transport is not None and not self._ended:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        if self._transport is not None and not self._ended:
            self._transport.resume_reading()
        if self._writable is not None:
            self._writable()

    def _begin(self, request: Message, received_ns: int) -> None:
        unread_ns, first = self._unread_ns(), self._first
        self._first = False
        if (first or unread_ns) and self._peer_has_closed():
            self.close()  # it has left while its request lay unread: nobody waits for an answer
            return
        received_ns -= unread_ns
        self._current = request
        self._server.mark(self)
        if request.target.partition(b"?")[0] == READY_PATH:
            self.answer(200 if self._service.ready else 503)
        else:
            self._service.handle_request(self, request, received_ns)

    def _peer_has_closed(self) -> bool:
        if self._transport is None:
            return True
        return self._server.system.peer_has_closed(self._transport.get_extra_info("socket"))

    def _unread_ns(self) -> int:
        """How long the request that has just been read lay in the kernel: its client's time has run since it came."""
        at_most_s = max(self.unread_at_most_s, self._server.unread_at_most_s())
        self.unread_at_most_s = 0.0
        if at_most_s < READ_LATE_S or self._transport is None:
            return 0
        connection = self._transport.get_extra_info("socket")
        return int(min(at_most_s, self._server.system.since_last_data_s(connection)) * SECOND)

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """The final answer of the current request."""
        if self._current is None or self._transport is None:
            return
        last = not self._current.keep_alive or self._server.draining or self._server.crowded
        self._current = None
        self._transport.write(write_response(status, headers, body, last))
        if last:
            self.close()
        else:
            self._server.mark(self)

    def begin_stream(self, headers: Headers, length: int | None, writable: Callable[[], None]) -> None:
        """The current request's 200, whose body follows in pieces; `writable` is told when all written is gone."""
        if self._current is None or self._transport is None:
            return
        self._chunked = length is None and not self._current.old
        self._last = (
            not self._current.keep_alive
            or self._server.draining
            or self._server.crowded
            or (length is None and not self._chunked)
        )
        self._writable = writable
        self._transport.set_write_buffer_limits(high=0)  # to be told when all that was written has gone
        self._transport.write(write_stream_head(200, headers, length, self._last, self._chunked))

    def write_piece(self, data: bytes) -> bool:
        """One piece of the body; True if it has gone out already."""
        if self._transport is None or self._writable is None:
            return True
        self._transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)
        return self._transport.get_write_buffer_size() == 0

    def end_stream(self) -> None:
        """All of the body has been passed on."""
        if self._current is None or self._transport is None:
            return
        self._current = self._writable = None
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")
        self._transport.set_write_buffer_limits()
        if self._last or self._server.draining:
            self.close()
        else:
            self._server.mark(self)

    def abort_stream(self) -> None:
        """The answer can't be finished: its end is missing, by which the client can tell."""
        self._current = self._writable = None
        self._server.forget(self)
        self.abort()

    def turn_away(self, status: int) -> None:
        """Say what is wrong and end the connection."""
        if self._ended:
            return
        self._ended = True
        self._server.leave(self)
        if self._transport is None:
            return
        self._transport.write(write_response(status, (), b"", True))
        # Closing at once, with unread input, resets the connection: the answer would be lost on its way.
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def close(self) -> None:
        """Close the connection between requests; what has been answered is still written, for a while."""
        self._ended = True
        self._server.leave(self, self.flushing)
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        self._ended = True
        if self._transport is not None:
            self._transport.abort()
