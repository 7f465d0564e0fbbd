"""Who leads, for a balancer without a seat in the council: it asks, and believes no longer than is sure. No I/O and no
clock.

Only the leader's own word counts, "I lead, for so long yet", and it is reckoned from before the question and shorter by
what clocks' rates may differ: a word that comes late says less, one that comes twice nothing more, and what is believed
ends before the lease does. A seat that does not lead says whom it takes to lead, which only tells whom to ask next.
One question is out at a time; the leader gets one or two of each balancer in a term.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from lanemux.fleet.election import DRIFT, Seat
from lanemux.fleet.wire import MAGIC, NOBODY, VERSION, BadMessage

MS = 1_000_000
ANSWER_NS = 150 * MS  # an answer takes up to 66 ms on the platform's messages; then another seat is asked
SPARE = 2  # so many questions may stay without an answer before what is believed ends
PAUSE_PART = 0.3  # of a term at the most between finding that nobody leads, or no seat answers, and asking again
# Magic, version, kind, nothing, question, leads, rest in ms, nothing: a length that words between decisions never have.
FORM = struct.Struct(">BBBBIHIB")
KIND = 2  # the byte that tells which message of the fleet it is


class Kind(IntEnum):
    """What a word is for. Beyond those of `wire` and of the seats."""

    WHO = 32  # who leads?
    TOLD = 33  # to the question of that number


class Word(NamedTuple):
    """One message between a balancer without a seat and one with one."""

    kind: Kind
    question: int  # its number, modulo 2**32
    leads: int = -1  # whom the seat takes to lead; its own number: it leads; -1: it knows of nobody
    rest_ms: int = 0  # for so long yet, where it leads itself


def is_following(data: bytes) -> bool:
    """Is this message of the fleet one of these?"""
    return len(data) > KIND and data[KIND] >= Kind.WHO


def written(word: Word) -> bytes:
    """The datagram."""
    leads = word.leads if word.leads >= 0 else NOBODY
    return FORM.pack(MAGIC, VERSION, word.kind, 0, word.question, leads, word.rest_ms, 0)


def read(data: bytes) -> Word:
    """The word in a datagram; BadMessage with a reason for anything else."""
    if len(data) != FORM.size or data[0] != MAGIC or data[1] != VERSION:
        raise BadMessage(f"{len(data)} bytes are no word on who leads")
    _, _, kind, _, question, leads, rest_ms, _ = FORM.unpack(data)
    try:
        return Word(Kind(kind), question, -1 if leads == NOBODY else leads, rest_ms)
    except ValueError as error:
        raise BadMessage(str(error)) from None


def answer(seat: Seat, asked: Word, now: int) -> Word:
    """What a seat says to a question in this instant."""
    if seat.leads(now):
        return Word(Kind.TOLD, asked.question, seat.me, (seat.held_ns - now) // MS)
    leader = seat.leader(now)
    return Word(Kind.TOLD, asked.question, -1 if leader is None else leader)


class Follower:
    """One balancer without a seat. Feed it words and ticks; send what `out` holds; ask `leader`."""

    def __init__(self, me: int, council: Sequence[int], term_ns: int, rng: random.Random, now: int) -> None:
        """ValueError for a council that it sits in, or an empty one."""
        if me in council or not council:
            raise ValueError(f"{me} and a council of {sorted(council)}: there must be one, without it")
        self.council, self.term_ns, self._rng = tuple(council), term_ns, rng
        self.out: list[tuple[int, Word]] = []
        self._leader, self._until_ns = -1, now  # believed until then
        self._question = rng.getrandbits(32)
        self._asked_ns: int | None = None  # when the question that is out was asked; None: none is
        self._order: list[int] = []  # whom to ask in this round
        self._sent_on = 0  # seats in a row that named another
        self._next_ns = now + self._pause_ns()

    def leader(self, now: int) -> int | None:
        """Who surely leads in this instant, unless it has ended in order; None: not known."""
        return self._leader if now < self._until_ns else None

    @property
    def due_ns(self) -> int:
        """When it wants its next tick."""
        return self._next_ns if self._asked_ns is None else self._asked_ns + ANSWER_NS

    def tick(self, now: int) -> None:
        """Time has come to `now`."""
        if self._asked_ns is not None and now >= self._asked_ns + ANSWER_NS:
            self._asked_ns = None
            if self._order:
                self._ask(self._seat(), now)  # that one has not answered: another may
            else:  # none has: a council that comes back must not find all of the fleet at its door
                self._next_ns = now + self._pause_ns()
        elif self._asked_ns is None and now >= self._next_ns:
            leader = self.leader(now)
            self._ask(self._seat() if leader is None else leader, now)

    def heard(self, sender: int, word: Word, now: int) -> None:
        """A word of a seat; of anybody else, or to another question than the one that is out, it counts for nothing."""
        begun_ns = self._asked_ns
        if (
            sender not in self.council
            or word.kind is not Kind.TOLD
            or word.question != self._question
            or begun_ns is None
        ):
            return
        self._asked_ns = None
        if word.leads == sender:
            self._leader = sender
            self._until_ns = begun_ns + int(word.rest_ms * MS * (1 - DRIFT) / (1 + DRIFT))
            self._sent_on = 0
            self._next_ns = max(now + ANSWER_NS, self._until_ns - SPARE * ANSWER_NS)
        elif word.leads in self.council and self._sent_on < len(self.council):
            self._sent_on += 1  # two that name one another are not asked in turns for ever
            self._ask(word.leads, now)
        else:
            self._sent_on = 0
            self._next_ns = now + ANSWER_NS + self._pause_ns()

    def _ask(self, seat: int, now: int) -> None:
        self._question = (self._question + 1) % 2**32
        self._asked_ns = now
        self.out.append((seat, Word(Kind.WHO, self._question)))

    def _seat(self) -> int:
        """Each in turn, in an order drawn anew for each round."""
        if not self._order:
            self._order = list(self.council)
            self._rng.shuffle(self._order)
        return self._order.pop()

    def _pause_ns(self) -> int:
        return int(self._rng.random() * PAUSE_PART * self.term_ns)
