"""Client faults: closing, half-closing, and sending a request twice or again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lanemux.rehearsal.callers import ClientConnection
from lanemux.rehearsal.plan import MS, SECOND
from lanemux.virtual.balancer import RestartableBalancer
from lanemux.virtual.faults import BalancerFault
from lanemux.virtual.network import Address, Endpoint

if TYPE_CHECKING:
    from lanemux.virtual.simulation import Simulation


HALF_CLOSE_WAIT_NS = 100 * MS  # from a half-close to the close
DUPLICATE_OPEN_NS = 2 * SECOND  # until the duplicate's connection is closed


class ClientFaults:
    """The client faults by name."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.by_name: dict[str, BalancerFault] = {
            "leave": self._leave,
            "half": self._half,
            "double": self._double,
            "again": self._again,
        }

    def _pick_connection(self, trigger: object) -> ClientConnection | None:
        """A caller's connection that awaits an answer: the one that the event concerns, else a random one."""
        assert self._simulation.callers is not None
        lines = [line for line in self._simulation.callers.connections if line.current_try is not None]
        end = trigger[0] if isinstance(trigger, tuple) else trigger
        if isinstance(end, Endpoint) and end.label.kind == "client":
            caller_end = end if end.opener else end.peer
            lines = [
                line
                for line in lines
                if line.transport is not None
                and getattr(self._simulation.kit_process.loop.socket_of(line.transport), "endpoint", None) is caller_end
            ]
        return self._simulation.rng.choice(lines) if lines else None

    def _leave(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        line = self._pick_connection(trigger)
        if line is not None and line.current_try is not None:
            self._simulation.call_in(self._simulation.kit_process, line.current_try.leave)

    def _half(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        line = self._pick_connection(trigger)
        if line is not None and line.current_try is not None:
            self._simulation.call_in(self._simulation.kit_process, line.current_try.leave, HALF_CLOSE_WAIT_NS)

    def _double(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        """Duplicate safe requests only: depending on timing, the balancer may take the duplicate for a new request."""
        line = self._pick_connection(trigger)
        if line is not None and line.current_try is not None and line.current_try.ask.effect == "safe":
            address = self._simulation.balancers[line.balancer].place.listen
            self._simulation.kit_process.loop.create_task(self._send_duplicate(address, line.last_request))

    def _again(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        """A client leaves, and its request comes again under its id, at the same process, whatever its effect."""
        line = self._pick_connection(trigger)
        if line is None or line.current_try is None:
            return
        target, data = self._simulation.balancers[line.balancer], line.last_request
        starts = target.starts
        self._simulation.call_in(self._simulation.kit_process, line.current_try.leave)

        def send() -> None:
            if target.starts == starts and not target.stopping:
                self._simulation.kit_process.loop.create_task(self._send_duplicate(target.place.listen, data))

        self._simulation.call_later(duration_ns, send)

    async def _send_duplicate(self, address: Address, data: bytes) -> None:
        try:
            transport, _ = await asyncio.get_running_loop().create_connection(asyncio.Protocol, *address)
        except OSError:
            return
        transport.write(data)
        await asyncio.sleep(DUPLICATE_OPEN_NS / SECOND)
        transport.close()
