"""What one quote box does with the work it is sent: slots, queue, speed, cold start, freeze, fall. No I/O.

The model is handed the time (nanoseconds, never backwards) and told what happens; it answers what is done and
when to look again. Work is in nanoseconds of a core of speed 1.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from lanemux.rehearsal.plan import Box
from lanemux.rehearsal.scenario import Fleet

WARM_STEP_NS = 20_000_000  # a cold box's speed is taken as even for so long
FALL_SLACK_NS = 150_000_000  # two requests' work above the budget are chance
HEAVIEST = 3.0  # times a class's mean work that one request counts for in the budget: the rule is on what
# balancers send together; the heavy request that nobody could know to be so is not pushing


@dataclass(slots=True, eq=False)
class Job:
    """One attempt's work."""

    left_ns: float
    done: bool = False


@dataclass(slots=True)
class Load:
    """What a report tells."""

    inflight: int = 0
    queue: int = 0


@dataclass(slots=True)
class BoxModel:
    """One process of a quote box, from its start on."""

    box: Box
    fleet: Fleet
    now_ns: int
    cold: bool  # it has just started; else it is warm
    cancels_queued: bool = False
    born_ns: int = 0
    running: list[Job] = field(default_factory=list)
    queue: deque[Job] = field(default_factory=deque)
    frozen_until_ns: int = 0
    stolen_share: float = 0.0  # share of the machine that another program takes
    draining: bool = False
    crashed: bool = False
    worked_ns: float = 0.0  # since its start
    connections: int = 0
    max_budget_share: float = 0.0  # largest share of its budget in any window while it was cold
    _window: deque[tuple[int, float]] = field(default_factory=deque)  # what was sent, and when
    _sent_ns: float = 0.0  # sum of the window
    _load: Load = field(default_factory=Load)
    _load_ns: int = -1

    def __post_init__(self) -> None:
        self.born_ns = self.now_ns

    # -- what it can do --

    def warm_fraction(self) -> float:
        """The share of its capacity that it has: from cold_from to 1, by time or by work done."""
        if not self.cold:
            return 1.0
        part = max((self.now_ns - self.born_ns) / self.box.cold_ns, self.worked_ns / self.box.warm_work_ns)
        if part >= 1:
            self.cold = False
            return 1.0
        return self.box.cold_from + (1 - self.box.cold_from) * part

    def capacity(self) -> float:
        """Work a nanosecond that it could do now, undisturbed."""
        return self.box.speed * self.fleet.cores * self.warm_fraction()

    def _rate(self) -> float:
        """Work a nanosecond that goes into each running job."""
        held, cores = len(self.running) + len(self.queue), self.fleet.cores
        rate = self.capacity() * (1 - self.stolen_share)
        rate *= 1 - self.fleet.full_tax * min(1.0, self.connections / self.fleet.connections)
        if held > self.box.thrash_at:
            rate *= 1 - self.box.thrash
        return rate * min(1.0, cores / len(self.running)) / cores

    # -- time --

    def advance(self, now_ns: int) -> list[Job]:
        """Work on until now; the jobs that were finished by then, in order."""
        finished: list[Job] = []
        while self.now_ns < now_ns:
            if self.now_ns < self.frozen_until_ns:
                self.now_ns = min(now_ns, self.frozen_until_ns)
                continue
            if not self.running:
                self.now_ns = now_ns
                break
            rate = self._rate()
            step = min(now_ns - self.now_ns, max(1, int(min(j.left_ns for j in self.running) / rate) + 1))
            if self.cold:
                step = min(step, WARM_STEP_NS)
            for job in self.running:
                job.left_ns -= rate * step
                self.worked_ns += rate * step
            self.now_ns += step
            for job in [j for j in self.running if j.left_ns <= 0]:
                self._leave(job)
                finished.append(job)
        return finished

    def next_completion_ns(self) -> int | None:
        """When the next job may be done, as things stand; None: none is running."""
        if not self.running:
            return None
        start = max(self.now_ns, self.frozen_until_ns)
        step = int(min(j.left_ns for j in self.running) / self._rate()) + 1
        return start + (min(step, WARM_STEP_NS) if self.cold else step)

    def _leave(self, job: Job) -> None:
        job.done = True
        self.running.remove(job)
        if self.queue:
            self.running.append(self.queue.popleft())

    # -- what is done to it --

    def offer(self, work_ns: float, mean_ns: float) -> Job | None:
        """Take an attempt, or turn it away: the queue is full, or it drains. Both push a cold box."""
        self._push(min(work_ns, HEAVIEST * mean_ns))
        if self.crashed or self.draining:
            return None
        job = Job(work_ns)
        if len(self.running) < self.fleet.slots_per_core * self.fleet.cores:
            self.running.append(job)
        elif len(self.queue) < self.box.queue:
            self.queue.append(job)
        else:
            return None
        return job

    def _push(self, work_ns: float) -> None:
        """Book what was sent; a cold box that is sent too much within the window falls over."""
        span = int(self.fleet.fall_ms * 1_000_000)
        while self._window and self._window[0][0] <= self.now_ns - span:
            self._sent_ns -= self._window.popleft()[1]
        self._window.append((self.now_ns, work_ns))
        self._sent_ns += work_ns
        if self.warm_fraction() < 1:
            budget = self.fleet.fall_multiple * self.capacity() * span + FALL_SLACK_NS
            self.max_budget_share = max(self.max_budget_share, self._sent_ns / budget)
            self.crashed = self.crashed or self._sent_ns > budget

    def charge(self, work_ns: float) -> None:
        """Other work (a probe, a handshake) that is done before what is running goes on."""
        if self.running:
            self.running[0].left_ns += work_ns

    def cancel(self, job: Job) -> None:
        """Nobody waits any more: what runs goes on; what waits is dropped where the day has it so."""
        if self.cancels_queued and job in self.queue:
            self.queue.remove(job)

    def freeze(self, until_ns: int) -> None:
        """Stand still until then: no work is done, and the report stays as it is."""
        self.frozen_until_ns = max(self.frozen_until_ns, until_ns)

    def report(self) -> Load:
        """What it holds, as last refreshed."""
        if self._load_ns < 0 or self.now_ns - self._load_ns >= self.box.report_ns:
            self._load = Load(len(self.running) + len(self.queue), len(self.queue))
            self._load_ns = self.now_ns
        return self._load
