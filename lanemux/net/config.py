"""What a balancer is told at its start."""

from __future__ import annotations

from dataclasses import dataclass, field

from lanemux import interface as api
from lanemux.core.address import Address


@dataclass(frozen=True, slots=True)
class Config:
    """What a balancer is told at its start."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: api.Settings
    known: object = None  # the last known list, in discovery's form
    peer_listen: Address | None = None
    peers: list[Address] = field(default_factory=list)
    peers_all: Address | None = None
    cores: float = 0.0  # share of a processor; 0: not told
    admin: Address | None = None  # the operators' second address
    listen_fd: int | None = None  # the clients' listening socket, where the platform holds it
