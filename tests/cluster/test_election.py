"""Never two leaders at one instant: every order of what can happen, up to a depth, and faults that are found so."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanemux.core.words import read_words
from lanemux.fleet import election, election_wire, wire
from lanemux.fleet.election import Ballot, Round, Seat, Step, Word
from lanemux.fleet.wire import BadMessage
from tests.cluster import explore as explorer
from tests.cluster.explore import TERM, explore, led, proposed, quiet
from tests.cluster.rig import cluster

MS = 1_000_000


@pytest.mark.parametrize(("begin", "depth"), [(quiet, 7), (proposed, 6), (led, 6)])
def test_no_order_of_lateness_doubling_crash_amnesia_and_expiry_makes_two_leaders(
    begin: explorer.MakeSeat, depth: int
) -> None:
    found = explore(depth, begin=begin)  # type: ignore[arg-type]
    assert found.path is None and found.states > 1000


class BlankVotes(Seat):
    """A seat that has lost its memory votes as if it had it."""

    def __init__(self, *args: object, **told: object) -> None:
        super().__init__(*args, **told)  # type: ignore[arg-type]
        self.silent_ns = 0


class HalfSilent(Seat):
    """It is silent for a third of what it may have promised."""

    def __init__(self, *args: object, **told: object) -> None:
        super().__init__(*args, **told)  # type: ignore[arg-type]
        self.silent_ns -= (self.silent_ns > 10 * TERM) * 2 * TERM // 3


class Forgetful(Seat):
    """A promise does not tell who leads."""

    def _prepared(self, ballot: Ballot) -> Word:
        return super()._prepared(ballot)._replace(leads=-1)


class TakesAny(Seat):
    """A ballot below the promised one is accepted."""

    def _proposed(self, sender: int, ballot: Ballot, now: int) -> Word:
        self.promised = election.NONE
        return super()._proposed(sender, ballot, now)


class OneIsEnough(Seat):
    """No majority is asked for."""

    def _most(self, seats: object) -> bool:
        return True


class HoldsLonger(Seat):
    """The holder reckons its lease from the answer."""

    def _held_until(self, ours: Round) -> int:
        return ours.begun_ns + 2 * TERM


@pytest.mark.parametrize(
    ("broken", "begin", "depth", "crashes"),
    [
        (BlankVotes, led, 6, 1),
        (HalfSilent, led, 7, 1),
        (Forgetful, led, 5, 0),
        (TakesAny, proposed, 7, 0),
        (OneIsEnough, quiet, 2, 0),
        (HoldsLonger, led, 8, 0),
    ],
)
def test_each_planted_fault_makes_two_leaders(
    broken: type[Seat], begin: explorer.MakeSeat, depth: int, crashes: int
) -> None:
    def make(number: int, now: int, blank: bool) -> Seat:
        made = broken(number, (0, 1, 2), TERM, random.Random(0), now, blank=blank)
        made.boot = 0
        return made

    assert explore(depth, make, begin, crashes).path is not None  # type: ignore[arg-type]


def play(seats: dict[int, Seat], rng: random.Random, steps: int, lose: float) -> tuple[int, int]:
    """Seats whose words are lost and late, and that start again blank: (instants with a leader, of so many)."""
    now, on_way, led_for = 0, list[tuple[int, int, int, Word]](), 0
    for _ in range(steps):
        now += 5 * MS
        for due, sender, to, word in [w for w in on_way if w[0] <= now]:
            on_way.remove((due, sender, to, word))
            seats[to].heard(sender, word, now)
        if rng.random() < 0.001:
            i = rng.choice(list(seats))
            seats[i] = Seat(i, seats[i].council, seats[i].term_ns, random.Random(rng.random()), now)
        for i, s in seats.items():
            if now >= s.due_ns:
                s.tick(now)
            for to, word in s.out:
                for _ in range(1 + (rng.random() < 0.1)):
                    if rng.random() >= lose:
                        on_way.append((now + int(rng.expovariate(1 / 25) * MS), i, to, word))
            s.out.clear()
        leaders = [i for i, s in seats.items() if s.leads(now)]
        assert len(leaders) <= 1
        led_for += len(leaders)
    return led_for, steps


@pytest.mark.parametrize("council", [1, 3, 5, 7])
def test_somebody_leads_most_of_the_time_and_never_two(council: int) -> None:
    for seed in range(10):
        rng = random.Random(seed)
        seats = {i: Seat(i, range(council), 1000 * MS, random.Random(rng.random()), 0) for i in range(council)}
        led_for, of = play(seats, rng, 4000, lose=0.1)
        assert led_for > 0.6 * of


def test_a_leader_that_stood_still_leads_no_longer_when_it_wakes() -> None:
    seat = Seat(0, [0], 1000 * MS, random.Random(1), 0, blank=False)
    seat.ask(0)
    assert seat.leads(900 * MS) and not seat.leads(10_000 * MS)


def test_a_council_that_cannot_be_is_refused() -> None:
    for council in ([0, 1], [1, 2, 3]):
        with pytest.raises(ValueError, match="council"):
            Seat(0, council, MS, random.Random(1), 0)


def test_who_has_no_seat_is_not_heard() -> None:
    seat = Seat(0, [0, 1, 2], 1000 * MS, random.Random(1), 0, blank=False)
    seat.heard(7, Word(Step.PREPARE, Ballot(9, 7, 1)), 0)
    assert seat.out == [] and seat.promised == election.NONE


WORDS = st.builds(
    Word,
    st.sampled_from(Step),
    st.builds(Ballot, *[st.integers(0, 2**32 - 1), st.integers(0, 2**16 - 1), st.integers(0, 2**32 - 1)]),
    st.just(election.NONE),
    st.integers(-1, 2**16 - 2),
)


@settings(derandomize=True, deadline=None)
@given(WORDS)
def test_a_word_between_seats_is_read_as_it_was_written_and_cut_by_nobody(word: Word) -> None:
    data = election_wire.written(word)
    assert election_wire.read(data) == word and election_wire.is_ballot(data) and read_words(data) == []
    for length in range(len(data)):
        with pytest.raises(BadMessage):
            election_wire.read(data[:length])
    with pytest.raises(BadMessage):
        wire.read(data)


def test_one_of_three_processes_leads_and_another_after_it_was_frozen_which_leads_no_more(tmp_path: Path) -> None:
    async def test() -> None:
        operators = "[fleet]\ncouncil = [0, 1, 2]\nlease_ms = 1000\n"
        async with cluster(tmp_path, 4, seed=5, operators=operators) as fleet:
            for way in fleet.links.ways.values():
                way.lose, way.twice, way.late_s = 0.05, 0.1, (0.0, 0.03)

            async def leader(of: list[int], but: int = -1) -> int:
                """The one that all of these name."""
                async with asyncio.timeout(20):
                    while True:
                        told = {(await fleet.call(i, "/admin/fleet"))["leader"] for i in of}
                        if len(told) == 1 and told.isdisjoint({None, but}):
                            return int(told.pop())
                        await asyncio.sleep(0.02)

            first = await leader([0, 1, 2, 3])  # the last one has no seat, and is told
            fleet.signal(first, signal.SIGSTOP)
            second = await leader([i for i in (0, 1, 2, 3) if i != first], but=first)
            fleet.signal(first, signal.SIGCONT)
            assert (await fleet.call(first, "/admin/fleet"))["leader"] != first
            assert await leader([0, 1, 2]) == second
            await fleet.kill(second)
            third = await leader([i for i in (0, 1, 2, 3) if i != second], but=second)
            await fleet.start(second)  # blank: it votes for nobody as long as its former word may count
            assert third != second and await leader([0, 1, 2]) != second

    asyncio.run(asyncio.wait_for(test(), 60))
