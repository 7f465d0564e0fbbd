"""Builds the storm module and connection admission from the [storm] section of the operators' file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lanemux import interface as api
from lanemux.policy import Balancer
from lanemux.storm.connection_admission import ConnectionAdmission
from lanemux.storm.module import StormModule, StormOptions

if TYPE_CHECKING:
    from lanemux.net.daemon import MakeModule
    from lanemux.net.node import MakeConnectionAdmission
    from lanemux.operators import StormSection

MS = 1_000_000


def module_options(section: StormSection) -> StormOptions:
    """Convert the section to the options of the storm module."""
    return StormOptions(section.longest_wait_ms * MS, section.whole_seconds)


def make(section: StormSection) -> tuple[MakeModule, MakeConnectionAdmission]:
    """Return the factories of the decision module, wrapped by the storm module, and of connection admission."""
    options = module_options(section)

    def make_module(settings: api.Settings, seed: int, now: int) -> StormModule:
        return StormModule(Balancer(settings, seed, now), settings, options, seed, now)

    return make_module, lambda capacity: ConnectionAdmission(capacity, section.source_part)
