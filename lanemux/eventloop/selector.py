"""A selector whose registrations hold although the kernel can't take them at once."""

from __future__ import annotations

import errno
import select
import selectors
import time
from collections.abc import Callable
from typing import Any

RETRY_S = 0.01  # between two tries to make the kernel's registrations what they should be
# The kernel lacks something for a moment; anything else is a fault of the caller's.
MOMENTARY = frozenset({errno.ENOMEM, errno.ENOSPC, errno.ENOBUFS, errno.EINTR, errno.EAGAIN})
ABSENT = frozenset({errno.ENOENT, errno.EBADF, errno.EPERM})  # from removing: the kernel knows nothing of it any more


class ResilientSelector(selectors.EpollSelector):
    """An epoll selector that keeps what is registered itself, and makes the kernel follow.

    What `epoll_ctl` refuses for a moment is tried again before each wait. `failed` is told of each failed call: its
    name and the error."""

    def __init__(self, failed: Callable[[str, OSError], None] = lambda call, error: None) -> None:
        super().__init__()
        self._failed = failed
        self._kernel: dict[int, int] = {}  # descriptor -> the events that the kernel has been told
        self._behind: set[int] = set()  # descriptors of which the kernel has been told something else than registered
        self._deferred: dict[int, tuple[int, float]] = {}  # descriptor -> events that are left out, and until when

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Watch it from now on, or as soon as the kernel can."""
        key = selectors._BaseSelectorImpl.register(self, fileobj, events, data)
        self._kernel.pop(key.fd, None)  # what was known of that number may be of an earlier descriptor
        try:
            self._follow(key.fd)
        except OSError:
            selectors._BaseSelectorImpl.unregister(self, fileobj)
            raise
        return key

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Watch it for other events, or with other data."""
        number = self._fileobj_lookup(fileobj)  # type: ignore[attr-defined]
        key = self._fd_to_key[number]._replace(events=events, data=data)  # type: ignore[attr-defined]
        self._fd_to_key[number] = key  # type: ignore[attr-defined]
        self._follow(number)
        return key  # type: ignore[no-any-return]

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Watch it no longer."""
        key = selectors._BaseSelectorImpl.unregister(self, fileobj)
        self._deferred.pop(key.fd, None)
        self._follow(key.fd)
        return key

    def defer(self, descriptor: int, events: int) -> None:
        """Leave these events of a descriptor out for a moment: acting on them has just failed."""
        self._deferred[descriptor] = events, time.monotonic() + RETRY_S
        self._behind.add(descriptor)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """The events that have come, waiting for so many seconds at the most (None: for ever)."""
        if self._behind or self._deferred:
            self._catch_up()
            if self._behind or self._deferred:
                timeout = RETRY_S if timeout is None else min(timeout, RETRY_S)
        try:
            return super().select(timeout)
        except OSError as error:
            self._failed("epoll_wait", error)
            time.sleep(RETRY_S)  # this is the loop's place to wait
            return []

    def _catch_up(self) -> None:
        now_s = time.monotonic()
        for descriptor in [d for d, (_, until_s) in self._deferred.items() if until_s <= now_s]:
            del self._deferred[descriptor]
            self._behind.add(descriptor)
        for descriptor in list(self._behind):
            self._follow(descriptor)

    def _wanted(self, descriptor: int) -> int:
        """The events that the kernel is to be told, in its own terms."""
        key = self._fd_to_key.get(descriptor)  # type: ignore[attr-defined]
        if key is None:
            return 0
        events = key.events & ~self._deferred.get(descriptor, (0, 0.0))[0]
        read = select.EPOLLIN if events & selectors.EVENT_READ else 0
        return read | (select.EPOLLOUT if events & selectors.EVENT_WRITE else 0)

    def _follow(self, descriptor: int) -> None:
        """Tell the kernel what is registered now; if it can't take that yet, later. OSError for what it never will."""
        wanted, told = self._wanted(descriptor), self._kernel.get(descriptor)
        registered = descriptor in self._fd_to_key  # type: ignore[attr-defined]
        try:
            if registered and told is None:
                self._add(descriptor, wanted)
            elif registered and told != wanted:
                self._change(descriptor, wanted)
            elif not registered and told is not None:
                self._remove(descriptor)
        except OSError as error:
            if error.errno not in MOMENTARY:
                raise
            self._failed("epoll_ctl", error)
            self._behind.add(descriptor)
            return
        self._behind.discard(descriptor)
        if registered:
            self._kernel[descriptor] = wanted
        else:
            self._kernel.pop(descriptor, None)

    def _add(self, descriptor: int, events: int) -> None:
        try:
            self._selector.register(descriptor, events)  # type: ignore[attr-defined]
        except FileExistsError:
            self._selector.modify(descriptor, events)  # type: ignore[attr-defined]

    def _change(self, descriptor: int, events: int) -> None:
        try:
            self._selector.modify(descriptor, events)  # type: ignore[attr-defined]
        except FileNotFoundError:  # it was closed, and its number has been given anew
            self._selector.register(descriptor, events)  # type: ignore[attr-defined]

    def _remove(self, descriptor: int) -> None:
        try:
            self._selector.unregister(descriptor)  # type: ignore[attr-defined]
        except OSError as error:
            if error.errno not in ABSENT:
                raise
