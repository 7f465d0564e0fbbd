"""One client's connection: its requests, one at a time, and their responses."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

from lanemux.core.clock import now_ns
from lanemux.core.memory_account import Holding
from lanemux.net.http import Headers, Message, MessageReader, write_response, write_stream_head
from lanemux.net.send_progress import SendProgress

if TYPE_CHECKING:
    from lanemux.net.server import Server

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
READY_PATH = b"/health/ready"
# Read and dropped after a rejection: closing with unread input resets the connection, and the response is lost.
MAX_DISCARDED_BYTES = 256 * 1024
# A client is promised time for a body at this rate; it may lag behind by the allowance.
BODY_BYTES_PER_S = 64_000
BODY_LAG_S = 0.25
MIN_READ_DELAY_S = 0.05  # a shorter possible delay is ignored: the request counts as received when read


class Service(Protocol):
    """Handles the requests of client connections."""

    @property
    def ready(self) -> bool:
        """Should clients connect to this balancer?"""

    def handle_request(self, client: ClientConnection, request: Message, received_ns: int) -> None:
        """Answer a request through the connection's methods, now or later."""

    def refused_for_memory(self) -> None:
        """A request was refused because there is no memory for it."""

    def client_gone(self, client: ClientConnection) -> None:
        """The client can't get the response to its current request any more."""


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection, with one request at a time; a pipelined request ends the connection."""

    def __init__(self, server: Server, service: Service) -> None:
        self._server = server
        self._service = service
        self._reader = MessageReader()
        self._current: Message | None = None
        self._body_since_ns = 0  # when the head of the request being received was complete; 0: it is not
        self._is_first_request = True  # no request has been received yet
        self._ended = False
        self._discarded_bytes = 0  # bytes read and dropped since it ended
        self._on_writable: Callable[[], None] | None = None  # while streaming: called when all written data is sent
        self._chunked = self._closes_after = False  # of the response being streamed
        self._ends_on_close = False  # the end of the connection marks the end of the response being streamed
        self._transport: asyncio.Transport | None = None
        self._send_progress = SendProgress(now_ns())
        self._waiting_since_ns = 0  # the request being read may have waited unread since then; 0: it has not
        self.max_unread_s = 0.0  # how long the first data may have waited for the connection to be accepted
        self.since = 0.0  # when it was added to its current table of the server
        self.source = ""  # the client's address, set if there is a ConnectionAdmission

    @property
    def busy(self) -> bool:
        """True while a request is being answered."""
        return self._current is not None

    @property
    def receiving(self) -> bool:
        """True if a request has begun to arrive and is incomplete."""
        return self._reader.in_message

    @property
    def body_on_pace(self) -> bool:
        """True if the body of a request is arriving at least as fast as a client is promised time for."""
        if not self._body_since_ns:
            return False
        elapsed_s = (now_ns() - self._body_since_ns) / SECOND
        return self._reader.body_bytes >= BODY_BYTES_PER_S * (elapsed_s - BODY_LAG_S)

    @property
    def flushing(self) -> bool:
        """True if part of a response is still to be written."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def last_taken_ns(self) -> int:
        """When the client last took data, or when the wait for that began."""
        now = now_ns()
        if self._transport is None:
            return now
        unacknowledged = self._server.system.unacknowledged_bytes(self._transport.get_extra_info("socket"))
        return self._send_progress.last_progress_ns(now, self._transport.get_write_buffer_size(), unacknowledged)

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._send_progress.wrote(len(data), now_ns())
            self._transport.write(data)
            self._charge_unsent()

    def _charge_unsent(self) -> None:
        unsent_bytes = self._transport.get_write_buffer_size() if self._transport is not None else 0
        self._server.account.hold(Holding.UNSENT_RESPONSES, self, unsent_bytes)

    @property
    def attached(self) -> bool:
        """True once it is read: what it brings before that is not waited for."""
        return self._transport is not None

    @property
    def has_unread(self) -> bool:
        """True if received bytes, possibly a request, may not have been read yet; always while it is being attached."""
        if self._transport is None:
            return True
        return self._server.system.has_unread(self._transport.get_extra_info("socket"))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=0)  # calls resume_writing when all data is sent
        if self._ended:  # it was evicted before its transport was made
            self._transport.abort()

    def get_buffer(self, size: int) -> memoryview:
        return self._server.read_pacer.buffer()

    def buffer_updated(self, count: int) -> None:
        self._server.read_pacer.handle(count, self.data_received)

    def data_received(self, data: bytes | memoryview) -> None:
        """Handle bytes that the client has sent; the buffer may be used again afterwards."""
        try:
            self._handle_data(data)
        except Exception:  # a bug here: asyncio would drop the connection, and the request without a response
            log.exception("a request could not be handled")
            self._fail_request()

    def _fail_request(self) -> None:
        """Answer with status 500 and end the connection."""
        if self.busy:
            self._current = None
            self._service.client_gone(self)
        self.reject(500)

    def _handle_data(self, data: bytes | memoryview) -> None:
        if self._ended:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        received, was_in_message = now_ns(), self._reader.in_message
        self._note_wait(received)
        requests = self._reader.feed(data)
        if not self._reader.in_body:
            self._body_since_ns = 0
        elif not self._body_since_ns:
            self._body_since_ns = received
        if self.busy:
            if requests or self._reader.in_message or self._reader.error_status:  # an empty line is none of these
                self._reject_pipelined()
        elif self._reader.error_status:
            self.reject(self._reader.error_status)
        elif len(requests) > 1 or (requests and self._reader.in_message):
            self.reject(400)
        elif not self._charge_request(requests[0].held_bytes if requests else self._reader.held_bytes):
            self._service.refused_for_memory()
            self.reject(503)  # nothing was forwarded
        elif requests:
            self._begin_request(requests[0], received)
        elif self._reader.in_message and not was_in_message:
            self._server.await_request(self)

    def _charge_request(self, held_bytes: int) -> bool:
        return self._server.account.charge(Holding.REQUESTS, self, held_bytes)

    def _reject_pipelined(self) -> None:
        """Data of another request arrived while one is being answered: neither is served."""
        self._current = None
        self._service.client_gone(self)
        if self._on_writable is not None:
            self.abort_stream()
        else:
            self.reject(400)

    def eof_received(self) -> None:
        """A client that ends its sending counts as gone: returning None closes the transport."""

    def connection_lost(self, error: Exception | None) -> None:
        self._ended = True
        self._on_writable = None
        self._reader.release()
        self._server.forget(self)
        if self.busy:
            self._current = None
            self._service.client_gone(self)

    def pause_writing(self) -> None:
        """The client does not read its responses: read no more requests from it; its timeout keeps running."""
        if self._transport is not None and not self._ended:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        self._charge_unsent()
        if self._transport is not None and not self._ended:
            self._transport.resume_reading()
        if self._on_writable is not None:
            self._on_writable()

    def _begin_request(self, request: Message, received_ns: int) -> None:
        unread_ns, first = self._time_unread_ns(), self._is_first_request
        self._is_first_request = False
        if (first or unread_ns) and self._peer_has_closed():
            self.close()  # the client left while its request was unread: no one is left to respond to
            return
        received_ns -= unread_ns
        self._current = request
        self._server.mark_busy_or_idle(self)
        if request.target.partition(b"?")[0] == READY_PATH:
            self.answer(200 if self._service.ready else 503)
        else:
            self._service.handle_request(self, request, received_ns)

    def _peer_has_closed(self) -> bool:
        if self._transport is None:
            return True
        return self._server.system.peer_has_closed(self._transport.get_extra_info("socket"))

    def _note_wait(self, now: int) -> None:
        """Note since when the data just read may have waited: a request may be read in many turns of the loop, and only
        the first of them follows the stall."""
        max_wait_s = max(self.max_unread_s, self._server.max_unread_s())
        if max_wait_s >= MIN_READ_DELAY_S:
            since_ns = now - int(max_wait_s * SECOND)
            self._waiting_since_ns = min(self._waiting_since_ns or since_ns, since_ns)

    def _time_unread_ns(self) -> int:
        """How long the request just read lay in the kernel: the client's deadline counts from its arrival."""
        since_ns, self._waiting_since_ns, self.max_unread_s = self._waiting_since_ns, 0, 0.0
        if not since_ns or self._transport is None:
            return 0
        connection = self._transport.get_extra_info("socket")
        return min(now_ns() - since_ns, int(self._server.system.since_last_data_s(connection) * SECOND))

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Send the complete response to the current request."""
        if self._current is None or self._transport is None:
            return
        close_after = not self._current.keep_alive or self._server.draining or self._server.near_capacity
        self._current = None
        self._write(write_response(status, headers, body, close_after))
        if close_after:
            self.close()
        else:
            self._server.mark_busy_or_idle(self)

    def begin_stream(self, headers: Headers, length: int | None, on_writable: Callable[[], None]) -> None:
        """Start a streamed response with status 200; `on_writable` is called when all written data is sent."""
        if self._current is None or self._transport is None:
            return
        self._chunked = length is None and not self._current.http_1_0
        self._ends_on_close = length is None and not self._chunked
        self._closes_after = (
            not self._current.keep_alive or self._server.draining or self._server.near_capacity or self._ends_on_close
        )
        self._on_writable = on_writable
        self._write(write_stream_head(200, headers, length, self._closes_after, self._chunked))

    def write_piece(self, data: bytes) -> bool:
        """Write a piece of a streamed body; True if it was sent at once."""
        if self._transport is None or self._on_writable is None:
            return True
        self._write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)
        return self._transport.get_write_buffer_size() == 0

    def end_stream(self) -> None:
        """Complete the streamed response."""
        if self._current is None or self._transport is None:
            return
        self._current = self._on_writable = None
        if self._chunked:
            self._write(b"0\r\n\r\n")
        if self._closes_after or self._server.draining:
            self.close()
        else:
            self._server.mark_busy_or_idle(self)

    def abort_stream(self) -> None:
        """Abort a streamed response; the client can tell by its missing end, or else by a reset."""
        self._current = self._on_writable = None
        if self._ends_on_close and self._transport is not None:
            self._server.system.reset_on_close(self._transport.get_extra_info("socket"))
        self._server.forget(self)
        self.abort()

    def reject(self, status: int) -> None:
        """Send an error status and end the connection."""
        if self._ended:
            return
        self._ended = True
        self._reader.release()
        self._server.start_closing(self)
        if self._transport is None:
            return
        self._write(write_response(status, (), b"", True))
        # Closing at once with unread input would reset the connection, and the response could be lost.
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def close(self) -> None:
        """Close the connection between requests; responses still to be written are sent while the client takes them."""
        self._ended = True
        self._server.start_closing(self, self.flushing)
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, dropping unsent data."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()
