"""The side of the clients: listening, their connections, and `/health/ready`."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import deque
from typing import Protocol, cast

from lanemux.net.http import Headers, Message, MessageReader, write_response

log = logging.getLogger(__name__)

READY_PATH = b"/health/ready"
BACKLOG = 1024
ACCEPTS = 64  # connections accepted before other work gets its turn
ACCEPT_PAUSE_S = 0.05  # after the system had no descriptor to give
MAX_WAITING = 8  # requests that one connection may send ahead of its answers
LINGER_S = 0.5  # a client whose request was cut off may still read the answer for so long


class Service(Protocol):
    """What answers the requests."""

    @property
    def ready(self) -> bool: ...

    def take(self, client: ClientConnection, request: Message, received_ns: int) -> None: ...

    def gone(self, client: ClientConnection) -> None: ...


class ClientConnection(asyncio.Protocol):
    """One client's connection; it has one request at a time with the service, the others wait in order."""

    def __init__(self, server: Server, service: Service) -> None:
        self._server = server
        self._service = service
        self._reader = MessageReader()
        self._waiting: deque[tuple[Message, int]] = deque()
        self._current: Message | None = None
        self._ended = False
        self._stuffed = False  # the client does not read its answers
        self._advancing = False
        self._transport: asyncio.Transport | None = None

    @property
    def busy(self) -> bool:
        return self._current is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self._ended or self._reader.bad:
            return
        received = time.monotonic_ns()
        self._waiting += ((m, received) for m in self._reader.feed(data))
        if len(self._waiting) > MAX_WAITING and self._transport:
            self._transport.pause_reading()
        self._next()

    def eof_received(self) -> None:
        """A client that ends its sending has gone away: the transport closes."""

    def connection_lost(self, error: Exception | None) -> None:
        self._ended = True
        self._waiting.clear()
        self._server.forget(self)
        if self.busy:
            self._current = None
            self._service.gone(self)

    def pause_writing(self) -> None:
        self._stuffed = True

    def resume_writing(self) -> None:
        self._stuffed = False
        self._next()

    def _next(self) -> None:
        """Go on with what waits. An answer given meanwhile comes back here: not to go deeper each time."""
        if self._advancing:
            return
        self._advancing = True
        while self._current is None and not self._ended and not self._stuffed:
            if not self._waiting:
                if self._reader.bad:
                    self._reject()
                break
            self._begin(*self._waiting.popleft())
        self._advancing = False

    def _begin(self, request: Message, received_ns: int) -> None:
        self._current = request
        if not self._waiting and self._transport:
            self._transport.resume_reading()
        self._server.mark(self)
        if request.target.partition(b"?")[0] == READY_PATH:
            self.answer(200 if self._service.ready else 503)
        else:
            self._service.take(self, request, received_ns)

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """The final answer of the current request."""
        if self._current is None or self._transport is None:
            return
        # What a client has sent ahead is taken too: it is answered before the connection ends.
        last = not self._current.keep_alive or (self._server.draining and not self._waiting)
        self._current = None
        self._transport.write(write_response(status, headers, body, last))
        if last:
            self.close()
        else:
            self._server.mark(self)
            self._next()

    def _reject(self) -> None:
        if self._transport is None:
            return
        self._ended = True
        self._transport.write(write_response(self._reader.bad, (), b"", True))
        # Closing at once, with unread input, resets the connection: the answer would be lost on its way.
        if self._transport.can_write_eof():
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)

    def close(self) -> None:
        """Close the connection between requests; what has been answered is still written."""
        self._ended = True
        if self._transport:
            self._transport.close()


class Server:
    """Listens, and bounds the connections: idle ones make place, and new ones wait with the system."""

    def __init__(self, service: Service, capacity: int) -> None:
        self._service = service
        self._capacity = capacity
        self._connections: set[ClientConnection] = set()
        self._idle: dict[ClientConnection, None] = {}  # no request in hand, the longest so first
        self._adopting: set[asyncio.Task[object]] = set()
        self._socket: socket.socket | None = None
        self._accepting = False
        self.draining = False

    def listen(self, host: str, port: int) -> int:
        """Start to listen; gives the port."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        self._socket.listen(BACKLOG)
        self._resume()
        return int(self._socket.getsockname()[1])

    def _resume(self) -> None:
        if self._socket is not None and not self._accepting:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _pause(self) -> None:
        if self._socket is not None and self._accepting:
            self._accepting = False
            asyncio.get_running_loop().remove_reader(self._socket)

    def _accept(self) -> None:
        assert self._socket is not None
        for _ in range(ACCEPTS):
            if len(self._connections) >= self._capacity and not self._idle:
                self._pause()  # all are busy; the first to end lets the next one in
                return
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # no descriptor left: asyncio's own server would stop for a second
                log.warning("accept: %s", error)
                self._evict()
                self._pause()
                asyncio.get_running_loop().call_later(ACCEPT_PAUSE_S, self._resume)
                return
            if len(self._connections) >= self._capacity:
                self._evict()  # not before one has come: it might be the last that came
            self._adopt(accepted)

    def _adopt(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(self, self._service)
        self._connections.add(client)
        self._idle[client] = None
        task: asyncio.Task[object] = asyncio.get_running_loop().create_task(self._attach(client, accepted))
        self._adopting.add(task)
        task.add_done_callback(self._adopting.discard)

    async def _attach(self, client: ClientConnection, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: client, accepted)
        except OSError:  # it has gone in the meantime
            accepted.close()
            self.forget(client)

    def mark(self, client: ClientConnection) -> None:
        """The connection has become busy or idle."""
        self._idle.pop(client, None)
        if not client.busy:
            self._idle[client] = None
            self._resume()

    def forget(self, client: ClientConnection) -> None:
        self._connections.discard(client)
        self._idle.pop(client, None)
        self._resume()

    def _evict(self) -> bool:
        """Close the connection that has been idle for longest."""
        client = next(iter(self._idle), None)
        if client is None:
            return False
        self.forget(client)
        client.close()
        return True

    def close_idle(self) -> None:
        while self._evict():
            pass

    def stop_listening(self) -> None:
        self._pause()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def abort(self) -> None:
        """Give up what is left, at the end of the process."""
        self.stop_listening()
        for task in self._adopting:
            task.cancel()
        for client in list(self._connections):
            client.close()
