"""Floods of connections that precede any request, over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

from lanemux import interface as api
from lanemux.storm.connection_admission import ConnectionAdmission
from tests.sockets import HOST, Client, Script, node, request, run, until

READY = b"GET /health/ready HTTP/1.1\r\n\r\n"
CONNECTION_SLOTS = 32  # (96 - 32) / 2 descriptors


def refuses(event: api.Event) -> list[api.Action]:
    return [api.Refuse(event.request, 1_000_000_000)] if isinstance(event, api.Arrival) else []


def admission(capacity: int) -> ConnectionAdmission:
    return ConnectionAdmission(capacity, 0.5)


@contextlib.contextmanager
def silent(port: int, count: int, source: str) -> Iterator[list[socket.socket]]:
    """Open `count` connections from one address that send nothing."""
    opened = []
    for _ in range(count):
        one = socket.socket()
        one.bind((source, 0))
        one.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            one.connect((HOST, port))
        opened.append(one)
    try:
        yield opened
    finally:
        for one in opened:
            one.close()


def closed(one: socket.socket) -> bool:
    """Whether the balancer has closed it."""
    try:
        return one.recv(1) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def test_established_clients_are_served_through_a_flood_and_slots_are_limited() -> None:
    async def test() -> None:
        async with node(Script(refuses), sockets=96, admission=admission) as client:
            server = client.node.server
            assert (await client.ask(READY)).status == 200
            with silent(client.port, 600, "127.0.0.9"):
                for least in (0, 20, 40, 200, 400, 601):  # on one connection, throughout the flood
                    while server._accepted_total < least:
                        await asyncio.sleep(0)
                    assert (await client.ask(request())).status == 503
                    assert len(server._connections) <= CONNECTION_SLOTS
                assert (await client.another().ask(READY)).status == 200  # a new connection is served too
            await until(lambda: not server._pending and len(server._connections) <= 2)

    run(test())


def test_one_source_does_not_take_the_slots_of_others() -> None:
    async def test() -> None:
        async with node(Script(refuses), sockets=96, admission=admission) as client:
            server = client.node.server
            with silent(client.port, 10, "127.0.0.8") as few, silent(client.port, 100, "127.0.0.9") as many:
                await until(lambda: server._accepted_total >= 110)
                assert not any(closed(one) for one in few)
                assert sum(closed(one) for one in many) >= 100 - CONNECTION_SLOTS + 10

    run(test())


def test_silent_connection_creates_no_protocol_and_times_out() -> None:
    async def test() -> None:
        async with node(Script(refuses), admission=admission) as client:
            server = client.node.server
            with silent(client.port, 3, "127.0.0.9") as opened:
                await until(lambda: len(server._pending) == 3)
                assert not server._attaching and all(c._transport is None for c in server._pending)
                for member in server._awaiting_request._members:
                    member.since -= 2.3
                server._tick()
                await until(lambda: all(closed(one) for one in opened))
                assert server.connection_count == 0

    run(test())


def test_partial_requests_and_disconnects_are_handled_as_usual() -> None:
    async def test() -> None:
        async with node(Script(refuses), admission=admission) as client:
            server = client.node.server
            whole = request()
            await client.send(whole[:5])
            await until(lambda: not server._pending and server._awaiting_request)
            assert (await client.ask(whole[5:])).status == 503
            other = Client(client.node, client.port)
            await other.send(b"")
            await until(lambda: server._pending)
            other.close()
            await until(lambda: not server._pending and server.connection_count == 1)

    run(test())


def test_drain_answers_connections_that_wait_for_admission() -> None:
    async def test() -> None:
        async with node(Script(refuses), admission=admission) as client:
            with silent(client.port, 5, "127.0.0.9"):
                await until(lambda: len(client.node.server._pending) == 5)
                drain = asyncio.ensure_future(client.node.drain())
                assert (await client.ask(request())).status == 503
                await drain
                assert client.node.server.connection_count == 0

    run(test())
