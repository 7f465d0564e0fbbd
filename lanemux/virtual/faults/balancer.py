"""Faults of balancers: their processes, disks, clocks and descriptors."""

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


READY_NS = 250 * MS  # from a balancer's start until the front knows it again
ACCEPT_AGAIN_NS = 60 * MS  # after descriptors were out, accepting begins again by then
RECONNECTED_NS = 1500 * MS  # what was written to a connection given up is heard on the next one, by then
LOST_NS = 4500 * MS  # a watch that is silent for good is found out, and another one up, by then
TORN_FOR_NS = 100 * MS
DECIDED_SHARE = 0.6  # of lurches that come between a decision to send and the sending


class BalancerFaults:
    """What befalls balancers."""

    def __init__(self, stage: Simulation) -> None:
        self._stage = stage
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

    def _still(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        if balancer.process is not None and balancer.process.alive:
            until = self._stage.world.agenda.now_ns + lasts_ns
            balancer.process.stay_still(until)
            self._stage.excuses.away[balancer.number].append((self._stage.now(), self._stage.now() + lasts_ns))

    def _lurch(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        process = balancer.process
        if process is None or not process.alive:
            return

        def lurched(for_ns: int) -> None:
            for one in self._stage.balancers:
                self._stage.excuses.away[one.number].append((self._stage.now(), self._stage.now() + for_ns))

        process.lurch_ns, process.lurched = lasts_ns, lurched
        process.lurch_decided = self._stage.rng.random() < DECIDED_SHARE

    def _lost(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        streams = [
            e for e in self._stage.world.network.streams if e.label.kind == "list" and e.label.to == balancer.number
        ]
        for end in streams:
            end.mute()
        self._stage.excuses.unheard[balancer.number].append((self._stage.now(), self._stage.now() + LOST_NS))

    def _stop(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        process = balancer.process
        if process is None or balancer.ending or not process.alive:
            return
        balancer.ending = True
        self._known(balancer, False)
        process.signal(signal.SIGTERM)

        def gone() -> None:
            if process.alive:
                self._stage.later(MS, gone)
            else:
                self._down(balancer)
                self._stage.later(lasts_ns, lambda: self._again(balancer))

        gone()

    def _kill(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        process = balancer.process
        if process is None or balancer.ending or not process.alive:
            return
        balancer.ending = True
        process.kill()
        self._down(balancer)
        self._stage.later(
            self._stage.plan.fronts_notice_ns // 4, lambda: self._known(balancer, False) if balancer.ending else None
        )
        self._stage.later(lasts_ns, lambda: self._again(balancer))

    def _down(self, balancer: RestartableBalancer) -> None:
        balancer.life = StateSpan(balancer.number, "down", self._stage.now())
        self._stage.books.balancers_down.append(balancer.life)

    def _again(self, balancer: RestartableBalancer) -> None:
        if balancer.life is not None:
            balancer.life.to_ns = self._stage.now()
        self._stage.start(balancer)
        self._stage.later(READY_NS, lambda: self._known(balancer, True))

    def _known(self, balancer: RestartableBalancer, there: bool) -> None:
        assert self._stage.front is not None
        (self._stage.front.available.add if there else self._stage.front.available.discard)(balancer.number)

    def _hup(self, balancer: RestartableBalancer) -> None:
        if balancer.process is not None and balancer.process.alive:
            balancer.process.signal(signal.SIGHUP)

    def _reload(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        self._hup(balancer)

    def _move(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        """Discovery has another address; for a while the old one tells all the same."""
        old = balancer.agent
        if isinstance(old, RegistryAgent):
            self._stage.kit.loop.create_task(self._moved(balancer, old, lasts_ns))

    async def _moved(self, balancer: RestartableBalancer, old: RegistryAgent, lasts_ns: int) -> None:
        balancer.moves += 1
        new = balancer.agent = old.successor()  # from now on it is told all that the old one is told
        balancer.place.discovery = await new.open(f"127.0.{203 + balancer.moves % 50}.{balancer.number + 1}")
        self._stage.world.network.places[balancer.place.discovery] = ("list", balancer.number)
        if balancer.process is not None:
            self._stage.write_configuration(balancer)
            self._hup(balancer)
        await asyncio.sleep(lasts_ns / SECOND)
        new.detach_predecessor()
        await old.close()

    def _torn(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        if balancer.process is None or not balancer.process.alive:
            return
        disk = balancer.process.disk
        disk.torn = len(disk.files[CONFIGURATION]) // 2
        try:
            self._stage.write_configuration(balancer)
        except OSError:
            self._hup(balancer)

        def mended() -> None:
            self._stage.write_configuration(balancer)
            self._hup(balancer)

        self._stage.later(TORN_FOR_NS, mended)

    def _unread(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        if balancer.process is None or not balancer.process.alive:
            return
        disk = balancer.process.disk
        disk.unreadable = True
        self._hup(balancer)

        def mended() -> None:
            disk.unreadable = False
            self._hup(balancer)

        self._stage.later(TORN_FOR_NS, mended)

    def _deaf(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        self._stage.world.network.hold("peer", balancer.number, self._stage.world.agenda.now_ns + lasts_ns)

    def _unheard(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        self._stage.world.network.hold("list", balancer.number, self._stage.world.agenda.now_ns + lasts_ns)
        self._stage.excuses.unheard[balancer.number].append(
            (self._stage.now(), self._stage.now() + lasts_ns + RECONNECTED_NS)
        )

    def _full(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        process = balancer.process
        if process is None or not process.alive:
            return
        process.descriptors = len(process.sockets)
        self._stage.excuses.full[balancer.number].append(
            (self._stage.now(), self._stage.now() + lasts_ns + ACCEPT_AGAIN_NS)
        )

        def room() -> None:
            process.descriptors = self._stage.sockets

        self._stage.later(lasts_ns, room)

    def _starved(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        process = balancer.process
        if process is None or not process.alive:
            return
        process.memory = False
        self._stage.excuses.full[balancer.number].append(
            (self._stage.now(), self._stage.now() + lasts_ns + ACCEPT_AGAIN_NS)
        )

        def room() -> None:
            process.memory = True

        self._stage.later(lasts_ns, room)

    def _wall(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        if balancer.process is not None:
            balancer.process.wall_offset_ns += lasts_ns
