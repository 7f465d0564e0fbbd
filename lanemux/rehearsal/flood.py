"""A connection flood: opens connections to one balancer within 1 s and holds them open. They send nothing, stop in the
middle of a request's head, or go from one part of a request to the next, each on a new connection.

Usage: python -m lanemux.rehearsal.flood HOST PORT COUNT PREFIX SOURCES SECONDS LINES. PREFIX is the first three octets
of the source addresses, SOURCES their number; LINES is the number of lines of the head that each connection sends (0:
it sends nothing), or "changing". At the end it prints the counts as JSON: `asked` (attempted), `came_up`
(established), `closed` (by the balancer), `refused`.
"""

from __future__ import annotations

import contextlib
import json
import resource
import selectors
import socket
import sys
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass

OPEN_WITHIN_S = 1.0
POLL_TIMEOUT_S = 0.01
MAX_READ_BYTES = 4096
CHANGING = "changing"
TURN_S = 0.8  # after which a connection makes place for one that sends the next part
LARGE_HEAD = b"POST /payout/x HTTP/1.1\r\nContent-Length: 60000\r\n"
# None of them is a whole request: nothing of it may be forwarded.
PARTS = (
    LARGE_HEAD + b"\r\n" + b"x" * 54_000,
    LARGE_HEAD + b"".join(b"a%d: b\r\n" % number for number in range(245)) + b"\r\n" + b"x" * 20_000,
    b"GET /quote/x HTTP/1.1\r\n" + b"a:\r\n" * 3200,
    b"POST /payout/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 3000,
)


@dataclass
class FloodCounts:
    """What became of the connections; the field names are those of the output."""

    asked: int = 0
    came_up: int = 0
    closed: int = 0
    refused: int = 0


class Flood:
    """All connections of one flood. It uses a selector, not asyncio, to keep the cost per connection low."""

    def __init__(self, target: tuple[str, int], prefix: str, sources: int, parts: Sequence[bytes]) -> None:
        """`parts`: what the connections send, one part after another; none if they send nothing."""
        self.counts = FloodCounts()
        self._parts = parts
        self._sending: dict[socket.socket, int] = {}  # the number of the part that a connection has sent
        self._target, self._prefix, self._sources = target, prefix, sources
        self._selector = selectors.DefaultSelector()

    def open(self, count: int, part: int = 0) -> None:
        """Start this many more connections, spread over the source addresses."""
        for _ in range(count):
            sock = socket.socket()
            self._sending[sock] = part
            sock.setblocking(False)
            sock.bind((f"{self._prefix}.{1 + self.counts.asked % self._sources}", 0))
            with contextlib.suppress(BlockingIOError):
                sock.connect(self._target)
            self._selector.register(sock, selectors.EVENT_WRITE)
            self.counts.asked += 1

    def poll(self, timeout_s: float) -> None:
        """Count the connections that were established, refused or closed."""
        for key, events in self._selector.select(timeout_s):
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            if events & selectors.EVENT_WRITE:
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                self.counts.refused += bool(error)
                self.counts.came_up += not error
                if error:
                    self._close(sock)
                else:
                    self._selector.unregister(sock)
                    self._established(sock)
            elif not self._parts or not self._read(sock):
                self.counts.closed += 1
                self._close(sock)

    def change(self) -> None:
        """Replace each connection by one that sends the next part."""
        for sock, number in list(self._sending.items()):
            self._close(sock)
            self.open(1, number + 1)

    def _close(self, sock: socket.socket) -> None:
        self._selector.unregister(sock)
        self._sending.pop(sock, None)
        sock.close()

    def _established(self, sock: socket.socket) -> None:
        if self._parts:
            with contextlib.suppress(OSError):
                sock.send(self._parts[self._sending[sock] % len(self._parts)])  # a short write is as good
        self._selector.register(sock, selectors.EVENT_READ)

    @staticmethod
    def _read(sock: socket.socket) -> bool:
        """Read what the balancer sends; False at the end of the connection."""
        try:
            return bool(sock.recv(MAX_READ_BYTES))
        except OSError:
            return False


def main(arguments: list[str]) -> None:
    """Open the connections, hold them, and print the counts."""
    host, port, count, prefix, sources, seconds, lines = arguments
    parts = PARTS if lines == CHANGING else (b"GET /quote/x HTTP/1.1\r\n" + b"a:\r\n" * int(lines),) * (lines != "0")
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    flood, started_s = Flood((host, int(port)), prefix, int(sources), parts), time.monotonic()
    opened, changed_s = 0, started_s
    while (elapsed_s := time.monotonic() - started_s) < float(seconds):
        due = int(min(1.0, elapsed_s / OPEN_WITHIN_S) * int(count))
        flood.open(due - opened)
        opened = due
        if lines == CHANGING and time.monotonic() >= changed_s + TURN_S:
            flood.change()
            changed_s = time.monotonic()
        flood.poll(POLL_TIMEOUT_S)
    print(json.dumps(asdict(flood.counts)))


if __name__ == "__main__":
    main(sys.argv[1:])
