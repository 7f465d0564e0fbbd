"""Fault: sets its flag for accepting before `epoll_ctl` has registered the listening socket."""

import asyncio
import selectors
import sys

from lanemux.eventloop import loop
from lanemux.net import daemon
from lanemux.net.server import Server


class NonRetryingSelector(selectors.EpollSelector):
    """Raises failures of `epoll_ctl` to the caller that registers, without retries."""

    def __init__(self, failed: object) -> None:
        super().__init__()

    def defer(self, descriptor: int, events: int) -> None:
        pass


def resume(self: Server) -> None:
    if self._listener is not None and not self._accepting and self._accept_retry is None:
        self._accepting = True
        asyncio.get_running_loop().add_reader(self._listener, self._accept)


def skip_check(self: Server) -> None:
    pass


loop.__dict__["ResilientSelector"] = NonRetryingSelector
Server._resume = resume  # type: ignore[method-assign]
Server._check_listener = skip_check  # type: ignore[method-assign]
sys.exit(daemon.main())
