"""The side of the upstreams: connections, kept between uses, and the exchanges on them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from lanemux.core.address import Address
from lanemux.core.failures import Backoff, FailureCounter, errno_name, is_local, is_transient_connect_error
from lanemux.interface import Result
from lanemux.net.http import MAX_ANSWER, Message, MessageReader

log = logging.getLogger(__name__)

Render = Callable[[], bytes]
Done = Callable[[Result, Message | None], None]
PassOn = Callable[[bytes], None]
Begin = Callable[["Exchange", Message], PassOn | None]  # an answer comes that is too long to be taken whole

HELD_BACK_S = 0.02  # of an answer whose length is not told, so long: a spoilt one is mostly found out by then
PIECE = 64 * 1024  # bytes read at once at the most, and so passed on
LEAST_PIECE = 4 * 1024  # below that, reading costs more than it carries
PASSING_BYTES = 8 * 1024 * 1024  # of all answers that are passed on at once

IDLE_DEFAULT_S = 10.0  # where the settings do not say how long an upstream keeps a connection
IDLE_PART = 0.8  # of that time; later, closing and the next request may cross
FIRST_CONNECT_PAUSE_S, LAST_CONNECT_PAUSE_S = 0.002, 0.02  # between tries that fail on this machine
KEPT_IDLE = 2  # connections kept to one upstream: each takes a place in its table


class Exchange:
    """One request on one connection: an attempt, a probe or a call to discovery.

    `done` is called once: with RESULT OK and the response, whatever its status, or with what went wrong.
    """

    def __init__(
        self,
        pool: Pool,
        data: bytes | Render,
        done: Done,
        spare: int = 0,
        wrote: Callable[[], None] = lambda: None,
        begin: Begin | None = None,
    ) -> None:
        """`data`: its bytes, or what gives them at the moment of writing. `wrote` is told, once, when the last byte is
        written. `begin` takes an answer that is passed on as it comes, and gives what takes its pieces; without it,
        such an answer is given up."""
        self.pool = pool
        self.wrote = wrote
        self._begin = begin
        self._pass_on: PassOn | None = None
        self.spare = spare  # places that it must leave to others
        self.render: Render = data if callable(data) else lambda: data
        self.over = False
        self._done = done
        self._connection: Connection | None = None
        self._coming: Connection | None = None
        self._opening: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._never_asked = False  # this machine can't connect: its upstream does not know of it
        self.held_here_s = 0.0  # it waited so long for this machine to begin connecting

    @property
    def waiting(self) -> bool:
        """No byte of it has been sent yet."""
        return not self.over and self._connection is None

    @property
    def astray(self) -> bool:
        """It waits for a connection to where its upstream no longer is, or to one that may get nothing new."""
        return self.waiting and (
            not self.pool.ready or (self._coming is not None and self._coming.address != self.pool.address)
        )

    def start(self, end_s: float | None) -> None:
        """Send it as soon as there is a connection; it times out at that time of the loop's clock."""
        if end_s is not None:
            self._timer = asyncio.get_running_loop().call_at(end_s, self._time_out)
        connection = self.pool.reuse()
        if connection is not None:
            self.carry(connection)
        elif not self.pool.hub.make_place(self.spare):
            asyncio.get_running_loop().call_soon(self.finish, Result.CONNECT_FAILED)
        else:
            # Its place is taken here: what is begun in the same turn must find it taken.
            self._coming = Connection(self.pool, self.pool.address)
            self._opening = asyncio.get_running_loop().create_task(self._open(self._coming))
            self.pool.hub.own(self._opening)

    def _time_out(self) -> None:
        self.finish(Result.NOT_SENT if self._never_asked and self.waiting else Result.TIMEOUT)

    def begin_again(self) -> None:
        """Nothing of it went out, by no fault of the upstream's: it is sent on a new connection, a moment later."""
        self._connection = None
        self._never_asked = True
        self._coming = Connection(self.pool, self.pool.address)
        self._opening = asyncio.get_running_loop().create_task(self._open(self._coming, LAST_CONNECT_PAUSE_S))
        self.pool.hub.own(self._opening)

    async def _open(self, connection: Connection, pause_s: float = 0.0) -> None:
        try:
            if pause_s:
                await asyncio.sleep(pause_s)
            await self._connect(connection)
        except (OSError, TimeoutError):
            self._connect_failed()
        except Exception:
            log.exception("connecting failed")
            self._connect_failed()
        else:
            self._opening = self._coming = None
            self.carry(connection)

    def _connect_failed(self) -> None:
        self._opening = None
        self.finish(Result.CONNECT_FAILED)

    async def _connect(self, connection: Connection) -> None:
        """Connect. What fails on this machine is tried again for as long as the exchange has time: it is no answer of
        the upstream's. Where there is no way there, only for as long as connecting may take."""
        hub, loop = self.pool.hub, asyncio.get_running_loop()
        backoff = Backoff(FIRST_CONNECT_PAUSE_S, LAST_CONNECT_PAUSE_S)
        begun_s = loop.time()
        while True:
            tried_s = loop.time()
            try:
                async with asyncio.timeout(hub.connect_timeout_s):
                    await loop.create_connection(lambda: connection, *connection.address)
                self.held_here_s = tried_s - begun_s if self._never_asked else 0.0
                return
            except OSError as error:
                if isinstance(error, TimeoutError) or not is_transient_connect_error(error):
                    raise
                hub.counter.call_failed("connection to an upstream", errno_name(error))
                self._never_asked = is_local(error)
                if not self._never_asked and loop.time() >= begun_s + hub.connect_timeout_s:
                    raise
            await asyncio.sleep(backoff.next_s())

    def carry(self, connection: Connection) -> None:
        self._connection = connection
        connection.send(self)

    def begin(self, head: Message) -> bool:
        """A long answer has begun: its time no longer runs. False if nobody takes it so."""
        if self._begin is not None:
            if self._timer is not None:
                self._timer.cancel()
            taken = self._begin(self, head)
            if taken is not None and not self.over:
                self._pass_on = taken
                self.pool.hub.passing += 1
        return self._pass_on is not None

    def pass_on(self, data: bytes) -> None:
        if self._pass_on is not None and not self.over:
            self._pass_on(data)

    def hold(self, on: bool) -> None:
        """Read no more of the answer for now (True), or go on."""
        if self._connection is not None:
            self._connection.hold(on)

    def finish(self, result: Result, response: Message | None = None) -> None:
        """End it and say so, once."""
        if not self.over:
            self.abandon(response is not None)
            self._done(result, response)

    def abandon(self, answered: bool = False) -> None:
        """End it; a connection on which the answer is still to come is closed and never used again."""
        if not self.over and self._pass_on is not None:
            self.pool.hub.passing -= 1
        self.over = True
        if self._timer is not None:
            self._timer.cancel()
        if self._opening is not None:
            self._opening.cancel()
        if self._coming is not None:
            self._coming.close()
        if self._connection is not None and not answered:
            self._connection.close()


class Connection(asyncio.BufferedProtocol):
    """A connection to an upstream; it carries one exchange at a time."""

    def __init__(self, pool: Pool, address: Address) -> None:
        self.address = address  # where it goes: its pool may move while a request is out on it
        self._pool = pool
        self._reader = MessageReader(responses=True, max_body=pool.hub.max_body, stream=pool.hub.stream)
        self._holding_back: asyncio.TimerHandle | None = None  # part of an answer of untold length is here
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._written = False
        self._closed = False
        self.idle_since = 0.0
        pool.hub.open += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._closed:  # given up while it came up
            self._transport.abort()
        self._transport.set_write_buffer_limits(high=0)  # to be told when the last byte is written

    @property
    def usable(self) -> bool:
        """Still open. A connection that the other side closed leaves its pool a turn later."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, exchange: Exchange) -> None:
        self._exchange, self._written = exchange, False
        if self._transport is None or not self.usable:
            asyncio.get_running_loop().call_soon(self.lose)  # not at once: its sender still sets it up
            return
        data = exchange.render()
        self._transport.write(data)
        if not self._transport.is_closing() and self._transport.get_write_buffer_size() >= len(data):
            self.close()  # the machine took no byte of it: later, it would tell of time that is over
            exchange.begin_again()
        elif not self._transport.is_closing() and not self._transport.get_write_buffer_size():
            self._wrote()

    def resume_writing(self) -> None:
        self._wrote()

    def _wrote(self) -> None:
        if not self._written:
            self._written = True
            if self._exchange is not None:
                self._exchange.wrote()

    def get_buffer(self, size: int) -> memoryview:
        return self._pool.hub.buffer()

    def buffer_updated(self, count: int) -> None:
        self._take(self._reader.feed(self._pool.hub.buffer()[:count]))

    def eof_received(self) -> None:
        if not self._reader.ends_with_connection or self._exchange is None:
            return
        self._take(self._reader.finish())

    def hold(self, on: bool) -> None:
        """Read nothing for now (True), or go on."""
        if self._transport is not None:
            if on:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def _begin_now(self) -> None:
        """No more of an answer of untold length came at once: what is here goes on."""
        self._holding_back = None
        if not self._closed and self._reader.held_back:
            self._reader.pass_on()
            self._take([])

    def _passed_on(self, exchange: Exchange) -> bool:
        """Hand on what came of a long answer; False if nobody takes it."""
        head, self._reader.head = self._reader.head, None
        pieces, self._reader.pieces = self._reader.pieces, []
        if head is not None and not exchange.begin(head):
            return False
        if pieces:
            exchange.pass_on(pieces[0] if len(pieces) == 1 else b"".join(pieces))
        return True

    def _take(self, responses: list[Message]) -> None:
        exchange = self._exchange
        if exchange is None or (self._reader.bad and not responses):
            self.lose()  # nobody asked for it, or it can't be read
            return
        if (self._reader.head is not None or self._reader.pieces) and not self._passed_on(exchange):
            self.lose()
            return
        if exchange.over:
            return  # who took it has ended it
        if self._reader.held_back and self._holding_back is None:
            self._holding_back = asyncio.get_running_loop().call_later(HELD_BACK_S, self._begin_now)
        if responses:
            if self._holding_back is not None:
                self._holding_back.cancel()
                self._holding_back = None
            self._exchange = None
            # What comes behind a whole answer takes nothing from it, but it must not meet the next request.
            alone = len(responses) == 1 and not (self._reader.begun or self._reader.bad)
            if alone and responses[0].keep_alive and self._written:
                self._pool.keep(self)
            else:
                self.close()
            exchange.finish(Result.OK, responses[0])

    def connection_lost(self, error: Exception | None) -> None:
        self.lose()

    def lose(self) -> None:
        """The connection is of no more use; an exchange on it ends by what had been written."""
        exchange = self._exchange
        self.close()
        if exchange is not None:
            # Up to its last byte nothing can have run; from then on it may have.
            exchange.finish(Result.RESET if self._written else Result.CONNECT_FAILED)

    def close(self) -> None:
        self._exchange = None  # a late answer finds nobody
        self._pool.drop(self)
        if not self._closed:
            self._closed = True
            self._pool.hub.open -= 1
        if self._holding_back is not None:
            self._holding_back.cancel()
            self._holding_back = None
        if self._transport is not None:
            # The transport closes its socket only in the loop's next turn, when the request may have gone out
            # again: two copies on open connections. What is written here ends at once.
            with contextlib.suppress(OSError):
                self._transport.write_eof()
            self._transport.abort()


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to one address; those between uses, the last used one last."""

    hub: Hub
    address: Address
    ready: bool = True  # it may be sent something new
    idle: list[Connection] = field(default_factory=list)

    def exchange(self, data: bytes, timeout_s: float | None, done: Done) -> Exchange:
        exchange = Exchange(self, data, done)
        exchange.start(None if timeout_s is None else asyncio.get_running_loop().time() + timeout_s)
        return exchange

    def reuse(self) -> Connection | None:
        self.hub.expire()
        while self.idle:
            connection = self.idle[-1]
            self.drop(connection)
            if connection.usable:
                return connection
        return None

    def keep(self, connection: Connection) -> None:
        if not self.ready or connection.address != self.address:  # there may be another upstream by now
            connection.close()
            return
        connection.idle_since = self.hub.time()
        self.idle.append(connection)
        self.hub.idle[connection] = None
        if len(self.idle) > KEPT_IDLE:
            self.idle[0].close()

    def drop(self, connection: Connection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)
            del self.hub.idle[connection]

    def close_idle(self) -> None:
        while self.idle:
            self.idle[-1].close()

    def move(self, address: Address) -> None:
        if address != self.address:
            self.address = address
            self.close_idle()


class Uncounted:
    """A `FailureCounter` that counts nothing."""

    def call_failed(self, call: str, error: str) -> None:
        """Nothing is noted."""


class Hub:
    """What all pools share: the limits, and the count of connections."""

    def __init__(
        self,
        capacity: int,
        connect_timeout_s: float,
        conn_idle_s: float,
        max_body: int = MAX_ANSWER,
        stream: bool = False,
        counter: FailureCounter | None = None,
    ) -> None:
        """`stream`: long answers are passed on as they come, where their exchange takes them so. `counter` counts the
        connections that this machine could not begin."""
        self.counter = counter or Uncounted()
        self.time = asyncio.get_running_loop().time
        self.capacity = capacity
        self.connect_timeout_s = connect_timeout_s
        self.idle_s = conn_idle_s * IDLE_PART or IDLE_DEFAULT_S
        self.max_body = max_body
        self.stream = stream
        self.passing = 0  # answers that are passed on now
        self._buffer = memoryview(bytearray(PIECE))  # for all connections: what is read is taken at once
        self.open = 0  # connections, also those that are only coming up
        self.pools: dict[int, Pool] = {}
        self.idle: dict[Connection, None] = {}  # of all pools, the longest so first
        self._opening: set[asyncio.Task[None]] = set()

    def buffer(self) -> memoryview:
        """Where to read into. The more answers pass at once, the less of each is taken at a time."""
        if self.passing * PIECE <= PASSING_BYTES:
            return self._buffer
        return self._buffer[: max(LEAST_PIECE, PASSING_BYTES // self.passing)]

    def own(self, opening: asyncio.Task[None]) -> None:
        """Hold a connection's coming up until it is over."""
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)

    async def stopped(self) -> None:
        """Wait for the end of what was coming up and has been called off."""
        if self._opening:
            await asyncio.wait(self._opening)

    def make_place(self, spare: int = 0) -> bool:
        """Is there room for one more connection? An idle one is given up for it."""
        if self.open < self.capacity - spare:
            return True
        oldest = next(iter(self.idle), None)
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def expire(self) -> None:
        """Close what has been idle for so long that its upstream may be closing it too."""
        latest = self.time() - self.idle_s
        while self.idle and next(iter(self.idle)).idle_since < latest:
            next(iter(self.idle)).close()
