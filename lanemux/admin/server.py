"""The second address: its listener and its connections, one call each."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, cast

from lanemux.admin.calls import Balancer, answer
from lanemux.core.address import Address
from lanemux.core.failures import errno_name, is_out_of_descriptors
from lanemux.core.system import Listener, System
from lanemux.net.http import MessageReader, write_response

if TYPE_CHECKING:
    import socket

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16  # at once: descriptors of the 32 that the clients' and upstreams' sides leave
CALL_S = 1.5  # for a whole call: whoever calls waits 1 s
CALL_BODY = 4096  # bytes of a body that nobody needs
BACKLOG = 64
PAUSE_S = 0.05  # after the system had no descriptor to give


class AdminConnection(asyncio.Protocol):
    """One connection: one call, one answer, the end."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._reader = MessageReader(max_body=CALL_BODY)
        self._transport: asyncio.Transport | None = None
        self._over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._over:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._over:
            return
        calls = self._reader.feed(data)
        if calls:
            reply = answer(self._server.balancer, calls[0].method, calls[0].target)
            self._say(reply.status, [(b"Allow", reply.allow)] if reply.allow else [], reply.body)
        elif self._reader.bad:
            self._say(self._reader.bad, [], b"no call of ours\n")

    def _say(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        if self._transport is not None:
            self._transport.write(write_response(status, headers, body, True))
            self._over = True
            self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._over = True
        self._server.forget(self)

    def end(self) -> None:
        """Its time is over, or another needs its place."""
        self._over = True
        if self._transport is not None:
            self._transport.abort()


class AdminServer:
    """Listens for operators. Its bounds are its own: neither clients nor one connection can take those of another."""

    def __init__(self, balancer: Balancer, system: System) -> None:
        self.balancer = balancer
        self._system = system
        self._listener: Listener | None = None
        self._connections: dict[AdminConnection, asyncio.TimerHandle] = {}  # the longest here first
        self._adopting: set[asyncio.Task[object]] = set()
        self._paused: asyncio.TimerHandle | None = None

    def open(self, address: Address) -> int:
        """Listen there; gives the port. OSError where that can't be done."""
        self._listener = self._system.listen(address, BACKLOG)
        self._listen()
        return self._listener.port

    def _listen(self) -> None:
        self._paused = None
        if self._listener is not None:
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        assert self._listener is not None
        loop = asyncio.get_running_loop()
        for _ in range(MAX_CONNECTIONS):
            try:
                accepted = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.balancer.tally.call_failed("accept at the second address", errno_name(error))
                log.warning("second address: %s", error)
                if is_out_of_descriptors(error):
                    self._make_place()
                loop.remove_reader(self._listener)
                self._paused = loop.call_later(PAUSE_S, self._listen)
                return
            if len(self._connections) >= MAX_CONNECTIONS:
                self._make_place()
            connection = AdminConnection(self)
            self._connections[connection] = loop.call_later(CALL_S, self._expire, connection)
            task: asyncio.Task[object] = loop.create_task(self._attach(connection, accepted))
            self._adopting.add(task)
            task.add_done_callback(self._adopting.discard)

    async def _attach(self, connection: AdminConnection, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, accepted)
        except OSError:  # it has gone in the meantime
            accepted.close()
            self.forget(connection)

    def _make_place(self) -> None:
        """The one that has been silent for longest goes."""
        oldest = next(iter(self._connections), None)
        if oldest is not None:
            self._expire(oldest)

    def _expire(self, connection: AdminConnection) -> None:
        connection.end()
        self.forget(connection)

    def forget(self, connection: AdminConnection) -> None:
        timer = self._connections.pop(connection, None)
        if timer is not None:
            timer.cancel()

    def close(self) -> None:
        """The end: nobody listens, no connection and no timer is left."""
        if self._paused is not None:
            self._paused.cancel()
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for task in self._adopting:
            task.cancel()
        for connection in list(self._connections):
            self._expire(connection)
