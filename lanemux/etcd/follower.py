"""Following a prefix in etcd: what to ask next, and what its answers come to. No I/O and no clock.

The follower is handed what came and the time, and gives what is to be asked and what has changed. It lists the
prefix at one revision, watches from the next one on, and goes on watching from there over lost connections. Source:
etcd's public v3 API (KV.Range and Watch in rpc.proto, "API guarantees" in etcd's documentation).
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

MS = 1_000_000
SECOND = 1000 * MS
PAGE_NS = 5 * SECOND  # for a page of the list: large ones take some 50 ms
OPEN_NS = 2 * SECOND  # for a watch to be confirmed
QUIET_NS = 1 * SECOND  # a watch that says nothing for so long is asked how far it is
OVERDUE_NS = 1 * SECOND  # and lost if it does not answer that
SOUND_NS = 1 * SECOND  # a watch that has stood for so long was worth opening: what failed before is forgotten
BEHIND_NS = 3 * SECOND  # a member that is so long behind what is known already is left
FIRST_WAIT_NS, LAST_WAIT_NS = 50 * MS, 5 * SECOND  # between tries, doubled each time
MAX_KEYS = 100_000  # of one list: ten times the largest fleet; an answer that never ends must end here


class Pair(NamedTuple):
    """A key as it stands, or that it is gone."""

    key: bytes
    value: bytes | None  # None: deleted, or its lease ran out
    revision: int  # of its last change


# ---- what came ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Page:
    """A part of the list, in the order of its keys; `revision` is the store's when it was read."""

    cluster: int
    revision: int
    pairs: Sequence[Pair]
    more: bool


@dataclass(frozen=True, slots=True)
class Created:
    """The watch stands."""

    cluster: int
    revision: int


@dataclass(frozen=True, slots=True)
class News:
    """Changes in the order of their revisions; `more`: the last revision's may go on in the next one."""

    cluster: int
    revision: int
    pairs: Sequence[Pair]
    more: bool = False


@dataclass(frozen=True, slots=True)
class Progress:
    """The watch lives, and its member is that far."""

    cluster: int
    revision: int


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The server has ended the watch; `compacted` above 0: history before that revision is no more."""

    reason: str
    compacted: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """The call in hand has ended in any other way."""

    reason: str


@dataclass(frozen=True, slots=True)
class Tick:
    """The time that was asked for with Rest."""


Event = Page | Created | News | Progress | Cancelled | Failed | Tick

# ---- what to do ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class List:
    """Ask for a page, from this key on (b"": from the first), as of a revision (0: the newest, linearizable)."""

    start: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Open a watch that begins with this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class AskProgress:
    """Ask the watch how far it is."""


@dataclass(frozen=True, slots=True)
class Close:
    """End the call in hand; `leave`: the next one goes to another endpoint."""

    leave: bool


@dataclass(frozen=True, slots=True)
class Begun:
    """A whole list begins; pages of an earlier one that did not end count for nothing."""


@dataclass(frozen=True, slots=True)
class Listed:
    """A part of the whole list; `set_back`: its revisions can't be compared with those known before."""

    pairs: Sequence[Pair]
    set_back: bool


@dataclass(frozen=True, slots=True)
class Whole:
    """The list is whole: what was not named in it is gone, or in doubt if the store was set back."""

    set_back: bool


@dataclass(frozen=True, slots=True)
class Changed:
    """Changes, in their order."""

    pairs: Sequence[Pair]


@dataclass(frozen=True, slots=True)
class Said:
    """A line for the log."""

    text: str


Step = List | Watch | AskProgress | Close | Begun | Listed | Whole | Changed | Said


class State(Enum):
    RESTING = "resting"
    LISTING = "listing"
    OPENING = "opening"
    WATCHING = "watching"


class Follower:
    """One list. `due_ns` is when it wants a Tick at the latest."""

    def __init__(self, rng: random.Random) -> None:
        self.state = State.RESTING
        self.due_ns = 0
        self.cluster: int | None = None  # of the last whole list
        self.seen = 0  # the highest revision that a whole list or a change of it came with
        self.resume = 0  # the first revision not known whole; 0: there is no list to go on from
        self._rng = rng
        self._failures = 0
        self._page_revision = self._page_cluster = 0  # of the list being read; 0: its first page is still to come
        self._page_start = b""
        self._keys = 0
        self._set_back = False
        self._opened_ns = 0  # when the watch was confirmed
        self._asked_ns = 0  # when progress was asked for; 0: no answer is awaited
        self._behind_ns = 0  # since when the member has been behind; 0: it is not

    def handle(self, now: int, event: Event) -> list[Step]:
        """The steps that follow, in their order."""
        match event:
            case Page() if self.state is State.LISTING:
                return self._page(now, event)
            case Created() if self.state is State.OPENING:
                return self._created(now, event)
            case News() if self.state is State.WATCHING:
                return self._news(now, event)
            case Progress() if self.state is State.WATCHING:
                return self._progress(now, event)
            case Cancelled() if self.state in (State.OPENING, State.WATCHING):
                return self._cancelled(now, event)
            case Failed() if self.state is not State.RESTING:
                return self._fail(now, event.reason)
            case Tick():
                return self._tick(now)
        return []  # what a call says that has been ended already

    # -- listing --

    def _list(self, now: int) -> list[Step]:
        """List anew. Linearizable: any member first catches up with all that was told elsewhere."""
        self.state, self.due_ns = State.LISTING, now + PAGE_NS
        self._page_revision, self._page_start, self._keys = 0, b"", 0
        self.resume = self._behind_ns = 0
        return [Begun(), List(b"", 0)]

    def _page(self, now: int, page: Page) -> list[Step]:
        first = self._page_revision == 0
        if first:
            self._set_back = self.cluster is not None and (page.cluster != self.cluster or page.revision < self.seen)
            self._page_revision, self._page_cluster = page.revision, page.cluster
        elif page.cluster != self._page_cluster:
            return self._fail(now, "another cluster in the middle of a list")
        wrong = self._misplaced(page)
        if wrong:
            return self._fail(now, wrong)
        self._keys += len(page.pairs)
        steps: list[Step] = [Listed(page.pairs, self._set_back)]
        if page.more:
            self._page_start = page.pairs[-1].key + b"\0"
            self.due_ns = now + PAGE_NS
            return [*steps, List(self._page_start, self._page_revision)]
        if self._set_back:
            steps.append(Said(f"etcd: set back to revision {self._page_revision} from {self.seen}, or another cluster"))
        self.cluster, self.seen = self._page_cluster, self._page_revision
        self.resume = self._page_revision + 1
        return [*steps, Whole(self._set_back), *self._watch(now)]

    def _misplaced(self, page: Page) -> str:
        """What is wrong with a page, or nothing: an endless or circling list must not be followed for ever."""
        if page.revision <= 0:
            return "a list without a revision"
        if page.more and not page.pairs:
            return "an empty page with more to come"
        if self._keys + len(page.pairs) > MAX_KEYS:
            return f"more than {MAX_KEYS} keys under the prefix"
        keys = [p.key for p in page.pairs]
        if any(a >= b for a, b in zip(keys, keys[1:], strict=False)) or (keys and keys[0] < self._page_start):
            return "a list that is out of order"
        return ""

    # -- watching --

    def _watch(self, now: int) -> list[Step]:
        self.state, self.due_ns = State.OPENING, now + OPEN_NS
        self._asked_ns = 0
        # From the last revision that is known, whose changes come again and are left out: a watch from one that was
        # just compacted misses its deletions (etcd up to 3.4.31 and 3.5.12), and is not told so.
        return [Watch(max(1, self.resume - 1))]

    def _created(self, now: int, event: Created) -> list[Step]:
        self.state, self._opened_ns = State.WATCHING, now
        self._alive(now)
        if event.cluster != self.cluster:
            return self._other_cluster(now)
        return self._level(now, event.revision)

    def _other_cluster(self, now: int) -> list[Step]:
        return [Said("etcd: another cluster"), Close(False), *self._relist(now)]

    def _news(self, now: int, event: News) -> list[Step]:
        if event.cluster != self.cluster:
            return self._other_cluster(now)
        self._alive(now)
        # After a resume a revision may come a second time: its first part had come before the watch was lost.
        fresh = [p for p in event.pairs if p.revision >= self.resume]
        if not fresh:
            return []
        last = fresh[-1].revision
        self.resume = last if event.more else last + 1
        self.seen = max(self.seen, last)
        return [Changed(fresh)]

    def _progress(self, now: int, event: Progress) -> list[Step]:
        # It moves the resume point on no account: before etcd 3.4.25 progress could overtake changes.
        self._alive(now)
        if event.cluster != self.cluster:
            return self._other_cluster(now)
        return self._level(now, event.revision)

    def _alive(self, now: int) -> None:
        self.due_ns, self._asked_ns = now + QUIET_NS, 0
        if now - self._opened_ns >= SOUND_NS:
            self._failures = 0

    def _level(self, now: int, revision: int) -> list[Step]:
        """A member behind what is known: it catches up, or it is cut off, or the store was set back."""
        if revision >= self.seen:
            self._behind_ns = 0
            return []
        self._behind_ns = self._behind_ns or now
        if now - self._behind_ns < BEHIND_NS:
            return []
        return [
            Said(f"etcd: a member stays at revision {revision}, {self.seen} is known"),
            Close(True),
            *self._relist(now),
        ]

    def _cancelled(self, now: int, event: Cancelled) -> list[Step]:
        if event.compacted > 0:
            return [
                Said(f"etcd: history is gone up to revision {event.compacted}; the list is read anew"),
                Close(False),
                *self._relist(now),
            ]
        return self._fail(now, f"watch cancelled: {event.reason}")

    def _relist(self, now: int) -> list[Step]:
        """At once the first time; a server that cancels again and again is asked more and more seldom."""
        self._failures += 1
        self.resume = 0
        return self._list(now) if self._failures == 1 else self._rest(now)

    # -- trouble --

    def _fail(self, now: int, reason: str) -> list[Step]:
        self._failures += 1
        return [Said(f"etcd: {reason}"), Close(True), *self._rest(now)]

    def _rest(self, now: int) -> list[Step]:
        wait = min(LAST_WAIT_NS, FIRST_WAIT_NS * 2 ** min(self._failures - 1, 10))
        self.state, self.due_ns = State.RESTING, now + int(wait * self._rng.uniform(0.5, 1.5))
        return []

    def _tick(self, now: int) -> list[Step]:
        if now < self.due_ns:
            return []
        match self.state:
            case State.RESTING:
                return self._watch(now) if self.resume else self._list(now)
            case State.LISTING:
                return self._fail(now, "no answer to a list")
            case State.OPENING:
                return self._fail(now, "no answer to a watch")
            case State.WATCHING if self._asked_ns:
                return self._fail(now, "a watch that is open and silent")
        self._asked_ns, self.due_ns = now, now + OVERDUE_NS
        return [AskProgress()]
