"""Who is there and who leads, as a plugin of a running balancer: logged and shown. No I/O and no clock."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

from lanemux.fleet import election_wire, leader_query
from lanemux.fleet.election import Seat
from lanemux.fleet.leader_query import Follower, is_following
from lanemux.fleet.members import Members
from lanemux.fleet.wire import MAGIC, BadMessage, Status

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
W = TypeVar("W")
LOGGED = 8  # changes of the view told a second; the others are counted


class View:
    """One balancer's view of the others."""

    name, first = "fleet", MAGIC

    def __init__(
        self, me: int, count: int, rng: random.Random, now: int, council: Sequence[int] = (), term_ns: int = 3 * SECOND
    ) -> None:
        """As `Members`, and with the council's seats, if there is one; ValueError as there, and for no council."""
        self.members = Members(me, count, rng, now)
        self.council = tuple(council)
        self.seat = Seat(me, council, term_ns, rng, now) if me in council else None
        self.follower = Follower(me, council, term_ns, rng, now) if council and self.seat is None else None
        self._leader: int | None = None  # as last logged
        self._bad = 0  # words between seats, or on who leads, that could not be read
        self._said: list[tuple[int, bytes]] = []  # answers to those without a seat
        self._second, self._told, self._untold = 0, 0, 0

    @property
    def due_ns(self) -> int:
        return min(p.due_ns for p in (self.members, self.seat, self.follower) if p is not None)

    def heard(self, sender: int, data: bytes, now: int) -> None:
        if is_following(data):
            self._followed(sender, data, now)
        elif election_wire.is_ballot(data):
            self._voted(sender, data, now)
        else:
            self.members.heard(sender, data, now)
        self._tell(now)

    def _voted(self, sender: int, data: bytes, now: int) -> None:
        word = self._read(election_wire.read, data)
        if word is not None and self.seat is not None:
            self.seat.heard(sender, word, now)

    def _followed(self, sender: int, data: bytes, now: int) -> None:
        word = self._read(leader_query.read, data)
        if word is None:
            return
        if self.follower is not None:
            self.follower.heard(sender, word, now)
        elif self.seat is not None and word.kind is leader_query.Kind.WHO and sender not in self.council:
            self._said.append((sender, leader_query.written(leader_query.answer(self.seat, word, now))))

    def _read(self, read: Callable[[bytes], W], data: bytes) -> W | None:
        try:
            return read(data)
        except BadMessage:
            self._bad += 1
            return None

    def leader(self, now: int) -> int | None:
        """Who leads in this instant, as far as this balancer knows; None: nobody, or it does not know."""
        knows = self.seat or self.follower
        return None if knows is None else knows.leader(now)

    def tick(self, now: int) -> None:
        if now >= self.members.due_ns:
            self.members.tick(now)
        if self.seat is not None and now >= self.seat.due_ns:
            self.seat.tick(now)
        if self.follower is not None and now >= self.follower.due_ns:
            self.follower.tick(now)
        self._tell(now)

    def leave(self, now: int) -> None:
        self.members.leave()
        if self.seat is not None:
            self.seat.leave(now)

    def take_out(self) -> list[tuple[int, bytes]]:
        out, self.members.out = self.members.out, []
        if self.seat is not None:
            out += [(to, election_wire.written(word)) for to, word in self.seat.out]
            self.seat.out = []
        if self.follower is not None:
            out += [(to, leader_query.written(word)) for to, word in self.follower.out]
            self.follower.out = []
        out += self._said
        self._said = []
        return out

    def section(self, now: int) -> Mapping[str, object]:
        """JSON of `/admin/fleet`."""
        known = {m.number: (m.standing, m.incarnation) for m in self.members.members.values()}
        known[self.members.me] = (Status.LEAVING if self.members.leaving else Status.UP, self.members.incarnation)
        members = [
            {"number": number, "state": standing.name.lower(), "incarnation": incarnation}
            for number, (standing, incarnation) in sorted(known.items())
        ]
        return {
            "me": self.members.me,
            "members": members,
            "council": self.council,
            "leader": self.leader(now),
            "slow": self.members.ill,
            "unread": self.members.bad + self._bad,
        }

    def _tell(self, now: int) -> None:
        if now // SECOND != self._second:
            if self._untold:
                log.info("fleet: %d further changes of the view in that second", self._untold)
            self._second, self._told, self._untold = now // SECOND, 0, 0
        leader = self.leader(now)
        if leader != self._leader:
            self._leader = leader
            self._say(
                "nobody is known to lead"
                if leader is None
                else "this balancer leads"
                if leader == self.members.me
                else f"balancer {leader} leads"
            )
        for change in self.members.changes:
            self._say(f"balancer {change.number} is {change.standing.name.lower()} (incarnation {change.incarnation})")
        self.members.changes.clear()

    def _say(self, what: str) -> None:
        if self._told < LOGGED:
            log.info("fleet: %s", what)
        self._untold += self._told >= LOGGED
        self._told += 1
