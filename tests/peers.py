"""Balancers that tell one another who is there, on a virtual clock, with a network that drops, doubles and delays.

It shares nothing with the state machine: it carries bytes, and notes when each view changed.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from lanemux.fleet.members import Members
from lanemux.fleet.wire import Status

MS = 1_000_000
SECOND = 1000 * MS


class Peers:
    """So many members; `run` lets time go by."""

    def __init__(self, count: int, seed: int, lose: float = 0.02, twice: float = 0.0, latest_ns: int = 33 * MS) -> None:
        self.rng = random.Random(seed)
        self.lose, self.twice, self.latest_ns = lose, twice, latest_ns
        self.now = SECOND
        self.slow: dict[int, float] = {}  # member: share of the time for which it stands still, half a second at once
        self.cut: Callable[[int, int], bool] = lambda a, b: False  # is the way from a to b cut now?
        self.sent, self.sent_bytes = 0, 0
        self.seen: list[tuple[int, int, int, Status]] = []  # when, who, of whom, what
        self._agenda: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._until: dict[int, int] = {}  # it stands still until then
        self._ticks: dict[int, int] = {}
        self.members: dict[int, Members] = {}
        self.total = count
        for i in range(count):
            self.start(i)

    def at(self, when: int, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._agenda, (when, self._count, what))

    def start(self, i: int, incarnation: int = 0) -> None:
        self.members[i] = Members(i, self.total, random.Random(self.rng.random()), self.now, incarnation)
        self._after(i)

    def kill(self, i: int) -> None:
        del self.members[i]

    def freeze(self, i: int, for_ns: int) -> None:
        self._until[i] = self.now + for_ns

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self._agenda and self._agenda[0][0] <= end:
            self.now, _, what = heapq.heappop(self._agenda)
            what()
        self.now = end

    def views(self, of: int) -> list[Status]:
        return [m.members[of].standing for i, m in self.members.items() if i != of]

    def _awake(self, i: int, what: Callable[[], None]) -> bool:
        """False: it stands still, and this comes to it when it goes on."""
        if i in self.slow and self._until.get(i, 0) <= self.now and self.rng.random() < self.slow[i] / 10:
            self._until[i] = self.now + SECOND // 2
        if self._until.get(i, 0) > self.now:
            self.at(self._until[i], what)
            return False
        return True

    def _tick(self, i: int, me: Members, due: int) -> None:
        if self.members.get(i) is not me or self._ticks.get(i) != due:
            return
        if self._awake(i, lambda: self._tick(i, me, due)):
            me.tick(self.now)
            self._after(i)

    def _heard(self, i: int, sender: int, data: bytes) -> None:
        if i in self.members and self._awake(i, lambda: self._heard(i, sender, data)):
            self.members[i].heard(sender, data, self.now)
            self._after(i)

    def _after(self, i: int) -> None:
        me = self.members[i]
        for to, data in me.out:
            self.sent += 1
            self.sent_bytes += len(data)
            for _ in range(1 + (self.rng.random() < self.twice)):
                if self.rng.random() >= self.lose and not self.cut(i, to):
                    late = self.rng.randrange(MS, self.latest_ns)
                    self.at(self.now + late, lambda to=to, data=data: self._heard(to, i, data))  # type: ignore[misc]
        me.out.clear()
        self.seen += [(self.now, i, c.number, c.standing) for c in me.changes]
        me.changes.clear()
        due = max(me.due_ns, self.now + 1)
        if self._ticks.get(i) != due:
            self._ticks[i] = due
            self.at(due, lambda: self._tick(i, me, due))
