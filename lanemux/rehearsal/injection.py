"""Runs a program in this process with system call failures injected according to a plan.

    python -m lanemux.rehearsal.injection PLAN.json MODULE [ARGUMENT ...]

The failures are those that the Linux manual pages document: sockets that cannot be created, addresses that cannot be
bound, connections that fail at once, short reads and writes, unreadable files, a stepped wall clock. They are injected
between the program and Python's `socket`, `io` and `time` modules, so the program's own code runs unchanged.
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
MAX_SHORT_BYTES = 7  # most bytes that a short read or write transfers
ACCEPT_ERRORS = ("ECONNABORTED", "ENFILE", "ENOBUFS", "EPROTO")
SOCKET_ERRORS = ("ENFILE", "ENOBUFS", "EMFILE", "ENOMEM")
CONNECT_ERRORS = ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS")
RESET_REPLACEMENTS = ("ETIMEDOUT", "EHOSTUNREACH")


def os_error(name: str) -> OSError:
    """The OSError for the name of an error number."""
    number = int(getattr(errno, name))
    return OSError(number, errno.errorcode[number])


class Injector:
    """Decides which calls fail."""

    def __init__(self, plan: InjectionPlan) -> None:
        self.plan = plan
        # Seeded per process name: processes differ, and each draws the same again after a restart.
        self._random = random.Random(f"{plan.seed}/{os.environ.get('RELAY_NAME', '')}")
        self._started_s = time.monotonic()

    def occurs(self, share: float) -> bool:
        return share > 0 and self._random.random() < share

    def age_s(self) -> float:
        return time.monotonic() - self._started_s

    def raise_if_failing(self, call: str, share: float = 0.0, errors: Sequence[str] = ()) -> None:
        """Raise the error that this call is to fail with, if any."""
        now_s = self.age_s()
        for window in self.plan.windows:
            if window.call == call and window.from_s <= now_s < window.until_s:
                raise os_error(window.error)
        if self.occurs(share):
            raise os_error(self._random.choice(list(errors)))

    def shortened_size(self, size: int) -> int:
        """How many of these bytes a read or write may transfer."""
        return self._random.randint(1, MAX_SHORT_BYTES) if size > 1 and self.occurs(self.plan.short_share) else size

    def maybe_stall(self) -> None:
        if self.occurs(self.plan.hold_up_share):
            time.sleep(HOLD_UP_S)

    def reset_error(self, error: ConnectionError) -> OSError:
        """The error that reports a reset connection."""
        return os_error(self._random.choice(RESET_REPLACEMENTS)) if self.occurs(self.plan.broken_share) else error

    def wall_clock_shift_s(self) -> float:
        now_s = self.age_s()
        return self.plan.wall_offset_s + sum(step.by_s for step in self.plan.clock_steps if step.at_s <= now_s)


def install(injector: Injector) -> None:
    """Route this process's calls through the injector from now on."""
    _install_sockets(injector)
    _install_files(injector)
    _install_wall_clock(injector)


def _install_sockets(injector: Injector) -> None:
    plan, original = injector.plan, socket.socket

    class FaultySocket(original):  # type: ignore[misc, valid-type]
        """A socket whose calls fail as the injector decides."""

        def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
            if fileno is None:
                injector.raise_if_failing("socket", plan.socket_share, SOCKET_ERRORS)
            super().__init__(family, type, proto, fileno)

        def bind(self, address: Any) -> None:
            injector.raise_if_failing("bind")
            super().bind(address)

        def listen(self, *backlog: int) -> None:
            injector.raise_if_failing("listen")
            super().listen(*backlog)

        def accept(self) -> tuple[Any, Any]:
            injector.raise_if_failing("accept", plan.accept_share, ACCEPT_ERRORS)
            accepted, address = super().accept()
            return accepted, address

        def connect(self, address: Any) -> None:
            if self.type & socket.SOCK_STREAM:
                injector.raise_if_failing("connect", plan.connect_share, CONNECT_ERRORS)
            super().connect(address)

        def send(self, data: Any, flags: int = 0) -> int:
            injector.maybe_stall()
            if self.type == socket.SOCK_STREAM:
                data = memoryview(data)[: injector.shortened_size(len(data))]
            return int(super().send(data, flags))

        def recv(self, size: int, flags: int = 0) -> bytes:
            try:
                return bytes(super().recv(injector.shortened_size(size), flags))
            except ConnectionResetError as error:
                raise injector.reset_error(error) from None

        def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
            try:
                return int(super().recv_into(buffer, injector.shortened_size(nbytes or len(buffer)), flags))
            except ConnectionResetError as error:
                raise injector.reset_error(error) from None

    def faulty_socketpair(*arguments: int) -> tuple[socket.socket, socket.socket]:
        injector.raise_if_failing("socket")
        return original_socketpair(*arguments)

    def make_selector() -> Any:
        injector.raise_if_failing("socket")
        return original_selector()

    original_socketpair, original_selector = socket.socketpair, selectors.DefaultSelector
    socket.socket = FaultySocket  # type: ignore[misc]
    socket.socketpair = faulty_socketpair  # type: ignore[assignment]
    selectors.DefaultSelector = make_selector  # type: ignore[misc, assignment]


def _install_files(injector: Injector) -> None:
    original = io.open

    def faulty_open(file: Any, mode: str = "r", *arguments: Any, **options: Any) -> Any:
        injector.raise_if_failing("read_file" if mode.startswith("r") else "replace_file")
        return original(file, mode, *arguments, **options)

    builtins.open = faulty_open


def _install_wall_clock(injector: Injector) -> None:
    original, original_ns = time.time, time.time_ns
    time.time = lambda: original() + injector.wall_clock_shift_s()
    time.time_ns = lambda: original_ns() + int(injector.wall_clock_shift_s() * 1e9)


def main(arguments: Sequence[str]) -> int:
    """Run the module; its SystemExit is passed on."""
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
