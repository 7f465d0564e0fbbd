"""Fault: receives signals only through the byte that wakes its event loop."""

import asyncio
import signal
import sys
from collections.abc import Callable

from lanemux.eventloop.loop import EventLoop
from lanemux.net import daemon


def add_signal_handler(self: EventLoop, sig: int, callback: Callable[..., object], *args: object) -> None:
    asyncio.SelectorEventLoop.add_signal_handler(self, sig, callback, *args)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (sig,))


EventLoop.add_signal_handler = add_signal_handler  # type: ignore[method-assign]
sys.exit(daemon.main())
