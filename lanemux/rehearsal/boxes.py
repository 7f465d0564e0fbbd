"""The quote boxes on sockets: each `BoxModel` behind listeners of its own, and the faults done to them.

A box listens at one address for each balancer, so that the books know who sent what. A frozen box takes its
listeners and connections off the loop: it accepts nothing, reads nothing and answers nothing until it thaws.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import random
import socket
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

from lanemux.rehearsal import framing
from lanemux.rehearsal.books import NEVER, Attempt, BoxBooks, Life, Oddity
from lanemux.rehearsal.box import BoxModel, Job
from lanemux.rehearsal.looks import Lateness, Looks
from lanemux.rehearsal.plan import Ask, Box, Happening, Plan, attempt_work, idempotency_key
from lanemux.rehearsal.scenario import AT_BALANCERS

MS = 1_000_000
BACKLOG = 128
START_TRIES, START_PAUSE_S = 20, 0.05  # of having its addresses back
ACCEPTS = 16  # before other work has its turn
SAMPLE_S = 0.1  # how often the books note what each box holds
SWEEP_S = 1.0  # and connections that stood idle are looked for
PLUGS = 4  # connections that fill the queue of a machine that has vanished, so that no further one comes up
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing resets the connection
FILLER = 600  # bytes of an answer on average

Address = tuple[str, int]


def target_of(ask: Ask) -> str:
    """The path that an ask's requests have."""
    return f"/{ask.class_name}/{ask.number}"


def sent_body(ask: Ask) -> bytes | None:
    """The body that an ask's requests have; None: they are GETs and have none."""
    return None if ask.effect == "safe" else f"{ask.user} {ask.number}".encode()


def as_sent(plan: Plan, ask: Ask, message: framing.Message) -> bool:
    """A box has the request in the form in which a caller sent it."""
    body = sent_body(ask)
    key = idempotency_key(plan.seed, ask.number) if ask.effect == "keyed" else ""
    return (
        message.first == f"{'GET' if body is None else 'POST'} {target_of(ask)} HTTP/1.1"
        and message.body == (body or b"")
        and message.headers.get("idempotency-key", "") == key
    )


def body_of(name: str, host: str, serial: int) -> bytes:
    """An answer that is like no other: it names its request, its box and its number there."""
    h = hashlib.blake2b(f"{name}/{host}/{serial}".encode(), digest_size=32).hexdigest()
    return f"{name} {host} {serial}\n".encode() + (h * (1 + int(h[:4], 16) % (2 * FILLER // 64))).encode()


def digest_of(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=8).hexdigest()


class Sight(Protocol):
    """What a loop knows exactly of a balancer's end of a connection, where it knows more than its looks tell."""

    def began_ns(self, transport: asyncio.BaseTransport) -> int:
        """When the first of the bytes that were read last was written there."""

    def whole_ns(self, transport: asyncio.BaseTransport) -> int:
        """And the last of them."""

    def open_ns(self, transport: asyncio.BaseTransport) -> int:
        """Until when that end has been open; now, if it still is."""


@dataclass(slots=True)
class World:
    """What all boxes share."""

    loop: asyncio.AbstractEventLoop
    plan: Plan
    looks: Looks
    books: BoxBooks
    zero_ns: int  # the run's start on the loop's clock
    asks: dict[str, Ask]  # by the id of each of their tries
    fell: Callable[[int, int], None]  # a box has fallen over, at a time
    sight: Sight | None = None
    socket: Callable[[], socket.socket] = socket.socket

    def now(self) -> int:
        """Nanoseconds since the start of the run."""
        return int(self.loop.time() * 1e9) - self.zero_ns

    def look(self, back: int = 0) -> int:
        """When the loop looked at its sockets, `back` looks before the latest one."""
        return self.looks.looks_ns[-1 - back] - self.zero_ns

    def at(self, at_ns: int, do: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        return self.loop.call_at((at_ns + self.zero_ns) / 1e9, do, *args)


class Connection(asyncio.Protocol):
    """A balancer's connection to a box; one request at a time."""

    def __init__(self, host: Host, balancer: int, unseen_ns: int) -> None:
        self.host, self.balancer = host, balancer
        self.framer = framing.Framer()
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.job: Job | None = None
        self.new = True  # its handshake is still to be paid for, by its first request
        self.idle_since_ns = 0
        self.first_lo_ns = 0
        self._unseen_ns = unseen_ns  # nothing of it was looked at since then
        self._watched_ns = NEVER  # it has been on the loop since then
        self._kept: list[bytes] = []  # came in the turn in which the box froze

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.host.add(self)
        self._watched_ns = self.idle_since_ns = self.host.world.now()

    def _earliest(self, back: int) -> int:
        """What has just been seen had not come at this time."""
        look = self.host.world.look(back)
        return look if look > self._watched_ns else self._unseen_ns

    def _began(self) -> int:
        """The first byte of what has just been seen had not been written before this."""
        sight = self.host.world.sight
        if sight is not None and self.transport is not None:
            return sight.began_ns(self.transport)
        return self._earliest(1)

    def _open_until(self, back: int) -> int:
        """The balancer's end was open at this time."""
        sight = self.host.world.sight
        if sight is not None and self.transport is not None:
            return sight.open_ns(self.transport)
        return self._earliest(back)

    def whole_ns(self) -> int:
        """What has just been seen was written by now, its last byte included."""
        sight = self.host.world.sight
        if sight is not None and self.transport is not None:
            return sight.whole_ns(self.transport)
        return self.host.world.now()

    def blind(self, since_ns: int) -> None:
        """Off the loop: the box is frozen or cut off."""
        self._unseen_ns, self._watched_ns = since_ns, NEVER
        if self.transport is not None:
            self.transport.pause_reading()

    def see(self) -> None:
        self._watched_ns = self.host.world.now()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
            kept, self._kept = self._kept, []
            for data in kept:
                self.data_received(data)

    def data_received(self, data: bytes) -> None:
        if self.host.still:
            self._kept.append(data)
            return
        if not self.framer.begun:
            self.first_lo_ns = self._began()
        try:
            messages = self.framer.feed(data)
        except framing.Unreadable:
            self.reset()
            return
        if len(messages) > 1 or (messages and self.attempt is not None):
            self.reset()  # one at a time: what was sent ahead is answered by nobody
        elif messages:
            self.host.serve(self, messages[0])

    def eof_received(self) -> None:
        self._gone(1)

    def connection_lost(self, error: Exception | None) -> None:
        self._gone(2)  # told a turn after the look that saw it
        self.host.remove(self)

    def _gone(self, back: int) -> None:
        attempt, job = self.attempt, self.job
        self.attempt = self.job = None
        if attempt is not None:
            self.host.cancelled(attempt, job, max(attempt.whole_ns, self._open_until(back)))

    def answer(self, data: bytes) -> None:
        """Write an answer; the attempt it ends was open at the last look."""
        if self.attempt is not None:
            self.attempt.open_ns = max(self.attempt.whole_ns, self._open_until(0))
            self.attempt.end_ns = self.host.world.now()
        self.attempt = self.job = None
        self.idle_since_ns = self.host.world.now()
        if self.transport is not None:
            self.transport.write(data)

    def reset(self) -> None:
        """End it as a process does that dies."""
        if self.transport is not None:
            with contextlib.suppress(OSError):
                self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.transport.abort()


class Host:
    """One box: its process, its listeners, its connections."""

    def __init__(self, world: World, number: int, addresses: list[Address]) -> None:
        self.world, self.number, self.addresses = world, number, addresses
        self.box: Box = world.plan.boxes[number]
        self.model: BoxModel | None = None  # None: no process is there
        self.still = False  # frozen or cut off: the loop does not serve it
        self._listeners: list[socket.socket] = []
        self._plugs: list[socket.socket] = []
        self._connections: dict[Connection, None] = {}  # in the order in which they came
        self._attaching: dict[asyncio.Task[object], None] = {}
        self._jobs: dict[Job, Connection] = {}
        self._seen: Counter[str] = Counter()  # attempts by request
        self._serial = 0
        self._timer: asyncio.TimerHandle | None = None
        self._thaw: asyncio.TimerHandle | None = None
        self._unseen_ns = 0  # the listeners are on the loop since
        self._life: dict[str, Life] = {}
        self._start_tries = 0

    # -- the process --

    def start(self, cold: bool) -> None:
        """The process comes up at its addresses."""
        if self.model is not None:
            return
        try:
            self._listen()
        except OSError as error:  # another process on this machine holds one of its addresses
            self._start_later(cold, error)
            return
        now = self.world.now()
        self.model = BoxModel(self.box, self.world.plan.scenario.fleet, now, cold, self.world.plan.cancels_queued)
        self._end_life("down")
        if cold:
            self._begin_life("cold")
        self._watch()

    def _listen(self) -> None:
        """At all of its addresses, or none."""
        try:
            for address in self.addresses:
                listener = bound(address, self.world.socket)
                self._listeners.append(listener)
                listener.listen(BACKLOG)
        except OSError:
            self._stop_listening()
            raise

    def _stop_listening(self) -> None:
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()

    def _start_later(self, cold: bool, error: OSError) -> None:
        self._start_tries += 1
        if self._start_tries < START_TRIES:
            self.world.loop.call_later(START_PAUSE_S, self.start, cold)
        else:
            self.world.books.unstarted.append(f"box {self.box.host} could not start: {error}")

    def die(self) -> None:
        """The process is gone: its connections are reset, new ones refused."""
        self._unwatch()
        self._unplug()
        self._stop_listening()
        for connection in list(self._connections):
            if connection.attempt is not None:
                self._end(connection.attempt, "died")
                connection.attempt.open_ns = max(connection.attempt.whole_ns, self.world.look())
                connection.attempt = connection.job = None
            connection.reset()
        self._jobs.clear()
        self.model, self.still = None, False
        for timer in (self._timer, self._thaw):
            if timer is not None:
                timer.cancel()
        for state in list(self._life):
            self._end_life(state)
        self._begin_life("down")

    def drain(self) -> None:
        if self.model is not None:
            self.model.draining = True
            self._begin_life("draining")

    def _fall(self) -> None:
        now = self.world.now()
        recent = Counter(
            a.balancer
            for a in self.world.books.attempts
            if a.box == self.number and a.whole_ns > now - int(self.world.plan.scenario.fleet.fall_ms * MS)
        )
        self.world.books.oddities.append(
            Oddity(
                now,
                "cold",
                f"box {self.box.host} was pushed over "
                f"{(now - self._life['cold'].from_ns) / 1e9:.1f} s after its start; attempts in the window by "
                f"balancer: {dict(sorted(recent.items()))}",
                box=self.number,
            )
        )
        self.die()
        self._begin_life("fallen")
        self.world.fell(self.number, now)

    # -- freezing, and being cut off --

    def freeze(self, for_ns: int) -> None:
        """Stand still: what was done by now has been answered, everything else waits."""
        if self.model is None or self.still:
            return
        self._work()
        now = self.world.now()
        self.model.freeze(now + for_ns)
        self._stand_still("frozen")
        self._thaw = self.world.at(now + for_ns, self.thaw)

    def thaw(self) -> None:
        if self.model is not None and self.still:
            self._end_life("frozen")
            self.still = False
            self._watch()
            for connection in list(self._connections):
                connection.see()
            self._work()
            self._schedule()

    def vanish(self) -> None:
        """Cut off in silence: open connections stay open, new ones never come up."""
        if self.model is None:
            return
        if self._thaw is not None:
            self._thaw.cancel()
        self._work()
        self.model.freeze(NEVER)
        self._stand_still("vanished")
        for listener in self._listeners:
            listener.listen(0)
            for _ in range(PLUGS):
                plug = self.world.socket()
                plug.setblocking(False)
                plug.connect_ex(listener.getsockname())
                self._plugs.append(plug)

    def come_back(self) -> None:
        if self.model is not None and self._plugs:
            self._unplug()
            for listener in self._listeners:
                listener.listen(BACKLOG)
            self.model.advance(self.world.now())
            self.model.frozen_until_ns = 0
            self._end_life("vanished")
            self.thaw()

    def _unplug(self) -> None:
        for plug in self._plugs:
            plug.close()
        self._plugs.clear()

    def _stand_still(self, state: str) -> None:
        now = self.world.now()
        self.still = True
        self._unwatch()
        self._begin_life(state, now)
        for connection in self._connections:
            connection.blind(now)
        if self._timer is not None:
            self._timer.cancel()

    def neighbour(self, take: float, until_ns: int) -> None:
        """Another program takes a share of the machine."""
        if self.model is not None:
            self._work()
            self.model.stolen = take
            self._begin_life("shared")
            self.world.at(until_ns, self._alone)
            self._schedule()

    def _alone(self) -> None:
        if self.model is not None:
            self._work()
            self.model.stolen = 0.0
            self._end_life("shared")
            self._schedule()

    def _begin_life(self, state: str, at_ns: int | None = None) -> None:
        if state not in self._life:
            self._life[state] = Life(self.number, state, self.world.now() if at_ns is None else at_ns)
            self.world.books.lives.append(self._life[state])

    def _end_life(self, state: str) -> None:
        life = self._life.pop(state, None)
        if life is not None:
            life.to_ns = self.world.now()

    # -- connections --

    def _watch(self) -> None:
        self._unseen_ns = self.world.now()
        for listener, balancer in zip(self._listeners, range(len(self._listeners)), strict=True):
            self.world.loop.add_reader(listener, self._accept, listener, balancer)

    def _unwatch(self) -> None:
        for listener in self._listeners:
            self.world.loop.remove_reader(listener)

    def _accept(self, listener: socket.socket, balancer: int) -> None:
        for _ in range(ACCEPTS):
            try:
                accepted, _ = listener.accept()
            except OSError:
                return
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if len(self._connections) >= self.world.plan.scenario.fleet.connections:
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                accepted.close()
                continue
            # What comes on it may have been sent before it was accepted, not before the look before that.
            look = self.world.look(1)
            connection = Connection(self, balancer, look if look > self._unseen_ns else self._frozen_from())
            task: asyncio.Task[object] = self.world.loop.create_task(
                self.world.loop.connect_accepted_socket(lambda c=connection: c, accepted)  # type: ignore[misc]
            )
            self._attaching[task] = None
            task.add_done_callback(self._attached)

    def _frozen_from(self) -> int:
        """The start of the latest time for which nothing was accepted."""
        spans = [
            life.from_ns
            for life in self.world.books.lives
            if life.who == self.number and life.state in ("frozen", "vanished", "down")
        ]
        return max(spans, default=0)

    def _attached(self, task: asyncio.Task[object]) -> None:
        self._attaching.pop(task, None)
        if not task.cancelled():
            task.exception()  # a connection that broke while it came up is no more

    def add(self, connection: Connection) -> None:
        if self.model is None:
            connection.reset()
            return
        self._connections[connection] = None
        self.model.connections = len(self._connections)
        books = self.world.books
        books.opened += 1
        books.open_at_end += 1
        books.open_most = max(books.open_most, books.open_at_end)
        if self.still:
            connection.blind(self._frozen_from())

    def remove(self, connection: Connection) -> None:
        if connection in self._connections:
            del self._connections[connection]
            self.world.books.open_at_end -= 1
            if self.model is not None:
                self.model.connections = len(self._connections)

    def sweep(self) -> None:
        """Close what has been idle for too long."""
        oldest = self.world.now() - int(self.world.plan.scenario.fleet.idle_s * 1e9)
        for connection in list(self._connections):
            idle = not self.still and connection.attempt is None and connection.idle_since_ns < oldest
            if idle and connection.transport is not None:
                connection.transport.close()

    # -- requests --

    def serve(self, connection: Connection, message: framing.Message) -> None:
        """A whole request has come."""
        self._work()
        assert self.model is not None
        path = message.first.split(" ")[1]
        if connection.new:
            connection.new = False
            self.model.charge(self.box.handshake_ns)
        if path in ("/stats", "/health/live"):
            self.world.books.probes += 1
            self.model.charge(self.box.probe_ns)
            load = self.model.report()
            report = json.dumps({"inflight": load.inflight, "queue": load.queue}).encode()
            connection.answer(framing.answer(200, report if path == "/stats" else b""))
            self._schedule()
            return
        name = message.headers.get("req-id", "")
        ask = self.world.asks.get(name)
        if ask is None or not as_sent(self.world.plan, ask, message):
            self.world.books.oddities.append(
                Oddity(
                    self.world.now(),
                    "foreign",
                    f"box {self.box.host} was sent {message.first[:120]!r} with "
                    f"{len(message.body)} bytes, which no caller sent in this form",
                    name,
                    self.number,
                )
            )
            connection.answer(framing.answer(400 if name else 404))
            return
        told = message.headers.get("req-deadline-ms", "")
        self._attempt(connection, name, ask, path, int(told) if told.isdecimal() else 0)

    def _attempt(self, connection: Connection, name: str, ask: Ask, path: str, told_ms: int) -> None:
        assert self.model is not None
        attempt = Attempt(
            self.number, connection.balancer, name, path, connection.first_lo_ns, connection.whole_ns(), told_ms=told_ms
        )
        self.world.books.attempts.append(attempt)
        connection.attempt = attempt
        work = attempt_work(self.world.plan, ask, self.number, self._seen[name])
        self._seen[name] += 1
        mean = next(c.work_ms for c in self.world.plan.scenario.classes if c.name == ask.class_name) * MS
        connection.job = self.model.offer(work, mean)
        if self.model.fallen:
            self._fall()
        elif connection.job is None:
            attempt.how = "declined"
            connection.answer(framing.answer(503, b"", {"Srv-Declined": "1"}))
        else:
            self._jobs[connection.job] = connection
            self._schedule()

    def cancelled(self, attempt: Attempt, job: Job | None, open_ns: int) -> None:
        """The balancer has closed the attempt's connection."""
        attempt.open_ns = open_ns
        self._end(attempt, "cancelled")
        if job is not None and self.model is not None:
            self.model.cancel(job)
            self._jobs.pop(job, None)

    def _end(self, attempt: Attempt, how: str) -> None:
        attempt.how, attempt.end_ns = how, self.world.now()

    def _work(self) -> None:
        """Bring the model up to now, and answer what it has done."""
        if self.model is None or self.still:
            return
        for job in self.model.advance(self.world.now()):
            connection = self._jobs.pop(job, None)
            if connection is not None and connection.attempt is not None:
                self._done(connection, connection.attempt)
        if not self.model.cold:
            self._end_life("cold")
        self.world.books.pushed_most = max(self.world.books.pushed_most, self.model.pushed_most)

    def _done(self, connection: Connection, attempt: Attempt) -> None:
        self._serial += 1
        if random.Random(f"{self.box.seed}/{attempt.id}/{self._seen[attempt.id]}").random() < self.box.errors:
            attempt.how = "error"
            connection.answer(framing.answer(500))
            return
        body = body_of(attempt.id, self.box.host, self._serial)
        attempt.how, attempt.digest = "answered", digest_of(body)
        connection.answer(framing.answer(200, body))

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self.model.next_ns() if self.model is not None and not self.still else None
        if due is not None:
            self._timer = self.world.at(due, self._due)

    def _due(self) -> None:
        self._work()
        self._schedule()

    def sample(self) -> None:
        if self.model is not None:
            held = len(self.model.running) + len(self.model.queue)
            self.world.books.held.append((self.world.now(), self.number, held))


class Boxes:
    """All boxes of a run, and what the plan does to them."""

    def __init__(self, world: World, addresses: list[list[Address]]) -> None:
        self.world = world
        self.hosts = [Host(world, i, addresses[box.slot]) for i, box in enumerate(world.plan.boxes)]
        self._timers: list[asyncio.TimerHandle] = []
        self._ticks: dict[Callable[[Host], None], asyncio.TimerHandle] = {}
        self._lateness: Lateness | None = None

    def open(self) -> None:
        """Start the boxes that are there at first, warm."""
        for number in self.world.plan.first:
            self.hosts[number].start(cold=False)

    def begin(self, measured: bool = True) -> None:
        """The run begins: the plan's faults come at their times. `measured`: book how late this loop runs."""
        for happening in self.world.plan.happenings:
            if happening.what not in AT_BALANCERS:
                self._timers.append(self.world.at(happening.at_ns, self.happen, happening))
        if measured:
            self._lateness = Lateness(self.world.loop, self.world.books.lag_ns)
        self._tick(SAMPLE_S, Host.sample)
        self._tick(SWEEP_S, Host.sweep)

    def _tick(self, every_s: float, do: Callable[[Host], None]) -> None:
        for host in self.hosts:
            do(host)
        self._ticks[do] = self.world.loop.call_later(every_s, self._tick, every_s, do)

    def happen(self, happening: Happening) -> None:
        """Do to a box what a plan says."""
        host = self.hosts[happening.who]
        match happening.what:
            case "start":
                host.start(cold=True)
            case "drain":
                host.drain()
            case "leave" | "die":
                host.die()
            case "vanish":
                host.vanish()
            case "return":
                host.come_back()
            case "freeze":
                host.freeze(happening.until_ns - happening.at_ns)
            case "neighbour":
                host.neighbour(happening.size, happening.until_ns)

    def end(self) -> BoxBooks:
        """Stop, and hand over the books; what was still out is noted as it is."""
        for timer in (*self._timers, *self._ticks.values()):
            timer.cancel()
        if self._lateness is not None:
            self._lateness.stop()
        open_at_end = self.world.books.open_at_end
        for host in self.hosts:
            host.die()
        self.world.books.open_at_end = open_at_end
        return self.world.books


def bound(address: Address, make: Callable[[], socket.socket] = socket.socket) -> socket.socket:
    """A socket bound there; port 0 takes a free one."""
    made = make()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.setblocking(False)
    made.bind(address)
    return made


def reserve(plan: Plan, prefix: str, make: Callable[[], socket.socket] = socket.socket) -> list[list[Address]]:
    """Addresses for each slot, one for each balancer: `prefix`.balancer.slot, at ports that were free."""
    addresses = []
    for slot in range(max(box.slot for box in plan.boxes) + 1):
        row: list[Address] = []
        for balancer in range(plan.scenario.fleet.balancers):
            taken = bound((f"{prefix}.{balancer}.{slot + 1}", 0), make)
            row.append(taken.getsockname())
            taken.close()
        addresses.append(row)
    return addresses
