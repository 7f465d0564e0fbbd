"""Runs one rehearsal: starts the boxes, discovery, balancers and callers, and evaluates what they recorded."""

from __future__ import annotations

import asyncio
import gc
import json
import multiprocessing
import os
import random
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from pathlib import Path

from lanemux.rehearsal import boxes_process
from lanemux.rehearsal.addresses import Address
from lanemux.rehearsal.balancers import (
    BalancerEndpoints,
    BalancerLimits,
    BalancerProcess,
    cpu_pressure_ns,
    free_address,
)
from lanemux.rehearsal.callers import Callers, FrontRouter
from lanemux.rehearsal.flood import CHANGING
from lanemux.rehearsal.loop_timing import LoopLagRecorder, disable_garbage_collector
from lanemux.rehearsal.plan import MS, SECOND, Happening, Notice, Plan, draw_plan, room_of, settings
from lanemux.rehearsal.process_monitor import ProcessMonitor
from lanemux.rehearsal.records import BoxRecords, CallerRecords, StateSpan
from lanemux.rehearsal.registry import DiscoveryAgent, RegistryAgent
from lanemux.rehearsal.relay import Relay
from lanemux.rehearsal.rules import Violation, find_violations
from lanemux.rehearsal.scenario import BALANCER_EVENTS, Scenario
from lanemux.rehearsal.service import Figures, compute_figures, missed_expectations
from lanemux.rehearsal.validity import Validity, assess_validity

START_DELAY_S = 0.3  # between the last balancer becoming ready and the first ask
NEW_CONNECTIONS_AFTER_SIGTERM_NS = 300 * MS  # the front sends new connections this long after SIGTERM
RESTART_READY_S = 10.0  # a restarted balancer must be ready within this time
MONITOR_INTERVAL_S = 1.0  # between samples of the processes
LOG_TAIL_BYTES = 2000  # of a failed balancer's log, shown in its error


class CannotRun(Exception):
    """The rehearsal could not start; the message says why."""


@dataclass(slots=True)
class Run:
    """The results of a finished rehearsal."""

    plan: Plan
    digest: str
    boxes: BoxRecords
    callers: CallerRecords
    figures: Figures
    violations: list[Violation]
    validity: Validity
    crashes: list[str] = field(default_factory=list)
    missed_expectations: list[str] = field(default_factory=list)  # of the scenario's [expect] section
    wall_s: float = 0.0

    @property
    def passed(self) -> bool:
        """Whether no rule was violated, no balancer crashed and no expectation was missed."""
        return not (self.violations or self.crashes or self.missed_expectations)


ProgressCallback = Callable[[float, Callers], None]


async def rehearse(
    scenario: Scenario,
    seed: int,
    command: Sequence[str],
    progress: ProgressCallback | None = None,
    folder: Path | None = None,
) -> Run:
    """Run a scenario against balancers that `command` starts; CannotRun if one does not start.

    Their configurations and logs go to `folder` if given, else to a temporary directory."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as temporary:
        rehearsal = Rehearsal(scenario, seed, command, folder or Path(temporary))
        try:
            await rehearsal.open()
            run = await rehearsal.run(progress)
        finally:
            await rehearsal.close()
            gc.unfreeze()
            gc.enable()
    run.wall_s = time.monotonic() - began
    return run


class Rehearsal:
    """All components of one run: boxes, discovery agents, balancers, relay and callers."""

    def __init__(self, scenario: Scenario, seed: int, command: Sequence[str], folder: Path) -> None:
        self.plan = draw_plan(scenario, seed)
        self.records = CallerRecords()
        self._loop = asyncio.get_running_loop()
        self._command, self._folder = command, folder
        # Concurrent runs on one machine use different parts of the loopback range.
        self._address_prefix = f"127.{64 + os.getpid() % 128}"
        self._start_ns = int(self._loop.time() * 1e9)
        self._agents: list[DiscoveryAgent] = []
        self._balancers: list[BalancerProcess] = []
        self._relay: Relay | None = None
        self._callers: Callers | None = None
        self._timers: list[asyncio.TimerHandle] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._process_monitor = ProcessMonitor(self.records, scenario.fleet.memory_mb)
        self._down_spans: dict[int, StateSpan] = {}
        self._addresses: list[list[Address]] = []
        self._boxes_process: multiprocessing.process.BaseProcess | None = None
        self._pipe: Connection | None = None
        self._box_records: asyncio.Future[BoxRecords] = self._loop.create_future()

    def now(self) -> int:
        return int(self._loop.time() * 1e9) - self._start_ns

    # -- start --

    async def open(self) -> None:
        """Start all components and wait until the balancers are ready."""
        self._loop.set_exception_handler(
            lambda _, context: self.records.faults.append(boxes_process.describe_exception(context))
        )
        await self._start_boxes()
        count = self.plan.scenario.fleet.balancers
        hosts = [f"{self._address_prefix}.200.{b + 1}" for b in range(count)]
        places = [
            BalancerEndpoints(free_address(h), ("", 0), free_address(h, datagrams=True), [], ("", 0)) for h in hosts
        ]
        self._relay = Relay(self.plan.scenario.network, [p.peer_listen for p in places], self.plan.seed)
        peers, broadcast_addresses = await self._relay.open(f"{self._address_prefix}.201.1")
        wall_zero_ms = time.time_ns() // 1_000_000
        new_agent = self._agent_factory(wall_zero_ms)
        limits = BalancerLimits(self.plan.scenario.fleet.memory_mb, self.plan.scenario.fleet.sockets)
        for number, place in enumerate(places):
            agent = new_agent(number)
            self._agents.append(agent)
            place.discovery = await agent.open(f"{self._address_prefix}.202.{number + 1}")
            place.operators = agent.operators_toml() + self.plan.scenario.operators
            place.peers, place.peers_all = peers[number], broadcast_addresses[number]
            for box in self.plan.initial_boxes:
                self._deliver_notice(agent, Notice(0, box, "up", 0), first=True)
            self._balancers.append(
                BalancerProcess(
                    number, self._command, place, self._folder, settings(self.plan, number), self.plan.seed, limits
                )
            )
        for balancer in self._balancers:
            balancer.start(self._agents[balancer.number].snapshot())
        for balancer in self._balancers:
            if not await balancer.wait_until_ready():
                raise CannotRun(f"balancer {balancer.number} did not become ready: {_log_tail(balancer)}")

    async def _start_boxes(self) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self._boxes_process = context.Process(
            target=boxes_process.main,
            daemon=True,
            args=(child_pipe, self.plan.scenario, self.plan.seed, self._address_prefix),
        )
        self._boxes_process.start()
        child_pipe.close()
        _, self._addresses, digest = await boxes_process.receive(self._loop, self._pipe)
        assert digest == self.plan.digest(), "the boxes' process and the callers have different plans"
        self._loop.add_reader(self._pipe.fileno(), self._on_boxes_message)

    def _on_boxes_message(self) -> None:
        """Handle a message of the boxes' process: a box fell over, or the final records arrived."""
        assert self._pipe is not None
        try:
            kind, *arguments = self._pipe.recv()
        except (EOFError, OSError):
            self._loop.remove_reader(self._pipe.fileno())
            if not self._box_records.done():
                self._box_records.set_exception(CannotRun("the boxes' process ended"))
            return
        if kind == "books":
            self._box_records.set_result(arguments[0])
        else:
            box, at_ns = arguments
            delay_s = random.Random(f"{self.plan.seed}/{box}").uniform(*self.plan.scenario.discovery.notice_s)
            self._schedule(at_ns + int(delay_s * SECOND), self._notify_agents, Notice(at_ns, box, "removed", 0))

    def _agent_factory(self, wall_zero_ms: int) -> Callable[[int], DiscoveryAgent]:
        """A function that makes the discovery agent of a balancer, by its number."""
        if self.plan.scenario.discovery.source == "agent":
            return lambda number: RegistryAgent(number, self.now, wall_zero_ms, self.records.told)
        from lanemux.rehearsal.etcd.agent import EtcdAgent  # imported here because it needs the extra `etcd`
        from lanemux.rehearsal.etcd.store import Store

        store = Store()
        return lambda number: EtcdAgent(number, self.now, wall_zero_ms, self.records.told, store)

    def _deliver_notice(self, agent: DiscoveryAgent, notice: Notice, first: bool = False) -> None:
        box = self.plan.boxes[notice.box]
        agent.publish(box, self._addresses[box.slot][agent.balancer], notice, first)

    # -- the run --

    async def run(self, progress: ProgressCallback | None) -> Run:
        """Run the scenario from the first ask to the last answer, and evaluate it."""
        assert self._pipe is not None
        scenario = self.plan.scenario
        self._start_ns = int((self._loop.time() + START_DELAY_S) * 1e9)
        self._pipe.send(("start", self._start_ns))
        front = FrontRouter(
            [room_of(scenario.fleet, b) for b in range(scenario.fleet.balancers)],
            [b.endpoints.listen for b in self._balancers],
        )
        grace_ns = int(scenario.callers.grace_ms * MS)
        callers = self._callers = Callers(self.plan, front, self.records, self._start_ns, grace_ns)
        for notice in self.plan.notices:
            self._schedule(notice.at_ns, self._notify_agents, notice)
        for etcd_fault in self.plan.etcd_faults:
            self._schedule(etcd_fault.at_ns, self._agents[etcd_fault.who].inject_fault, etcd_fault)
        for event in self.plan.happenings:
            if event.what == "flood":
                self._schedule(event.at_ns, self._start_flood, event)
            elif event.what in BALANCER_EVENTS:
                self._schedule(event.at_ns, self._apply_balancer_event, event, front)
        lateness = LoopLagRecorder(self._loop, self.records.lag_ns)
        disable_garbage_collector()
        pressure_before_ns, began = cpu_pressure_ns(), self.now()
        callers.start()
        self._start_task(self._monitor(progress))
        await callers.all_sent.wait()
        longest_deadline_s = max(c.deadline_ms for c in scenario.classes) / 1000
        await asyncio.sleep(longest_deadline_s + grace_ns / 1e9)
        lateness.stop()
        self.records.pressed_share = (cpu_pressure_ns() - pressure_before_ns) / max(1, self.now() - began)
        await self._stop_balancers()
        self._pipe.send(("stop",))
        boxes = await self._box_records
        for span in self._down_spans.values():
            span.to_ns = self.now()
        run_figures = compute_figures(self.plan, boxes, self.records)
        return Run(
            self.plan,
            self.plan.digest(),
            boxes,
            self.records,
            run_figures,
            find_violations(self.plan, boxes, self.records),
            assess_validity(boxes, self.records),
            self.records.crashes + [f"harness: {fault}" for fault in (*boxes.faults, *self.records.faults)],
            missed_expectations(self.plan, run_figures),
        )

    def _schedule(self, at_ns: int, callback: Callable[..., object], *args: object) -> None:
        self._timers.append(self._loop.call_at((self._start_ns + at_ns) / 1e9, callback, *args))

    def _notify_agents(self, notice: Notice) -> None:
        for agent in self._agents:
            self._schedule(self.now() + self.plan.spread_ns[agent.balancer], self._deliver_notice, agent, notice)

    def _start_task(self, coroutine: object) -> None:
        task: asyncio.Task[None] = self._loop.create_task(coroutine)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _apply_balancer_event(self, event: Happening, front: FrontRouter) -> None:
        balancer = self._balancers[event.who]
        if event.what == "kill":
            balancer.kill()
            self._down_spans[event.who] = StateSpan(event.who, "down", self.now())
            self.records.balancers_down.append(self._down_spans[event.who])
            self._schedule(self.now() + self.plan.fronts_notice_ns, front.available.discard, event.who)
        elif event.what == "restart":
            self._start_task(self._terminate_balancer(balancer, event, front))
        else:
            self._start_task(self._restart_balancer(balancer, front))

    async def _terminate_balancer(self, balancer: BalancerProcess, event: Happening, front: FrontRouter) -> None:
        """End a balancer as planned: the front removes it shortly after, clients keep using open connections."""
        number = balancer.number
        self._down_spans[number] = StateSpan(number, "restarting", self.now())
        self.records.balancers_down.append(self._down_spans[number])
        front.terminating.add(number)
        self._schedule(self.now() + NEW_CONNECTIONS_AFTER_SIGTERM_NS, front.available.discard, number)
        fault = await balancer.terminate((self._start_ns + event.until_ns) / 1e9, bool(event.size))
        front.terminating.discard(number)
        front.available.discard(number)
        if fault:
            self.records.crashes.append(f"{fault}: {_log_tail(balancer)}")

    async def _restart_balancer(self, balancer: BalancerProcess, front: FrontRouter) -> None:
        span = self._down_spans.pop(balancer.number, None)
        balancer.start(self._agents[balancer.number].snapshot())
        if span is not None:
            span.to_ns = self.now()
        began = self._loop.time()
        if await balancer.wait_until_ready():
            front.available.add(balancer.number)
        if self._loop.time() - began > RESTART_READY_S and not balancer.expected_down:
            self.records.crashes.append(f"balancer {balancer.number} was not ready within {RESTART_READY_S:.0f} s")

    def _start_flood(self, event: Happening) -> None:
        self._start_task(self._flood(event))

    async def _flood(self, event: Happening) -> None:
        """Flood a balancer with connections, from a separate process so that it does not delay the callers."""
        listen = self._balancers[event.who].endpoints.listen
        seconds = (event.until_ns - event.at_ns) / SECOND
        flood = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lanemux.rehearsal.flood",
            *map(str, listen),
            str(int(event.size)),
            f"{self._address_prefix}.210",
            str(event.sources),
            str(seconds),
            CHANGING if event.changing else str(event.head_lines),
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            output, _ = await flood.communicate()
            self.records.flooded.append(json.loads(output))
        finally:
            if flood.returncode is None:
                flood.kill()

    async def _monitor(self, progress: ProgressCallback | None) -> None:
        """Every second, sample CPU waits and resource usage, record crashes and report progress."""
        while True:
            await self._sample_processes()
            if progress is not None and self._callers is not None:
                progress(self.now() / 1e9, self._callers)
            await asyncio.sleep(MONITOR_INTERVAL_S)

    async def _sample_processes(self) -> None:
        balancers = [b.process.pid for b in self._balancers if b.process is not None and b.process.poll() is None]
        boxes = [self._boxes_process.pid] if self._boxes_process is not None and self._boxes_process.pid else []
        await self._process_monitor.sample([os.getpid(), *boxes], balancers, record_waits=self.now() > SECOND)
        self._record_crashes()

    def _record_crashes(self) -> None:
        for balancer in self._balancers:
            if balancer.crashed:
                balancer.expected_down = True  # record each crash once
                status = balancer.process.returncode if balancer.process is not None else None
                self.records.crashes.append(
                    f"balancer {balancer.number} ended by itself with status {status}: {_log_tail(balancer)}"
                )

    async def _stop_balancers(self) -> None:
        self._record_crashes()
        faults = await asyncio.gather(*(balancer.stop() for balancer in self._balancers))
        for balancer, fault in zip(self._balancers, faults, strict=True):
            if fault:
                self.records.crashes.append(f"{fault}: {_log_tail(balancer)}")

    # -- end --

    async def close(self) -> None:
        """Release everything, also after a failure."""
        for handle in self._timers:
            handle.cancel()
        for task in self._tasks:
            task.cancel()
        if self._callers is not None:
            self._callers.close()
        for balancer in self._balancers:
            balancer.kill()
            if balancer.process is not None:
                balancer.process.wait()
        for agent in self._agents:
            await agent.close()
        if self._relay is not None:
            self._relay.close()
        if self._pipe is not None:
            self._loop.remove_reader(self._pipe.fileno())
            self._pipe.close()
        if self._boxes_process is not None:
            self._boxes_process.join(2.0)
            if self._boxes_process.is_alive():
                self._boxes_process.kill()
                self._boxes_process.join()
        await asyncio.sleep(0)


def _log_tail(balancer: BalancerProcess) -> str:
    """The end of the balancer's log."""
    try:
        return balancer.log.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace").strip() or "the log is empty"
    except OSError:
        return "the log is empty"
