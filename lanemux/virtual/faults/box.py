"""Faults of boxes and of the connections to them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lanemux.rehearsal.box_host import BoxHost
from lanemux.rehearsal.plan import MS, SECOND
from lanemux.virtual.faults import BoxFault
from lanemux.virtual.network import Endpoint
from lanemux.virtual.sockets import StreamSocket

if TYPE_CHECKING:
    from lanemux.virtual.simulation import Simulation


ON_ITS_WAY_NS = SECOND  # a late body may take this long from its box to the balancer
CONNECT_DELAY_NS = 60 * MS, 190 * MS  # less than the balancers' connect timeout
RESTART_NS = 300 * MS  # from a drained box's exit to its next start
REMOVAL_ANNOUNCED_SHARE = 0.5  # of trades: discovery announces in between that both boxes are gone


class BoxFaults:
    """The box faults by name."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.by_name: dict[str, BoxFault] = {
            "drain": self._drain,
            "die": self._die,
            "outage": self._outage,
            "freeze": self._freeze,
            "hang": self._hang,
            "late_body": self._late_body,
            "copy": self._copy,
            "late_connects": self._late_connects,
            "vanish": self._vanish,
            "swap": self._swap,
            "trade": self._trade,
            "reset": self._reset,
            "mute": self._mute,
            "hold": self._hold,
            "shut": self._shut,
        }

    def _begin_transition(self, box: int) -> bool:
        """Reserve a box for a change; False while another change of it is in progress."""
        if box in self._simulation.boxes_in_transition:
            return False
        self._simulation.boxes_in_transition.add(box)
        return True

    def _draw_wait_ns(self, span: tuple[float, float]) -> int:
        return int(self._simulation.rng.uniform(*span) * SECOND)

    def _drain(self, box: int, duration_ns: int, trigger: object) -> None:
        if self._begin_transition(box):
            self._simulation.announce_health(box, "draining")
            self._simulation.change_box("drain", box)
            self._simulation.call_later(duration_ns, lambda: self._leave_and_return(box))

    def _leave_and_return(self, box: int) -> None:
        self._simulation.change_box("leave", box)
        self._simulation.announce_health(box, "removed")
        self._simulation.call_later(RESTART_NS, lambda: self._restart(box))

    def _restart(self, box: int) -> None:
        """Start a box cold, and announce it after the discovery delay."""
        started_ns = self._simulation.now()
        self._simulation.change_box("start", box)

        def announce() -> None:
            self._simulation.announce_health(box, "up", started_ns)
            self._simulation.boxes_in_transition.discard(box)

        self._simulation.call_later(self._draw_wait_ns(self._simulation.plan.scenario.discovery.add_s), announce)

    def _die(self, box: int, duration_ns: int, trigger: object) -> None:
        if self._begin_transition(box):
            self._simulation.change_box("die", box)
            notice_delay_ns = self._draw_wait_ns(self._simulation.plan.scenario.discovery.notice_s)
            if notice_delay_ns < duration_ns:
                self._simulation.call_later(notice_delay_ns, lambda: self._simulation.announce_health(box, "removed"))
            self._simulation.call_later(duration_ns, lambda: self._restart(box))

    def _outage(self, box: int, duration_ns: int, trigger: object) -> None:
        boxes = self._simulation.plan.scenario.fleet.boxes
        for number in range(-(-boxes // 3)):
            self._die((box + number) % boxes, int(duration_ns * self._simulation.rng.uniform(0.3, 1.0)), None)

    def _freeze(self, box: int, duration_ns: int, trigger: object) -> None:
        self._simulation.change_box("freeze", box, self._simulation.now() + duration_ns)

    def _hang(self, box: int, duration_ns: int, trigger: object) -> None:
        self._simulation.change_box("hang", box, self._simulation.now() + duration_ns)

    def _late_body(self, box: int, duration_ns: int, trigger: object) -> None:
        self._simulation.change_box("late_body", box, self._simulation.now() + duration_ns)

    def _late_connects(self, box: int, duration_ns: int, trigger: object) -> None:
        self._simulation.world.network.delay_connects(
            "box", self._simulation.world.event_queue.now_ns + duration_ns, CONNECT_DELAY_NS
        )

    def _copy(self, box: int, duration_ns: int, trigger: object) -> None:
        """Each box's last answer comes a second time on every connection where no request is out."""
        if self._simulation.boxes is None:
            return
        loop = self._simulation.boxes_process.loop
        for host in self._simulation.boxes.hosts:
            for connection in host.resting_connections():
                transport = connection.transport
                if transport is None or transport.get_write_buffer_size():
                    continue
                sock = loop.socket_of(transport)
                endpoint = sock.endpoint if isinstance(sock, StreamSocket) else None
                if endpoint is None or endpoint.peer is None or endpoint.peer.closed:
                    continue
                # A copy that crosses a request on its way can't be told from its answer.
                if not endpoint.incoming.buffered_size and not endpoint.peer.incoming.buffered_size:
                    endpoint.peer.deliver_now(connection.last_response)

    def _vanish(self, box: int, duration_ns: int, trigger: object) -> None:
        if self._begin_transition(box):
            self._simulation.change_box("vanish", box)

            def return_to_service() -> None:
                self._simulation.change_box("return", box)
                self._simulation.boxes_in_transition.discard(box)

            self._simulation.call_later(duration_ns, return_to_service)

    def _swap(self, box: int, duration_ns: int, trigger: object) -> None:
        """Remove a box for good and start another one at its address."""
        if not self._begin_transition(box) or self._simulation.boxes is None:
            return
        self._simulation.change_box("die", box)
        self._simulation.call_later(
            self._draw_wait_ns(self._simulation.plan.scenario.discovery.notice_s),
            lambda: self._simulation.announce_health(box, "removed"),
        )
        old, number = self._simulation.plan.boxes[box], len(self._simulation.plan.boxes)
        self._simulation.plan.boxes.append(
            dataclasses.replace(old, host=f"{old.host}-{number}", seed=old.seed + number)
        )
        self._simulation.boxes.hosts.append(
            BoxHost(self._simulation.boxes.context, number, self._simulation.addresses[old.slot])
        )
        self._simulation.call_later(duration_ns, lambda: self._restart(number))

    def _trade(self, box: int, duration_ns: int, trigger: object) -> None:
        """Kill two boxes and restart each at the other's old address, with or without announcing their removal."""
        other = (box + 1) % self._simulation.plan.scenario.fleet.boxes
        if (
            other == box
            or self._simulation.boxes is None
            or other in self._simulation.boxes_in_transition
            or not self._begin_transition(box)
        ):
            return
        self._begin_transition(other)
        boxes, announce_removal = self._simulation.boxes, self._simulation.rng.random() < REMOVAL_ANNOUNCED_SHARE
        for one in (box, other):
            self._simulation.change_box("die", one)
            if announce_removal:
                self._simulation.announce_health(one, "removed")

        def restart_both() -> None:
            slots = self._simulation.plan.boxes[other].slot, self._simulation.plan.boxes[box].slot
            for one, slot in zip((box, other), slots, strict=True):
                self._simulation.relocated_boxes[
                    self._simulation.host_ids.id_of(self._simulation.plan.boxes[one].host)
                ] = one
                self._simulation.plan.boxes[one] = dataclasses.replace(self._simulation.plan.boxes[one], slot=slot)
                boxes.hosts[one].box, boxes.hosts[one].addresses = (
                    self._simulation.plan.boxes[one],
                    self._simulation.addresses[slot],
                )
                self._restart(one)

        self._simulation.call_later(duration_ns, restart_both)

    def _pick_stream(self, box: int, trigger: object) -> Endpoint | None:
        """The connection that the triggering event concerns if it leads to a box, else a random one to this box."""
        end = trigger[0] if isinstance(trigger, tuple) else trigger
        if isinstance(end, Endpoint) and end.label.kind == "box":
            return end
        streams = [e for e in self._simulation.world.network.streams if e.label.kind == "box" and e.label.target == box]
        return self._simulation.rng.choice(streams) if streams else None

    def _reset(self, box: int, duration_ns: int, trigger: object) -> None:
        if (end := self._pick_stream(box, trigger)) is not None:
            end.reset_both()

    def _mute(self, box: int, duration_ns: int, trigger: object) -> None:
        if (end := self._pick_stream(box, trigger)) is not None:
            self._interrupt_attempts(end.label.target)
            end.silence()

    def _interrupt_attempts(self, box: int) -> None:
        """The late bodies of the box's open responses may not arrive: no balancer is blamed for that."""
        boxes = self._simulation.boxes
        if boxes is None or boxes.hosts[box].late_bodies is None:
            return
        for attempt in self._simulation.box_books.attempts:
            on_its_way = attempt.begun_ns and attempt.end_ns > self._simulation.now() - ON_ITS_WAY_NS
            if attempt.box == box and (on_its_way or not attempt.how):
                attempt.interrupted = True

    def _hold(self, box: int, duration_ns: int, trigger: object) -> None:
        self._interrupt_attempts(box)
        self._simulation.world.network.hold_traffic("box", box, self._simulation.world.event_queue.now_ns + duration_ns)

    def _shut(self, box: int, duration_ns: int, trigger: object) -> None:
        self._simulation.world.network.drop_connects(
            "box", box, self._simulation.world.event_queue.now_ns + duration_ns
        )
