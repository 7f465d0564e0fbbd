"""The simulated boxes on loopback sockets: freeze, drain, crash and isolation as a balancer sees them."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from lanemux.rehearsal import framing
from lanemux.rehearsal.addresses import Address, reserve_addresses
from lanemux.rehearsal.box_context import BoxContext
from lanemux.rehearsal.box_host import BoxHost
from lanemux.rehearsal.boxes import Boxes
from lanemux.rehearsal.command import find_scenario
from lanemux.rehearsal.loop_timing import PollTimingSelector
from lanemux.rehearsal.plan import MS, draw_plan
from lanemux.rehearsal.records import BoxRecords
from lanemux.rehearsal.request_form import target_path

SHORT_S = 0.05
FREEZE_NS = 150 * MS


@dataclasses.dataclass
class OpenBox:
    """One open box of a plan without faults."""

    context: BoxContext
    host: BoxHost
    address: Address

    def request(self, ask: int = 0) -> bytes:
        entry = self.context.plan.asks[ask]
        return framing.request(target_path(entry), {"Req-Id": entry.ids[0]})


def run_on_box(test: Callable[[OpenBox], Awaitable[None]]) -> None:
    selector = PollTimingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    try:
        loop.run_until_complete(asyncio.wait_for(_run_test(test, selector), 20))
    finally:
        loop.close()


async def _run_test(test: Callable[[OpenBox], Awaitable[None]], poll_times: PollTimingSelector) -> None:
    async with open_box(poll_times) as opened:
        await test(opened)


@asynccontextmanager
async def open_box(poll_times: PollTimingSelector) -> AsyncIterator[OpenBox]:
    loop = asyncio.get_running_loop()
    plan = draw_plan(dataclasses.replace(find_scenario("calm-short"), seconds=1.0), 1)
    plan.asks[0] = dataclasses.replace(plan.asks[0], work_ns=20 * MS)
    context = BoxContext(
        loop,
        plan,
        poll_times,
        BoxRecords(),
        int(loop.time() * 1e9),
        {name: ask for ask in plan.asks for name in ask.ids},
        lambda box, at: None,
    )
    addresses = reserve_addresses(plan, "127.61")
    boxes = Boxes(context, addresses)
    boxes.start_initial()
    try:
        yield OpenBox(context, boxes.hosts[0], addresses[0][0])
    finally:
        boxes.stop()
        await asyncio.sleep(0)


async def answer(reader: asyncio.StreamReader) -> framing.Message:
    parser = framing.MessageParser(responses=True)
    while True:
        data = await reader.read(65536)
        assert data, "the connection ended"
        if found := parser.feed(data):
            return found[0]


def test_a_frozen_box_answers_neither_on_existing_connections_nor_on_new_ones() -> None:
    async def test(box: OpenBox) -> None:
        probe = framing.request("/stats", {"Host": "box"})
        old_reader, old_writer = await asyncio.open_connection(*box.address)
        old_writer.write(probe)
        assert json.loads((await answer(old_reader)).body) == {"inflight": 0, "queue": 0}
        box.host.freeze(FREEZE_NS)
        began = box.context.now()
        old_writer.write(probe)
        new_reader, new_writer = await asyncio.open_connection(*box.address)  # the kernel accepts it, the box does not
        new_writer.write(box.request())
        waits = [asyncio.ensure_future(answer(r)) for r in (old_reader, new_reader)]
        done, _ = await asyncio.wait(waits, timeout=0.1)
        assert not done and box.context.now() - began < FREEZE_NS
        assert box.context.records.attempts == [] and box.context.records.probes == 1
        assert (await waits[0]).status == (await waits[1]).status == 200
        assert box.context.now() - began >= FREEZE_NS
        # When it was sent is recorded as a range only: after the start of the freeze, and by its end.
        (attempt,) = box.context.records.attempts
        assert attempt.first_lo_ns <= began + 5 * MS and attempt.whole_ns >= began + FREEZE_NS
        for writer in (old_writer, new_writer):
            writer.close()

    run_on_box(test)


def test_running_work_makes_no_progress_during_a_freeze() -> None:
    async def test(box: OpenBox) -> None:
        reader, writer = await asyncio.open_connection(*box.address)
        writer.write(box.request())
        while not box.context.records.attempts:
            await asyncio.sleep(0)
        box.host.freeze(FREEZE_NS)
        assert (await answer(reader)).status == 200
        (attempt,) = box.context.records.attempts
        assert attempt.end_ns - attempt.whole_ns >= FREEZE_NS + 5 * MS
        writer.close()

    run_on_box(test)


def test_a_draining_box_declines_with_the_header_and_a_terminated_one_resets_and_refuses() -> None:
    async def test(box: OpenBox) -> None:
        reader, writer = await asyncio.open_connection(*box.address)
        box.host.drain()
        writer.write(box.request())
        declined = await answer(reader)
        assert (declined.status, declined.headers["srv-declined"]) == (503, "1")
        box.host.terminate()
        with pytest.raises(ConnectionResetError):
            await reader.read()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*box.address)
        box.host.start(cold=True)
        _, again = await asyncio.open_connection(*box.address)
        again.close()
        assert [life.state for life in box.context.records.state_spans] == ["draining", "down", "cold"]

    run_on_box(test)


def test_a_box_that_dies_while_draining_ends_its_attempts() -> None:
    async def test(box: OpenBox) -> None:
        reader, writer = await asyncio.open_connection(*box.address)
        writer.write(box.request())
        while not box.context.records.attempts:
            await asyncio.sleep(0)
        box.host.drain()
        box.host.terminate()
        with pytest.raises(ConnectionResetError):
            await reader.read()
        assert box.context.records.attempts[0].how == "died"
        writer.close()

    run_on_box(test)


def test_an_isolated_box_is_silent_and_new_connections_are_never_established() -> None:
    async def test(box: OpenBox) -> None:
        reader, writer = await asyncio.open_connection(*box.address)
        box.host.isolate()
        writer.write(box.request())
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection(*box.address), SHORT_S)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.shield(asyncio.ensure_future(reader.read(1))), SHORT_S)
        assert box.context.records.attempts == []
        writer.close()

    run_on_box(test)


def test_a_request_that_no_caller_sent_is_rejected_and_recorded() -> None:
    async def test(box: OpenBox) -> None:
        for target, name, status in (
            ("/rate-lookup/0", "0" * 16, 400),
            ("/other", box.context.plan.asks[0].ids[0], 400),
            ("/rate-lookup/0", "", 404),
        ):
            reader, writer = await asyncio.open_connection(*box.address)
            writer.write(framing.request(target, {"Req-Id": name} if name else {}))
            assert (await answer(reader)).status == status
            writer.close()
        assert [o.rule for o in box.context.records.anomalies] == ["foreign"] * 3

    run_on_box(test)


def test_a_second_copy_overlaps_an_open_first_one_and_not_a_cancelled_one() -> None:
    async def test(box: OpenBox) -> None:
        first_reader, first = await asyncio.open_connection(*box.address)
        _, second = await asyncio.open_connection(*box.address)
        first.write(box.request())
        while not box.context.records.attempts:
            await asyncio.sleep(0)
        second.write(box.request())
        assert (await answer(first_reader)).status == 200
        while len(box.context.records.attempts) < 2:
            await asyncio.sleep(0)
        one, other = box.context.records.attempts
        assert one.open_ns > other.whole_ns  # both were in flight
        _, third = await asyncio.open_connection(*box.address)
        second.close()
        await second.wait_closed()
        third.write(box.request())
        while len(box.context.records.attempts) < 3:
            await asyncio.sleep(0)
        assert other.how == "cancelled" and other.open_ns <= box.context.records.attempts[2].whole_ns
        for writer in (first, third):
            writer.close()

    run_on_box(test)
