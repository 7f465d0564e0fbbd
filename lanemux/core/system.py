"""The seam for what a process has of its machine beside the event loop: listening, files, the wall clock, its costs.

What the loop itself offers (its clock, timers, connections, datagrams, signals) goes through the loop. Only this module
may import `socket` and `time`; `tests/test_seams.py` holds that.
"""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass
from typing import Protocol

from lanemux.core.address import Address


class Listener(Protocol):
    """A listening socket that never blocks."""

    @property
    def port(self) -> int: ...

    def fileno(self) -> int: ...

    def accept(self) -> socket.socket:
        """A connection for the loop; BlockingIOError when none waits, OSError when it can't be had."""

    def close(self) -> None: ...


class System(Protocol):
    """The machine under a balancer."""

    def wall_ns(self) -> int:
        """Unix time. It may be set, forwards and backwards."""

    def spent_s(self) -> float:
        """Processor time that this process has used so far."""

    def listen(self, address: Address, backlog: int) -> Listener:
        """Listen there; port 0 takes a free one. OSError if that can't be done."""

    def read(self, path: str, most: int) -> bytes:
        """The first bytes of a file, so many at most. OSError if it can't be read."""


class MachineListener:
    """A `Listener` of the kernel's."""

    def __init__(self, address: Address, backlog: int) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._socket.listen(backlog)

    @property
    def port(self) -> int:
        return int(self._socket.getsockname()[1])

    def fileno(self) -> int:
        return self._socket.fileno()

    def accept(self) -> socket.socket:
        accepted, _ = self._socket.accept()
        accepted.setblocking(False)
        return accepted

    def close(self) -> None:
        self._socket.close()


@dataclass(frozen=True)
class Machine:
    """The `System` in service."""

    def wall_ns(self) -> int:
        return time.time_ns()

    def spent_s(self) -> float:
        return time.process_time()

    def listen(self, address: Address, backlog: int) -> Listener:
        return MachineListener(address, backlog)

    def read(self, path: str, most: int) -> bytes:
        with open(path, "rb") as file:
            return file.read(most)
