"""What can go wrong in a virtual run, by whom it befalls: boxes, balancers, clients, discovery."""

from __future__ import annotations

from collections.abc import Callable

from lanemux.virtual.balancer import RestartableBalancer

BoxFault = Callable[[int, int, object], None]
"""Strikes a box, by number, for so many ns; with what the event that brought the fault is about, or None."""
BalancerFault = Callable[[RestartableBalancer, int, object], None]
"""The same for a balancer."""
