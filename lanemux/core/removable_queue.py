"""A line of those who wait, first come first, out of which anyone may go. No I/O and no clock."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Member = TypeVar("Member", bound=Hashable)


class RemovableQueue(Generic[Member]):
    """A deque whose members leave from the middle in constant time, where `deque.remove` looks through it."""

    def __init__(self) -> None:
        self._members: OrderedDict[Member, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members)

    @property
    def first(self) -> Member:
        """Who stands first; KeyError if nobody waits."""
        for member in self._members:
            return member
        raise KeyError("nobody waits")

    def append(self, member: Member) -> None:
        self._members[member] = None

    def appendleft(self, member: Member) -> None:
        """To the front, as one that has stood in it before."""
        self._members[member] = None
        self._members.move_to_end(member, last=False)

    def popleft(self) -> Member:
        """The first one leaves; KeyError if nobody waits."""
        return self._members.popitem(last=False)[0]

    def remove(self, member: Member) -> None:
        """KeyError for one that does not wait."""
        del self._members[member]
