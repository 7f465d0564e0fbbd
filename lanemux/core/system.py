"""Abstraction of the operating system beyond the event loop: listening sockets, files, wall clock, resource usage.

Whatever the event loop offers (clock, timers, connections, datagrams, signals) is used through the loop. Only this
module may import `socket` and `time`, which `tests/test_seams.py` enforces.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import signal
import socket
import struct
import sys
import time
from dataclasses import dataclass
from typing import Protocol

from lanemux.core.address import Address

# Linux struct tcp_info: tcpi_last_data_recv, in ms, follows eight bytes and eleven 4-byte integers (tcp(7)).
TCP_INFO_BYTES, LAST_DATA_OFFSET = 104, 52
PEER_CLOSED_STATES = frozenset({7, 8, 9, 11})  # TCP_CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING: tcpi_state, its first byte
# ioctls of sockets (tcp(7)): the number of unread bytes, and of those written that the peer has not acknowledged
FIONREAD, SIOCOUTQ, INT_BYTES = 0x541B, 0x5411, 4
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with no time to linger (socket(7))
UNBLOCK_TRIES = 5  # attempts to make an accepted connection non-blocking
FILE_MODE = 0o600
KIB = 1024
STATUS_PATH = "/proc/self/status"  # proc(5)
READ_BYTES = 64 * 1024  # chunk size for files: memory use follows the actual size, not the size limit


class Listener(Protocol):
    """A non-blocking listening socket."""

    @property
    def port(self) -> int: ...

    def fileno(self) -> int: ...

    def accept(self) -> socket.socket:
        """Accept a connection for the loop; BlockingIOError if none is pending, OSError if accepting fails."""

    def close(self) -> None: ...


class ConnectedSocket(Protocol):
    """The operations needed of a connection's socket."""

    def fileno(self) -> int: ...

    def getsockopt(self, level: int, option: int, size: int) -> bytes: ...

    def setsockopt(self, level: int, option: int, value: bytes) -> None: ...


class SharedFile(Protocol):
    """A file of fixed size that several processes read and write at once. Its content need not survive the machine."""

    def read_at(self, offset: int, size: int) -> bytes:
        """Read a part. OSError on failure."""

    def write_at(self, offset: int, data: bytes) -> None:
        """Write a part. OSError on failure."""

    def close(self) -> None:
        """Close the file."""


@dataclass(frozen=True)
class ProcessMemory:
    """Memory of this process in bytes, with the files that it has mapped."""

    resident: int
    peak: int  # since the process began to run this program


class System(Protocol):
    """The operating system services used by a balancer."""

    def wall_ns(self) -> int:
        """Unix time. It may be stepped forwards or backwards."""

    def cpu_time_s(self) -> float:
        """CPU time that this process has used so far."""

    def memory(self) -> ProcessMemory | None:
        """Memory of this process; None if it can't be read now."""

    def since_last_data_s(self, connection: ConnectedSocket) -> float:
        """Time since the last bytes arrived on a connection, read or not; 0 if unknown."""

    def peer_has_closed(self, connection: ConnectedSocket) -> bool:
        """Whether the peer has closed its sending side, even if unread data remains; False if unknown."""

    def has_unread(self, connection: ConnectedSocket) -> bool:
        """Whether the kernel holds unread bytes; True if unknown."""

    def unacknowledged_bytes(self, connection: ConnectedSocket) -> int | None:
        """The number of written bytes that the peer's kernel has not acknowledged; None if unknown."""

    def reset_on_close(self, connection: ConnectedSocket) -> None:
        """Make closing a connection reset it and drop unsent data, so that its peer does not take the end for a regular
        one."""

    def sleep(self, for_s: float) -> None:
        """Block for this long. Only for use without a running event loop."""

    def termination_pending(self) -> bool:
        """Whether SIGTERM or SIGINT is pending."""

    def listen(self, address: Address, backlog: int) -> Listener:
        """Listen on an address; port 0 picks a free one. OSError on failure."""

    def inherit(self, descriptor: int) -> Listener:
        """Use a listening socket of the platform, which other processes may share. OSError if it does not listen."""

    def read(self, path: str, most: int) -> bytes:
        """Up to `most` bytes from the start of a file. OSError if it cannot be read."""

    def write_atomic(self, path: str, data: bytes) -> None:
        """Replace a file atomically and durably: readers see the old or the new content, even after a power loss.

        OSError if that cannot be guaranteed: the old content is then in place, or the new one, possibly not durable."""

    def open_shared(self, path: str, size: int) -> SharedFile:
        """Open a file of this size for reading and writing, all zero if it is new. OSError on failure."""

    def make_directory(self, path: str) -> None:
        """Create a directory unless it exists. OSError on failure."""

    def list_directory(self, folder: str) -> list[str]:
        """Names of the files in a directory. OSError if it cannot be read."""

    def directory_mtime_ns(self, folder: str) -> int:
        """A number that changes when a file in the directory is replaced. OSError if it cannot be read."""


def _sync_directory(path: str) -> None:
    """Sync a directory: a rename is durable only after that."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class MachineListener:
    """A `Listener` that uses a kernel socket."""

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
        for _ in range(UNBLOCK_TRIES):  # an accepted connection is not dropped because of such a failure
            with contextlib.suppress(OSError):
                accepted.setblocking(False)
                break
        return accepted

    def close(self) -> None:
        with contextlib.suppress(OSError):  # the descriptor is closed even if `close` reports an error (close(2))
            self._socket.close()


class OpenFile:
    """A `SharedFile` of the operating system."""

    def __init__(self, path: str, size: int) -> None:
        """OSError if it can't be opened or its size can't be set."""
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            os.truncate(self._descriptor, size)
        except OSError:
            self.close()
            raise

    def read_at(self, offset: int, size: int) -> bytes:
        data = os.pread(self._descriptor, size, offset)
        if len(data) < size:
            raise OSError(errno.EIO, "a short read")
        return data

    def write_at(self, offset: int, data: bytes) -> None:
        if os.pwrite(self._descriptor, data, offset) < len(data):
            raise OSError(errno.EIO, "a short write")

    def close(self) -> None:
        with contextlib.suppress(OSError):
            os.close(self._descriptor)


@dataclass(frozen=True)
class Machine:
    """The `System` used in production."""

    def wall_ns(self) -> int:
        return time.time_ns()

    def cpu_time_s(self) -> float:
        return time.process_time()

    def memory(self) -> ProcessMemory | None:
        # Not getrusage(2): its ru_maxrss outlives exec, and so may be that of the process that started this one.
        try:
            fields = dict(line.split(b":", 1) for line in self.read(STATUS_PATH, READ_BYTES).splitlines())
            resident, peak = (int(fields[name].split()[0]) * KIB for name in (b"VmRSS", b"VmHWM"))
        except (OSError, ValueError, KeyError, IndexError):
            return None
        return ProcessMemory(resident, peak)

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
            unread = fcntl.ioctl(connection.fileno(), FIONREAD, bytes(INT_BYTES))
        except (OSError, ValueError):
            return True
        return any(unread)

    def unacknowledged_bytes(self, connection: ConnectedSocket) -> int | None:
        try:
            return int.from_bytes(fcntl.ioctl(connection.fileno(), SIOCOUTQ, bytes(INT_BYTES)), sys.byteorder)
        except (OSError, ValueError):
            return None

    def reset_on_close(self, connection: ConnectedSocket) -> None:
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

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
            inherited.detach()  # the platform keeps the descriptor
            raise

    def read(self, path: str, most: int) -> bytes:
        data = bytearray()
        with open(path, "rb") as file:  # in chunks: a single read would allocate the maximum size
            while chunk := file.read(min(READ_BYTES, most - len(data))):
                data += chunk
        return bytes(data)

    def write_atomic(self, path: str, data: bytes) -> None:
        temporary = f"{path}.{os.getpid()}"
        try:
            with open(temporary, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, path)
            _sync_directory(os.path.dirname(path) or ".")
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(temporary)
            raise

    def open_shared(self, path: str, size: int) -> SharedFile:
        return OpenFile(path, size)

    def make_directory(self, path: str) -> None:
        os.makedirs(path, exist_ok=True)

    def list_directory(self, folder: str) -> list[str]:
        return os.listdir(folder)

    def directory_mtime_ns(self, folder: str) -> int:
        return os.stat(folder).st_mtime_ns
