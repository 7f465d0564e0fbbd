"""Stops listening at the first accept that fails."""

import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.server import Server


def close(self: Any, error: OSError) -> None:
    self.stop_listening()


Server._accept_later = close  # type: ignore[method-assign]
sys.exit(daemon.main())
