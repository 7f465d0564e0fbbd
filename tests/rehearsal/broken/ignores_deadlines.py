"""Fault: adds ten seconds to every deadline, and sets every answer-time target to ten seconds."""

import sys
from typing import Any

from lanemux import interface as api
from lanemux.drill import read_settings
from lanemux.net import config, daemon
from lanemux.net.node import Node

EXTRA_NS = 10_000_000_000
open_call = Node._open


def open_with_late_deadline(self: Any, client: Any, request: Any, class_name: str, deadline_ns: int) -> None:
    open_call(self, client, request, class_name, deadline_ns + EXTRA_NS)


def read_settings_with_long_aims(raw: Any) -> api.Settings:
    for row in raw["profiles"]:
        row["aim_ns"] = EXTRA_NS
    return read_settings(raw)


Node._open = open_with_late_deadline  # type: ignore[method-assign]
config.read_settings = read_settings_with_long_aims  # type: ignore[attr-defined]
sys.exit(daemon.main())
