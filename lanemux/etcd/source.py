"""List source for etcd: drives the follower, calls the members, and delivers the changes in slices."""

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
from lanemux.core.source import ListingCallback
from lanemux.core.system import Machine, System
from lanemux.etcd.change_queue import ChangeQueue
from lanemux.etcd.follower import (
    SECOND,
    Action,
    Changed,
    Close,
    Event,
    Failed,
    Follower,
    ListComplete,
    ListedKeys,
    ListPage,
    ListStarted,
    LogWarning,
    OpenWatch,
    RequestProgress,
    Tick,
)
from lanemux.etcd.member import MemberClient, Target

log = logging.getLogger(__name__)

MAX_CHANGES_PER_SLICE = 32  # delivered in one turn of the event loop: some 1 ms
Call = Callable[[MemberClient, Callable[[Event], None]], Coroutine[Any, Any, None]]
AGE_LOG_INTERVAL_NS = 10 * SECOND  # between two log lines with the list's age while etcd is unreachable


@dataclass(frozen=True, slots=True)
class EtcdSourceFactory:
    """Creates the source of a target; two factories of equal targets are equal."""

    target: Target
    system: System = field(default_factory=Machine)

    def __call__(self, membership: Membership, rng: random.Random, on_listing: ListingCallback) -> EtcdSource:
        return EtcdSource(self.target, membership, rng, on_listing, self.system)


class EtcdSource:
    """A `ListSource`. It follows the prefix from the first `watch` on until it is stopped."""

    def __init__(
        self,
        target: Target,
        membership: Membership,
        rng: random.Random,
        on_listing: ListingCallback,
        system: System | None = None,
    ) -> None:
        self._deliver = on_listing
        self._system = system or Machine()
        self._target = target
        self._membership = membership
        # Shuffled, so that the balancers do not all use the same member.
        self._endpoints = rng.sample(target.endpoints, len(target.endpoints))
        self._follower = Follower(rng)
        self._queue = ChangeQueue(membership, target.range_start)
        self._client: MemberClient | None = None
        self._call: asyncio.Task[None] | None = None
        self._call_number = 0  # of the current call
        self._timer: asyncio.TimerHandle | None = None
        self._delivery: asyncio.Handle | None = None
        self._running = False
        self._first_list_delivered = False  # and frozen, see _deliver_next_slice
        self._last_contact_ns = 0  # when the last event came from the store
        self._last_age_log_ns = 0  # when the list's age was last logged

    # -- ListSource --

    def start_from(self, listing: Listing) -> None:
        """Does nothing: the version of that list belongs to another source."""

    def watch(self) -> None:
        if not self._running:
            self._running = True
            gc.freeze()  # gRPC's modules stay loaded; each collection over them blocked for some 50 ms
            self._last_contact_ns = now_ns()
            self._handle(Tick())

    def unwatch(self) -> None:
        """Does nothing: keeping the watch costs the store less than a new one for each subscription."""

    def fetch(self) -> None:
        """Does nothing: the known list is complete at all times."""

    async def wait_stopped(self) -> None:
        if self._call is not None:
            await asyncio.wait([self._call])

    def stop(self) -> None:
        self._running = False
        call = self._call
        self._end_call()
        self._call = call  # cancelled; `wait_stopped` waits for its end
        if self._client is not None:
            self._client.close()
        for handle in (self._timer, self._delivery):
            if handle is not None:
                handle.cancel()

    # -- the follower --

    def _handle(self, event: Event) -> None:
        if not self._running:
            return
        now = now_ns()
        if not isinstance(event, Tick | Failed):
            self._last_contact_ns = self._last_age_log_ns = now
        for action in self._follower.handle(now, event):
            self._execute(action, now)
        self._queue.remove_overdue(now)
        self._log_list_age(now)
        self._schedule_delivery()
        self._set_timer()

    def _execute(self, action: Action, now: int) -> None:
        match action:
            case ListPage():
                self._start_call(lambda member, on_event: member.list(action.start, action.revision, on_event))
            case OpenWatch():
                self._start_call(lambda member, on_event: member.watch(action.revision, on_event))
            case RequestProgress():
                if self._client is not None:
                    self._client.request_progress()
            case Close():
                self._end_call()
                if action.switch_endpoint:
                    self._switch_endpoint()
            case ListStarted():
                self._queue.begin_list()
            case ListedKeys():
                self._queue.add_listed(action.items, action.rolled_back)
            case ListComplete():
                self._queue.finish_list(action.rolled_back, now)
                self._deliver(Listing(self._follower.highest_revision, False, [], "etcd", now))  # even without changes
                log.info(
                    "etcd: the list is complete at revision %d, %d changes",
                    self._follower.highest_revision,
                    self._queue.pending,
                )
            case Changed():
                self._queue.add_changes(action.items)
            case LogWarning():
                log.warning("%s (%s)", action.text, "{}:{}".format(*self._endpoints[0]))
            case _:
                assert_never(action)

    def _start_call(self, call: Call) -> None:
        """Start a call; late events of an earlier one are dropped."""
        self._end_call()
        if self._client is None:
            self._client = MemberClient(self._target, self._endpoints[0], self._system)
        self._call_number += 1
        number = self._call_number

        def on_event(event: Event) -> None:
            if number == self._call_number:
                self._handle(event)

        self._call = asyncio.get_running_loop().create_task(call(self._client, on_event))
        self._call.add_done_callback(lambda task: _report_exception(task, on_event))

    def _end_call(self) -> None:
        self._call_number += 1
        call, self._call = self._call, None
        if call is not None:
            call.cancel()  # also from within the call: it ends at its next await

    def _switch_endpoint(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None
        self._endpoints.append(self._endpoints.pop(0))

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due = min(self._follower.due_ns, self._queue.due_ns or self._follower.due_ns)
        self._timer = asyncio.get_running_loop().call_at(due / SECOND, self._handle, Tick())

    # -- delivery --

    def _schedule_delivery(self) -> None:
        """Deliver removals and drains at once, the rest in slices between the other work of the event loop. Delivers
        nothing before the first list is complete: until then a source that this one replaces remains in use."""
        if not self._queue.complete:
            return
        if self._queue.has_urgent:
            self._deliver_slice()
        if self._queue.pending and self._delivery is None:
            self._delivery = asyncio.get_running_loop().call_soon(self._deliver_next_slice)

    def _deliver_next_slice(self) -> None:
        self._delivery = None
        self._deliver_slice()
        if self._queue.pending:
            self._delivery = asyncio.get_running_loop().call_soon(self._deliver_next_slice)
        elif not self._first_list_delivered:
            # Only once: the first list lives long, and whatever is frozen with it is never collected again.
            self._first_list_delivered = True
            gc.freeze()

    def _deliver_slice(self) -> None:
        now = now_ns()
        entries = self._queue.take(MAX_CHANGES_PER_SLICE, now)
        if entries:
            self._deliver(Listing(self._follower.highest_revision, False, entries, "etcd", now))

    def _log_list_age(self, now: int) -> None:
        if now - max(self._last_contact_ns, self._last_age_log_ns) >= AGE_LOG_INTERVAL_NS:
            self._last_age_log_ns = now
            log.warning(
                "etcd: no contact for %d s; the list of %d upstreams serves on",
                (now - self._last_contact_ns) // SECOND,
                len(self._membership.hosts),
            )


def _report_exception(task: asyncio.Task[None], on_event: Callable[[Event], None]) -> None:
    """Report an unexpected exception of a call as a failed call, so that the source goes on."""
    error = None if task.cancelled() else task.exception()
    if error is not None:
        log.error("etcd: a call failed unexpectedly", exc_info=error)
        on_event(Failed(f"{type(error).__name__}: {error}"))
