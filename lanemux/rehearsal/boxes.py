"""All quote boxes of a run on their sockets, and the plan's faults done to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lanemux.rehearsal.addresses import Address
from lanemux.rehearsal.box_host import Host
from lanemux.rehearsal.box_world import World
from lanemux.rehearsal.looks import Lateness
from lanemux.rehearsal.plan import Happening
from lanemux.rehearsal.records import BoxRecords
from lanemux.rehearsal.scenario import BALANCER_EVENTS

SAMPLE_S = 0.1  # how often the books note what each box holds
SWEEP_S = 1.0  # and connections that stood idle are looked for


class Boxes:
    """All boxes of a run, and what the plan does to them."""

    def __init__(self, world: World, addresses: list[list[Address]]) -> None:
        self.world = world
        self.hosts = [Host(world, i, addresses[box.slot]) for i, box in enumerate(world.plan.boxes)]
        self._timers: list[asyncio.TimerHandle] = []
        self._ticks: dict[Callable[[Host], None], asyncio.TimerHandle] = {}
        self._lateness: Lateness | None = None

    def open(self) -> None:
        """Start the boxes that are there at first, warm."""
        for number in self.world.plan.initial_boxes:
            self.hosts[number].start(cold=False)

    def begin(self, measured: bool = True) -> None:
        """The run begins: the plan's faults come at their times. `measured`: book how late this loop runs."""
        for happening in self.world.plan.happenings:
            if happening.what not in BALANCER_EVENTS:
                self._timers.append(self.world.at(happening.at_ns, self.happen, happening))
        if measured:
            self._lateness = Lateness(self.world.loop, self.world.books.lag_ns)
        self._tick(SAMPLE_S, Host.sample)
        self._tick(SWEEP_S, Host.sweep)

    def _tick(self, every_s: float, do: Callable[[Host], None]) -> None:
        for host in self.hosts:
            do(host)
        self._ticks[do] = self.world.loop.call_later(every_s, self._tick, every_s, do)

    def happen(self, happening: Happening) -> None:
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

    def end(self) -> BoxRecords:
        """Stop, and hand over the books; what was still out is noted as it is."""
        for timer in (*self._timers, *self._ticks.values()):
            timer.cancel()
        if self._lateness is not None:
            self._lateness.stop()
        open_at_end = self.world.books.open_at_end
        for host in self.hosts:
            host.die()
        self.world.books.open_at_end = open_at_end
        return self.world.books
