"""Deterministic subsetting: the members that one balancer uses, from a ring that all balancers compute alike.

No I/O and no clock. Members are in two partitions, near and far. Each partition has a ring that is the same for all
balancers, and an order specific to this balancer. The subset is a contiguous range of the near partition's ring, and
continues in the far partition if the near one is too short. Queries cost the size of the subset or a binary search;
none grows with the number of members."""

from __future__ import annotations

from typing import Generic, TypeVar

from lanemux.core.ring import HasId, Ring

Member = TypeVar("Member", bound=HasId)


class Partition(Generic[Member]):
    """Members on the ring shared by all balancers and in the order specific to this balancer."""

    def __init__(self, me: int) -> None:
        self.ring, self.own_order = Ring[Member](0), Ring[Member](me + 1)

    def put(self, member: Member, present: bool) -> bool:
        """Add or remove the member; returns whether that changed anything."""
        return self.ring.put(member, present) and self.own_order.put(member, present)


class Index(Generic[Member]):
    """The members of one pool. `candidates` is the subset followed by the next member outside it."""

    def __init__(self, me: int) -> None:
        self._near_part, self._far_part = Partition[Member](me), Partition[Member](me)
        self.subset_size = 0  # number of members in the subset
        self.subset_start = 0  # position on the ring of its partition where it starts
        self.candidates: list[Member] = []

    def __len__(self) -> int:
        return len(self._near_part.ring) + len(self._far_part.ring)

    def put(self, member: Member, present: bool, near: bool = True) -> bool:
        """Add the member to one of the partitions or remove it; returns whether that changed anything."""
        changed = self._near_part.put(member, present and near)
        return self._far_part.put(member, present and not near) or changed

    @property
    def _subset_part(self) -> Partition[Member]:
        """The partition that holds the subset: the near one, unless it is empty."""
        return self._near_part if len(self._near_part.ring) else self._far_part

    @property
    def _far(self) -> list[Member]:
        """Members of the far partition, if it is not the one that holds the subset."""
        return self._far_part.own_order.members if len(self._near_part.ring) else []

    @property
    def near_count(self) -> int:
        """Number of members in the partition that holds the subset."""
        return len(self._subset_part.ring)

    def position(self, member: Member) -> int | None:
        """The member's position on the ring that holds the subset; None if it is not on it."""
        index, found = self._subset_part.ring.find(member)
        return index if found else None

    def in_subset(self, member: Member) -> bool:
        """Whether the member belongs to the subset."""
        index, n = self.position(member), self.near_count
        if index is not None:
            return (index - self.subset_start) % n < self.subset_size
        if self.subset_size <= n or not len(self._near_part.ring):
            return False
        index, found = self._far_part.own_order.find(member)
        return found and index < self.subset_size - n

    def set_subset(self, start: int, size: int) -> None:
        """Set the start and size of the subset and recompute `candidates`."""
        self.subset_start, self.subset_size = start, size
        ring, n, far, end = self._subset_part.ring.members, self.near_count, self._far, start + size
        self.candidates = ring[start:end] + ring[: min(start, max(0, end - n))] + far[: max(0, size - n)]
        outside = (m for m in self._subset_part.own_order.members if not self.in_subset(m))
        following = next(outside, None) if size < n else next(iter(far[size - n :][:1]), None)
        if following is not None:
            self.candidates.append(following)

    def all(self) -> list[Member]:
        """The subset, then the other members in this balancer's own order."""
        outside = [m for m in self._subset_part.own_order.members if not self.in_subset(m)]
        return self.candidates[: self.subset_size] + outside + self._far[max(0, self.subset_size - self.near_count) :]
