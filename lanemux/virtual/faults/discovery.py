"""Faults of discovery: bursts of news, and an etcd whose watches, members and history go."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lanemux.rehearsal.plan import MS, SECOND, Happening
from lanemux.virtual.balancer import RestartableBalancer
from lanemux.virtual.faults import BalancerFault

if TYPE_CHECKING:
    from lanemux.virtual.simulation import Simulation


BURST_NS = 10 * MS


class DiscoveryFaults:
    """What befalls what a balancer is told."""

    def __init__(self, stage: Simulation) -> None:
        self._stage = stage
        self.by_name: dict[str, BalancerFault] = {
            "burst": self._burst,
            "drop": self._drop,
            "member": self._member,
            "stall": self._stall,
            "compact": self._compact,
        }

    def _burst(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        """The list changes often, and nothing in it."""
        for wait in range(0, lasts_ns, BURST_NS):
            self._stage.later(wait, self._say_again)

    def _say_again(self) -> None:
        box = self._stage.rng.choice(sorted(self._stage.said))
        health, born = self._stage.said[box]
        if health == "up" and box not in self._stage.busy_boxes:
            self._stage.tell(box, health, born)

    def _upset(self, balancer: RestartableBalancer, what: str, lasts_ns: int) -> None:
        self._stage.run_in(
            self._stage.kit,
            balancer.agent.inject_fault,
            Happening(self._stage.now(), what, balancer.number, self._stage.now() + lasts_ns),
        )

    def _drop(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        self._upset(balancer, "drop", lasts_ns)

    def _member(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        if self._stage.now() >= balancer.member_up_ns:  # one restart at a time
            balancer.member_up_ns = self._stage.now() + SECOND
            self._upset(balancer, "reset", lasts_ns)

    def _stall(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        self._upset(balancer, "stall", lasts_ns)

    def _compact(self, balancer: RestartableBalancer, lasts_ns: int, about: object) -> None:
        self._say_again()
        self._upset(balancer, "compact", lasts_ns)
