"""Takes every request for one that has ten seconds."""

import sys
from typing import Any

from lanemux import interface as api
from lanemux.drill import read_settings
from lanemux.net import config, daemon
from lanemux.net.node import Node

MORE_NS = 10_000_000_000
open_call = Node._open


def patient(self: Any, client: Any, request: Any, class_name: str, deadline_ns: int) -> None:
    open_call(self, client, request, class_name, deadline_ns + MORE_NS)


def long_aims(raw: Any) -> api.Settings:
    for row in raw["profiles"]:
        row["aim_ns"] = MORE_NS
    return read_settings(raw)


Node._open = patient  # type: ignore[method-assign]
config.read_settings = long_aims  # type: ignore[attr-defined]
sys.exit(daemon.main())
