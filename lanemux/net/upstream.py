"""Connections to the upstreams: pools of reusable connections and the request/response exchanges on them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from lanemux.core.address import Address
from lanemux.core.failures import Backoff, FailureCounter, errno_name, is_local, is_transient_connect_error
from lanemux.core.memory_account import SMALL_BYTES, Holding, MemoryAccount
from lanemux.core.system import ConnectedSocket
from lanemux.interface import Result
from lanemux.net.exchange_phase import ExchangePhase
from lanemux.net.http import MAX_RESPONSE, Message, MessageReader

log = logging.getLogger(__name__)

Render = Callable[[], bytes]
OnDone = Callable[[Result, Message | None], None]
BodySink = Callable[[bytes], None]
OnStreamStart = Callable[["Exchange", Message], BodySink | None]  # called when a response too long to buffer begins

# How long the start of a response of unknown length is buffered: most malformed responses show within this time.
BUFFERING_S = 0.02
RECEIVING_PAUSE_S = 0.1  # a response of which nothing has come for this long is not being received any more
MIN_RESPONSE_S = 0.000_05  # no upstream answers sooner after the request was written
MAX_PIECE = 64 * 1024  # most bytes read, and so passed on, at once
MIN_PIECE = 4 * 1024  # bytes; below this the overhead of a read outweighs the data
STREAMING_BYTES = 8 * 1024 * 1024  # read at once by all streamed responses together
STREAMING_SHARE = 0.25  # of the memory account, at most, for the same
CONNECTION_BYTES = 6 * 1024  # memory of a connection without its requests and responses

DEFAULT_IDLE_S = 10.0  # used if the settings do not say how long an upstream keeps idle connections
IDLE_SHARE = 0.8  # of that time; beyond it a request could cross the upstream closing the connection
FIRST_CONNECT_PAUSE_S, LAST_CONNECT_PAUSE_S = 0.002, 0.02  # between connects that fail locally
MAX_IDLE_CONNECTIONS = 2  # per upstream: each takes a place in the upstream's connection table


CONNECTION_HOLDINGS = (Holding.UPSTREAM_CONNECTIONS, Holding.UNSENT_REQUESTS, Holding.RECEIVED_RESPONSES)


def _ignore_end(result: Result, response: Message | None) -> None:
    """The exchange has ended before."""


def _ignore_written() -> None:
    """The exchange has ended before."""


class Exchange:
    """One request and its response on one connection: an attempt, a probe or a call to discovery.

    `on_done` is called exactly once: with Result.OK and the response, whatever its status, or with the failure.
    """

    def __init__(
        self,
        pool: Pool,
        data: bytes | Render,
        on_done: OnDone,
        reserved: int = 0,
        on_written: Callable[[], None] = lambda: None,
        on_stream_start: OnStreamStart | None = None,
    ) -> None:
        """`data` is the request's bytes, or a function called for them at the moment of writing. `on_written` is called
        once, when the last byte is written. `on_stream_start` accepts a response that is streamed and returns the sink
        for its body; without it, or if it returns None, such a response ends the exchange as failed. `reserved` is the
        number of connections that this exchange must leave free for others."""
        self.pool = pool
        self.on_written = on_written
        self._on_stream_start = on_stream_start
        self._body_sink: BodySink | None = None
        self._streamed = False  # its response is or was streamed
        self.reserved = reserved
        self.render: Render = data if callable(data) else lambda: data
        self.over = False
        self._on_done = on_done
        self._connection: Connection | None = None
        self._connecting: Connection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._deadline_s: float | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        self._write_until_s: float | None = None
        self._failed_locally = False  # the last connect failed on this machine, not at the upstream
        self.local_delay_s = 0.0  # time lost to connects that failed on this machine

    @property
    def waiting(self) -> bool:
        """True until the request is handed to a connection: no byte of it has been sent."""
        return not self.over and self._connection is None

    @property
    def phase(self) -> ExchangePhase:
        """How far it has come; of one that is over, how far it had come."""
        if self._connection is None:
            return ExchangePhase.CONNECTING
        return ExchangePhase.STREAMING if self._streamed else self._connection.phase

    @property
    def target_stale(self) -> bool:
        """True if the request is unsent and its upstream has moved or may get no new requests."""
        return self.waiting and (
            not self.pool.ready or (self._connecting is not None and self._connecting.address != self.pool.address)
        )

    def start(self, limit_s: float | None, deadline_s: float | None = None, write_until_s: float | None = None) -> None:
        """Send the request as soon as there is a connection, and not unless it is written whole by `write_until_s`.

        It times out at `limit_s` of the loop's clock unless its response has begun: one of unknown length is streamed
        from then on, and any other may go on until `deadline_s` while it is being received."""
        self._deadline_s = deadline_s
        self._write_until_s = write_until_s
        if write_until_s is not None:
            self._write_timer = asyncio.get_running_loop().call_at(write_until_s, self._on_write_limit)
        if limit_s is not None:
            self._timer = asyncio.get_running_loop().call_at(limit_s, self._on_timeout)
        connection = self.pool.reuse()
        if connection is not None:
            self.send_on(connection)
        elif not self.pool.manager.make_room(self.reserved):
            asyncio.get_running_loop().call_soon(self.finish, Result.CONNECT_FAILED)
        else:
            self._connect()

    def _on_timeout(self) -> None:
        if self.stream_if_begun():
            return
        now_s = self.pool.manager.time()
        check_s = min(self._receiving_until_s, self._deadline_s or 0.0)
        if check_s > now_s:
            self._timer = asyncio.get_running_loop().call_at(check_s, self._on_timeout)
            return
        self.finish(Result.NOT_SENT if self._failed_locally and self.waiting else Result.TIMEOUT)

    def _on_write_limit(self) -> None:
        if self._connection is None or not self._connection.written:
            self.finish(Result.NOT_SENT)

    @property
    def _receiving_until_s(self) -> float:
        """Until when the response counts as being received if nothing more comes; 0 if none has begun."""
        return self._connection.receiving_until_s if self._connection is not None else 0.0

    def stream_if_begun(self) -> bool:
        """Stream a response of unknown length of which at least the head has come.

        It may be long, and of a long response only the beginning has a time limit. True if its stream has begun or has
        failed to begin: the exchange needs no other end then."""
        return self._connection is not None and self._connection.stream_open_ended()

    def retry_connect(self) -> None:
        """Nothing was sent, for a local reason: send the request on a new connection after a short pause."""
        self._failed_locally = True
        self._connect(LAST_CONNECT_PAUSE_S)

    def reopen(self) -> None:
        """Nothing was sent, since the connection is of no use: send the request on a new one at once."""
        self._connect()

    def _connect(self, pause_s: float = 0.0) -> None:
        # Counted now, so that other exchanges started in this loop iteration see the slot as taken.
        self._connection, self._connecting = None, Connection(self.pool, self.pool.address)
        self._connect_task = asyncio.get_running_loop().create_task(self._open(self._connecting, pause_s))
        self.pool.manager.track_connect(self._connect_task)

    async def _open(self, connection: Connection, pause_s: float = 0.0) -> None:
        try:
            if pause_s:
                await asyncio.sleep(pause_s)
            await self._establish(connection)
        except (OSError, TimeoutError):
            self._connect_failed()
        except Exception:
            log.exception("connecting failed")
            self._connect_failed()
        else:
            self._connect_task = self._connecting = None
            self.send_on(connection)

    def _connect_failed(self) -> None:
        self._connect_task = None
        self.finish(Result.CONNECT_FAILED)

    async def _establish(self, connection: Connection) -> None:
        """Connect. Failures on this machine say nothing about the upstream and are retried until the exchange times
        out; an unreachable network is retried only for the connect timeout."""
        manager, loop = self.pool.manager, asyncio.get_running_loop()
        backoff = Backoff(FIRST_CONNECT_PAUSE_S, LAST_CONNECT_PAUSE_S)
        started_s = loop.time()
        while True:
            attempt_started_s = loop.time()
            try:
                async with asyncio.timeout(manager.connect_timeout_s):
                    await loop.create_connection(lambda: connection, *connection.address)
                self.local_delay_s = attempt_started_s - started_s if self._failed_locally else 0.0
                return
            except OSError as error:
                if isinstance(error, TimeoutError) or not is_transient_connect_error(error):
                    raise
                manager.counter.call_failed("connection to an upstream", errno_name(error))
                self._failed_locally = is_local(error)
                if not self._failed_locally and loop.time() >= started_s + manager.connect_timeout_s:
                    raise
            await asyncio.sleep(backoff.next_s())

    def send_on(self, connection: Connection) -> None:
        """Send the request on this connection."""
        self._connection = connection
        if self._write_until_s is not None and self.pool.manager.time() >= self._write_until_s:
            self.finish(Result.NOT_SENT)  # this process was held up while connecting
            return
        connection.send(self)

    def start_stream(self, head: Message) -> bool:
        """A response to be streamed has begun: cancels the timeout. False if nothing accepts the stream."""
        if self._on_stream_start is not None:
            if self._timer is not None:
                self._timer.cancel()
            sink = self._on_stream_start(self, head)
            if sink is not None and not self.over:
                self._body_sink = sink
                self._streamed = True
                self.pool.manager.streaming += 1
        return self._body_sink is not None

    def forward(self, data: bytes) -> None:
        """Pass a piece of a streamed body to its sink."""
        if self._body_sink is not None and not self.over:
            self._body_sink(data)

    def set_paused(self, paused: bool) -> None:
        """Pause (True) or resume reading the response."""
        if self._connection is not None:
            self._connection.set_paused(paused)

    def finish(self, result: Result, response: Message | None = None) -> None:
        """End the exchange and report its result, once."""
        if not self.over:
            on_done = self._on_done
            self.abandon(response is not None)
            on_done(result, response)

    def abandon(self, answered: bool = False) -> None:
        """End the exchange without reporting. Unless answered, its connection is closed: a late response may follow."""
        if not self.over and self._body_sink is not None:
            self.pool.manager.streaming -= 1
        self.over = True
        # Its callbacks refer to the request, and the request's response to the exchange.
        self._body_sink = self._on_stream_start = None
        self._on_done, self.on_written, self.render = _ignore_end, _ignore_written, bytes
        for timer in (self._timer, self._write_timer):
            if timer is not None:
                timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connecting is not None:
            self._connecting.close()
        if self._connection is not None and not answered:
            self._connection.close()


class Connection(asyncio.BufferedProtocol):
    """A connection to an upstream, used by one exchange at a time."""

    def __init__(self, pool: Pool, address: Address) -> None:
        self.address = address  # its own, as its pool may move to another address during an exchange
        self._pool = pool
        self._reader = MessageReader(responses=True, max_body=pool.manager.max_body, stream=pool.manager.stream)
        self._buffering_timer: asyncio.TimerHandle | None = None  # runs while has_buffered_body
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._written = False
        self._is_reused = False  # it has carried a request before
        self._closed = False
        self.idle_since = 0.0
        self._last_received_s = 0.0
        pool.manager.open_connections += 1
        pool.manager.account.hold(Holding.UPSTREAM_CONNECTIONS, self, CONNECTION_BYTES)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._closed:  # abandoned while connecting
            self._transport.abort()
        self._transport.set_write_buffer_limits(high=0)  # calls resume_writing when the last byte is sent

    @property
    def usable(self) -> bool:
        """True while open. A connection that the upstream closed leaves its pool one loop iteration later."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def written(self) -> bool:
        """True once the last byte of the current request is written."""
        return self._written

    @property
    def phase(self) -> ExchangePhase:
        """How far the exchange on it has come, if its response is not streamed."""
        if self._reader.in_message:
            return ExchangePhase.RECEIVING
        return ExchangePhase.WAITING if self._written else ExchangePhase.WRITING

    def send(self, exchange: Exchange) -> None:
        """Write the exchange's request."""
        self._exchange, self._written = exchange, False
        if self._transport is None or not self.usable:
            # Deferred, because the caller has not finished setting up the exchange.
            asyncio.get_running_loop().call_soon(self.handle_loss)
            return
        data = exchange.render()
        if self._is_reused and self.has_unread:
            self.close()
            exchange.reopen()
            return
        began_s = self._pool.manager.time()
        self._transport.write(data)
        self._pool.manager.account.hold(Holding.UNSENT_REQUESTS, self, self._transport.get_write_buffer_size())
        if self._is_reused and self.has_unread and self._pool.manager.time() - began_s < MIN_RESPONSE_S:
            # They have crossed the request, and would be taken for its answer. Deferred, as above.
            asyncio.get_running_loop().call_soon(self.handle_loss)
        self._is_reused = True
        if not self._transport.is_closing() and self._transport.get_write_buffer_size() >= len(data):
            self.close()  # nothing reached the kernel; sent later, its remaining-time header would be outdated
            exchange.retry_connect()
        elif not self._transport.is_closing() and not self._transport.get_write_buffer_size():
            self._on_all_written()

    def resume_writing(self) -> None:
        self._pool.manager.account.release(Holding.UNSENT_REQUESTS, self)
        self._on_all_written()

    def _on_all_written(self) -> None:
        if not self._written:
            self._written = True
            if self._exchange is not None:
                self._exchange.on_written()

    def get_buffer(self, size: int) -> memoryview:
        return self._pool.manager.buffer()

    def buffer_updated(self, count: int) -> None:
        self._last_received_s = self._pool.manager.time()
        responses = self._reader.feed(self._pool.manager.buffer()[:count])
        if responses or self._charge_response():
            self._handle_responses(responses)
        else:
            self._no_memory_for_response()

    def _charge_response(self) -> bool:
        """Charge what is buffered of a response; False if there is no memory for it. Small ones are always kept."""
        held_bytes, account = self._reader.held_bytes, self._pool.manager.account
        if self._reader.streaming or held_bytes <= SMALL_BYTES:
            account.hold(Holding.RECEIVED_RESPONSES, self, held_bytes)
            return True
        return account.charge(Holding.RECEIVED_RESPONSES, self, held_bytes)

    def _no_memory_for_response(self) -> None:
        """Pass the response on as it comes, without keeping it for another attempt; if it can't be, it is given up."""
        if not self._reader.can_stream:
            self._pool.manager.counter.call_failed("response of an upstream", "no memory")
            self.handle_loss()
            return
        self._start_streaming()

    def eof_received(self) -> None:
        if not self._reader.ends_on_close or self._exchange is None:
            return
        self._handle_responses(self._reader.finish())

    @property
    def has_unread(self) -> bool:
        """True if bytes that belong to no request lie unread in its socket."""
        return self._transport is not None and self._pool.manager.has_unread(self._transport.get_extra_info("socket"))

    @property
    def paused(self) -> bool:
        """True while it is open and not read."""
        return self._transport is not None and self.usable and not self._transport.is_reading()

    def set_paused(self, paused: bool) -> None:
        """Pause (True) or resume reading from the socket."""
        if self._transport is not None:
            if paused:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    @property
    def receiving_until_s(self) -> float:
        """Until when a response that has begun counts as being received if nothing more comes; 0 if none has begun."""
        return self._last_received_s + RECEIVING_PAUSE_S if self._reader.in_message else 0.0

    def stream_open_ended(self) -> bool:
        """Start streaming the response if its head is complete and its length unknown; False if that is not so."""
        if self._closed or not self._reader.has_open_ended_body:
            return False
        self._start_streaming()
        return True

    def _start_streaming(self) -> None:
        self._cancel_buffering_timer()
        self._reader.stream_buffered()
        self._handle_responses([])

    def _cancel_buffering_timer(self) -> None:
        if self._buffering_timer is not None:
            self._buffering_timer.cancel()
            self._buffering_timer = None

    def _buffering_over(self) -> None:
        """The buffering time is over: a response that is not complete is streamed."""
        self._buffering_timer = None
        self.stream_open_ended()

    def _forward_stream(self, exchange: Exchange) -> bool:
        """Pass on what has been read of a streamed response; False if nothing accepts the stream."""
        head, self._reader.head = self._reader.head, None
        pieces, self._reader.pieces = self._reader.pieces, []
        if head is not None and not exchange.start_stream(head):
            return False
        if pieces:
            exchange.forward(pieces[0] if len(pieces) == 1 else b"".join(pieces))
        return True

    def _handle_responses(self, responses: list[Message]) -> None:
        exchange = self._exchange
        if exchange is None or self._reader.error_status:
            self.handle_loss()  # an unsolicited or malformed response
            return
        if (self._reader.head is not None or self._reader.pieces) and not self._forward_stream(exchange):
            self.handle_loss()
            return
        if exchange.over:
            return  # the receiver ended the exchange
        if self._reader.has_buffered_body and self._buffering_timer is None:
            self._buffering_timer = asyncio.get_running_loop().call_later(BUFFERING_S, self._buffering_over)
        if responses:
            self._cancel_buffering_timer()
            self._pool.manager.account.release(Holding.RECEIVED_RESPONSES, self)
            self._exchange = None
            # A connection that has brought surplus bytes may bring the rest of them: they would meet the next request.
            if not self._reader.has_surplus and responses[0].keep_alive and self._written:
                self._pool.keep(self)
            else:
                self.close()
            exchange.finish(Result.OK, responses[0])

    def connection_lost(self, error: Exception | None) -> None:
        self.handle_loss()

    def handle_loss(self) -> None:
        """Close the connection and end its exchange; the result depends on whether the request was fully written."""
        exchange = self._exchange
        self.close()
        if exchange is not None:
            # An upstream can't run an incomplete request; once the last byte is written it may have run.
            exchange.finish(Result.RESET if self._written else Result.CONNECT_FAILED)

    def close(self) -> None:
        """Abort the connection and remove it from its pool."""
        self._exchange = None  # a late response is dropped
        self._pool.drop(self)
        if not self._closed:
            self._closed = True
            self._reader.release()
            self._pool.manager.open_connections -= 1
            for holding in CONNECTION_HOLDINGS:
                self._pool.manager.account.release(holding, self)
        self._cancel_buffering_timer()
        if self._transport is not None:
            # abort() closes the socket only in the next loop iteration, when a retry may already have been sent: the
            # request would be on two open connections. write_eof() ends this side's sending at once.
            with contextlib.suppress(OSError):
                self._transport.write_eof()
            self._transport.abort()


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to one upstream; `idle` holds the unused ones, most recently used last."""

    manager: PoolManager
    address: Address
    ready: bool = True  # new requests may be sent to it
    idle: list[Connection] = field(default_factory=list)

    def exchange(self, data: bytes, timeout_s: float | None, on_done: OnDone) -> Exchange:
        """Start an exchange that times out after `timeout_s`."""
        exchange = Exchange(self, data, on_done)
        exchange.start(None if timeout_s is None else asyncio.get_running_loop().time() + timeout_s)
        return exchange

    def reuse(self) -> Connection | None:
        """Take the most recently used idle connection that is still open and has brought nothing unasked.

        What has arrived since the loop last polled would be taken for the answer to the next request."""
        self.manager.close_expired()
        while self.idle:
            connection = self.idle[-1]
            self.drop(connection)
            if not connection.usable:
                continue
            if not connection.has_unread:
                return connection
            self.manager.counter.call_failed("reuse of a connection to an upstream", "unread bytes")
            connection.close()
        return None

    def keep(self, connection: Connection) -> None:
        """Make a connection available for reuse, or close it if its pool has moved or is not ready."""
        if not self.ready or connection.address != self.address:  # its address may belong to another upstream by now
            connection.close()
            return
        connection.set_paused(False)  # a streamed response may have ended while its client took no more
        connection.idle_since = self.manager.time()
        self.idle.append(connection)
        self.manager.idle[connection] = None
        if len(self.idle) > MAX_IDLE_CONNECTIONS:
            self.idle[0].close()

    def drop(self, connection: Connection) -> None:
        """Remove a connection from the idle ones."""
        if connection in self.idle:
            self.idle.remove(connection)
            del self.manager.idle[connection]

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.idle[-1].close()

    def move(self, address: Address) -> None:
        """Change the upstream's address; idle connections to the previous one are closed."""
        if address != self.address:
            self.address = address
            self.close_idle()


class NullFailureCounter:
    """A `FailureCounter` that does nothing."""

    def call_failed(self, call: str, error: str) -> None:
        """Ignore the failure."""


class PoolManager:
    """The pools by upstream, with what they share: limits, the connection count and the read buffer."""

    def __init__(
        self,
        capacity: int,
        connect_timeout_s: float,
        conn_idle_s: float,
        max_body: int = MAX_RESPONSE,
        stream: bool = False,
        counter: FailureCounter | None = None,
        has_unread: Callable[[ConnectedSocket], bool] = lambda connection: False,
        account: MemoryAccount | None = None,
    ) -> None:
        """`stream`: long responses are streamed if their exchange accepts that. `counter` counts the connects that
        failed on this machine. `has_unread` tells whether the kernel holds unread bytes of a connection."""
        self.has_unread = has_unread
        self.account = account or MemoryAccount()
        self.counter = counter or NullFailureCounter()
        self.time = asyncio.get_running_loop().time
        self.capacity = capacity
        self.connect_timeout_s = connect_timeout_s
        self.idle_s = conn_idle_s * IDLE_SHARE or DEFAULT_IDLE_S
        self.max_body = max_body
        self.stream = stream
        self.streaming = 0  # number of responses being streamed
        self._buffer = memoryview(bytearray(MAX_PIECE))  # shared by all connections: each read is processed at once
        self.open_connections = 0  # including those still connecting
        self.pools: dict[int, Pool] = {}
        self.idle: dict[Connection, None] = {}  # of all pools, longest idle first
        self._connect_tasks: set[asyncio.Task[None]] = set()

    def buffer(self) -> memoryview:
        """The buffer to read into; smaller the more responses are streamed, to bound the memory for all of them."""
        all_bytes = min(STREAMING_BYTES, self.account.share_bytes(STREAMING_SHARE) or STREAMING_BYTES)
        if self.streaming * MAX_PIECE <= all_bytes:
            return self._buffer
        return self._buffer[: max(MIN_PIECE, all_bytes // self.streaming)]

    def track_connect(self, task: asyncio.Task[None]) -> None:
        """Keep a reference to a connect task until it is done."""
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def wait_for_cancelled(self) -> None:
        """Wait until cancelled connect tasks have ended."""
        if self._connect_tasks:
            await asyncio.wait(self._connect_tasks)

    def make_room(self, reserved: int = 0) -> bool:
        """True if one more connection may be opened; closes the longest idle one if that is needed."""
        if self.open_connections < self.capacity - reserved:
            return True
        oldest = next(iter(self.idle), None)
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def close_expired(self) -> None:
        """Close connections that have been idle for so long that their upstream may be about to close them."""
        oldest_allowed_s = self.time() - self.idle_s
        while self.idle and next(iter(self.idle)).idle_since < oldest_allowed_s:
            next(iter(self.idle)).close()
