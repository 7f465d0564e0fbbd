"""The callers: an open-loop load generator that sends each ask at its scheduled time, with retries and deadlines.

A caller that has given up a try keeps its connection open for the grace period that the rules allow for the answer,
so that a balancer that never answers can be distinguished from one that answers slightly late.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from lanemux.rehearsal import framing
from lanemux.rehearsal.addresses import Address
from lanemux.rehearsal.plan import MS, Ask, Plan, idempotency_key
from lanemux.rehearsal.records import Anomaly, CallerRecords, Try
from lanemux.rehearsal.request_form import body_digest, request_body, target_path

GRACE_NS = 50 * MS  # an answer may arrive this long after the deadline in the request
CONNECT_TIMEOUT_S = 1.0
REFUSALS = (429, 503)
MAX_IDLE = 64  # idle connections kept per balancer


class FrontRouter:
    """The simple router in front of the balancers: spreads tries over those that it believes are running."""

    def __init__(self, rooms: list[str], addresses: list[Address]) -> None:
        self._rooms, self.addresses = rooms, addresses
        self.available = set(range(len(addresses)))
        self.terminating: set[int] = set()  # shutting down: open connections to them are still used

    def pick(self, room: str, draw: float) -> int:
        """A balancer of that room, or of any if the room has none; `draw`: a random number in [0, 1)."""
        candidates = [b for b in sorted(self.available) if self._rooms[b] == room] or sorted(self.available)
        return candidates[int(draw * len(candidates))] if candidates else 0


class ClientConnection(asyncio.Protocol):
    """A caller's connection to a balancer, kept open between requests."""

    def __init__(self, callers: Callers, balancer: int) -> None:
        self.balancer = balancer
        self.current_try: ActiveTry | None = None
        self.used = False  # it has carried an answered request
        self.last_request = b""
        self.half_closed = False  # its caller has shut down its writing side and ignores what arrives
        self._callers = callers
        self._parser = framing.MessageParser(responses=True)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on it."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def transport(self) -> asyncio.Transport | None:
        return self._transport

    def send(self, active: ActiveTry, data: bytes) -> None:
        """Write a try's request; its answer goes to that try."""
        self.current_try, self.last_request = active, data
        if self._transport is not None:
            self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.half_closed:
            return
        try:
            messages = self._parser.feed(data)
        except framing.Unreadable as error:
            self._callers.record_oddity(
                "lost", f"balancer {self.balancer} sent what is no answer: {error}", self.current_try
            )
            self.close()
            return
        for message in messages:
            self._answered(message)
        if self.current_try is None and self._parser.has_partial and self.usable:
            self._callers.record_oddity("lost", f"balancer {self.balancer} sent bytes that nobody asked for", None)
            self.close()

    def _answered(self, message: framing.Message) -> None:
        current, self.current_try = self.current_try, None
        if current is None:
            self._callers.record_oddity(
                "lost",
                f"balancer {self.balancer} sent an answer that nobody asked for: {message.start_line[:80]!r}",
                None,
            )
            self.close()
            return
        self.used = True
        if message.keep_alive:
            self._callers.keep(self)
        else:
            self.close()
        current.answered(message)

    def eof_received(self) -> None:
        last = self._parser.finish()
        if last is not None:
            self._answered(last)

    def connection_lost(self, error: Exception | None) -> None:
        self._callers.forget(self)
        current, self.current_try = self.current_try, None
        if current is not None:
            begun = self._parser.has_partial
            current.broken(crossed=self.used and not begun, in_response=begun)

    def close(self) -> None:
        self.current_try = None
        self._callers.forget(self)
        if self._transport is not None:
            self._transport.close()


class ActiveTry:
    """One try of an ask, from sending it to its single outcome."""

    def __init__(
        self, callers: Callers, ask: Ask, entry: Try, timeout_ns: int, on_end: Callable[[ActiveTry], None]
    ) -> None:
        self.ask, self.entry = ask, entry
        self._callers, self._on_end = callers, on_end
        self._connection: ClientConnection | None = None
        self._ended_for_caller = False  # its caller has given it up, or disconnected
        self._resent = False  # sent again because a kept connection was closed between requests
        leaves_ns = ask.leaves_ns if not entry.number else 0
        self._leaving = bool(leaves_ns) and leaves_ns < timeout_ns
        self._timers = [
            callers.call_later(timeout_ns, self._give_up),
            callers.call_later(leaves_ns if self._leaving else timeout_ns + callers.grace_ns, self._close),
        ]

    async def send(self) -> None:
        """Send the request on an idle connection, or on a new one if there is none or it is sent again."""
        connection = self._callers.take_idle(self.entry.balancer) if not self._resent else None
        if connection is None:
            connection = await self._callers.connect(self.entry.balancer)
        if connection is None:
            self._end("refused")
            return
        if self.entry.how:  # given up while connecting
            self._callers.keep(connection)
            return
        self._connection = connection
        remaining_ms = max(1, self.entry.deadline_ns // MS - self._callers.now() // MS)
        headers = {
            "Host": "quotes.internal",
            "Req-Id": self.entry.id,
            "Req-Owner": self.ask.partner,
            "Cookie": f"user={self.ask.user}",
            "Req-Deadline-Ms": str(remaining_ms),
            "Req-Cost": str(self.ask.hint_us),
        }
        if self.entry.number and self._callers.plan.scenario.callers.marks:
            headers["Req-Retry"] = "1"
        if self.ask.effect == "keyed":
            headers["Idempotency-Key"] = idempotency_key(self._callers.plan.seed, self.ask.number)
        self.entry.deadline_ns = self._callers.now() + remaining_ms * MS
        connection.send(self, framing.request(self.entry.target, headers, request_body(self.ask)))
        self.entry.sent_ns = self._callers.now()

    def leave(self, half_ns: int = 0) -> None:
        """The caller disconnects now; with `half_ns` it only shuts down writing now, and closes that much later."""
        if self.entry.how:
            return
        self._leaving = True
        connection = self._connection
        if not half_ns or connection is None or connection.transport is None:
            self._close()
            return
        connection.current_try, connection.half_closed = None, True
        connection.transport.write_eof()
        self._end("left")
        self._callers.call_later(half_ns, connection.close)

    def answered(self, message: framing.Message) -> None:
        """Record the answer."""
        self.entry.status = message.status
        self.entry.retry_after = message.headers.get("retry-after", "")
        if message.status == 200:
            self.entry.digest = body_digest(message.body)
        self._end("answered")

    def broken(self, crossed: bool, in_response: bool) -> None:
        """The connection ended without a whole answer; `crossed`: the balancer may have closed it while it was idle,
        `in_response`: it ended in the middle of one."""
        if crossed and not self._resent and not self._ended_for_caller:
            self._resent = True
            self.entry.crossed_ns = self._callers.now()
            self._callers.spawn(self.send())
        else:
            self._end("cut" if in_response else "lost")

    def _give_up(self) -> None:
        if not self.entry.how and not self._ended_for_caller:
            self._ended_for_caller = True
            if not self._leaving:
                self._on_end(self)

    def _close(self) -> None:
        if not self.entry.how:
            self._end("left" if self._leaving else "silent")
            if self._connection is not None:
                self._connection.close()

    def _end(self, how: str) -> None:
        if self.entry.how:
            return
        self.entry.how, self.entry.end_ns = how, self._callers.now()
        for timer in self._timers:
            timer.cancel()
        if not self._ended_for_caller and how != "left":
            self._ended_for_caller = True
            self._on_end(self)


class Callers:
    """All callers of a run, and their connections."""

    def __init__(
        self, plan: Plan, front: FrontRouter, records: CallerRecords, start_ns: int, grace_ns: int = GRACE_NS
    ) -> None:
        self.plan, self.front, self.records, self.start_ns = plan, front, records, start_ns
        self.grace_ns = grace_ns  # how much longer than its deadline an answer is waited for
        self._loop = asyncio.get_running_loop()
        self._idle: dict[int, list[ClientConnection]] = {}  # by balancer
        self._connections: dict[ClientConnection, None] = {}  # in the order in which they were established
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._next = 0  # index of the next ask
        self._timer: asyncio.TimerHandle | None = None
        self.all_sent = asyncio.Event()  # the last ask has been sent
        self.asked = 0  # asks sent so far

    def now(self) -> int:
        """Nanoseconds since the start of the run."""
        return int(self._loop.time() * 1e9) - self.start_ns

    def call_later(self, delay_ns: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        return self._loop.call_later(delay_ns / 1e9, callback)

    def spawn(self, coroutine: object) -> None:
        """Run a coroutine as a task that is cancelled with the callers."""
        task: asyncio.Task[None] = self._loop.create_task(coroutine)  # type: ignore[arg-type]
        self._tasks[task] = None
        task.add_done_callback(lambda task: self._tasks.pop(task, None))

    def record_oddity(self, rule: str, what: str, active: ActiveTry | None) -> None:
        self.records.anomalies.append(Anomaly(self.now(), rule, what, active.entry.id if active else ""))

    # -- asks --

    def start(self) -> None:
        """Schedule the next ask; each is sent at its time whether or not earlier ones were answered."""
        if self._next >= len(self.plan.asks):
            self.all_sent.set()
            return
        self._timer = self._loop.call_at((self.start_ns + self.plan.asks[self._next].at_ns) / 1e9, self._send_due)

    def _send_due(self) -> None:
        now = self.now()
        while self._next < len(self.plan.asks) and self.plan.asks[self._next].at_ns <= now + MS // 10:
            ask = self.plan.asks[self._next]
            self._next += 1
            self.asked += 1
            self.records.late_ns.append(max(0, now - ask.at_ns))
            self._start_try(ask, 0)
        self.start()

    def _start_try(self, ask: Ask, number: int) -> None:
        deadline_ns = ask.at_ns + int(
            next(c.deadline_ms for c in self.plan.scenario.classes if c.name == ask.class_name) * MS
        )
        timeout_ns = min(ask.try_ns, deadline_ns - self.now())
        if timeout_ns < MS:
            return  # less than 1 ms is left until the deadline of the whole ask
        balancer = self._terminating_balancer(ask.fronts[number])
        if balancer is None:
            balancer = self.front.pick(self.plan.scenario.fleet.rooms[ask.room], ask.fronts[number])
        entry = Try(
            ask.number, number, ask.ids[number], balancer, target_path(ask), deadline_ns=self.now() + timeout_ns
        )
        self.records.tries.append(entry)
        self.spawn(ActiveTry(self, ask, entry, timeout_ns, self._retry_if_needed).send())

    def _retry_if_needed(self, active: ActiveTry) -> None:
        """A try has ended for its caller: start the next one unless it was served or must not be repeated."""
        ask, entry = active.ask, active.entry
        if entry.status == 200 or entry.number >= self.plan.scenario.callers.retries:
            return
        if ask.leaves_ns and not entry.number:
            return
        if ask.effect == "unsafe" and not (entry.how == "refused" or entry.status in REFUSALS):
            return  # it may have been executed; only a refusal guarantees that a retry is safe
        wait_ns = ask.wait_ns
        if ask.honours and entry.retry_after:
            wait_ns = max(wait_ns, _retry_after_ns(entry.retry_after))
        if wait_ns <= 0:
            self._loop.call_soon(self._start_try, ask, entry.number + 1)
        else:
            self.call_later(wait_ns, lambda: self._start_try(ask, entry.number + 1))

    def _terminating_balancer(self, draw: float) -> int | None:
        """For the share `use_ending` of the tries: a terminating balancer that still has an idle connection, if any."""
        if draw >= self.plan.scenario.callers.use_ending:
            return None
        return next(
            (
                b
                for b in sorted(self.front.terminating)
                if any(connection.usable for connection in self._idle.get(b, ()))
            ),
            None,
        )

    # -- connections --

    @property
    def connections(self) -> list[ClientConnection]:
        """All established connections."""
        return list(self._connections)

    def take_idle(self, balancer: int) -> ClientConnection | None:
        """Remove and return an idle connection to a balancer, the most recently used first; None if there is none."""
        idle = self._idle.get(balancer, [])
        while idle:
            connection = idle.pop()
            if connection.usable:
                return connection
        return None

    async def connect(self, balancer: int) -> ClientConnection | None:
        """Open a connection; None if it is refused or times out."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self._loop.create_connection(
                    lambda: ClientConnection(self, balancer), *self.front.addresses[balancer]
                )
        except (OSError, TimeoutError):
            return None
        self._connections[connection] = None
        return connection

    def keep(self, connection: ClientConnection) -> None:
        """Keep a connection for later requests, or close it if enough are idle."""
        idle = self._idle.setdefault(connection.balancer, [])
        if connection.usable and len(idle) < MAX_IDLE:
            idle.append(connection)
        else:
            connection.close()

    def forget(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed or about to be."""
        self._connections.pop(connection, None)
        idle = self._idle.get(connection.balancer, [])
        if connection in idle:
            idle.remove(connection)

    def close(self) -> None:
        """Stop sending, cancel the tries and close all connections."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        for connection in list(self._connections):
            connection.close()


def _retry_after_ns(text: str) -> int:
    """The delay of a Retry-After header in (decimal) seconds, at most 60 s; 0 if it is not a number."""
    try:
        seconds = float(text)
    except ValueError:
        return 0
    return int(min(max(0.0, seconds), 60.0) * 1e9) if seconds == seconds else 0
