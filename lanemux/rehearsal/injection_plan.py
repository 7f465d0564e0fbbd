"""What fails inside a balancer under test, and how it is written down. No I/O and no clock."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass, field, fields

HOLD_UP_S = 0.15  # a process may be held up for so long between reading its clock and writing


class InvalidPlan(ValueError):
    """The plan can't be read."""


@dataclass(frozen=True)
class Window:
    """A span of the process's life, in seconds since its start, in which calls of one kind fail."""

    call: str  # "socket", "bind", "listen", "accept", "read_file" or "replace_file"
    error: str  # the name of the error number
    until_s: float
    from_s: float = 0.0


@dataclass(frozen=True)
class ClockStep:
    """The wall clock is stepped by so many seconds, so long after the start."""

    at_s: float
    by_s: float


@dataclass(frozen=True)
class InjectionPlan:
    """What fails, and how often. Shares are probabilities of one call."""

    seed: int = 0
    windows: Sequence[Window] = ()
    accept_share: float = 0.0
    socket_share: float = 0.0
    connect_share: float = 0.0
    short_share: float = 0.0
    hold_up_share: float = 0.0  # of the writes
    broken_share: float = 0.0  # of the reads that end with a reset: shown as a time-out or an unreachable host
    wall_offset_s: float = 0.0
    clock_steps: Sequence[ClockStep] = field(default_factory=tuple)

    def __post_init__(self) -> None:
        object.__setattr__(self, "windows", tuple(self.windows))
        object.__setattr__(self, "clock_steps", tuple(self.clock_steps))

    def to_json(self) -> str:
        """The plan as `read_plan` takes it."""
        return json.dumps(self, default=vars)


def read_plan(text: str) -> InjectionPlan:
    """The plan in a text; InvalidPlan if it is none."""
    try:
        raw = json.loads(text)
        known = {f.name for f in fields(InjectionPlan)}
        if set(raw) - known:
            raise InvalidPlan(f"unknown: {', '.join(sorted(set(raw) - known))}")
        raw["windows"] = [Window(**window) for window in raw.get("windows", ())]
        raw["clock_steps"] = [ClockStep(**step) for step in raw.get("clock_steps", ())]
        return InjectionPlan(**raw)
    except (TypeError, AttributeError, json.JSONDecodeError) as error:
        raise InvalidPlan(str(error)) from None
