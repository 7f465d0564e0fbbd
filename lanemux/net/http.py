"""HTTP/1.1 messages: parsing, writing and their limits. No sockets."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass

import httptools

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
HOP_BY_HOP = frozenset({b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate",
                        b"proxy-authorization", b"te", b"trailer", b"transfer-encoding", b"upgrade",
                        b"expect", b"content-length"})
REASONS = {200: "OK", 400: "Bad Request", 405: "Method Not Allowed", 413: "Content Too Large",
           431: "Request Header Fields Too Large", 503: "Service Unavailable", 504: "Gateway Timeout"}

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

    def header(self, name: bytes) -> bytes:
        return next((v for k, v in self.headers if k == name), b"")

    def end_to_end(self) -> list[tuple[bytes, bytes]]:
        """The headers that a proxy passes on."""
        named = {n.strip().lower() for n in self.header(b"connection").split(b",")}
        return [(k, v) for k, v in self.headers if k not in HOP_BY_HOP and k not in named]


class MessageReader:
    """Cuts what a connection brings into messages; header names come out in lower case."""

    def __init__(self, responses: bool = False, max_body: int = MAX_BODY) -> None:
        self._parser = httptools.HttpResponseParser(self) if responses else httptools.HttpRequestParser(self)
        self._max_body = max_body
        self._ready: list[Message] = []
        self._head_fed = 0  # of a head that is not whole yet
        self.bad = 0  # what to tell a peer that sent what HTTP or our limits do not allow; reading is over
        self._fresh()

    def _fresh(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._target = b""
        self._body = bytearray()
        self._in_body = False
        self._too_big = False

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are now whole; `bad` is set if what came after them can't be read."""
        if not self._in_body:
            self._head_fed += len(data)
        self._ready = []
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._ready = self._ready[:-1]  # no other protocol is spoken here
            self.bad = 400
        except httptools.HttpParserError:
            self.bad = 400
        if self._too_big:
            self.bad = 413
        elif not self._in_body and self._head_fed > MAX_HEAD:
            self.bad = self.bad or 431  # a head without end must not fill the memory
        return self._ready

    # -- called by httptools --

    def on_message_begin(self) -> None:
        self._fresh()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        if len(self._body) + len(data) > self._max_body:
            self._too_big = True  # the rest is only counted off
            self._body.clear()
        elif not self._too_big:
            self._body += data

    def on_message_complete(self) -> None:
        if self._too_big:
            return
        message = Message(self._headers, bytes(self._body), self._parser.should_keep_alive())
        if isinstance(self._parser, httptools.HttpRequestParser):
            message.method, message.target = self._parser.get_method(), self._target
        else:
            message.status = self._parser.get_status_code()
        self._head_fed, self._in_body = 0, False
        if message.status == 0 or message.status >= 200:  # 1xx only announces the answer
            self._ready.append(message)


def _head(first: bytes, headers: Headers, body: bytes, with_length: bool) -> bytes:
    lines = [first, *(k + b": " + v for k, v in headers)]
    if with_length:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def write_request(method: bytes, target: bytes, headers: Headers, body: bytes = b"") -> bytes:
    return _head(method + b" " + target + b" HTTP/1.1", headers, body, bool(body) or method != b"GET")


def write_response(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    reason = REASONS.get(status, "Unknown").encode()
    extra = [(b"Connection", b"close")] if close else []
    return _head(b"HTTP/1.1 %d %s" % (status, reason), [*headers, *extra], body, True)


def whole_number(text: bytes) -> int | None:
    """A header's plain decimal number; None for anything else, also a number of absurd length."""
    return int(text) if text.isdigit() and len(text) <= 15 else None


def read_json(text: bytes | str) -> object:
    """What a JSON text says; ValueError also for one that is nested too deep to be read."""
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError("nested too deep") from None


def load_report(value: object) -> dict[str, float] | None:
    """A load report as the module takes it: the finite numbers of a JSON object."""
    if not isinstance(value, dict):
        return None
    return {k: float(v) for k, v in value.items()
            if isinstance(v, int | float) and not isinstance(v, bool) and math.isfinite(v)}
