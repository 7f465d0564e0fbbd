"""The process in which the boxes run, apart from the callers: one core each."""

from __future__ import annotations

import asyncio
import signal
import traceback
from multiprocessing.connection import Connection
from typing import Any

from lanemux.rehearsal.addresses import reserve_addresses
from lanemux.rehearsal.box_world import World
from lanemux.rehearsal.boxes import Boxes
from lanemux.rehearsal.looks import WatchedSelector, quiet_collector
from lanemux.rehearsal.plan import draw_plan
from lanemux.rehearsal.records import BoxRecords
from lanemux.rehearsal.scenario import Scenario


def main(pipe: Connection, scenario: Scenario, seed: int, prefix: str) -> None:
    """Serve until told to stop. The parent is told the addresses, of boxes that fall, and the books."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C goes to all processes; the parent ends this one
    selector = WatchedSelector()
    loop = asyncio.SelectorEventLoop(selector)
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(_serve(pipe, scenario, seed, prefix, selector))
    except (EOFError, BrokenPipeError):
        pass  # the parent has gone
    finally:
        loop.close()


async def _serve(pipe: Connection, scenario: Scenario, seed: int, prefix: str, looks: WatchedSelector) -> None:
    loop = asyncio.get_running_loop()
    plan = draw_plan(scenario, seed)
    asks = {name: ask for ask in plan.asks for name in ask.ids}
    world = World(
        loop, plan, looks, BoxRecords(), int(loop.time() * 1e9), asks, lambda box, at: pipe.send(("fell", box, at))
    )
    loop.set_exception_handler(lambda _, context: world.books.faults.append(fault_text(context)))
    addresses = reserve_addresses(plan, prefix)
    boxes = Boxes(world, addresses)
    boxes.open()
    pipe.send(("addresses", addresses, plan.digest()))
    _, world.zero_ns = await receive(loop, pipe)
    quiet_collector()
    boxes.begin()
    await receive(loop, pipe)
    pipe.send(("books", boxes.end()))
    await asyncio.sleep(0)  # closed transports end in the loop's next turn


def fault_text(context: dict[str, Any]) -> str:
    """What a callback or task of the kit let out, and where."""
    error = context.get("exception")
    last = traceback.extract_tb(error.__traceback__)[-1:] if error is not None else []
    where = "".join(f" at {frame.filename}:{frame.lineno}" for frame in last)
    return f"{context.get('message')}: {error!r}{where}"


async def receive(loop: asyncio.AbstractEventLoop, pipe: Connection) -> tuple[Any, ...]:
    """The next message of a pipe, without blocking the loop."""
    ready = asyncio.Event()
    loop.add_reader(pipe.fileno(), ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_reader(pipe.fileno())
    message: tuple[Any, ...] = pipe.recv()
    return message
