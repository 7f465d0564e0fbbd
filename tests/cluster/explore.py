"""Every order of loss, doubling, lateness, crash, amnesia and expiry up to a depth, over the very seats that run.

A state is the seats, the words on their way and what time it is; from each, every step is taken once. A word may be
delivered at any later time or never, and stays on its way when it has been, so that it may come twice; a seat may crash
and start again blank; time goes on by a tick. Two of the three ask. Told are the states, and whether ever two seats led
in the same instant.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lanemux.fleet.election import Seat, Step, Word

TERM, TICK = 300, 100  # nanoseconds, as the seats count; a term of three ticks
ASKERS, MOST_TURNS = (0, 2), 2  # who asks, and how often at the most

MakeSeat = Callable[[int, int, bool], Seat]  # of its number, the time, and whether it is blank


def seat(number: int, now: int, blank: bool) -> Seat:
    """One of three; its own chance decides nothing here."""
    made = Seat(number, (0, 1, 2), TERM, random.Random(0), now, blank=blank)
    made.boot = 0
    return made


@dataclass(slots=True)
class State:
    """All of it."""

    now: int
    seats: list[Seat]
    on_way: frozenset[tuple[int, int, Word]]
    crashes: int = 0

    def key(self) -> tuple[object, ...]:
        """The same for states that differ in nothing that counts: times are told from now on."""
        now, known = self.now, []
        for s in self.seats:
            ours = s._round
            known.append(
                (
                    max(0, s.silent_ns - now),
                    s.promised,
                    s.accepted if s.accepted_ns > now else -1,
                    max(0, s.accepted_ns - now),
                    max(0, s.held_ns - now),
                    ours
                    and (
                        ours.ballot,
                        now - ours.begun_ns if now - ours.begun_ns <= TERM else TERM,
                        frozenset(ours.promised),
                        frozenset(ours.accepted),
                        ours.proposed,
                    ),
                )
            )
        return tuple(known), self.on_way, self.crashes

    def copy(self) -> State:
        return State(self.now, [self._seat(s) for s in self.seats], self.on_way, self.crashes)

    @staticmethod
    def _seat(of: Seat) -> Seat:
        made = copy.copy(of)
        made.out = []
        if of._round is not None:
            made._round = copy.copy(of._round)
            made._round.promised, made._round.accepted = set(of._round.promised), set(of._round.accepted)
        return made

    def sent(self, who: int) -> None:
        """What a seat wants to send goes on its way."""
        words = {(who, to, word) for to, word in self.seats[who].out}
        self.seats[who].out = []
        self.on_way |= words

    @property
    def leaders(self) -> list[int]:
        return [i for i, s in enumerate(self.seats) if s.leads(self.now)]


def steps(state: State, make: MakeSeat, most_crashes: int) -> Iterator[tuple[str, State]]:
    """Every step from here."""
    for i, s in enumerate(state.seats):
        if i in ASKERS and state.now >= s.silent_ns and s._round is None and s.promised.turn < MOST_TURNS:
            after = state.copy()
            after.seats[i].ask(after.now)
            after.sent(i)
            yield f"{i} asks", after
        if state.crashes < most_crashes:
            after = state.copy()
            after.seats[i] = make(i, after.now, True)
            after.crashes += 1
            yield f"{i} starts blank", after
    for sender, to, word in state.on_way:
        after = state.copy()
        after.seats[to].heard(sender, word, after.now)
        after.sent(to)
        yield f"{to} hears {word} of {sender}", after
    after = state.copy()
    after.now += TICK
    for s in after.seats:
        if s._round is not None and after.now >= s._given_up_ns(s._round) and after.now >= s._round.begun_ns + TERM:
            s._round = None
    yield "a tick", after


@dataclass(slots=True)
class Explored:
    """What was found."""

    states: int
    path: list[str] | None  # to two leaders; None: there are never two


def quiet(make: MakeSeat) -> State:
    """Three seats that nobody has asked yet."""
    return State(10 * TERM, [make(i, 10 * TERM, False) for i in range(3)], frozenset())


def proposed(make: MakeSeat) -> State:
    """0 has asked, 1 has promised, and what 0 proposes is on its way; 2 has heard nothing."""
    state = quiet(make)
    state.seats[0].ask(state.now)
    state.sent(0)
    return _hear(state, (0, 1, Step.PREPARE), (1, 0, Step.PROMISE))


def led(make: MakeSeat) -> State:
    """And 1 has accepted it, and 0 heard of it: it leads."""
    state = _hear(proposed(make), (0, 1, Step.PROPOSE), (1, 0, Step.ACCEPT))
    assert state.leaders == [0]
    return state


def _hear(state: State, *which: tuple[int, int, Step]) -> State:
    for sender, to, step in which:
        word = next(w for a, b, w in state.on_way if (a, b, w.step) == (sender, to, step))
        state.seats[to].heard(sender, word, state.now)
        state.sent(to)
    return state


def explore(
    depth: int, make: MakeSeat = seat, begin: Callable[[MakeSeat], State] = quiet, most_crashes: int = 1
) -> Explored:
    """All states up to so many steps from a beginning."""
    first = begin(make)
    level: list[tuple[State, tuple[str, ...]]] = [(first, ())]
    known = {first.key()}
    for _ in range(depth):
        following = []
        for state, path in level:
            for what, after in steps(state, make, most_crashes):
                if len(after.leaders) > 1:
                    return Explored(len(known), [*path, what])
                if (key := after.key()) not in known:
                    known.add(key)
                    following.append((after, (*path, what)))
        level = following
    return Explored(len(known), None)
