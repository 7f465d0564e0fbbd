"""Who is there: SWIM with Lifeguard's care, as a state machine. No I/O and no clock.

After A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002), and A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate
Failure Detection" (DSN-W 2018). What each knows of another is one pair, (incarnation, standing), and the larger pair
holds: words may come late, twice and in any order, and all end with the same table. Only a member raises its own
incarnation.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from lanemux.fleet.wire import (
    MAX_INCARNATION,
    MAX_NUMBER,
    MOST_NEWS,
    NOBODY,
    BadMessage,
    Kind,
    Message,
    News,
    Status,
    read,
)

MS = 1_000_000
PERIOD_NS = 500 * MS  # between two looks of one member: with three or so messages each, some 2 kB a second
ANSWER_NS = 150 * MS  # an answer takes up to 66 ms on the platform's messages; then others are asked to look
HELPERS = 3  # that look for one who does not answer
TOLD_AT_ONCE = 6  # to whom it says that it leaves, or that it is there after all
LEAST_SUSPICION, MOST_SUSPICION = 5.0, 3.0  # periods by the decimal logarithm of the fleet; times that, unconfirmed
CONFIRMED = 3  # others that suspect the same one, at which suspicion is shortest
RETOLD = 3  # times the binary logarithm of the fleet that a piece of news is told on
ILL_MOST = 8  # Lifeguard's bound on how far a member that is itself slow stretches its times
TABLE_EVERY = 16  # periods between two questions for another's table: what was missed is made good
GONE_EVERY = 8  # looks of which one goes to who is gone: both sides of a cut find each other again
STOOD_NS = 250 * MS  # a tick so late: this process itself stood still, and nobody's silence counts


@dataclass(frozen=True, slots=True)
class Change:
    """Another standing of one member, for whoever asks."""

    number: int
    standing: Status
    incarnation: int


@dataclass(slots=True)
class Member:
    """What is known of one balancer."""

    number: int
    standing: Status = Status.UP  # those that the configuration names are taken to be there until looked at
    incarnation: int = 0
    by: int = NOBODY
    told: int = 10**6  # how often this was told on; news begin at 0
    suspected_ns: int = 0
    doubters: set[int] = field(default_factory=set)  # others who suspect it, CONFIRMED at the most

    @property
    def word(self) -> tuple[int, int]:
        return self.incarnation, self.standing


@dataclass(slots=True)
class Look:
    """One question that is out."""

    number: int
    question: int
    asked_ns: int
    until_ns: int
    helped: bool = False
    silent: int = 0  # helpers that answered for themselves
    helpers: int = 0


class Members:
    """One balancer's view. Feed it messages and ticks; send what `out` holds, and read `changes`."""

    def __init__(self, me: int, count: int, rng: random.Random, now: int, incarnation: int = 0) -> None:
        """`count`: balancers that the configuration names, numbered from 0; `incarnation`: the last one known of its
        own, 0: none, and the others tell. ValueError for numbers that the messages have no room for."""
        if not 0 <= me < count <= MAX_NUMBER + 1:
            raise ValueError(f"number {me} of {count} balancers: allowed are 1 to {MAX_NUMBER + 1}")
        self.me, self.count, self._rng = me, count, rng
        self.incarnation = min(incarnation + 1, MAX_INCARNATION) if incarnation else 0
        self.boot = rng.getrandbits(32)
        self.members = {n: Member(n) for n in range(count) if n != me}
        self.ill = 0  # Lifeguard: how slow this process itself seems to be, 0 to ILL_MOST
        self.bad = 0  # messages that could not be read
        self.leaving = False
        self.out: list[tuple[int, bytes]] = []  # (member, datagram)
        self.changes: list[Change] = []
        self._retold = RETOLD * math.ceil(math.log2(count + 1))
        self._order: list[int] = []  # whom to look at in this round
        self._look: Look | None = None
        self._for_others: dict[int, tuple[int, int, int, int]] = {}  # question: (asker, its question, whom, until)
        self._question = rng.getrandbits(16)
        self._looks = 0
        self._fresh: dict[int, None] = {}  # whose news are still told on
        self._doubted: dict[int, None] = {}  # who is suspected
        self._next_ns = now + int(rng.random() * PERIOD_NS)
        self._table_from = 0

    # -- what is asked of it --

    @property
    def due_ns(self) -> int:
        """When it wants its next tick."""
        doubted = [self._ends_ns(self.members[n]) for n in self._doubted]
        return min([self._own_due_ns, *doubted, *(until for *_, until in self._for_others.values())])

    @property
    def _own_due_ns(self) -> int:
        """When its own look or period wants it: no word of others moves that into the past."""
        look = self._look
        if look is None:
            return self._next_ns
        return min(self._next_ns, look.until_ns if look.helped else look.asked_ns + self._patience_ns)

    def up(self) -> list[int]:
        """The numbers of those that count as there, this one included."""
        there = [m.number for m in self.members.values() if m.standing <= Status.SUSPECTED]
        return sorted([*there, self.me])

    def tick(self, now: int) -> None:
        """Time has come to `now`."""
        late = now - self._own_due_ns
        if late > STOOD_NS:
            self._stood(late, now)
        if self._look is not None:
            self._go_on(self._look, now)
        for number in [n for n in self._doubted if now >= self._ends_ns(self.members[n])]:
            member = self.members[number]
            self._take(News(number, Status.GONE, member.incarnation, self.me), now)
        for question, (asker, theirs, whom, until) in list(self._for_others.items()):
            if now >= until:
                del self._for_others[question]
                self._send(asker, Kind.SILENT, theirs, whom)
        if now >= self._next_ns:
            self._next_ns = now + PERIOD_NS * (1 + self.ill)
            self._begin(now)

    def leave(self) -> None:
        """It ends in order: tells a few, who tell the others."""
        self.leaving = True
        self._tell_some()

    def heard(self, sender: int, data: bytes, now: int) -> None:
        """A peer's datagram; what is no message on who is there only counts."""
        try:
            message = read(data)
        except BadMessage:
            self.bad += 1
            return
        member = self.members.get(sender)
        if member is None:
            self.bad += 1
            return
        if (message.incarnation, Status.UP) > member.word:
            self._take(News(sender, Status.UP, message.incarnation, sender), now)
        self._about_me(message.you, message.your_incarnation)
        for news in message.news:
            if news.number == self.me:
                self._about_me(news.standing, news.incarnation)
            elif news.number in self.members:
                self._take(news, now)
        self._answer(sender, message, now)

    # -- looks --

    @property
    def _patience_ns(self) -> int:
        return ANSWER_NS * (1 + self.ill)

    def _begin(self, now: int) -> None:
        """The next look, and now and then another's table."""
        if self._look is not None:  # its time is up with the period's
            self._missed(self._look, now)
        self._looks += 1
        number = self._next()
        if number is None:
            return
        self._question = (self._question + 1) % 2**16
        self._look = Look(number, self._question, now, self._next_ns)
        self._send(number, Kind.ASK, self._question)
        if self._looks % TABLE_EVERY == 1 and (others := self._some(1, ())):
            self._send(others[0], Kind.TABLE, 0, self._table_from, self._table(self._table_from))
            self._table_from = self._rng.randrange(self.count)

    def _next(self) -> int | None:
        """Each in turn, in an order drawn anew for each round; now and then one that is gone."""
        if self._looks % GONE_EVERY == 0:
            gone = [m.number for m in self.members.values() if m.standing is Status.GONE]
            if gone:
                return self._rng.choice(gone)
        for _ in range(2):
            while self._order:
                number = self._order.pop()
                if self.members[number].standing <= Status.SUSPECTED:
                    return number
            self._order = list(self.members)
            self._rng.shuffle(self._order)
        return self._rng.choice(self._order) if self._order else None

    def _go_on(self, look: Look, now: int) -> None:
        """An answer that is late: others look too; one that did not come by the end of the period is missed."""
        if now >= look.until_ns:
            self._missed(look, now)
        elif not look.helped and now >= look.asked_ns + self._patience_ns:
            look.helped = True
            helpers = self._some(HELPERS, (look.number,))
            look.helpers = len(helpers)
            for helper in helpers:
                self._send(helper, Kind.ASK_FOR_ME, look.question, look.number)

    def _missed(self, look: Look, now: int) -> None:
        self._look = None
        if look.helpers and not look.silent:
            self._feel(1)  # not even the helpers were heard: it may be this process
        member = self.members[look.number]
        if member.standing <= Status.SUSPECTED:
            self._take(News(look.number, Status.SUSPECTED, member.incarnation, self.me), now)

    def _answer(self, sender: int, message: Message, now: int) -> None:
        look = self._look
        if message.kind is Kind.ASK:
            self._send(sender, Kind.HERE, message.question)
        elif message.kind is Kind.HERE:
            if look is not None and (look.number, look.question) == (sender, message.question):
                self._look = None
                self._feel(-1)
            wanted = self._for_others.get(message.question)
            if wanted is not None and wanted[2] == sender:
                del self._for_others[message.question]
                self._send(wanted[0], Kind.HERE_TOO, wanted[1], sender)
        elif message.kind is Kind.ASK_FOR_ME and message.about in self.members:
            if len(self._for_others) < self.count:  # one look of each at a time
                self._question = (self._question + 1) % 2**16
                self._for_others[self._question] = (sender, message.question, message.about, now + ANSWER_NS)
                self._send(message.about, Kind.ASK, self._question)
        elif message.kind is Kind.HERE_TOO:
            if look is not None and (look.number, look.question) == (message.about, message.question):
                self._look = None
        elif message.kind is Kind.SILENT:
            if look is not None and (look.number, look.question) == (message.about, message.question):
                look.silent += 1
        elif message.kind is Kind.TABLE:
            self._send(sender, Kind.HERE, 0, NOBODY, self._table(message.about))

    # -- what is known --

    def _take(self, news: News, now: int) -> None:
        """A word on another member: the larger pair holds; one more who suspects shortens the wait."""
        member = self.members[news.number]
        if (news.incarnation, news.standing) < member.word:
            return
        if (news.incarnation, news.standing) == member.word:
            if (
                news.standing is Status.SUSPECTED
                and news.by not in member.doubters
                and len(member.doubters) < CONFIRMED
            ):
                member.doubters.add(news.by)
                self._spread(member)
            return
        before = member.standing
        member.standing, member.incarnation, member.by = news.standing, news.incarnation, news.by
        self._doubted.pop(news.number, None)
        member.doubters.clear()
        if news.standing is Status.SUSPECTED:
            member.suspected_ns = now
            member.doubters.add(news.by)
            self._doubted[news.number] = None
        self._spread(member)
        if member.standing is not before:
            self.changes.append(Change(member.number, member.standing, member.incarnation))

    def _about_me(self, standing: Status, incarnation: int) -> None:
        """Who says that this one is not there is answered with a later incarnation; so is word of a former life."""
        if self.leaving or incarnation < self.incarnation or (incarnation, standing) == (self.incarnation, Status.UP):
            return
        if standing is not Status.UP and incarnation == self.incarnation:
            self._feel(1)
        if standing is Status.UP:
            self.incarnation = incarnation  # of a former life, or of another process of this balancer
            return
        self.incarnation = min(incarnation + 1, MAX_INCARNATION)
        self._tell_some()  # those who suspect it count the time

    def _ends_ns(self, member: Member) -> int:
        """When a suspected one is taken to be gone: the sooner, the more others suspect it too."""
        least = LEAST_SUSPICION * max(1.0, math.log10(self.count)) * PERIOD_NS
        most = MOST_SUSPICION * least
        confirmed = math.log(len(member.doubters)) / math.log(CONFIRMED) if member.doubters else 0.0
        return member.suspected_ns + int(max(least, most - (most - least) * confirmed))

    def _stood(self, for_ns: int, now: int) -> None:
        """This process stood still: nobody's silence in that time says anything."""
        self._look = None
        self._for_others.clear()
        for number in self._doubted:
            self.members[number].suspected_ns += for_ns
        self._feel(1)
        self._next_ns = max(self._next_ns, now)

    def _feel(self, change: int) -> None:
        self.ill = max(0, min(ILL_MOST, self.ill + change))

    # -- what is told --

    def _spread(self, member: Member) -> None:
        member.told = 0
        self._fresh.pop(member.number, None)
        self._fresh[member.number] = None

    def _some(self, most: int, but: Iterable[int]) -> list[int]:
        """So many of those that are up, by chance."""
        up = [m.number for m in self.members.values() if m.standing is Status.UP and m.number not in but]
        return self._rng.sample(up, min(most, len(up)))

    def _tell_some(self) -> None:
        for number in self._some(TOLD_AT_ONCE, ()):
            self._send(number, Kind.HERE, 0)

    def _table(self, first: int) -> tuple[News, ...]:
        """What differs from the beginning, from a number on and round."""
        found = []
        for i in range(self.count):
            member = self.members.get((first + i) % self.count)
            if member is not None and member.word != (0, Status.UP):
                found.append(News(member.number, member.standing, member.incarnation, member.by))
                if len(found) == MOST_NEWS:
                    break
        return tuple(found)

    def _send(self, to: int, kind: Kind, question: int, about: int = NOBODY, news: tuple[News, ...] = ()) -> None:
        member, told = self.members[to], list(news)
        if self.leaving:
            told = [News(self.me, Status.LEAVING, self.incarnation, self.me), *told][:MOST_NEWS]
        for number in list(islice(self._fresh, MOST_NEWS - len(told))):
            other = self.members[number]
            told.append(News(number, other.standing, other.incarnation, other.by))
            other.told += 1
            del self._fresh[number]
            if other.told < self._retold:
                self._fresh[number] = None  # behind those that have waited longer
        self.out.append(
            (
                to,
                Message(
                    kind, self.boot, self.incarnation, member.standing, member.incarnation, question, about, tuple(told)
                ).data(),
            )
        )
