"""The plan of failures injected into a balancer under test, and its JSON form. No I/O and no clock."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass, field, fields

HOLD_UP_S = 0.15  # length of an injected stall of the process between reading its clock and writing


class InvalidPlan(ValueError):
    """The text is not a valid plan."""


@dataclass(frozen=True)
class Window:
    """A time window, in seconds since the start of the process, in which calls of one kind fail."""

    call: str  # "socket", "bind", "listen", "accept", "read_file" or "replace_file"
    error: str  # name of the error number, such as "EMFILE"
    until_s: float
    from_s: float = 0.0


@dataclass(frozen=True)
class ClockStep:
    """A step of the wall clock by `by_s` seconds, `at_s` seconds after the start of the process."""

    at_s: float
    by_s: float


@dataclass(frozen=True)
class InjectionPlan:
    """What fails, and how often. Each share is the probability that one call fails."""

    seed: int = 0
    windows: Sequence[Window] = ()
    accept_share: float = 0.0
    socket_share: float = 0.0
    connect_share: float = 0.0
    short_share: float = 0.0
    hold_up_share: float = 0.0  # of the writes: stalled for HOLD_UP_S before the call
    broken_share: float = 0.0  # of the reads that end with a reset: reported as a timeout or unreachable host
    wall_offset_s: float = 0.0
    clock_steps: Sequence[ClockStep] = field(default_factory=tuple)

    def __post_init__(self) -> None:
        object.__setattr__(self, "windows", tuple(self.windows))
        object.__setattr__(self, "clock_steps", tuple(self.clock_steps))

    def to_json(self) -> str:
        """The plan in the form that `read_plan` accepts."""
        return json.dumps(self, default=vars)


def read_plan(text: str) -> InjectionPlan:
    """Parse a plan; InvalidPlan if the text is not one."""
    try:
        values = json.loads(text)
        known_keys = {f.name for f in fields(InjectionPlan)}
        if set(values) - known_keys:
            raise InvalidPlan(f"unknown: {', '.join(sorted(set(values) - known_keys))}")
        values["windows"] = [Window(**window) for window in values.get("windows", ())]
        values["clock_steps"] = [ClockStep(**step) for step in values.get("clock_steps", ())]
        return InjectionPlan(**values)
    except (TypeError, AttributeError, json.JSONDecodeError) as error:
        raise InvalidPlan(str(error)) from None
