"""Fault: treats every request class as safe to retry."""

import dataclasses
import sys
from typing import Any

from lanemux import interface as api
from lanemux.net import daemon
from lanemux.policy import Request

may_send = Request.may_send


def may_send_as_safe(self: Any, *rest: Any) -> bool:
    self.cls = dataclasses.replace(self.cls, effect=api.Effect.SAFE)
    return may_send(self, *rest)


Request.may_send = may_send_as_safe  # type: ignore[method-assign, assignment]
sys.exit(daemon.main())
