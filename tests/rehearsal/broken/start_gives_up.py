"""Fault: exits at the first failure of a call that its start needs."""

import sys
from collections.abc import Awaitable, Callable
from typing import TypeVar

from lanemux.core.failures import FailureCounter
from lanemux.net import daemon, node

T = TypeVar("T")


async def try_once(what: str, attempt: Callable[[], Awaitable[T]], counter: FailureCounter) -> T:
    return await attempt()


node.acquire = try_once  # type: ignore[attr-defined]
sys.exit(daemon.main())
