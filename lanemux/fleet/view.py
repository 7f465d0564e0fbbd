"""Who is there, as a plug of a running balancer: what changes is logged and shown. No I/O and no clock."""

from __future__ import annotations

import logging
import random
from collections.abc import Mapping

from lanemux.fleet.members import Members
from lanemux.fleet.wire import MAGIC, Standing

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
LOGGED = 8  # changes of the view told a second; the others are counted


class View:
    """One balancer's view of the others."""

    name, first = "fleet", MAGIC

    def __init__(self, me: int, count: int, rng: random.Random, now: int) -> None:
        """As `Members`; ValueError as there."""
        self.members = Members(me, count, rng, now)
        self._second, self._told, self._untold = 0, 0, 0

    @property
    def due_ns(self) -> int:
        return self.members.due_ns

    def heard(self, sender: int, data: bytes, now: int) -> None:
        self.members.heard(sender, data, now)
        self._tell(now)

    def tick(self, now: int) -> None:
        self.members.tick(now)
        self._tell(now)

    def leave(self, now: int) -> None:
        self.members.leave()

    def take_out(self) -> list[tuple[int, bytes]]:
        out, self.members.out = self.members.out, []
        return out

    def section(self, now: int) -> Mapping[str, object]:
        """JSON of `/admin/fleet`."""
        known = {m.number: (m.standing, m.incarnation) for m in self.members.members.values()}
        known[self.members.me] = (Standing.LEAVING if self.members.leaving else Standing.UP, self.members.incarnation)
        members = [{"number": number, "state": standing.name.lower(), "incarnation": incarnation}
                   for number, (standing, incarnation) in sorted(known.items())]
        return {"me": self.members.me, "members": members, "slow": self.members.ill, "unread": self.members.bad}

    def _tell(self, now: int) -> None:
        if now // SECOND != self._second:
            if self._untold:
                log.info("fleet: %d further changes of the view in that second", self._untold)
            self._second, self._told, self._untold = now // SECOND, 0, 0
        for change in self.members.changes:
            if self._told < LOGGED:
                log.info("fleet: balancer %d is %s (incarnation %d)", change.number, change.standing.name.lower(),
                         change.incarnation)
            self._untold += self._told >= LOGGED
            self._told += 1
        self.members.changes.clear()
