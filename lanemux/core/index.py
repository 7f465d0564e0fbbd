"""Which members one balancer draws from: its home on a ring that all balancers compute alike. No I/O and no clock.

Members stand in two parts, those near and those farther off; a part has the ring that is the same for all, and
this balancer's own order. The home is a stretch of the near part's ring, and goes on in the far part if the near
one is too short. What is asked costs the home's length or a search; nothing grows with the number of members."""

from __future__ import annotations

from typing import Generic, TypeVar

from lanemux.core.ring import HasId, Ring

Member = TypeVar("Member", bound=HasId)


class Part(Generic[Member]):
    """Some members, on the ring that all compute alike and in this balancer's own order."""

    def __init__(self, me: int) -> None:
        self.ring, self.mine = Ring[Member](0), Ring[Member](me + 1)

    def put(self, member: Member, inside: bool) -> bool:
        return self.ring.put(member, inside) and self.mine.put(member, inside)


class Index(Generic[Member]):
    """The members of one pool; `candidates` is the home, and the next one after it."""

    def __init__(self, me: int) -> None:
        self._here, self._there = Part[Member](me), Part[Member](me)
        self.subset_size = 0  # how many belong to it
        self.subset_start = 0  # where on the near ring it begins
        self.candidates: list[Member] = []

    def __len__(self) -> int:
        return len(self._here.ring) + len(self._there.ring)

    def put(self, member: Member, inside: bool, near: bool = True) -> bool:
        """Make it a member in one of the parts, or none; did that change anything?"""
        changed = self._here.put(member, inside and near)
        return self._there.put(member, inside and not near) or changed

    @property
    def _near(self) -> Part[Member]:
        """The part that has the home: that of the near ones, unless it is empty."""
        return self._here if len(self._here.ring) else self._there

    @property
    def _far(self) -> list[Member]:
        return self._there.mine.members if len(self._here.ring) else []

    @property
    def near_count(self) -> int:
        """How many members the near part has."""
        return len(self._near.ring)

    def position(self, member: Member) -> int | None:
        """Its place on the near ring, None if it is not there."""
        at, there = self._near.ring.find(member)
        return at if there else None

    def in_subset(self, member: Member) -> bool:
        at, n = self.position(member), self.near_count
        if at is not None:
            return (at - self.subset_start) % n < self.subset_size
        if self.subset_size <= n or not len(self._here.ring):
            return False
        at, there = self._there.mine.find(member)
        return there and at < self.subset_size - n

    def set_subset(self, first: int, home: int) -> None:
        """The home begins there and has so many; work out `candidates` anew."""
        self.subset_start, self.subset_size = first, home
        ring, n, far, end = self._near.ring.members, self.near_count, self._far, first + home
        self.candidates = ring[first:end] + ring[: min(first, max(0, end - n))] + far[: max(0, home - n)]
        outside = (m for m in self._near.mine.members if not self.in_subset(m))
        beyond = next(outside, None) if home < n else next(iter(far[home - n :][:1]), None)
        if beyond is not None:
            self.candidates.append(beyond)

    def all(self) -> list[Member]:
        """The home, then the others in this balancer's own order."""
        outside = [m for m in self._near.mine.members if not self.in_subset(m)]
        return self.candidates[: self.subset_size] + outside + self._far[max(0, self.subset_size - self.near_count) :]
