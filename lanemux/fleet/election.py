"""Who leads: a lease on leading, held by at most one at any instant, without a disk. No I/O and no clock.

After M. Trencseni, A. Gazso, H. Reinhardt, "PaxosLease: Diskless Paxos for Leases" (2012). A seat that may have lost
its memory says nothing for as long as anything lasts that it may have promised. A lease is reckoned by its holder from
before the first question of its round, by the others from when they gave their word, and is shorter by what clocks'
rates may differ: whatever comes late, it is over at its holder first.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

DRIFT = 0.01  # most by which any clock's rate differs from true time's; a lease is held for (1 - D) / (1 + D) of a term
ROUND_PART = 0.25  # of a term, after which a round that has not come to its end is given up
EXTEND_PART = 0.4  # of a term, after which its holder asks for the next one
WAIT_PART = 0.3  # of a term at the most between finding nobody leading and asking


class Ballot(NamedTuple):
    """Of two the larger one holds; no two rounds have the same one."""

    turn: int
    seat: int
    boot: int


NONE = Ballot(0, 0, 0)


class Step(IntEnum):
    """What a word is for."""

    PREPARE = 16  # first question: may I?
    PROMISE = 17  # nothing below this ballot any more; and who leads, as far as this seat has accepted
    PROPOSE = 18  # second question: I lead now
    ACCEPT = 19
    REJECT = 20  # a larger ballot has been promised


class Word(NamedTuple):
    """One message between seats."""

    step: Step
    ballot: Ballot
    seen: Ballot = NONE  # REJECT: what has been promised
    leads: int = -1  # PROMISE: whom it has accepted, for a term that is not over; -1: nobody


@dataclass(slots=True)
class Round:
    """One attempt to lead."""

    ballot: Ballot
    begun_ns: int
    promised: set[int]
    accepted: set[int]
    proposed: bool = False


class Seat:
    """One seat of the council. Feed it words and ticks; send what `out` holds; ask `leads`."""

    def __init__(
        self, me: int, council: Sequence[int], term_ns: int, rng: random.Random, now: int, *, blank: bool = True
    ) -> None:
        """`blank`: it may have had a former life that it knows nothing of. ValueError if it has no seat."""
        if me not in council or len(council) % 2 == 0:
            raise ValueError(f"{me} in a council of {sorted(council)}: it must be in it, and their number odd")
        self.me, self.council, self.term_ns, self._rng = me, tuple(council), term_ns, rng
        self.boot = rng.getrandbits(31) + 1
        self.out: list[tuple[int, Word]] = []
        self.silent_ns = now + term_ns if blank else now  # it votes for nobody before
        self.promised = NONE
        self.accepted = -1  # whom it takes to lead
        self.accepted_ns = now  # until then
        self.held_ns = now  # this one leads until then, by its own clock
        self._round: Round | None = None
        self._ask_ns = self.silent_ns + self._pause_ns()

    # -- what is asked of it --

    def leads(self, now: int) -> bool:
        """Does this one lead in this instant? To be asked again for each thing that is done on it."""
        return now < self.held_ns

    def leader(self, now: int) -> int | None:
        """Who leads as far as this seat knows; None: nobody, or one that it has not given its word."""
        if self.leads(now):
            return self.me
        return self.accepted if self.accepted not in (-1, self.me) and now < self.accepted_ns else None

    def leave(self, now: int) -> None:
        """It ends in order: it leads no longer, and asks for nothing."""
        self.held_ns = min(self.held_ns, now)
        self._round = None
        self._ask_ns = now + 2**62

    @property
    def due_ns(self) -> int:
        """When it wants its next tick."""
        return self._ask_ns if self._round is None else min(self._ask_ns, self._given_up_ns(self._round))

    def tick(self, now: int) -> None:
        """Time has come to `now`."""
        if self._round is not None and now >= self._given_up_ns(self._round):
            self._round = None
            self._ask_ns = max(self._ask_ns, now + self._pause_ns())
        if now >= self._ask_ns and now >= self.silent_ns:
            self.ask(now)

    def ask(self, now: int) -> None:
        """Begin a round."""
        self._expire(now)
        self._ask_ns = now + self._pause_ns() + int(self.term_ns * EXTEND_PART)
        if self.accepted not in (-1, self.me):
            return  # somebody leads
        ballot = Ballot(self.promised.turn + 1, self.me, self.boot)
        self._round = Round(ballot, now, set(), set())
        self._tell_all(Word(Step.PREPARE, ballot), now)

    def heard(self, sender: int, word: Word, now: int) -> None:
        """A word of another seat; of anybody else it counts for nothing."""
        if sender in self.council and sender != self.me:
            self._answer(sender, word, now)

    # -- as one who is asked --

    def _answer(self, sender: int, word: Word, now: int) -> None:
        if word.step in (Step.PREPARE, Step.PROPOSE):
            if now < self.silent_ns:
                return
            self._expire(now)
            said = (
                self._prepared(word.ballot) if word.step is Step.PREPARE else self._proposed(sender, word.ballot, now)
            )
            if sender == self.me:
                self._count(self.me, said, now)
            else:
                self.out.append((sender, said))
        else:
            self._count(sender, word, now)

    def _prepared(self, ballot: Ballot) -> Word:
        if ballot < self.promised:
            return Word(Step.REJECT, ballot, self.promised, self.accepted)
        self.promised = ballot
        return Word(Step.PROMISE, ballot, NONE, self.accepted)

    def _proposed(self, sender: int, ballot: Ballot, now: int) -> Word:
        if ballot < self.promised:
            return Word(Step.REJECT, ballot, self.promised, self.accepted)
        self.promised, self.accepted, self.accepted_ns = ballot, sender, now + self.term_ns
        return Word(Step.ACCEPT, ballot)

    def _expire(self, now: int) -> None:
        if self.accepted >= 0 and now >= self.accepted_ns:
            self.accepted = -1

    # -- as one who asks --

    def _count(self, sender: int, word: Word, now: int) -> None:
        if word.step is Step.REJECT:
            self.promised = max(self.promised, word.seen)  # the next ballot goes beyond it
        ours = self._round
        if ours is None or word.ballot != ours.ballot or now >= self._given_up_ns(ours):
            return  # of a round that is over
        if word.step is Step.PROMISE and word.leads in (-1, self.me):
            ours.promised.add(sender)
            if not ours.proposed and self._most(ours.promised):
                ours.proposed = True
                self._tell_all(Word(Step.PROPOSE, ours.ballot), now)
        elif word.step is Step.ACCEPT:
            ours.accepted.add(sender)
            if self._most(ours.accepted):
                self._round = None
                self.held_ns = max(self.held_ns, self._held_until(ours))
                self._ask_ns = ours.begun_ns + int(self.term_ns * EXTEND_PART)

    def _held_until(self, ours: Round) -> int:
        """From before the first question, and shorter by what two clocks may differ."""
        return ours.begun_ns + int(self.term_ns * (1 - DRIFT) / (1 + DRIFT))

    def _given_up_ns(self, ours: Round) -> int:
        return ours.begun_ns + int(self.term_ns * ROUND_PART)

    def _most(self, seats: Iterable[int]) -> bool:
        return 2 * len(set(seats)) > len(self.council)

    def _tell_all(self, word: Word, now: int) -> None:
        self.out += [(seat, word) for seat in self.council if seat != self.me]
        self._answer(self.me, word, now)

    def _pause_ns(self) -> int:
        return int(self._rng.random() * WAIT_PART * self.term_ns)
