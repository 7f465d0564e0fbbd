"""Parses and serializes HTTP/1.1 messages, within limits. No I/O."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass

import httptools

MAX_REQUEST_BODY = 64 * 1024  # bytes of a request's body
MAX_RESPONSE = 1024 * 1024  # bytes of a response's body: upstreams send some of 400 KB, though 64 KB were agreed
# Bytes of a streamed response's body: twice what is promised; a body of 3 GB is refused.
MAX_STREAMED_RESPONSE = 64 * 1024 * 1024
MAX_BUFFERED_RESPONSE = 64 * 1024  # bytes; a response up to this is buffered, so another attempt can still supply it
MAX_HEAD = 16 * 1024  # bytes of a head, or of a head and its body's trailers
MAX_FIELDS = 256  # header fields of a head: each takes far more memory than its bytes if it is short
FIELD_OVERHEAD_BYTES = 160  # memory of a header field beyond its bytes: a tuple and two objects
# Bytes that a chunked message may take, as a multiple of its body's limit; with one byte a chunk it takes six times.
MAX_FRAMING_RATIO = 8
LOAD_REPORT_HEADER = b"srv-load"  # from upstreams to balancers; not for clients
MAX_LOAD_VALUE = 1e12  # largest meaningful number in a load report; larger ones are ignored
MAX_INTERIM_RESPONSES = 16  # 1xx responses before a final one
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
REASONS = {
    200: "OK",
    400: "Bad Request",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

Headers = Iterable[tuple[bytes, bytes]]

_RELEASED_PARSER = httptools.HttpResponseParser(
    object()
)  # in place of one that has been released; nothing is fed to it


@dataclass(slots=True, eq=False)
class Message:
    """A complete request (method, target) or response (status)."""

    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    method: bytes = b""
    target: bytes = b""
    status: int = 0
    http_1_0: bool = False  # sent as HTTP/1.0: its sender does not understand chunked encoding
    length: int | None = None  # Content-Length of a streamed body, if given
    streamed: bool = False  # its body was passed on in pieces, and `body` is empty
    held_bytes: int = 0  # memory that it takes, roughly

    def header(self, name: bytes) -> bytes:
        """The first value of a header, given in lower case; empty if it is missing."""
        return next((v for k, v in self.headers if k == name), b"")

    def end_to_end(self) -> list[tuple[bytes, bytes]]:
        """The end-to-end headers, which a proxy forwards."""
        connection_options = {n.strip().lower() for n in self.header(b"connection").split(b",")}
        return [(k, v) for k, v in self.headers if k not in HOP_BY_HOP and k not in connection_options]


class SurplusBytes(Exception):
    """Raised to the parser to stop it: bytes follow a complete response."""


class TooManyFields(Exception):
    """Raised to the parser to stop it: the rest of the head is of no use."""


class MessageReader:
    """Parses a connection's bytes into messages; header names are in lower case.

    With `responses`, parsing stops at the end of the first final response: a connection carries one request at a time,
    so what follows in the same read belongs to no request. It can't change the response, and `has_surplus` is set.

    If `stream` is set, a long response with status 200 is streamed: after each `feed` the caller takes its `head` and
    `pieces`, and the message returned at its end has no body."""

    def __init__(self, responses: bool = False, max_body: int = MAX_REQUEST_BODY, stream: bool = False) -> None:
        self._stream = stream
        self.head: Message | None = None  # of a streamed response, until the caller takes it
        self.pieces: list[bytes] = []  # of its body, until the caller takes them
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser
        self._parser = httptools.HttpResponseParser(self) if responses else httptools.HttpRequestParser(self)
        self._responses = responses
        self.has_surplus = False  # responses only: bytes follow a complete response; they are not parsed
        self._max_body = max_body
        self._complete: list[Message] = []
        self._message_bytes = 0  # bytes read of an incomplete message, with its framing
        self._interim_count = 0  # 1xx responses since the last final one
        self.in_message = False  # a message has begun and is not complete
        self.error_status = 0  # status to answer an invalid or too large message with; nothing more is read then
        self._reset_message()

    def _reset_message(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._target = b""
        self._body = bytearray()
        self._head_size = 0
        self._in_body = False
        self._length: int | None = None  # from Content-Length
        self._chunked = self._streaming = False
        self._streamed_bytes = 0  # bytes of a body passed on in pieces

    @property
    def in_body(self) -> bool:
        """True if a message's head is complete and its body is not."""
        return self.in_message and self._in_body

    @property
    def held_bytes(self) -> int:
        """Memory that the current message takes, roughly."""
        head_bytes = self._head_size if self._in_body else self._message_bytes  # the parser holds an incomplete field
        return head_bytes + FIELD_OVERHEAD_BYTES * len(self._headers) + len(self._body)

    @property
    def body_bytes(self) -> int:
        """Number of bytes buffered of the current message's body."""
        return len(self._body)

    @property
    def has_open_ended_body(self) -> bool:
        """True if a response's head is complete, its length is unknown, and it is not streamed yet."""
        return self._streamable and self._in_body and not self._streaming and self._length is None

    @property
    def has_buffered_body(self) -> bool:
        """True if part of a response's body of unknown length is buffered."""
        return self.has_open_ended_body and bool(self._body)

    @property
    def ends_on_close(self) -> bool:
        """True if the end of the connection marks the end of the current response (RFC 9112, 6.3)."""
        return self._in_body and self._length is None and not self._chunked and not self.error_status

    @property
    def streaming(self) -> bool:
        """True if the current message is a response that is being streamed."""
        return self._streaming

    @property
    def can_stream(self) -> bool:
        """True if a response's head is complete, and it may be streamed and is not yet."""
        return self.in_body and self._streamable and not self._streaming

    def stream_buffered(self) -> None:
        """Stream the head, the buffered part of the response, and everything that follows."""
        if self.can_stream:
            self._start_stream()

    def _start_stream(self) -> None:
        self._streaming = True
        self.head = Message(self._headers, b"", self._parser.should_keep_alive(), status=200, length=self._length)
        if self._body:
            self.pieces.append(bytes(self._body))
            self._body.clear()

    def release(self) -> None:
        """Free the parser and what has been read of the current message; nothing more may be fed.

        The parser refers to this reader: only the cyclic garbage collector would free the two, at some later time."""
        self._parser = _RELEASED_PARSER
        self._reset_message()
        self._complete.clear()
        self.pieces = []

    def finish(self) -> list[Message]:
        """The sender has ended the connection: returns the response that this completes, if any."""
        if self.ends_on_close:
            self.on_message_complete()
        complete, self._complete = self._complete, []
        return complete

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Parse more bytes and return the messages now complete. `error_status` is set if what follows is invalid."""
        self._message_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._complete = self._complete[:-1]  # protocol upgrades are not supported
            self._refuse(400)
        except httptools.HttpParserError:
            if self._responses and self._complete:
                self.has_surplus = True
            else:
                self._refuse(400)
        if not self._in_body and self._message_bytes > MAX_HEAD:
            self._refuse(431)  # an endless head must not exhaust the memory
        elif self._message_bytes > MAX_HEAD + MAX_FRAMING_RATIO * (
            MAX_STREAMED_RESPONSE if self._streaming else self._max_body
        ):
            self._refuse(413)  # nor endless chunk extensions keep the parser busy
        if self.error_status:
            self._reset_message()
            self.head, self.pieces = None, []
        complete, self._complete = self._complete, []
        return complete

    def _refuse(self, status: int) -> None:
        self.error_status = self.error_status or status

    # -- called by httptools --

    def on_message_begin(self) -> None:
        if self._responses and self._complete:
            raise SurplusBytes
        self.in_message = True

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._add_head_size(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._add_head_size(len(name) + len(value) + 4)
        # Trailers after a chunked body must not be taken for headers.
        if not self._in_body and not self.error_status:
            # The parser keeps trailing space if a value spans reads.
            self._headers.append((name.lower(), value.strip(b" \t")))
            if len(self._headers) > MAX_FIELDS:
                self._refuse(431)
                raise TooManyFields

    def _add_head_size(self, size: int) -> None:
        self._head_size += size
        if self._head_size > MAX_HEAD:
            self._refuse(431)

    def on_headers_complete(self) -> None:
        self._in_body = True
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            self._refuse(400)
        for name, value in self._headers:
            if name == b"content-length":
                self._length = int(value)
                if self._length > self._body_limit:
                    self._refuse(413)  # before the body is read
            elif name == b"transfer-encoding":
                self._chunked = True
                if value.lower() != b"chunked":
                    self._refuse(400)  # other transfer codings are not supported
        if (
            self._streamable
            and self._length is not None
            and self._length > MAX_BUFFERED_RESPONSE
            and not self.error_status
        ):
            self._start_stream()

    @property
    def _streamable(self) -> bool:
        """True if the current message is a response that may be streamed."""
        parser = self._parser
        return self._stream and isinstance(parser, httptools.HttpResponseParser) and parser.get_status_code() == 200

    @property
    def _body_limit(self) -> int:
        return MAX_STREAMED_RESPONSE if self._streamable else self._max_body

    def on_body(self, data: bytes) -> None:
        if self._streaming:
            self._streamed_bytes += len(data)
            if self._streamed_bytes > MAX_STREAMED_RESPONSE:
                self._refuse(413)
            self.pieces.append(data)
            return
        if len(self._body) + len(data) > self._max_body:
            self._refuse(413)
        if not self.error_status:
            self._body += data
            if len(self._body) > MAX_BUFFERED_RESPONSE and self._streamable:
                self._start_stream()

    def on_message_complete(self) -> None:
        if self.error_status:
            return
        message = Message(
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
            http_1_0=self._parser.get_http_version() == "1.0",
            streamed=self._streaming,
            held_bytes=self.held_bytes,
        )
        if isinstance(self._parser, httptools.HttpRequestParser):
            message.method, message.target = self._parser.get_method(), self._target
        else:
            message.status = self._parser.get_status_code()
        self._message_bytes, self.in_message = 0, False
        self._reset_message()
        if message.status == 0 or message.status >= 200:
            self._complete.append(message)
            self._interim_count = 0
            return
        self._interim_count += 1  # an interim (1xx) response; the final one follows
        if self._interim_count > MAX_INTERIM_RESPONSES:
            self._refuse(400)


def _head(start_line: bytes, headers: Headers, body: bytes, with_length: bool) -> bytes:
    lines = [start_line, *(k + b": " + v for k, v in headers)]
    if with_length:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def write_request(method: bytes, target: bytes, headers: Headers, body: bytes = b"") -> bytes:
    """Serialize a request."""
    return _head(method + b" " + target + b" HTTP/1.1", headers, body, bool(body) or method != b"GET")


def write_stream_head(status: int, headers: Headers, length: int | None, close: bool, chunked: bool) -> bytes:
    """Serialize the head of a streamed response: with a Content-Length, chunked, or ended by closing the connection."""
    framing = (
        [(b"Content-Length", b"%d" % length)]
        if length is not None
        else [(b"Transfer-Encoding", b"chunked")]
        if chunked
        else []
    )
    extra = [(b"Connection", b"close")] if close else []
    return _head(
        b"HTTP/1.1 %d %s" % (status, REASONS.get(status, "Unknown").encode()), [*headers, *framing, *extra], b"", False
    )


def write_response(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    """Serialize a whole response."""
    reason = REASONS.get(status, "Unknown").encode()
    extra = [(b"Connection", b"close")] if close else []
    return _head(b"HTTP/1.1 %d %s" % (status, reason), [*headers, *extra], body, True)


def parse_decimal(text: bytes) -> int | None:
    """Parse a header's plain decimal number; None for anything else, and for more than 15 digits."""
    return int(text) if text.isdigit() and len(text) <= 15 else None


def read_json(text: bytes | str) -> object:
    """Parse JSON; raises ValueError also for input that is nested too deeply."""
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError("nested too deep") from None


def load_report(text: bytes) -> dict[str, float] | None:
    """Parse a load report: the JSON object's members that are valid loads; None if it is not a JSON object."""
    try:
        value = read_json(text)
    except ValueError:
        return None
    if not isinstance(value, dict):
        return None
    return {
        k: float(v)
        for k, v in value.items()
        if isinstance(v, int | float) and not isinstance(v, bool) and 0 <= v <= MAX_LOAD_VALUE
    }
