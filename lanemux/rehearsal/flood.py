"""Silent connections to one balancer, opened within a second and held: python -m lanemux.rehearsal.flood HOST PORT ...

Words: host, port, how many, the first three parts of the sources' addresses, how many sources, seconds. At the end it
prints what became of them: `asked`, `came_up`, `closed` (by the balancer), `refused`.
"""

from __future__ import annotations

import contextlib
import json
import resource
import selectors
import socket
import sys
import time
from dataclasses import asdict, dataclass

WITHIN_S = 1.0
LOOK_S = 0.01


@dataclass
class Told:
    """What became of the connections."""

    asked: int = 0
    came_up: int = 0
    closed: int = 0
    refused: int = 0


class Flood:
    """All connections of one flood; no event loop, since each must cost little."""

    def __init__(self, to: tuple[str, int], prefix: str, sources: int) -> None:
        self.told = Told()
        self._to, self._prefix, self._sources = to, prefix, sources
        self._selector = selectors.DefaultSelector()

    def open(self, most: int) -> None:
        for _ in range(most):
            one = socket.socket()
            one.setblocking(False)
            one.bind((f"{self._prefix}.{1 + self.told.asked % self._sources}", 0))
            with contextlib.suppress(BlockingIOError):
                one.connect(self._to)
            self._selector.register(one, selectors.EVENT_WRITE)
            self.told.asked += 1

    def look(self, wait_s: float) -> None:
        """Note who came up, and who was closed."""
        for key, events in self._selector.select(wait_s):
            one = key.fileobj
            assert isinstance(one, socket.socket)
            if events & selectors.EVENT_WRITE:
                refused = one.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                self.told.refused += bool(refused)
                self.told.came_up += not refused
                self._selector.unregister(one)
                if refused:
                    one.close()
                else:
                    self._selector.register(one, selectors.EVENT_READ)
            else:
                self.told.closed += 1
                self._selector.unregister(one)
                one.close()


def main(words: list[str]) -> None:
    """Flood, hold, and print what became of it."""
    host, port, count, prefix, sources, seconds = words
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    flood, began = Flood((host, int(port)), prefix, int(sources)), time.monotonic()
    while (passed := time.monotonic() - began) < float(seconds):
        due = int(min(1.0, passed / WITHIN_S) * int(count))
        flood.open(due - flood.told.asked)
        flood.look(LOOK_S)
    print(json.dumps(asdict(flood.told)))


if __name__ == "__main__":
    main(sys.argv[1:])
