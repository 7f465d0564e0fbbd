"""Faults of clients: they leave, end their sending, or send twice."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lanemux.rehearsal.callers import ClientConnection
from lanemux.rehearsal.plan import MS, SECOND
from lanemux.virtual.balancer import RestartableBalancer
from lanemux.virtual.faults import BalancerFault
from lanemux.virtual.network import Address, End

if TYPE_CHECKING:
    from lanemux.virtual.simulation import Simulation


HALF_NS = 100 * MS
DOUBLE_NS = 2 * SECOND


class ClientFaults:
    """What befalls clients, each of a balancer."""

    def __init__(self, stage: Simulation) -> None:
        self._stage = stage
        self.by_name: dict[str, BalancerFault] = {
            "leave": self._leave,
            "half": self._half,
            "double": self._double,
        }

    def _line(self, about: object) -> ClientConnection | None:
        """The caller's connection that an event is about, or any on which an answer is due."""
        assert self._stage.callers is not None
        lines = [line for line in self._stage.callers.connections if line.current_try is not None]
        end = about[0] if isinstance(about, tuple) else about
        if isinstance(end, End) and end.label.kind == "client":
            mine = end if end.opener else end.peer
            lines = [
                line
                for line in lines
                if line.transport is not None
                and getattr(self._stage.kit.loop.socket_of(line.transport), "end", None) is mine
            ]
        return self._stage.rng.choice(lines) if lines else None

    def _leave(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        line = self._line(about)
        if line is not None and line.current_try is not None:
            self._stage.run_in(self._stage.kit, line.current_try.leave)

    def _half(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        line = self._line(about)
        if line is not None and line.current_try is not None:
            self._stage.run_in(self._stage.kit, line.current_try.leave, HALF_NS)

    def _double(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        """Only what may be repeated: whether the second one is taken for a new request is up to the moment."""
        line = self._line(about)
        if line is not None and line.current_try is not None and line.current_try.ask.effect == "safe":
            address = self._stage.balancers[line.balancer].place.listen
            self._stage.kit.loop.create_task(self._sent_twice(address, line.last_request))

    async def _sent_twice(self, address: Address, data: bytes) -> None:
        try:
            transport, _ = await asyncio.get_running_loop().create_connection(asyncio.Protocol, *address)
        except OSError:
            return
        transport.write(data)
        await asyncio.sleep(DOUBLE_NS / SECOND)
        transport.close()
