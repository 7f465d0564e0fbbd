"""Discovery faults: bursts of news, and etcd watches, members and history that fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lanemux.rehearsal.plan import MS, SECOND, Happening
from lanemux.virtual.balancer import RestartableBalancer
from lanemux.virtual.faults import BalancerFault

if TYPE_CHECKING:
    from lanemux.virtual.simulation import Simulation


BURST_INTERVAL_NS = 10 * MS  # between two notices of a burst


class DiscoveryFaults:
    """The discovery faults by name."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.by_name: dict[str, BalancerFault] = {
            "burst": self._burst,
            "drop": self._drop,
            "member": self._member,
            "stall": self._stall,
            "compact": self._compact,
        }

    def _burst(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        """Send many list updates without any actual change."""
        for wait in range(0, duration_ns, BURST_INTERVAL_NS):
            self._simulation.call_later(wait, self._repeat_notice)

    def _repeat_notice(self) -> None:
        box = self._simulation.rng.choice(sorted(self._simulation.last_notices))
        health, started_ns = self._simulation.last_notices[box]
        if health == "up" and box not in self._simulation.boxes_in_transition:
            self._simulation.announce_health(box, health, started_ns)

    def _disturb(self, balancer: RestartableBalancer, what: str, duration_ns: int) -> None:
        self._simulation.call_in(
            self._simulation.kit_process,
            balancer.agent.inject_fault,
            Happening(self._simulation.now(), what, balancer.number, self._simulation.now() + duration_ns),
        )

    def _drop(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        self._disturb(balancer, "drop", duration_ns)

    def _member(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        if self._simulation.now() >= balancer.member_up_ns:  # one restart at a time
            balancer.member_up_ns = self._simulation.now() + SECOND
            self._disturb(balancer, "reset", duration_ns)

    def _stall(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        self._disturb(balancer, "stall", duration_ns)

    def _compact(self, balancer: RestartableBalancer, duration_ns: int, trigger: object) -> None:
        self._repeat_notice()
        self._disturb(balancer, "compact", duration_ns)
