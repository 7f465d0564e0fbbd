"""Parses and serializes HTTP/1.1 messages (RFC 9112) for the rehearsal, independently of the balancer's parser. No I/O.

Supports what boxes, discovery and callers need: complete messages with Content-Length or, for responses, chunked
transfer coding or a body that ends with the connection. Anything else raises `Unreadable`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

MAX_HEAD = 32 * 1024  # bytes: twice the balancer's own limit
MAX_BODY = 4 * 1024 * 1024  # bytes: the bodies of a rehearsal have a few KiB


class Unreadable(Exception):
    """The bytes are not a message that this module supports."""


@dataclass(slots=True)
class Message:
    """A request or a response. Header names are in lower case; of a repeated header, the last value counts."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """A response's status code; raises Unreadable if there is none."""
        code = self.start_line.split(" ", 2)[1:2]
        if not code or not (code[0].isascii() and code[0].isdigit() and len(code[0]) == 3):
            raise Unreadable(f"no status: {self.start_line[:80]!r}")
        return int(code[0])

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may carry another message."""
        return self.headers.get("connection", "").lower() != "close" and not self.start_line.startswith("HTTP/1.0")


class MessageParser:
    """Splits a connection's bytes into messages. `responses`: they come from a server, and may be chunked."""

    def __init__(self, responses: bool = False) -> None:
        self._responses = responses
        self._data = bytearray()
        self._head: Message | None = None

    @property
    def has_partial(self) -> bool:
        """Whether the beginning of an incomplete message was received."""
        return bool(self._data) or self._head is not None

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes; returns the messages that are now complete. Raises Unreadable."""
        self._data += data
        complete = []
        while (message := self._next()) is not None:
            if not (self._responses and message.start_line.split(" ")[1:2] and 100 <= message.status < 200):
                complete.append(message)  # 1xx is an interim response
        return complete

    def finish(self) -> Message | None:
        """The connection ended, which completes a response without a length; returns it, or None."""
        head = self._head
        if head is None or not self._responses or "content-length" in head.headers or _chunked(head):
            return None
        head.body, self._head = bytes(self._data), None
        self._data.clear()
        return head

    def _next(self) -> Message | None:
        if self._head is None:
            end = self._data.find(b"\r\n\r\n")
            if end < 0:
                if len(self._data) > MAX_HEAD:
                    raise Unreadable("a head without end")
                return None
            self._head = _read_head(bytes(self._data[:end]))
            del self._data[: end + 4]
        head = self._head
        body = self._chunked_body() if _chunked(head) else self._sized_body(head)
        if body is None:
            return None
        head.body, self._head = body, None
        return head

    def _sized_body(self, head: Message) -> bytes | None:
        length = head.headers.get("content-length", "")
        bodiless = not self._responses or head.status in (204, 304) or 100 <= head.status < 200
        if not length and bodiless:
            return b""
        if not length:
            return None  # the body ends with the connection
        if not (length.isascii() and length.isdigit()) or int(length) > MAX_BODY:
            raise Unreadable(f"content-length {length[:40]!r}")
        size = int(length)
        if len(self._data) < size:
            return None
        body = bytes(self._data[:size])
        del self._data[:size]
        return body

    def _chunked_body(self) -> bytes | None:
        if not self._responses:
            raise Unreadable("a chunked request")
        body, at = bytearray(), 0
        while True:
            line = self._data.find(b"\r\n", at)
            if line < 0:
                return None
            try:
                size = int(bytes(self._data[at:line]).partition(b";")[0], 16)
            except ValueError:
                raise Unreadable("a chunk without a size") from None
            if not 0 <= size <= MAX_BODY:
                raise Unreadable("a chunk's size")
            at = line + 2
            if size == 0:
                end = self._data.find(b"\r\n", at)
                if end < 0:
                    return None
                del self._data[: end + 2]
                return bytes(body)
            if len(self._data) < at + size + 2:
                return None
            body += self._data[at : at + size]
            at += size + 2


def _chunked(head: Message) -> bool:
    return head.headers.get("transfer-encoding", "").lower() == "chunked"


def _read_head(data: bytes) -> Message:
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise Unreadable(f"a header: {line[:80]!r}")
        headers[name.lower()] = value.strip()
    if len(lines[0].split(" ")) < 2:
        raise Unreadable(f"a first line: {lines[0][:80]!r}")
    return Message(lines[0], headers, b"")


def request(target: str, headers: Mapping[str, str], body: bytes | None = None) -> bytes:
    """Serialize a request: a GET without a body, a POST with one, even if it is empty."""
    first = f"{'GET' if body is None else 'POST'} {target} HTTP/1.1"
    length = [] if body is None else [f"Content-Length: {len(body)}"]
    lines = [first, *(f"{k}: {v}" for k, v in headers.items()), *length, "", ""]
    return "\r\n".join(lines).encode("latin-1") + (body or b"")


def interrupted_response(body: bytes) -> bytes:
    """The beginning of a chunked response with status 200: the first half of its body, and no end."""
    half = body[: len(body) // 2]
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(half), half)


def response(status: int, body: bytes = b"", headers: Mapping[str, str] | None = None) -> bytes:
    """Serialize a response with Content-Length."""
    lines = [
        f"HTTP/1.1 {status} {'OK' if status == 200 else 'Answer'}",
        *(f"{k}: {v}" for k, v in (headers or {}).items()),
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode("latin-1") + body
