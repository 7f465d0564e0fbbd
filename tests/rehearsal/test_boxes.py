"""The stand-in boxes on loopback sockets: what a freeze, a drain, a death and a silence look like from outside."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from lanemux.rehearsal import framing
from lanemux.rehearsal.addresses import Address, reserve_addresses
from lanemux.rehearsal.box_host import Host
from lanemux.rehearsal.box_world import World
from lanemux.rehearsal.boxes import Boxes
from lanemux.rehearsal.command import find_scenario
from lanemux.rehearsal.looks import WatchedSelector
from lanemux.rehearsal.plan import MS, draw_plan
from lanemux.rehearsal.records import BoxRecords
from lanemux.rehearsal.request_form import target_of

SHORT_S = 0.05
FREEZE_NS = 150 * MS


@dataclasses.dataclass
class Yard:
    """One open box of a plan without faults."""

    world: World
    host: Host
    address: Address

    def request(self, ask: int = 0) -> bytes:
        row = self.world.plan.asks[ask]
        return framing.request(target_of(row), {"Req-Id": row.ids[0]})


def on_boxes(test: Callable[[Yard], Awaitable[None]]) -> None:
    selector = WatchedSelector()
    loop = asyncio.SelectorEventLoop(selector)
    try:
        loop.run_until_complete(asyncio.wait_for(_played(test, selector), 20))
    finally:
        loop.close()


async def _played(test: Callable[[Yard], Awaitable[None]], looks: WatchedSelector) -> None:
    async with yard(looks) as opened:
        await test(opened)


@asynccontextmanager
async def yard(looks: WatchedSelector) -> AsyncIterator[Yard]:
    loop = asyncio.get_running_loop()
    plan = draw_plan(dataclasses.replace(find_scenario("calm-short"), seconds=1.0), 1)
    plan.asks[0] = dataclasses.replace(plan.asks[0], work_ns=20 * MS)
    world = World(
        loop,
        plan,
        looks,
        BoxRecords(),
        int(loop.time() * 1e9),
        {name: ask for ask in plan.asks for name in ask.ids},
        lambda box, at: None,
    )
    addresses = reserve_addresses(plan, "127.61")
    boxes = Boxes(world, addresses)
    boxes.open()
    try:
        yield Yard(world, boxes.hosts[0], addresses[0][0])
    finally:
        boxes.end()
        await asyncio.sleep(0)


async def answer(reader: asyncio.StreamReader) -> framing.Message:
    framer = framing.Framer(answers=True)
    while True:
        data = await reader.read(65536)
        assert data, "the connection ended"
        if found := framer.feed(data):
            return found[0]


def test_no_look_at_a_frozen_box_gets_an_answer_through_old_connections_or_new_ones() -> None:
    async def test(yard: Yard) -> None:
        probe = framing.request("/stats", {"Host": "box"})
        old_reader, old_writer = await asyncio.open_connection(*yard.address)
        old_writer.write(probe)
        assert json.loads((await answer(old_reader)).body) == {"inflight": 0, "queue": 0}
        yard.host.freeze(FREEZE_NS)
        began = yard.world.now()
        old_writer.write(probe)
        new_reader, new_writer = await asyncio.open_connection(*yard.address)  # the kernel takes it, the box does not
        new_writer.write(yard.request())
        waits = [asyncio.ensure_future(answer(r)) for r in (old_reader, new_reader)]
        done, _ = await asyncio.wait(waits, timeout=0.1)
        assert not done and yard.world.now() - began < FREEZE_NS
        assert yard.world.books.attempts == [] and yard.world.books.probes == 1
        assert (await waits[0]).status == (await waits[1]).status == 200
        assert yard.world.now() - began >= FREEZE_NS
        # The books do not claim to know when it was sent: not before the freeze, and by the thaw.
        (attempt,) = yard.world.books.attempts
        assert attempt.first_lo_ns <= began + 5 * MS and attempt.whole_ns >= began + FREEZE_NS
        for writer in (old_writer, new_writer):
            writer.close()

    on_boxes(test)


def test_work_in_hand_stands_still_in_a_freeze() -> None:
    async def test(yard: Yard) -> None:
        reader, writer = await asyncio.open_connection(*yard.address)
        writer.write(yard.request())
        while not yard.world.books.attempts:
            await asyncio.sleep(0)
        yard.host.freeze(FREEZE_NS)
        assert (await answer(reader)).status == 200
        (attempt,) = yard.world.books.attempts
        assert attempt.end_ns - attempt.whole_ns >= FREEZE_NS + 5 * MS
        writer.close()

    on_boxes(test)


def test_a_draining_box_turns_away_with_the_mark_and_a_dead_one_resets_and_refuses() -> None:
    async def test(yard: Yard) -> None:
        reader, writer = await asyncio.open_connection(*yard.address)
        yard.host.drain()
        writer.write(yard.request())
        turned_away = await answer(reader)
        assert (turned_away.status, turned_away.headers["srv-declined"]) == (503, "1")
        yard.host.die()
        with pytest.raises(ConnectionResetError):
            await reader.read()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*yard.address)
        yard.host.start(cold=True)
        _, again = await asyncio.open_connection(*yard.address)
        again.close()
        assert [life.state for life in yard.world.books.state_spans] == ["draining", "down", "cold"]

    on_boxes(test)


def test_a_box_that_dies_while_it_drains_ends_what_it_held() -> None:
    async def test(yard: Yard) -> None:
        reader, writer = await asyncio.open_connection(*yard.address)
        writer.write(yard.request())
        while not yard.world.books.attempts:
            await asyncio.sleep(0)
        yard.host.drain()
        yard.host.die()
        with pytest.raises(ConnectionResetError):
            await reader.read()
        assert yard.world.books.attempts[0].how == "died"
        writer.close()

    on_boxes(test)


def test_a_machine_that_vanished_is_silent_and_new_connections_never_come_up() -> None:
    async def test(yard: Yard) -> None:
        reader, writer = await asyncio.open_connection(*yard.address)
        yard.host.vanish()
        writer.write(yard.request())
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection(*yard.address), SHORT_S)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.shield(asyncio.ensure_future(reader.read(1))), SHORT_S)
        assert yard.world.books.attempts == []
        writer.close()

    on_boxes(test)


def test_what_no_caller_sent_is_turned_away_and_noted() -> None:
    async def test(yard: Yard) -> None:
        for target, name, status in (
            ("/rate-lookup/0", "0" * 16, 400),
            ("/other", yard.world.plan.asks[0].ids[0], 400),
            ("/rate-lookup/0", "", 404),
        ):
            reader, writer = await asyncio.open_connection(*yard.address)
            writer.write(framing.request(target, {"Req-Id": name} if name else {}))
            assert (await answer(reader)).status == status
            writer.close()
        assert [o.rule for o in yard.world.books.anomalies] == ["foreign"] * 3

    on_boxes(test)


def test_a_second_copy_is_seen_while_the_first_is_open_and_a_closed_one_excuses() -> None:
    async def test(yard: Yard) -> None:
        first_reader, first = await asyncio.open_connection(*yard.address)
        _, second = await asyncio.open_connection(*yard.address)
        first.write(yard.request())
        while not yard.world.books.attempts:
            await asyncio.sleep(0)
        second.write(yard.request())
        assert (await answer(first_reader)).status == 200
        while len(yard.world.books.attempts) < 2:
            await asyncio.sleep(0)
        one, other = yard.world.books.attempts
        assert one.open_ns > other.whole_ns  # both were out
        _, third = await asyncio.open_connection(*yard.address)
        second.close()
        await second.wait_closed()
        third.write(yard.request())
        while len(yard.world.books.attempts) < 3:
            await asyncio.sleep(0)
        assert other.how == "cancelled" and other.open_ns <= yard.world.books.attempts[2].whole_ns
        for writer in (first, third):
            writer.close()

    on_boxes(test)
