"""The callers: asks sent at their times whatever becomes of them, with tries, retries and giving up.

A caller that has given up a try leaves its connection open for the grace that the rules allow the answer, so
that a balancer which never answers is told from one that answers a little late.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from lanemux.rehearsal import framing
from lanemux.rehearsal.addresses import Address
from lanemux.rehearsal.plan import MS, Ask, Plan, idempotency_key
from lanemux.rehearsal.records import Anomaly, CallerRecords, Try
from lanemux.rehearsal.request_form import digest_of, sent_body, target_of

GRACE_NS = 50 * MS  # an answer may come so much after the deadline that the caller named
CONNECT_S = 1.0
REFUSALS = (429, 503)
KEPT_IDLE = 64  # connections kept to one balancer


class Front:
    """The plain layer before the balancers: deals tries out among those that it believes are there."""

    def __init__(self, rooms: list[str], addresses: list[Address]) -> None:
        self._rooms, self.addresses = rooms, addresses
        self.known = set(range(len(addresses)))
        self.ending: set[int] = set()  # told to end: open connections to them are still in use

    def pick(self, room: str, draw: float) -> int:
        near = [b for b in sorted(self.known) if self._rooms[b] == room] or sorted(self.known)
        return near[int(draw * len(near))] if near else 0


class Line(asyncio.Protocol):
    """A caller's connection to a balancer."""

    def __init__(self, callers: Callers, balancer: int) -> None:
        self.balancer = balancer
        self.current: Attempted | None = None
        self.used = False  # a request has been answered on it
        self.sent = b""  # the last request
        self.left = False  # its caller has ended its sending, and reads nothing more
        self._callers = callers
        self._framer = framing.Framer(answers=True)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    @property
    def usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    @property
    def transport(self) -> asyncio.Transport | None:
        return self._transport

    def send(self, attempted: Attempted, data: bytes) -> None:
        self.current, self.sent = attempted, data
        if self._transport is not None:
            self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.left:
            return
        try:
            messages = self._framer.feed(data)
        except framing.Unreadable as error:
            self._callers.odd("lost", f"balancer {self.balancer} sent what is no answer: {error}", self.current)
            self.close()
            return
        for message in messages:
            self._answered(message)
        if self.current is None and self._framer.begun and self.usable:
            self._callers.odd("lost", f"balancer {self.balancer} sent bytes that nobody asked for", None)
            self.close()

    def _answered(self, message: framing.Message) -> None:
        current, self.current = self.current, None
        if current is None:
            self._callers.odd(
                "lost", f"balancer {self.balancer} sent an answer that nobody asked for: {message.first[:80]!r}", None
            )
            self.close()
            return
        self.used = True
        if message.keeps:
            self._callers.keep(self)
        else:
            self.close()
        current.answered(message)

    def eof_received(self) -> None:
        last = self._framer.end()
        if last is not None:
            self._answered(last)

    def connection_lost(self, error: Exception | None) -> None:
        self._callers.forget(self)
        current, self.current = self.current, None
        if current is not None:
            current.broken(crossed=self.used and not self._framer.begun)

    def close(self) -> None:
        self.current = None
        self._callers.forget(self)
        if self._transport is not None:
            self._transport.close()


class Attempted:
    """One try of an ask: from its sending to its one end."""

    def __init__(
        self, callers: Callers, ask: Ask, entry: Try, given_up_ns: int, after: Callable[[Attempted], None]
    ) -> None:
        self.ask, self.entry = ask, entry
        self._callers, self._after = callers, after
        self._line: Line | None = None
        self._moved_on = False  # its caller has given it up, or left
        self._again = False  # it was sent once more after its connection closed between requests
        leaves = ask.leaves_ns if not entry.number else 0
        self._leaving = bool(leaves) and leaves < given_up_ns
        self._timers = [
            callers.later(given_up_ns, self._give_up),
            callers.later(leaves if self._leaving else given_up_ns + callers.grace_ns, self._close),
        ]

    async def send(self) -> None:
        """Connect where needed, and write the request."""
        line = self._callers.idle(self.entry.balancer) if not self._again else None
        if line is None:
            line = await self._callers.connect(self.entry.balancer)
        if line is None:
            self._end("refused")
            return
        if self.entry.how:  # given up while it connected
            self._callers.keep(line)
            return
        self._line = line
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
        line.send(self, framing.request(self.entry.target, headers, sent_body(self.ask)))
        self.entry.sent_ns = self._callers.now()

    def leave(self, half_ns: int = 0) -> None:
        """Its caller goes away at this moment; with `half_ns` it only ends its sending, and closes so much later."""
        if self.entry.how:
            return
        self._leaving = True
        line = self._line
        if not half_ns or line is None or line.transport is None:
            self._close()
            return
        line.current, line.left = None, True
        line.transport.write_eof()
        self._end("left")
        self._callers.later(half_ns, line.close)

    def answered(self, message: framing.Message) -> None:
        self.entry.status = message.status
        self.entry.retry_after = message.headers.get("retry-after", "")
        if message.status == 200:
            self.entry.digest = digest_of(message.body)
        self._end("answered")

    def broken(self, crossed: bool) -> None:
        """The connection ended without an answer; crossed: it may have been closed between requests."""
        if crossed and not self._again and not self._moved_on:
            self._again = True
            self.entry.crossed_ns = self._callers.now()
            self._callers.spawn(self.send())
        else:
            self._end("lost")

    def _give_up(self) -> None:
        if not self.entry.how and not self._moved_on:
            self._moved_on = True
            if not self._leaving:
                self._after(self)

    def _close(self) -> None:
        if not self.entry.how:
            self._end("left" if self._leaving else "silent")
            if self._line is not None:
                self._line.close()

    def _end(self, how: str) -> None:
        if self.entry.how:
            return
        self.entry.how, self.entry.end_ns = how, self._callers.now()
        for timer in self._timers:
            timer.cancel()
        if not self._moved_on and how != "left":
            self._moved_on = True
            self._after(self)


class Callers:
    """All callers of a run."""

    def __init__(self, plan: Plan, front: Front, books: CallerRecords, zero_ns: int, grace_ns: int = GRACE_NS) -> None:
        self.plan, self.front, self.books, self.zero_ns = plan, front, books, zero_ns
        self.grace_ns = grace_ns  # an answer is waited for so much longer than its deadline
        self._loop = asyncio.get_running_loop()
        self._idle: dict[int, list[Line]] = {}
        self._lines: dict[Line, None] = {}  # in the order in which they came up
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._next = 0
        self._timer: asyncio.TimerHandle | None = None
        self.done = asyncio.Event()  # the last ask has been sent
        self.asked = 0

    def now(self) -> int:
        return int(self._loop.time() * 1e9) - self.zero_ns

    def later(self, wait_ns: int, do: Callable[[], None]) -> asyncio.TimerHandle:
        return self._loop.call_later(wait_ns / 1e9, do)

    def spawn(self, work: object) -> None:
        task: asyncio.Task[None] = self._loop.create_task(work)  # type: ignore[arg-type]
        self._tasks[task] = None
        task.add_done_callback(lambda task: self._tasks.pop(task, None))

    def odd(self, rule: str, what: str, attempted: Attempted | None) -> None:
        self.books.anomalies.append(Anomaly(self.now(), rule, what, attempted.entry.id if attempted else ""))

    # -- asks --

    def begin(self) -> None:
        """Send every ask at its time."""
        if self._next >= len(self.plan.asks):
            self.done.set()
            return
        self._timer = self._loop.call_at((self.zero_ns + self.plan.asks[self._next].at_ns) / 1e9, self._due)

    def _due(self) -> None:
        now = self.now()
        while self._next < len(self.plan.asks) and self.plan.asks[self._next].at_ns <= now + MS // 10:
            ask = self.plan.asks[self._next]
            self._next += 1
            self.asked += 1
            self.books.late_ns.append(max(0, now - ask.at_ns))
            self._try(ask, 0)
        self.begin()

    def _try(self, ask: Ask, number: int) -> None:
        limit = ask.at_ns + int(
            next(c.deadline_ms for c in self.plan.scenario.classes if c.name == ask.class_name) * MS
        )
        given_up = min(ask.try_ns, limit - self.now())
        if given_up < MS:
            return  # the ask's own time is up
        balancer = self._on_open_connection(ask.fronts[number])
        if balancer is None:
            balancer = self.front.pick(self.plan.scenario.fleet.rooms[ask.room], ask.fronts[number])
        entry = Try(ask.number, number, ask.ids[number], balancer, target_of(ask), deadline_ns=self.now() + given_up)
        self.books.tries.append(entry)
        self.spawn(Attempted(self, ask, entry, given_up, self._after).send())

    def _after(self, attempted: Attempted) -> None:
        """A try has ended for its caller, served or not: perhaps another."""
        ask, entry = attempted.ask, attempted.entry
        if entry.status == 200 or entry.number >= self.plan.scenario.callers.retries:
            return
        if ask.leaves_ns and not entry.number:
            return
        if ask.effect == "unsafe" and not (entry.how == "refused" or entry.status in REFUSALS):
            return  # it may have run: only a refusal says that trying again does no harm
        wait_ns = ask.wait_ns
        if ask.honours and entry.retry_after:
            wait_ns = max(wait_ns, _retry_after_ns(entry.retry_after))
        if wait_ns <= 0:
            self._loop.call_soon(self._try, ask, entry.number + 1)
        else:
            self.later(wait_ns, lambda: self._try(ask, entry.number + 1))

    def _on_open_connection(self, draw: float) -> int | None:
        """A balancer that was told to end and still holds a resting connection, for a share of the tries."""
        if draw >= self.plan.scenario.callers.use_ending:
            return None
        return next((b for b in sorted(self.front.ending) if any(line.usable for line in self._idle.get(b, ()))), None)

    # -- connections --

    @property
    def lines(self) -> list[Line]:
        """All connections that are up."""
        return list(self._lines)

    def idle(self, balancer: int) -> Line | None:
        lines = self._idle.get(balancer, [])
        while lines:
            line = lines.pop()
            if line.usable:
                return line
        return None

    async def connect(self, balancer: int) -> Line | None:
        try:
            async with asyncio.timeout(CONNECT_S):
                _, line = await self._loop.create_connection(
                    lambda: Line(self, balancer), *self.front.addresses[balancer]
                )
        except (OSError, TimeoutError):
            return None
        self._lines[line] = None
        return line

    def keep(self, line: Line) -> None:
        lines = self._idle.setdefault(line.balancer, [])
        if line.usable and len(lines) < KEPT_IDLE:
            lines.append(line)
        else:
            line.close()

    def forget(self, line: Line) -> None:
        self._lines.pop(line, None)
        lines = self._idle.get(line.balancer, [])
        if line in lines:
            lines.remove(line)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        for line in list(self._lines):
            line.close()


def _retry_after_ns(text: str) -> int:
    """What Retry-After says, in seconds whole or decimal; 0 for what says nothing."""
    try:
        seconds = float(text)
    except ValueError:
        return 0
    return int(min(max(0.0, seconds), 60.0) * 1e9) if seconds == seconds else 0
