"""Fault: an accept callback that fails once is never called again, and nothing is logged."""

import asyncio
import sys

from lanemux.net import daemon
from lanemux.net.server import Server

accept_connections = Server._accept_connections


def accept_or_unregister(self: Server, limit: int) -> bool:
    assert self._listener is not None
    try:
        self._register(self._listener.accept())
    except BlockingIOError:
        return True
    except OSError:
        asyncio.get_running_loop().remove_reader(self._listener)
        return True
    return accept_connections(self, limit)


Server._accept_connections = accept_or_unregister  # type: ignore[method-assign]
sys.exit(daemon.main())
