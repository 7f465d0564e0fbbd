"""The driver: it feeds what happens to the module and carries out what the module decides."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol, assert_never

from lanemux import interface as api
from lanemux.core.address import Address
from lanemux.core.addresses import Addresses
from lanemux.core.clock import now_ns
from lanemux.core.cordons import Cordons, Word
from lanemux.core.front import AWAY_S, EASE_S, Front, Phase
from lanemux.core.membership import Entry, Listing, Membership
from lanemux.core.source import Heard, ListSource, MakeSource
from lanemux.core.system import Machine, System
from lanemux.core.tally import Tally
from lanemux.net.discovery import Discovery, read_listing
from lanemux.net.http import Headers, Message, load_report, whole_number, write_request
from lanemux.net.peers import Peers
from lanemux.net.server import ClientConnection, Doors, Server
from lanemux.net.upstream import Begin, Exchange, Hub, PassOn, Pool

log = logging.getLogger(__name__)

MS = 1_000_000
SECOND = 1000 * MS
METHODS = {api.Effect.SAFE: b"GET", api.Effect.KEYED: b"POST", api.Effect.UNSAFE: b"POST"}
MODULE_EARLY_NS = 4 * MS  # the module's deadline comes so much before the client's, for the way back
NODE_EARLY_NS = 3 * MS // 2  # and the node's own, for what the module left open
LONGEST_DEADLINE_MS = 600_000
RESERVED_DESCRIPTORS = 32  # for the loop, listening, discovery, peers, logs, and what closes a turn later
PROBE_TIMEOUT_S = 0.05
MAX_PROBES = 256  # probes out at once
PROBE_SPARE = 8  # one in so many places for connections is none for a probe: attempts come first
FULL_RETRY_S = b"1"  # what a client is told that finds no room for its request
SWEEP_S = 1.0
WORDS_KEPT_S = 0.02  # a peer's message, which takes up to 33 ms on its way, waits so long to be read with others
MAX_WORDS_KEPT = 64  # and with so many at most: what the loop holds up meanwhile is bounded
FAILURES_LOGGED_NS = 10 * SECOND  # one failure of the module in so long is told with its trace
LATE_ARRIVALS_S = 0.5  # after SIGTERM, new connections go on coming for so long
LAST_READ_S = 0.05  # for what those have sent already
FLUSH_LOOK_S = 0.01
PASSING_IDLE_NS = 15 * SECOND  # an answer on which nothing has moved for so long has no reader or no writer any more
UNUSED_S = 0.7  # a connection idle for so long is seldom used: a request hardly crosses its closing
EASE_LOOK_S = 0.05  # how often it is looked for connections that have become idle, where clients are sent away
HASTE_S = 1.0  # before that, who owes a request is waited for no longer
LEAVE_S = 3.4  # after SIGTERM, whatever is still open


@dataclass(frozen=True, slots=True)
class Config:
    """What a balancer is told at its start."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: api.Settings
    known: object = None  # the last known list, in discovery's form
    peer_listen: Address | None = None
    peers: list[Address] = field(default_factory=list)
    peers_all: Address | None = None
    cores: float = 0.0  # share of a processor; 0: not told
    admin: Address | None = None  # the operators' second address
    listen_fd: int | None = None  # the clients' listening socket, where the platform holds it


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


class Module(Protocol):
    """What decides: the `Balancer` of `lanemux/policy.py`."""

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]: ...

    def avoided(self, now: int) -> int:
        """Listed upstreams that it leaves alone now."""

    def standing(self, now: int) -> Mapping[str, object]:
        """Why it does what it does, in figures."""


MakeDoors = Callable[[int], Doors]  # of the number of places for connections


class Node:
    """One real balancer. Its list comes from platform discovery, unless another source is given."""

    def __init__(self, config: Config, module: Module, source: MakeSource | None = None,
                 system: System | None = None, doors: MakeDoors | None = None) -> None:
        system = system or Machine()
        self.config = config
        limits = config.settings.limits
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._calls: dict[str, Call] = {}
        self._by_client: dict[ClientConnection, Call] = {}
        self._ids: set[bytes] = set()  # that clients gave to their open requests
        self._count = 0
        self._looks: dict[Exchange, None] = {}  # probes that are out
        self._closed = False
        self._events: list[api.Event] = []
        self._feeding = False
        self._timers: dict[str, asyncio.TimerHandle] = {}  # the module's, by name
        self._reading: asyncio.TimerHandle | None = None  # peers' messages that wait to be read
        self._failed_ns, self._failures_untold = -FAILURES_LOGGED_NS, 0  # the module's last failure in the log
        self._decided_ns = 0  # the clock as the module last read it: what it gives as a time counts from then
        self._stopping = False
        self._rested_s = 0.0  # not ready before, by the loop's clock
        self._quiet = asyncio.Event()
        self._sweep: asyncio.TimerHandle | None = None
        room = max(8, (config.sockets - RESERVED_DESCRIPTORS) // 2)
        self._hub = Hub(room, limits.connect_timeout_ns / SECOND, limits.conn_idle_ns / SECOND, stream=True)
        self._passing: dict[str, Call] = {}  # whose answers pass in pieces
        self.server = Server(self, room, system, doors(room) if doors is not None else None)
        self._membership = Membership(system.wall_ns() - now_ns())
        self._addresses = Addresses()
        self.tally = Tally(config.settings.classes)
        self.front = Front()
        self._easing: asyncio.Task[None] | None = None  # sends clients away
        self._wall_ns = system.wall_ns
        self._cordons = Cordons(system.wall_ns() - now_ns(), config.settings.rules.cold_ns)
        self.keep_word: Callable[[Word], bool] = lambda word: True  # for a process beside this one; could it be kept?
        self._source = (source or self._platform)(self._membership, random.Random(config.seed + 1), self._listed)
        self._successor: ListSource | None = None  # is to replace it, and has not told a whole list yet
        self._peers = Peers(config.peers, config.peers_all, config.settings.me, self._peer_message)
        self._module = module
        self._probe_path = b"/stats" if config.settings.report_columns else b"/health/live"

    def _platform(self, membership: Membership, rng: random.Random, heard: Heard) -> ListSource:
        return Discovery(self.config.discovery, membership, self.config.settings.discovery_push, rng, heard)

    # -- start and end --

    async def start(self, rest_s: float = 0.0) -> int:
        """Take up the known list, then open to clients, though ready only after a rest; gives the port."""
        self._rested_s = self._loop.time() + rest_s
        self._take_known()
        if self.config.peer_listen is not None and self.config.listen_fd is not None:
            # Another process of this balancer may have it too: the kernel deals the words out between them.
            await self._loop.create_datagram_endpoint(lambda: self._peers, self.config.peer_listen, reuse_port=True)
        elif self.config.peer_listen is not None:
            await self._loop.create_datagram_endpoint(lambda: self._peers, self.config.peer_listen)
        if self.config.settings.discovery_push:
            self._source.watch()
        self._sweep_idle()
        if self.config.listen_fd is not None:
            return self.server.inherit(self.config.listen_fd, rest_s)
        return self.server.listen(*self.config.listen)

    def _take_known(self) -> None:
        entries = []
        if self.config.known is not None:
            listing = read_listing(self.config.known, self._membership, now_ns())
            self._source.take_known(listing)
            entries = [e.upstream for e in self._take_entries(listing)]
        self.feed(api.ListUpdate(api.ListKind.CACHED, entries))

    def _sweep_idle(self) -> None:
        self._hub.expire()
        self._cordons.forget(now_ns())
        stale = now_ns() - PASSING_IDLE_NS
        for call in [c for c in self._passing.values() if c.moved_ns < stale]:
            log.info("an answer is cut: nothing of it has moved for %d s", PASSING_IDLE_NS // SECOND)
            self._finish(call, 504)
        self._sweep = self._loop.call_later(SWEEP_S, self._sweep_idle)

    @property
    def ready(self) -> bool:
        return self.front.open and self._loop.time() >= self._rested_s

    # -- what operators ask --

    @property
    def outstanding(self) -> int:
        """Requests taken and not ended."""
        return len(self._calls)

    @property
    def discovered(self) -> int:
        """Upstreams in the list."""
        return len(self._membership.hosts)

    @property
    def ejected(self) -> int:
        """Listed upstreams that are avoided now: by hand, or by the decisions."""
        return sum(h in self._membership.hosts for h in self._cordons.hosts) + self._module.avoided(now_ns())

    def standing(self) -> Mapping[str, object]:
        """Why the decisions do what they do, in figures."""
        return self._module.standing(now_ns())

    def knows(self, host: str) -> bool:
        """Is this upstream in the list, or out by hand?"""
        return host in self._membership.hosts or self._cordons.out(host)

    def cordon(self, host: str, out: bool) -> bool:
        """Leave an upstream out, or use it again, from now on; False where that can't be kept."""
        if self._cordons.out(host) is out:
            known = self._cordons.word(host)
            return known is None or self.keep_word(known)  # it may not have been kept the first time
        word = self._cordons.said(host, out, self._wall_ns())
        if not self._cordons.room(host):
            return False
        self.hear_word(word)
        return self.keep_word(word)

    def hear_word(self, word: Word) -> None:
        """An operator's word, said here or to a process beside this one."""
        if self._cordons.hear(word):
            log.info("by hand: %.80s is %s", word.host, "left out" if word.out else "used again")
            entries = self._connect([e for e in self._addresses.listed() if e.host == word.host])
            if entries:
                self.feed(api.ListUpdate(api.ListKind.DELTA, [e.upstream for e in entries]))

    def quiesce(self) -> None:
        """Send clients away: answers end their connections, idle ones are closed, and nobody new is to come."""
        if self.front.quiesce():
            log.info("%s: sending clients away", self.config.name)
            self.server.draining = True
            self._easing = self._loop.create_task(self._send_away())

    async def _send_away(self) -> None:
        begun = self._loop.time()
        await asyncio.sleep(EASE_S)
        while True:
            gone_s = self._loop.time() - begun
            await self.server.ease(UNUSED_S if gone_s < AWAY_S - UNUSED_S else 0.0)
            if gone_s >= AWAY_S:
                self.front.away()
            await asyncio.sleep(EASE_LOOK_S)

    def resume(self) -> bool:
        """Back to work; False for a process that ends."""
        if self.front.resume():
            log.info("%s: back to work", self.config.name)
            self.server.draining = False
            self._stop_easing()
        return self.front.open

    def _stop_easing(self) -> None:
        if self._easing is not None:
            self._easing.cancel()
            self._easing = None

    async def drain(self) -> None:
        """A planned end: go on with what still comes, answer all of it, then close everything."""
        end = self._loop.time() + LEAVE_S
        self._stopping = self.server.draining = True
        self.front.end()
        self._stop_easing()
        if self.config.listen_fd is not None:
            await self._hand_over(end)
        else:
            await asyncio.sleep(LATE_ARRIVALS_S)
            self.server.accept_last()  # after a standstill more may wait than one turn accepts
            self.server.stop_listening()
            await asyncio.sleep(LAST_READ_S)  # a request that lies in an accepted connection has been taken
            self.server.close_idle()
        if self._calls:
            self._quiet.clear()  # it may have been quiet before the last ones came
            try:
                await asyncio.wait_for(self._quiet.wait(), end - self._loop.time())
            except TimeoutError:
                log.warning("left with %d requests open", len(self._calls))
        while self.server.flushing and self._loop.time() < end:
            await asyncio.sleep(FLUSH_LOOK_S)  # a large answer is whole only when its last byte is out
        self.close()
        await self._source.stopped()
        await self._hub.stopped()
        await asyncio.sleep(0)  # closed transports end in the loop's next turn

    async def _hand_over(self, end: float) -> None:
        """Another process serves the same listener: what waits there is its own. Who is here is let go without haste,
        since a request that crosses the closing of its connection has to be asked again."""
        self.server.stop_listening()
        await asyncio.sleep(LAST_READ_S)
        while self.server.waited_for and self._loop.time() < end - HASTE_S:
            await self.server.ease(UNUSED_S)
            await asyncio.sleep(EASE_LOOK_S)
        self.server.close_idle()

    def move_discovery(self, address: Address) -> None:
        """The configuration names another address for discovery; without effect where the list comes from elsewhere."""
        if isinstance(self._source, Discovery):
            self._source.move(address)

    def replace_source(self, make: MakeSource | None) -> None:
        """Take the list from another source (None: platform discovery) from its first whole list on.

        Until then the old one counts: what it tells is acted on, and a new one that never answers costs nothing."""
        if self._successor is not None:
            self._successor.stop()  # of several in a row the last one counts

        def heard(listing: Listing | None) -> None:
            if listing is not None and successor is self._successor:
                self._source.stop()
                self._source, self._successor = successor, None
            if successor is self._source:
                self._listed(listing)

        successor = (make or self._platform)(self._membership, random.Random(self.config.seed + 2), heard)
        self._successor = successor
        successor.watch()

    @property
    def membership(self) -> Membership:
        """The upstreams as last told."""
        return self._membership

    def held(self) -> dict[str, int]:
        """What is held for requests and clients, by kind: at rest, without clients, all is zero."""
        return {"calls": len(self._calls), "clients' calls": len(self._by_client), "ids": len(self._ids),
                "events": len(self._events), "probes": len(self._looks), "connections": self.server.held,
                "attempts": self._hub.open - len(self._hub.idle)}

    def close(self) -> None:
        """Stop everything at once; what is open fails, and nothing is begun any more."""
        self._closed = True
        for call in list(self._calls.values()):
            self._finish(call, 504)
        self._stop_easing()
        self._source.stop()
        if self._successor is not None:
            self._successor.stop()
        for timer in (*self._timers.values(), self._sweep, self._reading):
            if timer is not None:
                timer.cancel()
        for look in list(self._looks):
            look.abandon()
        self._looks.clear()
        for pool in self._hub.pools.values():
            pool.close_idle()
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
                for action in self._decide(batch):
                    self._carry_out(action)
        finally:
            self._feeding = False

    def _wake(self, name: str) -> None:
        self._timers.pop(name, None)
        self.feed(api.Wake(name))

    def _decide(self, batch: list[api.Event]) -> list[api.Action]:
        self._decided_ns = now_ns()
        try:
            return self._module.handle(self._decided_ns, batch)
        except Exception:  # a fault in the decisions costs what came with it, not the process
            return self._mended(batch)

    def _mended(self, batch: list[api.Event]) -> list[api.Action]:
        """The module failed: tell it what is true, and the whole list, since a drain may be among what it lost.

        Actions of the failed batch are lost. What it began is ended or begun anew by the module."""
        failed = self._decided_ns >= self._failed_ns + FAILURES_LOGGED_NS
        if failed:
            self._failed_ns = self._decided_ns
            log.exception("the module failed on %.200r (%d times untold)", batch, self._failures_untold)
        self._failures_untold = 0 if failed else self._failures_untold + 1
        calls = {c.id: api.Held(c.sends, c.out is not None) for c in self._calls.values()}
        listed = [e.upstream for e in self._cordons.handed_on(self._addresses.listed(), self._decided_ns)]
        try:
            return self._module.handle(self._decided_ns, [api.Truth(calls), api.ListUpdate(api.ListKind.FULL, listed)])
        except Exception:
            log.exception("the module failed on what is true")
            return []

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
                self._probe(action.upstream)
            case api.Tell():
                self._peers.tell(action.data, action.peer)
            case api.CloseIdle():
                if (pool := self._hub.pools.get(action.upstream)) is not None:
                    pool.close_idle()
            case api.Subscribe():
                if action.on:
                    self._source.watch()
                else:
                    self._source.unwatch()
            case api.FetchList():
                self._source.fetch()
            case api.SetTimer():
                due = (self._decided_ns + action.delay_ns) / SECOND
                self._timers[action.name] = self._loop.call_at(due, self._wake, action.name)
            case api.Note():
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
        elif self.front.phase is Phase.AWAY or self._limits.max_open and len(self._calls) >= self._limits.max_open:
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
        self.feed(api.Arrival(call.id, name, request.header(b"req-owner").decode("latin-1"),
                              deadline_ns - MODULE_EARLY_NS, cost_us * 1000, key,
                              request.header(b"req-retry") == b"1"))

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
            end = min(end, self._decided_ns + action.timeout_ns)
        if call is not None:
            call.sends += 1
        if (call is None or call.out is not None or pool is None or not pool.ready or end <= now
                or number >= self._limits.max_attempts):
            self.feed(api.Outcome(action.request, number, action.upstream, api.Result.MOOT, 0, call is None))
            return
        call.out = Exchange(pool, self._attempt(call.request, end - now),
                            self._when_ended(call, number, action.upstream, now), wrote=self._forwarded,
                            begin=self._when_begun(call, number, action.upstream, now))
        call.out.start(end / SECOND)

    def _forwarded(self) -> None:
        self.tally.forwards += 1

    def _attempt(self, request: Message, timeout_ns: int) -> bytes:
        headers = [(k, v) for k, v in request.end_to_end() if k != b"req-deadline-ms"]
        headers.append((b"Req-Deadline-Ms", b"%d" % max(1, timeout_ns // MS)))
        return write_request(request.method, request.target, headers, request.body)

    def _when_ended(self, call: Call, number: int, upstream: int,
                    sent_ns: int) -> Callable[[api.Result, Message | None], None]:
        def ended(result: api.Result, response: Message | None) -> None:
            call.out = None
            took = now_ns() - sent_ns
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

            def roomy() -> None:
                call.moved_ns = now_ns()
                exchange.hold(False)

            def pass_on(data: bytes) -> None:
                call.moved_ns = now_ns()
                if not call.client.pass_on(data):
                    exchange.hold(True)

            call.client.begin([(k, v) for k, v in head.end_to_end() if k != b"srv-load"], head.length, roomy)
            self.feed(api.AnswerBegun(call.id, number, upstream, call.moved_ns - sent_ns))
            return pass_on
        return begun

    def _report(self, response: Message | None) -> dict[str, float] | None:
        return load_report(response.header(b"srv-load")) if response is not None else None

    def _cancel(self, action: api.Cancel) -> None:
        call = self._calls.get(action.request)
        if call is not None and call.out is not None and action.attempt == call.sends - 1:
            call.out.finish(api.Result.CANCELLED)

    # -- probes, lists, peers --

    def _probe(self, upstream: int) -> None:
        pool, now = self._hub.pools.get(upstream), now_ns()
        if pool is None or len(self._looks) >= MAX_PROBES:
            self.feed(api.ProbeResult(upstream, api.Result.CONNECT_FAILED, 0))
            return

        def ended(result: api.Result, response: Message | None) -> None:
            del self._looks[look]
            report = None
            if response is not None:
                result = api.Result.OK if response.status == 200 else api.Result.FULL
                report = load_report(response.body)
            self.feed(api.ProbeResult(upstream, result, now_ns() - now, report))

        host = "{}:{}".format(*pool.address).encode()
        look = Exchange(pool, write_request(b"GET", self._probe_path, [(b"Host", host)]), ended,
                        self._hub.capacity // PROBE_SPARE)
        self._looks[look] = None
        look.start(self._loop.time() + PROBE_TIMEOUT_S)

    def _listed(self, listing: Listing | None) -> None:
        if listing is None:
            self.feed(api.ListUpdate(api.ListKind.FAILED))
            return
        entries = self._take_entries(listing)
        if listing.whole or entries:
            kind = api.ListKind.FULL if listing.whole else api.ListKind.DELTA
            self.feed(api.ListUpdate(kind, [e.upstream for e in entries]))

    def _take_entries(self, listing: Listing) -> list[Entry]:
        """Connections follow the list; the entries that the module is to know."""
        return self._connect(self._addresses.settle(listing.entries, listing.whole), listing.whole)

    def _connect(self, told: list[Entry], whole: bool = False) -> list[Entry]:
        """Connections follow these entries, as operators want them to be known."""
        pools, entries = self._hub.pools, self._cordons.handed_on(told, now_ns())
        left_out = set(pools) - {e.upstream.id for e in entries} if whole else set()
        for entry in entries:
            if entry.upstream.state is api.State.GONE:
                left_out.add(entry.upstream.id)
                continue
            pool = pools.setdefault(entry.upstream.id, Pool(self._hub, entry.address))
            pool.move(entry.address)
            pool.ready = entry.upstream.state is api.State.READY
            if not pool.ready:
                pool.close_idle()
        for number in left_out & set(pools):
            pool = pools.pop(number)
            pool.ready = False
            pool.close_idle()
        self._call_off_waiting()
        return entries

    def _call_off_waiting(self) -> None:
        """No first byte may go to an upstream that drains, is gone or has moved, also not when its connection is up."""
        for call in list(self._calls.values()):
            if call.out is not None and call.out.astray:
                call.out.finish(api.Result.MOOT)

    def _peer_message(self, sender: int, data: bytes) -> None:
        """A peer's message is read with whatever is decided next, or by itself a little later.

        Nothing is decided on it alone but who of those that wait goes next, and most are followed at once."""
        if self._closed:
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

