"""Parts of a budget that are lent: whatever becomes of messages and processes, they never exceed the whole."""

from __future__ import annotations

import random
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanemux.storm.shares import ASK_NS, FORM, GRANT, PROMISE_NS, USE_NS, WANT, Shares

MS = 1_000_000
SECOND = 1000 * MS


class World:
    """Balancers that ask and lend, on links that lose, double and delay."""

    def __init__(self, seed: int, count: int, loss: float, late_ns: int, freezes: bool, restarts: bool) -> None:
        self.rng = random.Random(seed)
        self.count, self.loss, self.late_ns = count, loss, late_ns
        self.freezes, self.restarts = freezes, restarts
        self.now = 10 * SECOND
        self.changing = True  # what they are asked for
        self.all = [Shares(n, count, self.now) for n in range(count)]
        self.way: list[tuple[int, int, int, bytes]] = []  # when, from, to
        self.awake = [0] * count
        self.frozen_part = [0.0] * count  # one that stands still goes on using what it had decided on
        self.most = 0.0
        self.most_of_one = 0.0

    def send(self, sender: int, to: int, data: bytes) -> None:
        for _ in range(2 if self.rng.random() < 0.2 else 1):
            if self.rng.random() >= self.loss:
                late = self.late_ns if self.rng.random() < 0.2 else 33 * MS
                self.way.append((self.now + self.rng.randrange(MS, max(2 * MS, late)), sender, to, data))

    def step(self) -> None:
        self.now += 10 * MS
        for n, one in enumerate(self.all):
            if self.awake[n] > self.now:
                continue
            if self.freezes and self.rng.random() < 0.002:
                self.awake[n] = self.now + self.rng.randrange(3 * SECOND)
                continue
            if self.restarts and self.rng.random() < 0.002:
                self.all[n] = one = Shares(n, self.count, self.now)
            if self.changing and self.rng.random() < 0.02:
                one.demand = self.rng.choice((0.0, 1.0, 20.0, 300.0))
            if (want := one.want(self.now)) is not None:
                for to in range(self.count):
                    if to != n:
                        self.send(n, to, want)
        due, self.way = [m for m in self.way if m[0] <= self.now], [m for m in self.way if m[0] > self.now]
        self.rng.shuffle(due)
        for _, sender, to, data in due:
            if self.awake[to] > self.now:
                self.way.append((self.awake[to], sender, to, data))
            elif (answer := self.all[to].heard(sender, data, self.now)) is not None:
                self.send(to, sender, answer)
        parts = [one.part(self.now) for n, one in enumerate(self.all) if self.awake[n] <= self.now]
        self.most = max(self.most, sum(parts))
        self.most_of_one = max([self.most_of_one, *parts])


@given(seed=st.integers(0, 2**32), count=st.integers(2, 9), loss=st.sampled_from([0.0, 0.1, 0.5, 0.9]),
       late_s=st.sampled_from([0, 1, 5]), freezes=st.booleans(), restarts=st.booleans())
def test_parts_never_come_to_more_than_the_whole(seed: int, count: int, loss: float, late_s: int, freezes: bool,
                                                 restarts: bool) -> None:
    world = World(seed, count, loss, late_s * SECOND, freezes, restarts)
    for _ in range(300):
        world.step()
    assert world.most <= 1 + 1e-6


def settled(demands: list[float], loss: float = 0.0) -> World:
    world = World(1, len(demands), loss, 0, False, False)
    world.changing = False
    for one, demand in zip(world.all, demands, strict=True):
        one.demand = demand
    for _ in range(400):
        world.step()
    return world


def test_who_is_asked_for_most_is_lent_most() -> None:
    world = settled([300.0, 20.0, 20.0, 20.0])
    parts = [one.part(world.now) for one in world.all]
    assert parts[0] > 0.7 and sum(parts) <= 1 + 1e-6
    assert all(part >= 0.01 for part in parts)  # nobody lends all it has


def test_even_demand_leaves_every_one_its_careful_part() -> None:
    world = settled([50.0] * 4)
    assert [one.part(world.now) for one in world.all] == pytest.approx([0.25] * 4)


def test_one_that_is_cut_off_has_its_careful_part_and_no_more() -> None:
    world = settled([300.0, 20.0, 20.0, 20.0], loss=1.0)
    assert world.all[0].part(world.now) == pytest.approx(0.25)


def test_one_that_has_just_started_waits_for_what_it_may_have_promised() -> None:
    one = Shares(0, 4, 0)
    assert one.part(PROMISE_NS - 1) == 0 and one.part(PROMISE_NS) == 0.25
    assert Shares(0, 4, 0, restarted=False).part(0) == 0.25  # where no messages are
    assert Shares(0, 1, 0).part(0) == 1.0


def test_a_grant_that_comes_too_late_is_worth_nothing() -> None:
    asker, lender = Shares(0, 2, 0, restarted=False), Shares(1, 2, 0, restarted=False)
    asker.demand = 100.0
    want = asker.want(SECOND)
    assert want is not None
    grant = lender.heard(0, want, SECOND)
    assert grant is not None
    assert asker.heard(1, grant, SECOND + USE_NS) is None and asker.part(SECOND + USE_NS) == 0.5
    assert lender.part(SECOND) < 0.1
    assert lender.part(SECOND + PROMISE_NS) == 0.5


@pytest.mark.parametrize("data", [
    b"", b"\xa7", b"x" * 11, b"\xa7" * 256, struct.pack("!BBBIf", 0xA7, 2, WANT, 1, 5.0),
    FORM.pack(0xA7, 1, 3, 1, 5.0), FORM.pack(0xA7, 1, WANT, 1, float("nan")), FORM.pack(0xA7, 1, WANT, 1, float("inf")),
    FORM.pack(0xA7, 1, WANT, 1, -1.0), FORM.pack(0xA7, 1, GRANT, 1, 0.9), FORM.pack(0xA7, 1, GRANT, 77, 0.2),
    FORM.pack(0xA7, 1, GRANT, 1, -0.2)])
def test_what_is_no_message_changes_nothing(data: bytes) -> None:
    one = Shares(0, 2, 0, restarted=False)
    assert one.want(ASK_NS) is not None
    assert one.heard(1, data, ASK_NS) is None
    assert one.part(ASK_NS) == 0.5


@pytest.mark.parametrize("sender", [-1, 0, 2, 77])
def test_only_peers_are_heard(sender: int) -> None:
    one = Shares(0, 2, 0, restarted=False)
    assert one.heard(sender, FORM.pack(0xA7, 1, WANT, 1, 5.0), SECOND) is None
    assert one.part(SECOND) == 0.5
