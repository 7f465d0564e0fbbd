"""Adds the fleet plugin to a balancer if the operators' file has a [fleet] section."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from lanemux.core.clock import now_ns
from lanemux.fleet.view import FleetPlugin
from lanemux.net.config import Config
from lanemux.net.node import Node
from lanemux.operators import FleetSection

MS = 1_000_000

log = logging.getLogger(__name__)


def config_errors(fleet: FleetSection, config: Config) -> list[str]:
    """Errors of the section with regard to the configuration, each with its key and a reason."""
    unknown = [number for number in fleet.council if number >= len(config.peers)]
    return (
        [
            f"fleet.council: {number} is no number in peers; allowed are 0 to {len(config.peers) - 1}"
            for number in unknown
        ]
        if config.peers
        else []
    )


def add_membership(
    node: Node, fleet: FleetSection, is_alone: Callable[[Config], Callable[[], bool]] = lambda config: lambda: True
) -> None:
    """Add the plugin; to be called before the node starts. Without peers it logs a warning and adds nothing.

    `is_alone` returns the function that tells whether no other process of this balancer runs."""
    config = node.config
    if config.peer_listen is None or len(config.peers) < 2:
        log.warning("%s: [fleet] is without effect: the configuration names no peers", config.name)
        return
    rng = random.Random(f"{config.seed} {now_ns()}")  # differs for each process, also of the same balancer
    node.plugins.add(
        FleetPlugin(
            config.settings.me,
            len(config.peers),
            rng,
            now_ns(),
            fleet.council,
            fleet.lease_ms * MS,
            is_alone(config),
        )
    )
