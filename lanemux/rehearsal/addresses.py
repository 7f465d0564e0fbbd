"""Loopback addresses that were free, and sockets bound to them."""

from __future__ import annotations

import socket
from collections.abc import Callable

from lanemux.rehearsal.plan import Plan

Address = tuple[str, int]


def bound_socket(address: Address, make: Callable[[], socket.socket] = socket.socket) -> socket.socket:
    """A socket bound there; port 0 takes a free one."""
    made = make()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.setblocking(False)
    made.bind(address)
    return made


def reserve_addresses(
    plan: Plan, prefix: str, make: Callable[[], socket.socket] = socket.socket
) -> list[list[Address]]:
    """Addresses for each slot, one for each balancer: `prefix`.balancer.slot, at ports that were free."""
    addresses = []
    for slot in range(max(box.slot for box in plan.boxes) + 1):
        row: list[Address] = []
        for balancer in range(plan.scenario.fleet.balancers):
            taken = bound_socket((f"{prefix}.{balancer}.{slot + 1}", 0), make)
            row.append(taken.getsockname())
            taken.close()
        addresses.append(row)
    return addresses
