"""An epoll selector that retries registrations the kernel could not take."""

from __future__ import annotations

import errno
import select
import selectors
import time
from collections.abc import Callable
from typing import Any

RETRY_S = 0.01  # between attempts to bring the kernel's registrations up to date
# Transient lack of resources in the kernel; any other error is the caller's fault.
TRANSIENT_ERRORS = frozenset({errno.ENOMEM, errno.ENOSPC, errno.ENOBUFS, errno.EINTR, errno.EAGAIN})
NOT_REGISTERED_ERRORS = frozenset({errno.ENOENT, errno.EBADF, errno.EPERM})  # from a removal


class ResilientSelector(selectors.EpollSelector):
    """An epoll selector that keeps its own record of registrations and brings the kernel in line with it.

    Transient failures of `epoll_ctl` are retried before each wait. `on_failure` is called with the name and the error
    of each failed call."""

    def __init__(self, on_failure: Callable[[str, OSError], None] = lambda call, error: None) -> None:
        super().__init__()
        self._on_failure = on_failure
        self._kernel_events: dict[int, int] = {}  # descriptor -> events registered in the kernel
        self._out_of_sync: set[int] = set()  # descriptors whose kernel registration differs
        self._deferred: dict[int, tuple[int, float]] = {}  # descriptor -> events ignored, and until when

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Register a file object now, or as soon as the kernel accepts it."""
        key = selectors._BaseSelectorImpl.register(self, fileobj, events, data)
        self._kernel_events.pop(key.fd, None)  # the number may have belonged to an earlier descriptor
        try:
            self._sync(key.fd)
        except OSError:
            selectors._BaseSelectorImpl.unregister(self, fileobj)
            raise
        return key

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Change the events or the data of a registration."""
        number = self._fileobj_lookup(fileobj)  # type: ignore[attr-defined]
        key = self._fd_to_key[number]._replace(events=events, data=data)  # type: ignore[attr-defined]
        self._fd_to_key[number] = key  # type: ignore[attr-defined]
        self._sync(number)
        return key  # type: ignore[no-any-return]

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Remove a registration."""
        key = selectors._BaseSelectorImpl.unregister(self, fileobj)
        self._deferred.pop(key.fd, None)
        self._sync(key.fd)
        return key

    def defer(self, descriptor: int, events: int) -> None:
        """Ignore these events of a descriptor for RETRY_S, because acting on them has just failed."""
        self._deferred[descriptor] = events, time.monotonic() + RETRY_S
        self._out_of_sync.add(descriptor)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events, for at most `timeout` seconds (None: without limit)."""
        if self._out_of_sync or self._deferred:
            self._sync_pending()
            if self._out_of_sync or self._deferred:
                timeout = RETRY_S if timeout is None else min(timeout, RETRY_S)
        try:
            return super().select(timeout)
        except OSError as error:
            self._on_failure("epoll_wait", error)
            time.sleep(RETRY_S)  # blocking is acceptable here, where the loop waits for events
            return []

    def _sync_pending(self) -> None:
        now_s = time.monotonic()
        for descriptor in [d for d, (_, until_s) in self._deferred.items() if until_s <= now_s]:
            del self._deferred[descriptor]
            self._out_of_sync.add(descriptor)
        for descriptor in list(self._out_of_sync):
            self._sync(descriptor)

    def _wanted(self, descriptor: int) -> int:
        """The epoll events that should be registered in the kernel."""
        key = self._fd_to_key.get(descriptor)  # type: ignore[attr-defined]
        if key is None:
            return 0
        events = key.events & ~self._deferred.get(descriptor, (0, 0.0))[0]
        read = select.EPOLLIN if events & selectors.EVENT_READ else 0
        return read | (select.EPOLLOUT if events & selectors.EVENT_WRITE else 0)

    def _sync(self, descriptor: int) -> None:
        """Update the kernel's registration; transient failures are retried later, others raise OSError."""
        wanted, known = self._wanted(descriptor), self._kernel_events.get(descriptor)
        registered = descriptor in self._fd_to_key  # type: ignore[attr-defined]
        try:
            if registered and known is None:
                self._add(descriptor, wanted)
            elif registered and known != wanted:
                self._change(descriptor, wanted)
            elif not registered and known is not None:
                self._remove(descriptor)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
            self._on_failure("epoll_ctl", error)
            self._out_of_sync.add(descriptor)
            return
        self._out_of_sync.discard(descriptor)
        if registered:
            self._kernel_events[descriptor] = wanted
        else:
            self._kernel_events.pop(descriptor, None)

    def _add(self, descriptor: int, events: int) -> None:
        try:
            self._selector.register(descriptor, events)  # type: ignore[attr-defined]
        except FileExistsError:
            self._selector.modify(descriptor, events)  # type: ignore[attr-defined]

    def _change(self, descriptor: int, events: int) -> None:
        try:
            self._selector.modify(descriptor, events)  # type: ignore[attr-defined]
        except FileNotFoundError:  # the descriptor was closed and its number reused
            self._selector.register(descriptor, events)  # type: ignore[attr-defined]

    def _remove(self, descriptor: int) -> None:
        try:
            self._selector.unregister(descriptor)  # type: ignore[attr-defined]
        except OSError as error:
            if error.errno not in NOT_REGISTERED_ERRORS:
                raise
