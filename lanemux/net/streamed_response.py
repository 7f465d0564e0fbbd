"""One response that is streamed from an upstream to a client: flow control, and when it counts as stalled."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lanemux.core.clock import now_ns
from lanemux.net.http import LOAD_REPORT_HEADER, MAX_BUFFERED_RESPONSE, Headers, Message
from lanemux.net.send_progress import CLIENT_TIMEOUT_NS

MS = 1_000_000
SECOND = 1000 * MS
UPSTREAM_TIMEOUT_NS = 15 * SECOND  # an upstream that gives nothing for this long has lost the rest of its response
# Once the deadline has passed, an upstream silent for this long has hung. The final answer is due 0.5 s after the
# deadline, and this process may be held up for 0.15 s of that.
HANG_TIMEOUT_NS = 350 * MS


class StreamClient(Protocol):
    """The client's side of a streamed response."""

    def begin_stream(self, headers: Headers, length: int | None, on_writable: Callable[[], None]) -> None:
        """Send the head; `on_writable` is called when all written data is sent."""

    def write_piece(self, data: bytes) -> bool:
        """Write a piece of the body; True if it was sent at once."""

    def last_taken_ns(self) -> int:
        """When the client last took data, or when the wait for that began."""


class StreamSource(Protocol):
    """The upstream's side of a streamed response."""

    def set_paused(self, paused: bool) -> None:
        """Pause (True) or resume reading the response."""


class StreamedResponse:
    """Passes a response on in pieces: reading pauses while the client has not taken the last piece.

    A client's deadline ends a response whose upstream hangs, unless its class is streamed (WIRE: "a stream that has
    started has no deadline") or it is long (DAYS: only its first bytes are timed). One that still moves goes on. A
    response without a length counts as long once more than `MAX_BUFFERED_RESPONSE` bytes of it have come: before that
    it may be a short one, whose end is due with the deadline."""

    def __init__(self, client: StreamClient, source: StreamSource, deadline_ns: int | None) -> None:
        """`deadline_ns`: the client's deadline on the loop's clock; None if streams of this class have none."""
        self._client, self._source = client, source
        self._deadline_ns = deadline_ns
        self._received_bytes = 0
        self._length: int | None = None  # of the body, if the upstream has stated it
        self._waits_for_client = False  # the client has not taken the last piece, and reading is paused
        self.last_progress_ns = now_ns()

    def begin(self, head: Message) -> None:
        """Send the head to the client."""
        self._length = head.length
        headers = [(name, value) for name, value in head.end_to_end() if name != LOAD_REPORT_HEADER]
        self._client.begin_stream(headers, head.length, self._client_writable)

    def pass_on(self, data: bytes) -> None:
        """Pass on a piece of the body."""
        self.last_progress_ns = now_ns()
        self._received_bytes += len(data)
        if not self._client.write_piece(data):
            self._waits_for_client = True
            self._source.set_paused(True)

    def _client_writable(self) -> None:
        self.last_progress_ns = now_ns()
        self._waits_for_client = False
        self._source.set_paused(False)

    @property
    def is_long(self) -> bool:
        """True if the body is known to be longer than what is buffered."""
        return max(self._received_bytes, self._length or 0) > MAX_BUFFERED_RESPONSE

    @property
    def waits_for_upstream(self) -> bool:
        """True if the next bytes are due from the upstream: the client has taken what came before them."""
        return not self._waits_for_client

    @property
    def deadline_applies(self) -> bool:
        """True if the client's deadline limits the response as far as it is known now."""
        return self._deadline_ns is not None and not self.is_long

    def stalled_from_ns(self) -> int:
        """From when the response counts as stalled unless something moves before then."""
        if not self.waits_for_upstream:
            self.last_progress_ns = max(self.last_progress_ns, self._client.last_taken_ns())
            return self.last_progress_ns + CLIENT_TIMEOUT_NS
        if self._deadline_ns is None or self.is_long:
            return self.last_progress_ns + UPSTREAM_TIMEOUT_NS
        return max(self._deadline_ns, self.last_progress_ns) + HANG_TIMEOUT_NS
