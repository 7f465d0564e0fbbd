"""One virtual run: the kit's parties and checker and the balancer's real code, on one virtual clock."""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import json
import logging
import random
import signal
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any, cast

from lanemux import interface as api
from lanemux.core.membership import Membership
from lanemux.core.source import MakeSource
from lanemux.net.config import read_config
from lanemux.net.daemon import serve
from lanemux.net.decisions import Module
from lanemux.net.node import Node
from lanemux.net.reload import Lists
from lanemux.policy import Balancer
from lanemux.rehearsal.balancers import Place, configuration
from lanemux.rehearsal.books import BoxBooks, CallerBooks, Life
from lanemux.rehearsal.boxes import Boxes, Host, reserve
from lanemux.rehearsal.boxes import World as BoxWorld
from lanemux.rehearsal.callers import Callers, Front, Line
from lanemux.rehearsal.plan import MS, SECOND, Happening, Notice, Plan, draw, room_of, settings
from lanemux.rehearsal.registry import Agent, ListAgent
from lanemux.rehearsal.relay import Relay
from lanemux.rehearsal.rules import Violation
from lanemux.rehearsal.service import Figures, figures
from lanemux.storm.connection_admission import ConnectionAdmission
from lanemux.storm.module import Plan as StormPlan
from lanemux.storm.module import Storm
from lanemux.virtual.agenda import START_NS
from lanemux.virtual.judge import Excuses, Judge
from lanemux.virtual.network import Address, End, Label
from lanemux.virtual.process import Process
from lanemux.virtual.script import ABOUT_EVENT, BOXES, Fault, Script, Setting, setting
from lanemux.virtual.sockets import StreamSocket
from lanemux.virtual.world import World

ZERO_NS = START_NS + 1500 * MS  # the first moment of the run; all are up by then
CONFIG = "/etc/balancer.json"
AFTER_LAST_NS = 8 * SECOND  # from the last ask to the quiet: the longest fault and the longest deadline
QUIET_NS = 3 * SECOND  # longer than any connection stays idle at a balancer
LEAVE_NS = 5 * SECOND  # longer than a balancer's drain
WAIT_NS = 6 * SECOND  # callers wait so long for an answer that may be excused
READY_NS = 250 * MS  # from a balancer's start until the front knows it again
BACK_NS = 300 * MS  # from a drained box's exit to its next start
ACCEPT_AGAIN_NS = 60 * MS  # after descriptors were out, accepting begins again by then
ANEW_NS = 1500 * MS  # what was written to a connection given up is heard on the next one, by then
BURST_NS = 10 * MS
LOST_NS = 4500 * MS  # a watch that is silent for good is found out, and another one up, by then
OVER_NS = 5 * MS  # an attempt may end so long after its time-out: turns take time
DOUBLE_NS = 2 * SECOND
TORN_FOR_NS = 100 * MS
HALF_NS = 100 * MS
FIRST_BYTES = 60  # of what arrives, shown in the timeline
TOLD_BETWEEN = 0.5
LEAST_PLACES, SPARE_SOCKETS = 8, 32  # for clients' connections: what a balancer may keep of its descriptors for others
STORM_PLAN = StormPlan()
PLANNED = ("die", "start", "drain", "leave", "vanish", "return", "freeze", "neighbour")  # a plan's own, of boxes
DECIDED = 0.6  # share of lurches that come between a decision to send and the sending


@dataclass(slots=True)
class Result:
    """A run that is over."""

    script: Script
    violations: list[Violation]
    digest: str
    asks: int
    figures: Figures
    plan: Plan
    books: CallerBooks
    boxes: BoxBooks
    steps: int = 0
    virtual_s: float = 0.0
    covered: Counter[tuple[str, str]] = field(default_factory=Counter)  # (fault, event that brought it, or "time")
    timeline: list[str] = field(default_factory=list)


Round = Callable[[Balancer, api.Settings, int, int], Module]  # what stands round the decisions; with seed and time


def _storm(decides: Balancer, told: api.Settings, seed: int, now: int) -> Module:
    return Storm(decides, told, STORM_PLAN, seed, now)


class Observed:
    """The module between the node and its decisions: it holds that every Send has one Outcome, and one is out."""

    def __init__(
        self,
        settings_told: api.Settings,
        seed: int,
        now: int,
        around: Round | None,
        accuse: Callable[[str, str], None],
        excused: Callable[[int, int], bool],
        listed: Callable[[int, api.ListUpdate], None],
        sending: Callable[[], None],
    ) -> None:
        self.decides = Balancer(settings_told, seed, now)
        self.inner: Module = around(self.decides, settings_told, seed, now) if around is not None else self.decides
        self.out: dict[tuple[str, int], int] = {}  # attempt -> when it is to time out; 0: not told
        self._sends: Counter[str] = Counter()
        self._accuse, self._excused, self._listed, self._sending = accuse, excused, listed, sending
        self._now = now

    def avoided(self, now: int) -> int:
        """As the decisions tell it."""
        return self.inner.avoided(now)

    def standing(self, now: int) -> Mapping[str, object]:
        """As the decisions tell it."""
        return self.inner.standing(now)

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        events = list(events)
        if now < self._now:
            self._accuse("clock", "the clock went back")
        self._now = now
        for event in events:
            if isinstance(event, api.ListUpdate):
                self._listed(now, event)
            elif isinstance(event, api.Outcome):
                due = self.out.pop((event.request, event.attempt), None)
                if due is None:
                    self._accuse("outcome", f"an outcome of attempt {event.attempt} that was not out")
                elif due and now > due + OVER_NS and not self._excused(due, now):
                    self._accuse("time-out", f"an attempt ended {(now - due) / MS:.1f} ms after its time was up")
        try:
            actions = self.inner.handle(now, events)
        except Exception as error:
            self._accuse("crash", f"the module failed: {error!r}")
            raise
        for action in actions:
            if isinstance(action, api.Send):
                number = self._sends[action.request]
                self._sends[action.request] += 1
                if any(request == action.request for request, _ in self.out):
                    self._accuse("twice", "a second attempt was decided while one is out")
                self._sending()
                self.out[action.request, number] = now + action.timeout_ns if action.timeout_ns else 0
        return actions


class ExactSight:
    """When a balancer's end did what a box sees: the network knows."""

    def __init__(self, boxes: Process) -> None:
        self._boxes = boxes

    def _end(self, transport: asyncio.BaseTransport) -> End | None:
        made = self._boxes.loop.socket_of(transport)
        return made.end if isinstance(made, StreamSocket) else None

    def began_ns(self, transport: asyncio.BaseTransport) -> int:
        end = self._end(transport)
        return (end.read_from_ns if end is not None else self._boxes.world.agenda.now_ns) - ZERO_NS

    def whole_ns(self, transport: asyncio.BaseTransport) -> int:
        end = self._end(transport)
        return (end.read_to_ns if end is not None else self._boxes.world.agenda.now_ns) - ZERO_NS

    def open_ns(self, transport: asyncio.BaseTransport) -> int:
        now, end = self._boxes.world.agenda.now_ns, self._end(transport)
        closed = end.peer.ended_ns if end is not None and end.peer is not None else now
        return min(now, closed) - ZERO_NS


class NoLooks:
    """A virtual loop's looks tell nothing that its network does not tell exactly."""

    looks_ns = [0, 0, 0]


@dataclass(slots=True)
class Seat:
    """A balancer over its restarts."""

    number: int
    place: Place
    agent: ListAgent
    settings: dict[str, object]
    process: Process | None = None
    node: Node | None = None
    module: Observed | None = None
    starts: int = 0
    moves: int = 0
    member_up_ns: int = 0  # its etcd member has come up again by then
    ending: bool = False
    life: Life | None = None


class Stage:
    """All parties of one virtual run."""

    def __init__(
        self, script: Script, traced: bool = False, made: Setting | None = None, around: Round | None = None
    ) -> None:
        """`around`: round the decisions; None: the storm's module in storms, else nothing."""
        self.script = script
        self._around = around or (_storm if script.storm else None)
        made = made or setting(script.seed, script.calm, script.storm)
        self.plan = draw(made.scenario, script.seed)
        self.drawn = len(self.plan.asks)
        if script.asks is not None:
            kept = set(script.asks)
            self.plan.asks = [dataclasses.replace(a) for a in self.plan.asks if a.number in kept]
        self._number_asks()
        self._sockets = made.sockets
        self.world = World(f"{script.seed}/world", made.weather)
        self.world.busy_ns = made.busy_ns
        self.books, self.boxes_books, self.excuses = CallerBooks(), BoxBooks(), Excuses()
        self.closed: dict[int, dict[int, list[list[int]]]] = {}  # balancer -> upstream -> spans from read news to news
        self._ids = Membership(0)  # numbers hosts as every balancer does
        self.judge = Judge(
            self.plan,
            self.boxes_books,
            self.books,
            self.excuses,
            self._closed_at,
            lambda balancer, box: box not in self._traded.values() or (balancer, box) in self._placed,
        )
        self.timeline: list[str] = []
        self.covered: Counter[tuple[str, str]] = Counter()
        self._traced = traced
        self._rng = random.Random(f"{script.seed}/stage")
        self._events: Counter[str] = Counter()
        self._waiting: dict[tuple[str, int], list[Fault]] = {}
        self._busy_boxes: set[int] = set()
        self._traded: dict[int, int] = {}  # boxes that came up at another's old address, by their upstreams' numbers
        self._placed: set[tuple[int, int]] = set()  # balancers that have read of such a box where it is
        self._said: dict[int, tuple[str, int]] = {}
        self._seats: list[Seat] = []
        self._kit = self.world.process("kit", 1_000_000)
        self._boxes_process = self.world.process("boxes", 1_000_000)
        self._kit.judged = self._boxes_process.judged = True  # books are kept there alone
        self._addresses: list[list[Address]] = []
        self._relay: Relay | None = None
        self._front: Front | None = None
        self._callers: Callers | None = None
        self._boxes: Boxes | None = None
        self.world.told = self._told
        self.world.after_step = self.judge.look
        self.world.ended = self._ended

    def _number_asks(self) -> None:
        """Requests name their asks by number: it is their place in the list."""
        self.plan.asks = [dataclasses.replace(a, number=i) for i, a in enumerate(self.plan.asks)]

    def now(self) -> int:
        return self.world.agenda.now_ns - ZERO_NS

    # -- the whole run --

    def play(self) -> Result:
        """From the first socket to the last; the violations found are in the result."""
        try:
            self._kit.run(self._open())
            self._until(lambda: self._kit.main is not None and self._kit.main.done(), ZERO_NS)
            if self._callers is None:
                self._blame("crash", f"the world did not come up: {self._kit.faults}")
            else:
                self._play()
            self.judge.finish(herds=self.script.storm)
        finally:
            self.world.close()
        for process in self.world.processes:
            for fault in process.faults:
                self._blame("crash", f"{process.name}: {fault}")
        for part in (self.books.tries, self.boxes_books.attempts, self.books.told, self.judge.violations):
            self.world.note(part)
        found = figures(self.plan, self.boxes_books, self.books)
        return Result(
            self.script,
            self.judge.violations,
            self.world.digest(),
            self.drawn,
            found,
            self.plan,
            self.books,
            self.boxes_books,
            self.world.steps,
            self.now() / SECOND,
            self.covered,
            self.timeline,
        )

    def _play(self) -> None:
        for fault in self.script.faults:
            if fault.on:
                self._waiting.setdefault((fault.on, fault.nth), []).append(fault)
            else:
                self.world.agenda.at(ZERO_NS + int(fault.at_ms * MS), lambda f=fault: self._do(f, "time", None))  # type: ignore[misc]
        for happening in self.plan.happenings:
            if happening.what in PLANNED:
                self.world.agenda.at(ZERO_NS + happening.at_ns, lambda h=happening: self._planned(h))  # type: ignore[misc]
        for notice in self.plan.notices:
            self.world.agenda.at(ZERO_NS + notice.at_ns, lambda n=notice: self._tell(n.box, n.health, n.born_ns))  # type: ignore[misc]
        callers = self._callers
        assert callers is not None
        last = self.plan.asks[-1].at_ns if self.plan.asks else 0
        self._until(lambda: False, ZERO_NS + last + AFTER_LAST_NS)
        self._waiting.clear()  # nothing goes wrong any more
        self._in(self._kit, callers.close)
        self._until(lambda: False, self.world.agenda.now_ns + QUIET_NS)
        self._check_rest()
        for seat in self._seats:
            if seat.process is not None and not seat.ending:
                seat.ending = True
                seat.process.signal(signal.SIGTERM)
        gone = self._until(
            lambda: all(s.process is None or not s.process.alive for s in self._seats),
            self.world.agenda.now_ns + LEAVE_NS,
        )
        if not gone:
            self._blame("end", "a balancer did not end by its drain")
        if self._boxes is not None:
            self._boxes.end()

    def _until(self, true: Callable[[], bool], end_ns: int) -> bool:
        return self.world.run(true, end_ns)

    def _blame(self, rule: str, what: str) -> None:
        self.judge.accuse(rule, self.now(), what)

    def _in(self, process: Process, do: Callable[..., object], *args: object) -> None:
        """Have a process do it in its next turn."""
        process.loop.call_soon(do, *args)

    # -- coming up --

    async def _open(self) -> None:
        """In the kit's process: bring everybody up."""
        fleet = self.plan.scenario.fleet
        self._open_boxes()
        places = [
            Place((f"127.0.200.{b + 1}", 8000), ("", 0), (f"127.0.200.{b + 1}", 8001), [], ("", 0))
            for b in range(fleet.balancers)
        ]
        network = self.world.network
        for b, place in enumerate(places):
            network.places[place.listen], network.places[place.peer_listen] = ("client", b), ("peer", b)
        self._relay = Relay(self.plan.scenario.network, [p.peer_listen for p in places], self.plan.seed)
        peers, everyone = await self._relay.open("127.0.201.1")
        for owner, row in enumerate(peers):
            for address in (*row, everyone[owner]):
                network.places.setdefault(address, ("peer", owner))
        new_agent = self._source()
        for b, place in enumerate(places):
            agent = new_agent(b)
            place.discovery = await agent.open(f"127.0.202.{b + 1}")
            network.places[place.discovery] = ("list", b)
            place.peers, place.peers_all = peers[b], everyone[b]
            for box in self.plan.first:
                self._said[box] = ("up", 0)
                agent.tell(self.plan.boxes[box], self._addresses[box][b], Notice(0, box, "up", 0), True)
            self._seats.append(Seat(b, place, agent, settings(self.plan, b)))
        for seat in self._seats:
            self._start(seat)
        self._front = Front([room_of(fleet, b) for b in range(fleet.balancers)], [p.listen for p in places])
        self._callers = Callers(self.plan, self._front, self.books, ZERO_NS, WAIT_NS)
        self._callers.begin()
        await self._callers.done.wait()
        await asyncio.sleep(3600)  # the kit's process stays until the world ends

    def _open_boxes(self) -> None:
        process = self._boxes_process
        asks = {name: ask for ask in self.plan.asks for name in ask.ids}
        make = cast(Any, process.socket)
        world = BoxWorld(
            process.loop, self.plan, NoLooks(), self.boxes_books, ZERO_NS, asks, self._fell, ExactSight(process), make
        )
        self._addresses = reserve(self.plan, "127.0", make)
        for slot, row in enumerate(self._addresses):
            self.world.network.places.update({address: ("box", slot) for address in row})
        self._boxes = Boxes(world, self._addresses)
        self._in(process, self._boxes.open)
        self._in(process, self._boxes.begin, False)

    def _source(self) -> Callable[[int], ListAgent]:
        wall_ms = (ZERO_NS + self._kit.wall_offset_ns) // MS
        if self.plan.scenario.discovery.source == "agent":
            return lambda number: Agent(number, self.now, wall_ms, self.books.told)
        from lanemux.rehearsal.etcd.agent import EtcdAgent
        from lanemux.rehearsal.etcd.store import Store

        store = Store()

        def listen(address: Address) -> Any:
            made = self._kit.socket()
            made.bind(address)
            return made

        return lambda number: EtcdAgent(number, self.now, wall_ms, self.books.told, store, listen)

    def _start(self, seat: Seat) -> None:
        """A balancer's process comes up, with the list as its agent has it."""
        seat.starts += 1
        seat.ending = False
        disk = seat.process.disk if seat.process is not None else None
        process = self.world.process(f"n{seat.number}", self._sockets)
        places = max(LEAST_PLACES, (self._sockets - SPARE_SOCKETS) // 2)  # the other half are for connections to boxes
        self.excuses.crowd(seat.number, False, self.now())

        def entered(accepted: int) -> None:
            if process is seat.process:
                self.excuses.crowd(seat.number, accepted >= places, self.now())

        process.entered = entered
        if disk is not None:
            process.disk = disk
            disk.unreadable = False  # a start waits for its disk
        seat.process, seat.node = process, None
        self._write(seat)

        def module(told: api.Settings, seed: int, now: int) -> Observed:
            seat.module = Observed(told, seed, now, self._around, accuse, excused, listed, sending)
            return seat.module

        def accuse(rule: str, what: str) -> None:
            if process.alive:  # what is cleared away behind a killed one is nobody's fault
                self._blame(rule, what)

        def sending() -> None:
            if process.lurch_ns and process.lurch_decided:
                process.lurch()

        def listed(now: int, update: api.ListUpdate) -> None:
            if process.alive:
                self._listed(seat.number, now - ZERO_NS, update)

        def excused(due: int, at: int) -> bool:
            return self.excuses.late_ns(seat.number, due - ZERO_NS - OVER_NS, at - ZERO_NS) > 0

        def up(node: Node) -> None:
            seat.node = node

        async def balancer() -> None:
            lists = Lists(lambda: self._make_source(seat, process))
            admission = (lambda places: ConnectionAdmission(places, 0.5)) if self.script.storm else None
            await serve(read_config(CONFIG, process), CONFIG, lists, process, module, up, admission)

        process.run(balancer())

    def _listed(self, balancer: int, now: int, update: api.ListUpdate) -> None:
        """A balancer has read news: from now on nothing new goes to what drains or is gone."""
        spans = self.closed.setdefault(balancer, {})
        whole = update.kind in (api.ListKind.FULL, api.ListKind.CACHED)
        ready = {u.id for u in update.upstreams if u.state is api.State.READY}
        for number in spans if whole else ():
            if number not in ready:
                self.judge.close(spans[number], now)
        for upstream in update.upstreams:
            span = spans.setdefault(upstream.id, [])
            if upstream.state is api.State.READY:
                self.judge.reopen(span, now)
                if (box := self._traded.get(upstream.id)) is not None:
                    self._placed.add((balancer, box))
            else:
                self.judge.close(span, now)

    def _closed_at(self, balancer: int, box: int) -> list[list[int]]:
        if box in self._traded.values():
            return []  # it is reached where a balancer still believes another one, until it reads better
        return self.closed.get(balancer, {}).get(self._ids.number(self.plan.boxes[box].host), [])

    def _make_source(self, seat: Seat, process: Process) -> MakeSource | None:
        if self.plan.scenario.discovery.source == "agent":
            return None
        from lanemux.etcd.member import Target
        from lanemux.etcd.source import Make

        return Make(Target((seat.place.discovery,), f"/rehearsal/{seat.number}/"), process)

    def _write(self, seat: Seat) -> None:
        assert seat.process is not None
        told = configuration(
            f"n{seat.number}",
            seat.place,
            f"{self.plan.seed:x}-{seat.number}-{seat.starts}",
            seat.agent.listing(),
            seat.settings,
            self._sockets,
        )
        seat.process.disk.write(CONFIG, json.dumps(told).encode())

    # -- at the end --

    def _check_rest(self) -> None:
        """Nothing of any request is left at a balancer that has nothing to do."""
        for seat in self._seats:
            if seat.process is None or not seat.process.alive or seat.node is None or seat.module is None:
                continue
            if seat.process.still_until_ns > self.world.agenda.now_ns + SECOND:
                continue
            self._check_list(seat, seat.node)
            held = {**seat.node.held(), **held_by(seat.module.decides), "sends": len(seat.module.out)}
            if isinstance(seat.module.inner, Storm):
                held["storm's"] = seat.module.inner.open
            left = {name: count for name, count in held.items() if count}
            if left:
                self._blame("left", f"balancer {seat.number} at rest still holds {left}")

    def _check_list(self, seat: Seat, node: Node) -> None:
        """What the balancer believes of each box is what it was told last."""
        hosts = [self.plan.boxes[box].host for box in self._said]
        told = {
            host: health for host, (health, _) in zip(hosts, self._said.values(), strict=True) if health != "removed"
        }
        words = {api.State.READY: "up", api.State.DRAINING: "draining"}
        believed = {
            host: words.get(last.upstream.state, "?")
            for host in sorted(node.upstream_set.membership.hosts)
            if (last := node.upstream_set.membership.last(host)) is not None
        }
        if told != believed:
            self._blame("list", f"balancer {seat.number} believes {believed}, told was {told}")

    def _ended(self, process: Process) -> None:
        """A process has come to its end by itself: it must leave nothing."""
        if process.name in ("kit", "boxes"):
            return
        tasks = [t for t in asyncio.all_tasks(process.loop) if t is not process.main]
        timers = process.loop.timers()
        if tasks or timers or process.sockets:
            self._blame(
                "left",
                f"{process.name} ended with {len(tasks)} tasks {[_name(t) for t in tasks]}, "
                f"{len(timers)} timers {sorted({_callback(t) for t in timers})}, "
                f"{len(process.sockets)} descriptors",
            )

    # -- faults --

    def _told(self, kind: str, what: str, label: Label, about: object) -> None:
        """Something has arrived somewhere."""
        event = f"{kind} {what}"
        self._events[event] += 1
        if self._traced:
            size = len(about) if isinstance(about, bytes) else len(about[1].data) if isinstance(about, tuple) else 0
            first = about[1].data[:FIRST_BYTES].split(b"\r\n")[0] if isinstance(about, tuple) else b""
            self.trace(
                f"{label.opener} > {kind} {label.to}",
                f"{what} #{self._events[event]} {size} bytes {ascii(first)[2:-1]}",
            )
        for fault in self._waiting.pop((event, self._events[event]), ()):
            self.world.agenda.after(fault.lag_us * 1000, lambda f=fault: self._do(f, event, (label, about)))  # type: ignore[misc]

    def trace(self, who: str, what: str) -> None:
        if self._traced:
            self.timeline.append(f"{self.now() / 1e9:12.6f}  {who:<22} {what}")

    def _do(self, fault: Fault, event: str, about: tuple[Label, object] | None) -> None:
        """A fault strikes."""
        balancers, boxes = len(self._seats), self.plan.scenario.fleet.boxes
        who = fault.who
        if who == ABOUT_EVENT:
            label = about[0] if about is not None else None
            who = label.to if label is not None else 0
        self.covered[fault.what, event] += 1
        self.world.note("fault", fault.what, who)
        self.trace("fault", f"{fault.what} {who} for {fault.for_ms} ms")
        do = getattr(self, f"_{fault.what}")
        lasts = int(fault.for_ms * MS)
        if fault.what in BOXES:
            do(who % boxes, lasts, about[1] if about is not None else None)
        else:
            do(self._seats[who % balancers], lasts, about[1] if about is not None else None)

    def _later(self, wait_ns: int, do: Callable[[], None]) -> None:
        self.world.agenda.after(wait_ns, do)

    # -- boxes --

    def _tell(self, box: int, health: str, born_ns: int = 0) -> None:
        """Discovery has news: all agents know it at once."""
        self._said[box] = (health, born_ns)
        self.trace("discovery", f"box {box} is {health}")
        self._in(self._kit, self._spread, box, health, born_ns)

    def _spread(self, box: int, health: str, born_ns: int) -> None:
        row, slot = self.plan.boxes[box], self.plan.boxes[box].slot
        for seat in self._seats:
            seat.agent.tell(row, self._addresses[slot][seat.number], Notice(self.now(), box, health, born_ns))

    def _happen(self, what: str, box: int, until_ns: int = 0) -> None:
        self._planned(Happening(self.now(), what, box, until_ns))

    def _planned(self, happening: Happening) -> None:
        assert self._boxes is not None
        self.trace(f"box {happening.who}", happening.what)
        self._in(self._boxes_process, self._boxes.happen, happening)

    def _take(self, box: int) -> bool:
        """A box goes through one change of its life at a time."""
        if box in self._busy_boxes:
            return False
        self._busy_boxes.add(box)
        return True

    def _wait_ns(self, span: tuple[float, float]) -> int:
        return int(self._rng.uniform(*span) * SECOND)

    def _drain(self, box: int, lasts: int, about: object) -> None:
        if self._take(box):
            self._tell(box, "draining")
            self._happen("drain", box)
            self._later(lasts, lambda: self._leave_and_return(box))

    def _leave_and_return(self, box: int) -> None:
        self._happen("leave", box)
        self._tell(box, "removed")
        self._later(BACK_NS, lambda: self._come_back(box))

    def _come_back(self, box: int) -> None:
        """Cold, and told a little later."""
        born = self.now()
        self._happen("start", box)

        def told() -> None:
            self._tell(box, "up", born)
            self._busy_boxes.discard(box)

        self._later(self._wait_ns(self.plan.scenario.discovery.add_s), told)

    def _die(self, box: int, lasts: int, about: object) -> None:
        if self._take(box):
            self._happen("die", box)
            told = self._wait_ns(self.plan.scenario.discovery.notice_s)
            if told < lasts:
                self._later(told, lambda: self._tell(box, "removed"))
            self._later(lasts, lambda: self._come_back(box))

    def _fell(self, box: int, at_ns: int) -> None:
        self.trace(f"box {box}", "falls over")

    def _outage(self, box: int, lasts: int, about: object) -> None:
        boxes = self.plan.scenario.fleet.boxes
        for number in range(-(-boxes // 3)):
            self._die((box + number) % boxes, int(lasts * self._rng.uniform(0.3, 1.0)), None)

    def _freeze(self, box: int, lasts: int, about: object) -> None:
        self._happen("freeze", box, self.now() + lasts)

    def _vanish(self, box: int, lasts: int, about: object) -> None:
        if self._take(box):
            self._happen("vanish", box)

            def back() -> None:
                self._happen("return", box)
                self._busy_boxes.discard(box)

            self._later(lasts, back)

    def _swap(self, box: int, lasts: int, about: object) -> None:
        """The box is gone for good; another one comes up at its address."""
        if not self._take(box) or self._boxes is None:
            return
        self._happen("die", box)
        self._later(self._wait_ns(self.plan.scenario.discovery.notice_s), lambda: self._tell(box, "removed"))
        old, number = self.plan.boxes[box], len(self.plan.boxes)
        self.plan.boxes.append(dataclasses.replace(old, host=f"{old.host}-{number}", seed=old.seed + number))
        self._boxes.hosts.append(Host(self._boxes.world, number, self._addresses[old.slot]))
        self._later(lasts, lambda: self._come_back(number))

    def _trade(self, box: int, lasts: int, about: object) -> None:
        """Two boxes go; each comes back at the other's old address, told as gone in between or not."""
        other = (box + 1) % self.plan.scenario.fleet.boxes
        if other == box or self._boxes is None or other in self._busy_boxes or not self._take(box):
            return
        self._take(other)
        boxes, told = self._boxes, self._rng.random() < TOLD_BETWEEN
        for one in (box, other):
            self._happen("die", one)
            if told:
                self._tell(one, "removed")

        def back() -> None:
            slots = self.plan.boxes[other].slot, self.plan.boxes[box].slot
            for one, slot in zip((box, other), slots, strict=True):
                self._traded[self._ids.number(self.plan.boxes[one].host)] = one
                self.plan.boxes[one] = dataclasses.replace(self.plan.boxes[one], slot=slot)
                boxes.hosts[one].box, boxes.hosts[one].addresses = self.plan.boxes[one], self._addresses[slot]
                self._come_back(one)

        self._later(lasts, back)

    def _stream(self, box: int, about: object) -> End | None:
        """The connection to a box that an event is about, or any to this one."""
        end = about[0] if isinstance(about, tuple) else about
        if isinstance(end, End) and end.label.kind == "box":
            return end
        streams = [e for e in self.world.network.streams if e.label.kind == "box" and e.label.to == box]
        return self._rng.choice(streams) if streams else None

    def _reset(self, box: int, lasts: int, about: object) -> None:
        if (end := self._stream(box, about)) is not None:
            end.cut_off()

    def _mute(self, box: int, lasts: int, about: object) -> None:
        if (end := self._stream(box, about)) is not None:
            end.mute()

    def _hold(self, box: int, lasts: int, about: object) -> None:
        self.world.network.hold("box", box, self.world.agenda.now_ns + lasts)

    def _shut(self, box: int, lasts: int, about: object) -> None:
        self.world.network.shut("box", box, self.world.agenda.now_ns + lasts)

    # -- balancers --

    def _still(self, seat: Seat, lasts: int, about: object) -> None:
        if seat.process is not None and seat.process.alive:
            until = self.world.agenda.now_ns + lasts
            seat.process.stay_still(until)
            self.excuses.away[seat.number].append((self.now(), self.now() + lasts))

    def _lurch(self, seat: Seat, lasts: int, about: object) -> None:
        process = seat.process
        if process is None or not process.alive:
            return

        def lurched(for_ns: int) -> None:
            for one in self._seats:
                self.excuses.away[one.number].append((self.now(), self.now() + for_ns))

        process.lurch_ns, process.lurched = lasts, lurched
        process.lurch_decided = self._rng.random() < DECIDED

    def _lost(self, seat: Seat, lasts: int, about: object) -> None:
        streams = [e for e in self.world.network.streams if e.label.kind == "list" and e.label.to == seat.number]
        for end in streams:
            end.mute()
        self.excuses.unheard[seat.number].append((self.now(), self.now() + LOST_NS))

    def _stop(self, seat: Seat, lasts: int, about: object) -> None:
        process = seat.process
        if process is None or seat.ending or not process.alive:
            return
        seat.ending = True
        self._known(seat, False)
        process.signal(signal.SIGTERM)

        def gone() -> None:
            if process.alive:
                self._later(MS, gone)
            else:
                self._down(seat)
                self._later(lasts, lambda: self._again(seat))

        gone()

    def _kill(self, seat: Seat, lasts: int, about: object) -> None:
        process = seat.process
        if process is None or seat.ending or not process.alive:
            return
        seat.ending = True
        process.kill()
        self._down(seat)
        self._later(self.plan.fronts_notice_ns // 4, lambda: self._known(seat, False) if seat.ending else None)
        self._later(lasts, lambda: self._again(seat))

    def _down(self, seat: Seat) -> None:
        seat.life = Life(seat.number, "down", self.now())
        self.books.balancers_down.append(seat.life)

    def _again(self, seat: Seat) -> None:
        if seat.life is not None:
            seat.life.to_ns = self.now()
        self._start(seat)
        self._later(READY_NS, lambda: self._known(seat, True))

    def _known(self, seat: Seat, there: bool) -> None:
        assert self._front is not None
        (self._front.known.add if there else self._front.known.discard)(seat.number)

    def _hup(self, seat: Seat) -> None:
        if seat.process is not None and seat.process.alive:
            seat.process.signal(signal.SIGHUP)

    def _reload(self, seat: Seat, lasts: int, about: object) -> None:
        self._hup(seat)

    def _move(self, seat: Seat, lasts: int, about: object) -> None:
        """Discovery has another address; for a while the old one tells all the same."""
        old = seat.agent
        if isinstance(old, Agent):
            self._kit.loop.create_task(self._moved(seat, old, lasts))

    async def _moved(self, seat: Seat, old: Agent, lasts: int) -> None:
        seat.moves += 1
        new = seat.agent = old.successor()  # from now on it is told all that the old one is told
        seat.place.discovery = await new.open(f"127.0.{203 + seat.moves % 50}.{seat.number + 1}")
        self.world.network.places[seat.place.discovery] = ("list", seat.number)
        if seat.process is not None:
            self._write(seat)
            self._hup(seat)
        await asyncio.sleep(lasts / SECOND)
        new.alone()
        await old.close()

    def _torn(self, seat: Seat, lasts: int, about: object) -> None:
        if seat.process is None or not seat.process.alive:
            return
        disk = seat.process.disk
        disk.torn = len(disk.files[CONFIG]) // 2
        try:
            self._write(seat)
        except OSError:
            self._hup(seat)

        def mended() -> None:
            self._write(seat)
            self._hup(seat)

        self._later(TORN_FOR_NS, mended)

    def _unread(self, seat: Seat, lasts: int, about: object) -> None:
        if seat.process is None or not seat.process.alive:
            return
        disk = seat.process.disk
        disk.unreadable = True
        self._hup(seat)

        def mended() -> None:
            disk.unreadable = False
            self._hup(seat)

        self._later(TORN_FOR_NS, mended)

    def _deaf(self, seat: Seat, lasts: int, about: object) -> None:
        self.world.network.hold("peer", seat.number, self.world.agenda.now_ns + lasts)

    def _unheard(self, seat: Seat, lasts: int, about: object) -> None:
        self.world.network.hold("list", seat.number, self.world.agenda.now_ns + lasts)
        self.excuses.unheard[seat.number].append((self.now(), self.now() + lasts + ANEW_NS))

    def _full(self, seat: Seat, lasts: int, about: object) -> None:
        process = seat.process
        if process is None or not process.alive:
            return
        process.descriptors = len(process.sockets)
        self.excuses.full[seat.number].append((self.now(), self.now() + lasts + ACCEPT_AGAIN_NS))

        def room() -> None:
            process.descriptors = self._sockets

        self._later(lasts, room)

    def _starved(self, seat: Seat, lasts: int, about: object) -> None:
        process = seat.process
        if process is None or not process.alive:
            return
        process.memory = False
        self.excuses.full[seat.number].append((self.now(), self.now() + lasts + ACCEPT_AGAIN_NS))

        def room() -> None:
            process.memory = True

        self._later(lasts, room)

    def _wall(self, seat: Seat, lasts: int, about: object) -> None:
        if seat.process is not None:
            seat.process.wall_offset_ns += lasts

    # -- clients --

    def _line(self, about: object) -> Line | None:
        """The caller's connection that an event is about, or any on which an answer is due."""
        assert self._callers is not None
        lines = [line for line in self._callers.lines if line.current is not None]
        end = about[0] if isinstance(about, tuple) else about
        if isinstance(end, End) and end.label.kind == "client":
            mine = end if end.opener else end.peer
            lines = [
                line
                for line in lines
                if line.transport is not None and getattr(self._kit.loop.socket_of(line.transport), "end", None) is mine
            ]
        return self._rng.choice(lines) if lines else None

    def _leave(self, seat: Seat, lasts: int, about: object) -> None:
        line = self._line(about)
        if line is not None and line.current is not None:
            self._in(self._kit, line.current.leave)

    def _half(self, seat: Seat, lasts: int, about: object) -> None:
        line = self._line(about)
        if line is not None and line.current is not None:
            self._in(self._kit, line.current.leave, HALF_NS)

    def _double(self, seat: Seat, lasts: int, about: object) -> None:
        """Only what may be repeated: whether the second one is taken for a new request is up to the moment."""
        line = self._line(about)
        if line is not None and line.current is not None and line.current.ask.effect == "safe":
            address = self._seats[line.balancer].place.listen
            self._kit.loop.create_task(self._sent_twice(address, line.sent))

    async def _sent_twice(self, address: Address, data: bytes) -> None:
        try:
            transport, _ = await asyncio.get_running_loop().create_connection(asyncio.Protocol, *address)
        except OSError:
            return
        transport.write(data)
        await asyncio.sleep(DOUBLE_NS / SECOND)
        transport.close()

    # -- lists --

    def _burst(self, seat: Seat, lasts: int, about: object) -> None:
        """The list changes often, and nothing in it."""
        for wait in range(0, lasts, BURST_NS):
            self._later(wait, self._say_again)

    def _say_again(self) -> None:
        box = self._rng.choice(sorted(self._said))
        health, born = self._said[box]
        if health == "up" and box not in self._busy_boxes:
            self._tell(box, health, born)

    def _upset(self, seat: Seat, what: str, lasts: int) -> None:
        self._in(self._kit, seat.agent.upset, Happening(self.now(), what, seat.number, self.now() + lasts))

    def _drop(self, seat: Seat, lasts: int, about: object) -> None:
        self._upset(seat, "drop", lasts)

    def _member(self, seat: Seat, lasts: int, about: object) -> None:
        if self.now() >= seat.member_up_ns:  # one restart at a time
            seat.member_up_ns = self.now() + SECOND
            self._upset(seat, "reset", lasts)

    def _stall(self, seat: Seat, lasts: int, about: object) -> None:
        self._upset(seat, "stall", lasts)

    def _compact(self, seat: Seat, lasts: int, about: object) -> None:
        self._say_again()
        self._upset(seat, "compact", lasts)


def held_by(module: Balancer) -> dict[str, int]:
    """What the decisions keep of requests."""
    return {
        "requests": len(module.requests),
        "held back": sum(len(t.held) for t in module.throttles.values()),
        "in line": sum(len(p.line) for p in module.fleet.pools.values()),
    }


def _name(task: asyncio.Task[Any]) -> str:
    return str(getattr(task.get_coro(), "__qualname__", "?"))


def _callback(handle: asyncio.TimerHandle) -> str:
    return str(getattr(handle, "_callback", "?")).partition(" at 0x")[0]


@contextmanager
def quiet() -> Iterator[None]:
    """No log and no garbage collection while a run lasts: both would cost most of its time."""
    before = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        logging.disable(before)


def play(script: Script, traced: bool = False, made: Setting | None = None, around: Round | None = None) -> Result:
    """Play a script on a virtual clock; `made`: in this setting, and not in that of its seed; `around`: with this
    round the decisions."""
    with quiet():
        return Stage(script, traced, made, around).play()
