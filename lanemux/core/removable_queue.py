"""A FIFO queue from which any member can be removed in constant time. No I/O and no clock."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Member = TypeVar("Member", bound=Hashable)


class RemovableQueue(Generic[Member]):
    """A FIFO queue with removal from the middle in constant time, where `deque.remove` is linear."""

    def __init__(self) -> None:
        self._members: OrderedDict[Member, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members)

    @property
    def first(self) -> Member:
        """The member at the head; KeyError if the queue is empty."""
        for member in self._members:
            return member
        raise KeyError("the queue is empty")

    def append(self, member: Member) -> None:
        """Add a member at the tail."""
        self._members[member] = None

    def appendleft(self, member: Member) -> None:
        """Add a member at the head, for one that was in the queue before."""
        self._members[member] = None
        self._members.move_to_end(member, last=False)

    def popleft(self) -> Member:
        """Remove and return the member at the head; KeyError if the queue is empty."""
        return self._members.popitem(last=False)[0]

    def remove(self, member: Member) -> None:
        """Remove a member from any position; KeyError if it is not in the queue."""
        del self._members[member]
