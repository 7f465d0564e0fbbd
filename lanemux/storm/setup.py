"""From the operators' section to what a balancer runs with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lanemux import interface as api
from lanemux.policy import Balancer
from lanemux.storm.connection_admission import ConnectionAdmission
from lanemux.storm.module import StormModule, StormOptions

if TYPE_CHECKING:
    from lanemux.net.daemon import MakeModule
    from lanemux.net.node import MakeConnectionAdmission
    from lanemux.operators import StormSection as Told

MS = 1_000_000


def plan(told: Told) -> StormOptions:
    """The section as the module takes it."""
    return StormOptions(told.longest_wait_ms * MS, told.whole_seconds)


def make(told: Told) -> tuple[MakeModule, MakeConnectionAdmission]:
    """The decisions with the storm's module round them, and what admits connections."""
    made = plan(told)

    def module(settings: api.Settings, seed: int, now: int) -> StormModule:
        return StormModule(Balancer(settings, seed, now), settings, made, seed, now)

    return module, lambda places: ConnectionAdmission(places, told.source_part)
