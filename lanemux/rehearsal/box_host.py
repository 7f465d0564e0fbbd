"""One quote box on its sockets: its process, listeners and connections, and the faults injected into it.

A box listens at a separate address for each balancer, so that the records show which balancer sent a request. A frozen
box removes its listeners and connections from the loop: until it unfreezes, it accepts, reads and answers nothing.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
from collections import Counter
from dataclasses import dataclass

from lanemux.rehearsal import framing
from lanemux.rehearsal.addresses import Address, bound_socket
from lanemux.rehearsal.box import BoxModel, Job
from lanemux.rehearsal.box_connection import RESET, Connection
from lanemux.rehearsal.box_context import BoxContext
from lanemux.rehearsal.late_body import LateBody, draw_late_body
from lanemux.rehearsal.plan import MS, Ask, Box, attempt_work_ns
from lanemux.rehearsal.records import NEVER, Anomaly, Attempt, StateSpan
from lanemux.rehearsal.request_form import body_digest, matches_ask, response_body

BACKLOG = 128
START_ATTEMPTS, START_RETRY_S = 20, 0.05  # to bind its addresses, if other processes hold them
MAX_ACCEPTS = 16  # per event, so that other work is not delayed
BLOCKING_CONNECTIONS = 4  # fill the accept queue of an isolated box, so that no further connection is established


@dataclass(frozen=True, slots=True)
class LateBodies:
    """How the bodies of responses are delayed."""

    long: bool  # some are longer than what a balancer buffers


class BoxHost:
    """One box: its process, listeners and connections."""

    def __init__(self, context: BoxContext, number: int, addresses: list[Address]) -> None:
        self.context, self.number, self.addresses = context, number, addresses
        self.box: Box = context.plan.boxes[number]
        self.model: BoxModel | None = None  # None: no process is running
        self.suspended = False  # frozen or isolated: the loop does not serve it
        self.hung = False  # it begins its responses and does not end them
        self.late_bodies: LateBodies | None = None  # set while the bodies of its responses come late
        self._listeners: list[socket.socket] = []
        self._blocking_sockets: list[socket.socket] = []
        self._connections: dict[Connection, None] = {}  # in order of arrival
        self._setup_tasks: dict[asyncio.Task[object], None] = {}
        self._jobs: dict[Job, Connection] = {}
        self._attempt_counts: Counter[str] = Counter()  # attempts by request id
        self._response_count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._unfreeze_timer: asyncio.TimerHandle | None = None
        self._polled_since_ns = 0  # the loop has polled the listeners since then
        self._open_states: dict[str, StateSpan] = {}  # by state, those that have not ended
        self._start_attempts = 0

    # -- the process --

    def start(self, cold: bool) -> None:
        """Start the process and listen at its addresses; `cold`: it begins below full speed."""
        if self.model is not None:
            return
        try:
            self._listen()
        except OSError as error:  # another process on this machine holds one of its addresses
            self._retry_start(cold, error)
            return
        now = self.context.now()
        self.model = BoxModel(self.box, self.context.plan.scenario.fleet, now, cold, self.context.plan.cancels_queued)
        self._end_state("down")
        if cold:
            self._begin_state("cold")
        self._add_readers()

    def _listen(self) -> None:
        """Listen at all addresses, or at none of them and raise OSError."""
        try:
            for address in self.addresses:
                listener = bound_socket(address, self.context.socket)
                self._listeners.append(listener)
                listener.listen(BACKLOG)
        except OSError:
            self._stop_listening()
            raise

    def _stop_listening(self) -> None:
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()

    def _retry_start(self, cold: bool, error: OSError) -> None:
        self._start_attempts += 1
        if self._start_attempts < START_ATTEMPTS:
            self.context.loop.call_later(START_RETRY_S, self.start, cold)
        else:
            self.context.records.unstarted.append(f"box {self.box.host} could not start: {error}")

    def terminate(self) -> None:
        """End the process abruptly: its connections are reset and new ones refused."""
        self._remove_readers()
        self._close_blocking_sockets()
        self._stop_listening()
        for connection in list(self._connections):
            if connection.attempt is not None:
                self._end_attempt(connection.attempt, "died")
                connection.attempt.open_ns = max(connection.attempt.whole_ns, self.context.poll_time())
                connection.attempt = connection.job = None
            if connection.late_attempt is not None:
                connection.late_attempt.interrupted = True  # what is still on its way is dropped
            connection.reset()
        self._jobs.clear()
        self.model, self.suspended, self.hung, self.late_bodies = None, False, False, None
        for timer in (self._timer, self._unfreeze_timer):
            if timer is not None:
                timer.cancel()
        for state in list(self._open_states):
            self._end_state(state)
        self._begin_state("down")

    def drain(self) -> None:
        """Decline new attempts, and finish the accepted ones."""
        if self.model is not None:
            self.model.draining = True
            self._begin_state("draining")

    def _crash(self) -> None:
        """End the process after it was sent more than a cold box can take, and record which balancers sent it."""
        now = self.context.now()
        recent = Counter(
            a.balancer
            for a in self.context.records.attempts
            if a.box == self.number and a.whole_ns > now - int(self.context.plan.scenario.fleet.fall_ms * MS)
        )
        self.context.records.anomalies.append(
            Anomaly(
                now,
                "cold",
                f"box {self.box.host} was pushed over "
                f"{(now - self._open_states['cold'].from_ns) / 1e9:.1f} s after its start; attempts in the window by "
                f"balancer: {dict(sorted(recent.items()))}",
                box=self.number,
            )
        )
        self.terminate()
        self._begin_state("fallen")
        self.context.on_overload_crash(self.number, now)

    # -- freezing and isolation --

    def freeze(self, for_ns: int) -> None:
        """Suspend the box: work that is finished by now is answered, everything else waits."""
        if self.model is None or self.suspended:
            return
        self._advance()
        now = self.context.now()
        self.model.freeze(now + for_ns)
        self._suspend("frozen")
        self._unfreeze_timer = self.context.call_at(now + for_ns, self.unfreeze)

    def unfreeze(self) -> None:
        """Serve again."""
        if self.model is not None and self.suspended:
            self._end_state("frozen")
            self.suspended = False
            self._add_readers()
            for connection in list(self._connections):
                connection.resume()
            self._advance()
            self._schedule()

    def hang(self, for_ns: int) -> None:
        """Hang in the middle of each response that is due within this time."""
        if self.model is not None and not self.hung:
            self.hung = True
            self._begin_state("hung")
            self.context.call_at(self.context.now() + for_ns, self._end_hang)

    def _end_hang(self) -> None:
        self.hung = False
        self._end_state("hung")

    def delay_bodies(self, for_ns: int, long: bool) -> None:
        """Send the heads of responses that are due within this time at once, and their bodies late."""
        if self.model is not None and self.late_bodies is None:
            self.late_bodies = LateBodies(long)
            self._begin_state("late_body")
            self.context.call_at(self.context.now() + for_ns, self._end_late_bodies)

    def _end_late_bodies(self) -> None:
        self.late_bodies = None
        self._end_state("late_body")

    def isolate(self) -> None:
        """Simulate an unreachable machine: open connections stay open and silent, new ones are never established."""
        if self.model is None:
            return
        if self._unfreeze_timer is not None:
            self._unfreeze_timer.cancel()
        self._advance()
        self.model.freeze(NEVER)
        self._suspend("vanished")
        for listener in self._listeners:
            listener.listen(0)
            for _ in range(BLOCKING_CONNECTIONS):
                sock = self.context.socket()
                sock.setblocking(False)
                sock.connect_ex(listener.getsockname())
                self._blocking_sockets.append(sock)

    def reconnect(self) -> None:
        """End the isolation."""
        if self.model is not None and self._blocking_sockets:
            self._close_blocking_sockets()
            for listener in self._listeners:
                listener.listen(BACKLOG)
            self.model.advance(self.context.now())
            self.model.frozen_until_ns = 0
            self._end_state("vanished")
            self.unfreeze()

    def _close_blocking_sockets(self) -> None:
        for sock in self._blocking_sockets:
            sock.close()
        self._blocking_sockets.clear()

    def _suspend(self, state: str) -> None:
        now = self.context.now()
        self.suspended = True
        self._remove_readers()
        self._begin_state(state, now)
        for connection in self._connections:
            connection.suspend(now)
        if self._timer is not None:
            self._timer.cancel()

    def add_noisy_neighbour(self, share: float, until_ns: int) -> None:
        """Let another program use a share of the machine until then."""
        if self.model is not None:
            self._advance()
            self.model.stolen_share = share
            self._begin_state("shared")
            self.context.call_at(until_ns, self._end_noisy_neighbour)
            self._schedule()

    def _end_noisy_neighbour(self) -> None:
        if self.model is not None:
            self._advance()
            self.model.stolen_share = 0.0
            self._end_state("shared")
            self._schedule()

    def _begin_state(self, state: str, at_ns: int | None = None) -> None:
        if state not in self._open_states:
            self._open_states[state] = StateSpan(self.number, state, self.context.now() if at_ns is None else at_ns)
            self.context.records.state_spans.append(self._open_states[state])

    def _end_state(self, state: str) -> None:
        span = self._open_states.pop(state, None)
        if span is not None:
            span.to_ns = self.context.now()

    # -- connections --

    def _add_readers(self) -> None:
        self._polled_since_ns = self.context.now()
        for listener, balancer in zip(self._listeners, range(len(self._listeners)), strict=True):
            self.context.loop.add_reader(listener, self._accept, listener, balancer)

    def _remove_readers(self) -> None:
        for listener in self._listeners:
            self.context.loop.remove_reader(listener)

    def _accept(self, listener: socket.socket, balancer: int) -> None:
        for _ in range(MAX_ACCEPTS):
            try:
                accepted, _ = listener.accept()
            except OSError:
                return
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if len(self._connections) >= self.context.plan.scenario.fleet.connections:
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                accepted.close()
                continue
            # Its data may have been sent before it was accepted, but not before the poll preceding that one.
            polled_ns = self.context.poll_time(1)
            connection = Connection(
                self, balancer, polled_ns if polled_ns > self._polled_since_ns else self._last_suspended_from()
            )
            task: asyncio.Task[object] = self.context.loop.create_task(
                self.context.loop.connect_accepted_socket(lambda c=connection: c, accepted)  # type: ignore[misc]
            )
            self._setup_tasks[task] = None
            task.add_done_callback(self._on_setup_done)

    def _last_suspended_from(self) -> int:
        """When the latest span began in which nothing was accepted."""
        starts_ns = [
            life.from_ns
            for life in self.context.records.state_spans
            if life.who == self.number and life.state in ("frozen", "vanished", "down")
        ]
        return max(starts_ns, default=0)

    def _on_setup_done(self, task: asyncio.Task[object]) -> None:
        self._setup_tasks.pop(task, None)
        if not task.cancelled():
            task.exception()  # retrieved so that asyncio does not log it: the connection broke while it was set up

    def add(self, connection: Connection) -> None:
        """Register a connection that was set up; it is reset if the process has ended meanwhile."""
        if self.model is None:
            connection.reset()
            return
        self._connections[connection] = None
        self.model.connections = len(self._connections)
        records = self.context.records
        records.opened += 1
        records.open_at_end += 1
        records.open_most = max(records.open_most, records.open_at_end)
        if self.suspended:
            connection.suspend(self._last_suspended_from())

    def remove(self, connection: Connection) -> None:
        """Forget a connection that was closed."""
        if connection in self._connections:
            del self._connections[connection]
            self.context.records.open_at_end -= 1
            if self.model is not None:
                self.model.connections = len(self._connections)

    def resting_connections(self) -> list[Connection]:
        """The open connections on which a response was the last thing to happen."""
        return [c for c in self._connections if c.attempt is None and c.last_response and not self.suspended]

    def close_idle_connections(self) -> None:
        """Close the connections that have been idle for longer than the scenario's `idle_s`."""
        idle_before_ns = self.context.now() - int(self.context.plan.scenario.fleet.idle_s * 1e9)
        for connection in list(self._connections):
            idle = not self.suspended and connection.attempt is None and connection.idle_since_ns < idle_before_ns
            if idle and connection.transport is not None:
                connection.transport.close()

    # -- requests --

    def serve(self, connection: Connection, message: framing.Message) -> None:
        """Handle a complete request."""
        self._advance()
        assert self.model is not None
        path = message.start_line.split(" ")[1]
        if connection.handshake_due:
            connection.handshake_due = False
            self.model.add_overhead(self.box.handshake_ns)
        if path in ("/stats", "/health/live"):
            self.context.records.probes += 1
            self.model.add_overhead(self.box.probe_ns)
            load = self.model.report()
            body = json.dumps({"inflight": load.inflight, "queue": load.queue}).encode()
            connection.respond(framing.response(200, body if path == "/stats" else b""))
            self._schedule()
            return
        request_id = message.headers.get("req-id", "")
        ask = self.context.asks.get(request_id)
        if ask is None or not matches_ask(self.context.plan, ask, message):
            self.context.records.anomalies.append(
                Anomaly(
                    self.context.now(),
                    "foreign",
                    f"box {self.box.host} was sent {message.start_line[:120]!r} with "
                    f"{len(message.body)} bytes, which no caller sent in this form",
                    request_id,
                    self.number,
                )
            )
            connection.respond(framing.response(400 if request_id else 404))
            return
        deadline_ms = message.headers.get("req-deadline-ms", "")
        self._attempt(connection, request_id, ask, path, int(deadline_ms) if deadline_ms.isdecimal() else 0)

    def _attempt(self, connection: Connection, request_id: str, ask: Ask, path: str, deadline_ms: int) -> None:
        assert self.model is not None
        attempt = Attempt(
            self.number,
            connection.balancer,
            request_id,
            path,
            connection.first_lo_ns,
            connection.last_byte_not_after(),
            told_ms=deadline_ms,
        )
        self.context.records.attempts.append(attempt)
        connection.attempt = attempt
        work_ns = attempt_work_ns(self.context.plan, ask, self.number, self._attempt_counts[request_id])
        self._attempt_counts[request_id] += 1
        mean_ns = next(c.work_ms for c in self.context.plan.scenario.classes if c.name == ask.class_name) * MS
        connection.job = self.model.offer(work_ns, mean_ns)
        if self.model.crashed:
            self._crash()
        elif connection.job is None:
            attempt.how = "declined"
            connection.respond(framing.response(503, b"", {"Srv-Declined": "1"}))
        else:
            self._jobs[connection.job] = connection
            self._schedule()

    def cancelled(self, attempt: Attempt, job: Job | None, open_ns: int) -> None:
        """Record that the balancer closed the attempt's connection, at or after `open_ns`."""
        attempt.open_ns = open_ns
        self._end_attempt(attempt, "cancelled")
        if job is not None and self.model is not None:
            self.model.cancel(job)
            self._jobs.pop(job, None)

    def _end_attempt(self, attempt: Attempt, how: str) -> None:
        attempt.how, attempt.end_ns = how, self.context.now()

    def _advance(self) -> None:
        """Advance the model to now, and answer the requests whose work is finished."""
        if self.model is None or self.suspended:
            return
        for job in self.model.advance(self.context.now()):
            connection = self._jobs.pop(job, None)
            if connection is not None and connection.attempt is not None:
                self._respond(connection, connection.attempt)
        if not self.model.cold:
            self._end_state("cold")
        self.context.records.pushed_most = max(self.context.records.pushed_most, self.model.max_budget_share)

    def _respond(self, connection: Connection, attempt: Attempt) -> None:
        self._response_count += 1
        if random.Random(f"{self.box.seed}/{attempt.id}/{self._attempt_counts[attempt.id]}").random() < self.box.errors:
            attempt.how = "error"
            connection.respond(framing.response(500))
            return
        body = response_body(attempt.id, self.box.host, self._response_count)
        if self.hung:
            connection.respond_in_part(framing.interrupted_response(body))
            return
        if self.late_bodies is not None:
            rng = random.Random(f"{self.box.seed}/{attempt.id}/{self._response_count}/late body")
            self._begin_late_body(
                connection, attempt, draw_late_body(rng, body, self.late_bodies.long, attempt.told_ms)
            )
            return
        attempt.how, attempt.digest = "answered", body_digest(body)
        connection.respond(framing.response(200, body))

    def _begin_late_body(self, connection: Connection, attempt: Attempt, late: LateBody) -> None:
        attempt.begun_ns = self.context.now()
        connection.late_attempt = attempt
        attempt.digest = body_digest(late.body)
        connection.send_part(late.head)
        due_ns = max(attempt.begun_ns, attempt.whole_ns + late.due_ns)
        self.context.call_at(due_ns, self._send_late_piece, connection, attempt, late, 0)

    def _send_late_piece(self, connection: Connection, attempt: Attempt, late: LateBody, number: int) -> None:
        if connection.attempt is not attempt:
            return  # it has ended
        if self.suspended:
            attempt.interrupted = True  # the rest never comes
        elif number < len(late.pieces) - 1:
            connection.send_part(late.pieces[number])
            due_ns = self.context.now() + late.gap_ns
            self.context.call_at(due_ns, self._send_late_piece, connection, attempt, late, number + 1)
        else:
            attempt.how = "answered"
            connection.respond(late.pieces[number])
            if late.closes and connection.transport is not None:
                connection.transport.close()

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_ns = self.model.next_completion_ns() if self.model is not None and not self.suspended else None
        if due_ns is not None:
            self._timer = self.context.call_at(due_ns, self._on_timer)

    def _on_timer(self) -> None:
        self._advance()
        self._schedule()

    def sample_load(self) -> None:
        """Record how many requests the box holds."""
        if self.model is not None:
            held = len(self.model.running) + len(self.model.queue)
            self.context.records.held.append((self.context.now(), self.number, held))
