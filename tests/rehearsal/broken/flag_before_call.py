"""Notes that it accepts before the kernel has been told to look at its listening socket."""

import asyncio
import selectors
import sys

from lanemux.eventloop import loop
from lanemux.net import daemon
from lanemux.net.server import Server


class PlainSelector(selectors.EpollSelector):
    """What `epoll_ctl` refuses is an error of whoever registers."""

    def __init__(self, failed: object) -> None:
        super().__init__()

    def defer(self, descriptor: int, events: int) -> None:
        pass


def resume(self: Server) -> None:
    if self._listener is not None and not self._accepting and self._accept_retry is None:
        self._accepting = True
        asyncio.get_running_loop().add_reader(self._listener, self._accept)


def look_at_listening(self: Server) -> None:
    pass


loop.__dict__["ResilientSelector"] = PlainSelector
Server._resume = resume  # type: ignore[method-assign]
Server._check_listener = look_at_listening  # type: ignore[method-assign]
sys.exit(daemon.main())
