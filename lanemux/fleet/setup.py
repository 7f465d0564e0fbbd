"""Adds the plugin that tells who is there to a balancer, where the operators' file has [fleet]."""

from __future__ import annotations

import logging
import random

from lanemux.core.clock import now_ns
from lanemux.fleet.view import View
from lanemux.net.config import Config
from lanemux.net.node import Node
from lanemux.operators import Fleet

MS = 1_000_000

log = logging.getLogger(__name__)


def config_errors(fleet: Fleet, config: Config) -> list[str]:
    """What of the section does not fit the configuration: key and reason."""
    strange = [number for number in fleet.council if number >= len(config.peers)]
    return (
        [
            f"fleet.council: {number} is no number in peers; allowed are 0 to {len(config.peers) - 1}"
            for number in strange
        ]
        if config.peers
        else []
    )


def add_membership(node: Node, fleet: Fleet) -> None:
    """Before the node starts. Without peers there is nobody to look at: that is logged, and nothing is plugged in."""
    config = node.config
    if config.peer_listen is None or len(config.peers) < 2:
        log.warning("%s: [fleet] is without effect: the configuration names no peers", config.name)
        return
    rng = random.Random(f"{config.seed} {now_ns()}")  # each process is another one, also of the same balancer
    node.plugins.add(View(config.settings.me, len(config.peers), rng, now_ns(), fleet.council, fleet.lease_ms * MS))
