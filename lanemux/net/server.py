"""The listener for clients: accepting, limits on connections, and timeouts."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
from typing import TYPE_CHECKING

from lanemux.core.clock import now_ns
from lanemux.core.failures import FailureCounter, errno_name, is_out_of_descriptors
from lanemux.core.memory_account import Holding, MemoryAccount
from lanemux.core.system import Listener, System
from lanemux.eventloop.loop import EventLoop
from lanemux.net.admission import ConnectionAdmission
from lanemux.net.client_connection import ClientConnection, Service
from lanemux.net.connection_table import ConnectionTable
from lanemux.net.read_pacer import ReadPacer
from lanemux.net.send_progress import CLIENT_TIMEOUT_NS

if TYPE_CHECKING:
    import socket

log = logging.getLogger(__name__)
BACKLOG = 1024
ACCEPTS_PER_TURN = 16  # connections accepted per loop iteration
FAILED_ACCEPTS = 8  # failed accepts per loop iteration
ACCEPT_PAUSE_S = 0.05  # pause after an accept failed, for example for lack of descriptors
LINGER_S = 0.5  # time for a rejected client to read its response
FLUSH_CHECK_S = 1.0  # interval of looking whether a client still takes the rest of its response
# From connecting, or a request's first byte, to the request's last byte; a body that arrives in good time gets longer.
REQUEST_TIMEOUT_S = 2.25
IDLE_TIMEOUT_S = 2.0  # between requests: the least that is promised, as some clients keep connections for ever
NEAR_CAPACITY_SHARE = 0.6  # of the capacity; above it, connections are closed after their response
GRACE_S = 0.05  # a younger connection is not evicted: its request may be on the way
CLOSES_PER_TURN = 4  # connections closed per loop iteration while clients are being sent away
MAX_EVICTION_LOOKS = 16  # connections looked at for one whose request has not come
MIN_SILENT_S = 0.3  # a connection silent for this long has no first request on the way
MAX_UNWATCHED_S = 1.0  # not accepting for this long without a reason is an error
CONNECTION_BYTES = 6 * 1024  # memory of a client's connection without its requests and responses
TICK_S = 0.1  # interval at which timeouts are checked
CLIENT_HOLDINGS = (Holding.CLIENT_CONNECTIONS, Holding.REQUESTS, Holding.UNSENT_RESPONSES)


class Server:
    """Accepts clients' connections, bounds their number, and enforces the timeouts on their requests."""

    def __init__(
        self,
        service: Service,
        capacity: int,
        system: System,
        counter: FailureCounter,
        admission: ConnectionAdmission | None = None,
        account: MemoryAccount | None = None,
    ) -> None:
        """`counter` counts the connections that could not be accepted; without an `account` memory is not limited."""
        self._service = service
        self._counter = counter
        self._admission = admission
        self.account = account or MemoryAccount()
        self.account.connections_bytes = capacity * CONNECTION_BYTES
        # With admission: connections that have sent nothing yet; they have no transport, to keep them cheap.
        self._pending: dict[ClientConnection, socket.socket] = {}
        self._capacity = capacity
        self.system = system
        self.read_pacer = ReadPacer()
        self._connections: dict[ClientConnection, None] = {}  # in order of arrival
        self._idle = ConnectionTable()  # between requests
        self._awaiting_request = ConnectionTable()  # their first request is due, or the rest of one that has begun
        self._receiving_body = ConnectionTable()  # over the time for a request, with a body that arrives in good time
        self._lingering = ConnectionTable()  # closed or rejected, their last bytes not sent yet
        self._flushing = ConnectionTable()  # closed, with part of a response still to be written
        self._attaching: dict[asyncio.Task[object], None] = {}
        self._listener: Listener | None = None
        self._accepted_total = 0  # connections accepted so far
        self._accepting = False
        self._inherit_timer: asyncio.TimerHandle | None = None  # runs until an inherited listener is accepted from
        self._tick_timer: asyncio.TimerHandle | None = None
        self._tick_due = 0.0  # by the loop's clock
        self._resumed_at_s = -GRACE_S  # when the loop ran again after its last stall
        self._max_stall_s = 0.0  # upper bound of how long that stall lasted
        self._accept_retry: asyncio.TimerHandle | None = None  # runs while accepting is paused after a failure
        self._evicted_for_descriptor = False  # a connection was evicted to free a descriptor for the next accept
        self._not_accepting_since: float | None = None  # since when connections may have waited in the backlog
        self._not_watched_since_s: float | None = None  # since when it has not accepted without a reason
        self._check_postponed = False  # the last timeout check was postponed because of a stall
        self.draining = False  # each connection is closed after its response

    def listen(self, host: str, port: int) -> int:
        """Start to listen; returns the port."""
        self._listener = self.system.listen((host, port), BACKLOG)
        self._resume()
        self._schedule_tick(TICK_S)
        return self._listener.port

    def inherit(self, descriptor: int, after_s: float) -> int:
        """Accept from an inherited listening socket after a delay: until then another process may serve it."""
        self._listener = self.system.inherit(descriptor)
        self._inherit_timer = asyncio.get_running_loop().call_later(after_s, self._open_inherited)
        self._schedule_tick(TICK_S)
        return self._listener.port

    def _recently_stalled(self) -> bool:
        """True if the loop stalled and has run only briefly since, so received data may not have been read yet.

        Prevents clients from being timed out for this process's own stall, with their requests unread in the kernel."""
        now = asyncio.get_running_loop().time()
        if now - self._tick_due > GRACE_S and self._resumed_at_s < self._tick_due:
            self._resumed_at_s = now
            self._max_stall_s = now - self._tick_due + TICK_S
        return now < self._resumed_at_s + GRACE_S

    def max_unread_s(self) -> float:
        """Upper bound, in s, of how long data read now may have waited in the kernel because of this process."""
        loop = asyncio.get_running_loop()
        failing_s = loop.reading_failed_for_s() if isinstance(loop, EventLoop) else 0.0
        if not self._recently_stalled():
            return failing_s
        return max(failing_s, self._max_stall_s + loop.time() - self._resumed_at_s)

    def _tick(self) -> None:
        try:
            self._close_overdue()
            self._check_listener()
        finally:
            if self._tick_timer is None:
                self._schedule_tick(TICK_S)

    def _check_listener(self) -> None:
        """Register the listening socket again if it should be accepted from and is not: its registration was lost."""
        now_s = asyncio.get_running_loop().time()
        paused = (
            self._inherit_timer is not None
            or self._accept_retry is not None
            or len(self._connections) >= self._capacity
        )
        if self._listener is None or self._accepting or paused:
            self._not_watched_since_s = None
        elif self._not_watched_since_s is None:
            self._not_watched_since_s = now_s
        elif now_s - self._not_watched_since_s > MAX_UNWATCHED_S:
            log.error(
                "the listening socket was not registered for %.1f s; registering it again",
                now_s - self._not_watched_since_s,
            )
            self._resume()

    def _close_overdue(self) -> None:
        # At most one check in a row is postponed: a loop that is always late has read its sockets since then, and would
        # otherwise never close a connection.
        self._tick_timer = None
        self._check_postponed = self._recently_stalled() and not self._check_postponed
        if self._check_postponed:
            self._schedule_tick(GRACE_S)
            return
        while (client := self._awaiting_request.oldest(REQUEST_TIMEOUT_S)) is not None:
            if client.body_on_pace:
                self._awaiting_request.discard(client)
                self._receiving_body.add(client)
            elif client.receiving:
                client.reject(408)
            else:
                client.close()
        for client in self._receiving_body.members():
            if not client.body_on_pace:
                client.reject(408)
        while (client := self._idle.oldest(IDLE_TIMEOUT_S)) is not None:
            client.close()
        while (client := self._lingering.oldest(LINGER_S)) is not None:
            self._drop(client)
        self._drop_stalled_flushes()

    def _drop_stalled_flushes(self) -> None:
        """Drop the closed connections whose clients take nothing of the rest of their responses any more."""
        while (client := self._flushing.oldest(FLUSH_CHECK_S)) is not None:
            if now_ns() - client.last_taken_ns() >= CLIENT_TIMEOUT_NS:
                self._drop(client)
            else:
                self._flushing.add(client)  # to be checked again

    def _drop(self, client: ClientConnection) -> None:
        self.forget(client)
        client.abort()

    def _schedule_tick(self, wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        self._tick_due = loop.time() + wait_s
        self._tick_timer = loop.call_at(self._tick_due, self._tick)

    def _open_inherited(self) -> None:
        self._inherit_timer = None
        self._resume()

    def _resume(self) -> None:
        if self._listener is not None and not self._accepting and self._accept_retry is None:
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

    def _accept(self, limit: int = 0) -> bool:
        """Accept up to `limit` connections (0: ACCEPTS_PER_TURN). True if the backlog is empty."""
        admission, before = self._admission, self._accepted_total
        if admission is None:
            return self._accept_connections(limit or ACCEPTS_PER_TURN)
        backlog_empty = self._accept_connections(max(limit, admission.begin_accepting(now_ns())))
        admission.end_accepting(self._accepted_total - before, now_ns())
        return backlog_empty

    def _accept_connections(self, limit: int) -> bool:
        assert self._listener is not None
        failed, accepted_some = 0, False
        for _ in range(limit):
            if len(self._connections) >= self._capacity and self._eviction_candidate() is None:
                # If all are busy, accepting resumes when one of them ends.
                self._pause(GRACE_S if self._awaiting_request else None)
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
                    continue  # the next connection may be accepted
                if accepted_some and not is_out_of_descriptors(error):
                    return False  # continue in the next loop iteration
                self._accept_later(error)
                return False
            accepted_some = True
            self._evicted_for_descriptor = False
            if len(self._connections) >= self._capacity:
                self._evict()  # only now that one has been accepted, as there may have been none to accept
            self._register(accepted)
        return False

    def _accept_later(self, error: OSError) -> None:
        """Accepting failed: retry after a short pause (asyncio's own server would pause for a second)."""
        if is_out_of_descriptors(error) and not self._evicted_for_descriptor:
            self._evicted_for_descriptor = self._evict()  # its descriptor is free in the next loop iteration
            if self._evicted_for_descriptor:
                return
        log.warning("accept: %s", error)
        self._evicted_for_descriptor = False
        self._pause()
        if self._accept_retry is None:
            self._accept_retry = asyncio.get_running_loop().call_later(ACCEPT_PAUSE_S, self._resume_after_failure)

    def _resume_after_failure(self) -> None:
        self._accept_retry = None
        self._resume()

    def _eviction_candidate(self) -> ClientConnection | None:
        """The connection to evict for a new one: one being closed, else one whose request is due, else an idle one."""
        if self._recently_stalled():
            return self._lingering.oldest()
        without_request = self._lingering.oldest() or self._oldest_without_unread()
        idle = self._idle.oldest(REQUEST_TIMEOUT_S if self._awaiting_request else 0.0)
        return without_request or (idle if idle is not None and not idle.flushing else None)

    def _oldest_without_unread(self) -> ClientConnection | None:
        """The oldest connection whose request is due and has not come: one that lies unread is still to be answered."""
        oldest = itertools.islice(self._awaiting_request.older(GRACE_S), MAX_EVICTION_LOOKS)
        return next((client for client in oldest if not client.attached or not client.has_unread), None)

    def _register(self, accepted: socket.socket) -> None:
        client = ClientConnection(self, self._service)
        client.max_unread_s = self.max_unread_s()
        if self._not_accepting_since is not None:
            waited_s = asyncio.get_running_loop().time() - self._not_accepting_since
            client.max_unread_s = max(client.max_unread_s, waited_s)
        self._connections[client] = None
        self.account.hold(Holding.CLIENT_CONNECTIONS, client, CONNECTION_BYTES)
        self._awaiting_request.add(client)
        self._accepted_total += 1
        if self._admission is None or not self._add_pending(client, accepted, self._admission):
            self._schedule_attach(client, accepted)

    def _add_pending(self, client: ClientConnection, accepted: socket.socket, admission: ConnectionAdmission) -> bool:
        """Keep a new connection pending until data arrives; False if it is already broken."""
        try:
            client.source = str(accepted.getpeername()[0])
        except OSError:
            return False
        near_limit = len(self._connections) > NEAR_CAPACITY_SHARE * self._capacity
        other = admission.victim(client.source) if near_limit else None
        if isinstance(other, ClientConnection):
            self.forget(other)
        admission.opened(client.source, client)
        self._pending[client] = accepted
        asyncio.get_running_loop().add_reader(accepted, self._pending_readable, client, accepted)
        return True

    def _pending_readable(self, client: ClientConnection, accepted: socket.socket) -> None:
        """A pending connection has received its first bytes or its end."""
        asyncio.get_running_loop().remove_reader(accepted)
        del self._pending[client]
        assert self._admission is not None
        self._admission.became_active(client.source, client)
        self._schedule_attach(client, accepted)

    def _schedule_attach(self, client: ClientConnection, accepted: socket.socket) -> None:
        task: asyncio.Task[object] = asyncio.get_running_loop().create_task(self._attach(client, accepted))
        self._attaching[task] = None
        task.add_done_callback(lambda task: self._attaching.pop(task, None))

    async def _attach(self, client: ClientConnection, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: client, accepted)
        except OSError:  # the client has disconnected in the meantime
            self._discard_accepted(client, accepted)
        except Exception:
            log.exception("an accepted connection could not be attached")
            self._discard_accepted(client, accepted)

    def _discard_accepted(self, client: ClientConnection, accepted: socket.socket) -> None:
        self.forget(client)
        with contextlib.suppress(OSError):
            accepted.close()

    def mark_busy_or_idle(self, client: ClientConnection) -> None:
        """Update the tables after a connection has become busy or idle."""
        self._discard_unanswered(client)
        if not client.busy:
            self.account.release(Holding.REQUESTS, client)
            self._idle.add(client)
            self._resume()

    def _discard_unanswered(self, client: ClientConnection) -> None:
        """Remove a connection from the tables of those without a complete request."""
        for table in (self._idle, self._awaiting_request, self._receiving_body):
            table.discard(client)

    def await_request(self, client: ClientConnection) -> None:
        """A request has begun to arrive: start its timeout."""
        if client in self._idle:  # the first request's timeout runs from connecting
            self._idle.discard(client)
            self._awaiting_request.add(client)

    def start_closing(self, client: ClientConnection, flushing: bool = False) -> None:
        """Wait for a closed or rejected connection's last bytes to be sent: those of a response (`flushing`) while its
        client takes them, others for a limited time."""
        if client in self._pending:
            self.forget(client)  # it received nothing, so there is nothing to send
            return
        self._discard_unanswered(client)
        self.account.release(Holding.REQUESTS, client)
        if client in self._connections:
            (self._flushing if flushing else self._lingering).add(client)

    @property
    def near_capacity(self) -> bool:
        """True if few places are left for new clients. Pending connections don't count, as they are evicted first: a
        flood of silent connections must not close the others."""
        return len(self._connections) - len(self._pending) > NEAR_CAPACITY_SHARE * self._capacity

    @property
    def connection_count(self) -> int:
        """The number of connections, including those being attached."""
        return len(self._connections) + len(self._attaching)

    @property
    def flushing(self) -> bool:
        """True if part of any response is still to be written."""
        return bool(self._flushing) or any(client.flushing for client in self._connections)

    def forget(self, client: ClientConnection) -> None:
        """Remove a connection from all tables and free its place."""
        if client in self._connections and client.source and self._admission is not None:
            self._admission.closed(client.source, client)
        if (waiting := self._pending.pop(client, None)) is not None:
            asyncio.get_running_loop().remove_reader(waiting)
            waiting.close()
        self._connections.pop(client, None)
        self._discard_unanswered(client)
        for holding in CLIENT_HOLDINGS:
            self.account.release(holding, client)
        self._lingering.discard(client)
        self._flushing.discard(client)
        self._resume()

    def _evict(self) -> bool:
        """Abort one connection to free its place; False if none may be evicted."""
        client = self._eviction_candidate()
        if client is None:
            return False
        self._drop(client)
        return True

    def close_idle(self, unread_too: bool) -> bool:
        """Close connections without a complete request, if nothing is unread or `unread_too`; True if none is left."""
        for table in (self._idle, self._awaiting_request, self._receiving_body):
            for client in table.members():
                if unread_too or not client.has_unread:
                    client.close()
        return not self._idle and not self._awaiting_request and not self._receiving_body

    async def close_unused(self, idle_s: float) -> None:
        """Close the connections without a request that have been unused for `idle_s`, a few per loop iteration.

        A connection in use is closed with its next response instead, which can't cross a request; that covers most.
        Between two iterations all sockets are read, and a connection whose request has arrived is left open. Closing
        all at once would hit requests that arrive meanwhile."""
        closed = 0
        for table, age_s in ((self._idle, idle_s), (self._awaiting_request, MIN_SILENT_S)):
            for client in table.members():
                old = asyncio.get_running_loop().time() - client.since >= age_s
                if old and client in table and not client.receiving:
                    client.close()
                    closed += 1
                    if closed % CLOSES_PER_TURN == 0:
                        await asyncio.sleep(0)

    @property
    def possible_request_count(self) -> int:
        """The number of connections on which a request may still arrive."""
        return len(self._idle) + len(self._awaiting_request) + len(self._receiving_body) + len(self._attaching)

    def accept_backlog(self) -> bool:
        """Accept the backlog before the listener is closed: closing would reset those connections with their requests.

        True if the backlog is empty."""
        return self._listener is None or self._accept(BACKLOG)

    def stop_listening(self) -> None:
        """Close the listening socket and stop accepting."""
        if self._inherit_timer is not None:
            self._inherit_timer.cancel()
        if self._accept_retry is not None:
            self._accept_retry.cancel()
            self._accept_retry = None
        self._pause()
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def abort(self) -> None:
        """Close everything at the end of the process."""
        self.stop_listening()
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        for task in self._attaching:
            task.cancel()
        for client in list(self._connections):
            client.close()
