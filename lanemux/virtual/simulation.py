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
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any, cast

from lanemux import interface as api
from lanemux.core.membership import Membership
from lanemux.core.source import SourceFactory
from lanemux.net.config import read_config
from lanemux.net.daemon import serve
from lanemux.net.decisions import Module
from lanemux.net.node import Node
from lanemux.net.reload import ListSourceSetting
from lanemux.policy import Balancer
from lanemux.rehearsal.addresses import reserve_addresses
from lanemux.rehearsal.balancers import BalancerEndpoints, configuration
from lanemux.rehearsal.box_context import BoxContext
from lanemux.rehearsal.boxes import Boxes
from lanemux.rehearsal.callers import Callers, FrontRouter
from lanemux.rehearsal.plan import MS, SECOND, Happening, Notice, Plan, draw_plan, room_of, settings
from lanemux.rehearsal.records import BoxRecords, CallerRecords
from lanemux.rehearsal.registry import DiscoveryAgent, RegistryAgent
from lanemux.rehearsal.relay import Relay
from lanemux.rehearsal.rules import Violation
from lanemux.rehearsal.service import Figures, compute_figures
from lanemux.storm.connection_admission import ConnectionAdmission
from lanemux.storm.module import StormModule, StormOptions
from lanemux.virtual import leftovers
from lanemux.virtual.balancer import CONFIGURATION, RestartableBalancer
from lanemux.virtual.event_queue import ZERO_NS
from lanemux.virtual.faults.balancer import BalancerFaults
from lanemux.virtual.faults.box import BoxFaults
from lanemux.virtual.faults.client import ClientFaults
from lanemux.virtual.faults.discovery import DiscoveryFaults
from lanemux.virtual.network import Address, Label
from lanemux.virtual.observed import OVER_NS, ModuleWrapper, Observed
from lanemux.virtual.process import Process
from lanemux.virtual.rule_checker import Excuses, RuleChecker
from lanemux.virtual.script import ABOUT_EVENT, BOXES, Fault, Script, WorldSetup, world_setup
from lanemux.virtual.sight import ExactSight, NoLooks
from lanemux.virtual.world import World

AFTER_LAST_NS = 8 * SECOND  # from the last ask to the quiet: the longest fault and the longest deadline
QUIET_NS = 3 * SECOND  # longer than any connection stays idle at a balancer
LEAVE_NS = 5 * SECOND  # longer than a balancer's drain
WAIT_NS = 6 * SECOND  # callers wait so long for an answer that may be excused
FIRST_BYTES = 60  # of what arrives, shown in the timeline
LEAST_PLACES, SPARE_SOCKETS = 8, 32  # for clients' connections: what a balancer may keep of its descriptors for others
STORM_PLAN = StormOptions()
PLANNED = ("die", "start", "drain", "leave", "vanish", "return", "freeze", "neighbour")  # a plan's own, of boxes


@dataclass(slots=True)
class Result:
    """A run that is over."""

    script: Script
    violations: list[Violation]
    digest: str
    asks: int
    figures: Figures
    plan: Plan
    books: CallerRecords
    boxes: BoxRecords
    steps: int = 0
    virtual_s: float = 0.0
    covered: Counter[tuple[str, str]] = field(default_factory=Counter)  # (fault, event that brought it, or "time")
    timeline: list[str] = field(default_factory=list)


def _storm(decides: Balancer, told: api.Settings, seed: int, now: int) -> Module:
    return StormModule(decides, told, STORM_PLAN, seed, now)


class Simulation:
    """All parties of one virtual run."""

    def __init__(
        self,
        script: Script,
        traced: bool = False,
        setup: WorldSetup | None = None,
        wrap_module: ModuleWrapper | None = None,
    ) -> None:
        """`wrap_module`: round the decisions; None: the storm's module in storms, else nothing."""
        self.script = script
        self._wrap_module = wrap_module or (_storm if script.storm else None)
        setup = setup or world_setup(script.seed, script.calm, script.storm)
        self.plan = draw_plan(setup.scenario, script.seed)
        self.drawn = len(self.plan.asks)
        if script.asks is not None:
            kept = set(script.asks)
            self.plan.asks = [dataclasses.replace(a) for a in self.plan.asks if a.number in kept]
        self._number_asks()
        self.sockets = setup.sockets
        self.world = World(f"{script.seed}/world", setup.weather)
        self.world.busy_ns = setup.busy_ns
        self.books, self.boxes_books, self.excuses = CallerRecords(), BoxRecords(), Excuses()
        self.closed: dict[int, dict[int, list[list[int]]]] = {}  # balancer -> upstream -> spans from read news to news
        self.ids = Membership(0)  # numbers hosts as every balancer does
        self.judge = RuleChecker(
            self.plan,
            self.boxes_books,
            self.books,
            self.excuses,
            self._closed_at,
            lambda balancer, box: box not in self.traded.values() or (balancer, box) in self._placed,
        )
        self.timeline: list[str] = []
        self.covered: Counter[tuple[str, str]] = Counter()
        self._traced = traced
        self.rng = random.Random(f"{script.seed}/stage")
        self._events: Counter[str] = Counter()
        self._waiting: dict[tuple[str, int], list[Fault]] = {}
        self.busy_boxes: set[int] = set()
        self.traded: dict[int, int] = {}  # boxes that came up at another's old address, by their upstreams' numbers
        self._placed: set[tuple[int, int]] = set()  # balancers that have read of such a box where it is
        self.said: dict[int, tuple[str, int]] = {}
        self.balancers: list[RestartableBalancer] = []
        self.kit = self.world.process("kit", 1_000_000)
        self.boxes_process = self.world.process("boxes", 1_000_000)
        self.kit.judged = self.boxes_process.judged = True  # books are kept there alone
        self.addresses: list[list[Address]] = []
        self._relay: Relay | None = None
        self.front: FrontRouter | None = None
        self.callers: Callers | None = None
        self.boxes: Boxes | None = None
        self._box_faults = BoxFaults(self)
        self._balancer_faults = {
            **BalancerFaults(self).by_name,
            **ClientFaults(self).by_name,
            **DiscoveryFaults(self).by_name,
        }
        self.world.told = self._told
        self.world.after_step = self.judge.look
        self.world.ended = self._ended

    def _number_asks(self) -> None:
        """Requests name their asks by number: it is their place in the list."""
        self.plan.asks = [dataclasses.replace(a, number=i) for i, a in enumerate(self.plan.asks)]

    def now(self) -> int:
        """Nanoseconds since the first moment of the run."""
        return self.world.agenda.now_ns - ZERO_NS

    # -- the whole run --

    def play(self) -> Result:
        """From the first socket to the last; the violations found are in the result."""
        try:
            self.kit.run(self._open())
            self._until(lambda: self.kit.main is not None and self.kit.main.done(), ZERO_NS)
            if self.callers is None:
                self._blame("crash", f"the world did not come up: {self.kit.faults}")
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
        found = compute_figures(self.plan, self.boxes_books, self.books)
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
            self.world.agenda.at(ZERO_NS + notice.at_ns, lambda n=notice: self.tell(n.box, n.health, n.born_ns))  # type: ignore[misc]
        callers = self.callers
        assert callers is not None
        last = self.plan.asks[-1].at_ns if self.plan.asks else 0
        self._until(lambda: False, ZERO_NS + last + AFTER_LAST_NS)
        self._waiting.clear()  # nothing goes wrong any more
        self.run_in(self.kit, callers.close)
        self._until(lambda: False, self.world.agenda.now_ns + QUIET_NS)
        self._check_rest()
        for balancer in self.balancers:
            if balancer.process is not None and not balancer.ending:
                balancer.ending = True
                balancer.process.signal(signal.SIGTERM)
        gone = self._until(
            lambda: all(s.process is None or not s.process.alive for s in self.balancers),
            self.world.agenda.now_ns + LEAVE_NS,
        )
        if not gone:
            self._blame("end", "a balancer did not end by its drain")
        if self.boxes is not None:
            self.boxes.stop()

    def _until(self, true: Callable[[], bool], end_ns: int) -> bool:
        return self.world.run(true, end_ns)

    def _blame(self, rule: str, what: str) -> None:
        self.judge.accuse(rule, self.now(), what)

    def run_in(self, process: Process, do: Callable[..., object], *args: object) -> None:
        """Have a process do it in its next turn."""
        process.loop.call_soon(do, *args)

    # -- coming up --

    async def _open(self) -> None:
        """In the kit's process: bring everybody up."""
        fleet = self.plan.scenario.fleet
        self._open_boxes()
        places = [
            BalancerEndpoints((f"127.0.200.{b + 1}", 8000), ("", 0), (f"127.0.200.{b + 1}", 8001), [], ("", 0))
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
            for box in self.plan.initial_boxes:
                self.said[box] = ("up", 0)
                agent.publish(self.plan.boxes[box], self.addresses[box][b], Notice(0, box, "up", 0), True)
            self.balancers.append(RestartableBalancer(b, place, agent, settings(self.plan, b)))
        for balancer in self.balancers:
            self.start(balancer)
        self.front = FrontRouter([room_of(fleet, b) for b in range(fleet.balancers)], [p.listen for p in places])
        self.callers = Callers(self.plan, self.front, self.books, ZERO_NS, WAIT_NS)
        self.callers.start()
        await self.callers.all_sent.wait()
        await asyncio.sleep(3600)  # the kit's process stays until the world ends

    def _open_boxes(self) -> None:
        process = self.boxes_process
        asks = {name: ask for ask in self.plan.asks for name in ask.ids}
        make = cast(Any, process.socket)
        world = BoxContext(
            process.loop, self.plan, NoLooks(), self.boxes_books, ZERO_NS, asks, self._fell, ExactSight(process), make
        )
        self.addresses = reserve_addresses(self.plan, "127.0", make)
        for slot, row in enumerate(self.addresses):
            self.world.network.places.update({address: ("box", slot) for address in row})
        self.boxes = Boxes(world, self.addresses)
        self.run_in(process, self.boxes.start_initial)
        self.run_in(process, self.boxes.start_schedule, False)

    def _source(self) -> Callable[[int], DiscoveryAgent]:
        wall_ms = (ZERO_NS + self.kit.wall_offset_ns) // MS
        if self.plan.scenario.discovery.source == "agent":
            return lambda number: RegistryAgent(number, self.now, wall_ms, self.books.told)
        from lanemux.rehearsal.etcd.agent import EtcdAgent
        from lanemux.rehearsal.etcd.store import Store

        store = Store()

        def listen(address: Address) -> Any:
            made = self.kit.socket()
            made.bind(address)
            return made

        return lambda number: EtcdAgent(number, self.now, wall_ms, self.books.told, store, listen)

    def start(self, balancer: RestartableBalancer) -> None:
        """A balancer's process comes up, with the list as its agent has it."""
        balancer.starts += 1
        balancer.ending = False
        disk = balancer.process.disk if balancer.process is not None else None
        process = self.world.process(f"n{balancer.number}", self.sockets)
        places = max(LEAST_PLACES, (self.sockets - SPARE_SOCKETS) // 2)  # the other half are for connections to boxes
        self.excuses.crowd(balancer.number, False, self.now())

        def entered(accepted: int) -> None:
            if process is balancer.process:
                self.excuses.crowd(balancer.number, accepted >= places, self.now())

        process.entered = entered
        if disk is not None:
            process.disk = disk
            disk.unreadable = False  # a start waits for its disk
        balancer.process, balancer.node = process, None
        self.write_configuration(balancer)

        def module(told: api.Settings, seed: int, now: int) -> Observed:
            balancer.module = Observed(told, seed, now, self._wrap_module, accuse, excused, listed, sending)
            return balancer.module

        def accuse(rule: str, what: str) -> None:
            if process.alive:  # what is cleared away behind a killed one is nobody's fault
                self._blame(rule, what)

        def sending() -> None:
            if process.lurch_ns and process.lurch_decided:
                process.lurch()

        def listed(now: int, update: api.ListUpdate) -> None:
            if process.alive:
                self._listed(balancer.number, now - ZERO_NS, update)

        def excused(due: int, at: int) -> bool:
            return self.excuses.late_ns(balancer.number, due - ZERO_NS - OVER_NS, at - ZERO_NS) > 0

        def up(node: Node) -> None:
            balancer.node = node

        async def serving() -> None:
            lists = ListSourceSetting(lambda: self._make_source(balancer, process))
            admission = (lambda places: ConnectionAdmission(places, 0.5)) if self.script.storm else None
            await serve(read_config(CONFIGURATION, process), CONFIGURATION, lists, process, module, up, admission)

        process.run(serving())

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
                if (box := self.traded.get(upstream.id)) is not None:
                    self._placed.add((balancer, box))
            else:
                self.judge.close(span, now)

    def _closed_at(self, balancer: int, box: int) -> list[list[int]]:
        if box in self.traded.values():
            return []  # it is reached where a balancer still believes another one, until it reads better
        return self.closed.get(balancer, {}).get(self.ids.id_of(self.plan.boxes[box].host), [])

    def _make_source(self, balancer: RestartableBalancer, process: Process) -> SourceFactory | None:
        if self.plan.scenario.discovery.source == "agent":
            return None
        from lanemux.etcd.member import Target
        from lanemux.etcd.source import EtcdSourceFactory

        return EtcdSourceFactory(Target((balancer.place.discovery,), f"/rehearsal/{balancer.number}/"), process)

    def write_configuration(self, balancer: RestartableBalancer) -> None:
        assert balancer.process is not None
        told = configuration(
            f"n{balancer.number}",
            balancer.place,
            f"{self.plan.seed:x}-{balancer.number}-{balancer.starts}",
            balancer.agent.snapshot(),
            balancer.settings,
            self.sockets,
        )
        balancer.process.disk.write(CONFIGURATION, json.dumps(told).encode())

    # -- at the end --

    def _check_rest(self) -> None:
        """Nothing of any request is left at a balancer that has nothing to do."""
        for balancer in self.balancers:
            if (
                balancer.process is None
                or not balancer.process.alive
                or balancer.node is None
                or balancer.module is None
            ):
                continue
            if balancer.process.still_until_ns > self.world.agenda.now_ns + SECOND:
                continue
            self._check_list(balancer, balancer.node)
            if left := leftovers.held_at(balancer.node, balancer.module):
                self._blame("left", f"balancer {balancer.number} at rest still holds {left}")

    def _check_list(self, balancer: RestartableBalancer, node: Node) -> None:
        """What the balancer believes of each box is what it was told last."""
        hosts = [self.plan.boxes[box].host for box in self.said]
        told = {
            host: health for host, (health, _) in zip(hosts, self.said.values(), strict=True) if health != "removed"
        }
        believed = leftovers.believed_by(node)
        if told != believed:
            self._blame("list", f"balancer {balancer.number} believes {believed}, told was {told}")

    def _ended(self, process: Process) -> None:
        """A process has come to its end by itself: it must leave nothing."""
        if process.name in ("kit", "boxes"):
            return
        if left := leftovers.left_by(process):
            self._blame("left", left)

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
        """A line of the timeline, where one is kept."""
        if self._traced:
            self.timeline.append(f"{self.now() / 1e9:12.6f}  {who:<22} {what}")

    def _do(self, fault: Fault, event: str, about: tuple[Label, object] | None) -> None:
        """A fault strikes."""
        balancers, boxes = len(self.balancers), self.plan.scenario.fleet.boxes
        who = fault.who
        if who == ABOUT_EVENT:
            label = about[0] if about is not None else None
            who = label.to if label is not None else 0
        self.covered[fault.what, event] += 1
        self.world.note("fault", fault.what, who)
        self.trace("fault", f"{fault.what} {who} for {fault.for_ms} ms")
        lasts_ns = int(fault.for_ms * MS)
        told = about[1] if about is not None else None
        if fault.what in BOXES:
            self._box_faults.by_name[fault.what](who % boxes, lasts_ns, told)
        else:
            self._balancer_faults[fault.what](self.balancers[who % balancers], lasts_ns, told)

    def later(self, wait_ns: int, do: Callable[[], None]) -> None:
        """Do it after so long on the virtual clock."""
        self.world.agenda.after(wait_ns, do)

    # -- what faults do to boxes --

    def tell(self, box: int, health: str, born_ns: int = 0) -> None:
        """Discovery has news: all agents know it at once."""
        self.said[box] = (health, born_ns)
        self.trace("discovery", f"box {box} is {health}")
        self.run_in(self.kit, self._spread, box, health, born_ns)

    def _spread(self, box: int, health: str, born_ns: int) -> None:
        row, slot = self.plan.boxes[box], self.plan.boxes[box].slot
        for balancer in self.balancers:
            balancer.agent.publish(row, self.addresses[slot][balancer.number], Notice(self.now(), box, health, born_ns))

    def happen(self, what: str, box: int, until_ns: int = 0) -> None:
        """A change in the life of a box, now."""
        self._planned(Happening(self.now(), what, box, until_ns))

    def _planned(self, happening: Happening) -> None:
        assert self.boxes is not None
        self.trace(f"box {happening.who}", happening.what)
        self.run_in(self.boxes_process, self.boxes.apply, happening)

    def _fell(self, box: int, at_ns: int) -> None:
        self.trace(f"box {box}", "falls over")

    # -- balancers --

    # -- clients --

    # -- lists --


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


def play(
    script: Script, traced: bool = False, setup: WorldSetup | None = None, wrap_module: ModuleWrapper | None = None
) -> Result:
    """Play a script on a virtual clock; `setup`: in this setting, and not in that of its seed; `wrap_module`: with this
    round the decisions."""
    with quiet():
        return Simulation(script, traced, setup, wrap_module).play()
