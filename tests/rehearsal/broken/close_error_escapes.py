"""Lets out what `close` says, also where the process ends with it."""

import asyncio
import socket
import sys
from collections.abc import Callable, Coroutine

from lanemux.core.system import MachineListener, System
from lanemux.eventloop.loop import EventLoop
from lanemux.eventloop.stream_socket import StreamSocket
from lanemux.net import daemon
from lanemux.net.node import Node


def close(self: MachineListener) -> None:
    self._socket.close()


async def end(node: Node) -> None:
    await node.drain()


def run_until_ended(
    run: Callable[[], Coroutine[None, None, None]], name: str, system: System, stop_request: daemon.StopRequest
) -> int:
    daemon._run_on(EventLoop(), run())
    return 0


MachineListener.close = close  # type: ignore[method-assign]
EventLoop.close = asyncio.SelectorEventLoop.close  # type: ignore[method-assign]
StreamSocket.close = socket.socket.close  # type: ignore[method-assign]
daemon._end = end
daemon._run_until_ended = run_until_ended
sys.exit(daemon.main())
