"""A balancer of a virtual run, over its restarts."""

from __future__ import annotations

from dataclasses import dataclass

from lanemux.net.node import Node
from lanemux.rehearsal.balancers import BalancerEndpoints
from lanemux.rehearsal.records import StateSpan
from lanemux.rehearsal.registry import DiscoveryAgent
from lanemux.virtual.observed import Observed
from lanemux.virtual.process import Process

CONFIGURATION = "/etc/balancer.json"  # on the balancer's virtual disk


@dataclass(slots=True)
class RestartableBalancer:
    """A balancer over its restarts."""

    number: int
    place: BalancerEndpoints
    agent: DiscoveryAgent
    settings: dict[str, object]
    process: Process | None = None
    node: Node | None = None
    module: Observed | None = None
    starts: int = 0
    moves: int = 0
    member_up_ns: int = 0  # its etcd member has come up again by then
    ending: bool = False
    life: StateSpan | None = None
