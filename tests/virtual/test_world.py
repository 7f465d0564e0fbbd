"""The loop's clock and ordering, paused and killed processes, and the disk."""

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


def make_world(seed: str = "1", **links: LinkConditions) -> World:
    world = World(seed, links)
    world.on_process_end = lambda process: None
    return world


def test_an_hours_sleep_takes_an_hour_of_virtual_time_only() -> None:
    world, began = make_world(), time.monotonic()
    process = world.add_process("p")
    main = process.run(asyncio.sleep(3600))
    start = world.event_queue.now_ns
    assert world.run(main.done, start + 3601 * SECOND)
    assert world.event_queue.now_ns - start == 3600 * SECOND
    assert time.monotonic() - began < 5
    world.close()


def order_of_simultaneous_timers(seed: str) -> list[int]:
    world, observed = make_world(seed), list[int]()

    async def main() -> None:
        loop = asyncio.get_running_loop()
        for number in range(5):
            loop.call_at(loop.time() + 1, observed.append, number)
        await asyncio.sleep(2)

    task = world.add_process("p").run(main())
    world.run(task.done, world.event_queue.now_ns + 3 * SECOND)
    world.close()
    return observed


def test_timers_of_one_instant_run_in_an_order_drawn_from_the_seed() -> None:
    orders = {tuple(order_of_simultaneous_timers(str(seed))) for seed in range(10)}
    assert len(orders) > 3 and all(sorted(order) == [0, 1, 2, 3, 4] for order in orders)
    assert order_of_simultaneous_timers("7") == order_of_simultaneous_timers("7")


def test_an_endless_loop_is_detected() -> None:
    async def spin() -> None:
        while True:
            await asyncio.sleep(0)

    world = make_world()
    world.add_process("p").run(spin())
    with pytest.raises(ClockStuck):
        world.run(lambda: False, world.event_queue.now_ns + SECOND)
    assert world.steps >= MAX_STEPS_PER_INSTANT
    world.close()


def test_a_paused_process_finds_everything_due_when_it_resumes() -> None:
    world, observed = make_world(), list[tuple[str, int]]()
    still, other = world.add_process("still"), world.add_process("other")

    async def ticks(name: str) -> None:
        for _ in range(10):
            await asyncio.sleep(0.1)
            observed.append((name, world.event_queue.now_ns))

    tasks = [still.run(ticks("still")), other.run(ticks("other"))]
    start = world.event_queue.now_ns
    still.pause_until(start + 5 * SECOND)
    world.run(lambda: all(t.done() for t in tasks), start + 10 * SECOND)
    assert all(at >= start + 5 * SECOND for name, at in observed if name == "still")
    assert max(at for name, at in observed if name == "other") < start + 1.1 * SECOND
    world.close()


class Reader(asyncio.Protocol):
    def __init__(self) -> None:
        self.ends: list[str] = []

    def eof_received(self) -> None:
        self.ends.append("end")

    def connection_lost(self, error: Exception | None) -> None:
        self.ends.append(type(error).__name__ if error else "closed")


def connected(world: World, server: Process, client: Process) -> Reader:
    """Connect a client to a server that sends nothing."""
    reader = Reader()

    async def serve() -> None:
        await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 99)
        await asyncio.sleep(100)

    async def connect() -> None:
        await asyncio.get_running_loop().create_connection(lambda: reader, "127.0.0.1", 99)
        await asyncio.sleep(100)

    server.run(serve())
    world.run(lambda: ("127.0.0.1", 99) in world.network.queues, world.event_queue.now_ns + SECOND)
    client.run(connect())
    world.run(lambda: False, world.event_queue.now_ns + SECOND)
    return reader


def test_the_kernel_closes_the_connections_of_a_killed_process() -> None:
    world = make_world()
    server, client = world.add_process("server"), world.add_process("client")
    reader = connected(world, server, client)
    server.signal(signal.SIGTERM)  # has no handler
    assert not server.alive and not server.sockets
    world.run(lambda: bool(reader.ends), world.event_queue.now_ns + SECOND)
    assert reader.ends[0] == "end"
    world.close()


def test_a_black_holed_link_stays_open() -> None:
    world = make_world()
    server, client = world.add_process("server"), world.add_process("client")
    reader = connected(world, server, client)
    next(iter(world.network.streams)).silence()
    server.kill()
    world.run(lambda: False, world.event_queue.now_ns + 50 * SECOND)
    assert reader.ends == []
    world.close()


def test_no_descriptor_is_created_past_the_limit() -> None:
    world = make_world()
    process = world.add_process("p", 2)
    process.socket(), process.socket()
    with pytest.raises(OSError, match="Too many open files"):
        process.socket()
    world.close()


def test_a_disk_can_fill_up_tear_a_write_and_be_unreadable() -> None:
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
