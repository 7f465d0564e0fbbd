"""Fault injection for virtual runs: one module each for boxes, balancers, clients and discovery."""

from __future__ import annotations

from collections.abc import Callable

from lanemux.virtual.balancer import RestartableBalancer

BoxFault = Callable[[int, int, object], None]
"""Injects a fault into a box: its number, the duration in ns, and what arrived in the triggering event, or None."""
BalancerFault = Callable[[RestartableBalancer, int, object], None]
"""Injects a fault into a balancer; the other arguments are the same."""
