"""What a start needs from the machine is tried again until it can be had."""

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
    """A signal asks the process to end before what it waited for was there."""


def wait_for(what: str, attempt: Callable[[], T], system: System) -> T:
    """Call `attempt` until it succeeds, where no event loop runs yet.

    Raises Interrupted where a signal asks for the end, UnrecoverableError for an OSError that lasts, and what `attempt`
    raised once its patience is over."""
    backoff, told = Backoff(), ""
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
        if reason and reason != told:
            log.warning("%s: %s; is tried again", what, reason)
            told = reason
        system.sleep(backoff.next_s())
        if system.termination_pending():
            raise Interrupted(what)


async def acquire(what: str, attempt: Callable[[], Awaitable[T]], counter: FailureCounter) -> T:
    """Call `attempt` until it succeeds; each kind of failure is logged once. UnrecoverableError if an OSError lasts."""
    backoff, told = Backoff(), set[str]()
    while True:
        try:
            made = await attempt()
        except OSError as error:
            reason = errno_name(error)
            counter.call_failed(what, reason)
            if is_permanent(error):
                raise UnrecoverableError(f"{what}: {error}") from error
            if reason not in told:
                told.add(reason)
                log.warning("%s: %s; is tried again", what, error)
        else:
            if told:
                log.info("%s is there now", what)
            return made
        await asyncio.sleep(backoff.next_s())


class BackgroundAcquisition:
    """Something optional that is tried again in the background until it is there; service does not wait for it."""

    def __init__(self, counter: FailureCounter) -> None:
        self._counter = counter
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, what: str, attempt: Callable[[], Awaitable[object]]) -> None:
        """Go on trying. What can't be had at all is logged and left out."""
        task = asyncio.get_running_loop().create_task(self._acquire(what, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _acquire(self, what: str, attempt: Callable[[], Awaitable[object]]) -> None:
        try:
            await acquire(what, attempt, self._counter)
        except UnrecoverableError as error:
            log.error("%s; it is left out", error)

    def stop(self) -> None:
        """Try no longer."""
        for task in self._tasks:
            task.cancel()
