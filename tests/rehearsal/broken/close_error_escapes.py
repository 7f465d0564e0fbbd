"""Lets out what `close` says, also where the process ends with it."""

import asyncio
import sys

from lanemux.core.system import MachineListener
from lanemux.eventloop.loop import EventLoop
from lanemux.net import daemon


def close(self: MachineListener) -> None:
    self._socket.close()


MachineListener.close = close  # type: ignore[method-assign]
EventLoop.close = asyncio.SelectorEventLoop.close  # type: ignore[method-assign]
sys.exit(daemon.main())
