"""Members in an order that a salt and their ids alone decide. No I/O and no clock.

Every balancer computes the same ring from the same ids, whatever the order in which it heard of them."""

from __future__ import annotations

from bisect import bisect_left
from typing import Generic, Protocol, TypeVar


class HasId(Protocol):
    """What can stand on a ring."""

    @property
    def id(self) -> int: ...


Member = TypeVar("Member", bound=HasId)


def hash_id(number: int, salt: int) -> int:
    """A fixed scramble of an id: the same on every balancer, whatever the hash seed."""
    x = (number * 0x9E3779B97F4A7C15 + salt * 0xD1B54A32D192ED03 + 0x632BE59BD9B4E019) & 0xFFFFFFFFFFFFFFFF
    x = ((x ^ (x >> 29)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return x ^ (x >> 32)


class Ring(Generic[Member]):
    """A sorted row of members; a change costs a search and a move of pointers, a look-up a search."""

    def __init__(self, salt: int) -> None:
        self.salt = salt
        self.keys: list[tuple[int, int]] = []
        self.members: list[Member] = []

    def __len__(self) -> int:
        return len(self.keys)

    def find(self, member: Member) -> tuple[int, bool]:
        """Where it stands, or would stand, and whether it is there."""
        key = (hash_id(member.id, self.salt), member.id)
        at = bisect_left(self.keys, key)
        return at, at < len(self.keys) and self.keys[at] == key

    def put(self, member: Member, inside: bool) -> bool:
        """Make it a member, or none; did that change anything?"""
        at, there = self.find(member)
        if there and not inside:
            del self.keys[at], self.members[at]
        elif inside and not there:
            self.keys.insert(at, (hash_id(member.id, self.salt), member.id))
            self.members.insert(at, member)
        return there is not inside
