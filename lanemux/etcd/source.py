"""The list from etcd: drives the follower, talks to the members, and tells the changes in slices."""

from __future__ import annotations

import asyncio
import gc
import logging
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, assert_never

from lanemux.core.clock import now_ns
from lanemux.core.membership import Listing, Membership
from lanemux.core.source import Heard
from lanemux.core.system import Machine, System
from lanemux.etcd.change_queue import Board
from lanemux.etcd.follower import (
    SECOND,
    AskProgress,
    Begun,
    Changed,
    Close,
    Event,
    Failed,
    Follower,
    List,
    Listed,
    Said,
    Step,
    Tick,
    Watch,
    Whole,
)
from lanemux.etcd.member import Member, Target

log = logging.getLogger(__name__)

SLICE = 32  # changes told in one turn of the loop: some 1 ms
Ask = Callable[[Member, Callable[[Event], None]], Coroutine[Any, Any, None]]
AGE_LOG_NS = 10 * SECOND  # while etcd is away, the list's age is logged so often


@dataclass(frozen=True, slots=True)
class EtcdSourceFactory:
    """What makes the source of a target; equal for equal targets."""

    target: Target
    system: System = field(default_factory=Machine)

    def __call__(self, membership: Membership, rng: random.Random, heard: Heard) -> EtcdSource:
        return EtcdSource(self.target, membership, rng, heard, self.system)


class EtcdSource:
    """A `ListSource`. It follows from the first `watch` on until it is stopped."""

    def __init__(
        self, target: Target, membership: Membership, rng: random.Random, heard: Heard, system: System | None = None
    ) -> None:
        self._heard = heard
        self._system = system or Machine()
        self._target = target
        self._membership = membership
        # Each balancer in an order of its own: not all of them ask the same member.
        self._endpoints = rng.sample(target.endpoints, len(target.endpoints))
        self._follower = Follower(rng)
        self._board = Board(membership, target.begin)
        self._member: Member | None = None
        self._call: asyncio.Task[None] | None = None
        self._calls = 0  # the number of the call in hand
        self._timer: asyncio.TimerHandle | None = None
        self._telling: asyncio.Handle | None = None
        self._following = False
        self._settled = False  # the first list has been told
        self._contact_ns = 0  # when the store last said anything
        self._aged_ns = 0  # when the list's age was last logged

    # -- as a list source --

    def take_known(self, listing: Listing) -> None:
        """Nothing: its version is another source's."""

    def watch(self) -> None:
        if not self._following:
            self._following = True
            gc.freeze()  # what gRPC's modules hold stays; each pass over it stood still for some 50 ms
            self._contact_ns = now_ns()
            self._hear(Tick())

    def unwatch(self) -> None:
        """Nothing: a watch that stays costs the store less than a new one with each subscription."""

    def fetch(self) -> None:
        """Nothing: what is known is whole at all times."""

    async def stopped(self) -> None:
        if self._call is not None:
            await asyncio.wait([self._call])

    def stop(self) -> None:
        self._following = False
        call = self._call
        self._end_call()
        self._call = call  # it has been called off; `stopped` waits for its end
        if self._member is not None:
            self._member.close()
        for handle in (self._timer, self._telling):
            if handle is not None:
                handle.cancel()

    # -- the follower --

    def _hear(self, event: Event) -> None:
        if not self._following:
            return
        now = now_ns()
        if not isinstance(event, Tick | Failed):
            self._contact_ns = self._aged_ns = now
        for step in self._follower.handle(now, event):
            self._do(step, now)
        self._board.lapse(now)
        self._log_age(now)
        self._tell_soon()
        self._set_timer()

    def _do(self, step: Step, now: int) -> None:
        match step:
            case List():
                self._begin(lambda member, hear: member.list(step.start, step.revision, hear))
            case Watch():
                self._begin(lambda member, hear: member.watch(step.revision, hear))
            case AskProgress():
                if self._member is not None:
                    self._member.ask_progress()
            case Close():
                self._end_call()
                if step.leave:
                    self._leave()
            case Begun():
                self._board.begin()
            case Listed():
                self._board.listed(step.pairs, step.set_back)
            case Whole():
                self._board.whole(step.set_back, now)
                self._heard(Listing(self._follower.seen, False, [], "etcd", now))  # also if it changes nothing
                log.info("etcd: the list is whole at revision %d, %d changes", self._follower.seen, self._board.pending)
            case Changed():
                self._board.changed(step.pairs)
            case Said():
                log.warning("%s (%s)", step.text, "{}:{}".format(*self._endpoints[0]))
            case _:
                assert_never(step)

    def _begin(self, ask: Ask) -> None:
        """Start a call; what an earlier one still says finds nobody."""
        self._end_call()
        if self._member is None:
            self._member = Member(self._target, self._endpoints[0], self._system)
        self._calls += 1
        number = self._calls

        def hear(event: Event) -> None:
            if number == self._calls:
                self._hear(event)

        self._call = asyncio.get_running_loop().create_task(ask(self._member, hear))
        self._call.add_done_callback(lambda task: _fault(task, hear))

    def _end_call(self) -> None:
        self._calls += 1
        call, self._call = self._call, None
        if call is not None:
            call.cancel()  # also from within: it ends at its next wait

    def _leave(self) -> None:
        if self._member is not None:
            self._member.close()
            self._member = None
        self._endpoints.append(self._endpoints.pop(0))

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due = min(self._follower.due_ns, self._board.due_ns or self._follower.due_ns)
        self._timer = asyncio.get_running_loop().call_at(due / SECOND, self._hear, Tick())

    # -- telling --

    def _tell_soon(self) -> None:
        """What ends or drains something at once, the rest in turn with the requests in hand; nothing before the first
        list is whole: until then the source that this one may replace still counts."""
        if not self._board.complete:
            return
        if self._board.presses:
            self._tell_slice()
        if self._board.pending and self._telling is None:
            self._telling = asyncio.get_running_loop().call_soon(self._tell_on)

    def _tell_on(self) -> None:
        self._telling = None
        self._tell_slice()
        if self._board.pending:
            self._telling = asyncio.get_running_loop().call_soon(self._tell_on)
        elif not self._settled:
            # Once only: the first list stays for long, and what else is frozen with it is never looked at again.
            self._settled = True
            gc.freeze()

    def _tell_slice(self) -> None:
        now = now_ns()
        entries = self._board.cut(SLICE, now)
        if entries:
            self._heard(Listing(self._follower.seen, False, entries, "etcd", now))

    def _log_age(self, now: int) -> None:
        if now - max(self._contact_ns, self._aged_ns) >= AGE_LOG_NS:
            self._aged_ns = now
            log.warning(
                "etcd: nothing heard for %d s; the list of %d upstreams serves on",
                (now - self._contact_ns) // SECOND,
                len(self._membership.hosts),
            )


def _fault(task: asyncio.Task[None], hear: Callable[[Event], None]) -> None:
    """A call that ended by a fault of its own is one that failed, and no end of the following."""
    error = None if task.cancelled() else task.exception()
    if error is not None:
        log.error("etcd: a call broke", exc_info=error)
        hear(Failed(f"{type(error).__name__}: {error}"))
