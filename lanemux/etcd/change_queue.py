"""From keys and values to changes of the membership, in slices, the pressing ones first. No I/O and no clock.

A burst of thousands of changes must hold up neither the requests in hand nor the one drain in its middle: what ends
or drains an upstream is cut ahead of all else, and only a key's last word counts.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Iterable
from itertools import islice

from lanemux.core.membership import Entry, Membership
from lanemux.etcd.follower import MAX_KEYS, SECOND, Pair

log = logging.getLogger(__name__)

MAX_VALUE = 64 * 1024  # bytes; a row has some 200
MAX_HOST = 255  # bytes of a host's name
DOUBT_NS = 30 * SECOND  # for which an upstream that a store set back does not name is kept
PRESSING = (b"drain", b"removed")  # in a value that may end something; reading it decides


class Board:
    """What is still to be told of one prefix. `pressing` and `waiting` hold one word a host at the most."""

    def __init__(self, membership: Membership, prefix: bytes) -> None:
        self._membership, self._prefix = membership, prefix
        self._pressing: dict[str, Pair | None] = {}  # None: gone
        self._waiting: dict[str, Pair] = {}
        self._revisions: dict[str, int] = {}  # of each host that is known from here, by its last word
        self._named: set[str] = set()  # by the whole list that is being read
        self._doubts: dict[str, int] = {}  # host -> when it counts as gone
        self.complete = False  # there was a whole list

    @property
    def pending(self) -> int:
        """Hosts of which there is something to tell."""
        return len(self._pressing) + len(self._waiting)

    @property
    def presses(self) -> bool:
        """Is there something that ends or drains?"""
        return bool(self._pressing)

    @property
    def due_ns(self) -> int:
        """When the first doubt ends; 0: there is none."""
        return min(self._doubts.values(), default=0)

    # -- what is heard --

    def begin(self) -> None:
        """A whole list begins."""
        self._named.clear()

    def listed(self, pairs: Iterable[Pair], set_back: bool) -> None:
        """A part of the whole list. What is known at that revision is not read again, unless the store counts anew."""
        for pair in pairs:
            host = self._host(pair.key)
            if host:
                self._named.add(host)
                if set_back or self._revisions.get(host) != pair.revision:
                    self._put(host, pair)

    def whole(self, set_back: bool, now_ns: int) -> None:
        """The list is whole: what it does not name is gone.

        From a store that was set back (a restored backup, another cluster), and from a first list that is empty, an
        upstream that serves is no less sound for not being named: it stays for DOUBT_NS unless it is named or ended
        meanwhile. An empty list of a store that goes on is the sum of its deletions, and believed like them."""
        missing = (self._membership.hosts | self._revisions.keys() | self._waiting.keys()) - self._named
        doubted = set_back or not (self.complete or self._named)
        self.complete = True
        self._doubts = {h: at for h, at in self._doubts.items() if h in missing}
        for host in sorted(missing):
            if doubted:
                self._doubts.setdefault(host, now_ns + DOUBT_NS)
                self._revisions.pop(host, None)
            else:
                self._gone(host)
        if self._doubts:
            log.warning(
                "etcd: %d upstreams that the store does not name are kept for %d s",
                len(self._doubts),
                DOUBT_NS // SECOND,
            )
        self._named.clear()

    def changed(self, pairs: Iterable[Pair]) -> None:
        """Changes, in their order."""
        for pair in pairs:
            host = self._host(pair.key)
            if not host:
                continue
            if pair.value is None:
                self._gone(host)
            else:
                self._put(host, pair)

    def lapse(self, now_ns: int) -> None:
        """Doubts that have lasted long enough."""
        for host in [h for h, at in self._doubts.items() if at <= now_ns]:
            self._gone(host)

    def _host(self, key: bytes) -> str:
        """The host that a key is about, or nothing."""
        rest = key[len(self._prefix) :]
        try:
            host = rest.decode() if key.startswith(self._prefix) and len(rest) <= MAX_HOST else ""
        except UnicodeDecodeError:
            host = ""
        if not host or "/" in host or not host.isprintable():
            log.warning("etcd: key %.120r is not of the form PREFIX HOST and is left out", key)
            return ""
        return host

    def _gone(self, host: str) -> None:
        self._waiting.pop(host, None)
        self._revisions.pop(host, None)
        self._doubts.pop(host, None)
        self._pressing[host] = None

    def _put(self, host: str, pair: Pair) -> None:
        if host not in self._revisions and len(self._revisions) >= MAX_KEYS:
            log.warning("etcd: over %d hosts; %.80s is left out", MAX_KEYS, host)
            return
        self._doubts.pop(host, None)
        self._revisions[host] = pair.revision
        value = pair.value or b""
        # One that ends something is not written over while it waits: another upstream may come under its name.
        if self._pressing.get(host, pair) is not None:
            self._pressing.pop(host, None)
            if len(value) <= MAX_VALUE and any(word in value for word in PRESSING):
                self._waiting.pop(host, None)
                self._pressing[host] = pair
                return
        self._waiting[host] = pair

    # -- what is told --

    def cut(self, most: int, now_ns: int) -> list[Entry]:
        """The next entries to tell, so many at most; the pressing ones never share a slice with others."""
        store = self._pressing or self._waiting
        cut = [(host, store.pop(host)) for host in list(islice(store, most))]
        return [entry for host, pair in cut if (entry := self._entry(host, pair, now_ns)) is not None]

    def _entry(self, host: str, pair: Pair | None, now_ns: int) -> Entry | None:
        if pair is None or pair.value is None:
            return self._membership.leave(host)
        row = _row(host, pair.value)
        if row.get("health") == "removed":
            return self._membership.leave(host)
        last = self._membership.last(host)
        entry = self._membership.entry(host, row, now_ns)
        return None if entry == last else entry  # a row that says nothing new costs the module nothing


def _row(host: str, value: bytes) -> dict[str, object]:
    """The row that a value holds; an empty one, which the membership takes for unreadable, if it holds none."""
    try:
        row = json.loads(value) if len(value) <= MAX_VALUE else None
    except (ValueError, RecursionError):
        row = None
    if not isinstance(row, dict):
        log.warning("etcd: the value of %.80s is no JSON object of at most %d bytes", host, MAX_VALUE)
        return {}
    return row
