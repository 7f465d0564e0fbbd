"""Fault: retries at once, without a pause, after a failed accept."""

import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.server import Server


def retry_without_pause(self: Any, error: OSError) -> None:
    """The listener stays readable, so the event loop calls accept again at once."""


Server._accept_later = retry_without_pause  # type: ignore[method-assign]
sys.exit(daemon.main())
