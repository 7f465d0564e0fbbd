"""The event loop of service."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import socket
from collections.abc import Callable
from typing import Any, Protocol

from lanemux.core.failures import errno_name
from lanemux.eventloop.selector import ResilientSelector
from lanemux.eventloop.stream_socket import StreamSocket

log = logging.getLogger(__name__)

SIGNALS_LOOK_S = 0.1  # a signal is acted on within this, whether or not the byte that wakes the loop could be written
READING_CALLS = frozenset({"recv", "epoll_ctl", "epoll_wait"})
FAILING_S = 0.1  # failures with less between them are one span
REPORT_AGAIN_S = 10.0  # one place's failures are logged so often at the most
MAX_REPORTED = 256  # places of which it is remembered


class FailureCounter(Protocol):
    """Counts failed calls, by what was called and the error's name."""

    def call_failed(self, call: str, error: str) -> None: ...


class EventLoop(asyncio.SelectorEventLoop):
    """asyncio's loop, with calls that may fail for a moment, signals that need no descriptor, and a last line.

    An exception that a callback lets out is logged with its trace and counted; the loop goes on."""

    def __init__(self) -> None:
        """OSError where the machine has no descriptors for it."""
        self.counter: FailureCounter | None = None
        self._made = False
        self._signal_callbacks: dict[int, asyncio.Handle] = {}
        self._uninstalled: set[int] = set()  # signals whose handlers could not be installed yet
        self._looking: asyncio.TimerHandle | None = None
        self._reading_failed_from_s, self._reading_failed_last_s = 0.0, -FAILING_S  # by the loop's clock
        self._reported_s: dict[str, float] = {}  # what failed -> when it was last logged
        self._resilient = ResilientSelector(self._call_failed)
        super().__init__(self._resilient)
        self._made = True
        self.set_exception_handler(lambda loop, context: self._report(context))

    def close(self) -> None:
        """Close it. What the machine says to that has no consequence. The destructor does so too, for one half made."""
        if not self._made:
            return
        with contextlib.suppress(OSError, ValueError):
            signal.set_wakeup_fd(-1)
        try:
            super().close()
        except OSError as error:
            self._call_failed("close", error)

    # -- signals --

    def add_signal_handler(self, sig: int, callback: Callable[..., Any], *args: Any) -> None:  # type: ignore[override]
        """Call back on a signal, and unblock it. Signals that come once the loop is closed have no effect."""
        self._signal_callbacks[sig] = asyncio.Handle(callback, args, self, None)
        self._uninstalled.add(sig)
        self._install_signal_handlers()
        with contextlib.suppress(OSError, ValueError):  # it only makes a signal heard sooner
            signal.set_wakeup_fd(self._csock.fileno(), warn_on_full_buffer=False)
        if self._looking is None:
            self._look()

    def _install_signal_handlers(self) -> None:
        """A signal that was blocked stays so until its handler is there: the default action would end the process."""
        for sig in list(self._uninstalled):
            try:
                signal.signal(sig, self._on_signal)
                signal.pthread_sigmask(signal.SIG_UNBLOCK, (sig,))
            except OSError as error:
                self._call_failed("sigaction", error)
            else:
                self._uninstalled.discard(sig)

    def remove_signal_handler(self, sig: int) -> bool:
        """A signal has no effect any more; False if it had none."""
        return self._signal_callbacks.pop(sig, None) is not None

    def _on_signal(self, number: int, frame: object) -> None:
        """Python runs it between two steps of the program, at the latest when the loop next wakes."""
        handle = self._signal_callbacks.get(number)
        if handle is not None and not self.is_closed():
            self._add_callback_signalsafe(handle)  # type: ignore[attr-defined]

    def _look(self) -> None:
        """Wake up, so that signals are seen."""
        self._install_signal_handlers()
        self._looking = self.call_later(SIGNALS_LOOK_S, self._look)

    # -- connections --

    async def create_connection(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """As asyncio's. Where only an IP address and a port are given, the socket is a tolerant one from the start: a
        failing `close` must not take the place of a cancellation."""
        if host is None or port is None or options:
            return await super().create_connection(protocol_factory, host, port, **options)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        connecting = self._resilient_socket(socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK))
        try:
            await self.sock_connect(connecting, (host, port))
            return await super().create_connection(protocol_factory, sock=connecting)
        except BaseException:
            connecting.close()
            raise

    async def _create_connection_transport(self, sock: socket.socket, *more: Any, **options: Any) -> Any:
        """What asyncio makes each connection's transport with, accepted or opened."""
        return await super()._create_connection_transport(  # type: ignore[misc]
            self._resilient_socket(sock), *more, **options
        )

    def _make_self_pipe(self) -> None:
        super()._make_self_pipe()  # type: ignore[misc]
        self._ssock = self._resilient_socket(self._ssock)  # type: ignore[has-type]
        self._csock = self._resilient_socket(self._csock)  # type: ignore[has-type]

    def _resilient_socket(self, sock: socket.socket) -> StreamSocket:
        if isinstance(sock, StreamSocket):
            return sock
        return StreamSocket(sock, self._resilient.defer, self._call_failed)

    # -- what fails --

    def reading_failed_for_s(self) -> float:
        """How long calls that reading needs have been failing, until just now; 0 where none has."""
        now_s = self.time()
        return now_s - self._reading_failed_from_s if now_s < self._reading_failed_last_s + FAILING_S else 0.0

    def _note_reading_failed(self) -> None:
        now_s = self.time()
        if now_s >= self._reading_failed_last_s + FAILING_S:
            self._reading_failed_from_s = now_s
        self._reading_failed_last_s = now_s

    def _call_failed(self, call: str, error: OSError) -> None:
        if call in READING_CALLS:
            self._note_reading_failed()
        if self.counter is not None:
            self.counter.call_failed(call, errno_name(error))
        if self._tell_again(call):
            log.warning("%s: %s", call, error)

    def _report(self, context: dict[str, Any]) -> None:
        """The last line: what a callback, a task or a transport let out."""
        error = context.get("exception")
        what = f"{context.get('message')}: {error!r}"
        if self.counter is not None:
            self.counter.call_failed("callback", type(error).__name__)
        if self._tell_again(what):
            log.error("%s (%s)", what, context.get("handle") or context.get("task") or "", exc_info=error)

    def _tell_again(self, what: str) -> bool:
        now_s = self.time()
        if len(self._reported_s) > MAX_REPORTED:
            self._reported_s.clear()
        if now_s < self._reported_s.get(what, -REPORT_AGAIN_S) + REPORT_AGAIN_S:
            return False
        self._reported_s[what] = now_s
        return True
