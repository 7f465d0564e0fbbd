"""The side of the clients: listening, and the connections that are there."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from lanemux.core.clock import now_ns
from lanemux.core.failures import FailureCounter, errno_name, is_out_of_descriptors
from lanemux.core.system import Listener, System
from lanemux.eventloop.loop import EventLoop
from lanemux.net.admission import ConnectionAdmission
from lanemux.net.client_connection import ClientConnection, Service
from lanemux.net.connection_table import ConnectionTable

if TYPE_CHECKING:
    import socket

log = logging.getLogger(__name__)

BACKLOG = 1024
ACCEPTS_PER_TURN = 16  # connections accepted before other work gets its turn
FAILED_ACCEPTS = 8  # failures before other work gets its turn
ACCEPT_PAUSE_S = 0.05  # after the system had no descriptor to give
LINGER_S = 0.5  # a client that was turned away may still read the answer for so long
FLUSH_S = 3.0  # and for the last bytes of a large answer to go out
REQUEST_TIMEOUT_S = 2.25  # from connecting, or a request's first byte, to its last one
IDLE_TIMEOUT_S = 2.0  # between requests, the least that is promised: some keep theirs for good
CROWDED_SHARE = 0.6  # of the places; while more are taken, answers end their connections
FRESH_S = 0.05  # so young a connection makes no place for others: its request may be on the way
CLOSES_PER_TURN = 4  # connections closed in a turn of the loop, where clients are sent away
SILENT_S = 0.3  # so old a connection without a first request is not one on which it is on the way
DEAF_S = 1.0  # not accepting without a reason for so long is a fault
TICK_S = 0.1  # how often the times above are looked at


class Server:
    """Listens, bounds the connections and the times that clients may take for what they owe."""

    def __init__(
        self,
        service: Service,
        capacity: int,
        system: System,
        counter: FailureCounter,
        admission: ConnectionAdmission | None = None,
    ) -> None:
        """`counter` counts the connections that could not be accepted."""
        self._service = service
        self._counter = counter
        self._admission = admission
        self._pending: dict[ClientConnection, socket.socket] = {}  # with admission: have said nothing, and cost little
        self._capacity = capacity
        self.system = system
        self._connections: dict[ClientConnection, None] = {}  # in the order in which they came
        self._idle = ConnectionTable()  # between requests
        self._awaited = ConnectionTable()  # a request of theirs is due: the first one, or one that has begun
        self._leaving = ConnectionTable()  # closed or turned away, their last bytes still on the way
        self._flushing = ConnectionTable()  # closed, but a good part of an answer is still to be written
        self._adopting: dict[asyncio.Task[object], None] = {}
        self._listener: Listener | None = None
        self._entered = 0  # connections so far
        self._accepting = False
        self._opening: asyncio.TimerHandle | None = None  # an inherited listener is not accepted from yet
        self._ticking: asyncio.TimerHandle | None = None
        self._tick_due = 0.0  # by the loop's clock
        self._awake_from = -FRESH_S  # it woke from a standstill then
        self._standstill_s = 0.0  # which had lasted so long at the most
        self._accept_again: asyncio.TimerHandle | None = None  # accepting has failed, and rests until then
        self._evicted_for_accept = False  # a connection made place for one that could not be accepted
        self._not_accepting_since: float | None = None  # connections may wait in the backlog since then
        self._deaf_since_s: float | None = None  # it should accept and does not, since then
        self._put_off = False  # the last look at the times above was put off for a standstill
        self.draining = False

    def listen(self, host: str, port: int) -> int:
        """Start to listen; gives the port."""
        self._listener = self.system.listen((host, port), BACKLOG)
        self._resume()
        self._tick_again(TICK_S)
        return self._listener.port

    def inherit(self, descriptor: int, after_s: float) -> int:
        """Accept, after a while, from the socket that the platform holds: until then another process may serve it."""
        self._listener = self.system.inherit(descriptor)
        self._opening = asyncio.get_running_loop().call_later(after_s, self._open)
        self._tick_again(TICK_S)
        return self._listener.port

    def _stood_still(self) -> bool:
        """The loop has not run for a while, or only for a moment since: what was sent to it may not have been read yet.

        Guards against holding this process's own standstill against clients whose requests lie in their sockets."""
        now = asyncio.get_running_loop().time()
        if now - self._tick_due > FRESH_S and self._awake_from < self._tick_due:
            self._awake_from = now
            self._standstill_s = now - self._tick_due + TICK_S
        return now < self._awake_from + FRESH_S

    def unread_at_most_s(self) -> float:
        """How long what is read now may have waited in the kernel, by what this process knows of itself, in s."""
        loop = asyncio.get_running_loop()
        failing_s = loop.reading_failed_for_s() if isinstance(loop, EventLoop) else 0.0
        if not self._stood_still():
            return failing_s
        return max(failing_s, self._standstill_s + loop.time() - self._awake_from)

    def _tick(self) -> None:
        try:
            self._look_at_times()
            self._look_at_listening()
        finally:
            if self._ticking is None:
                self._tick_again(TICK_S)

    def _look_at_listening(self) -> None:
        """A balancer that should accept and does not has lost its registration somewhere: it is made anew."""
        now_s = asyncio.get_running_loop().time()
        rests = self._opening is not None or self._accept_again is not None or len(self._connections) >= self._capacity
        if self._listener is None or self._accepting or rests:
            self._deaf_since_s = None
        elif self._deaf_since_s is None:
            self._deaf_since_s = now_s
        elif now_s - self._deaf_since_s > DEAF_S:
            log.error(
                "the listening socket was not looked at for %.1f s; it is from now on", now_s - self._deaf_since_s
            )
            self._resume()

    def _look_at_times(self) -> None:
        # One look in a row is put off at the most: a loop that is always late has read its sockets in between, and
        # would never close anybody.
        self._ticking = None
        self._put_off = self._stood_still() and not self._put_off
        if self._put_off:
            self._tick_again(FRESH_S)
            return
        while (client := self._awaited.oldest(REQUEST_TIMEOUT_S)) is not None:
            if client.receiving:
                client.turn_away(408)
            else:
                client.close()
        while (client := self._idle.oldest(IDLE_TIMEOUT_S)) is not None:
            client.close()
        for table, limit_s in ((self._leaving, LINGER_S), (self._flushing, FLUSH_S)):
            while (client := table.oldest(limit_s)) is not None:
                self.forget(client)
                client.abort()

    def _tick_again(self, wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        if self._ticking is not None:
            self._ticking.cancel()
        self._tick_due = loop.time() + wait_s
        self._ticking = loop.call_at(self._tick_due, self._tick)

    def _open(self) -> None:
        self._opening = None
        self._resume()

    def _resume(self) -> None:
        if self._listener is not None and not self._accepting and self._accept_again is None:
            asyncio.get_running_loop().add_reader(self._listener, self._accept)
            self._accepting = True

    def _pause(self, for_s: float | None = None) -> None:
        if self._listener is not None and self._accepting:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._accepting = False
            if self._not_accepting_since is None:
                self._not_accepting_since = asyncio.get_running_loop().time()
            if for_s is not None:
                asyncio.get_running_loop().call_later(for_s, self._resume)

    def _accept(self, most: int = 0) -> bool:
        """Take in connections that have come up: so many (0: a turn's) at the most. True if none waits any more."""
        admission, before = self._admission, self._entered
        if admission is None:
            return self._accept_connections(most or ACCEPTS_PER_TURN)
        none_waits = self._accept_connections(max(most, admission.begin_accepting(now_ns())))
        admission.end_accepting(self._entered - before, now_ns())
        return none_waits

    def _accept_connections(self, most: int) -> bool:
        assert self._listener is not None
        failed, accepted_some = 0, False
        for _ in range(most):
            if len(self._connections) >= self._capacity and self._dispensable() is None:
                # Where all are busy, the first to end lets the next one in.
                self._pause(FRESH_S if self._awaited else None)
                return False
            try:
                accepted = self._listener.accept()
            except BlockingIOError:
                self._not_accepting_since = None
                return True
            except OSError as error:
                self._counter.call_failed("accept", errno_name(error))
                failed += 1
                if not is_out_of_descriptors(error) and failed < FAILED_ACCEPTS:
                    continue  # the next one may be sound
                if accepted_some and not is_out_of_descriptors(error):
                    return False  # on in the loop's next turn
                self._accept_later(error)
                return False
            accepted_some = True
            self._evicted_for_accept = False
            if len(self._connections) >= self._capacity:
                self._evict()  # not before one has come: it might be the last that came
            self._adopt(accepted)
        return False

    def _accept_later(self, error: OSError) -> None:
        """The machine gives no connection now (asyncio's own server would stop for a second)."""
        if is_out_of_descriptors(error) and not self._evicted_for_accept:
            self._evicted_for_accept = self._evict()  # the loop's next turn finds its descriptor free
            if self._evicted_for_accept:
                return
        log.warning("accept: %s", error)
        self._evicted_for_accept = False
        self._pause()
        if self._accept_again is None:
            self._accept_again = asyncio.get_running_loop().call_later(ACCEPT_PAUSE_S, self._resume_after_failure)

    def _resume_after_failure(self) -> None:
        self._accept_again = None
        self._resume()

    def _dispensable(self) -> ClientConnection | None:
        """Who makes place for a new one: first who is leaving, then who owes a request, then who is idle."""
        if self._stood_still():
            return self._leaving.oldest()
        owing = self._leaving.oldest() or self._awaited.oldest(FRESH_S)
        idle = self._idle.oldest(REQUEST_TIMEOUT_S if self._awaited else 0.0)
        return owing or (idle if idle is not None and not idle.flushing else None)

    def _adopt(self, accepted: socket.socket) -> None:
        client = ClientConnection(self, self._service)
        client.unread_at_most_s = self.unread_at_most_s()
        if self._not_accepting_since is not None:
            waited_s = asyncio.get_running_loop().time() - self._not_accepting_since
            client.unread_at_most_s = max(client.unread_at_most_s, waited_s)
        self._connections[client] = None
        self._awaited.add(client)
        self._entered += 1
        if self._admission is None or not self._enter(client, accepted, self._admission):
            self._attach_soon(client, accepted)

    def _enter(self, client: ClientConnection, accepted: socket.socket, admission: ConnectionAdmission) -> bool:
        """It waits among the pending connections until it speaks; False if it has broken already."""
        try:
            client.source = str(accepted.getpeername()[0])
        except OSError:
            return False
        scarce = len(self._connections) > CROWDED_SHARE * self._capacity
        other = admission.victim(client.source) if scarce else None
        if isinstance(other, ClientConnection):
            self.forget(other)
        admission.opened(client.source, client)
        self._pending[client] = accepted
        asyncio.get_running_loop().add_reader(accepted, self._speaks, client, accepted)
        return True

    def _speaks(self, client: ClientConnection, accepted: socket.socket) -> None:
        """Its first bytes are here, or its end."""
        asyncio.get_running_loop().remove_reader(accepted)
        del self._pending[client]
        assert self._admission is not None
        self._admission.became_active(client.source, client)
        self._attach_soon(client, accepted)

    def _attach_soon(self, client: ClientConnection, accepted: socket.socket) -> None:
        task: asyncio.Task[object] = asyncio.get_running_loop().create_task(self._attach(client, accepted))
        self._adopting[task] = None
        task.add_done_callback(lambda task: self._adopting.pop(task, None))

    async def _attach(self, client: ClientConnection, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: client, accepted)
        except OSError:  # it has gone in the meantime
            self._give_up(client, accepted)
        except Exception:
            log.exception("a connection could not be taken up")
            self._give_up(client, accepted)

    def _give_up(self, client: ClientConnection, accepted: socket.socket) -> None:
        self.forget(client)
        with contextlib.suppress(OSError):
            accepted.close()

    def mark(self, client: ClientConnection) -> None:
        """The connection has become busy or idle."""
        self._awaited.discard(client)
        self._idle.discard(client)
        if not client.busy:
            self._idle.add(client)
            self._resume()

    def await_request(self, client: ClientConnection) -> None:
        """A request has begun to come: the rest is due."""
        if client in self._idle:  # for the first request, the time runs from connecting
            self._idle.discard(client)
            self._awaited.add(client)

    def leave(self, client: ClientConnection, flushing: bool = False) -> None:
        if client in self._pending:
            self.forget(client)  # nothing was said on it: there is nobody to wait for
            return
        self._awaited.discard(client)
        self._idle.discard(client)
        if client in self._connections:
            (self._flushing if flushing else self._leaving).add(client)

    @property
    def crowded(self) -> bool:
        """So many connections are held that clients without one may find none. Pending ones make place for them: a
        flood of silent ones must not end the others'."""
        return len(self._connections) - len(self._pending) > CROWDED_SHARE * self._capacity

    @property
    def held(self) -> int:
        """Connections, and those that only come up."""
        return len(self._connections) + len(self._adopting)

    @property
    def flushing(self) -> bool:
        return bool(self._flushing) or any(client.flushing for client in self._connections)

    def forget(self, client: ClientConnection) -> None:
        if client in self._connections and client.source and self._admission is not None:
            self._admission.closed(client.source, client)
        if (waiting := self._pending.pop(client, None)) is not None:
            asyncio.get_running_loop().remove_reader(waiting)
            waiting.close()
        self._connections.pop(client, None)
        for table in (self._idle, self._awaited, self._leaving, self._flushing):
            table.discard(client)
        self._resume()

    def _evict(self) -> bool:
        """Make place for one connection at once."""
        client = self._dispensable()
        if client is None:
            return False
        self.forget(client)
        client.abort()
        return True

    def close_idle(self, unread_too: bool) -> bool:
        """Close all on which no whole request has come, those with unread bytes only if told so; True: none is left."""
        for table in (self._idle, self._awaited):
            for client in table.members():
                if unread_too or not client.has_unread:
                    client.close()
        return not self._idle and not self._awaited

    async def close_unused(self, idle_s: float) -> None:
        """Close all on which no request is open or comes, and none has been for so long, a few in a turn of the loop.

        Whoever is in use meets the end with its next answer, which crosses nothing: waiting for that spares most.
        Between two turns all sockets are looked at: a request that has come by then is read, and its connection is
        left alone. Closing all at once meets those that come meanwhile."""
        closed = 0
        for table, age_s in ((self._idle, idle_s), (self._awaited, SILENT_S)):
            for client in table.members():
                old = asyncio.get_running_loop().time() - client.since >= age_s
                if old and client in table and not client.receiving:
                    client.close()
                    closed += 1
                    if closed % CLOSES_PER_TURN == 0:
                        await asyncio.sleep(0)

    @property
    def waited_for(self) -> int:
        """Connections on which a request may still come."""
        return len(self._idle) + len(self._awaited) + len(self._adopting)

    def accept_last(self) -> bool:
        """Accept whoever has come up before the listener closes: closing would reset them, requests and all.

        True if none waits any more."""
        return self._listener is None or self._accept(BACKLOG)

    def stop_listening(self) -> None:
        if self._opening is not None:
            self._opening.cancel()
        if self._accept_again is not None:
            self._accept_again.cancel()
            self._accept_again = None
        self._pause()
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def abort(self) -> None:
        """Give up what is left, at the end of the process."""
        self.stop_listening()
        if self._ticking is not None:
            self._ticking.cancel()
        for task in self._adopting:
            task.cancel()
        for client in list(self._connections):
            client.close()
