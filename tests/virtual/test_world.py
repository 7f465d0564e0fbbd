"""The loop's clock and order, processes that stand still and are killed, and the disk."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest

from lanemux.virtual.disk import Disk
from lanemux.virtual.network import LinkConditions
from lanemux.virtual.process import Process
from lanemux.virtual.world import MAX_STEPS_PER_INSTANT, ClockStuck, World

SECOND = 10**9


def world(seed: str = "1", **links: LinkConditions) -> World:
    made = World(seed, links)
    made.on_process_end = lambda process: None
    return made


def test_an_hours_sleep_takes_an_hour_of_the_clock_and_no_time() -> None:
    made, began = world(), time.monotonic()
    process = made.add_process("p")
    main = process.run(asyncio.sleep(3600))
    start = made.event_queue.now_ns
    assert made.run(main.done, start + 3601 * SECOND)
    assert made.event_queue.now_ns - start == 3600 * SECOND
    assert time.monotonic() - began < 5
    made.close()


def order_of_ties(seed: str) -> list[int]:
    made, seen = world(seed), list[int]()

    async def main() -> None:
        loop = asyncio.get_running_loop()
        for number in range(5):
            loop.call_at(loop.time() + 1, seen.append, number)
        await asyncio.sleep(2)

    task = made.add_process("p").run(main())
    made.run(task.done, made.event_queue.now_ns + 3 * SECOND)
    made.close()
    return seen


def test_timers_of_one_instant_come_in_an_order_of_the_seeds() -> None:
    orders = {tuple(order_of_ties(str(seed))) for seed in range(10)}
    assert len(orders) > 3 and all(sorted(order) == [0, 1, 2, 3, 4] for order in orders)
    assert order_of_ties("7") == order_of_ties("7")


def test_a_loop_without_end_is_told() -> None:
    async def spin() -> None:
        while True:
            await asyncio.sleep(0)

    made = world()
    made.add_process("p").run(spin())
    with pytest.raises(ClockStuck):
        made.run(lambda: False, made.event_queue.now_ns + SECOND)
    assert made.steps >= MAX_STEPS_PER_INSTANT
    made.close()


def test_a_process_that_stands_still_finds_everything_due_when_it_wakes() -> None:
    made, seen = world(), list[tuple[str, int]]()
    still, other = made.add_process("still"), made.add_process("other")

    async def ticks(name: str) -> None:
        for _ in range(10):
            await asyncio.sleep(0.1)
            seen.append((name, made.event_queue.now_ns))

    tasks = [still.run(ticks("still")), other.run(ticks("other"))]
    start = made.event_queue.now_ns
    still.pause_until(start + 5 * SECOND)
    made.run(lambda: all(t.done() for t in tasks), start + 10 * SECOND)
    assert all(at >= start + 5 * SECOND for name, at in seen if name == "still")
    assert max(at for name, at in seen if name == "other") < start + 1.1 * SECOND
    made.close()


class Reader(asyncio.Protocol):
    def __init__(self) -> None:
        self.ends: list[str] = []

    def eof_received(self) -> None:
        self.ends.append("end")

    def connection_lost(self, error: Exception | None) -> None:
        self.ends.append(type(error).__name__ if error else "closed")


def connected(made: World, server: Process, client: Process) -> Reader:
    """A client of a server that sent it nothing yet."""
    reader = Reader()

    async def serve() -> None:
        await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 99)
        await asyncio.sleep(100)

    async def connect() -> None:
        await asyncio.get_running_loop().create_connection(lambda: reader, "127.0.0.1", 99)
        await asyncio.sleep(100)

    server.run(serve())
    made.run(lambda: ("127.0.0.1", 99) in made.network.queues, made.event_queue.now_ns + SECOND)
    client.run(connect())
    made.run(lambda: False, made.event_queue.now_ns + SECOND)
    return reader


def test_a_killed_process_runs_no_more_and_its_connections_are_closed_by_the_kernel() -> None:
    made = world()
    server, client = made.add_process("server"), made.add_process("client")
    reader = connected(made, server, client)
    server.signal(signal.SIGTERM)  # nobody handles it
    assert not server.alive and not server.sockets
    made.run(lambda: bool(reader.ends), made.event_queue.now_ns + SECOND)
    assert reader.ends[0] == "end"
    made.close()


def test_a_link_that_is_muted_says_nothing_and_stays_open() -> None:
    made = world()
    server, client = made.add_process("server"), made.add_process("client")
    reader = connected(made, server, client)
    next(iter(made.network.streams)).silence()
    server.kill()
    made.run(lambda: False, made.event_queue.now_ns + 50 * SECOND)
    assert reader.ends == []
    made.close()


def test_no_further_descriptor_is_had_past_the_limit() -> None:
    made = world()
    process = made.add_process("p", 2)
    process.socket(), process.socket()
    with pytest.raises(OSError, match="Too many open files"):
        process.socket()
    made.close()


def test_a_disk_fills_tears_a_write_and_can_be_unreadable() -> None:
    disk = Disk(capacity_bytes=10)
    disk.write("a", b"12345")
    with pytest.raises(OSError, match="No space"):
        disk.write("b", b"1234567")
    assert disk.read("b", 100) == b"12345"
    disk.tear_after_bytes = 2
    with pytest.raises(OSError, match="Input/output"):
        disk.write("a", b"abcd")
    assert disk.read("a", 100) == b"ab" and disk.read("a", 1) == b"a"
    with pytest.raises(FileNotFoundError):
        disk.read("c", 1)
    disk.unreadable = True
    with pytest.raises(OSError, match="Input/output"):
        disk.read("a", 1)
