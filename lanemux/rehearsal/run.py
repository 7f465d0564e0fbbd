"""One rehearsal: starts the boxes, discovery, the balancers and the callers, and brings the books together."""

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
from lanemux.rehearsal.balancers import Balancer, Place, free_port, pressed_ns
from lanemux.rehearsal.callers import Callers, Front
from lanemux.rehearsal.looks import Lateness, quiet_collector
from lanemux.rehearsal.plan import MS, SECOND, Happening, Notice, Plan, draw_plan, room_of, settings
from lanemux.rehearsal.process_monitor import ProcessMonitor
from lanemux.rehearsal.records import BoxRecords, CallerRecords, StateSpan
from lanemux.rehearsal.registry import Agent, ListAgent
from lanemux.rehearsal.relay import Relay
from lanemux.rehearsal.rules import Violation, find_violations
from lanemux.rehearsal.scenario import BALANCER_EVENTS, Scenario
from lanemux.rehearsal.service import Figures, compute_figures, missed_expectations
from lanemux.rehearsal.validity import Validity, assess_validity

LEAD_S = 0.3  # from the last balancer's readiness to the first ask
NEW_CONNECTIONS_NS = 300 * MS  # after SIGTERM, new connections go on coming for so long
RESTART_READY_S = 10.0  # a balancer that was started again is ready by then
MONITOR_S = 1.0  # how often the processes are looked at
LOG_TAIL = 2000  # bytes of a failed balancer's log that are shown


class CannotRun(Exception):
    """The rehearsal could not start; the text says why."""


@dataclass(slots=True)
class Run:
    """A rehearsal that is over."""

    plan: Plan
    digest: str
    boxes: BoxRecords
    callers: CallerRecords
    figures: Figures
    violations: list[Violation]
    validity: Validity
    crashes: list[str] = field(default_factory=list)
    missed_expectations: list[str] = field(default_factory=list)  # expectations of the scenario
    wall_s: float = 0.0

    @property
    def passed(self) -> bool:
        """No rule broken, no balancer crashed, no expectation missed."""
        return not (self.violations or self.crashes or self.missed_expectations)


ProgressCallback = Callable[[float, Callers], None]


async def rehearse(
    scenario: Scenario,
    seed: int,
    command: Sequence[str],
    progress: ProgressCallback | None = None,
    folder: Path | None = None,
) -> Run:
    """Play a scenario against balancers that `command` starts; CannotRun if one does not start.

    Their configurations and logs go to `folder`, if one is given."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as temporary:
        stage = Stage(scenario, seed, command, folder or Path(temporary))
        try:
            await stage.open()
            run = await stage.play(progress)
        finally:
            await stage.close()
            gc.unfreeze()
            gc.enable()
    run.wall_s = time.monotonic() - began
    return run


class Stage:
    """All parties of one run."""

    def __init__(self, scenario: Scenario, seed: int, command: Sequence[str], folder: Path) -> None:
        self.plan = draw_plan(scenario, seed)
        self.books = CallerRecords()
        self._loop = asyncio.get_running_loop()
        self._command, self._folder = command, folder
        # Runs beside one another on a machine take other parts of the loopback range.
        self._prefix = f"127.{64 + os.getpid() % 128}"
        self._zero_ns = int(self._loop.time() * 1e9)
        self._agents: list[ListAgent] = []
        self._balancers: list[Balancer] = []
        self._relay: Relay | None = None
        self._callers: Callers | None = None
        self._timers: list[asyncio.TimerHandle] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._processes = ProcessMonitor(self.books)
        self._down: dict[int, StateSpan] = {}
        self._addresses: list[list[Address]] = []
        self._boxes: multiprocessing.process.BaseProcess | None = None
        self._pipe: Connection | None = None
        self._box_books: asyncio.Future[BoxRecords] = self._loop.create_future()

    def now(self) -> int:
        return int(self._loop.time() * 1e9) - self._zero_ns

    # -- start --

    async def open(self) -> None:
        """Start everybody, and wait until the balancers are ready."""
        self._loop.set_exception_handler(lambda _, context: self.books.faults.append(boxes_process.fault_text(context)))
        await self._start_boxes()
        count = self.plan.scenario.fleet.balancers
        hosts = [f"{self._prefix}.200.{b + 1}" for b in range(count)]
        places = [Place(free_port(h), ("", 0), free_port(h, datagrams=True), [], ("", 0)) for h in hosts]
        self._relay = Relay(self.plan.scenario.network, [p.peer_listen for p in places], self.plan.seed)
        peers, everyone = await self._relay.open(f"{self._prefix}.201.1")
        wall_zero_ms = time.time_ns() // 1_000_000
        new_agent = self._source(wall_zero_ms)
        for number, place in enumerate(places):
            agent = new_agent(number)
            self._agents.append(agent)
            place.discovery = await agent.open(f"{self._prefix}.202.{number + 1}")
            place.operators = agent.operators() + self.plan.scenario.operators
            place.peers, place.peers_all = peers[number], everyone[number]
            for box in self.plan.initial_boxes:
                self._notice(agent, Notice(0, box, "up", 0), first=True)
            self._balancers.append(
                Balancer(number, self._command, place, self._folder, settings(self.plan, number), self.plan.seed)
            )
        for balancer in self._balancers:
            balancer.start(self._agents[balancer.number].listing())
        for balancer in self._balancers:
            if not await balancer.ready():
                raise CannotRun(f"balancer {balancer.number} did not become ready: {_tail(balancer)}")

    async def _start_boxes(self) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, theirs = context.Pipe()
        self._boxes = context.Process(
            target=boxes_process.main, daemon=True, args=(theirs, self.plan.scenario, self.plan.seed, self._prefix)
        )
        self._boxes.start()
        theirs.close()
        _, self._addresses, digest = await boxes_process.receive(self._loop, self._pipe)
        assert digest == self.plan.digest(), "boxes and callers play different plans"
        self._loop.add_reader(self._pipe.fileno(), self._heard)

    def _heard(self) -> None:
        """The boxes' process speaks: a box has fallen, or the books are here."""
        assert self._pipe is not None
        try:
            what, *rest = self._pipe.recv()
        except (EOFError, OSError):
            self._loop.remove_reader(self._pipe.fileno())
            if not self._box_books.done():
                self._box_books.set_exception(CannotRun("the boxes' process ended"))
            return
        if what == "books":
            self._box_books.set_result(rest[0])
        else:
            box, at = rest
            wait = random.Random(f"{self.plan.seed}/{box}").uniform(*self.plan.scenario.discovery.notice_s)
            self._at(at + int(wait * SECOND), self._tell, Notice(at, box, "removed", 0))

    def _source(self, wall_zero_ms: int) -> Callable[[int], ListAgent]:
        """What tells each balancer the list."""
        if self.plan.scenario.discovery.source == "agent":
            return lambda number: Agent(number, self.now, wall_zero_ms, self.books.told)
        from lanemux.rehearsal.etcd.agent import EtcdAgent  # only here: it needs the extra `etcd`
        from lanemux.rehearsal.etcd.store import Store

        store = Store()
        return lambda number: EtcdAgent(number, self.now, wall_zero_ms, self.books.told, store)

    def _notice(self, agent: ListAgent, notice: Notice, first: bool = False) -> None:
        box = self.plan.boxes[notice.box]
        agent.tell(box, self._addresses[box.slot][agent.balancer], notice, first)

    # -- the run --

    async def play(self, progress: ProgressCallback | None) -> Run:
        """The run itself, from the first ask to the last answer."""
        assert self._pipe is not None
        scenario = self.plan.scenario
        self._zero_ns = int((self._loop.time() + LEAD_S) * 1e9)
        self._pipe.send(("start", self._zero_ns))
        front = Front(
            [room_of(scenario.fleet, b) for b in range(scenario.fleet.balancers)],
            [b.place.listen for b in self._balancers],
        )
        grace_ns = int(scenario.callers.grace_ms * MS)
        callers = self._callers = Callers(self.plan, front, self.books, self._zero_ns, grace_ns)
        for notice in self.plan.notices:
            self._at(notice.at_ns, self._tell, notice)
        for upset in self.plan.upsets:
            self._at(upset.at_ns, self._agents[upset.who].upset, upset)
        for happening in self.plan.happenings:
            if happening.what == "flood":
                self._at(happening.at_ns, self._spawn_flood, happening)
            elif happening.what in BALANCER_EVENTS:
                self._at(happening.at_ns, self._to_balancer, happening, front)
        lateness = Lateness(self._loop, self.books.lag_ns)
        quiet_collector()
        pressed, began = pressed_ns(), self.now()
        callers.begin()
        self._spawn(self._monitor(progress))
        await callers.done.wait()
        longest = max(c.deadline_ms for c in scenario.classes) / 1000
        await asyncio.sleep(longest + grace_ns / 1e9)
        lateness.stop()
        self.books.pressed_share = (pressed_ns() - pressed) / max(1, self.now() - began)
        await self._stop_balancers()
        self._pipe.send(("stop",))
        boxes = await self._box_books
        for life in self._down.values():
            life.to_ns = self.now()
        found = compute_figures(self.plan, boxes, self.books)
        return Run(
            self.plan,
            self.plan.digest(),
            boxes,
            self.books,
            found,
            find_violations(self.plan, boxes, self.books),
            assess_validity(boxes, self.books),
            self.books.crashes + [f"the kit itself: {fault}" for fault in (*boxes.faults, *self.books.faults)],
            missed_expectations(self.plan, found),
        )

    def _at(self, at_ns: int, do: Callable[..., object], *args: object) -> None:
        self._timers.append(self._loop.call_at((self._zero_ns + at_ns) / 1e9, do, *args))

    def _tell(self, notice: Notice) -> None:
        for agent in self._agents:
            self._at(self.now() + self.plan.spread_ns[agent.balancer], self._notice, agent, notice)

    def _spawn(self, work: object) -> None:
        task: asyncio.Task[None] = self._loop.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _to_balancer(self, happening: Happening, front: Front) -> None:
        balancer = self._balancers[happening.who]
        if happening.what == "kill":
            balancer.kill()
            self._down[happening.who] = StateSpan(happening.who, "down", self.now())
            self.books.balancers_down.append(self._down[happening.who])
            self._at(self.now() + self.plan.fronts_notice_ns, front.known.discard, happening.who)
        elif happening.what == "restart":
            self._spawn(self._end(balancer, happening, front))
        else:
            self._spawn(self._revive(balancer, front))

    async def _end(self, balancer: Balancer, happening: Happening, front: Front) -> None:
        """A planned end: the front takes it out soon after, and clients go on using what is open."""
        who = balancer.number
        self._down[who] = StateSpan(who, "restarting", self.now())
        self.books.balancers_down.append(self._down[who])
        front.ending.add(who)
        self._at(self.now() + NEW_CONNECTIONS_NS, front.known.discard, who)
        fault = await balancer.end_by((self._zero_ns + happening.until_ns) / 1e9, bool(happening.size))
        front.ending.discard(who)
        front.known.discard(who)
        if fault:
            self.books.crashes.append(f"{fault}: {_tail(balancer)}")

    async def _revive(self, balancer: Balancer, front: Front) -> None:
        life = self._down.pop(balancer.number, None)
        balancer.start(self._agents[balancer.number].listing())
        if life is not None:
            life.to_ns = self.now()
        began = self._loop.time()
        if await balancer.ready():
            front.known.add(balancer.number)
        if self._loop.time() - began > RESTART_READY_S and not balancer.meant_down:
            self.books.crashes.append(f"balancer {balancer.number} was not ready within {RESTART_READY_S:.0f} s")

    def _spawn_flood(self, happening: Happening) -> None:
        self._spawn(self._flood(happening))

    async def _flood(self, happening: Happening) -> None:
        """From a process of its own, so that the callers are not late for it."""
        listen = self._balancers[happening.who].place.listen
        seconds = (happening.until_ns - happening.at_ns) / SECOND
        flood = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lanemux.rehearsal.flood",
            *map(str, listen),
            str(int(happening.size)),
            f"{self._prefix}.210",
            str(happening.sources),
            str(seconds),
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            told, _ = await flood.communicate()
            self.books.flooded.append(json.loads(told))
        finally:
            if flood.returncode is None:
                flood.kill()

    async def _monitor(self, progress: ProgressCallback | None) -> None:
        """Once a second: who waits for a processor, what the balancers hold, who has crashed."""
        while True:
            await self._look_at_processes()
            if progress is not None and self._callers is not None:
                progress(self.now() / 1e9, self._callers)
            await asyncio.sleep(MONITOR_S)

    async def _look_at_processes(self) -> None:
        balancers = [b.process.pid for b in self._balancers if b.process is not None and b.process.poll() is None]
        boxes = [self._boxes.pid] if self._boxes is not None and self._boxes.pid else []
        await self._processes.sample([os.getpid(), *boxes], balancers, record_waits=self.now() > SECOND)
        self._note_crashes()

    def _note_crashes(self) -> None:
        for balancer in self._balancers:
            if balancer.crashed:
                balancer.meant_down = True  # told once
                status = balancer.process.returncode if balancer.process is not None else None
                self.books.crashes.append(
                    f"balancer {balancer.number} ended by itself with status {status}: {_tail(balancer)}"
                )

    async def _stop_balancers(self) -> None:
        self._note_crashes()
        faults = await asyncio.gather(*(balancer.stop() for balancer in self._balancers))
        for balancer, fault in zip(self._balancers, faults, strict=True):
            if fault:
                self.books.crashes.append(f"{fault}: {_tail(balancer)}")

    # -- end --

    async def close(self) -> None:
        """Leave nothing behind, also after a failure."""
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
        if self._boxes is not None:
            self._boxes.join(2.0)
            if self._boxes.is_alive():
                self._boxes.kill()
                self._boxes.join()
        await asyncio.sleep(0)


def _tail(balancer: Balancer) -> str:
    """The end of what it wrote."""
    try:
        return balancer.log.read_bytes()[-LOG_TAIL:].decode(errors="replace").strip() or "it wrote nothing"
    except OSError:
        return "it wrote nothing"
