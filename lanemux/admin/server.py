"""The admin server: its listener and its connections, which carry one call each."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, cast

from lanemux.admin.calls import Balancer, handle_call
from lanemux.core.address import Address
from lanemux.core.failures import errno_name, is_out_of_descriptors
from lanemux.core.system import Listener, System
from lanemux.net.http import MessageReader, write_response

if TYPE_CHECKING:
    import socket

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16  # at once; taken from the 32 descriptors that clients and upstreams leave free
CALL_TIMEOUT_S = 1.5  # for a whole call; callers wait for 1 s
MAX_BODY_BYTES = 4096  # request bodies are read and ignored
BACKLOG = 64
ACCEPT_PAUSE_S = 0.05  # before accepting again after a failed accept


class AdminConnection(asyncio.Protocol):
    """One connection: receives one call, answers it and closes."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._reader = MessageReader(max_body=MAX_BODY_BYTES)
        self._transport: asyncio.Transport | None = None
        self._finished = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._finished:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._finished:
            return
        calls = self._reader.feed(data)
        if calls:
            reply = handle_call(self._server.balancer, calls[0].method, calls[0].target)
            self._respond(reply.status, [(b"Allow", reply.allow)] if reply.allow else [], reply.body)
        elif self._reader.error_status:
            self._respond(self._reader.error_status, [], b"no call of ours\n")

    def _respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        if self._transport is not None:
            self._transport.write(write_response(status, headers, body, True))
            self._finished = True
            self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._finished = True
        self._server.forget(self)

    def abort(self) -> None:
        """Abort the connection: its time is up, or another connection needs its slot."""
        self._finished = True
        if self._transport is not None:
            self._transport.abort()


class AdminServer:
    """Accepts operators' calls. Its limits are separate: neither clients nor a silent caller can exhaust them."""

    def __init__(self, balancer: Balancer, system: System) -> None:
        self.balancer = balancer
        self._system = system
        self._listener: Listener | None = None
        self._connections: dict[AdminConnection, asyncio.TimerHandle] = {}  # oldest first
        self._attaching: set[asyncio.Task[object]] = set()
        self._resume_timer: asyncio.TimerHandle | None = None

    def open(self, address: Address) -> int:
        """Listen on the address and return the port. Raises OSError if that fails."""
        self._listener = self._system.listen(address, BACKLOG)
        self._start_accepting()
        return self._listener.port

    def _start_accepting(self) -> None:
        self._resume_timer = None
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
                log.warning("admin address: accept failed: %s", error)
                if is_out_of_descriptors(error):
                    self._evict_oldest()
                loop.remove_reader(self._listener)
                self._resume_timer = loop.call_later(ACCEPT_PAUSE_S, self._start_accepting)
                return
            if len(self._connections) >= MAX_CONNECTIONS:
                self._evict_oldest()
            connection = AdminConnection(self)
            self._connections[connection] = loop.call_later(CALL_TIMEOUT_S, self._expire, connection)
            task: asyncio.Task[object] = loop.create_task(self._attach(connection, accepted))
            self._attaching.add(task)
            task.add_done_callback(self._attaching.discard)

    async def _attach(self, connection: AdminConnection, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, accepted)
        except OSError:  # the peer has disconnected in the meantime
            accepted.close()
            self.forget(connection)

    def _evict_oldest(self) -> None:
        """Close the oldest connection, which has been silent for longest."""
        oldest = next(iter(self._connections), None)
        if oldest is not None:
            self._expire(oldest)

    def _expire(self, connection: AdminConnection) -> None:
        connection.abort()
        self.forget(connection)

    def forget(self, connection: AdminConnection) -> None:
        """Drop a connection that has ended, with its timer."""
        timer = self._connections.pop(connection, None)
        if timer is not None:
            timer.cancel()

    def close(self) -> None:
        """Stop listening and close every connection, task and timer."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for task in self._attaching:
            task.cancel()
        for connection in list(self._connections):
            self._expire(connection)
