"""Who leads, told to those without a seat: never believed while another leads, whatever befalls the words."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanemux.core.words import read_words
from lanemux.fleet import election_wire, leader_query
from lanemux.fleet.election import Seat
from lanemux.fleet.leader_query import Follower, Kind, Word
from lanemux.fleet.wire import BadMessage

MS = 1_000_000
TERM = 1000 * MS
SEATS, OTHERS = range(3), range(3, 6)
STEP_NS = 5 * MS


@dataclass
class Played:
    """What a play counted."""

    known: int = 0  # instants in which one without a seat names a leader, of all its instants
    instants: int = 0
    asked: int = 0
    astray: int = 0  # it names one while another leads, or, where none starts anew, one that does not lead


class Clocks:
    """Each member's own, by up to 1% fast or slow."""

    def __init__(self, rng: random.Random, drift: float) -> None:
        self._rates = [1 + rng.uniform(-drift, drift) for _ in (*SEATS, *OTHERS)]

    def now(self, member: int, true_ns: int) -> int:
        return int(true_ns * self._rates[member])


def play(
    seed: int,
    kind: type[Follower] = Follower,
    *,
    steps: int = 3000,
    lose: float = 0.1,
    late_ms: float = 25,
    crashes: float = 0.001,
    drift: float = 0.0,
    term: int = TERM,
) -> Played:
    """Three seats and three without one, whose words are lost, doubled and late; any may start again blank."""
    rng, now, played = random.Random(seed), 0, Played()
    clocks = Clocks(rng, drift)
    seats = {i: Seat(i, SEATS, term, random.Random(rng.random()), 0) for i in SEATS}
    others = {i: kind(i, SEATS, term, random.Random(rng.random()), 0) for i in OTHERS}
    on_way: list[tuple[int, int, int, object]] = []

    def send(sender: int, to: int, word: object) -> None:
        for _ in range(1 + (rng.random() < 0.1)):
            if rng.random() >= lose:
                on_way.append((now + int(rng.expovariate(1 / late_ms) * MS), sender, to, word))

    for _ in range(steps):
        now += STEP_NS
        for due in [w for w in on_way if w[0] <= now]:
            on_way.remove(due)
            _, sender, to, word = due
            own = clocks.now(to, now)
            if to in others:
                assert isinstance(word, Word)
                others[to].heard(sender, word, own)
            elif isinstance(word, Word):
                send(to, sender, leader_query.answer(seats[to], word, own))
            else:
                seats[to].heard(sender, word, own)  # type: ignore[arg-type]
        if rng.random() < crashes:
            i = rng.choice([*SEATS])
            seats[i] = Seat(i, SEATS, term, random.Random(rng.random()), clocks.now(i, now))
        members: list[tuple[int, Seat | Follower]] = [*seats.items(), *others.items()]
        for i, member in members:
            if clocks.now(i, now) >= member.due_ns:
                member.tick(clocks.now(i, now))
            for to, said in member.out:
                send(i, to, said)
            played.asked += len(member.out) if i in others else 0
            member.out.clear()
        leaders = [i for i, s in seats.items() if s.leads(clocks.now(i, now))]
        for i, o in others.items():
            believed = o.leader(clocks.now(i, now))
            played.instants += 1
            played.known += believed is not None
            if believed is not None:
                played.astray += any(leader != believed for leader in leaders) or (not crashes and not leaders)
    return played


def test_nobody_without_a_seat_names_one_while_another_leads() -> None:
    known = instants = 0
    for seed in range(60):
        played = play(seed, drift=0.01, late_ms=60, crashes=0.001 * (seed % 2), lose=0.1 * (seed % 3))
        assert played.astray == 0, seed
        known, instants = known + played.known, instants + played.instants
    assert known > 0.4 * instants


class FromTheAnswer(Follower):
    """What is believed is reckoned from when the answer came."""

    def heard(self, sender: int, word: Word, now: int) -> None:
        asked = self._asked_ns
        super().heard(sender, word, now)
        if asked is not None and word.leads == sender == self._leader and word.question == self._question:
            self._until_ns = now + word.rest_ms * MS


class AnyAnswer(Follower):
    """An answer to any question counts, also one that was given up long ago."""

    def heard(self, sender: int, word: Word, now: int) -> None:
        super().heard(sender, word._replace(question=self._question), now)


class Hearsay(Follower):
    """A seat's word on whom it takes to lead counts as the leader's own."""

    def heard(self, sender: int, word: Word, now: int) -> None:
        if word.leads >= 0 and word.leads != sender and word.question == self._question and self._asked_ns is not None:
            self._leader, self._until_ns = word.leads, now + TERM
        super().heard(sender, word, now)


@pytest.mark.parametrize("broken", [FromTheAnswer, AnyAnswer, Hearsay])
def test_each_planted_fault_names_one_while_another_leads(broken: type[Follower]) -> None:
    assert any(play(seed, broken, late_ms=60, lose=0.3, crashes=0.0, drift=0.01).astray for seed in range(60))


def test_the_leader_gets_about_one_question_of_each_in_a_term() -> None:
    played = play(1, lose=0.0, late_ms=2, crashes=0.0, steps=12_000, term=3 * TERM)  # a minute
    assert played.known > 0.9 * played.instants
    assert played.asked / len(OTHERS) / (12_000 * STEP_NS / (3 * TERM)) < 1.7


def test_two_seats_that_name_one_another_are_not_asked_in_turns_without_pause() -> None:
    follower, now, asked = Follower(9, (0, 1, 2), TERM, random.Random(1), 0), 0, 0
    while now < TERM:
        follower.tick(now) if now >= follower.due_ns else None
        while follower.out and asked < 100:
            to, word = follower.out.pop()
            asked += 1
            follower.heard(to, Word(Kind.TOLD, word.question, 1 - to if to < 2 else 0), now)
        now += MS
    assert asked < 20


def test_a_council_that_says_nothing_is_asked_with_pauses() -> None:
    follower, now, asked = Follower(9, (0, 1, 2), TERM, random.Random(1), 0), 0, 0
    while now < 20 * TERM:
        now = max(now, follower.due_ns)
        follower.tick(now)
        asked, follower.out = asked + len(follower.out), []
    assert 60 < asked < 5.5 * 20  # 6.7 questions a second without a pause


def test_who_has_a_seat_or_no_council_follows_nobody() -> None:
    for council in ([], [0, 1, 2]):
        with pytest.raises(ValueError, match="council"):
            Follower(0, council, TERM, random.Random(1), 0)


WORDS = st.builds(
    Word, st.sampled_from(Kind), st.integers(0, 2**32 - 1), st.integers(-1, 2**16 - 2), st.integers(0, 2**32 - 1)
)


@settings(derandomize=True, deadline=None)
@given(WORDS)
def test_a_word_on_who_leads_is_read_as_it_was_written_and_cut_by_nobody(word: Word) -> None:
    data = leader_query.written(word)
    assert leader_query.read(data) == word and leader_query.is_following(data) and read_words(data) == []
    for length in range(len(data)):
        with pytest.raises(BadMessage):
            leader_query.read(data[:length])
    with pytest.raises(BadMessage):
        election_wire.read(data)
