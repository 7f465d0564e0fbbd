"""Simulated fleet of membership state machines on a virtual clock, with a network that drops, duplicates and delays.

It shares no code with the state machine: it carries datagrams, and records when each view changed.
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
    """`count` members; `run` advances the virtual clock."""

    def __init__(
        self, count: int, seed: int, loss_rate: float = 0.02, duplicate_rate: float = 0.0, max_delay_ns: int = 33 * MS
    ) -> None:
        self.rng = random.Random(seed)
        self.loss_rate, self.duplicate_rate, self.max_delay_ns = loss_rate, duplicate_rate, max_delay_ns
        self.now = SECOND
        self.slow: dict[int, float] = {}  # member: share of time in which it is suspended, half a second each
        self.cut: Callable[[int, int], bool] = lambda a, b: False  # whether datagrams from a to b are lost now
        self.sent, self.sent_bytes = 0, 0
        self.seen: list[tuple[int, int, int, Status]] = []  # time, observer, member, its new status
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._until: dict[int, int] = {}  # suspended until then
        self._ticks: dict[int, int] = {}
        self.members: dict[int, Members] = {}
        self.total = count
        for i in range(count):
            self.start(i)

    def at(self, time_ns: int, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (time_ns, self._count, what))

    def start(self, i: int, incarnation: int = 0) -> None:
        self.members[i] = Members(i, self.total, random.Random(self.rng.random()), self.now, incarnation)
        self._after(i)

    def kill(self, i: int) -> None:
        del self.members[i]

    def freeze(self, i: int, for_ns: int) -> None:
        self._until[i] = self.now + for_ns

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self._events and self._events[0][0] <= end:
            self.now, _, what = heapq.heappop(self._events)
            what()
        self.now = end

    def views(self, of: int) -> list[Status]:
        return [member.members[of].status for i, member in self.members.items() if i != of]

    def _awake(self, i: int, what: Callable[[], None]) -> bool:
        """False if the member is suspended; the event is then rescheduled for its end."""
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

    def _deliver(self, i: int, sender: int, data: bytes) -> None:
        if i in self.members and self._awake(i, lambda: self._deliver(i, sender, data)):
            self.members[i].receive(sender, data, self.now)
            self._after(i)

    def _after(self, i: int) -> None:
        me = self.members[i]
        for to, data in me.outbox:
            self.sent += 1
            self.sent_bytes += len(data)
            for _ in range(1 + (self.rng.random() < self.duplicate_rate)):
                if self.rng.random() >= self.loss_rate and not self.cut(i, to):
                    late = self.rng.randrange(MS, self.max_delay_ns)
                    self.at(self.now + late, lambda to=to, data=data: self._deliver(to, i, data))  # type: ignore[misc]
        me.outbox.clear()
        self.seen += [(self.now, i, change.number, change.status) for change in me.changes]
        me.changes.clear()
        due = max(me.due_ns, self.now + 1)
        if self._ticks.get(i) != due:
            self._ticks[i] = due
            self.at(due, lambda: self._tick(i, me, due))
