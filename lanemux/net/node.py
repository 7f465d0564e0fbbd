"""The driver: it feeds what happens to the module and carries out what the module decides."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import assert_never

from lanemux import interface as api
from lanemux.core.clock import now_ns
from lanemux.core.source import SourceFactory
from lanemux.core.system import Machine, System
from lanemux.core.tally import Tally
from lanemux.net.admission import ConnectionAdmission
from lanemux.net.client_connection import ClientConnection
from lanemux.net.config import Config
from lanemux.net.decisions import Decisions, Module
from lanemux.net.frontend import Frontend
from lanemux.net.http import Headers, Message, load_report, whole_number, write_request
from lanemux.net.peers import Peers
from lanemux.net.plugin_host import PluginHost
from lanemux.net.probes import Probes
from lanemux.net.server import Server
from lanemux.net.startup import BackgroundAcquisition, acquire
from lanemux.net.upstream import Begin, Exchange, Hub, PassOn
from lanemux.net.upstream_set import UpstreamSet

log = logging.getLogger(__name__)

MS = 1_000_000
SECOND = 1000 * MS
METHODS = {api.Effect.SAFE: b"GET", api.Effect.KEYED: b"POST", api.Effect.UNSAFE: b"POST"}
MODULE_EARLY_NS = 4 * MS  # the module's deadline comes so much before the client's, for the way back
NODE_EARLY_NS = 3 * MS // 2  # and the node's own, for what the module left open
LONGEST_DEADLINE_MS = 600_000
RESERVED_DESCRIPTORS = 32  # for the loop, listening, discovery, peers, logs, and what closes a turn later
FULL_RETRY_S = b"1"  # what a client is told that finds no room for its request
SWEEP_S = 1.0
WORDS_KEPT_S = 0.02  # a peer's message, which takes up to 33 ms on its way, waits so long to be read with others
MAX_WORDS_KEPT = 64  # and with so many at most: what the loop holds up meanwhile is bounded
PASSING_IDLE_NS = 15 * SECOND  # an answer on which nothing has moved for so long has no reader or no writer any more
LEAVE_S = 3.4  # after SIGTERM, whatever is still open


@dataclass(slots=True, eq=False)
class Call:
    """A request that was taken and is not answered yet."""

    id: str
    client: ClientConnection
    request: Message
    deadline_ns: int
    class_name: str
    timer: asyncio.TimerHandle | None = None
    sends: int = 0
    out: Exchange | None = None
    over: bool = False
    moved_ns: int = 0  # its answer passes in pieces, and something last moved then; 0: none does


MakeConnectionAdmission = Callable[[int], ConnectionAdmission]  # of the number of places for connections


class Node:
    """One real balancer. Its list comes from platform discovery, unless another source is given."""

    def __init__(
        self,
        config: Config,
        module: Module,
        source: SourceFactory | None = None,
        system: System | None = None,
        admission: MakeConnectionAdmission | None = None,
    ) -> None:
        system = system or Machine()
        self.config = config
        limits = config.settings.limits
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._calls: dict[str, Call] = {}
        self._by_client: dict[ClientConnection, Call] = {}
        self._ids: set[bytes] = set()  # that clients gave to their open requests
        self._count = 0
        self._closed = False
        self._events: list[api.Event] = []
        self._feeding = False
        self._timers: dict[str, asyncio.TimerHandle] = {}  # the module's, by name
        self._reading: asyncio.TimerHandle | None = None  # peers' messages that wait to be read
        self._stopping = False
        self._quiet = asyncio.Event()
        self._sweep: asyncio.TimerHandle | None = None
        room = max(8, (config.sockets - RESERVED_DESCRIPTORS) // 2)
        self.tally = Tally(config.settings.classes)
        self._hub = Hub(
            room, limits.connect_timeout_ns / SECOND, limits.conn_idle_ns / SECOND, stream=True, counter=self.tally
        )
        self._passing: dict[str, Call] = {}  # whose answers pass in pieces
        self.server = Server(self, room, system, self.tally, admission(room) if admission is not None else None)
        self.frontend = Frontend(config, self.server)
        self.upstream_set = UpstreamSet(config, self._hub, system, source, self.feed, self._call_off_waiting)
        self.background = BackgroundAcquisition(self.tally)
        self.port = 0  # where it listens for clients, once it does
        self._peers = Peers(config.peers, config.peers_all, config.settings.me, self._peer_message)
        self.plugins = PluginHost(self._peers.tell)
        self._decisions = Decisions(module, self._facts)
        probe_path = b"/stats" if config.settings.report_columns else b"/health/live"
        self._probes = Probes(self._hub, probe_path, self.feed)

    # -- start and end --

    async def start(self, rest_s: float = 0.0) -> int:
        """Take up the known list, then open to clients, though ready only after a rest; gives the port.

        Waits for the clients' address until it can be had; UnrecoverableError where that can never be."""
        self.frontend.rest(rest_s)
        self.upstream_set.start()
        await self._open_peers()
        if self.config.settings.discovery_push:
            self.upstream_set.source.watch()
        self._sweep_idle()

        async def listen() -> int:
            return self.frontend.open(rest_s)

        self.port = await acquire("listening socket", listen, self.tally)
        return self.port

    async def _open_peers(self) -> None:
        """Hear the peers, from now on or, where the machine does not allow it yet, from later on."""
        address = self.config.peer_listen
        if address is None:
            return
        # Another process of this balancer may have it too: the kernel deals the messages out between them.
        reuse_port = True if self.config.listen_fd is not None else None

        async def bind() -> None:
            await self._loop.create_datagram_endpoint(lambda: self._peers, address, reuse_port=reuse_port)

        try:
            await bind()
        except OSError:
            self.background.start("peers' address", bind)

    def _sweep_idle(self) -> None:
        self._sweep = self._loop.call_later(SWEEP_S, self._sweep_idle)
        self._hub.expire()
        self.upstream_set.sweep()
        stale = now_ns() - PASSING_IDLE_NS
        for call in [c for c in self._passing.values() if c.moved_ns < stale]:
            log.info("an answer is cut: nothing of it has moved for %d s", PASSING_IDLE_NS // SECOND)
            self._finish(call, 504)

    @property
    def ready(self) -> bool:
        return self.frontend.ready

    @property
    def stopping(self) -> bool:
        """The process ends: nothing new is taken up."""
        return self._stopping

    # -- what operators ask --

    @property
    def outstanding(self) -> int:
        """Requests taken and not ended."""
        return len(self._calls)

    @property
    def discovered(self) -> int:
        """Upstreams in the list."""
        return len(self.upstream_set.membership.hosts)

    @property
    def ejected(self) -> int:
        """Listed upstreams that are avoided now: by hand, or by the decisions."""
        return self.upstream_set.cordoned + self._decisions.avoided

    def standing(self) -> Mapping[str, object]:
        """Why the decisions do what they do, in figures."""
        return self._decisions.standing()

    async def drain(self) -> None:
        """A planned end: go on with what still comes, answer all of it, then close everything."""
        end = self._loop.time() + LEAVE_S
        self._stopping = True
        self.plugins.leave()
        await self.frontend.close_in_order(end)
        if self._calls:
            self._quiet.clear()  # it may have been quiet before the last ones came
            try:
                await asyncio.wait_for(self._quiet.wait(), end - self._loop.time())
            except TimeoutError:
                log.warning("left with %d requests open", len(self._calls))
        await self.frontend.flush(end)
        self.close()
        await self.upstream_set.source.wait_stopped()
        await self._hub.stopped()
        await asyncio.sleep(0)  # closed transports end in the loop's next turn

    def held(self) -> dict[str, int]:
        """What is held for requests and clients, by kind: at rest, without clients, all is zero."""
        return {
            "calls": len(self._calls),
            "clients' calls": len(self._by_client),
            "ids": len(self._ids),
            "events": len(self._events),
            "probes": len(self._probes),
            "connections": self.server.held,
            "attempts": self._hub.open - len(self._hub.idle),
        }

    def close(self) -> None:
        """Stop everything at once; what is open fails, and nothing is begun any more."""
        self._closed = True
        self.background.stop()
        for call in list(self._calls.values()):
            self._finish(call, 504)
        self.frontend.stop()
        self.upstream_set.stop()
        for timer in (*self._timers.values(), self._sweep, self._reading):
            if timer is not None:
                timer.cancel()
        self._probes.abandon()
        for pool in self._hub.pools.values():
            pool.close_idle()
        self.plugins.close()
        self._peers.close()
        self.server.abort()

    # -- the module --

    def feed(self, *events: api.Event) -> None:
        """Hand events over; those raised while actions are carried out wait for their turn."""
        if self._closed:
            return  # the last requests' ends must not make the module begin something
        self._events += events
        if self._feeding:
            return
        self._feeding = True
        if self._reading is not None:
            self._reading.cancel()
            self._reading = None
        try:
            while self._events:
                batch, self._events = self._events, []
                for action in self._decisions.of(batch):
                    self._carry_out_or_report(action)
        finally:
            self._feeding = False

    def _wake(self, name: str) -> None:
        self._timers.pop(name, None)
        self.feed(api.TimerFired(name))

    def _facts(self, now: int) -> list[api.Event]:
        """All that is true now, for a module that has failed."""
        calls = {c.id: api.HeldRequest(c.sends, c.out is not None) for c in self._calls.values()}
        return [api.Resync(calls), self.upstream_set.whole(now)]

    def _carry_out_or_report(self, action: api.Action) -> None:
        """A fault in one action costs neither the others nor a request's answer: its timer still runs."""
        try:
            self._carry_out(action)
        except Exception as error:
            self.tally.call_failed("action", type(error).__name__)
            log.exception("the action failed: %.200r", action)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                self._refuse(action)
            case api.Fail():
                self._final(action.request, 504)
            case api.Cancel():
                self._cancel(action)
            case api.Probe():
                self._probes.begin(action.upstream)
            case api.SendToPeer():
                self._peers.tell(action.data, action.peer)
            case api.CloseIdle():
                if (pool := self._hub.pools.get(action.upstream)) is not None:
                    pool.close_idle()
            case api.Subscribe():
                if action.on:
                    self.upstream_set.source.watch()
                else:
                    self.upstream_set.source.unwatch()
            case api.FetchList():
                self.upstream_set.source.fetch()
            case api.SetTimer():
                due = (self._decisions.decided_ns + action.delay_ns) / SECOND
                self._timers[action.name] = self._loop.call_at(due, self._wake, action.name)
            case api.WriteLog():
                log.info("module: %s", action.text)
            case _:
                assert_never(action)

    # -- requests --

    def take(self, client: ClientConnection, request: Message, received_ns: int) -> None:
        """A client's request: refused here only if it can't be understood or there is no room."""
        name = request.target[1:].partition(b"?")[0].partition(b"/")[0].decode("latin-1")
        cls = self.config.settings.classes.get(name)
        wait_ms = whole_number(request.header(b"req-deadline-ms"))
        ids = [value for key, value in request.headers if key == b"req-id"]
        if request.method not in METHODS.values():
            client.answer(405, [(b"Allow", b"GET, POST")])
        elif cls is None or len(ids) != 1 or not ids[0] or not wait_ms or b"#" in request.target:
            client.answer(400)
        elif request.method != METHODS[cls.effect]:
            client.answer(405, [(b"Allow", METHODS[cls.effect])])
        elif request.method == b"GET" and request.body:
            client.answer(400)  # an upstream reads no body there and would take it for the next request
        elif ids[0] in self._ids:
            client.answer(409)  # whose answer would it be?
        elif self.frontend.away or self._limits.max_open and len(self._calls) >= self._limits.max_open:
            self.tally.ended(name, 503)
            client.answer(503, [(b"Retry-After", FULL_RETRY_S)])
        else:
            deadline = received_ns + min(wait_ms, LONGEST_DEADLINE_MS) * MS
            self._open(client, request, name, deadline)

    def _open(self, client: ClientConnection, request: Message, name: str, deadline_ns: int) -> None:
        self._count += 1
        self._ids.add(request.header(b"req-id"))
        call = Call(str(self._count), client, request, deadline_ns, name)
        self._calls[call.id] = self._by_client[client] = call
        call.timer = self._loop.call_at((deadline_ns - NODE_EARLY_NS) / SECOND, self._out_of_time, call)
        cookies = (c.strip() for c in request.header(b"cookie").decode("latin-1").split(";"))
        key = next((c[5:] for c in cookies if c.startswith("user=")), "")
        cost_us = whole_number(request.header(b"req-cost")) or 0
        self.feed(
            api.Arrival(
                call.id,
                name,
                request.header(b"req-owner").decode("latin-1"),
                deadline_ns - MODULE_EARLY_NS,
                cost_us * 1000,
                key,
                request.header(b"req-retry") == b"1",
            )
        )

    def _out_of_time(self, call: Call) -> None:
        self._finish(call, 504)
        self.feed(api.ClientGone(call.id))

    def gone(self, client: ClientConnection) -> None:
        """The client has closed its connection: nobody waits for the answer."""
        call = self._by_client.get(client)
        if call is not None:
            self._drop(call)
            self.feed(api.ClientGone(call.id))

    def _refuse(self, action: api.Refuse) -> None:
        headers = []
        if action.retry_after_ns > 0:
            headers.append((b"Retry-After", b"%.3f" % (action.retry_after_ns / SECOND)))
        self._final(action.request, 503, headers)

    def _final(self, request: str, status: int, headers: Headers = ()) -> None:
        call = self._calls.get(request)
        if call is not None:
            self._finish(call, status, headers)

    def _finish(self, call: Call, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """The one final answer."""
        if not call.over:
            self._drop(call)
            self.tally.ended(call.class_name, status)
            if not call.moved_ns:
                call.client.answer(status, headers, body)
            elif status == 200:
                call.client.end_answer()
            else:
                call.client.cut()

    def _drop(self, call: Call) -> None:
        """Forget the request and call off what is out for it."""
        call.over = True
        if call.timer is not None:
            call.timer.cancel()
        del self._calls[call.id]
        self._passing.pop(call.id, None)
        del self._by_client[call.client]
        self._ids.discard(call.request.header(b"req-id"))
        if call.out is not None:
            call.out.finish(api.Result.CANCELLED)
        if self._stopping and not self._calls:
            self._quiet.set()

    # -- attempts --

    def _send(self, action: api.Send) -> None:
        now = now_ns()
        call = self._calls.get(action.request)
        number = call.sends if call is not None else 0
        pool = self._hub.pools.get(action.upstream)
        # A stall since the decision must not push the time-out past the deadline: the module is told in time.
        end = call.deadline_ns - NODE_EARLY_NS if call is not None else now
        if action.timeout_ns:
            end = min(end, self._decisions.decided_ns + action.timeout_ns)
        if call is not None:
            call.sends += 1
        if (
            call is None
            or call.out is not None
            or pool is None
            or not pool.ready
            or end <= now
            or number >= self._limits.max_attempts
        ):
            self.feed(api.Outcome(action.request, number, action.upstream, api.Result.NOT_SENT, 0, call is None))
            return
        call.out = Exchange(
            pool,
            lambda: self._attempt(call.request, end - now_ns()),
            self._when_ended(call, number, action.upstream, now),
            wrote=self._forwarded,
            begin=self._when_begun(call, number, action.upstream, now),
        )
        call.out.start(end / SECOND)

    def _forwarded(self) -> None:
        self.tally.forwards += 1

    def _attempt(self, request: Message, timeout_ns: int) -> bytes:
        headers = [(k, v) for k, v in request.end_to_end() if k != b"req-deadline-ms"]
        headers.append((b"Req-Deadline-Ms", b"%d" % max(1, timeout_ns // MS)))
        return write_request(request.method, request.target, headers, request.body)

    def _when_ended(
        self, call: Call, number: int, upstream: int, sent_ns: int
    ) -> Callable[[api.Result, Message | None], None]:
        def ended(result: api.Result, response: Message | None) -> None:
            held_here_ns = int(call.out.held_here_s * SECOND) if call.out is not None else 0
            call.out = None
            took = now_ns() - sent_ns - held_here_ns
            if response is not None:
                result = _judged(response)
            if call.moved_ns:
                self._finish(call, 200 if result is api.Result.OK else 504)
            elif result is api.Result.OK and response is not None:
                headers = [(k, v) for k, v in response.end_to_end() if k != b"srv-load"]
                self._finish(call, 200, headers, response.body)
            report = self._report(response) if self.config.settings.reports_in_answers else None
            self.feed(api.Outcome(call.id, number, upstream, result, took, call.over, report))

        return ended

    def _when_begun(self, call: Call, number: int, upstream: int, sent_ns: int) -> Begin:
        """What takes an answer that is passed on as it comes: one piece is on its way at a time."""

        def begun(exchange: Exchange, head: Message) -> PassOn | None:
            if call.over:
                return None
            if call.timer is not None:
                call.timer.cancel()  # from its first byte on, only what moves counts
            call.moved_ns = now_ns()
            self._passing[call.id] = call

            def writable() -> None:
                call.moved_ns = now_ns()
                exchange.hold(False)

            def pass_on(data: bytes) -> None:
                call.moved_ns = now_ns()
                if not call.client.pass_on(data):
                    exchange.hold(True)

            call.client.begin([(k, v) for k, v in head.end_to_end() if k != b"srv-load"], head.length, writable)
            self.feed(api.ResponseStarted(call.id, number, upstream, call.moved_ns - sent_ns))
            return pass_on

        return begun

    def _report(self, response: Message | None) -> dict[str, float] | None:
        return load_report(response.header(b"srv-load")) if response is not None else None

    def _cancel(self, action: api.Cancel) -> None:
        call = self._calls.get(action.request)
        if call is not None and call.out is not None and action.attempt == call.sends - 1:
            call.out.finish(api.Result.CANCELLED)

    # -- probes, lists, peers --

    def _call_off_waiting(self) -> None:
        """No first byte may go to an upstream that drains, is gone or has moved, also not when its connection is up."""
        for call in list(self._calls.values()):
            if call.out is not None and call.out.astray:
                call.out.finish(api.Result.NOT_SENT)

    def _peer_message(self, sender: int, data: bytes) -> None:
        """A peer's message is read with whatever is decided next, or by itself a little later.

        Nothing is decided on it alone but who of those that wait goes next, and most are followed at once."""
        if self._closed or self.plugins.heard(sender, data):
            return
        self._events.append(api.PeerMessage(sender, data))
        if len(self._events) >= MAX_WORDS_KEPT:
            self.feed()
        elif self._reading is None:
            self._reading = self._loop.call_later(WORDS_KEPT_S, self.feed)


def _judged(response: Message) -> api.Result:
    """An attempt's result by what came back: only a marked 503 or 504 proves that it never ran."""
    if response.status == 200:
        return api.Result.OK
    if response.status in (503, 504) and response.header(b"srv-declined") == b"1":
        return api.Result.FULL
    return api.Result.ERROR
