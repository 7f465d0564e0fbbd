"""All quote boxes of a run on their sockets, and the plan's faults done to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lanemux.rehearsal.addresses import Address
from lanemux.rehearsal.books import BoxBooks
from lanemux.rehearsal.box_context import BoxContext
from lanemux.rehearsal.box_host import BoxHost
from lanemux.rehearsal.loop_timing import LoopLagRecorder
from lanemux.rehearsal.plan import Happening
from lanemux.rehearsal.scenario import AT_BALANCERS

LOAD_SAMPLE_INTERVAL_S = 0.1  # how often the books note what each box holds
SWEEP_S = 1.0  # and connections that stood idle are looked for


class Boxes:
    """All boxes of a run, and what the plan does to them."""

    def __init__(self, context: BoxContext, addresses: list[list[Address]]) -> None:
        self.context = context
        self.hosts = [BoxHost(context, i, addresses[box.slot]) for i, box in enumerate(context.plan.boxes)]
        self._timers: list[asyncio.TimerHandle] = []
        self._ticks: dict[Callable[[BoxHost], None], asyncio.TimerHandle] = {}
        self._lateness: LoopLagRecorder | None = None

    def start_initial(self) -> None:
        """Start the boxes that are there at first, warm."""
        for number in self.context.plan.first:
            self.hosts[number].start(cold=False)

    def start_schedule(self, measured: bool = True) -> None:
        """The run begins: the plan's faults come at their times. `measured`: book how late this loop runs."""
        for happening in self.context.plan.happenings:
            if happening.what not in AT_BALANCERS:
                self._timers.append(self.context.at(happening.at_ns, self.apply, happening))
        if measured:
            self._lateness = LoopLagRecorder(self.context.loop, self.context.books.lag_ns)
        self._tick(LOAD_SAMPLE_INTERVAL_S, BoxHost.sample)
        self._tick(SWEEP_S, BoxHost.sweep)

    def _tick(self, every_s: float, do: Callable[[BoxHost], None]) -> None:
        for host in self.hosts:
            do(host)
        self._ticks[do] = self.context.loop.call_later(every_s, self._tick, every_s, do)

    def apply(self, happening: Happening) -> None:
        """Do to a box what a plan says."""
        host = self.hosts[happening.who]
        match happening.what:
            case "start":
                host.start(cold=True)
            case "drain":
                host.drain()
            case "leave" | "die":
                host.die()
            case "vanish":
                host.vanish()
            case "return":
                host.come_back()
            case "freeze":
                host.freeze(happening.until_ns - happening.at_ns)
            case "neighbour":
                host.neighbour(happening.size, happening.until_ns)

    def stop(self) -> BoxBooks:
        """Stop, and hand over the books; what was still out is noted as it is."""
        for timer in (*self._timers, *self._ticks.values()):
            timer.cancel()
        if self._lateness is not None:
            self._lateness.stop()
        open_at_end = self.context.books.open_at_end
        for host in self.hosts:
            host.die()
        self.context.books.open_at_end = open_at_end
        return self.context.books
