"""Tries again without a pause after an accept that failed."""

import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.server import Server


def again(self: Any, error: OSError) -> None:
    """The listener stays readable: the loop calls accept again at once."""


Server._accept_later = again  # type: ignore[method-assign]
sys.exit(daemon.main())
