"""A virtual process: its event loop, descriptors and machine; it can be paused, signalled and killed."""

from __future__ import annotations

import asyncio
import errno
import signal
import socket
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, cast

from lanemux.core.system import RESET_ON_CLOSE, ConnectedSocket, ProcessMemory, SharedFile
from lanemux.virtual.disk import Disk
from lanemux.virtual.event_queue import NEVER
from lanemux.virtual.loop import VirtualLoop
from lanemux.virtual.network import Address
from lanemux.virtual.sockets import FIRST_FILENO, StreamSocket, VirtualSocket, os_error

if TYPE_CHECKING:
    from lanemux.virtual.world import World


class VirtualListener:
    """Implements `lanemux.core.system.Listener` for a virtual process."""

    def __init__(self, process: Process, address: Address, backlog: int) -> None:
        self._socket = StreamSocket(process)
        self._socket.bind(address)
        try:
            self._socket.listen(backlog)
        except OSError:
            self._socket.close()
            raise

    @property
    def port(self) -> int:
        return self._socket.getsockname()[1]

    def fileno(self) -> int:
        return self._socket.fileno()

    def accept(self) -> socket.socket:
        return cast(socket.socket, self._socket.accept()[0])

    def close(self) -> None:
        self._socket.close()


class Process:
    """A virtual process; also implements `lanemux.core.system.System`, the machine that a balancer runs on."""

    def __init__(self, world: World, name: str, descriptors: int = 1024) -> None:
        self.world, self.name = world, name
        self.descriptors = descriptors  # limit of open descriptors
        self.has_memory = True  # False: sockets cannot be created or connected for want of kernel memory
        self.disk = Disk()
        self.wall_offset_ns = 1_700_000_000 * 10**9
        self.sockets: dict[int, VirtualSocket] = {}
        self.check_after_step = False  # its turns write the records that the rule checker reads
        self.paused_until_ns = 0  # no turn runs before then
        self._cached_next_ns = 0  # last result of `next_ns`
        self._next_ns_stale = True  # whether it must be computed again
        self.pending_pause_ns = 0  # length of a pause that is due in the middle of a turn; 0: none
        self.pause_before_send = False  # that pause falls between a decision to send and the sending
        self.on_pause: Callable[[int], None] = lambda duration_ns: None
        self.accepted = 0  # accepted connections that are still open
        self.on_accepted_change: Callable[[int], None] = lambda accepted: None  # called when `accepted` changes
        self.alive = True
        self.errors: list[str] = []  # uncaught exceptions
        self.main: asyncio.Task[Any] | None = None
        self._last_fileno = FIRST_FILENO
        self._last_step_ns = -1
        self.loop = VirtualLoop(self)
        self.loop.set_exception_handler(self._on_loop_error)

    def _on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    # -- kernel --

    def register_socket(self, sock: VirtualSocket) -> int:
        self.check_descriptor_available()
        self._last_fileno += 1
        self.sockets[self._last_fileno] = sock
        return self._last_fileno

    def check_descriptor_available(self) -> None:
        """Raises OSError if the descriptor limit is reached or the kernel has no memory."""
        if len(self.sockets) >= self.descriptors:
            raise os_error(errno.EMFILE)
        self.check_memory()

    def check_memory(self) -> None:
        if not self.has_memory:
            raise os_error(errno.ENOBUFS)

    def release(self, number: int) -> None:
        self.sockets.pop(number, None)

    def notify(self, number: int) -> None:
        self.loop.notify(number)

    def count_accepted(self, change: int) -> None:
        """A connection has been accepted (1) or closed (-1)."""
        self.accepted += change
        self.on_accepted_change(self.accepted)

    def socket(self) -> StreamSocket:
        return StreamSocket(self)

    # -- System: the machine as the balancer sees it --

    def wall_ns(self) -> int:
        return self.world.event_queue.now_ns + self.wall_offset_ns

    def cpu_time_s(self) -> float:
        return 0.05

    def memory(self) -> ProcessMemory | None:
        return None  # not simulated

    def since_last_data_s(self, connection: object) -> float:
        return 0.0  # not tracked by the virtual kernel

    def peer_has_closed(self, connection: object) -> bool:
        return False  # not tracked either

    def has_unread(self, connection: ConnectedSocket) -> bool:
        sock = self.sockets.get(connection.fileno())
        endpoint = sock.endpoint if isinstance(sock, StreamSocket) else None
        return endpoint is not None and bool(endpoint.incoming.received)

    def unacknowledged_bytes(self, connection: ConnectedSocket) -> int | None:
        sock = self.sockets.get(connection.fileno())
        return sock.unread_by_peer if isinstance(sock, StreamSocket) else None

    def reset_on_close(self, connection: ConnectedSocket) -> None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def sleep(self, for_s: float) -> None:
        """No-op: a virtual process has its event loop from the start, so nothing waits outside it."""

    def termination_pending(self) -> bool:
        return False

    def listen(self, address: Address, backlog: int) -> VirtualListener:
        return VirtualListener(self, address, backlog)

    def inherit(self, descriptor: int) -> VirtualListener:
        raise os_error(errno.EBADF)  # there is no listener to inherit

    def read(self, path: str, most: int) -> bytes:
        return self.disk.read(path, most)

    def write_atomic(self, path: str, data: bytes) -> None:
        self.disk.replace(path, data)

    def open_shared(self, path: str, size: int) -> SharedFile:
        raise os_error(errno.ENOSYS)  # no second process of a balancer runs beside the first

    def make_directory(self, path: str) -> None:
        """No-op: a virtual disk needs no directories."""

    def list_directory(self, folder: str) -> list[str]:
        return self.disk.list_directory(folder)

    def directory_mtime_ns(self, folder: str) -> int:
        return self.disk.replacements

    # -- lifecycle --

    def run(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start the main task."""
        self.main = self.loop.create_task(work)
        return self.main

    def next_ns(self) -> int:
        """When the next turn is due; NEVER once the process has ended.

        Called before every step of the world, so the result is cached until something happens to the process."""
        if self._next_ns_stale:
            self._next_ns_stale = False
            self._cached_next_ns = self._due_ns() if self.alive else NEVER
        return self._cached_next_ns

    def _due_ns(self) -> int:
        due = self.loop.next_ns()
        if 0 < due <= self._last_step_ns:
            due = self._last_step_ns + 1  # due timers have run; avoids endless empty turns in one instant
        return max(due, self.paused_until_ns)

    def invalidate_next_ns(self) -> None:
        """Something happened that may change when the next turn is due."""
        self._next_ns_stale = True

    def pause_until(self, until_ns: int) -> None:
        """Run no turn before then."""
        self.paused_until_ns = max(self.paused_until_ns, until_ns)
        self._next_ns_stale = True

    def step(self) -> None:
        """Run one turn."""
        self._last_step_ns = self.world.event_queue.now_ns
        self.loop.step()
        self._next_ns_stale = True
        if self.main is not None and self.main.done() and self.alive:
            self._main_finished(self.main)

    def _main_finished(self, main: asyncio.Task[Any]) -> None:
        """The main task has ended."""
        if not main.cancelled() and (error := main.exception()) is not None:
            self.errors.append(f"it ended by {error!r}")
        self.world.on_process_end(self)
        self.kill()

    def pause_mid_turn(self) -> None:
        """Pause the machine in the middle of a turn: the clock advances between two instructions."""
        duration_ns, self.pending_pause_ns = self.pending_pause_ns, 0
        self.on_pause(duration_ns)
        self.world.event_queue.now_ns += duration_ns

    def signal(self, number: signal.Signals) -> None:
        """Deliver a signal; without a handler it kills the process, except SIGHUP, which the daemon ignores until it is
        up."""
        if self.alive and not self.loop.signal(number) and number is not signal.SIGHUP:
            self.kill()

    def kill(self) -> None:
        """As SIGKILL: nothing of the process runs any more, and the kernel closes its connections."""
        self.alive = False
        self._next_ns_stale = True
        self._close_sockets()

    def _close_sockets(self) -> None:
        for sock in list(self.sockets.values()):
            sock.close()

    def dispose(self) -> None:
        """Clean up at the end of a world, so that nothing runs later, not even in garbage collection."""
        self.alive = False
        self.loop.set_exception_handler(lambda loop, context: None)
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        for _ in range(20):  # each turn finishes tasks that the one before it woke
            if not asyncio.all_tasks(self.loop):
                break
            self.loop.step()
        self._close_sockets()
        self.loop.close()
