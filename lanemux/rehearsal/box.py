"""Simulates how one quote box processes its work: slots, queue, speed, cold start, freeze, overload crash. No I/O.

The caller passes in the time (nanoseconds, monotonic) and the events; the model returns the finished jobs and the
time at which to call it again. Work is measured in nanoseconds of a core of speed 1.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from lanemux.rehearsal.plan import Box
from lanemux.rehearsal.scenario import Fleet

WARM_STEP_NS = 20_000_000  # a cold box's speed is treated as constant over a step of this length
BUDGET_SLACK_NS = 150_000_000  # work of two requests, which may exceed the budget by chance
# Upper bound on what one request counts towards the budget, as a multiple of its class's mean work. The rule is about
# the sum that balancers send; a single heavy request that no balancer could have known to be heavy does not break it.
MAX_COUNTED_WORK = 3.0


@dataclass(slots=True, eq=False)
class Job:
    """The work of one attempt."""

    remaining_ns: float
    done: bool = False


@dataclass(slots=True)
class LoadReport:
    """The load that a box reports at /stats."""

    inflight: int = 0
    queue: int = 0


@dataclass(slots=True)
class BoxModel:
    """One process of a quote box, from its start."""

    box: Box
    fleet: Fleet
    now_ns: int
    cold: bool  # just started, below full speed; False: warm
    cancels_queued: bool = False
    started_ns: int = 0
    running: list[Job] = field(default_factory=list)
    queue: deque[Job] = field(default_factory=deque)
    frozen_until_ns: int = 0
    stolen_share: float = 0.0  # share of the machine used by another program (a noisy neighbour)
    draining: bool = False
    crashed: bool = False
    work_done_ns: float = 0.0  # since its start
    connections: int = 0
    max_budget_share: float = 0.0  # while cold: the largest share of its overload budget used in any window
    _window: deque[tuple[int, float]] = field(default_factory=deque)  # (time, work) of what was sent recently
    _window_work_ns: float = 0.0  # sum of the window
    _load: LoadReport = field(default_factory=LoadReport)
    _load_at_ns: int = -1  # when `_load` was taken

    def __post_init__(self) -> None:
        self.started_ns = self.now_ns

    # -- speed --

    def warm_fraction(self) -> float:
        """Share of full capacity: grows from cold_from to 1 with time or with work done, whichever is further."""
        if not self.cold:
            return 1.0
        progress = max((self.now_ns - self.started_ns) / self.box.cold_ns, self.work_done_ns / self.box.warm_work_ns)
        if progress >= 1:
            self.cold = False
            return 1.0
        return self.box.cold_from + (1 - self.box.cold_from) * progress

    def capacity(self) -> float:
        """Work per nanosecond that it could do now, undisturbed."""
        return self.box.speed * self.fleet.cores * self.warm_fraction()

    def _rate(self) -> float:
        """Work per nanosecond done on each running job."""
        held, cores = len(self.running) + len(self.queue), self.fleet.cores
        rate = self.capacity() * (1 - self.stolen_share)
        rate *= 1 - self.fleet.full_tax * min(1.0, self.connections / self.fleet.connections)
        if held > self.box.thrash_at:
            rate *= 1 - self.box.thrash
        return rate * min(1.0, cores / len(self.running)) / cores

    # -- time --

    def advance(self, now_ns: int) -> list[Job]:
        """Advance to `now_ns`; returns the jobs that finished by then, in order."""
        finished: list[Job] = []
        while self.now_ns < now_ns:
            if self.now_ns < self.frozen_until_ns:
                self.now_ns = min(now_ns, self.frozen_until_ns)
                continue
            if not self.running:
                self.now_ns = now_ns
                break
            rate = self._rate()
            step = min(now_ns - self.now_ns, max(1, int(min(j.remaining_ns for j in self.running) / rate) + 1))
            if self.cold:
                step = min(step, WARM_STEP_NS)
            for job in self.running:
                job.remaining_ns -= rate * step
                self.work_done_ns += rate * step
            self.now_ns += step
            for job in [j for j in self.running if j.remaining_ns <= 0]:
                self._finish(job)
                finished.append(job)
        return finished

    def next_completion_ns(self) -> int | None:
        """When the next job may finish at the current rate; None if none is running."""
        if not self.running:
            return None
        start = max(self.now_ns, self.frozen_until_ns)
        step = int(min(j.remaining_ns for j in self.running) / self._rate()) + 1
        return start + (min(step, WARM_STEP_NS) if self.cold else step)

    def _finish(self, job: Job) -> None:
        job.done = True
        self.running.remove(job)
        if self.queue:
            self.running.append(self.queue.popleft())

    # -- events --

    def offer(self, work_ns: float, mean_ns: float) -> Job | None:
        """Accept an attempt; None if the queue is full or the box drains. Both count towards a cold box's budget."""
        self._record_sent(min(work_ns, MAX_COUNTED_WORK * mean_ns))
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

    def _record_sent(self, work_ns: float) -> None:
        """Record work that was sent; a cold box that is sent more than its budget within the window crashes."""
        window_ns = int(self.fleet.fall_ms * 1_000_000)
        while self._window and self._window[0][0] <= self.now_ns - window_ns:
            self._window_work_ns -= self._window.popleft()[1]
        self._window.append((self.now_ns, work_ns))
        self._window_work_ns += work_ns
        if self.warm_fraction() < 1:
            budget = self.fleet.fall_multiple * self.capacity() * window_ns + BUDGET_SLACK_NS
            self.max_budget_share = max(self.max_budget_share, self._window_work_ns / budget)
            self.crashed = self.crashed or self._window_work_ns > budget

    def add_overhead(self, work_ns: float) -> None:
        """Add overhead (a probe, a handshake) that delays the running work."""
        if self.running:
            self.running[0].remaining_ns += work_ns

    def cancel(self, job: Job) -> None:
        """The client no longer waits: running work continues; queued work is dropped only with `cancels_queued`."""
        if self.cancels_queued and job in self.queue:
            self.queue.remove(job)

    def freeze(self, until_ns: int) -> None:
        """Do no work until then, and leave the load report unchanged."""
        self.frozen_until_ns = max(self.frozen_until_ns, until_ns)

    def report(self) -> LoadReport:
        """The load as of the last refresh, which is done every `report_ns`."""
        if self._load_at_ns < 0 or self.now_ns - self._load_at_ns >= self.box.report_ns:
            self._load = LoadReport(len(self.running) + len(self.queue), len(self.queue))
            self._load_at_ns = self.now_ns
        return self._load
