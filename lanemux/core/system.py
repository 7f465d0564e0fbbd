"""The seam for what a process has of its machine beside the event loop: listening, files, the wall clock, its costs.

What the loop itself offers (its clock, timers, connections, datagrams, signals) goes through the loop. Only this module
may import `socket` and `time`; `tests/test_seams.py` holds that.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import resource
import signal
import socket
import struct
import time
from dataclasses import dataclass
from typing import Protocol

from lanemux.core.address import Address

# struct tcp_info of Linux: tcpi_last_data_recv, in ms, stands behind eight bytes and eleven numbers of four (tcp(7)).
TCP_INFO_BYTES, LAST_DATA_OFFSET = 104, 52
PEER_CLOSED_STATES = frozenset({7, 8, 9, 11})  # TCP_CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING: tcpi_state, its first byte
FIONREAD, INT_BYTES = 0x541B, 4  # of ioctl_tty(2): how many bytes lie unread
UNBLOCK_TRIES = 5  # of telling the kernel that a connection must not block
READ_BYTES = 64 * 1024  # of a file at once: memory follows what is there, not what is allowed


class Listener(Protocol):
    """A listening socket that never blocks."""

    @property
    def port(self) -> int: ...

    def fileno(self) -> int: ...

    def accept(self) -> socket.socket:
        """A connection for the loop; BlockingIOError when none waits, OSError when it can't be had."""

    def close(self) -> None: ...


class ConnectedSocket(Protocol):
    """What is asked of a connection's socket."""

    def fileno(self) -> int: ...

    def getsockopt(self, level: int, option: int, size: int) -> bytes: ...


class System(Protocol):
    """The machine under a balancer."""

    def wall_ns(self) -> int:
        """Unix time. It may be set, forwards and backwards."""

    def cpu_time_s(self) -> float:
        """Processor time that this process has used so far."""

    def peak_rss_kib(self) -> int:
        """The most memory that this process has held so far, in KiB."""

    def since_last_data_s(self, connection: ConnectedSocket) -> float:
        """How long ago the last bytes came on a connection, read or not; 0 where that can't be told."""

    def peer_has_closed(self, connection: ConnectedSocket) -> bool:
        """Has the other side ended its sending, read so far or not? False where that can't be told."""

    def has_unread(self, connection: ConnectedSocket) -> bool:
        """Do bytes lie in the kernel that have not been read? True where that can't be told."""

    def sleep(self, for_s: float) -> None:
        """Do nothing for so long. Only where no event loop runs."""

    def termination_pending(self) -> bool:
        """Does a signal that asks for the end wait to be handled?"""

    def listen(self, address: Address, backlog: int) -> Listener:
        """Listen there; port 0 takes a free one. OSError if that can't be done."""

    def inherit(self, descriptor: int) -> Listener:
        """The listening socket that the platform holds, and other processes may have too. OSError if it is none."""

    def read(self, path: str, most: int) -> bytes:
        """The first bytes of a file, so many at most. OSError if it can't be read."""

    def write_atomic(self, path: str, data: bytes) -> None:
        """The whole file anew, lasting: who reads it sees the old or the new one, also after a loss of power.

        OSError where that can't be promised; the old one is there then, or the new one that may not last."""

    def make_directory(self, path: str) -> None:
        """The folder, unless it is there. OSError if it can't be had."""

    def list_directory(self, folder: str) -> list[str]:
        """The files of a folder. OSError if it can't be read."""

    def directory_mtime_ns(self, folder: str) -> int:
        """Another number whenever a file of the folder has been replaced. OSError if it can't be read."""


def _sync_folder(path: str) -> None:
    """A renamed file lasts once its folder has been written."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class MachineListener:
    """A `Listener` of the kernel's."""

    def __init__(self, listening: socket.socket) -> None:
        listening.setblocking(False)
        self._socket = listening

    @property
    def port(self) -> int:
        return int(self._socket.getsockname()[1])

    def fileno(self) -> int:
        return self._socket.fileno()

    def accept(self) -> socket.socket:
        accepted, _ = self._socket.accept()
        for _ in range(UNBLOCK_TRIES):  # a connection that was accepted is not given up for it
            with contextlib.suppress(OSError):
                accepted.setblocking(False)
                break
        return accepted

    def close(self) -> None:
        with contextlib.suppress(OSError):  # it is closed also where `close` fails (close(2))
            self._socket.close()


@dataclass(frozen=True)
class Machine:
    """The `System` in service."""

    def wall_ns(self) -> int:
        return time.time_ns()

    def cpu_time_s(self) -> float:
        return time.process_time()

    def peak_rss_kib(self) -> int:
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss

    def since_last_data_s(self, connection: ConnectedSocket) -> float:
        try:
            info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
            (last_ms,) = struct.unpack_from("=I", info, LAST_DATA_OFFSET)
        except (OSError, struct.error):
            return 0.0
        return float(last_ms) / 1000

    def peer_has_closed(self, connection: ConnectedSocket) -> bool:
        try:
            return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)[0] in PEER_CLOSED_STATES
        except (OSError, IndexError):
            return False

    def has_unread(self, connection: ConnectedSocket) -> bool:
        try:
            answer = fcntl.ioctl(connection.fileno(), FIONREAD, bytes(INT_BYTES))
        except (OSError, ValueError):
            return True
        return any(answer)

    def sleep(self, for_s: float) -> None:
        time.sleep(for_s)

    def termination_pending(self) -> bool:
        return not signal.sigpending().isdisjoint((signal.SIGTERM, signal.SIGINT))

    def listen(self, address: Address, backlog: int) -> Listener:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listening = socket.socket(family, socket.SOCK_STREAM)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind(address)
            listening.listen(backlog)
            return MachineListener(listening)
        except OSError:
            listening.close()
            raise

    def inherit(self, descriptor: int) -> Listener:
        inherited = socket.socket(fileno=descriptor)
        try:
            if not inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(errno.EINVAL, f"descriptor {descriptor} does not listen")
            return MachineListener(inherited)
        except OSError:
            inherited.detach()  # it stays the platform's
            raise

    def read(self, path: str, most: int) -> bytes:
        data = bytearray()
        with open(path, "rb") as file:  # a piece at a time: one read would ask for room for all that is allowed
            while piece := file.read(min(READ_BYTES, most - len(data))):
                data += piece
        return bytes(data)

    def write_atomic(self, path: str, data: bytes) -> None:
        fresh = f"{path}.{os.getpid()}"
        try:
            with open(fresh, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(fresh, path)
            _sync_folder(os.path.dirname(path) or ".")
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(fresh)
            raise

    def make_directory(self, path: str) -> None:
        os.makedirs(path, exist_ok=True)

    def list_directory(self, folder: str) -> list[str]:
        return os.listdir(folder)

    def directory_mtime_ns(self, folder: str) -> int:
        return os.stat(folder).st_mtime_ns
