"""The process in which the boxes run, separate from the callers: one core each."""

from __future__ import annotations

import asyncio
import signal
import traceback
from multiprocessing.connection import Connection
from typing import Any

from lanemux.rehearsal.addresses import reserve_addresses
from lanemux.rehearsal.box_context import BoxContext
from lanemux.rehearsal.boxes import Boxes
from lanemux.rehearsal.loop_timing import PollTimingSelector, disable_garbage_collector
from lanemux.rehearsal.plan import draw_plan
from lanemux.rehearsal.records import BoxRecords
from lanemux.rehearsal.scenario import Scenario


def main(pipe: Connection, scenario: Scenario, seed: int, prefix: str) -> None:
    """Serve until told to stop. The parent receives the addresses, each overload crash of a box, and the records."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C goes to all processes; the parent ends this one
    selector = PollTimingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(_serve(pipe, scenario, seed, prefix, selector))
    except (EOFError, BrokenPipeError):
        pass  # the parent has exited
    finally:
        loop.close()


async def _serve(pipe: Connection, scenario: Scenario, seed: int, prefix: str, poll_times: PollTimingSelector) -> None:
    loop = asyncio.get_running_loop()
    plan = draw_plan(scenario, seed)
    asks = {name: ask for ask in plan.asks for name in ask.ids}
    context = BoxContext(
        loop, plan, poll_times, BoxRecords(), int(loop.time() * 1e9), asks, lambda box, at: pipe.send(("fell", box, at))
    )
    loop.set_exception_handler(lambda _, error: context.records.faults.append(describe_exception(error)))
    addresses = reserve_addresses(plan, prefix)
    boxes = Boxes(context, addresses)
    boxes.start_initial()
    pipe.send(("addresses", addresses, plan.digest()))
    _, context.start_ns = await receive(loop, pipe)
    disable_garbage_collector()
    boxes.start_schedule()
    await receive(loop, pipe)
    pipe.send(("books", boxes.stop()))
    await asyncio.sleep(0)  # closed transports are torn down in the loop's next iteration


def describe_exception(context: dict[str, Any]) -> str:
    """Describe an exception that a callback or task of the rehearsal did not handle, with its location."""
    error = context.get("exception")
    innermost = traceback.extract_tb(error.__traceback__)[-1:] if error is not None else []
    where = "".join(f" at {frame.filename}:{frame.lineno}" for frame in innermost)
    return f"{context.get('message')}: {error!r}{where}"


async def receive(loop: asyncio.AbstractEventLoop, pipe: Connection) -> tuple[Any, ...]:
    """Receive the next message of a pipe, without blocking the loop."""
    ready = asyncio.Event()
    loop.add_reader(pipe.fileno(), ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_reader(pipe.fileno())
    message: tuple[Any, ...] = pipe.recv()
    return message
