"""A callback that fails is never called again, and nothing is said."""

import asyncio
import sys

from lanemux.net import daemon
from lanemux.net.server import Server

accept = Server._accept_connections


def accept_or_die(self: Server, limit: int) -> bool:
    assert self._listener is not None
    try:
        self._register(self._listener.accept())
    except BlockingIOError:
        return True
    except OSError:
        asyncio.get_running_loop().remove_reader(self._listener)
        return True
    return accept(self, limit)


Server._accept_connections = accept_or_die  # type: ignore[method-assign]
sys.exit(daemon.main())
