"""A hash ring: members in an order determined only by a salt and their ids. No I/O and no clock.

Every balancer computes the same ring from the same ids, regardless of the order in which they were added."""

from __future__ import annotations

from bisect import bisect_left
from typing import Generic, Protocol, TypeVar


class HasId(Protocol):
    """A member of a ring."""

    @property
    def id(self) -> int: ...


Member = TypeVar("Member", bound=HasId)


def hash_id(number: int, salt: int) -> int:
    """A deterministic 64-bit hash of an id, the same on every balancer and independent of PYTHONHASHSEED."""
    x = (number * 0x9E3779B97F4A7C15 + salt * 0xD1B54A32D192ED03 + 0x632BE59BD9B4E019) & 0xFFFFFFFFFFFFFFFF
    x = ((x ^ (x >> 29)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return x ^ (x >> 32)


class Ring(Generic[Member]):
    """A list of members sorted by hash. A lookup is a binary search; a change also shifts the list elements."""

    def __init__(self, salt: int) -> None:
        self.salt = salt
        self.keys: list[tuple[int, int]] = []
        self.members: list[Member] = []

    def __len__(self) -> int:
        return len(self.keys)

    def find(self, member: Member) -> tuple[int, bool]:
        """The index of the member, or where it would be inserted, and whether it is present."""
        key = (hash_id(member.id, self.salt), member.id)
        index = bisect_left(self.keys, key)
        return index, index < len(self.keys) and self.keys[index] == key

    def put(self, member: Member, present: bool) -> bool:
        """Add or remove the member; returns whether that changed the ring."""
        index, found = self.find(member)
        if found and not present:
            del self.keys[index], self.members[index]
        elif present and not found:
            self.keys.insert(index, (hash_id(member.id, self.salt), member.id))
            self.members.insert(index, member)
        return found is not present
