"""The event loop used in production."""

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
from lanemux.eventloop.transport import StreamTransport

log = logging.getLogger(__name__)

SIGNAL_CHECK_S = 0.1  # longest delay of a signal if the byte that wakes the loop could not be written
READING_CALLS = frozenset({"recv", "epoll_ctl", "epoll_wait"})
FAILURE_GAP_S = 0.1  # failures closer together than this count as one period
LOG_INTERVAL_S = 10.0  # the same failure is logged at most this often
MAX_LOGGED_FAILURES = 256  # number of failures whose last log time is remembered


class FailureCounter(Protocol):
    """Counts failed calls by call and error name."""

    def call_failed(self, call: str, error: str) -> None:
        """Count one failure of this call with this error name."""


class EventLoop(asyncio.SelectorEventLoop):
    """asyncio's loop, tolerating transient failures of system calls, with signals that need no descriptor.

    An unhandled exception of a callback is logged with its traceback and counted; the loop continues."""

    def __init__(self) -> None:
        """Raises OSError if no descriptors are available."""
        self.counter: FailureCounter | None = None
        self._initialized = False
        self._signal_callbacks: dict[int, asyncio.Handle] = {}
        self._uninstalled: set[int] = set()  # signals whose handlers could not be installed yet
        self._signal_timer: asyncio.TimerHandle | None = None
        self._reading_failed_from_s, self._reading_failed_last_s = 0.0, -FAILURE_GAP_S  # by the loop's clock
        self._logged_s: dict[str, float] = {}  # failure -> when it was last logged
        self._resilient_selector = ResilientSelector(self._call_failed)
        super().__init__(self._resilient_selector)
        self._initialized = True
        self.set_exception_handler(lambda loop, context: self._report_unhandled(context))

    def close(self) -> None:
        """Close the loop, ignoring errors. The destructor calls this too, even if the constructor failed."""
        if not self._initialized:
            return
        with contextlib.suppress(OSError, ValueError):
            signal.set_wakeup_fd(-1)
        try:
            super().close()
        except OSError as error:
            self._call_failed("close", error)

    # -- signals --

    def add_signal_handler(self, sig: int, callback: Callable[..., Any], *args: Any) -> None:  # type: ignore[override]
        """Register a callback for a signal and unblock the signal. Signals after the loop is closed have no effect."""
        self._signal_callbacks[sig] = asyncio.Handle(callback, args, self, None)
        self._uninstalled.add(sig)
        self._install_signal_handlers()
        with contextlib.suppress(OSError, ValueError):  # only needed for a faster reaction
            signal.set_wakeup_fd(self._csock.fileno(), warn_on_full_buffer=False)
        if self._signal_timer is None:
            self._check_signals()

    def _install_signal_handlers(self) -> None:
        """Install pending handlers; until then a signal stays blocked: its default action would end the process."""
        for sig in list(self._uninstalled):
            try:
                signal.signal(sig, self._on_signal)
                signal.pthread_sigmask(signal.SIG_UNBLOCK, (sig,))
            except OSError as error:
                self._call_failed("sigaction", error)
            else:
                self._uninstalled.discard(sig)

    def remove_signal_handler(self, sig: int) -> bool:
        """Remove a signal's callback; False if it had none."""
        return self._signal_callbacks.pop(sig, None) is not None

    def _on_signal(self, number: int, frame: object) -> None:
        """Handler of all signals, run by Python between bytecode instructions, at the latest when the loop wakes."""
        handle = self._signal_callbacks.get(number)
        if handle is not None and not self.is_closed():
            self._add_callback_signalsafe(handle)  # type: ignore[attr-defined]

    def _check_signals(self) -> None:
        """Wake the loop periodically, so that signals are handled."""
        self._install_signal_handlers()
        self._signal_timer = self.call_later(SIGNAL_CHECK_S, self._check_signals)

    # -- connections --

    async def create_connection(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """As asyncio's. If only an IP address and a port are given, the socket is a StreamSocket from the start: an
        error from `close` must not replace a cancellation."""
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
        """Wrap the socket; asyncio makes the transport of each accepted or opened connection here."""
        return await super()._create_connection_transport(  # type: ignore[misc]
            self._resilient_socket(sock), *more, **options
        )

    def _make_socket_transport(
        self, sock: socket.socket, protocol: Any, waiter: Any = None, *, extra: Any = None, server: Any = None
    ) -> StreamTransport:
        return StreamTransport(self, sock, protocol, waiter, extra, server)

    def _make_self_pipe(self) -> None:
        super()._make_self_pipe()  # type: ignore[misc]
        self._ssock = self._resilient_socket(self._ssock)  # type: ignore[has-type]
        self._csock = self._resilient_socket(self._csock)  # type: ignore[has-type]

    def _resilient_socket(self, sock: socket.socket) -> StreamSocket:
        if isinstance(sock, StreamSocket):
            return sock
        return StreamSocket(sock, self._resilient_selector.defer, self._call_failed)

    # -- failures --

    def reading_failed_for_s(self) -> float:
        """How long calls needed for reading have been failing up to now, in s; 0 if they are not failing."""
        now_s = self.time()
        return now_s - self._reading_failed_from_s if now_s < self._reading_failed_last_s + FAILURE_GAP_S else 0.0

    def _note_reading_failed(self) -> None:
        now_s = self.time()
        if now_s >= self._reading_failed_last_s + FAILURE_GAP_S:
            self._reading_failed_from_s = now_s
        self._reading_failed_last_s = now_s

    def _call_failed(self, call: str, error: OSError) -> None:
        if call in READING_CALLS:
            self._note_reading_failed()
        if self.counter is not None:
            self.counter.call_failed(call, errno_name(error))
        if self._should_log(call):
            log.warning("%s: %s", call, error)

    def _report_unhandled(self, context: dict[str, Any]) -> None:
        """Exception handler of the loop, for unhandled errors of callbacks, tasks and transports."""
        error = context.get("exception")
        what = f"{context.get('message')}: {error!r}"
        if self.counter is not None:
            self.counter.call_failed("callback", type(error).__name__)
        if self._should_log(what):
            log.error("%s (%s)", what, context.get("handle") or context.get("task") or "", exc_info=error)

    def _should_log(self, what: str) -> bool:
        now_s = self.time()
        if len(self._logged_s) > MAX_LOGGED_FAILURES:
            self._logged_s.clear()
        if now_s < self._logged_s.get(what, -LOG_INTERVAL_S) + LOG_INTERVAL_S:
            return False
        self._logged_s[what] = now_s
        return True
