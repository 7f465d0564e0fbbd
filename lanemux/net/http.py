"""HTTP/1.1 messages: parsing, writing and their limits. No sockets."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass

import httptools

MAX_BODY = 64 * 1024  # bytes of a request's body
MAX_RESPONSE = 1024 * 1024  # of an answer's: upstreams send some of 400 KB, though 64 are agreed
MAX_STREAM = 64 * 1024 * 1024  # of one that is passed on as it comes: twice what is promised; 3 GB are none
MAX_BUFFERED_RESPONSE = 64 * 1024  # so much of an answer is taken whole, and may be made by another attempt
MAX_HEAD = 16 * 1024  # bytes of a head, or of a body's trailers with it
FRAMING = 8  # times its body that a chunked message may take: a byte a chunk takes six
MOST_LOAD = 1e12  # of any figure in a load report; what is above has no meaning
MAX_ANNOUNCED = 16  # 1xx answers ahead of an answer
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


@dataclass(slots=True, eq=False)
class Message:
    """A request (method, target) or a response (status), whole."""

    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    method: bytes = b""
    target: bytes = b""
    status: int = 0
    old: bool = False  # HTTP/1.0: chunks are not understood
    length: int | None = None  # of a body that is passed on as it comes, where it is told
    streamed: bool = False  # its body went by in pieces

    def header(self, name: bytes) -> bytes:
        return next((v for k, v in self.headers if k == name), b"")

    def end_to_end(self) -> list[tuple[bytes, bytes]]:
        """The headers that a proxy passes on."""
        named = {n.strip().lower() for n in self.header(b"connection").split(b",")}
        return [(k, v) for k, v in self.headers if k not in HOP_BY_HOP and k not in named]


class MessageReader:
    """Cuts what a connection brings into messages; header names come out in lower case.

    Where responses may be passed on as they come, a long 200's `head` and `pieces` are there to be taken after `feed`;
    the message at its end has no body then."""

    def __init__(self, responses: bool = False, max_body: int = MAX_BODY, stream: bool = False) -> None:
        self._stream = stream
        self.head: Message | None = None  # of an answer to be passed on, until it is taken
        self.pieces: list[bytes] = []  # of its body
        self._parser = httptools.HttpResponseParser(self) if responses else httptools.HttpRequestParser(self)
        self._max_body = max_body
        self._ready: list[Message] = []
        self._fed = 0  # bytes of a message that is not whole yet, its framing included
        self._announced = 0  # 1xx answers ahead of the one that counts
        self.begun = False  # a message has begun that is not whole yet
        self.error_status = 0  # what to tell a peer that sent what HTTP or our limits do not allow; reading is over
        self._fresh()

    def _fresh(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._target = b""
        self._body = bytearray()
        self._head_size = 0
        self._in_body = False
        self._length: int | None = None  # of the body, as told
        self._chunked = self._streaming = False
        self._passed = 0  # bytes of a body that went on in pieces

    @property
    def held_back(self) -> bool:
        """Part of an answer's body is here, and how long it will be is not told."""
        return self._long and self._in_body and not self._streaming and bool(self._body) and self._length is None

    @property
    def ends_with_connection(self) -> bool:
        """The answer that is coming is whole when its sender ends the connection (RFC 9112, 6.3)."""
        return self._in_body and self._length is None and not self._chunked and not self.error_status

    def pass_on(self) -> None:
        """Pass on what is held back, and all that still comes."""
        if self.held_back:
            self._begin_stream()

    def _begin_stream(self) -> None:
        self._streaming = True
        self.head = Message(self._headers, b"", self._parser.should_keep_alive(), status=200, length=self._length)
        if self._body:
            self.pieces.append(bytes(self._body))
            self._body.clear()

    def finish(self) -> list[Message]:
        """The sender has ended the connection: the answer that this makes whole."""
        if self.ends_with_connection:
            self.on_message_complete()
        ready, self._ready = self._ready, []
        return ready

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """The messages that are now whole; `bad` is set if what came after them can't be read."""
        self._fed += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._ready = self._ready[:-1]  # no other protocol is spoken here
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(400)
        if not self._in_body and self._fed > MAX_HEAD:
            self._refuse(431)  # a head without end must not fill the memory
        elif self._fed > MAX_HEAD + FRAMING * (MAX_STREAM if self._streaming else self._max_body):
            self._refuse(413)  # nor must chunk extensions without end keep the parser busy
        if self.error_status:
            self._fresh()
            self.head, self.pieces = None, []
        ready, self._ready = self._ready, []
        return ready

    def _refuse(self, status: int) -> None:
        self.error_status = self.error_status or status

    # -- called by httptools --

    def on_message_begin(self) -> None:
        self.begun = True

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count(len(name) + len(value) + 4)
        # Behind a chunked body come trailers. They must not pass for headers that the head did not have.
        if not self._in_body and not self.error_status:
            self._headers.append((name.lower(), value.strip(b" \t")))  # cut in two reads, it keeps the space behind

    def _count(self, size: int) -> None:
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
                if self._length > self._most:
                    self._refuse(413)  # not only when that much has come
            elif name == b"transfer-encoding":
                self._chunked = True
                if value.lower() != b"chunked":
                    self._refuse(400)  # a coding that would have to be undone
        if self._long and self._length is not None and self._length > MAX_BUFFERED_RESPONSE and not self.error_status:
            self._begin_stream()

    @property
    def _long(self) -> bool:
        """Is this an answer that may be passed on as it comes?"""
        parser = self._parser
        return self._stream and isinstance(parser, httptools.HttpResponseParser) and parser.get_status_code() == 200

    @property
    def _most(self) -> int:
        return MAX_STREAM if self._long else self._max_body

    def on_body(self, data: bytes) -> None:
        if self._streaming:
            self._passed += len(data)
            if self._passed > MAX_STREAM:
                self._refuse(413)
            self.pieces.append(data)
            return
        if len(self._body) + len(data) > self._max_body:
            self._refuse(413)
        if not self.error_status:
            self._body += data
            if len(self._body) > MAX_BUFFERED_RESPONSE and self._long:
                self._begin_stream()

    def on_message_complete(self) -> None:
        if self.error_status:
            return
        message = Message(
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
            old=self._parser.get_http_version() == "1.0",
            streamed=self._streaming,
        )
        if isinstance(self._parser, httptools.HttpRequestParser):
            message.method, message.target = self._parser.get_method(), self._target
        else:
            message.status = self._parser.get_status_code()
        self._fed, self.begun = 0, False
        self._fresh()
        if message.status == 0 or message.status >= 200:
            self._ready.append(message)
            self._announced = 0
            return
        self._announced += 1  # 1xx only announces the answer
        if self._announced > MAX_ANNOUNCED:
            self._refuse(400)


def _head(first: bytes, headers: Headers, body: bytes, with_length: bool) -> bytes:
    lines = [first, *(k + b": " + v for k, v in headers)]
    if with_length:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def write_request(method: bytes, target: bytes, headers: Headers, body: bytes = b"") -> bytes:
    return _head(method + b" " + target + b" HTTP/1.1", headers, body, bool(body) or method != b"GET")


def write_stream_head(status: int, headers: Headers, length: int | None, close: bool, chunked: bool) -> bytes:
    """The head of an answer whose body follows in pieces: of a told length, in chunks, or until the connection ends."""
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
    reason = REASONS.get(status, "Unknown").encode()
    extra = [(b"Connection", b"close")] if close else []
    return _head(b"HTTP/1.1 %d %s" % (status, reason), [*headers, *extra], body, True)


def parse_decimal(text: bytes) -> int | None:
    """A header's plain decimal number; None for anything else, also a number of absurd length."""
    return int(text) if text.isdigit() and len(text) <= 15 else None


def read_json(text: bytes | str) -> object:
    """What a JSON text says; ValueError also for one that is nested too deep to be read."""
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError("nested too deep") from None


def load_report(text: bytes) -> dict[str, float] | None:
    """A load report as the module takes it: the numbers of a JSON object that a load can be."""
    try:
        value = read_json(text)
    except ValueError:
        return None
    if not isinstance(value, dict):
        return None
    return {
        k: float(v)
        for k, v in value.items()
        if isinstance(v, int | float) and not isinstance(v, bool) and 0 <= v <= MOST_LOAD
    }
