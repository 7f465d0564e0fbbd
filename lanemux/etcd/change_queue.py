"""Turns keys and values into changes of the membership, in slices, urgent ones first. No I/O and no clock.

A burst of thousands of changes must delay neither the requests being served nor a drain in its middle: removals and
drains are taken ahead of everything else, and only the latest value of a key counts.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Iterable
from itertools import islice

from lanemux.core.membership import Entry, Membership
from lanemux.etcd.follower import MAX_KEYS, SECOND, KeyValue

log = logging.getLogger(__name__)

MAX_VALUE_BYTES = 64 * 1024  # a row has some 200
MAX_HOST_BYTES = 255  # of a host's name
REMOVAL_DELAY_NS = 30 * SECOND  # before an upstream is removed that a rolled back store does not list
URGENT_MARKERS = (b"drain", b"removed")  # a value with one of them may drain or remove; parsing decides


class ChangeQueue:
    """Changes of one prefix that are not delivered yet: at most one per host, either urgent or normal."""

    def __init__(self, membership: Membership, prefix: bytes) -> None:
        self._membership, self._prefix = membership, prefix
        self._urgent: dict[str, KeyValue | None] = {}  # None: removed
        self._normal: dict[str, KeyValue] = {}
        self._revisions: dict[str, int] = {}  # of each host known from etcd: that of its latest value
        self._listed: set[str] = set()  # hosts in the list that is being read
        self._removal_times: dict[str, int] = {}  # host -> when it will be removed
        self.complete = False  # a complete list has been read

    @property
    def pending(self) -> int:
        """Number of hosts with an undelivered change."""
        return len(self._urgent) + len(self._normal)

    @property
    def has_urgent(self) -> bool:
        """Whether a removal or drain is waiting."""
        return bool(self._urgent)

    @property
    def due_ns(self) -> int:
        """When the first delayed removal is due; 0 if there is none."""
        return min(self._removal_times.values(), default=0)

    # -- input --

    def begin_list(self) -> None:
        """Start of a complete list."""
        self._listed.clear()

    def add_listed(self, items: Iterable[KeyValue], rolled_back: bool) -> None:
        """A part of the list. Hosts known at the same revision are skipped unless the store was rolled back."""
        for item in items:
            host = self._host_of(item.key)
            if host:
                self._listed.add(host)
                if rolled_back or self._revisions.get(host) != item.revision:
                    self._put(host, item)

    def finish_list(self, rolled_back: bool, now_ns: int) -> None:
        """End of the list: hosts that are not in it are removed.

        If the store was rolled back (a restored backup, another cluster), or the first list is empty, a missing
        upstream may still be healthy: it is kept for REMOVAL_DELAY_NS unless it is listed or removed meanwhile.
        An empty list of the same store is the result of its deletions, and is trusted like them."""
        missing = (self._membership.hosts | self._revisions.keys() | self._normal.keys()) - self._listed
        delayed = rolled_back or not (self.complete or self._listed)
        self.complete = True
        self._removal_times = {name: due_ns for name, due_ns in self._removal_times.items() if name in missing}
        for host in sorted(missing):
            if delayed:
                self._removal_times.setdefault(host, now_ns + REMOVAL_DELAY_NS)
                self._revisions.pop(host, None)
            else:
                self._remove(host)
        if self._removal_times:
            log.warning(
                "etcd: %d upstreams that the store does not list are kept for %d s",
                len(self._removal_times),
                REMOVAL_DELAY_NS // SECOND,
            )
        self._listed.clear()

    def add_changes(self, items: Iterable[KeyValue]) -> None:
        """Changes, in order of revision."""
        for item in items:
            host = self._host_of(item.key)
            if not host:
                continue
            if item.value is None:
                self._remove(host)
            else:
                self._put(host, item)

    def remove_overdue(self, now_ns: int) -> None:
        """Remove the hosts whose removal delay has passed."""
        for host in [name for name, due_ns in self._removal_times.items() if due_ns <= now_ns]:
            self._remove(host)

    def _host_of(self, key: bytes) -> str:
        """The host in a key, or an empty string if it has no valid one."""
        name = key[len(self._prefix) :]
        try:
            host = name.decode() if key.startswith(self._prefix) and len(name) <= MAX_HOST_BYTES else ""
        except UnicodeDecodeError:
            host = ""
        if not host or "/" in host or not host.isprintable():
            log.warning("etcd: key %.120r is not of the form PREFIX HOST and is ignored", key)
            return ""
        return host

    def _remove(self, host: str) -> None:
        self._normal.pop(host, None)
        self._revisions.pop(host, None)
        self._removal_times.pop(host, None)
        self._urgent[host] = None

    def _put(self, host: str, item: KeyValue) -> None:
        if host not in self._revisions and len(self._revisions) >= MAX_KEYS:
            log.warning("etcd: more than %d hosts; %.80s is ignored", MAX_KEYS, host)
            return
        self._removal_times.pop(host, None)
        self._revisions[host] = item.revision
        value = item.value or b""
        # A waiting removal is not overwritten: another upstream may follow under the same name.
        if self._urgent.get(host, item) is not None:
            self._urgent.pop(host, None)
            if len(value) <= MAX_VALUE_BYTES and any(marker in value for marker in URGENT_MARKERS):
                self._normal.pop(host, None)
                self._urgent[host] = item
                return
        self._normal[host] = item

    # -- output --

    def take(self, limit: int, now_ns: int) -> list[Entry]:
        """The next entries to deliver, at most `limit`; urgent ones never share a slice with others."""
        queue = self._urgent or self._normal
        taken = [(host, queue.pop(host)) for host in list(islice(queue, limit))]
        return [entry for host, item in taken if (entry := self._entry(host, item, now_ns)) is not None]

    def _entry(self, host: str, item: KeyValue | None, now_ns: int) -> Entry | None:
        if item is None or item.value is None:
            return self._membership.remove(host)
        row = _row(host, item.value)
        if row.get("health") == "removed":
            return self._membership.remove(host)
        last = self._membership.last_entry(host)
        entry = self._membership.read_row(host, row, now_ns)
        return None if entry == last else entry  # an unchanged row is not passed to the policy module


def _row(host: str, value: bytes) -> dict[str, object]:
    """The row in a value, or an empty one, which the membership rejects, if the value is invalid."""
    try:
        row = json.loads(value) if len(value) <= MAX_VALUE_BYTES else None
    except (ValueError, RecursionError):
        row = None
    if not isinstance(row, dict):
        log.warning("etcd: the value of %.80s is no JSON object of at most %d bytes", host, MAX_VALUE_BYTES)
        return {}
    return row
