"""A key-value store with revisions, leases and compaction, as etcd's public documentation describes it. No I/O."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

FIRST_REVISION = 1  # of an empty store


class Compacted(Exception):
    """The requested revision was compacted; `args[0]` is the oldest revision that is kept."""


class FutureRevision(Exception):
    """The requested revision does not exist yet."""


class Change(NamedTuple):
    """A change of one key in one revision."""

    key: bytes
    value: bytes | None  # None: deleted
    created: int
    revision: int


@dataclass(slots=True)
class Lease:
    """A lease; its keys are deleted when it expires."""

    expires_ns: int
    keys: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class Backup:
    """The content of a store at one revision."""

    revision: int
    rows: list[Change]


class Store:
    """The state of one cluster. Every write is one revision, however many keys it changes."""

    def __init__(self, cluster: int = 7) -> None:
        self.cluster = cluster
        self.revision = FIRST_REVISION
        self.compacted = 0  # the history up to and including it is deleted
        self._log: list[Change] = []  # by revision
        self._keys: list[bytes] = []  # all keys written since the last compaction or alive at it, sorted
        self._versions: dict[bytes, list[Change]] = {}
        self._leases: dict[int, Lease] = {}
        self._leased: dict[bytes, int] = {}

    # -- writes --

    def write(self, changes: Iterable[tuple[bytes, bytes | None]], lease: int = 0) -> int:
        """Set or delete (None) keys in one revision, and return it. Deleting a missing key changes nothing."""
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
                self._apply(change)
                self._attach_lease(change, lease)
        return self.revision

    def grant(self, lease: int, expires_ns: int) -> None:
        """Create a lease, or extend it."""
        self._leases.setdefault(lease, Lease(expires_ns)).expires_ns = expires_ns

    def expire(self, now_ns: int) -> None:
        """Delete the keys of expired leases, each lease in one revision."""
        for number in [n for n, lease in self._leases.items() if lease.expires_ns <= now_ns]:
            self.write([(key, None) for key in sorted(self._leases.pop(number).keys)])

    def compact(self, revision: int) -> None:
        """Delete the history up to and including a revision; the keys that exist at it remain."""
        if not self.compacted < revision <= self.revision:
            raise Compacted(self.compacted) if revision <= self.compacted else FutureRevision(revision)
        self.compacted = revision
        # Deletions of the revision itself are lost too: up to etcd 3.4.31 and 3.5.12, a watch from it misses them.
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
        """The current keys, to restore with `from_backup`."""
        return Backup(self.revision, self.rows())

    @classmethod
    def from_backup(cls, backup: Backup, cluster: int) -> Store:
        """Restore a backup. etcd gives a restored cluster a new id, unless it is told to keep the old one."""
        store = cls(cluster)
        store.revision = store.compacted = backup.revision
        for row in backup.rows:
            store._apply(row)
        store._log.clear()
        return store

    # -- reads --

    def rows(self, begin: bytes = b"", end: bytes = b"\xff" * 8, revision: int = 0, limit: int = 0) -> list[Change]:
        """The keys in [begin, end) as of a revision (0: the newest); `limit` + 1 of them if there are more."""
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
        """The changes in [begin, end) from a revision on, in order."""
        if revision < self.compacted:
            raise Compacted(self.compacted)
        return [c for c in self._log[bisect_left(self._log, revision, key=_revision) :] if begin <= c.key < end]

    # -- internals --

    def _last(self, key: bytes) -> Change | None:
        versions = self._versions.get(key)
        return versions[-1] if versions and versions[-1].value is not None else None

    def _apply(self, change: Change) -> None:
        if change.key not in self._versions:
            insort(self._keys, change.key)
            self._versions[change.key] = []
        self._versions[change.key].append(change)
        self._log.append(change)

    def _attach_lease(self, change: Change, lease: int) -> None:
        old = self._leases.get(self._leased.pop(change.key, 0))
        if old is not None:
            old.keys.discard(change.key)
        if lease and change.value is not None:
            self._leases[lease].keys.add(change.key)
            self._leased[change.key] = lease


def _revision(change: Change) -> int:
    return change.revision
