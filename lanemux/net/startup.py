"""Retries for resources that a start needs from the machine."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

from lanemux.core.failures import Backoff, FailureCounter, TransientError, UnrecoverableError, errno_name, is_permanent
from lanemux.core.system import System

log = logging.getLogger(__name__)

T = TypeVar("T")


class Interrupted(Exception):
    """A signal asked the process to end while it waited for a resource."""


def wait_for(what: str, attempt: Callable[[], T], system: System) -> T:
    """Call `attempt` until it succeeds; for use before an event loop runs.

    Raises Interrupted if a signal asks the process to end, UnrecoverableError for a permanent OSError, and the
    TransientError of `attempt` after its `retry_for_s`."""
    backoff, logged_reason = Backoff(), ""
    while True:
        try:
            return attempt()
        except OSError as error:
            if is_permanent(error):
                raise UnrecoverableError(f"{what}: {error}") from error
            reason = errno_name(error)
        except TransientError as error:
            if backoff.paused_s >= error.retry_for_s:
                raise
            reason = str(error) if error.retry_for_s > backoff.paused_s + 1 else ""
        if reason and reason != logged_reason:
            log.warning("%s: %s; is tried again", what, reason)
            logged_reason = reason
        system.sleep(backoff.next_s())
        if system.termination_pending():
            raise Interrupted(what)


async def acquire(what: str, attempt: Callable[[], Awaitable[T]], counter: FailureCounter) -> T:
    """Call `attempt` until it succeeds; each kind of failure is logged once.

    Raises UnrecoverableError for a permanent OSError."""
    backoff, logged_reasons = Backoff(), set[str]()
    while True:
        try:
            acquired = await attempt()
        except OSError as error:
            reason = errno_name(error)
            counter.call_failed(what, reason)
            if is_permanent(error):
                raise UnrecoverableError(f"{what}: {error}") from error
            if reason not in logged_reasons:
                logged_reasons.add(reason)
                log.warning("%s: %s; is tried again", what, error)
        else:
            if logged_reasons:
                log.info("%s is there now", what)
            return acquired
        await asyncio.sleep(backoff.next_s())


class BackgroundAcquisition:
    """Acquires optional resources in the background, with retries; service does not wait for them."""

    def __init__(self, counter: FailureCounter) -> None:
        self._counter = counter
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, what: str, attempt: Callable[[], Awaitable[object]]) -> None:
        """Start to acquire a resource. One that can never be acquired is logged, and the balancer runs without it."""
        task = asyncio.get_running_loop().create_task(self._acquire(what, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _acquire(self, what: str, attempt: Callable[[], Awaitable[object]]) -> None:
        try:
            await acquire(what, attempt, self._counter)
        except UnrecoverableError as error:
            log.error("%s; continuing without it", error)

    def stop(self) -> None:
        """Cancel all attempts."""
        for task in self._tasks:
            task.cancel()
