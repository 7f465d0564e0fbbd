"""One box: its process, its listeners, its connections, and what befalls it.

A box listens at one address for each balancer, so that the books know who sent what. A frozen box takes its
listeners and connections off the loop: it accepts nothing, reads nothing and answers nothing until it thaws.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
from collections import Counter

from lanemux.rehearsal import framing
from lanemux.rehearsal.addresses import Address, bound_socket
from lanemux.rehearsal.box import BoxModel, Job
from lanemux.rehearsal.box_connection import RESET, Connection
from lanemux.rehearsal.box_world import World
from lanemux.rehearsal.plan import MS, Ask, Box, attempt_work_ns
from lanemux.rehearsal.records import NEVER, Anomaly, Attempt, StateSpan
from lanemux.rehearsal.request_form import as_sent, body_of, digest_of

BACKLOG = 128
START_TRIES, START_PAUSE_S = 20, 0.05  # of having its addresses back
ACCEPTS = 16  # before other work has its turn
PLUGS = 4  # connections that fill the queue of a machine that has vanished, so that no further one comes up


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
        self._life: dict[str, StateSpan] = {}
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
                listener = bound_socket(address, self.world.socket)
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
        self.world.books.anomalies.append(
            Anomaly(
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
            self._life[state] = StateSpan(self.number, state, self.world.now() if at_ns is None else at_ns)
            self.world.books.state_spans.append(self._life[state])

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
            for life in self.world.books.state_spans
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
            self.world.books.anomalies.append(
                Anomaly(
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
        work = attempt_work_ns(self.world.plan, ask, self.number, self._seen[name])
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
