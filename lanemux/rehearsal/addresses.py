"""Finds free loopback addresses and binds sockets to them."""

from __future__ import annotations

import socket
from collections.abc import Callable

from lanemux.rehearsal.plan import Plan

Address = tuple[str, int]


def bound_socket(address: Address, make_socket: Callable[[], socket.socket] = socket.socket) -> socket.socket:
    """A non-blocking socket bound to the address; port 0 selects a free port."""
    sock = make_socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(address)
    return sock


def reserve_addresses(
    plan: Plan, prefix: str, make_socket: Callable[[], socket.socket] = socket.socket
) -> list[list[Address]]:
    """Addresses for each slot, one per balancer: `prefix`.balancer.slot, at ports that were free."""
    addresses = []
    for slot in range(max(box.slot for box in plan.boxes) + 1):
        row: list[Address] = []
        for balancer in range(plan.scenario.fleet.balancers):
            sock = bound_socket((f"{prefix}.{balancer}.{slot + 1}", 0), make_socket)
            row.append(sock.getsockname())
            sock.close()
        addresses.append(row)
    return addresses
