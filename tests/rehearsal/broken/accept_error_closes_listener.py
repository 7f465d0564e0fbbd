"""Fault: closes its listening socket when an accept fails."""

import sys
from typing import Any

from lanemux.net import daemon
from lanemux.net.server import Server


def stop_on_accept_error(self: Any, error: OSError) -> None:
    self.stop_listening()


Server._accept_later = stop_on_accept_error  # type: ignore[method-assign]
sys.exit(daemon.main())
