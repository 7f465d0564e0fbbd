"""A store of keys with revisions, leases and compaction, as etcd's public documentation describes it. No I/O."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

FIRST_REVISION = 1  # of an empty store


class Compacted(Exception):
    """The revision asked for is no more; `args[0]` is the one from which history is kept."""


class FutureRevision(Exception):
    """The revision asked for is yet to come."""


class Change(NamedTuple):
    """A key as one revision made it."""

    key: bytes
    value: bytes | None  # None: deleted
    created: int
    revision: int


@dataclass(slots=True)
class Lease:
    """Keys that go when it runs out."""

    ends_ns: int
    keys: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class Backup:
    """A backup."""

    revision: int
    rows: list[Change]


class Store:
    """One cluster's state. Every write is one revision, however many keys it writes."""

    def __init__(self, cluster: int = 7) -> None:
        self.cluster = cluster
        self.revision = FIRST_REVISION
        self.compacted = 0  # history up to and with it is gone
        self._log: list[Change] = []  # by revision
        self._keys: list[bytes] = []  # all that were ever written since the last compaction, in order
        self._versions: dict[bytes, list[Change]] = {}
        self._leases: dict[int, Lease] = {}
        self._leased: dict[bytes, int] = {}

    # -- writes --

    def write(self, changes: Iterable[tuple[bytes, bytes | None]], lease: int = 0) -> int:
        """Set or delete (None) keys in one revision; gives it. Deleting what is not there changes nothing."""
        made = []
        for key, value in dict(changes).items():
            last = self._last(key)
            if value is None and last is None:
                continue
            created = last.created if last is not None else self.revision + 1
            made.append(Change(key, value, created, self.revision + 1))
        if made:
            self.revision += 1
            for change in made:
                self._take(change)
                self._lease(change, lease)
        return self.revision

    def grant(self, lease: int, ends_ns: int) -> None:
        """A lease, or a longer time for it."""
        self._leases.setdefault(lease, Lease(ends_ns)).ends_ns = ends_ns

    def expire(self, now_ns: int) -> None:
        """Leases that have run out take their keys with them, each lease in one revision."""
        for number in [n for n, lease in self._leases.items() if lease.ends_ns <= now_ns]:
            self.write([(key, None) for key in sorted(self._leases.pop(number).keys)])

    def compact(self, revision: int) -> None:
        """Forget history up to and with a revision; what stands then stays."""
        if not self.compacted < revision <= self.revision:
            raise Compacted(self.compacted) if revision <= self.compacted else FutureRevision(revision)
        self.compacted = revision
        # Of the revision itself, deletions are lost too: up to etcd 3.4.31 and 3.5.12 a watch from it misses them.
        self._log = [
            c
            for c in self._log[bisect_left(self._log, revision, key=_revision) :]
            if c.revision > revision or c.value is not None
        ]
        for key, versions in list(self._versions.items()):
            at = bisect_right(versions, revision, key=_revision)
            kept = versions[max(0, at - 1) :]
            if kept and kept[0].value is None and kept[0].revision <= revision:
                kept = kept[1:]
            if kept:
                self._versions[key] = kept
            else:
                del self._versions[key]
                del self._keys[bisect_left(self._keys, key)]

    def backup(self) -> Backup:
        return Backup(self.revision, self.rows())

    @classmethod
    def from_backup(cls, saved: Backup, cluster: int) -> Store:
        """What was saved; a restored cluster has another id, unless it is told to keep its own."""
        store = cls(cluster)
        store.revision = store.compacted = saved.revision
        for row in saved.rows:
            store._take(row)
        store._log.clear()
        return store

    # -- reads --

    def rows(self, begin: bytes = b"", end: bytes = b"\xff" * 8, revision: int = 0, limit: int = 0) -> list[Change]:
        """The keys in [begin, end) as of a revision (0: the newest), one more than `limit` to show that there are."""
        if revision > self.revision:
            raise FutureRevision(revision)
        if 0 < revision < self.compacted:
            raise Compacted(self.compacted)
        found: list[Change] = []
        for key in self._keys[bisect_left(self._keys, begin) : bisect_left(self._keys, end)]:
            versions = self._versions[key]
            at = bisect_right(versions, revision, key=_revision) if revision else len(versions)
            if at and versions[at - 1].value is not None:
                found.append(versions[at - 1])
                if limit and len(found) > limit:
                    break
        return found

    def since(self, revision: int, begin: bytes, end: bytes) -> Sequence[Change]:
        """The changes in [begin, end) from a revision on, in their order."""
        if revision < self.compacted:
            raise Compacted(self.compacted)
        return [c for c in self._log[bisect_left(self._log, revision, key=_revision) :] if begin <= c.key < end]

    # -- within --

    def _last(self, key: bytes) -> Change | None:
        versions = self._versions.get(key)
        return versions[-1] if versions and versions[-1].value is not None else None

    def _take(self, change: Change) -> None:
        if change.key not in self._versions:
            insort(self._keys, change.key)
            self._versions[change.key] = []
        self._versions[change.key].append(change)
        self._log.append(change)

    def _lease(self, change: Change, lease: int) -> None:
        old = self._leases.get(self._leased.pop(change.key, 0))
        if old is not None:
            old.keys.discard(change.key)
        if lease and change.value is not None:
            self._leases[lease].keys.add(change.key)
            self._leased[change.key] = lease


def _revision(change: Change) -> int:
    return change.revision
