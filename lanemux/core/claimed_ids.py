"""The ids of requests that may have run and must not run again. Bounded in memory. No I/O of its own.

A hash table of fixed size: each id belongs to one bucket, where it takes the place of the oldest. The table can lie in
a file that two processes share."""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Callable
from typing import Protocol

ENTRY = struct.Struct("<QQ")  # digest of the id, 0: empty; time of the claim in ns of the monotonic clock
ENTRIES_PER_BUCKET = 8
BUCKET = struct.Struct("<" + "QQ" * ENTRIES_PER_BUCKET)
BUCKETS = 2048
TABLE_BYTES = BUCKETS * BUCKET.size
DIGEST_BYTES = 8


class Storage(Protocol):
    """Where the table lies: `TABLE_BYTES` bytes, at first all zero."""

    def read_at(self, offset: int, size: int) -> bytes:
        """Read a part. OSError on failure."""

    def write_at(self, offset: int, data: bytes) -> None:
        """Write a part. OSError on failure."""


class MemoryStorage:
    """A table in this process's memory."""

    def __init__(self) -> None:
        self._bytes = bytearray(TABLE_BYTES)

    def read_at(self, offset: int, size: int) -> bytes:
        return bytes(self._bytes[offset : offset + size])

    def write_at(self, offset: int, data: bytes) -> None:
        self._bytes[offset : offset + len(data)] = data


class ClaimStore(Protocol):
    """Knows which ids are taken."""

    def claim(self, request_id: bytes) -> bool:
        """Take an id; False if it was taken before."""

    def release(self, request_id: bytes) -> None:
        """Give an id back: its request has surely not run."""


class ClaimedIds:
    """The table. It forgets the oldest ids once it is full, after 8 to 16 thousand others."""

    def __init__(self, storage: Storage, clock_ns: Callable[[], int]) -> None:
        """`clock_ns`: the monotonic clock, which processes that share the table have in common."""
        self._storage, self._clock_ns = storage, clock_ns

    def claim(self, request_id: bytes) -> bool:
        """Take an id; False if it was taken before. OSError if the storage fails."""
        digest, offset = _locate(request_id)
        digests, times_ns = self._read(offset)
        if digest in digests:
            return False
        now = self._clock_ns()
        # A time in the future is from before this machine's last start.
        ages = [(0 if time_ns > now else time_ns, index) for index, time_ns in enumerate(times_ns)]
        self._storage.write_at(offset + min(ages)[1] * ENTRY.size, ENTRY.pack(digest, now))
        return True

    def release(self, request_id: bytes) -> None:
        """Give an id back. OSError if the storage fails."""
        digest, offset = _locate(request_id)
        digests, _ = self._read(offset)
        if digest in digests:
            self._storage.write_at(offset + digests.index(digest) * ENTRY.size, ENTRY.pack(0, 0))

    def _read(self, offset: int) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """The digests and times of the bucket there."""
        entries = BUCKET.unpack(self._storage.read_at(offset, BUCKET.size))
        return entries[::2], entries[1::2]


def _locate(request_id: bytes) -> tuple[int, int]:
    """The id's digest, which is not 0, and the offset of its bucket."""
    digest = int.from_bytes(hashlib.blake2b(request_id, digest_size=DIGEST_BYTES).digest(), "little") or 1
    return digest, digest % BUCKETS * BUCKET.size
