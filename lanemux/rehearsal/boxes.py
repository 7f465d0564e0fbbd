"""All quote boxes of a run on their sockets, and the faults that the plan injects into them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lanemux.rehearsal.addresses import Address
from lanemux.rehearsal.box_context import BoxContext
from lanemux.rehearsal.box_host import BoxHost
from lanemux.rehearsal.loop_timing import LoopLagRecorder
from lanemux.rehearsal.plan import Happening
from lanemux.rehearsal.records import BoxRecords
from lanemux.rehearsal.scenario import BALANCER_EVENTS

LOAD_SAMPLE_INTERVAL_S = 0.1  # how often the number of requests at each box is recorded
IDLE_CHECK_INTERVAL_S = 1.0  # how often idle connections are closed


class Boxes:
    """All boxes of a run, and the schedule of their faults."""

    def __init__(self, context: BoxContext, addresses: list[list[Address]]) -> None:
        self.context = context
        self.hosts = [BoxHost(context, i, addresses[box.slot]) for i, box in enumerate(context.plan.boxes)]
        self._timers: list[asyncio.TimerHandle] = []
        self._periodic: dict[Callable[[BoxHost], None], asyncio.TimerHandle] = {}
        self._loop_lag: LoopLagRecorder | None = None

    def start_initial(self) -> None:
        """Start the boxes that run from the beginning, warm."""
        for number in self.context.plan.initial_boxes:
            self.hosts[number].start(cold=False)

    def start_schedule(self, measured: bool = True) -> None:
        """Schedule the plan's faults, which start the run. `measured`: record the lag of this loop."""
        for happening in self.context.plan.happenings:
            if happening.what not in BALANCER_EVENTS:
                self._timers.append(self.context.call_at(happening.at_ns, self.apply, happening))
        if measured:
            self._loop_lag = LoopLagRecorder(self.context.loop, self.context.records.lag_ns)
        self._run_periodically(LOAD_SAMPLE_INTERVAL_S, BoxHost.sample_load)
        self._run_periodically(IDLE_CHECK_INTERVAL_S, BoxHost.close_idle_connections)

    def _run_periodically(self, interval_s: float, action: Callable[[BoxHost], None]) -> None:
        for host in self.hosts:
            action(host)
        self._periodic[action] = self.context.loop.call_later(interval_s, self._run_periodically, interval_s, action)

    def apply(self, happening: Happening) -> None:
        """Apply an event of the plan to its box."""
        host = self.hosts[happening.who]
        match happening.what:
            case "start":
                host.start(cold=True)
            case "drain":
                host.drain()
            case "leave" | "die":
                host.terminate()
            case "vanish":
                host.isolate()
            case "return":
                host.reconnect()
            case "freeze":
                host.freeze(happening.until_ns - happening.at_ns)
            case "hang":
                host.hang(happening.until_ns - happening.at_ns)
            case "late_body":
                host.delay_bodies(happening.until_ns - happening.at_ns, happening.long_bodies)
            case "neighbour":
                host.add_noisy_neighbour(happening.size, happening.until_ns)

    def stop(self) -> BoxRecords:
        """Stop all boxes and return the records, with unfinished attempts as they are."""
        for timer in (*self._timers, *self._periodic.values()):
            timer.cancel()
        if self._loop_lag is not None:
            self._loop_lag.stop()
        open_at_end = self.context.records.open_at_end
        for host in self.hosts:
            host.terminate()
        self.context.records.open_at_end = open_at_end
        return self.context.records
