"""State of a simulated balancer that outlives its processes."""

from __future__ import annotations

from dataclasses import dataclass

from lanemux.net.node import Node
from lanemux.rehearsal.balancers import BalancerEndpoints
from lanemux.rehearsal.records import StateSpan
from lanemux.rehearsal.registry import DiscoveryAgent
from lanemux.virtual.module_monitor import ModuleMonitor
from lanemux.virtual.process import Process

CONFIGURATION = "/etc/balancer.json"  # on the balancer's virtual disk


@dataclass(slots=True)
class RestartableBalancer:
    """A balancer and its current process, across restarts."""

    number: int
    place: BalancerEndpoints
    agent: DiscoveryAgent
    settings: dict[str, object]
    process: Process | None = None
    node: Node | None = None
    monitor: ModuleMonitor | None = None
    starts: int = 0
    discovery_moves: int = 0
    member_up_ns: int = 0  # its etcd member is up again from then on
    stopping: bool = False
    downtime: StateSpan | None = None
