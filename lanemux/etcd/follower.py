"""Follows a prefix in etcd by list and watch, as a state machine. No I/O and no clock.

The follower takes events with the current time, and returns the actions to take: calls to make, and changes. It lists
the prefix at one revision, watches from there, and resumes the watch after a lost connection. Source: etcd's public
v3 API (KV.Range and Watch in rpc.proto, "API guarantees" in etcd's documentation).
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

MS = 1_000_000
SECOND = 1000 * MS
PAGE_TIMEOUT_NS = 5 * SECOND  # for a page of the list; large ones take some 50 ms
OPEN_TIMEOUT_NS = 2 * SECOND  # for the confirmation of a watch
IDLE_NS = 1 * SECOND  # a watch silent for so long is asked for its progress
PROGRESS_TIMEOUT_NS = 1 * SECOND  # without an answer to that, the watch counts as lost
STABLE_NS = 1 * SECOND  # a watch open for so long resets the count of failures
LAG_TIMEOUT_NS = 3 * SECOND  # a member behind the known revision for so long is abandoned
MIN_BACKOFF_NS, MAX_BACKOFF_NS = 50 * MS, 5 * SECOND  # between attempts, doubled each time
MAX_KEYS = 100_000  # of one list: ten times the largest fleet; bounds an endless answer


class KeyValue(NamedTuple):
    """A key with its value, or its deletion."""

    key: bytes
    value: bytes | None  # None: deleted, or its lease expired
    revision: int  # of its last change


# ---- events -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Page:
    """A part of the list, in key order; `revision` is the store's at the time of reading."""

    cluster: int
    revision: int
    items: Sequence[KeyValue]
    more: bool


@dataclass(frozen=True, slots=True)
class WatchCreated:
    """The watch is confirmed."""

    cluster: int
    revision: int


@dataclass(frozen=True, slots=True)
class WatchEvents:
    """Changes in order of revision; `more`: those of the last revision may continue in the next event."""

    cluster: int
    revision: int
    items: Sequence[KeyValue]
    more: bool = False


@dataclass(frozen=True, slots=True)
class Progress:
    """A progress notification with the member's revision."""

    cluster: int
    revision: int


@dataclass(frozen=True, slots=True)
class WatchCancelled:
    """The server has ended the watch; `compact_revision` above 0: history before it was compacted."""

    reason: str
    compact_revision: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """The current call has ended in any other way."""

    reason: str


@dataclass(frozen=True, slots=True)
class Tick:
    """The time `due_ns` has come."""


Event = Page | WatchCreated | WatchEvents | Progress | WatchCancelled | Failed | Tick

# ---- actions ------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ListPage:
    """Request a page from this key on (b"": the first), at a revision (0: the newest, by a linearizable read)."""

    start: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class OpenWatch:
    """Open a watch that starts at this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """Request a progress notification on the watch."""


@dataclass(frozen=True, slots=True)
class Close:
    """End the current call; `switch_endpoint`: the next one goes to another endpoint."""

    switch_endpoint: bool


@dataclass(frozen=True, slots=True)
class ListStarted:
    """A list starts; discards the pages of an earlier one that was not completed."""


@dataclass(frozen=True, slots=True)
class ListedKeys:
    """A part of the list; `rolled_back`: its revisions can't be compared with those known before."""

    items: Sequence[KeyValue]
    rolled_back: bool


@dataclass(frozen=True, slots=True)
class ListComplete:
    """The list is complete: keys missing in it are gone, or doubtful if the store was rolled back."""

    rolled_back: bool


@dataclass(frozen=True, slots=True)
class Changed:
    """Changes, in order of revision."""

    items: Sequence[KeyValue]


@dataclass(frozen=True, slots=True)
class LogWarning:
    """A warning for the log."""

    text: str


Action = ListPage | OpenWatch | RequestProgress | Close | ListStarted | ListedKeys | ListComplete | Changed | LogWarning


class State(Enum):
    """What the follower is doing."""

    BACKING_OFF = "resting"  # no call is in progress; the next one starts at `due_ns`
    LISTING = "listing"
    OPENING = "opening"
    WATCHING = "watching"


class Follower:
    """Follows one list. It needs a Tick at `due_ns` at the latest."""

    def __init__(self, rng: random.Random) -> None:
        self.state = State.BACKING_OFF
        self.due_ns = 0
        self.cluster: int | None = None  # of the last complete list
        self.highest_revision = 0  # of a complete list or of a change to it
        self.resume_revision = 0  # first revision not completely known; 0: no list to resume from
        self._rng = rng
        self._failures = 0
        self._page_revision = self._page_cluster = 0  # of the list being read; 0: no page yet
        self._page_start = b""
        self._key_count = 0
        self._rolled_back = False
        self._watching_since_ns = 0  # when the watch was confirmed
        self._progress_asked_ns = 0  # when progress was requested; 0: no request is pending
        self._behind_since_ns = 0  # since when the member has lagged; 0: it does not

    def handle(self, now: int, event: Event) -> list[Action]:
        """The actions that follow from an event, in order."""
        match event:
            case Page() if self.state is State.LISTING:
                return self._on_page(now, event)
            case WatchCreated() if self.state is State.OPENING:
                return self._on_created(now, event)
            case WatchEvents() if self.state is State.WATCHING:
                return self._on_events(now, event)
            case Progress() if self.state is State.WATCHING:
                return self._on_progress(now, event)
            case WatchCancelled() if self.state in (State.OPENING, State.WATCHING):
                return self._on_cancelled(now, event)
            case Failed() if self.state is not State.BACKING_OFF:
                return self._fail(now, event.reason)
            case Tick():
                return self._on_tick(now)
        return []  # late event of a call that has ended already

    # -- listing --

    def _start_list(self, now: int) -> list[Action]:
        """Start a new list. Its read is linearizable: a lagging member catches up before it answers."""
        self.state, self.due_ns = State.LISTING, now + PAGE_TIMEOUT_NS
        self._page_revision, self._page_start, self._key_count = 0, b"", 0
        self.resume_revision = self._behind_since_ns = 0
        return [ListStarted(), ListPage(b"", 0)]

    def _on_page(self, now: int, page: Page) -> list[Action]:
        first = self._page_revision == 0
        if first:
            self._rolled_back = self.cluster is not None and (
                page.cluster != self.cluster or page.revision < self.highest_revision
            )
            self._page_revision, self._page_cluster = page.revision, page.cluster
        elif page.cluster != self._page_cluster:
            return self._fail(now, "another cluster in the middle of a list")
        error = self._page_error(page)
        if error:
            return self._fail(now, error)
        self._key_count += len(page.items)
        actions: list[Action] = [ListedKeys(page.items, self._rolled_back)]
        if page.more:
            self._page_start = page.items[-1].key + b"\0"
            self.due_ns = now + PAGE_TIMEOUT_NS
            return [*actions, ListPage(self._page_start, self._page_revision)]
        if self._rolled_back:
            actions.append(
                LogWarning(
                    f"etcd: store at {self._page_revision} after {self.highest_revision}: rolled back or replaced"
                )
            )
        self.cluster, self.highest_revision = self._page_cluster, self._page_revision
        self.resume_revision = self._page_revision + 1
        return [*actions, ListComplete(self._rolled_back), *self._open_watch(now)]

    def _page_error(self, page: Page) -> str:
        """Why a page is invalid, or an empty string. Prevents following an endless or cyclic list for ever."""
        if page.revision <= 0:
            return "a list without a revision"
        if page.more and not page.items:
            return "an empty page with more to come"
        if self._key_count + len(page.items) > MAX_KEYS:
            return f"more than {MAX_KEYS} keys under the prefix"
        keys = [item.key for item in page.items]
        if any(a >= b for a, b in zip(keys, keys[1:], strict=False)) or (keys and keys[0] < self._page_start):
            return "a list that is out of order"
        return ""

    # -- watching --

    def _open_watch(self, now: int) -> list[Action]:
        self.state, self.due_ns = State.OPENING, now + OPEN_TIMEOUT_NS
        self._progress_asked_ns = 0
        # Starts at the last known revision, whose repeated changes are skipped: a watch that starts at a revision just
        # compacted misses its deletions without an error (etcd up to 3.4.31 and 3.5.12).
        return [OpenWatch(max(1, self.resume_revision - 1))]

    def _on_created(self, now: int, event: WatchCreated) -> list[Action]:
        self.state, self._watching_since_ns = State.WATCHING, now
        self._on_response(now)
        if event.cluster != self.cluster:
            return self._other_cluster(now)
        return self._check_lag(now, event.revision)

    def _other_cluster(self, now: int) -> list[Action]:
        return [LogWarning("etcd: another cluster"), Close(False), *self._relist(now)]

    def _on_events(self, now: int, event: WatchEvents) -> list[Action]:
        if event.cluster != self.cluster:
            return self._other_cluster(now)
        self._on_response(now)
        # After a resume a revision may come twice: a part of it had arrived before the watch was lost.
        fresh = [item for item in event.items if item.revision >= self.resume_revision]
        if not fresh:
            return []
        last_revision = fresh[-1].revision
        self.resume_revision = last_revision if event.more else last_revision + 1
        self.highest_revision = max(self.highest_revision, last_revision)
        return [Changed(fresh)]

    def _on_progress(self, now: int, event: Progress) -> list[Action]:
        # It never moves the resume point: before etcd 3.4.25, progress could overtake changes.
        self._on_response(now)
        if event.cluster != self.cluster:
            return self._other_cluster(now)
        return self._check_lag(now, event.revision)

    def _on_response(self, now: int) -> None:
        self.due_ns, self._progress_asked_ns = now + IDLE_NS, 0
        if now - self._watching_since_ns >= STABLE_NS:
            self._failures = 0

    def _check_lag(self, now: int, revision: int) -> list[Action]:
        """Handle a member behind the known revision: it may catch up, be partitioned, or the store was rolled back."""
        if revision >= self.highest_revision:
            self._behind_since_ns = 0
            return []
        self._behind_since_ns = self._behind_since_ns or now
        if now - self._behind_since_ns < LAG_TIMEOUT_NS:
            return []
        return [
            LogWarning(f"etcd: a member stays at revision {revision}, but {self.highest_revision} is known"),
            Close(True),
            *self._relist(now),
        ]

    def _on_cancelled(self, now: int, event: WatchCancelled) -> list[Action]:
        if event.compact_revision > 0:
            return [
                LogWarning(f"etcd: history is compacted up to revision {event.compact_revision}; listing again"),
                Close(False),
                *self._relist(now),
            ]
        return self._fail(now, f"watch cancelled: {event.reason}")

    def _relist(self, now: int) -> list[Action]:
        """List at once the first time, then with backoff if the server keeps cancelling."""
        self._failures += 1
        self.resume_revision = 0
        return self._start_list(now) if self._failures == 1 else self._back_off(now)

    # -- failures --

    def _fail(self, now: int, reason: str) -> list[Action]:
        self._failures += 1
        return [LogWarning(f"etcd: {reason}"), Close(True), *self._back_off(now)]

    def _back_off(self, now: int) -> list[Action]:
        backoff_ns = min(MAX_BACKOFF_NS, MIN_BACKOFF_NS * 2 ** min(self._failures - 1, 10))
        self.state, self.due_ns = State.BACKING_OFF, now + int(backoff_ns * self._rng.uniform(0.5, 1.5))
        return []

    def _on_tick(self, now: int) -> list[Action]:
        if now < self.due_ns:
            return []
        match self.state:
            case State.BACKING_OFF:
                return self._open_watch(now) if self.resume_revision else self._start_list(now)
            case State.LISTING:
                return self._fail(now, "no answer to a list")
            case State.OPENING:
                return self._fail(now, "no answer to a watch")
            case State.WATCHING if self._progress_asked_ns:
                return self._fail(now, "a watch that is open and silent")
        self._progress_asked_ns, self.due_ns = now, now + PROGRESS_TIMEOUT_NS
        return [RequestProgress()]
