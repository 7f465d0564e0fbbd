"""One virtual process: its loop, its descriptors, its machine; it can stand still, be told a signal, and be killed."""

from __future__ import annotations

import asyncio
import errno
import signal
import socket
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, cast

from lanemux.virtual.disk import Disk
from lanemux.virtual.event_queue import NEVER
from lanemux.virtual.loop import VirtualLoop
from lanemux.virtual.network import Address
from lanemux.virtual.sockets import FIRST_FILENO, StreamSocket, VirtualSocket, os_error

if TYPE_CHECKING:
    from lanemux.virtual.world import World


class VirtualListener:
    """A `lanemux.core.system.Listener` of a virtual process."""

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
    """A process; as a `lanemux.core.system.System` it is the machine under a balancer."""

    def __init__(self, world: World, name: str, descriptors: int = 1024) -> None:
        self.world, self.name = world, name
        self.descriptors = descriptors  # it may have so many open
        self.has_memory = True  # False: the kernel has none for it
        self.disk = Disk()
        self.wall_offset_ns = 1_700_000_000 * 10**9
        self.sockets: dict[int, VirtualSocket] = {}
        self.check_after_step = False  # what the judge looks at is written in its turns
        self.paused_until_ns = 0  # it does not run before then
        self._cached_next_ns = 0  # what `next_ns` told last
        self._next_ns_stale = True  # and whether that may be another by now
        self.pending_pause_ns = 0  # the machine is to stand still for so long in the middle of a turn
        self.pause_before_send = False  # and that behind a decision, before it is carried out
        self.on_pause: Callable[[int], None] = lambda duration_ns: None
        self.accepted = 0  # connections that it has accepted and not closed
        self.on_accepted_change: Callable[[int], None] = lambda accepted: None  # told of each change of that
        self.alive = True
        self.errors: list[str] = []  # exceptions that nobody caught
        self.main: asyncio.Task[Any] | None = None
        self._last_fileno = FIRST_FILENO
        self._last_step_ns = -1
        self.loop = VirtualLoop(self)
        self.loop.set_exception_handler(self._on_loop_error)

    def _on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    # -- the kernel's side --

    def register_socket(self, made: VirtualSocket) -> int:
        self.check_descriptor_available()
        self._last_fileno += 1
        self.sockets[self._last_fileno] = made
        return self._last_fileno

    def check_descriptor_available(self) -> None:
        """OSError where no further descriptor or no memory is to be had."""
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

    # -- the machine, for the balancer --

    def wall_ns(self) -> int:
        return self.world.event_queue.now_ns + self.wall_offset_ns

    def cpu_time_s(self) -> float:
        return 0.05

    def peak_rss_kib(self) -> int:
        return 16 * 1024

    def since_last_data_s(self, connection: object) -> float:
        return 0.0  # a virtual kernel keeps no such time

    def peer_has_closed(self, connection: object) -> bool:
        return False  # nor this

    def has_unread(self, connection: object) -> bool:
        return False  # a virtual loop reads what has come before anything else

    def sleep(self, for_s: float) -> None:
        """A virtual process has its loop from the first moment on: nothing waits without one."""

    def termination_pending(self) -> bool:
        return False

    def listen(self, address: Address, backlog: int) -> VirtualListener:
        return VirtualListener(self, address, backlog)

    def inherit(self, descriptor: int) -> VirtualListener:
        raise os_error(errno.EBADF)  # no virtual platform holds a listener

    def read(self, path: str, most: int) -> bytes:
        return self.disk.read(path, most)

    def write_atomic(self, path: str, data: bytes) -> None:
        self.disk.replace(path, data)

    def make_directory(self, path: str) -> None:
        """A virtual disk needs no folders."""

    def list_directory(self, folder: str) -> list[str]:
        return self.disk.list_directory(folder)

    def directory_mtime_ns(self, folder: str) -> int:
        return self.disk.replacements

    # -- life --

    def run(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start its main task."""
        self.main = self.loop.create_task(work)
        return self.main

    def next_ns(self) -> int:
        """When it has something to do; NEVER once it is gone. Asked before every step of the world: worked out anew
        only when something has happened to it."""
        if self._next_ns_stale:
            self._next_ns_stale = False
            self._cached_next_ns = self._due_ns() if self.alive else NEVER
        return self._cached_next_ns

    def _due_ns(self) -> int:
        due = self.loop.next_ns()
        if 0 < due <= self._last_step_ns:
            due = self._last_step_ns + 1  # what was due has run; a turn for nothing must not repeat for ever
        return max(due, self.paused_until_ns)

    def invalidate_next_ns(self) -> None:
        """Something has happened to it: when it runs next may be another time by now."""
        self._next_ns_stale = True

    def pause_until(self, until_ns: int) -> None:
        """It does not run before then."""
        self.paused_until_ns = max(self.paused_until_ns, until_ns)
        self._next_ns_stale = True

    def step(self) -> None:
        self._last_step_ns = self.world.event_queue.now_ns
        self.loop.step()
        self._next_ns_stale = True
        if self.main is not None and self.main.done() and self.alive:
            self._main_finished(self.main)

    def _main_finished(self, main: asyncio.Task[Any]) -> None:
        """It has ended by itself."""
        if not main.cancelled() and (error := main.exception()) is not None:
            self.errors.append(f"it ended by {error!r}")
        self.world.on_process_end(self)
        self.kill()

    def pause_mid_turn(self) -> None:
        """The machine stands still in the middle of a turn: the clock goes on between two instructions."""
        duration_ns, self.pending_pause_ns = self.pending_pause_ns, 0
        self.on_pause(duration_ns)
        self.world.event_queue.now_ns += duration_ns

    def signal(self, number: signal.Signals) -> None:
        """What the process does not handle kills it, except SIGHUP, which the daemon ignores until it is up."""
        if self.alive and not self.loop.signal(number) and number is not signal.SIGHUP:
            self.kill()

    def kill(self) -> None:
        """As SIGKILL: its connections are closed by the kernel, nothing of it runs any more."""
        self.alive = False
        self._next_ns_stale = True
        self._close_sockets()

    def _close_sockets(self) -> None:
        for made in list(self.sockets.values()):
            made.close()

    def dispose(self) -> None:
        """At the end of a world: nothing of it may run later, also not as garbage."""
        self.alive = False
        self.loop.set_exception_handler(lambda loop, context: None)
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        for _ in range(20):  # each turn ends what the one before has woken
            if not asyncio.all_tasks(self.loop):
                break
            self.loop.step()
        self._close_sockets()
        self.loop.close()
