"""Runs a program inside this process while its system calls fail as a plan says.

    python -m lanemux.rehearsal.injection PLAN.json MODULE [ARGUMENT ...]

The failures are those that the manual pages of Linux document: sockets that can't be had, addresses that can't be
bound, connections that fail at once, short reads and writes, files that can't be read, a wall clock that is stepped.
They are put between the program and Python's `socket`, `io` and `time` modules, so that its own code runs unchanged.
"""

from __future__ import annotations

import builtins
import errno
import io
import os
import random
import runpy
import selectors
import socket
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from lanemux.rehearsal.injection_plan import HOLD_UP_S, InjectionPlan, InvalidPlan, read_plan

USAGE_STATUS = 2
SHORT_BYTES = 7  # a shortened read or write moves at most so many bytes
ACCEPT_ERRORS = ("ECONNABORTED", "ENFILE", "ENOBUFS", "EPROTO")
SOCKET_ERRORS = ("ENFILE", "ENOBUFS", "EMFILE", "ENOMEM")
CONNECT_ERRORS = ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS")
BROKEN_ERRORS = ("ETIMEDOUT", "EHOSTUNREACH")


def failure(name: str) -> OSError:
    """The exception of an error number's name."""
    number = int(getattr(errno, name))
    return OSError(number, errno.errorcode[number])


class Injector:
    """Decides which call fails."""

    def __init__(self, plan: InjectionPlan) -> None:
        self.plan = plan
        # Each process draws for itself, and the same at each of its starts.
        self._random = random.Random(f"{plan.seed}/{os.environ.get('RELAY_NAME', '')}")
        self._started_s = time.monotonic()

    def happens(self, share: float) -> bool:
        return share > 0 and self._random.random() < share

    def age_s(self) -> float:
        return time.monotonic() - self._started_s

    def check(self, call: str, share: float = 0.0, errors: Sequence[str] = ()) -> None:
        """Raise what this call is to fail with, if it is."""
        now_s = self.age_s()
        for window in self.plan.windows:
            if window.call == call and window.from_s <= now_s < window.until_s:
                raise failure(window.error)
        if self.happens(share):
            raise failure(self._random.choice(list(errors)))

    def shortened(self, size: int) -> int:
        """How many bytes of so many a read or write may move."""
        return self._random.randint(1, SHORT_BYTES) if size > 1 and self.happens(self.plan.short_share) else size

    def hold_up(self) -> None:
        if self.happens(self.plan.hold_up_share):
            time.sleep(HOLD_UP_S)

    def broken(self, error: ConnectionError) -> OSError:
        """How the end of a connection shows."""
        return failure(self._random.choice(BROKEN_ERRORS)) if self.happens(self.plan.broken_share) else error

    def wall_shift_s(self) -> float:
        now_s = self.age_s()
        return self.plan.wall_offset_s + sum(step.by_s for step in self.plan.clock_steps if step.at_s <= now_s)


def install(injector: Injector) -> None:
    """From now on the calls of this process go through the injector."""
    _install_sockets(injector)
    _install_files(injector)
    _install_wall_clock(injector)


def _install_sockets(injector: Injector) -> None:
    plan, plain = injector.plan, socket.socket

    class FaultySocket(plain):  # type: ignore[misc, valid-type]
        """A socket whose calls may fail."""

        def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
            if fileno is None:
                injector.check("socket", plan.socket_share, SOCKET_ERRORS)
            super().__init__(family, type, proto, fileno)

        def bind(self, address: Any) -> None:
            injector.check("bind")
            super().bind(address)

        def listen(self, *backlog: int) -> None:
            injector.check("listen")
            super().listen(*backlog)

        def accept(self) -> tuple[Any, Any]:
            injector.check("accept", plan.accept_share, ACCEPT_ERRORS)
            accepted, address = super().accept()
            return accepted, address

        def connect(self, address: Any) -> None:
            if self.type & socket.SOCK_STREAM:
                injector.check("connect", plan.connect_share, CONNECT_ERRORS)
            super().connect(address)

        def send(self, data: Any, flags: int = 0) -> int:
            injector.hold_up()
            if self.type == socket.SOCK_STREAM:
                data = memoryview(data)[: injector.shortened(len(data))]
            return int(super().send(data, flags))

        def recv(self, size: int, flags: int = 0) -> bytes:
            try:
                return bytes(super().recv(injector.shortened(size), flags))
            except ConnectionResetError as error:
                raise injector.broken(error) from None

        def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
            try:
                return int(super().recv_into(buffer, injector.shortened(nbytes or len(buffer)), flags))
            except ConnectionResetError as error:
                raise injector.broken(error) from None

    def socketpair(*kind: int) -> tuple[socket.socket, socket.socket]:
        injector.check("socket")
        return plain_pair(*kind)

    def selector() -> Any:
        injector.check("socket")
        return plain_selector()

    plain_pair, plain_selector = socket.socketpair, selectors.DefaultSelector
    socket.socket = FaultySocket  # type: ignore[misc]
    socket.socketpair = socketpair  # type: ignore[assignment]
    selectors.DefaultSelector = selector  # type: ignore[misc, assignment]


def _install_files(injector: Injector) -> None:
    plain = io.open

    def faulty_open(file: Any, mode: str = "r", *more: Any, **options: Any) -> Any:
        injector.check("read_file" if mode.startswith("r") else "replace_file")
        return plain(file, mode, *more, **options)

    builtins.open = faulty_open


def _install_wall_clock(injector: Injector) -> None:
    plain, plain_ns = time.time, time.time_ns
    time.time = lambda: plain() + injector.wall_shift_s()
    time.time_ns = lambda: plain_ns() + int(injector.wall_shift_s() * 1e9)


def main(arguments: Sequence[str]) -> int:
    """Run the module; what it exits with goes on."""
    if len(arguments) < 2:
        print(__doc__, file=sys.stderr)
        return USAGE_STATUS
    try:
        plan = read_plan(Path(arguments[0]).read_text())
    except (OSError, InvalidPlan) as error:
        print(f"injection: {arguments[0]}: {error}", file=sys.stderr)
        return USAGE_STATUS
    sys.argv = list(arguments[1:])
    install(Injector(plan))
    runpy.run_module(arguments[1], run_name="__main__", alter_sys=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
