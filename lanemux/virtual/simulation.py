"""One virtual run: the rehearsal kit's callers, boxes and discovery, and real balancers, on one virtual clock."""

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
from lanemux.net.exchange_phase import ExchangePhase
from lanemux.net.node import Node
from lanemux.net.reload import ListSourceSetting
from lanemux.policy import Balancer
from lanemux.rehearsal.addresses import reserve_addresses
from lanemux.rehearsal.balancers import USUAL_LIMITS, BalancerEndpoints, BalancerLimits, configuration
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
from lanemux.virtual.connection_times import ExactConnectionTimes, NoPollTimes
from lanemux.virtual.event_queue import RUN_START_NS
from lanemux.virtual.faults.balancer import BalancerFaults
from lanemux.virtual.faults.box import BoxFaults
from lanemux.virtual.faults.client import ClientFaults
from lanemux.virtual.faults.discovery import DiscoveryFaults
from lanemux.virtual.module_monitor import TIMEOUT_GRACE_NS, ModuleMonitor, ModuleWrapper
from lanemux.virtual.network import Address, Label
from lanemux.virtual.process import Process
from lanemux.virtual.rule_checker import Exemptions, RuleChecker
from lanemux.virtual.script import (
    BOX_FAULTS,
    EVENT_TARGET,
    HOLDING_BACK_FAULTS,
    Fault,
    Script,
    WorldSetup,
    world_setup,
)
from lanemux.virtual.world import World

SETTLE_NS = 8 * SECOND  # after the last request: covers the longest fault and the longest deadline
IDLE_NS = 3 * SECOND  # longer than a balancer keeps any idle connection
SHUTDOWN_NS = 5 * SECOND  # longer than a balancer's drain
CALLER_WAIT_NS = 6 * SECOND  # for how long callers wait for an answer, since a late one may be exempt
TIMELINE_BYTES = 60  # of arrived data, shown in the timeline
# A balancer's client connections: their least limit, and the descriptors that it reserves for other uses.
MIN_CLIENT_CONNECTIONS, RESERVED_DESCRIPTORS = 8, 32
STORM_OPTIONS = StormOptions()
# Happenings of a scenario's own plan that concern boxes.
PLANNED_BOX_CHANGES = ("die", "start", "drain", "leave", "vanish", "return", "freeze", "hang", "late_body", "neighbour")


@dataclass(slots=True)
class Result:
    """The outcome of a run."""

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
    # Faults injected, by name and trigger: an event, or "time".
    covered: Counter[tuple[str, str]] = field(default_factory=Counter)
    timeline: list[str] = field(default_factory=list)


def _storm_module(balancer_module: Balancer, module_settings: api.Settings, seed: int, now: int) -> Module:
    return StormModule(balancer_module, module_settings, STORM_OPTIONS, seed, now)


class Simulation:
    """Sets up all parties of a virtual run, runs it, injects the faults and checks the rules."""

    def __init__(
        self,
        script: Script,
        trace_enabled: bool = False,
        setup: WorldSetup | None = None,
        wrap_module: ModuleWrapper | None = None,
    ) -> None:
        """`setup` replaces that of the seed. `wrap_module` wraps the decision module; by default the storm module does
        in storms, and nothing otherwise."""
        self.script = script
        self._wrap_module = wrap_module or (_storm_module if script.storm else None)
        setup = setup or world_setup(script.seed, script.calm, script.storm)
        self.plan = draw_plan(setup.scenario, script.seed)
        self.drawn_ask_count = len(self.plan.asks)
        if script.asks is not None:
            kept = set(script.asks)
            self.plan.asks = [dataclasses.replace(a) for a in self.plan.asks if a.number in kept]
        self._number_asks()
        self.descriptor_limit = setup.descriptor_limit
        self.world = World(f"{script.seed}/world", setup.links)
        self.world.max_step_ns = setup.max_step_ns
        self.caller_books, self.box_books, self.exemptions = CallerRecords(), BoxRecords(), Exemptions()
        # By balancer and upstream: spans from the news that nothing may be sent there to the news that it is ready.
        self.closed_spans: dict[int, dict[int, list[list[int]]]] = {}
        self.host_ids = Membership(0)  # assigns the same numbers to hosts as every balancer does
        self.checker = RuleChecker(
            self.plan,
            self.box_books,
            self.caller_books,
            self.exemptions,
            self._closed_spans_of,
            lambda balancer, box: box not in self.relocated_boxes.values() or (balancer, box) in self._relocations_read,
            not any(fault.what in HOLDING_BACK_FAULTS for fault in script.faults),
        )
        self.timeline: list[str] = []
        self.covered: Counter[tuple[str, str]] = Counter()
        self._trace_enabled = trace_enabled
        self.rng = random.Random(f"{script.seed}/stage")
        self._event_counts: Counter[str] = Counter()
        self._pending_faults: dict[tuple[str, int], list[Fault]] = {}
        self.boxes_in_transition: set[int] = set()
        # Boxes that restarted at another box's old address, by upstream id.
        self.relocated_boxes: dict[int, int] = {}
        self._relocations_read: set[tuple[int, int]] = set()  # (balancer, such a box) where its new address was read
        self.last_notices: dict[int, tuple[str, int]] = {}  # box -> its last announced health and start time
        self.balancers: list[RestartableBalancer] = []
        self.kit_process = self.world.add_process("kit", 1_000_000)
        self.boxes_process = self.world.add_process("boxes", 1_000_000)
        self.kit_process.check_after_step = self.boxes_process.check_after_step = True  # only they write records
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
        self.world.on_arrival = self._on_arrival
        self.world.after_step = self._check_step
        self.world.on_process_end = self._check_ended_process

    def _number_asks(self) -> None:
        """Renumber the asks by position: requests refer to an ask by its index in the list."""
        self.plan.asks = [dataclasses.replace(a, number=i) for i, a in enumerate(self.plan.asks)]

    def now(self) -> int:
        """Nanoseconds since the start of the run."""
        return self.world.event_queue.now_ns - RUN_START_NS

    def _check_step(self) -> None:
        self.checker.check()
        for balancer in self.balancers:
            if balancer.node is not None and (unread := leftovers.paused_idle_connections(balancer.node)):
                self._report_violation("unread", f"balancer {balancer.number} has {unread} idle connections paused")

    # -- running --

    def play(self) -> Result:
        """Run everything from startup to shutdown and return the result, including violations."""
        try:
            self.kit_process.run(self._open())
            self._run_until(lambda: self.kit_process.main is not None and self.kit_process.main.done(), RUN_START_NS)
            if self.callers is None:
                self._report_violation("crash", f"the world did not come up: {self.kit_process.errors}")
            else:
                self._play()
            self.checker.finish(check_retry_herds=self.script.storm)
        finally:
            self.world.close()
        for process in self.world.processes:
            for fault in process.errors:
                self._report_violation("crash", f"{process.name}: {fault}")
        for part in (self.caller_books.tries, self.box_books.attempts, self.caller_books.told, self.checker.violations):
            self.world.note(part)
        service = compute_figures(self.plan, self.box_books, self.caller_books)
        return Result(
            self.script,
            self.checker.violations,
            self.world.digest(),
            self.drawn_ask_count,
            service,
            self.plan,
            self.caller_books,
            self.box_books,
            self.world.steps,
            self.now() / SECOND,
            self.covered,
            self.timeline,
        )

    def _play(self) -> None:
        for fault in self.script.faults:
            if fault.on:
                self._pending_faults.setdefault((fault.on, fault.nth), []).append(fault)
            else:
                self.world.event_queue.call_at(
                    RUN_START_NS + int(fault.at_ms * MS),
                    lambda f=fault: self._inject(f, "time", None),  # type: ignore[misc]
                )
        for happening in self.plan.happenings:
            if happening.what in PLANNED_BOX_CHANGES:
                self.world.event_queue.call_at(
                    RUN_START_NS + happening.at_ns,
                    lambda h=happening: self._apply_happening(h),  # type: ignore[misc]
                )
        for notice in self.plan.notices:
            self.world.event_queue.call_at(
                RUN_START_NS + notice.at_ns,
                lambda n=notice: self.announce_health(n.box, n.health, n.born_ns),  # type: ignore[misc]
            )
        callers = self.callers
        assert callers is not None
        last = self.plan.asks[-1].at_ns if self.plan.asks else 0
        self._run_until(lambda: False, RUN_START_NS + last + SETTLE_NS)
        self._pending_faults.clear()  # no further faults
        self.call_in(self.kit_process, callers.close)
        self._run_until(lambda: False, self.world.event_queue.now_ns + IDLE_NS)
        self._check_idle_balancers()
        for balancer in self.balancers:
            if balancer.process is not None and not balancer.stopping:
                balancer.stopping = True
                balancer.process.signal(signal.SIGTERM)
        all_ended = self._run_until(
            lambda: all(s.process is None or not s.process.alive for s in self.balancers),
            self.world.event_queue.now_ns + SHUTDOWN_NS,
        )
        if not all_ended:
            self._report_violation("end", "a balancer did not end by its drain")
        if self.boxes is not None:
            self.boxes.stop()

    def _run_until(self, condition: Callable[[], bool], end_ns: int) -> bool:
        return self.world.run(condition, end_ns)

    def _report_violation(self, rule: str, what: str) -> None:
        self.checker.report_violation(rule, self.now(), what)

    def call_in(self, process: Process, callback: Callable[..., object], *args: object) -> None:
        """Call a function in the next turn of a process."""
        process.loop.call_soon(callback, *args)

    # -- startup --

    async def _open(self) -> None:
        """Start all parties; runs in the kit's process."""
        fleet = self.plan.scenario.fleet
        self._open_boxes()
        places = [
            BalancerEndpoints((f"127.0.200.{b + 1}", 8000), ("", 0), (f"127.0.200.{b + 1}", 8001), [], ("", 0))
            for b in range(fleet.balancers)
        ]
        network = self.world.network
        for b, place in enumerate(places):
            network.targets[place.listen], network.targets[place.peer_listen] = ("client", b), ("peer", b)
        self._relay = Relay(self.plan.scenario.network, [p.peer_listen for p in places], self.plan.seed)
        peers, everyone = await self._relay.open("127.0.201.1")
        for owner, row in enumerate(peers):
            for address in (*row, everyone[owner]):
                network.targets.setdefault(address, ("peer", owner))
        new_agent = self._agent_factory()
        for b, place in enumerate(places):
            agent = new_agent(b)
            place.discovery = await agent.open(f"127.0.202.{b + 1}")
            network.targets[place.discovery] = ("list", b)
            place.peers, place.peers_all = peers[b], everyone[b]
            for box in self.plan.initial_boxes:
                self.last_notices[box] = ("up", 0)
                agent.publish(self.plan.boxes[box], self.addresses[box][b], Notice(0, box, "up", 0), True)
            self.balancers.append(RestartableBalancer(b, place, agent, settings(self.plan, b)))
        for balancer in self.balancers:
            self.start(balancer)
        self.front = FrontRouter([room_of(fleet, b) for b in range(fleet.balancers)], [p.listen for p in places])
        self.callers = Callers(self.plan, self.front, self.caller_books, RUN_START_NS, CALLER_WAIT_NS)
        self.callers.start()
        await self.callers.all_sent.wait()
        await asyncio.sleep(3600)  # keep the kit's process alive until the end of the run

    def _open_boxes(self) -> None:
        process = self.boxes_process
        asks = {name: ask for ask in self.plan.asks for name in ask.ids}
        make_socket = cast(Any, process.socket)
        world = BoxContext(
            process.loop,
            self.plan,
            NoPollTimes(),
            self.box_books,
            RUN_START_NS,
            asks,
            self._box_fell_over,
            ExactConnectionTimes(process),
            make_socket,
        )
        self.addresses = reserve_addresses(self.plan, "127.0", make_socket)
        for slot, row in enumerate(self.addresses):
            self.world.network.targets.update({address: ("box", slot) for address in row})
        self.boxes = Boxes(world, self.addresses)
        self.call_in(process, self.boxes.start_initial)
        self.call_in(process, self.boxes.start_schedule, False)

    def _agent_factory(self) -> Callable[[int], DiscoveryAgent]:
        wall_ms = (RUN_START_NS + self.kit_process.wall_offset_ns) // MS
        if self.plan.scenario.discovery.source == "agent":
            return lambda number: RegistryAgent(number, self.now, wall_ms, self.caller_books.told)
        from lanemux.rehearsal.etcd.agent import EtcdAgent
        from lanemux.rehearsal.etcd.store import Store

        store = Store()

        def listen(address: Address) -> Any:
            sock = self.kit_process.socket()
            sock.bind(address)
            return sock

        return lambda number: EtcdAgent(number, self.now, wall_ms, self.caller_books.told, store, listen)

    def start(self, balancer: RestartableBalancer) -> None:
        """Start a process for a balancer, configured with its agent's current list."""
        balancer.starts += 1
        balancer.stopping = False
        disk = balancer.process.disk if balancer.process is not None else None
        process = self.world.add_process(f"n{balancer.number}", self.descriptor_limit)
        # Half of the descriptors are for clients, the other half for connections to boxes.
        connection_limit = max(MIN_CLIENT_CONNECTIONS, (self.descriptor_limit - RESERVED_DESCRIPTORS) // 2)
        self.exemptions.set_at_connection_limit(balancer.number, False, self.now())

        def on_accepted_change(accepted: int) -> None:
            if process is balancer.process:
                self.exemptions.set_at_connection_limit(balancer.number, accepted >= connection_limit, self.now())

        process.on_accepted_change = on_accepted_change
        if disk is not None:
            process.disk = disk
            disk.unreadable = False  # a process starts only once its disk is readable
        balancer.process, balancer.node = process, None
        self.write_configuration(balancer)

        def module(module_settings: api.Settings, seed: int, now: int) -> ModuleMonitor:
            balancer.monitor = ModuleMonitor(
                module_settings,
                seed,
                now,
                self._wrap_module,
                report_violation,
                was_exempt,
                exempt_ns,
                broken_off,
                on_list_update,
                on_send,
            )
            return balancer.monitor

        def report_violation(rule: str, what: str) -> None:
            if process.alive:  # the cleanup after a kill does not count
                self._report_violation(rule, what)

        def on_send() -> None:
            if process.pending_pause_ns and process.pause_before_send:
                process.pause_mid_turn()

        def on_list_update(now: int, update: api.ListUpdate) -> None:
            if process.alive:
                self._on_list_update(balancer.number, now - RUN_START_NS, update)

        def was_exempt(due: int, at: int) -> bool:
            return (
                self.exemptions.exempt_ns(balancer.number, due - RUN_START_NS - TIMEOUT_GRACE_NS, at - RUN_START_NS) > 0
            )

        def exempt_ns(since: int, until: int) -> int:
            return self.exemptions.exempt_ns(balancer.number, since - RUN_START_NS, until - RUN_START_NS)

        def broken_off() -> int:
            """Number of attempts that ended in the middle of a response, in this process."""
            ends = balancer.node.tally.failed_attempts if balancer.node is not None else {}
            return sum(ends.get(ExchangePhase.RECEIVING, {}).values())

        def up(node: Node) -> None:
            balancer.node = node

        async def serving() -> None:
            lists = ListSourceSetting(lambda: self._make_source(balancer, process))
            admission = (lambda limit: ConnectionAdmission(limit, 0.5)) if self.script.storm else None
            await serve(read_config(CONFIGURATION, process), CONFIGURATION, lists, process, module, up, admission)

        process.run(serving())

    def _on_list_update(self, balancer: int, now: int, update: api.ListUpdate) -> None:
        """A balancer has read news: from now on it may send nothing new to upstreams that drain or are gone."""
        spans = self.closed_spans.setdefault(balancer, {})
        whole = update.kind in (api.ListKind.FULL, api.ListKind.CACHED)
        ready = {u.id for u in update.upstreams if u.state is api.State.READY}
        for number in spans if whole else ():
            if number not in ready:
                self.checker.close_span(spans[number], now)
        for upstream in update.upstreams:
            span = spans.setdefault(upstream.id, [])
            if upstream.state is api.State.READY:
                self.checker.reopen_span(span, now)
                if (box := self.relocated_boxes.get(upstream.id)) is not None:
                    self._relocations_read.add((balancer, box))
            else:
                self.checker.close_span(span, now)

    def _closed_spans_of(self, balancer: int, box: int) -> list[list[int]]:
        if box in self.relocated_boxes.values():
            return []  # requests to its address may be meant for the box that was there before
        return self.closed_spans.get(balancer, {}).get(self.host_ids.id_of(self.plan.boxes[box].host), [])

    def _make_source(self, balancer: RestartableBalancer, process: Process) -> SourceFactory | None:
        if self.plan.scenario.discovery.source == "agent":
            return None
        from lanemux.etcd.member import Target
        from lanemux.etcd.source import EtcdSourceFactory

        return EtcdSourceFactory(Target((balancer.place.discovery,), f"/rehearsal/{balancer.number}/"), process)

    def write_configuration(self, balancer: RestartableBalancer) -> None:
        assert balancer.process is not None
        config = configuration(
            f"n{balancer.number}",
            balancer.place,
            f"{self.plan.seed:x}-{balancer.number}-{balancer.starts}",
            balancer.agent.snapshot(),
            balancer.settings,
            BalancerLimits(USUAL_LIMITS.memory_mb, self.descriptor_limit),
        )
        balancer.process.disk.write(CONFIGURATION, json.dumps(config).encode())

    # -- final checks --

    def _check_idle_balancers(self) -> None:
        """An idle balancer must hold no request state."""
        for balancer in self.balancers:
            if (
                balancer.process is None
                or not balancer.process.alive
                or balancer.node is None
                or balancer.monitor is None
            ):
                continue
            if balancer.process.paused_until_ns > self.world.event_queue.now_ns + SECOND:
                continue
            self._check_believed_health(balancer, balancer.node)
            if left := leftovers.requests_held_by(balancer.node, balancer.monitor):
                self._report_violation("left", f"balancer {balancer.number} at rest still holds {left}")

    def _check_believed_health(self, balancer: RestartableBalancer, node: Node) -> None:
        """A balancer must believe of each box what discovery announced last."""
        hosts = [self.plan.boxes[box].host for box in self.last_notices]
        announced = {
            host: health
            for host, (health, _) in zip(hosts, self.last_notices.values(), strict=True)
            if health != "removed"
        }
        believed = leftovers.health_believed_by(node)
        if announced != believed:
            self._report_violation("list", f"balancer {balancer.number} believes {believed}, told was {announced}")

    def _check_ended_process(self, process: Process) -> None:
        """A process that has ended by itself must leave no tasks, timers or descriptors."""
        if process.name in ("kit", "boxes"):
            return
        if left := leftovers.resources_left_by(process):
            self._report_violation("left", left)

    # -- faults --

    def _on_arrival(self, kind: str, what: str, label: Label, about: object) -> None:
        """Count an arrival as an event, add it to the timeline, and schedule the faults that it triggers."""
        event = f"{kind} {what}"
        self._event_counts[event] += 1
        if self._trace_enabled:
            size = len(about) if isinstance(about, bytes) else len(about[1].data) if isinstance(about, tuple) else 0
            first = about[1].data[:TIMELINE_BYTES].split(b"\r\n")[0] if isinstance(about, tuple) else b""
            self.trace(
                f"{label.opener} > {kind} {label.target}",
                f"{what} #{self._event_counts[event]} {size} bytes {ascii(first)[2:-1]}",
            )
        for fault in self._pending_faults.pop((event, self._event_counts[event]), ()):
            self.world.event_queue.call_after(
                fault.lag_us * 1000,
                lambda f=fault: self._inject(f, event, (label, about)),  # type: ignore[misc]
            )

    def trace(self, who: str, what: str) -> None:
        """Add a line to the timeline if tracing is enabled."""
        if self._trace_enabled:
            self.timeline.append(f"{self.now() / 1e9:12.6f}  {who:<22} {what}")

    def _inject(self, fault: Fault, event: str, about: tuple[Label, object] | None) -> None:
        """Inject a fault; `about` is the label of its event and what arrived, None if it has a time."""
        balancers, boxes = len(self.balancers), self.plan.scenario.fleet.boxes
        who = fault.who
        if who == EVENT_TARGET:
            label = about[0] if about is not None else None
            who = label.target if label is not None else 0
        self.covered[fault.what, event] += 1
        self.world.note("fault", fault.what, who)
        self.trace("fault", f"{fault.what} {who} for {fault.for_ms} ms")
        duration_ns = int(fault.for_ms * MS)
        arrived = about[1] if about is not None else None
        if fault.what in BOX_FAULTS:
            self._box_faults.by_name[fault.what](who % boxes, duration_ns, arrived)
        else:
            self._balancer_faults[fault.what](self.balancers[who % balancers], duration_ns, arrived)

    def call_later(self, delay_ns: int, callback: Callable[[], None]) -> None:
        """Call a function after a delay on the virtual clock."""
        self.world.event_queue.call_after(delay_ns, callback)

    # -- called by the faults --

    def announce_health(self, box: int, health: str, born_ns: int = 0) -> None:
        """Announce a box's health: all discovery agents learn it at once."""
        self.last_notices[box] = (health, born_ns)
        self.trace("discovery", f"box {box} is {health}")
        self.call_in(self.kit_process, self._tell_agents, box, health, born_ns)

    def _tell_agents(self, box: int, health: str, born_ns: int) -> None:
        row, slot = self.plan.boxes[box], self.plan.boxes[box].slot
        for balancer in self.balancers:
            balancer.agent.publish(row, self.addresses[slot][balancer.number], Notice(self.now(), box, health, born_ns))

    def change_box(self, what: str, box: int, until_ns: int = 0) -> None:
        """Apply a change to a box now."""
        self._apply_happening(Happening(self.now(), what, box, until_ns))

    def _apply_happening(self, happening: Happening) -> None:
        assert self.boxes is not None
        self.trace(f"box {happening.who}", happening.what)
        self.call_in(self.boxes_process, self.boxes.apply, happening)

    def _box_fell_over(self, box: int, at_ns: int) -> None:
        self.trace(f"box {box}", "falls over")


@contextmanager
def no_logging_or_gc() -> Iterator[None]:
    """Disable logging and garbage collection during a run: they would take most of its time."""
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
    script: Script,
    trace_enabled: bool = False,
    setup: WorldSetup | None = None,
    wrap_module: ModuleWrapper | None = None,
) -> Result:
    """Run a script on a virtual clock; `setup` and `wrap_module` as for `Simulation`."""
    with no_logging_or_gc():
        return Simulation(script, trace_enabled, setup, wrap_module).play()
