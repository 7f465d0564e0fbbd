"""Faults of boxes and of the connections to them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lanemux.rehearsal.box_host import BoxHost
from lanemux.rehearsal.plan import MS, SECOND
from lanemux.virtual.faults import BoxFault
from lanemux.virtual.network import End

if TYPE_CHECKING:
    from lanemux.virtual.simulation import Simulation


RESTART_NS = 300 * MS  # from a drained box's exit to its next start
REMOVAL_TOLD_SHARE = 0.5  # of trades in which discovery tells in between that both boxes are gone


class BoxFaults:
    """What befalls boxes."""

    def __init__(self, stage: Simulation) -> None:
        self._stage = stage
        self.by_name: dict[str, BoxFault] = {
            "drain": self._drain,
            "die": self._die,
            "outage": self._outage,
            "freeze": self._freeze,
            "vanish": self._vanish,
            "swap": self._swap,
            "trade": self._trade,
            "reset": self._reset,
            "mute": self._mute,
            "hold": self._hold,
            "shut": self._shut,
        }

    def _take(self, box: int) -> bool:
        """A box goes through one change of its life at a time."""
        if box in self._stage.busy_boxes:
            return False
        self._stage.busy_boxes.add(box)
        return True

    def _wait_ns(self, span: tuple[float, float]) -> int:
        return int(self._stage.rng.uniform(*span) * SECOND)

    def _drain(self, box: int, lasts_ns: int, about: object) -> None:
        if self._take(box):
            self._stage.tell(box, "draining")
            self._stage.happen("drain", box)
            self._stage.later(lasts_ns, lambda: self._leave_and_return(box))

    def _leave_and_return(self, box: int) -> None:
        self._stage.happen("leave", box)
        self._stage.tell(box, "removed")
        self._stage.later(RESTART_NS, lambda: self._come_back(box))

    def _come_back(self, box: int) -> None:
        """Cold, and told a little later."""
        born = self._stage.now()
        self._stage.happen("start", box)

        def told() -> None:
            self._stage.tell(box, "up", born)
            self._stage.busy_boxes.discard(box)

        self._stage.later(self._wait_ns(self._stage.plan.scenario.discovery.add_s), told)

    def _die(self, box: int, lasts_ns: int, about: object) -> None:
        if self._take(box):
            self._stage.happen("die", box)
            told = self._wait_ns(self._stage.plan.scenario.discovery.notice_s)
            if told < lasts_ns:
                self._stage.later(told, lambda: self._stage.tell(box, "removed"))
            self._stage.later(lasts_ns, lambda: self._come_back(box))

    def _outage(self, box: int, lasts_ns: int, about: object) -> None:
        boxes = self._stage.plan.scenario.fleet.boxes
        for number in range(-(-boxes // 3)):
            self._die((box + number) % boxes, int(lasts_ns * self._stage.rng.uniform(0.3, 1.0)), None)

    def _freeze(self, box: int, lasts_ns: int, about: object) -> None:
        self._stage.happen("freeze", box, self._stage.now() + lasts_ns)

    def _vanish(self, box: int, lasts_ns: int, about: object) -> None:
        if self._take(box):
            self._stage.happen("vanish", box)

            def back() -> None:
                self._stage.happen("return", box)
                self._stage.busy_boxes.discard(box)

            self._stage.later(lasts_ns, back)

    def _swap(self, box: int, lasts_ns: int, about: object) -> None:
        """The box is gone for good; another one comes up at its address."""
        if not self._take(box) or self._stage.boxes is None:
            return
        self._stage.happen("die", box)
        self._stage.later(
            self._wait_ns(self._stage.plan.scenario.discovery.notice_s), lambda: self._stage.tell(box, "removed")
        )
        old, number = self._stage.plan.boxes[box], len(self._stage.plan.boxes)
        self._stage.plan.boxes.append(dataclasses.replace(old, host=f"{old.host}-{number}", seed=old.seed + number))
        self._stage.boxes.hosts.append(BoxHost(self._stage.boxes.context, number, self._stage.addresses[old.slot]))
        self._stage.later(lasts_ns, lambda: self._come_back(number))

    def _trade(self, box: int, lasts_ns: int, about: object) -> None:
        """Two boxes go; each comes back at the other's old address, told as gone in between or not."""
        other = (box + 1) % self._stage.plan.scenario.fleet.boxes
        if other == box or self._stage.boxes is None or other in self._stage.busy_boxes or not self._take(box):
            return
        self._take(other)
        boxes, told = self._stage.boxes, self._stage.rng.random() < REMOVAL_TOLD_SHARE
        for one in (box, other):
            self._stage.happen("die", one)
            if told:
                self._stage.tell(one, "removed")

        def back() -> None:
            slots = self._stage.plan.boxes[other].slot, self._stage.plan.boxes[box].slot
            for one, slot in zip((box, other), slots, strict=True):
                self._stage.traded[self._stage.ids.id_of(self._stage.plan.boxes[one].host)] = one
                self._stage.plan.boxes[one] = dataclasses.replace(self._stage.plan.boxes[one], slot=slot)
                boxes.hosts[one].box, boxes.hosts[one].addresses = (
                    self._stage.plan.boxes[one],
                    self._stage.addresses[slot],
                )
                self._come_back(one)

        self._stage.later(lasts_ns, back)

    def _stream(self, box: int, about: object) -> End | None:
        """The connection to a box that an event is about, or any to this one."""
        end = about[0] if isinstance(about, tuple) else about
        if isinstance(end, End) and end.label.kind == "box":
            return end
        streams = [e for e in self._stage.world.network.streams if e.label.kind == "box" and e.label.to == box]
        return self._stage.rng.choice(streams) if streams else None

    def _reset(self, box: int, lasts_ns: int, about: object) -> None:
        if (end := self._stream(box, about)) is not None:
            end.cut_off()

    def _mute(self, box: int, lasts_ns: int, about: object) -> None:
        if (end := self._stream(box, about)) is not None:
            end.mute()

    def _hold(self, box: int, lasts_ns: int, about: object) -> None:
        self._stage.world.network.hold("box", box, self._stage.world.agenda.now_ns + lasts_ns)

    def _shut(self, box: int, lasts_ns: int, about: object) -> None:
        self._stage.world.network.shut("box", box, self._stage.world.agenda.now_ns + lasts_ns)
