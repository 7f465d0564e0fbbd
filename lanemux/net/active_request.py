"""A request that was accepted and has no final response yet."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from lanemux.net.client_connection import ClientConnection
from lanemux.net.http import Message
from lanemux.net.streamed_response import StreamedResponse
from lanemux.net.upstream import Exchange


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """The state of one request; times are on the loop's clock."""

    id: str
    client: ClientConnection
    request: Message
    deadline_ns: int
    class_name: str
    timer: asyncio.TimerHandle | None = None  # of its deadline
    sends: int = 0  # attempts so far
    may_have_run: bool = False  # the last byte of an attempt has been written to an upstream
    exchange: Exchange | None = None  # the attempt in flight
    finished: bool = False
    stream: StreamedResponse | None = None  # set once its response is being streamed
