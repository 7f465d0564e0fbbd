"""HTTP/1.1 messages as the kit reads and writes them (RFC 9112), independent of the balancer's reader. No I/O.

Kept to what boxes, discovery and callers need: whole messages with Content-Length or, for answers, chunked
coding or an end by close. What goes beyond is `Unreadable`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

MAX_HEAD = 32 * 1024  # bytes: twice what the balancer itself allows
MAX_BODY = 4 * 1024 * 1024  # bytes: stand-ins send some KiB


class Unreadable(Exception):
    """The bytes are no message."""


@dataclass(slots=True)
class Message:
    """A request or an answer; header names in lower case, the last of several counts."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """An answer's status code."""
        word = self.start_line.split(" ", 2)[1:2]
        if not word or not (word[0].isascii() and word[0].isdigit() and len(word[0]) == 3):
            raise Unreadable(f"no status: {self.start_line[:80]!r}")
        return int(word[0])

    @property
    def keep_alive(self) -> bool:
        """The connection may carry another message."""
        return self.headers.get("connection", "").lower() != "close" and not self.start_line.startswith("HTTP/1.0")


class MessageParser:
    """Cuts a connection's bytes into messages. `responses`: they come from a server, and may be chunked."""

    def __init__(self, responses: bool = False) -> None:
        self._answers = responses
        self._data = bytearray()
        self._head: Message | None = None

    @property
    def has_partial(self) -> bool:
        """Bytes of a message that is not whole yet are here."""
        return bool(self._data) or self._head is not None

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are now whole; raises Unreadable."""
        self._data += data
        found = []
        while (message := self._next()) is not None:
            if not (self._answers and message.start_line.split(" ")[1:2] and 100 <= message.status < 200):
                found.append(message)  # 1xx only announces the answer
        return found

    def finish(self) -> Message | None:
        """The connection ended: an answer without a length is whole now."""
        head = self._head
        if head is None or not self._answers or "content-length" in head.headers or _chunked(head):
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
        body = self._chunks() if _chunked(head) else self._counted(head)
        if body is None:
            return None
        head.body, self._head = body, None
        return head

    def _counted(self, head: Message) -> bytes | None:
        text = head.headers.get("content-length", "")
        bodiless = not self._answers or head.status in (204, 304) or 100 <= head.status < 200
        if not text and bodiless:
            return b""
        if not text:
            return None  # until the connection ends
        if not (text.isascii() and text.isdigit()) or int(text) > MAX_BODY:
            raise Unreadable(f"content-length {text[:40]!r}")
        size = int(text)
        if len(self._data) < size:
            return None
        body = bytes(self._data[:size])
        del self._data[:size]
        return body

    def _chunks(self) -> bytes | None:
        if not self._answers:
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
    """A GET, or a POST where there is a body, be it empty."""
    first = f"{'GET' if body is None else 'POST'} {target} HTTP/1.1"
    length = [] if body is None else [f"Content-Length: {len(body)}"]
    lines = [first, *(f"{k}: {v}" for k, v in headers.items()), *length, "", ""]
    return "\r\n".join(lines).encode("latin-1") + (body or b"")


def response(status: int, body: bytes = b"", headers: Mapping[str, str] | None = None) -> bytes:
    """An answer with its length."""
    lines = [
        f"HTTP/1.1 {status} {'OK' if status == 200 else 'Answer'}",
        *(f"{k}: {v}" for k, v in (headers or {}).items()),
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode("latin-1") + body
