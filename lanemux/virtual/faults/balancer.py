"""Balancer faults: processes, disks, clocks and descriptors."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from lanemux.rehearsal.plan import MS, SECOND
from lanemux.rehearsal.records import StateSpan
from lanemux.rehearsal.registry import RegistryAgent
from lanemux.virtual.balancer import CONFIGURATION, RestartableBalancer
from lanemux.virtual.faults import BalancerFault

if TYPE_CHECKING:
    from lanemux.virtual.simulation import Simulation


FRONT_NOTICE_NS = 250 * MS  # from a balancer's start until the front sends to it again
ACCEPT_RESUMED_NS = 60 * MS  # accepting resumes within this after descriptors ran out
RECONNECTED_NS = 1500 * MS  # news written to an abandoned connection is received on the next one within this
SILENT_WATCH_NS = 4500 * MS  # a silent watch is detected and replaced within this
CONFIG_FAULT_NS = 100 * MS  # until the configuration is readable and whole again
PAUSE_BEFORE_SEND_SHARE = 0.6  # of mid-turn pauses: between a decision to send and the sending


class BalancerFaults:
    """The balancer faults by name."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.by_name: dict[str, BalancerFault] = {
            "still": self._still,
            "lurch": self._lurch,
            "lost": self._lost,
            "stop": self._stop,
            "kill": self._kill,
            "reload": self._reload,
            "move": self._move,
            "torn": self._torn,
            "unread": self._unread,
            "deaf": self._deaf,
            "unheard": self._unheard,
            "full": self._full,
            "starved": self._starved,
            "wall": self._wall,
        }

    def _still(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        if balancer.process is not None and balancer.process.alive:
            until = self._simulation.world.event_queue.now_ns + duration_ns
            balancer.process.pause_until(until)
            self._simulation.exemptions.stopped[balancer.number].append(
                (self._simulation.now(), self._simulation.now() + duration_ns)
            )

    def _lurch(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        process = balancer.process
        if process is None or not process.alive:
            return

        def on_pause(paused_ns: int) -> None:
            for one in self._simulation.balancers:
                self._simulation.exemptions.stopped[one.number].append(
                    (self._simulation.now(), self._simulation.now() + paused_ns)
                )

        process.pending_pause_ns, process.on_pause = duration_ns, on_pause
        process.pause_before_send = self._simulation.rng.random() < PAUSE_BEFORE_SEND_SHARE

    def _lost(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        streams = [
            e
            for e in self._simulation.world.network.streams
            if e.label.kind == "list" and e.label.target == balancer.number
        ]
        for end in streams:
            end.silence()
        self._simulation.exemptions.discovery_silent[balancer.number].append(
            (self._simulation.now(), self._simulation.now() + SILENT_WATCH_NS)
        )

    def _stop(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        process = balancer.process
        if process is None or balancer.stopping or not process.alive:
            return
        balancer.stopping = True
        self._set_known_to_front(balancer, False)
        process.signal(signal.SIGTERM)

        def check_exited() -> None:
            if process.alive:
                self._simulation.call_later(MS, check_exited)
            else:
                self._record_down(balancer)
                self._simulation.call_later(duration_ns, lambda: self._restart(balancer))

        check_exited()

    def _kill(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        process = balancer.process
        if process is None or balancer.stopping or not process.alive:
            return
        balancer.stopping = True
        process.kill()
        self._record_down(balancer)
        self._simulation.call_later(
            self._simulation.plan.fronts_notice_ns // 4,
            lambda: self._set_known_to_front(balancer, False) if balancer.stopping else None,
        )
        self._simulation.call_later(duration_ns, lambda: self._restart(balancer))

    def _record_down(self, balancer: RestartableBalancer) -> None:
        balancer.downtime = StateSpan(balancer.number, "down", self._simulation.now())
        self._simulation.caller_books.balancers_down.append(balancer.downtime)

    def _restart(self, balancer: RestartableBalancer) -> None:
        if balancer.downtime is not None:
            balancer.downtime.to_ns = self._simulation.now()
        self._simulation.start(balancer)
        self._simulation.call_later(FRONT_NOTICE_NS, lambda: self._set_known_to_front(balancer, True))

    def _set_known_to_front(self, balancer: RestartableBalancer, known: bool) -> None:
        assert self._simulation.front is not None
        (self._simulation.front.available.add if known else self._simulation.front.available.discard)(balancer.number)

    def _send_sighup(self, balancer: RestartableBalancer) -> None:
        if balancer.process is not None and balancer.process.alive:
            balancer.process.signal(signal.SIGHUP)

    def _reload(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        self._send_sighup(balancer)

    def _move(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        """Move discovery to a new address; the old one keeps working for the duration."""
        old = balancer.agent
        if isinstance(old, RegistryAgent):
            self._simulation.kit_process.loop.create_task(self._move_discovery(balancer, old, duration_ns))

    async def _move_discovery(self, balancer: RestartableBalancer, old: RegistryAgent, duration_ns: int) -> None:
        balancer.discovery_moves += 1
        new = balancer.agent = old.successor()  # from now on it gets the same news as the old one
        balancer.place.discovery = await new.open(f"127.0.{203 + balancer.discovery_moves % 50}.{balancer.number + 1}")
        self._simulation.world.network.targets[balancer.place.discovery] = ("list", balancer.number)
        if balancer.process is not None:
            self._simulation.write_configuration(balancer)
            self._send_sighup(balancer)
        await asyncio.sleep(duration_ns / SECOND)
        new.detach_predecessor()
        await old.close()

    def _torn(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        if balancer.process is None or not balancer.process.alive:
            return
        disk = balancer.process.disk
        disk.tear_after_bytes = len(disk.files[CONFIGURATION]) // 2
        try:
            self._simulation.write_configuration(balancer)
        except OSError:
            self._send_sighup(balancer)

        def repair() -> None:
            self._simulation.write_configuration(balancer)
            self._send_sighup(balancer)

        self._simulation.call_later(CONFIG_FAULT_NS, repair)

    def _unread(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        if balancer.process is None or not balancer.process.alive:
            return
        disk = balancer.process.disk
        disk.unreadable = True
        self._send_sighup(balancer)

        def repair() -> None:
            disk.unreadable = False
            self._send_sighup(balancer)

        self._simulation.call_later(CONFIG_FAULT_NS, repair)

    def _deaf(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        self._simulation.world.network.hold_traffic(
            "peer", balancer.number, self._simulation.world.event_queue.now_ns + duration_ns
        )

    def _unheard(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        self._simulation.world.network.hold_traffic(
            "list", balancer.number, self._simulation.world.event_queue.now_ns + duration_ns
        )
        self._simulation.exemptions.discovery_silent[balancer.number].append(
            (self._simulation.now(), self._simulation.now() + duration_ns + RECONNECTED_NS)
        )

    def _full(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        process = balancer.process
        if process is None or not process.alive:
            return
        process.descriptors = len(process.sockets)
        self._simulation.exemptions.cannot_accept[balancer.number].append(
            (self._simulation.now(), self._simulation.now() + duration_ns + ACCEPT_RESUMED_NS)
        )

        def release() -> None:
            process.descriptors = self._simulation.descriptor_limit

        self._simulation.call_later(duration_ns, release)

    def _starved(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        process = balancer.process
        if process is None or not process.alive:
            return
        process.has_memory = False
        self._simulation.exemptions.cannot_accept[balancer.number].append(
            (self._simulation.now(), self._simulation.now() + duration_ns + ACCEPT_RESUMED_NS)
        )

        def release() -> None:
            process.has_memory = True

        self._simulation.call_later(duration_ns, release)

    def _wall(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        if balancer.process is not None:
            balancer.process.wall_offset_ns += duration_ns
