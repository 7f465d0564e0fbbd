"""Closed connections are freed at once, not when the cyclic garbage collector happens to run."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable

import pytest

from lanemux.eventloop.loop import EventLoop
from lanemux.eventloop.stream_socket import StreamSocket
from lanemux.net.client_connection import ClientConnection
from lanemux.net.http import MessageReader
from lanemux.net.upstream import Connection
from tests.sockets import Answer, Client, Script, Upstream, answers, node, request, sends_raw, silent
from tests.test_node import sends_first

BODY = b"x" * 60_000
FREED = (ClientConnection, Connection, MessageReader, StreamSocket)
CLIENTS = 5


async def half_a_body(client: Client) -> None:
    await client.send(request("/pay", method="POST", body=BODY)[:50_000])
    await asyncio.sleep(0.05)


async def a_refused_body(client: Client) -> None:
    await client.ask(request("/pay", method="POST", body=BODY, deadline_ms=None))


async def an_answered_request(client: Client) -> None:
    await client.ask(request())


async def a_client_that_leaves(client: Client) -> None:
    await client.send(request())
    await asyncio.sleep(0.05)


LONG = sends_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" + b"x" * 3_000_000)


@pytest.mark.parametrize(
    ("ask", "answer"),
    [
        (half_a_body, answers(200)),
        (a_refused_body, answers(200)),
        (an_answered_request, answers(200, BODY)),
        (a_client_that_leaves, silent),
        (a_client_that_leaves, LONG),
    ],
    ids=["half a body", "a refused body", "answered", "left before its answer", "left in a long answer"],
)
def test_a_closed_connection_is_freed_without_the_cyclic_garbage_collector(
    ask: Callable[[Client], asyncio.Future[None]], answer: Answer
) -> None:
    """Guards against: parsers, bodies and transports that were kept long after their connections (report 730780)."""

    async def test() -> None:
        upstream = await Upstream(answer).start()
        script = Script()
        sends_first(script)
        async with node(script, upstream) as balancer:
            for _ in range(CLIENTS):
                client = balancer.another()
                await ask(client)
                client.close()
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.1)

    gc.collect()
    gc.disable()
    try:
        with asyncio.Runner(loop_factory=EventLoop) as runner:
            runner.run(asyncio.wait_for(test(), 20.0))
            left = [found for found in gc.get_objects() if isinstance(found, FREED)]
    finally:
        gc.enable()
    # Two sockets of the loop itself, and what the node still refers to, at most once each.
    assert len(left) <= CLIENTS, left
