"""Fault: lets errors of `close` propagate, even where they end the process."""

import asyncio
import socket
import sys
from collections.abc import Callable, Coroutine

from lanemux.core.system import MachineListener, System
from lanemux.eventloop.loop import EventLoop
from lanemux.eventloop.stream_socket import StreamSocket
from lanemux.net import daemon
from lanemux.net.node import Node


def close_listener(self: MachineListener) -> None:
    self._socket.close()


async def drain_only(node: Node) -> None:
    await node.drain()


def run_until_ended(
    run: Callable[[], Coroutine[None, None, None]], name: str, system: System, stop_request: daemon.StopRequest
) -> int:
    daemon._run_on(EventLoop(), run())
    return 0


MachineListener.close = close_listener  # type: ignore[method-assign]
EventLoop.close = asyncio.SelectorEventLoop.close  # type: ignore[method-assign]
StreamSocket.close = socket.socket.close  # type: ignore[method-assign]
daemon._end = drain_only
daemon._run_until_ended = run_until_ended
sys.exit(daemon.main())
