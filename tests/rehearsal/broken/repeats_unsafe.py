"""Takes every class for one that is safe to repeat."""

import dataclasses
import sys
from typing import Any

from lanemux import interface as api
from lanemux.net import daemon
from lanemux.policy import Request

may_send = Request.may_send


def all_safe(self: Any, *rest: Any) -> bool:
    self.cls = dataclasses.replace(self.cls, effect=api.Effect.SAFE)
    return may_send(self, *rest)


Request.may_send = all_safe  # type: ignore[method-assign, assignment]
sys.exit(daemon.main())
